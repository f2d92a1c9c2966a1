"""Stand-ins for the cases of this review: the platform's store, runners, clients, and gateways as processes.

Everything listens on loopback addresses. The names on the wire are those of the platform's pages.
"""

import base64
import http.server
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "Utilities", "lavenderpick")
TEMPLATE = os.path.join(ROOT, "deploy", "gateway.yaml.template")

# The bounds of the small deployment in the platform's page on how it runs the system.
CONTACT_MS = 3000
DRAIN_MS = 2000
GRACE_S = 8
CONFIG_APPLY_MS = 2000


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.started

    def add(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()

    def say(self, text):
        self.add(text)
        try:
            print(text, flush=True)
        except BrokenPipeError:
            pass  # The reader of the output has gone; the record has the line.


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        pass

    def respond(self, status, body=b"", headers=None):
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def respond_json(self, status, value):
        self.respond(status, json.dumps(value).encode(), {"Content-Type": "application/json"})

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def do_GET(self):
        self.server.owner.answer(self)

    do_POST = do_GET
    do_HEAD = do_GET


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def __init__(self, address, owner):
        self.owner = owner
        self.open_sockets = set()
        super().__init__(address, Handler)

    def process_request(self, request, client_address):
        self.open_sockets.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.open_sockets.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """A peer that ends leaves its connections."""


class StandIn:
    """A server on a free port; `answer` handles each request."""

    def __init__(self, host="127.0.0.1"):
        self.server = Server((host, 0), self)
        self.address = f"{host}:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()

    def stop(self):
        """Ends like a process: the listener and all channels are closed."""
        self.server.shutdown()
        self.server.server_close()
        for opened in list(self.server.open_sockets):
            try:
                opened.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Store(StandIn):
    """The platform's store: rows, transactions with one revision each, and polls for changes."""

    def __init__(self, record):
        self.record = record
        self.condition = threading.Condition()
        self.rows = {}
        self.changes = []
        self.revision = 1
        self.begin = time.monotonic()
        super().__init__()

    def transact(self, puts=(), removals=()):
        """Applies all entries in one transaction; returns its revision."""
        with self.condition:
            self.revision += 1
            for table, key, value in puts:
                data = value if isinstance(value, bytes) else json.dumps(value).encode()
                row = {"table": table, "part": "", "key": key, "revision": self.revision,
                       "value": base64.b64encode(data).decode()}
                self.rows[(table, key)] = row
                self.changes.append(row)
            for table, key in removals:
                self.rows.pop((table, key), None)
                self.changes.append({"table": table, "part": "", "key": key, "removed": True,
                                     "revision": self.revision})
            self.condition.notify_all()
            return self.revision

    def now_ms(self):
        return int((time.monotonic() - self.begin) * 1000)

    def answer(self, handler):
        url = urllib.parse.urlsplit(handler.path)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        body = handler.read_body()
        if url.path == "/rows-tx":
            call = json.loads(body)
            revision = self.transact([(row["table"], row["key"], base64.b64decode(row["value"]))
                                      for row in call["setKeys"]])
            handler.respond_json(200, {"revision": revision, "nowMs": self.now_ms()})
        elif url.path == "/rows-get":
            handler.respond_json(200, self.read_rows(query))
        elif url.path == "/rows-feed":
            handler.respond_json(200, self.read_changes(query))
        else:
            handler.respond_json(404, {})

    def read_rows(self, query):
        with self.condition:
            records = [row for (table, key), row in sorted(self.rows.items())
                       if table == query["table"] and key >= query.get("from", "")]
            return {"records": records[:500], "hasMore": len(records) > 500, "revision": self.revision,
                    "nowMs": self.now_ms()}

    def read_changes(self, query):
        after = int(query["afterRev"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        with self.condition:
            while True:
                records = [row for row in self.changes
                           if row["table"] == query["table"] and row["revision"] > after]
                if records or time.monotonic() >= end:
                    return {"records": records, "revision": self.revision, "nowMs": self.now_ms()}
                self.condition.wait(max(0.001, end - time.monotonic()))


class Runner(StandIn):
    """A runner of one service. `work` answers a request; by default a short answer after `delay` seconds."""

    def __init__(self, record, store, identifier, service, delay=0.0, work=None, host="127.0.0.1"):
        self.record = record
        self.store = store
        self.identifier = identifier
        self.service = service
        self.delay = delay
        self.work = work
        self.arrivals = []
        super().__init__(host)

    def entry(self, state="ready"):
        return ("servers", self.identifier,
                {"service": self.service, "address": self.address, "zone": "zone-a", "version": "v1",
                 "capacity": 64, "state": state, "coldLeftMs": 0, "seq": 1, "born": 1})

    def answer(self, handler):
        handler.read_body()
        identifier = handler.headers.get("X-Attempt-Id", "")
        if handler.headers.get("X-Expect-Instance") != self.identifier:
            handler.respond(421)
            return
        self.arrivals.append((time.monotonic(), identifier))
        headers = {"X-Attempt-Id": identifier, "X-Server-Seal": f"seal-{self.identifier}"}
        if self.work is not None:
            self.work(self, handler, identifier, headers)
            return
        time.sleep(self.delay)
        handler.respond(200, b"done " + identifier.encode(), headers)


class Proxy:
    """Passes channels on to `target`. After `silence`, the channels open by then carry nothing any more. Between
    `refuse` and `heal`, all channels are reset."""

    def __init__(self, target, host="127.0.0.1"):
        self.target = target.rsplit(":", 1)
        self.listener = socket.create_server((host, 0), backlog=64)
        self.address = "%s:%d" % self.listener.getsockname()
        self.channels = []
        self.refusing = False
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
                if self.refusing:
                    self.reset(near)
                    continue
                far = socket.create_connection((self.target[0], int(self.target[1])))
            except OSError:
                return
            channel = {"silent": False, "sockets": (near, far)}
            self.channels.append(channel)
            for source, sink in ((near, far), (far, near)):
                source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self.pump, args=(channel, source, sink), daemon=True).start()

    @staticmethod
    def pump(channel, source, sink):
        try:
            while data := source.recv(65536):
                if not channel["silent"]:
                    sink.sendall(data)
        except OSError:
            pass
        if not channel["silent"]:
            for end in channel["sockets"]:
                try:
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    @staticmethod
    def reset(channel_end):
        channel_end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        channel_end.close()

    def refuse(self):
        self.refusing = True
        for channel in self.channels:
            channel["silent"] = True
            for end in channel["sockets"]:
                try:
                    end.shutdown(socket.SHUT_RDWR)
                    self.reset(end)
                except OSError:
                    pass
        self.channels = []

    def heal(self):
        self.refusing = False

    def silence(self):
        for channel in self.channels:
            channel["silent"] = True

    def stop(self):
        self.listener.close()
        for channel in self.channels:
            for end in channel["sockets"]:
                end.close()


def route(name, kind, service, timeout_ms=10000, objective_ms=1000, attempts=2, **fields):
    return {"name": name, "host": "calls.example", "prefix": f"/{name}/", "routeKind": kind, "timeoutMs": timeout_ms,
            "sloMs": objective_ms, "priority": 1, "service": service, "maxAttempts": attempts, "anonymous": False,
            **fields}


def manifest(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "healthPath": "/healthz", "maxConnections": 400} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000000, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "tenant-1", "apiKeys": ["key-1"]}]}


def free_port(hosts):
    """A port that is free for TCP and UDP at all hosts, below the range of the kernel's outgoing connections."""
    while True:
        port = random.randrange(20_000, 32_000)
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((host, port))
            return port
        except OSError:
            continue


def render(fields):
    """The placeholders that the deploy file's template uses."""
    def replace(match):
        value = fields[match.group(1)]
        return json.dumps(value) if match.group(2) else str(value)

    with open(TEMPLATE) as file:
        return re.sub(r"\{\{([A-Za-z.0-9]+)(\|json)?\}\}", replace, file.read())


class Gateway:
    """One process, started with the command of the deploy file."""

    def __init__(self, record, folder, name, host, peer_port, store, seeds=()):
        self.record = record
        self.name = name
        self.front = (host, free_port([host]))
        self.ready = (host, free_port([host]))
        self.log_path = os.path.join(folder, name + ".log")
        settings = os.path.join(folder, name + ".yaml")
        with open(settings, "w") as file:
            file.write(render({
                "nodeName": name, "zone": "zone-a", "ipAddr": host, "internalPorts.0": peer_port,
                "listen.front": "%s:%d" % self.front, "listen.ready": "%s:%d" % self.ready,
                "platform.address": store.address, "bounds.configApplyMs": CONFIG_APPLY_MS,
                "bounds.drainMs": DRAIN_MS, "seedNodes": list(seeds), "bounds.graceS": GRACE_S,
                "limits.memoryMb": 260, "bounds.retryRatio": 0.2, "bounds.retrySlack": 102,
                "bounds.retryWindowS": 10}))
        self.log = open(self.log_path, "w")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", ""),
                       "LAVENDERPICK_NODE_FILE": settings}
        self.process = subprocess.Popen([PROGRAM, "gateway"], cwd=ROOT, env=environment, stdout=self.log,
                                        stderr=self.log)
        record.add(f"{name} started, process {self.process.pid}")

    def is_ready(self):
        try:
            with socket.create_connection(self.ready, timeout=0.5) as channel:
                channel.sendall(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                return channel.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def terminate(self):
        self.record.say(f"{self.name} gets SIGTERM")
        self.process.send_signal(signal.SIGTERM)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body_bytes = 0
        self.expected_bytes = None
        self.ended = ""  # Empty if complete.

    @property
    def is_complete(self):
        return self.status > 0 and not self.ended


class Client:
    """A client's channel. Reads at most `bytes_per_s`, if given."""

    def __init__(self, gateway, bytes_per_s=None, receive_buffer=None):
        self.bytes_per_s = bytes_per_s
        self.socket = socket.socket()
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.settimeout(15)
        self.socket.connect(gateway.front)
        self.pending = b""

    def send(self, path, identifier, deadline_ms, method="GET", body=b""):
        head = (f"{method} {path} HTTP/1.1\r\nHost: calls.example\r\nX-Attempt-Id: {identifier}\r\n"
                f"X-Deadline-Ms: {deadline_ms}\r\nApi-Key: key-1\r\n")
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        self.socket.sendall(head.encode() + b"\r\n" + body)

    def receive(self, size=65536):
        if self.bytes_per_s:
            slice_bytes = max(1, int(self.bytes_per_s / 100))
            time.sleep(0.01)
            return self.socket.recv(min(size, slice_bytes))
        return self.socket.recv(size)

    def read(self):
        """Reads one answer with a length."""
        answer = Answer()
        try:
            while b"\r\n\r\n" not in self.pending:
                data = self.receive()
                if not data:
                    answer.ended = "the channel ended before the answer"
                    return answer
                self.pending += data
            head, self.pending = self.pending.split(b"\r\n\r\n", 1)
            lines = head.decode("latin-1").split("\r\n")
            answer.status = int(lines[0].split()[1])
            answer.headers = {name.lower(): value.strip()
                              for name, value in (line.split(":", 1) for line in lines[1:])}
            answer.expected_bytes = int(answer.headers["content-length"])
            answer.body_bytes = len(self.pending)
            self.pending = b""
            while answer.body_bytes < answer.expected_bytes:
                data = self.receive()
                if not data:
                    answer.ended = "the channel ended within the answer"
                    return answer
                answer.body_bytes += len(data)
        except socket.timeout:
            answer.ended = "no byte for 15 s"
        except OSError as error:
            answer.ended = f"the channel was reset: {error.strerror}"
        return answer

    def close(self):
        self.socket.close()


def wait_until(condition, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.05)
    return False


def run_case(case_folder, play):
    """Runs `play(record, folder, ending, trouble)`; it returns 0, 1 or 2. Ends all that was started."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # Ended from outside, a case still ends what it started.
    signal.signal(signal.SIGTERM, lambda *arguments: sys.exit(2))
    record = Record(os.path.join(case_folder, "record.txt"))
    record.add(f"trouble: {'yes' if trouble else 'no'}")
    ending = []
    result = 2
    with tempfile.TemporaryDirectory() as folder:
        try:
            if not os.access(PROGRAM, os.X_OK):
                record.say("could not run: the program is not built")
            else:
                result = play(record, folder, ending, trouble)
        except Exception as error:  # A case that can't run must say so by its exit code.
            record.say(f"could not run: {type(error).__name__}: {error}")
            result = 2
        finally:
            for started in reversed(ending):
                (started.end if hasattr(started, "end") else started.stop)()
    record.say({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[result])
    return result
