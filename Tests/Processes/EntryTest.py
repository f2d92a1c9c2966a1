"""Runs an entry with two engines and a plain service over real processes and checks what callers see."""
import http.client
import json
import signal
import sys
import threading

from fleet import CALLER_KEY, Fleet, call, expected_output

AUTHORIZED = {"Authorization": "Bearer " + CALLER_KEY}
PROMPT = "Draft a reply to a borrower in Enna. " * 20


def completion(entry, **fields):
    body = {"model": "lavender-1", "prompt": PROMPT, "max_tokens": 20, **fields}
    return call(entry, "POST", "/v1/completions", body, AUTHORIZED)


def read_stream(entry, tokens, on_text=None):
    """The text of a streamed completion, and whether it ended as complete."""
    connection = http.client.HTTPConnection("127.0.0.1", entry, timeout=30)
    body = {"model": "lavender-1", "prompt": PROMPT, "max_tokens": tokens, "stream": True}
    connection.request("POST", "/v1/completions", json.dumps(body), AUTHORIZED)
    response = connection.getresponse()
    assert response.status == 200, response.read()
    text, done = "", False
    for raw in response:
        line = raw.decode().strip()
        if line == "data: [DONE]":
            done = True
        elif line.startswith("data: "):
            event = json.loads(line[6:])
            assert "error" not in event, event
            text += event["choices"][0]["text"]
            if on_text:
                on_text(text)
    connection.close()
    return text, done


def check_refusals(entry):
    """Guards against problems without `ran` and against requests without a valid key."""
    status, headers, text = call(entry, "POST", "/v1/completions", {"model": "lavender-1", "prompt": "x"})
    problem = json.loads(text)
    assert status == 401 and problem["ran"] == "no" and problem["request_id"] == headers["X-Request-Id"], text
    status, _, text = completion(entry, model="other")
    assert status == 404 and json.loads(text)["reason"] == "unknown_model", text
    status, _, text = completion(entry, max_tokens=0)
    assert status == 400, text


def check_completions(entry):
    """Guards against responses that are not the engine's own, whole answer."""
    status, _, text = completion(entry)
    answer = json.loads(text)
    assert status == 200 and answer["choices"][0]["text"] == expected_output(PROMPT, 20), text
    assert answer["usage"]["completion_tokens"] == 20, text
    assert read_stream(entry, 30) == (expected_output(PROMPT, 30), True)


def check_departure(fleet, entry):
    """Guards against an engine that works on for callers who have left (R9)."""
    for stream in (True, False):
        connection = http.client.HTTPConnection("127.0.0.1", entry, timeout=30)
        body = {"model": "lavender-1", "prompt": PROMPT, "max_tokens": 100_000, "stream": stream, "deadline_ms": 3_600_000}
        connection.request("POST", "/v1/completions", json.dumps(body), AUTHORIZED)
        fleet.wait(lambda: not is_idle(fleet))
        connection.sock.close()
        connection.close()
        fleet.wait(lambda: is_idle(fleet), 10)


def is_idle(fleet):
    return all(json.loads(call(port, "GET", "/inventory")[2])["streams"] == []
               for port in fleet.engine_ports.values())


def last_upstream(fleet):
    lines = [line for line in fleet.log("entry-1").splitlines() if "Sending an attempt" in line]
    return json.loads(lines[-1])["upstream"]


def read_stream_with_fault(fleet, entry, sent_signal):
    """Sends the signal to the agent that serves the stream, and returns the agent's process."""
    hit = []

    def signal_busy_agent(text):
        if len(text) >= 40 and not hit:
            hit.append(fleet.processes["agent-" + last_upstream(fleet)])
            hit[0].send_signal(sent_signal)

    text, done = read_stream(entry, 200, signal_busy_agent)
    assert text == expected_output(PROMPT, 200) and done, (len(text), done)
    return hit[0]


def check_agent_faults(fleet, entry):
    """Guards against a response that is lost or repeats text when its agent falls silent or crashes (R6, R7)."""
    read_stream_with_fault(fleet, entry, signal.SIGSTOP).send_signal(signal.SIGCONT)
    assert "lavenderpick_retries_total{reason=\"silent_connection\"} 0" not in call(entry, "GET", "/metrics")[2]
    fleet.wait(lambda: is_idle(fleet))
    read_stream_with_fault(fleet, entry, signal.SIGKILL)


def check_calls(fleet, entry, service):
    """Guards against a call that runs twice or whose outcome can't be learned (5.2)."""
    headers = {**AUTHORIZED, "Idempotency-Key": "booking-1"}
    body = '{"depot":"Enna","pairs":2}'
    for _ in range(3):
        status, answered, text = call(entry, "POST", "/v1/services/loans/bookings", body, headers)
        assert status == 200 and answered["X-Lavenderpick-Ran"] == "yes", (status, text)
    journal = json.loads(call(service, "GET", "/journal")[2])["runs"]
    assert [run["body"] for run in journal].count(body) == 1, journal
    status, _, text = call(entry, "POST", "/v1/services/loans/bookings", body + " ", headers)
    assert status == 422 and json.loads(text)["reason"] == "key_reused", text
    assert call(entry, "POST", "/v1/services/loans/bookings", body, AUTHORIZED)[0] == 400
    assert call(entry, "POST", "/v1/services/loans/other", body, headers)[0] == 403
    looked_up = json.loads(call(entry, "GET", "/v1/calls/booking-1", None, AUTHORIZED)[2])
    assert looked_up["ran"] == "yes" and looked_up["status"] == 200, looked_up
    absent = json.loads(call(entry, "GET", "/v1/calls/booking-2", None, AUTHORIZED)[2])
    assert absent["ran"] == "no", absent
    call(fleet.platform, "POST", "/faults", {"down": True})
    status, _, text = call(entry, "POST", "/v1/services/loans/bookings", body,
                           {**AUTHORIZED, "Idempotency-Key": "booking-3"})
    assert status == 503 and json.loads(text)["ran"] == "no", text
    assert completion(entry)[0] == 200, "completions must go on without the store"
    call(fleet.platform, "POST", "/faults", {"down": False})


def check_jobs(fleet, entry, other):
    """Guards against a job that is lost, or whose result another customer or entry can't or can see."""
    headers = {**AUTHORIZED, "Idempotency-Key": "season-report"}
    body = {"model": "lavender-1", "prompt": PROMPT, "max_tokens": 50, "priority": "batch"}
    status, _, text = call(entry, "POST", "/v1/jobs", body, headers)
    job = json.loads(text)
    assert status == 202, text
    assert json.loads(call(other, "POST", "/v1/jobs", body, headers)[2])["id"] == job["id"]
    path = "/v1/jobs/" + job["id"]
    fleet.wait(lambda: json.loads(call(other, "GET", path, None, AUTHORIZED)[2])["state"] == "done", 30)
    result = json.loads(call(other, "GET", path + "/result", None, AUTHORIZED)[2])
    assert result["choices"][0]["text"] == expected_output(PROMPT, 50), result
    assert call(other, "GET", "/v1/jobs/job-none", None, AUTHORIZED)[0] == 404


def check_drain(fleet, entry):
    """Guards against a planned stop that cuts off a stream."""
    ended = []
    reader = threading.Thread(target=lambda: ended.append(read_stream(entry, 250)))
    reader.start()
    fleet.wait(lambda: "lavenderpick_running_requests 1" in call(entry, "GET", "/metrics")[2])
    fleet.processes["entry-1"].send_signal(signal.SIGTERM)
    fleet.wait(lambda: call(entry, "GET", "/ready")[0] == 503)
    reader.join(30)
    assert ended == [(expected_output(PROMPT, 250), True)], "the stream was cut off"
    assert fleet.processes["entry-1"].wait(20) == 0


def main(build):
    with Fleet(build) as fleet:
        fleet.edit_usual_document()
        for name in ("engine-a", "engine-b"):
            fleet.engine(name)
        service = fleet.service("loans-a", "loans")
        entry, other = fleet.entry("entry-1"), fleet.entry("entry-2")
        try:
            for port in (entry, other):
                fleet.wait(lambda p=port: call(p, "GET", "/ready")[0] == 200)
                fleet.wait(lambda p=port: completion(p)[0] == 200)
            fleet.wait(lambda: call(entry, "POST", "/v1/services/loans/bookings", "{}",
                                    {**AUTHORIZED, "Idempotency-Key": "first"})[0] == 200)
            check_refusals(entry)
            check_completions(entry)
            check_jobs(fleet, entry, other)
            check_departure(fleet, entry)
            check_agent_faults(fleet, entry)
            check_calls(fleet, entry, service)
            check_drain(fleet, entry)
        except BaseException:
            for name in fleet.processes:
                print(f"--- {name}\n" + fleet.log(name)[-3000:])
            raise
    print("passed")


if __name__ == "__main__":
    main(sys.argv[1])
