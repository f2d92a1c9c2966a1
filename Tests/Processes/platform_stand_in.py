"""The users' platform on loopback: its store, and runners that answer calls and streams."""

import base64
import http.server
import json
import threading
import time
import urllib.parse


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    extra_fields = {}  # Sent with the next answer.

    def log_message(self, *arguments):
        pass

    def respond(self, status, body=b"", headers=None):
        self.send_response(status)
        for name, value in {**self.extra_fields, **(headers or {})}.items():
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


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """A gateway that is killed leaves its polls."""


class StandIn:
    """A server on a free port whose `answer` handles each request."""

    def __init__(self):
        self.server = Server(("127.0.0.1", 0), Handler)
        self.server.owner = self
        self.address = f"127.0.0.1:{self.server.server_port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def stop(self):
        self.server.shutdown()
        self.server.server_close()


class Store(StandIn):
    """Rows with revisions and polls for changes. `refusing` answers every call with 503. After `come_back` the rows and
    the revision are those of an older copy, and `era`, which all answers name, is one higher."""

    def __init__(self):
        self.condition = threading.Condition()
        self.rows = {}
        self.changes = []
        self.revision = 1
        self.refusing = False
        self.era = 1
        self.history_gone = 0  # Answers with status 410.
        super().__init__()

    def copy(self):
        with self.condition:
            return dict(self.rows), list(self.changes), self.revision

    def come_back(self, copy):
        with self.condition:
            rows, changes, self.revision = copy
            self.rows, self.changes = dict(rows), list(changes)
            self.era += 1
            self.condition.notify_all()

    def put(self, table, key, value):
        with self.condition:
            self.revision += 1
            row = {"table": table, "part": "", "key": key, "revision": self.revision,
                   "value": base64.b64encode(json.dumps(value).encode()
                                             if not isinstance(value, bytes) else value).decode()}
            self.rows[(table, key)] = row
            self.changes.append(row)
            self.condition.notify_all()

    def remove(self, table, key):
        with self.condition:
            self.revision += 1
            self.rows.pop((table, key), None)
            self.changes.append({"table": table, "part": "", "key": key, "removed": True,
                                 "revision": self.revision})
            self.condition.notify_all()

    def evacuate(self, zone):
        self.put("op", "evacuate/" + zone, {})

    def end_evacuation(self, zone):
        self.remove("op", "evacuate/" + zone)

    def answer(self, handler):
        url = urllib.parse.urlsplit(handler.path)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        body = handler.read_body()
        handler.extra_fields = {"Store-Era": str(self.era)}
        if self.refusing:
            handler.respond_json(503, {})
        elif url.path == "/rows-tx":
            for row in json.loads(body)["setKeys"]:
                self.put(row["table"], row["key"], base64.b64decode(row["value"]))
            handler.respond_json(200, {"revision": self.revision, "nowMs": 0})
        elif url.path == "/rows-get":
            with self.condition:
                records, has_more = self.page(query["table"], query.get("from", ""))
                answer = {"records": records, "hasMore": has_more, "revision": self.revision, "nowMs": 0}
            handler.respond_json(200, answer)  # It may block on a silent connection, which must not hold the lock.
        else:
            self.poll(handler, query)

    def page(self, wanted_table, first_key):
        """At most 500 rows or 1 MB, and whether there are more."""
        records, size = [], 0
        for (table, key), row in sorted(self.rows.items()):
            if table != wanted_table or key < first_key:
                continue
            size += len(row["value"]) * 3 // 4
            if records and (len(records) == 500 or size > 1_000_000):
                return records, True
            records.append(row)
        return records, False

    def poll(self, handler, query):
        after = int(query["afterRev"])
        with self.condition:
            if after > self.revision:
                self.history_gone += 1
                handler.respond_json(410, {})
                return
        end = time.monotonic() + int(query["waitMs"]) / 1000

        def records():
            return [row for row in self.changes if row["table"] == query["table"] and row["revision"] > after]

        with self.condition:
            while not records() and time.monotonic() < end and not self.refusing:
                self.condition.wait(0.05)
            handler.extra_fields = {"Store-Era": str(self.era)}
            answer = {"records": records(), "revision": self.revision, "nowMs": 0}
        handler.respond_json(200, answer)


class StoreDoor(StandIn):
    """Another address of the store. While `refusing`, it turns those who call there away. After `silence`, the
    connections open by then carry nothing any more, and new ones work."""

    def __init__(self, store):
        self.store = store
        self.refusing = False
        self.silences = 0
        self.silences_before = {}
        super().__init__()

    def silence(self):
        self.silences += 1

    def answer(self, handler):
        before = self.silences_before.setdefault(handler.connection, self.silences)
        respond = handler.respond

        def respond_unless_silent(*arguments):
            if self.silences > before:
                threading.Event().wait(30)
            respond(*arguments)

        handler.respond = respond_unless_silent
        if self.refusing:
            handler.read_body()
            handler.respond_json(503, {})
        else:
            self.store.answer(handler)


class Runner(StandIn):
    """Answers calls at once, or after `delay` seconds, and streams of five events. All answers have the fields of
    `extra_headers`. While `retry_after` is set, requests are turned away with it."""

    def __init__(self, store, identifier, service, zone="a"):
        self.identifier = identifier
        self.zone = zone
        self.service = service
        self.store = store
        self.delay = 0
        self.extra_headers = {}
        self.retry_after = None
        self.body = None  # Instead of the usual one.
        self.arrived = []  # Time and id of each request.
        self.ran = []
        super().__init__()
        self.register("ready")

    def register(self, state, born=1):
        self.store.put("servers", self.identifier, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1", "capacity": 8,
            "state": state, "coldLeftMs": 0, "seq": 1, "born": born})

    def answer(self, handler):
        handler.read_body()
        if handler.headers.get("X-Expect-Instance") != self.identifier:
            handler.respond(421)
            return
        identifier = handler.headers["X-Attempt-Id"]
        self.arrived.append((time.monotonic(), identifier))
        if self.retry_after is not None:
            handler.respond(503, b"", {"X-Attempt-Id": identifier, "X-Not-Executed": "1",
                                       "Retry-After": self.retry_after, **self.extra_headers})
            return
        self.ran.append(identifier)
        headers = {"X-Attempt-Id": identifier, "X-Server-Seal": "seal", **self.extra_headers}
        if handler.headers.get("X-Token-Counts"):
            self.stream(handler, headers)
            return
        time.sleep(self.delay)
        usual = json.dumps({"tenant": handler.headers.get("X-Tenant-Name")}).encode()
        handler.respond(200, usual if self.body is None else self.body, headers)

    def stream(self, handler, headers):
        handler.send_response(200)
        for name, value in headers.items():
            handler.send_header(name, value)
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        for number in range(1, 6):
            event = f"id: {number}\ndata: x\n\n".encode()
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            handler.wfile.flush()
            time.sleep(self.delay / 5)
        handler.wfile.write(b"0\r\n\r\n")


def configuration(version, keys=("key-1",), extra_routes=()):
    """An operator's configuration with a call that runs once, a lookup and a stream."""
    def route(name, kind, service, **fields):
        return {"name": name, "host": "h", "prefix": f"/{name}/", "routeKind": kind, "timeoutMs": 5000,
                "sloMs": 300, "priority": 1, "service": service, "maxAttempts": 2, "anonymous": False, **fields}

    engine = {"capacity": 8, "kvTokens": 100000, "tokenStride": 10, "step_ms": 1, "per_seq_ms": 0,
              "context_per_k": 0, "read_per_s": 100000, "pairs_per_m": 0, "chunk": 1000, "hopMs": 0}
    routes = [route("once", "unsafe", "calls"), route("lookup", "safe", "calls"),
              route("stream", "streaming", "engines", resumable=True, sticky=True, gapTargetMs=500)]
    routes += [route(name, "safe", "calls") for name in extra_routes]
    return {"version": version, "routes": routes,
            "services": [{"name": "calls", "healthPath": "/healthz", "maxConnections": 100},
                         {"name": "engines", "healthPath": "/healthz", "maxConnections": 100,
                          "engineParams": engine}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000000, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "customer-1", "apiKeys": list(keys)}]}
