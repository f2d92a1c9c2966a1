#!/usr/bin/env bash
# Checks the Spin models. A good model must have no error; each variant without one mechanism must have one.
# Usage: Meta/check-models.sh [BUILD_FOLDER]. Prints states stored, depth and seconds for each run.
set -euo pipefail
cd "$(dirname "$0")/.."

folder=${1:-build}/models
specifications=$PWD/Specifications
mkdir -p "$folder"
cd "$folder"
failures=0

# check EXPECTED MODEL MODE FLAGS...: MODE is safety, bitstate, or the name of an LTL property.
check() {
    local expected=$1 model=$2 mode=$3
    shift 3
    local name="$model-$mode${*:+-$*}"
    local run=${name//[ =]/-}
    rm -rf "$run" && mkdir "$run"
    cp "$specifications/$model.pml" "$run/"
    (
        cd "$run"
        spin "$@" -a "$model.pml" >spin.txt 2>&1 || { cat spin.txt >&2; exit 1; }
        case $mode in
        safety) gcc -O2 -w -DSAFETY -DNOCLAIM -DCOLLAPSE -DMEMLIM=3000 -o pan pan.c; arguments=() ;;
        bitstate) gcc -O2 -w -DSAFETY -DNOCLAIM -DBITSTATE -o pan pan.c; arguments=(-w29 -Q1) ;; # At most a minute.
        *) gcc -O2 -w -DCOLLAPSE -DMEMLIM=3000 -DNFAIR=3 -o pan pan.c; arguments=(-a -f -N "$mode") ;;
        esac
        timeout 120 ./pan -m200000 -n "${arguments[@]}" >pan.txt 2>&1 || true
    )
    local errors stored depth seconds
    errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$run/pan.txt" | head -1)
    stored=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$run/pan.txt" | head -1)
    depth=$(sed -n 's/.*depth reached \([0-9]*\).*/\1/p' "$run/pan.txt" | head -1)
    seconds=$(sed -n 's/.*elapsed time \([0-9.e+]*\) seconds.*/\1/p' "$run/pan.txt" | head -1)
    local verdict=ok
    if grep -q 'max search depth too small\|reached -DMEMLIM\|out of memory' "$run/pan.txt" || [ -z "$errors" ]; then
        verdict='FAILED: the search was not complete'
    elif [ "$expected" = good ] && [ "$errors" != 0 ]; then
        verdict="FAILED: $(grep -m1 'pan:1' "$run/pan.txt")"
    elif [ "$expected" = broken ] && [ "$errors" = 0 ]; then
        verdict='FAILED: no counterexample'
    fi
    [ "$verdict" = ok ] || failures=$((failures + 1))
    printf '%-6s %-62s states %-10s depth %-6s %ss  %s\n' "$expected" "$name" "${stored:--}" "${depth:--}" "${seconds:--}" "$verdict"
}

check good call-record safety -DDUPLICATE
check good call-record every_call_ends -DDUPLICATE
check good call-record safety -DREPEAT -DFAULTS=0
check good call-record bitstate -DREPEAT -DFAULTS=2
for guard in NO_CONDITION NO_READBACK NO_GATE NO_SEND_ONCE NO_CANCEL; do
    check broken call-record safety -DDUPLICATE -D$guard
done
check broken call-record safety -DREPEAT -DFAULTS=0 -DNO_ARRIVAL_CHECK

check good lease safety
check good lease accepted_jobs_end
for guard in NO_CONDITION NO_FENCED_NAMES NO_RAISED_FENCE; do check broken lease safety -D$guard; done
check broken lease accepted_jobs_end -DNO_LEASE_COMMIT

check good document safety
# Three replicas exceed the memory here: fairness multiplies the states.
check good document replicas_converge -DREPLICAS=2
for guard in NO_CONDITION NO_ORDER NO_READBACK; do check broken document safety -D$guard; done

exit $((failures > 0))
