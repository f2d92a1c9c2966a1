"""A small deployment on loopback for the cases 6 to 10: a store, runners, gateways as processes, and clients.

Everything that was sent, answered and run is written to record.txt of the case, one line each with the time in
seconds since the start.
"""

import base64
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
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "Utilities", "lavenderpick")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Below the range from which the kernel takes ports for outgoing connections.
PORTS = range(10000, 32000)
HOST = "127.0.0.1"


class Record:
    """record.txt of one case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def write(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{self.now():8.3f} {what} {text}\n")

    def close(self):
        with self.lock:
            self.file.close()


def free_port(host=HOST):
    while True:
        port = random.choice(PORTS)
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((host, port))
                udp.bind((host, port))
                return port
            except OSError:
                continue


class Lost(Exception):
    """The channel ended before the message was complete."""


class Channel:
    """Reads HTTP/1.1 messages from a socket."""

    def __init__(self, connection):
        self.connection = connection
        self.buffer = b""

    def more(self):
        data = self.connection.recv(65536)
        if not data:
            raise Lost()
        self.buffer += data

    def read_until(self, mark):
        while mark not in self.buffer:
            self.more()
        text, self.buffer = self.buffer.split(mark, 1)
        return text

    def read_exactly(self, count):
        while len(self.buffer) < count:
            self.more()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def read_head(self):
        """The first line and the fields, with names in lower case."""
        lines = self.read_until(b"\r\n\r\n").decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
        return lines[0], fields

    def read_body(self, fields, until_close=False):
        if "chunked" in fields.get("transfer-encoding", "").lower():
            body = b""
            while True:
                size = int(self.read_until(b"\r\n").split(b";")[0], 16)
                if size == 0:
                    self.read_until(b"\r\n")
                    return body
                body += self.read_exactly(size)
                self.read_exactly(2)
        if "content-length" in fields:
            return self.read_exactly(int(fields["content-length"]))
        if until_close:
            while True:
                try:
                    self.more()
                except Lost:
                    return self.buffer
        return b""


def reset(connection):
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    connection.close()


class Listener:
    """Accepts channels on one address and calls `serve(channel)` in a thread for each."""

    def __init__(self, host=HOST, port=0, backlog=512):
        self.host = host
        self.port = port or free_port(host)
        self.address = f"{host}:{self.port}"
        self.backlog = backlog
        self.socket = None
        self.connections = set()
        self.lock = threading.Lock()
        self.open()

    def open(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, self.port))
        listener.listen(self.backlog)
        self.socket = listener
        threading.Thread(target=self.accept, args=(listener,), daemon=True).start()

    def accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                if self.socket is not listener:
                    reset(connection)
                    continue
                self.connections.add(connection)
            threading.Thread(target=self.run, args=(connection,), daemon=True).start()

    def run(self, connection):
        try:
            self.serve(Channel(connection))
        except (OSError, Lost, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            try:
                connection.close()
            except OSError:
                pass

    def crash(self):
        """Closes the listener and resets all channels."""
        with self.lock:
            listener, self.socket = self.socket, None
            connections, self.connections = self.connections, set()
        if listener is not None:
            try:
                listener.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            listener.close()
        for connection in connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RD)  # Wakes the thread that reads it.
            except OSError:
                pass
            connection.close()

    def serve(self, channel):
        raise NotImplementedError


class Store(Listener):
    """The platform's store: rows with revisions, and a feed of changes that waits."""

    def __init__(self):
        self.condition = threading.Condition()
        self.rows = {}
        self.changes = []
        self.revision = 1
        super().__init__()

    def put(self, table, key, value):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.condition:
            self.revision += 1
            row = {"table": table, "part": "", "key": key, "revision": self.revision,
                   "value": base64.b64encode(text).decode()}
            self.rows[(table, key)] = row
            self.changes.append(row)
            self.condition.notify_all()

    def remove(self, table, key):
        with self.condition:
            self.revision += 1
            self.rows.pop((table, key), None)
            self.changes.append({"table": table, "part": "", "key": key, "removed": True, "revision": self.revision})
            self.condition.notify_all()

    def serve(self, channel):
        while True:
            line, fields = channel.read_head()
            body = channel.read_body(fields)
            answer = json.dumps(self.answer(line.split(" ")[1], body)).encode()
            channel.connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                       b"Content-Length: %d\r\n\r\n%s" % (len(answer), answer))

    def answer(self, target, body):
        url = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        now_ms = int(time.monotonic() * 1000)
        if url.path == "/rows-tx":
            for row in json.loads(body)["setKeys"]:
                self.put(row["table"], row["key"], base64.b64decode(row["value"]))
            return {"revision": self.revision, "nowMs": now_ms}
        if url.path == "/rows-get":
            with self.condition:
                records = [row for (table, _), row in sorted(self.rows.items()) if table == query["table"]]
                return {"records": records, "hasMore": False, "revision": self.revision, "nowMs": now_ms}
        after = int(query["afterRev"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self.condition:
            while True:
                records = [row for row in self.changes if row["table"] == query["table"] and row["revision"] > after]
                left = end - time.monotonic()
                if records or left <= 0:
                    return {"records": records, "revision": self.revision, "nowMs": now_ms}
                self.condition.wait(left)


class Runner(Listener):
    """A runner of one service. `handle` answers a request that this runner accepted."""

    def __init__(self, store, record, identifier, service, zone="a", capacity=12):
        self.store = store
        self.record = record
        self.identifier = identifier
        self.service = service
        self.zone = zone
        self.capacity = capacity
        self.born = int(time.time() * 1000)
        super().__init__()
        self.register("ready")

    def register(self, state):
        self.store.put("servers", self.identifier, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "capacity": self.capacity, "state": state, "coldLeftMs": 0, "seq": 1, "born": self.born})

    def serve(self, channel):
        while True:
            line, fields = channel.read_head()
            if not self.take(channel, line, fields):
                return

    def take(self, channel, line, fields):
        """Reads the body and answers. Returns whether the channel stays open."""
        body = channel.read_body(fields)
        if fields.get("x-expect-instance") not in (None, self.identifier):
            channel.connection.sendall(f"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {self.identifier}\r\n"
                                       "Content-Length: 0\r\n\r\n".encode())
            return True
        return self.handle(channel, line, fields, body)

    def handle(self, channel, line, fields, body):
        raise NotImplementedError


class Gateway:
    """One process of the role `gateway`, started as the deploy file says."""

    def __init__(self, folder, record, name, store, seeds=(), host=HOST, peer_port=None, zone="a", memory_mb=512):
        self.record = record
        self.name = name
        self.host = host
        self.peer_port = peer_port or free_port(host)
        self.callers_port, self.ready_port = free_port(host), free_port(host)
        self.settings = os.path.join(folder, name + ".yaml")
        self.log_path = os.path.join(folder, name + ".log")
        with open(self.settings, "w") as file:
            file.write("\n".join([
                f'name: "{name}"',
                f'availability_zone: "{zone}"',
                "listen:",
                f'  callers: "{host}:{self.callers_port}"',
                f'  readiness: "{host}:{self.ready_port}"',
                f'  peers: "{host}:{self.peer_port}"',
                f'  metrics: "{host}:{free_port(host)}"',
                "platform:",
                f'  address: "{store.address}"',
                "  configuration_limit: 3000 ms",
                "  draining_limit: 3000 ms",
                "  evacuation_limit: 5000 ms",
                f"seeds: {json.dumps(list(seeds))}",
                "stop_grace: 8 s",
                f"memory: {memory_mb} MiB",
                "queue:",
                "  order: fair",
                "retries:",
                "  ratio: 0.2",
                "  slack: 120",
                "  window: 10 s",
            ]) + "\n")
        self.start()

    def start(self):
        self.log = open(self.log_path, "a")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["LAVENDERPICK_NODE_FILE"] = self.settings
        self.process = subprocess.Popen([PROGRAM, "gateway"], cwd=ROOT, env=environment, stdout=self.log,
                                        stderr=self.log, stdin=subprocess.DEVNULL)
        self.record.write("gateway-started", name=self.name)

    def is_ready(self):
        try:
            with socket.create_connection((self.host, self.ready_port), timeout=1) as connection:
                connection.sendall(b"GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                return Channel(connection).read_head()[0].split(" ")[1] == "200"
        except (OSError, Lost):
            return False

    def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.is_ready():
                return
            time.sleep(0.05)
        raise TimeoutError(f"{self.name} is not ready")

    def connect(self, timeout=20):
        return socket.create_connection((self.host, self.callers_port), timeout=timeout)

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


class Answer:
    def __init__(self, status, fields, body):
        self.status = status
        self.fields = fields
        self.body = body


def request_bytes(path, identifier, body=None, method=None, deadline_ms=10000, key="key-1", fields=()):
    head = [f"{method or ('POST' if body is not None else 'GET')} {path} HTTP/1.1", "Host: h",
            f"X-Attempt-Id: {identifier}", f"X-Deadline-Ms: {deadline_ms}", f"Api-Key: {key}"]
    head += [f"{name}: {value}" for name, value in fields]
    if body is not None:
        head.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode() + (body or b"")


def read_answer(channel):
    line, fields = channel.read_head()
    status = int(line.split(" ")[1])
    return Answer(status, fields, channel.read_body(fields, until_close=True))


def ask(gateway, path, identifier, timeout=20, **options):
    """Sends one request on a new channel. Returns its answer, or None if the channel ended without a whole one."""
    try:
        with gateway.connect(timeout) as connection:
            connection.sendall(request_bytes(path, identifier, **options))
            return read_answer(Channel(connection))
    except (OSError, Lost):
        return None


def answer_head(identifier, status=200, reason="OK", sealed=True, not_run=False, length=None, fields=()):
    """The head of a runner's answer. Without `length` the caller frames the body itself."""
    lines = [f"HTTP/1.1 {status} {reason}", f"X-Attempt-Id: {identifier}"]
    if sealed:
        lines.append(f"X-Server-Seal: seal.{identifier}.{status}")
    if not_run:
        lines.append("X-Not-Executed: 1")
    lines += [f"{name}: {value}" for name, value in fields]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n").encode() + (b"" if length is None else b"\r\n")


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def identifier_of(fields):
    return fields.get("x-attempt-id", "")


def seal_of(answer):
    return answer.fields.get("x-server-seal", "-")


def generation(prompt_tokens, output_tokens, parts):
    """The fields of a request for a model; `parts` are (id, tokens) in order."""
    return [("X-Model-Name", "m"), ("X-Token-Counts", f"{prompt_tokens},{output_tokens}"),
            ("X-Prompt-Prefix", ",".join(f"{part}:{tokens}" for part, tokens in parts))]


def parts_of(fields):
    return [entry.split(":")[0].strip() for entry in fields.get("x-prompt-prefix", "").split(",")]


def helpers_of(fields):
    """The (address, ticket) of each helper that a request names; the ticket may be empty."""
    entries = [entry.strip().partition("/") for entry in fields.get("x-helper-instances", "").split(",") if entry.strip()]
    return [(address, ticket) for address, _, ticket in entries]


def order_of(body):
    """An order to set memory aside or to end that."""
    return {"op": body["op"], "id": body["id"], "tokens": body.get("tokenCount", 0), "hold_s": body.get("holdMs", 0) / 1000}


def route(name, kind, service, objective_ms=300, time_limit_ms=10000, most_runners=2, priority=1):
    entry = {"name": name, "host": "h", "prefix": f"/{name}/", "routeKind": kind, "timeoutMs": time_limit_ms,
             "sloMs": objective_ms, "priority": priority, "service": service, "maxAttempts": most_runners,
             "anonymous": False}
    if kind == "streaming":
        entry.update({"resumable": True, "sticky": True, "gapTargetMs": 250})
    return entry


ENGINE = {"capacity": 12, "kvTokens": 197200, "kvTokenBytes": 327680, "tokenStride": 48, "models": [{"name": "m"}],
          "step_ms": 1.02, "per_seq_ms": 0.00226, "context_per_k": 0.00431, "read_per_s": 206000.0,
          "pairs_per_m": 0.138, "chunk": 2048, "report_lag_ms": 200.0, "hopMs": 0.075}


def manifest(version, routes):
    return {"version": version, "routes": routes,
            "services": [{"name": "engines", "healthPath": "/healthz", "maxConnections": 438, "engineParams": ENGINE},
                         {"name": "desk", "healthPath": "/healthz", "maxConnections": 190}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "customer-1", "apiKeys": ["key-1"]}]}


def run_case(case_folder, play):
    """Runs `play(folder, record, gateways)`, ends all processes, and exits with its result."""
    if not os.path.exists(PROGRAM):
        print("The program is not built; run the build of the deploy file first.", file=sys.stderr)
        sys.exit(NOT_RUN)
    record = Record(case_folder)
    gateways = []
    result = NOT_RUN

    def end(*_):
        raise SystemExit(NOT_RUN)

    signal.signal(signal.SIGTERM, end)
    with tempfile.TemporaryDirectory() as folder:
        try:
            result = play(folder, record, gateways)
        except Exception as error:  # The case could not run.
            record.write("case-could-not-run", error=repr(error))
            print(f"The case could not run: {error!r}", file=sys.stderr)
        finally:
            for gateway in gateways:
                gateway.stop()
            if os.environ.get("KEEP_LOGS"):
                for gateway in gateways:
                    with open(gateway.log_path) as source, open(f"/tmp/{gateway.name}.log", "w") as target:
                        target.write(source.read())
    record.write("result", exit=result)
    record.close()
    sys.stdout.flush()
    os._exit(result)  # Threads of the stand-ins may still wait.
