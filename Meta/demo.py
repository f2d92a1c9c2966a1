"""Starts the whole system on loopback, sends each kind of request, and prints what happened."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "Tests", "Processes"))

from local_cluster import Cluster, answer_to, prompt_of, wait_until  # noqa: E402

COLUMNS = (34, 10, 9, 0)


class Report:
    def __init__(self):
        self.failures = 0
        self.row("what was sent", "result", "time", "seen")
        self.row("-" * 33, "-" * 9, "-" * 8, "-" * 30)

    def row(self, what, result, duration, seen):
        cells = (what, result, duration, seen)
        print("".join(str(cell).ljust(width) for cell, width in zip(cells, COLUMNS)), flush=True)

    def step(self, what, function):
        start = time.monotonic()
        try:
            seen = function()
            result = "ok"
        except Exception as error:  # Every failure becomes a row, so that the others still run.
            seen, result = f"{type(error).__name__}: {error}", "FAILED"
            self.failures += 1
        self.row(what, result, f"{time.monotonic() - start:.2f} s", seen)


def expect(condition, message):
    if not condition:
        raise AssertionError(message)


def send_prompt(cluster, entry, tokens, generated, **fields):
    prompt = prompt_of(tokens)
    answer = cluster.complete(entry, prompt, generated, **fields)
    expect(answer.status == 200, f"status {answer.status}: {answer.body[:300]}")
    text = answer.json()["choices"][0]["text"]
    expect(text == answer_to(prompt, generated), "the text differs from what the engine generates")
    usage = answer.json()["usage"]
    return f"{usage['prompt_tokens']:,} prompt tokens, {usage['completion_tokens']} generated, verified"


def stream_prompt(cluster, entry):
    prompt = prompt_of(1000, seed=1)
    text, done, error = cluster.stream(entry, prompt, 40)
    expect(done, f"the stream did not end: {error}")
    expect(text == answer_to(prompt, 40), "the streamed text differs")
    return "40 tokens streamed, verified"


def book_twice(cluster):
    first = cluster.book("entry-1", "booking-17", {"pairs": 1})
    second = cluster.book(cluster.entry_names[-1], "booking-17", {"pairs": 1})
    expect(first.status == 200 and second.status == 200, f"{first.status} {second.status}: {second.body[:300]}")
    expect(first.body == second.body, "the two answers differ")
    runs = [run for run in cluster.journal() if run["key"] == "counter/booking-17"]
    expect(len(runs) == 1, f"the service ran it {len(runs)} times")
    return "sent at two entries, ran once, same answer"


def reuse_key(cluster):
    answer = cluster.book("entry-1", "booking-17", {"pairs": 2})
    expect(answer.status == 422, f"status {answer.status}")
    return f"refused with 422, ran: {answer.json()['ran']}"


def edit_document(cluster):
    priorities = cluster.document_sections()["priorities"]
    priorities["counter"]["rank"] = 1
    version = cluster.section_version("priorities")
    cluster.apply_section("priorities", priorities, version)
    conflict = cluster.apply_section("priorities", priorities, version, check=False)
    expect(conflict.returncode == 4, f"a racing edit exited with {conflict.returncode}")
    from local_cluster import call
    newest = int(cluster.section_version("priorities"))
    def in_force():
        return all(call(cluster.address(name), "GET", "/health").json().get("document_version", -1) >= newest
                   for name in cluster.entry_names)
    start = time.monotonic()
    wait_until(in_force, 12, "the edit is not in force at all entries")
    return f"version {newest} in force at all entries after {time.monotonic() - start:.2f} s; racing edit refused"


def run_job(cluster):
    from local_cluster import call
    prompt = prompt_of(20000, seed=3)
    body = {"model": "lavender-1", "prompt": prompt, "max_tokens": 200, "priority": "report"}
    submitted = call(cluster.address("entry-1"), "POST", "/v1/jobs", body, cluster.headers())
    expect(submitted.status == 202, f"status {submitted.status}: {submitted.body[:300]}")
    path = "/v1/jobs/" + submitted.json()["id"]
    other = cluster.address(cluster.entry_names[-1])
    wait_until(lambda: call(other, "GET", path, None, cluster.headers()).json().get("state") == "done", 30,
               "the job did not finish")
    result = call(other, "GET", path + "/result", None, cluster.headers())
    expect(answer_to(prompt, 200) in result.json()["choices"][0]["text"], "the result differs")
    return "submitted at one entry, fetched whole at another"


def run_steps(cluster, report):
    last = cluster.entry_names[-1]
    report.step("prompt of 1,000 tokens", lambda: send_prompt(cluster, "entry-1", 1000, 16))
    report.step("the same at another entry", lambda: send_prompt(cluster, last, 1000, 16))
    report.step("streamed reply", lambda: stream_prompt(cluster, "entry-1"))
    report.step("prompt of 1,000,000 tokens", lambda: send_prompt(cluster, "entry-1", 1000000, 32, priority="report"))
    report.step("non-repeatable call, sent twice", lambda: book_twice(cluster))
    report.step("the same key, another body", lambda: reuse_key(cluster))
    report.step("long job", lambda: run_job(cluster))
    report.step("edit of the document", lambda: edit_document(cluster))


def main():
    build = sys.argv[1] if len(sys.argv) > 1 else "build"
    cluster = Cluster(build)
    report = Report()
    try:
        report.step("start of all processes", lambda: (cluster.start(), f"{len(cluster.processes)} processes")[1])
        if report.failures == 0:
            run_steps(cluster, report)
    finally:
        cluster.stop()
    print(f"\nAll processes are stopped. Their logs are in {cluster.folder}.")
    return 1 if report.failures else 0


if __name__ == "__main__":
    sys.exit(main())
