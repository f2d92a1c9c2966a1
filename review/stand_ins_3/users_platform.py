"""The users' platform on loopback, for the scripts of review/11 to review/15: the store, runners and callers, and the
gateways as processes. The stand-ins run on one event loop of the script's process, on the real clock."""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

PROGRAM = ["target/Utilities/lavenderpick", "gateway", "--settings"]  # `run` of deploy/system.toml.
HEARTBEAT_S = 1.2  # heartbeatMs
DRAIN_S = 2.0      # drainMs
CONTACT_S = 3.0    # contactMs
MEMORY_MIB = 260   # limits.memoryMb
LIMIT_FIELD = "server-limit"
RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"  # struct linger { 1, 0 }
PORTS = range(10000, 32000)


class Record:
    """Writes what was sent, answered and run to `record.txt`, with seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_port(hosts=("127.0.0.1",)):
    while True:
        port = random.choice(PORTS)
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
                    probe.bind((host, port))
            return port
        except OSError:
            continue


async def read_message(reader):
    """First line, fields with names in lower case, and body of one message; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.lower()] = value.strip()
    body = b""
    if fields.get("content-length"):
        body = await reader.readexactly(int(fields["content-length"]))
    return lines[0], fields, body


def message(first, fields, body=b""):
    lines = [first, *(f"{name}: {value}" for name, value in fields.items()), f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """Answers one request at a time on each channel."""

    def __init__(self):
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        self.listener = None
        self.channels = set()

    async def listen(self):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=512)

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                received = await read_message(reader)
                if received is None or not await self.answer(*received, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    def reset(self, writer):
        connection = writer.get_extra_info("socket")
        if connection is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.transport.abort()

    def end(self):
        """The process is gone: its channels are reset, and nobody listens at its port."""
        if self.listener:
            self.listener.close()
        for writer in list(self.channels):
            self.reset(writer)
        self.channels.clear()


class Store(Server):
    """Rows in tables with a single counter, and feeds of their changes."""

    def __init__(self):
        super().__init__()
        self.rows, self.changes, self.revision = {}, [], 1
        self.era = 1
        self.changed = asyncio.Condition()

    async def put(self, table, key, value):
        await self.write(table, key, json.dumps(value).encode())

    async def write(self, table, key, data, part=""):
        self.revision += 1
        row = {"table": table, "part": part, "key": key, "revision": self.revision,
               "value": base64.b64encode(data).decode()}
        self.rows[(table, part, key)] = row
        self.changes.append(row)
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, table, key):
        if self.rows.pop((table, "", key), None) is None:
            return
        self.revision += 1
        self.changes.append({"table": table, "part": "", "key": key, "removed": True, "revision": self.revision})
        async with self.changed:
            self.changed.notify_all()

    async def answer(self, first, fields, body, reader, writer):
        if first.count(" ") != 2:
            writer.write(message("HTTP/1.1 400 Bad Request", {}))
            return True
        path, _, query = first.split(" ")[1].partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        result = {"revision": self.revision, "nowMs": int(time.monotonic() * 1000)}
        if path == "/rows-tx":
            for row in json.loads(body)["setKeys"]:
                await self.write(row["table"], row["key"], base64.b64decode(row["value"]), row["part"])
            result["revision"] = self.revision
        elif path == "/rows-get":
            result["records"], result["hasMore"] = self.page(query["table"], query["part"],
                                                                  query.get("from", ""))
        elif path == "/rows-feed" and int(query["afterRev"]) > self.revision:
            writer.write(message("HTTP/1.1 410 Gone", {"Store-Era": self.era}))
            return True
        elif path == "/rows-feed":
            result = await self.feed(query["table"], int(query["afterRev"]), int(query["waitMs"]) / 1000)
        else:
            return False
        writer.write(message("HTTP/1.1 200 OK", {"Content-Type": "application/json", "Store-Era": self.era},
                             json.dumps(result).encode()))
        await writer.drain()
        return True

    def page(self, table, part, first_key):
        """At most 500 rows or 1 MB."""
        rows, size = [], 0
        for place, row in sorted(self.rows.items()):
            if place[:2] != (table, part) or place[2] < first_key:
                continue
            size += len(row["value"]) * 3 // 4
            if rows and (len(rows) == 500 or size > 1_000_000):
                return rows, True
            rows.append(row)
        return rows, False

    def copy(self):
        """What the store holds now, for `come_back`."""
        return dict(self.rows), list(self.changes), self.revision

    def come_back(self, copy):
        """The store is that of an older copy, and its era rises by one."""
        self.rows, self.changes, self.revision = dict(copy[0]), list(copy[1]), copy[2]
        self.era += 1

    async def feed(self, table, after, wait_s):
        end = time.monotonic() + wait_s
        while True:
            records = [row for row in self.changes if row["revision"] > after and row["table"] == table]
            left = end - time.monotonic()
            if records or left <= 0:
                return {"records": records, "revision": self.revision, "nowMs": int(time.monotonic() * 1000)}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Runner(Server):
    """A runner of one service: calls and streams of events, `capacity` at once and `queue` more waiting.

    A prompt with the part `fatal_part` crashes it when it begins to write: all its channels are reset, and it starts
    again `down_s` later. Where `loses(identifier)` holds, the request runs and its channel is reset."""

    def __init__(self, record, store, name, service, zone="enna-a", capacity=16, queue=32, work_s=0.05, events=5,
                 gap_s=0.12, down_s=3.0, fatal_part=None, keeps_id=False):
        super().__init__()
        self.record, self.store, self.name, self.service, self.zone = record, store, name, service, zone
        self.capacity, self.queue, self.work_s, self.events, self.down_s = capacity, queue, work_s, events, down_s
        self.gap_s = gap_s  # Between the events of a stream; `work_s` passes before the first one.
        self.fatal_part, self.keeps_id = fatal_part, keeps_id
        self.lives = 0
        self.loses = lambda identifier: False
        self.limit = None        # Requests a second that the runner names in its answers, while it is in need.
        self.retry_after = None  # Seconds for which the runner wants nothing, while it turns requests away with 503.
        self.arrived, self.ran, self.crashes, self.cut = [], [], [], []
        self.running = set()
        self.state = "ready"
        self.beating = None

    async def start(self):
        self.lives += 1
        self.id = self.name if self.keeps_id else f"{self.name}-{self.lives}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.slots = asyncio.Semaphore(self.capacity)
        await self.listen()
        self.beating = asyncio.create_task(self.beat())

    def entry(self):
        self.seq += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "capacity": self.capacity, "state": self.state, "coldLeftMs": 0, "seq": self.seq, "born": self.born}

    async def beat(self, delay_s=0):
        await asyncio.sleep(delay_s)
        while True:
            await self.store.put("servers", self.id, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def expire(self, identifier):
        """The store drops the entry after three liveness report intervals of silence."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        if not (self.keeps_id and self.beating and not self.beating.done()):
            await self.store.remove("servers", identifier)

    def stop(self):
        if self.beating:
            self.beating.cancel()
        self.end()

    async def drain(self):
        """Reports that the runner leaves; the store has accepted that when this returns."""
        self.beating.cancel()
        self.state = "draining"
        await self.store.put("servers", self.id, self.entry())
        self.beating = asyncio.create_task(self.beat(HEARTBEAT_S))

    async def leave(self):
        """The process exits."""
        self.cut += sorted(self.running)
        self.running.clear()
        self.stop()
        await self.store.remove("servers", self.id)

    def crash(self):
        self.crashes.append(self.record.now())
        self.cut += sorted(self.running)
        self.record(f"runner {self.id} crashes, at work on {len(self.running)} requests")
        self.running.clear()
        self.stop()
        asyncio.create_task(self.expire(self.id))
        asyncio.create_task(self.restart())

    async def restart(self):
        await asyncio.sleep(self.down_s)
        await self.start()
        self.record(f"runner {self.id} is back")

    async def answer(self, first, fields, body, reader, writer):
        life = self.lives
        method, target, _ = first.split(" ")
        identifier = fields.get("x-attempt-id", "")
        common = {"X-Attempt-Id": identifier, "X-Instance-Load": f"{len(self.running)},0,{self.capacity}"}
        if self.limit is not None:
            common["Server-Limit"] = self.limit
        if target == "/healthz":
            writer.write(message("HTTP/1.1 200 OK", {"X-Instance-Id": self.id}))
            return True
        if fields.get("x-expect-instance", self.id) != self.id:
            writer.write(message("HTTP/1.1 421 Misdirected Request", {**common, "At-Server": self.id}))
            return True
        self.arrived.append((self.record.now(), identifier))
        self.record(f"request {identifier} reaches {self.id}")
        pause = self.retry_after
        if pause is not None or len(self.running) >= self.capacity + self.queue:
            headers = {**common, "X-Not-Executed": "1", "At-Server": self.id}
            if pause is not None:
                headers["Retry-After"] = pause
            self.record(f"request {identifier} is turned away by {self.id} with 503" +
                        (f", Retry-After {pause}" if pause is not None else ""))
            writer.write(message("HTTP/1.1 503 Service Unavailable", headers))
            return True
        self.running.add(identifier)
        try:
            async with self.slots:
                if "x-token-counts" in fields:
                    return await self.stream(identifier, fields, common, writer, life)
                await asyncio.sleep(self.work_s)
                if life != self.lives or identifier not in self.running:
                    return False
                self.ran.append(identifier)
                if self.loses(identifier):
                    self.reset(writer)
                    return False
                writer.write(message("HTTP/1.1 200 OK", {**common, "X-Server-Seal": f"seal.{self.id}"},
                                     b"done by " + self.id.encode()))
                await writer.drain()
                return True
        finally:
            self.running.discard(identifier)

    async def stream(self, identifier, fields, common, writer, life):
        parts = [part.split(":")[0] for part in fields.get("x-prompt-prefix", "").split(",")]
        first = int(fields.get("last-event-id", "0")) + 1
        await asyncio.sleep(self.work_s)
        if life != self.lives or identifier not in self.running:
            return False
        self.ran.append(identifier)
        if self.fatal_part in parts[:-1]:
            self.crash()
            return False
        if self.loses(identifier):
            self.reset(writer)
            return False
        headers = {**common, "X-Server-Seal": f"seal.{self.id}", "Content-Type": "text/event-stream",
                   "Transfer-Encoding": "chunked", "X-Weight-Versions": 1}
        head = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers.items())]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: x\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
            if life != self.lives or identifier not in self.running:
                return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def configuration(version=1, tenants=1, first_key=1):
    """A manifest with the kinds of request of the deployment's sheet, and tenants with a key each."""
    def route(name, kind, service, **fields):
        return {"name": name, "host": "h.example", "prefix": f"/{name}/", "routeKind": kind, "timeoutMs": 10000,
                "sloMs": 300, "priority": 1, "service": service, "maxAttempts": 2, "anonymous": False, **fields}

    engine = {"capacity": 16, "kvTokens": 315000, "tokenStride": 51, "step_ms": 0.85, "per_seq_ms": 0.00425,
              "context_per_k": 0.00285, "read_per_s": 177000, "pairs_per_m": 0.184, "chunk": 2048, "hopMs": 0.05}
    stream = {"sticky": True, "gapTargetMs": 250}
    routes = [route("reply", "streaming", "assist", resumable=True, **stream),
              route("draft", "streaming", "assist", **stream),
              route("booking", "unsafe", "prestiti", maxAttempts=1, timeoutMs=5000),
              route("stock", "safe", "prestiti", timeoutMs=5000)]
    return {"version": version, "routes": routes,
            "services": [{"name": "prestiti", "healthPath": "/healthz", "maxConnections": 100},
                         {"name": "assist", "healthPath": "/healthz", "maxConnections": 424, "engineParams": engine}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": f"tenant-{number}", "apiKeys": [f"key-{first_key + number - 1}"]}
                        for number in range(1, tenants + 1)]}


class Gateway:
    """One gateway process, with the settings that the platform renders from deploy/gateway.yaml.template."""

    def __init__(self, record, store, number, folder, peer_port, zone="enna-a"):
        self.record = record
        self.host = f"127.0.0.{number}"
        self.name = f"front-{zone}-{number}"
        self.callers, self.readiness, metrics = (f"{self.host}:{free_port([self.host])}" for _ in range(3))
        self.settings = os.path.join(folder, self.name + ".yaml")
        self.log_path = os.path.join(folder, self.name + ".log")
        with open(self.settings, "w") as file:
            json.dump({"name": self.name, "availability_zone": zone,
                       "listen": {"callers": self.callers, "readiness": self.readiness,
                                  "peers": f"{self.host}:{peer_port}", "metrics": metrics},
                       "platform": {"address": store.address, "configuration_limit": "2000 ms",
                                    "draining_limit": "2000 ms"},
                       "seeds": ["127.0.0.1:1"], "stop_grace": "8 s", "memory": f"{MEMORY_MIB} MiB",
                       "queue": {"order": "fair"}, "retries": {"ratio": 0.2, "slack": 102, "window": "10 s"},
                       "engines": {"unused_reservation_limit": "9000 ms"}}, file)
        self.process = None
        self.memory_kills = 0

    def start(self):
        self.log = open(self.log_path, "a")
        self.process = subprocess.Popen([*PROGRAM, self.settings], stdout=self.log, stderr=self.log)
        self.record(f"gateway {self.name} starts")

    async def ready(self, limit_s=10):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            answer = await call(self.readiness, "GET", "/readyz", {}, 1)
            if answer.status == 200:
                self.record(f"gateway {self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} is not ready")

    def memory_mib(self):
        with open(f"/proc/{self.process.pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20

    async def watch(self, restart_s=1.0):
        """The platform kills a process that exceeds `memoryMb` and starts it again."""
        while True:
            await asyncio.sleep(0.02)
            if self.memory_mib() <= MEMORY_MIB:
                continue
            self.record(f"gateway {self.name} exceeds its memory")
            self.kill()
            self.memory_kills += 1
            await asyncio.sleep(restart_s)
            self.start()

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.log.close()
        self.record(f"gateway {self.name} is killed")

    def lines(self):
        with open(self.log_path) as file:
            return [json.loads(line) for line in file if line.startswith("{")]

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()


class Answer:
    def __init__(self, status=None, fields=None, body=b"", complete=False):
        self.status, self.fields, self.body, self.complete = status, fields or {}, body, complete

    def is_served(self):
        return self.status == 200 and self.complete and "x-server-seal" in self.fields

    def __str__(self):
        return f"{self.status}{'' if self.complete else ' (incomplete)'}" if self.status else "no answer"


async def call(address, method, target, fields, limit_s, body=b""):
    """One request on a new channel."""
    host, port = address.split(":")
    writer = None
    answer = Answer()
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(message(f"{method} {target} HTTP/1.1", {"Host": "h.example", **fields}, body))
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            answer.status = int(head[0].split(" ")[1])
            for line in head[1:]:
                name, _, value = line.partition(":")
                if name:
                    answer.fields[name.lower()] = value.strip()
            if "content-length" in answer.fields:
                answer.body = await reader.readexactly(int(answer.fields["content-length"]))
                answer.complete = True
            while "content-length" not in answer.fields:
                size = int(await reader.readuntil(b"\r\n"), 16)
                answer.body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    answer.complete = True
                    break
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        pass
    finally:
        if writer:
            writer.close()
    return answer


class Deployment:
    """The store, runners and gateways of one script; `close` ends all of them."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.runners, self.gateways, self.answers = [], [], {}
        self.sent_at, self.answered_at, self.gateway_of = {}, {}, {}
        self.tasks, self.counts = [], {}
        self.random = random.Random(46)
        self.peer_port = free_port([f"127.0.0.{number}" for number in range(1, 5)])
        self.record(f"with{'' if self.trouble else 'out'} the disruption")

    async def start(self, gateways=1, manifest=None):
        await self.store.listen()
        await self.store.put("op", "config", manifest or configuration())
        for runner in self.runners:
            await runner.start()
        for number in range(1, gateways + 1):
            self.gateways.append(Gateway(self.record, self.store, number, self.folder.name, self.peer_port))
            self.gateways[-1].start()
        for gateway in self.gateways:
            await gateway.ready()

    def add(self, name, service, **options):
        self.runners.append(Runner(self.record, self.store, name, service, **options))
        return self.runners[-1]

    async def send(self, identifier, route, gateway=0, limit_ms=5000, parts=None, tokens=1000):
        fields = {"X-Attempt-Id": identifier, "X-Deadline-Ms": limit_ms, "Api-Key": "key-1"}
        if parts:
            fields |= {"X-Model-Name": "m", "X-Token-Counts": f"{tokens},250",
                       "X-Prompt-Prefix": ",".join([*(f"{part}:40" for part in parts[:-1]),
                                                    f"{parts[-1]}:{tokens - 40}"])}
        method = "GET" if route == "stock" else "POST"
        target = self.gateways[gateway]
        self.record(f"request {identifier} is sent to {target.name} ({route})")
        self.sent_at[identifier], self.gateway_of[identifier] = self.record.now(), target.name
        answer = await call(target.callers, method, f"/{route}/1", fields, limit_ms / 1000,
                            b"" if method == "GET" else b"x" * 100)
        self.answers[identifier], self.answered_at[identifier] = answer, self.record.now()
        self.record(f"request {identifier} gets {answer}")
        return answer

    def send_soon(self, *arguments, **options):
        self.tasks.append(asyncio.create_task(self.send(*arguments, **options)))

    async def send_at(self, rate, seconds, prefix, route, **options):
        """Sends requests at a rate, to the gateways in turn; their prompts share their first parts."""
        end = time.monotonic() + seconds
        next_at = time.monotonic()
        fatal = options.pop("fatal_part", None)
        while True:
            self.counts[prefix] = number = self.counts.get(prefix, 0) + 1
            if "tokens" in options:
                options["parts"] = [f"{0x100 + self.random.randrange(60):x}", *([fatal] if fatal else []),
                                    f"{0x100000 + 0x10000 * len(self.counts) + number:x}"]
            self.send_soon(f"{prefix}{number}", route, gateway=number % len(self.gateways), **options)
            next_at += 1 / rate
            if next_at >= end:
                return
            await asyncio.sleep(max(0, next_at - time.monotonic()))

    async def finish(self):
        """Waits until each request that was sent is answered or given up."""
        await asyncio.gather(*self.tasks)

    def served(self, prefix, begin, end):
        """How many requests were sent in that time, and how many of them were served."""
        sent = [name for name in self.answers if name.startswith(prefix) and begin <= self.sent_at[name] < end]
        return len(sent), sum(self.answers[name].is_served() for name in sent)

    def crashes(self):
        return sorted(at for runner in self.runners for at in runner.crashes)

    def arrivals(self):
        return sorted((at, identifier, runner.name) for runner in self.runners for at, identifier in runner.arrived)

    def close(self):
        for gateway in self.gateways:
            gateway.stop()
        for stand_in in [*self.runners, self.store]:
            stand_in.end()
        self.folder.cleanup()


def main(case, play):
    """Runs `play(deployment)`, which returns whether the rule held, and exits with 0, 1 or 2. The record is written
    beside the file `case`."""
    async def run():
        deployment = Deployment(os.path.dirname(os.path.abspath(case)))
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(110):
                held = await play(deployment)
            deployment.record("the rule held" if held else "the rule was broken")
            return 0 if held else 1
        except (Exception, asyncio.CancelledError) as error:  # The case could not run.
            deployment.record(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            deployment.close()

    os._exit(asyncio.run(run()))
