"""Tests the agent as a process: killed, frozen and terminated beside an engine stand-in.

Usage: AgentTest.py BUILD_FOLDER [--measure]; --measure prints memory and CPU figures instead.
"""

import hashlib
import http.client
import http.server
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

KEY = b"a cluster key for tests"
BUILD = sys.argv[1]
PORTS = 12


def free_ports():
    """The first of a block of free ports; several runs may share the machine."""
    while True:
        first = random.randrange(22000, 23000 - PORTS)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                for port in range(first, first + PORTS):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue


PORT = free_ports()
PLATFORM, ENGINE, ENTRY = PORT, PORT + 1, PORT + 2
DOCUMENT = {"version": 1, "changes": [
    {"version": 1, "section": "models", "token": "t", "editor": "test", "changed_at": 0,
     "entries": {"lavender-1": {"versions": ["1"], "maximum_prompt_tokens": 1000000}}}]}


def keyed_tag(data):
    key = hashlib.blake2b(KEY, digest_size=32).digest()
    return hashlib.blake2b(data, key=key, digest_size=32)


def cbor(value):
    def head(major, number):
        if number < 24:
            return bytes([major << 5 | number])
        return bytes([major << 5 | 25]) + struct.pack(">H", number)
    if isinstance(value, int):
        return head(0, value)
    if isinstance(value, str):
        return head(3, len(value)) + value.encode()
    return head(5, len(value)) + b"".join(cbor(k) + cbor(v) for k, v in sorted(value.items()))


def expected_output(prompt, tokens):
    mask = (1 << 64) - 1
    digest = 0xcbf29ce484222325
    for byte in prompt.encode():
        digest = ((digest ^ byte) * 0x100000001b3) & mask
    text = ""
    for index in range(tokens):
        bits = (digest + 0x9e3779b97f4a7c15 * (index + 1)) & mask
        bits = ((bits ^ bits >> 30) * 0xbf58476d1ce4e5b9) & mask
        bits = ((bits ^ bits >> 27) * 0x94d049bb133111eb) & mask
        bits ^= bits >> 31
        for _ in range(3):
            text += chr(ord("a") + bits % 26)
            bits //= 26
        text += " "
    return text


def connect(port, method, path, body="", timeout=20):
    seconds = str(int(time.time()))
    tag = keyed_tag("\n".join([seconds, method, path, body]).encode()).hexdigest()
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    connection.request(method, path, body, {"X-Lavenderpick-Auth": seconds + ":" + tag,
                                            "X-Lavenderpick-Document": "1"})
    return connection.getresponse()


def fetch(port, path):
    return json.loads(connect(port, "GET", path).read())


def attempt(name, prompt, tokens):
    return json.dumps({"request_id": "r", "attempt_id": name, "customer": "enna",
                       "model": "lavender-1", "priority": "interactive", "prompt": prompt,
                       "max_tokens": tokens, "deadline_ms": 60000, "resume_text": "",
                       "resume_offset": 0, "reservation_id": "", "handles": []})


def events(response):
    for line in response:
        if line.startswith(b"data:"):
            yield json.loads(line[5:])


def eventually(condition, seconds=15):
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "the condition did not come true"
        time.sleep(0.05)


class Entry(http.server.ThreadingHTTPServer):
    """Serves the document and keeps agents subscribed."""

    def __init__(self):
        super().__init__(("127.0.0.1", ENTRY), EntryHandler)
        threading.Thread(target=self.serve_forever, daemon=True).start()
        self.agents = []
        self.datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        threading.Thread(target=self.subscribe, daemon=True).start()

    def subscribe(self):
        while True:
            for entry in ("entry-1", "entry-2", "entry-3"):
                body = cbor({"t": "s", "e": entry, "a": f"127.0.0.1:{ENTRY}", "v": 1})
                tag = datagram_tag(body)
                for port in self.agents:
                    self.datagrams.sendto(body + tag, ("127.0.0.1", port))
            time.sleep(0.5 if "--measure" not in sys.argv else 4)


def datagram_tag(body):
    return keyed_tag(body).hexdigest()[:16].encode()


class EntryHandler(http.server.BaseHTTPRequestHandler):
    def do_GET(self):
        body = json.dumps(DOCUMENT).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        pass


class Processes:
    def __init__(self):
        self.started = []
        self.folder = tempfile.TemporaryDirectory()
        self.entry = Entry()
        self.stand_in("platform", "--port", str(PLATFORM))
        self.engine = self.stand_in("engine", "--port", str(ENGINE), "--kv-capacity", "200000",
                                    "--step-ms", "5")

    def run(self, *arguments):
        log = open(os.path.join(self.folder.name, f"log-{len(self.started)}"), "w")
        process = subprocess.Popen(arguments, stdout=log, stderr=log)
        self.started.append(process)
        return process

    def stand_in(self, *arguments):
        process = self.run(BUILD + "/Tests/lavenderpick-standins", *arguments)
        time.sleep(0.3)
        return process

    def agent(self, port):
        settings = os.path.join(self.folder.name, f"agent-{port}.yaml")
        with open(settings, "w") as file:
            file.write(f"""name: agent-{port}
listen: {{host: 127.0.0.1, port: {port}, datagram_port: {port}}}
region: sicily
availability_zone: enna-1
cluster: {{key: {KEY.decode()}}}
platform: {{address: "127.0.0.1:{PLATFORM}"}}
upstream: {{name: engine-1, kind: engine, address: "127.0.0.1:{ENGINE}", checks_fencing: true}}
periods: {{inventory: 1 s, load: 500 ms}}
caps: {{engine_silence: 2 s}}
""")
        process = self.run(BUILD + "/Utilities/lavenderpick", "agent", "--settings", settings)
        if port not in self.entry.agents:
            self.entry.agents.append(port)
        eventually(lambda: self.serves(port))
        return process

    def serves(self, port):
        try:
            return fetch(port, "/internal/status")["fence"] > 0 and fetch(port, "/ready")["ready"]
        except OSError:
            return False

    def stop(self):
        # A process that ended by itself explains what the others could not reach.
        ended = [process.poll() for process in self.started]
        for process in self.started:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        if sys.exc_info()[0]:
            for number, process in enumerate(self.started):
                with open(os.path.join(self.folder.name, f"log-{number}")) as file:
                    print(f"log {number} of {process.args[:3]}, exit code {ended[number]}:",
                          file.read()[-4000:])
        self.folder.cleanup()


def engine_is_empty():
    inventory = fetch(ENGINE, "/inventory")
    return inventory == {"handles": [], "streams": []} and fetch(ENGINE, "/load")["kv_used"] == 0


def test_killed_agent(processes, port):
    """Guards against engine memory that is lost with the agent that held it."""
    agent = processes.agent(port)
    reservation = {"reservation_id": "r", "owner": "entry-1/1", "tokens": 5000, "ttl_ms": 30000}
    assert connect(port, "POST", "/internal/reservations", json.dumps(reservation)).status == 200
    segment = {"request_id": "q", "reservation_id": "r", "index": 0, "model": "lavender-1",
               "prompt": "x" * 8000, "handles": [], "deadline_ms": 5000}
    assert connect(port, "POST", "/internal/segments", json.dumps(segment)).status == 200
    stream = events(connect(port, "POST", "/internal/attempts", attempt("a", "hello", 50000)))
    next(stream)
    agent.kill()
    agent.wait()
    inventory = fetch(ENGINE, "/inventory")
    assert inventory["streams"] == ["a"] and len(inventory["handles"]) == 1, inventory
    agent = processes.agent(port)
    eventually(engine_is_empty)
    return agent


def test_frozen_agent(processes, agent, port, new_port):
    """Guards against a resumed agent that cancels the streams of the one that replaced it."""
    released = fetch(port, "/internal/status")["released"]
    agent.send_signal(signal.SIGSTOP)
    processes.entry.agents.remove(port)
    newer = processes.agent(new_port)
    stream = events(connect(new_port, "POST", "/internal/attempts", attempt("b", "hello", 1500)))
    text = next(stream)["text"]
    agent.send_signal(signal.SIGCONT)
    for event in stream:
        text += event.get("text", "")
    assert event["type"] == "end" and text == expected_output("hello", 1500), event
    status = fetch(port, "/internal/status")
    assert status["superseded"] and not status["accepting"], status
    assert status["released"] == released, status
    refused = connect(port, "POST", "/internal/attempts", attempt("c", "x", 1))
    assert refused.status == 503 and json.loads(refused.read())["ran"] == "no"
    agent.terminate()
    assert agent.wait(10) == 0
    return newer


def test_frozen_engine(processes, port):
    """Guards against a stream that heartbeats keep alive while its engine does not respond, and
    against what that stream holds once the engine goes on."""
    stream = events(connect(port, "POST", "/internal/attempts", attempt("e", "hello", 50000)))
    next(stream)
    processes.engine.send_signal(signal.SIGSTOP)
    started = time.monotonic()
    for event in stream:
        pass
    assert event["type"] == "failed" and event["reason"] == "upstream_failed", event
    assert time.monotonic() - started < 8
    assert not fetch(port, "/ready")["ready"]
    processes.engine.send_signal(signal.SIGCONT)
    eventually(lambda: fetch(port, "/ready")["ready"])
    eventually(engine_is_empty)


def test_terminated_agent(agent, port):
    """Guards against a planned stop that cuts off a stream."""
    stream = events(connect(port, "POST", "/internal/attempts", attempt("d", "hi", 600)))
    text = next(stream)["text"]
    agent.terminate()
    for event in stream:
        text += event.get("text", "")
    assert event["type"] == "end" and text == expected_output("hi", 600), event
    assert agent.wait(10) == 0
    eventually(engine_is_empty)


def memory_and_cpu(process):
    with open(f"/proc/{process.pid}/status") as file:
        memory = next(int(line.split()[1]) for line in file if line.startswith("VmRSS"))
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return memory, (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure(processes, port):
    agent = processes.agent(port)
    time.sleep(3)
    tokens = [0]

    def read(response):
        for _ in events(response):
            tokens[0] += 1

    for label, count, seconds in (("idle, 3 subscribers", 0, 30), ("100 open streams", 100, 10)):
        readers = [threading.Thread(target=read, args=[connect(
            port, "POST", "/internal/attempts", attempt(f"m{i}", "hello", 4000))])
            for i in range(count)]
        for reader in readers:
            reader.start()
        time.sleep(2)
        _, used = memory_and_cpu(agent)
        before = tokens[0]
        time.sleep(seconds)
        memory, used_after = memory_and_cpu(agent)
        print(f"{label}: {memory} KiB, {100 * (used_after - used) / seconds:.2f}% of a core, "
              f"{(tokens[0] - before) / seconds:.0f} tokens/s")
        for reader in readers:
            reader.join()


def main():
    processes = Processes()
    try:
        if "--measure" in sys.argv:
            return measure(processes, PORT + 10)
        agent = test_killed_agent(processes, PORT + 10)
        agent = test_frozen_agent(processes, agent, PORT + 10, PORT + 11)
        test_frozen_engine(processes, PORT + 11)
        test_terminated_agent(agent, PORT + 11)
    finally:
        processes.stop()


main()
