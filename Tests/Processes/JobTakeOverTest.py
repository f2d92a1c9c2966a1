"""Stops the entry that runs a job and checks that another one finishes it from its progress."""
import json
import signal
import sys
import time

from fleet import CALLER_KEY, Fleet, call, expected_output

AUTHORIZED = {"Authorization": "Bearer " + CALLER_KEY}
PROMPT = "Report on the season. " * 50
TOKENS = 300


def state_of(entry, path):
    return json.loads(call(entry, "GET", path, None, AUTHORIZED)[2])["state"]


def check_take_over(fleet, first, second, name, sent_signal):
    """Runs a job at `first`, entry `name`, and stops that with the signal; `second` has to finish the job."""
    body = {"model": "lavender-1", "prompt": PROMPT, "max_tokens": TOKENS, "priority": "batch"}
    status, _, text = call(first, "POST", "/v1/jobs", body, AUTHORIZED)
    assert status == 202, text
    identifier = json.loads(text)["id"]
    path = "/v1/jobs/" + identifier
    fleet.wait(lambda: "progress-1" in call(fleet.platform, "GET", f"/objects?prefix=job/{identifier}/")[2], 30)
    assert state_of(second, path) == "running"
    fleet.processes[name].send_signal(sent_signal)
    stopped_at = time.monotonic()
    fleet.wait(lambda: state_of(second, path) == "done", 90)
    result = json.loads(call(second, "GET", path + "/result", None, AUTHORIZED)[2])
    assert result["choices"][0]["text"] == expected_output(PROMPT, TOKENS), result
    assert 'lavenderpick_jobs_total{event="taken_over"} 1' in call(second, "GET", "/metrics")[2]
    print(f"done {time.monotonic() - stopped_at:.0f} s after {sent_signal.name}")
    return path, result


def check_paused_holder(fleet, first, second):
    """Guards against a paused holder that overwrites the result of its successor (J6)."""
    path, result = check_take_over(fleet, first, second, "entry-1", signal.SIGSTOP)
    fleet.processes["entry-1"].send_signal(signal.SIGCONT)
    time.sleep(5)
    for port in (first, second):
        assert json.loads(call(port, "GET", path + "/result", None, AUTHORIZED)[2]) == result
    assert 'event="done"' not in call(first, "GET", "/metrics")[2]


def check_crashed_holder(fleet, first, second):
    """Guards against a job that dies with its entry, or starts from nothing again (J3, J5)."""
    check_take_over(fleet, second, first, "entry-2", signal.SIGKILL)


def main(build):
    with Fleet(build) as fleet:
        fleet.edit_usual_document()
        # The engine needs 100 ms a token, so that the first checkpoint comes before the end.
        fleet.engine("engine-a", "--step-ms", "100")
        periods = {"holder_scan": "2 s", "holder_renewal": "5 s"}
        first, second = fleet.entry("entry-1", periods=periods), fleet.entry("entry-2", periods=periods)
        try:
            for port in (first, second):
                fleet.wait(lambda p=port: call(p, "GET", "/ready")[0] == 200)
            check_paused_holder(fleet, first, second)
            check_crashed_holder(fleet, first, second)
        except BaseException:
            for name, process in fleet.processes.items():
                print(f"--- {name}, exit code {process.poll()}\n" + fleet.log(name)[-3000:])
            raise
    print("passed")


if __name__ == "__main__":
    main(sys.argv[1])
