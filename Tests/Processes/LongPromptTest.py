"""Runs prompts that need the memory of several engines, alone and against each other."""
import json
import sys
import threading

from fleet import CALLER_KEY, Fleet, call, expected_output

AUTHORIZED = {"Authorization": "Bearer " + CALLER_KEY}
ENGINES = ("engine-a", "engine-b", "engine-c")
CAPACITY = 4_000


def completion(entry, prompt, tokens=20):
    body = {"model": "lavender-1", "prompt": prompt, "max_tokens": tokens, "deadline_ms": 60_000}
    return call(entry, "POST", "/v1/completions", body, AUTHORIZED, timeout=70)


def prompt_of(tokens, seed):
    return (f"Inspection {seed} of the cleats. " * tokens)[: 4 * tokens]


def is_released(fleet):
    for port in fleet.engine_ports.values():
        inventory = json.loads(call(port, "GET", "/inventory")[2])
        if inventory["streams"] or inventory["handles"]:
            return False
    return True


def check_whole_answer(fleet, entry):
    """Guards against an answer to a part of the prompt, and against memory that stays reserved (5.5)."""
    prompt = prompt_of(8_500, "alone")
    status, _, text = completion(entry, prompt)
    assert status == 200, text
    assert json.loads(text)["choices"][0]["text"] == expected_output(prompt, 20), text
    fleet.wait(lambda: is_released(fleet))


def check_competing_prompts(fleet, entry):
    """Guards against a deadlock of prompts that each hold a part of what the other needs."""
    answers = {}

    def run(seed):
        prompt = prompt_of(7_000, seed)
        status, _, text = completion(entry, prompt)
        answers[seed] = status == 200 and json.loads(text)["choices"][0]["text"] == expected_output(prompt, 20)
        if not answers[seed]:
            print(status, text)

    threads = [threading.Thread(target=run, args=(str(seed),)) for seed in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert all(answers.values()) and len(answers) == 4, answers
    fleet.wait(lambda: is_released(fleet))


def check_waiting(fleet, entry):
    """Guards against requests that fail because all memory is taken for a moment (R2)."""
    answers = []

    def run(seed):
        prompt = prompt_of(2_500, seed)
        status, _, text = completion(entry, prompt, 60)
        answers.append((status, text) if status != 200 else
                       json.loads(text)["choices"][0]["text"] == expected_output(prompt, 60))

    threads = [threading.Thread(target=run, args=(f"wait-{seed}",)) for seed in range(12)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert answers == [True] * 12, answers


def main(build):
    with Fleet(build) as fleet:
        fleet.edit_usual_document()
        for name in ENGINES:
            fleet.engine(name, "--kv-capacity", str(CAPACITY), "--time-scale", "0.2")
        entry = fleet.entry("entry-1")
        try:
            fleet.wait(lambda: call(entry, "GET", "/ready")[0] == 200)
            fleet.wait(lambda: completion(entry, "short")[0] == 200)
            check_whole_answer(fleet, entry)
            check_competing_prompts(fleet, entry)
            check_waiting(fleet, entry)
        except BaseException:
            for name in fleet.processes:
                print(f"--- {name}\n" + fleet.log(name)[-3000:])
            raise
    print("passed")


if __name__ == "__main__":
    main(sys.argv[1])
