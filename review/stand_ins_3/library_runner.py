"""A runner whose HTTP/1.1 server is that of Python's standard library. It runs each request that names no other runner
and says in its answer for which tenant it ran."""

import http.server
import json
import threading
import time

from users_platform import HEARTBEAT_S, free_port


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *arguments):
        pass

    def answer(self, status, fields=None, body=b""):
        self.send_response(status)
        for name, value in (fields or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_POST(self):
        runner = self.server.owner
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.headers.get("X-Expect-Instance", runner.id) != runner.id:
            self.answer(421)
            return
        identifier, tenant = self.headers.get("X-Attempt-Id"), self.headers.get("X-Tenant-Name")
        if identifier is None:
            self.answer(400, {"X-Not-Executed": "1"})
            return
        runner.ran.append((identifier, tenant, self.path))
        runner.record(f"runner {runner.id} runs request {identifier} of tenant {tenant}: {self.path}")
        self.answer(200, {"X-Attempt-Id": identifier, "X-Server-Seal": f"seal.{runner.id}"},
                    json.dumps({"tenant": tenant}).encode())

    do_GET = do_POST


class LibraryRunner:
    def __init__(self, record, name, service):
        self.record, self.id, self.service = record, name, service
        self.ran = []
        self.seq = 0
        self.born = int(time.time() * 1000)
        port = free_port()
        self.address = f"127.0.0.1:{port}"
        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", port), Handler)
        self.server.daemon_threads = True
        self.server.owner = self
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    async def beat(self, store, sleep):
        while True:
            self.seq += 1
            await store.put("servers", self.id, {
                "service": self.service, "address": self.address, "zone": "enna-a", "version": "v1", "capacity": 6,
                "state": "ready", "coldLeftMs": 0, "seq": self.seq, "born": self.born})
            await sleep(HEARTBEAT_S)

    def end(self):
        self.server.shutdown()
        self.server.server_close()


def forged_request(key, identifier, colon, tenant, inner):
    """A request whose own tenant is given by `key`, with the name of another one, and with a body that looks like a
    request of that one."""
    body = (f"POST /booking/7 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {inner}\r\nX-Tenant-Name: {tenant}\r\n"
            "Content-Length: 0\r\n\r\n").encode()
    head = (f"POST /booking/1 HTTP/1.1\r\nHost: h.example\r\nApi-Key: {key}\r\nX-Attempt-Id: {identifier}\r\n"
            f"X-Deadline-Ms: 3000\r\nX-Tenant-Name{colon} {tenant}\r\nContent-Length: {len(body)}\r\n\r\n")
    return head.encode() + body
