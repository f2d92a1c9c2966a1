"""Sends malformed and ambiguous requests to a gateway in front of a runner that reads as loosely as can be.

What the runner reads must be exactly what the gateway judged: one request of the caller's tenant, or none."""

import os
import re
import socket
import sys
import tempfile
import threading
import unittest

from gateway_process import Gateway
from local_cluster import wait_until
from platform_stand_in import Store, configuration

PROGRAM = ""
IDENTIFIER = "id-1"
HEAD = f"POST /once/a HTTP/1.1\r\nHost: h\r\nApi-Key: key-1\r\nX-Attempt-Id: {IDENTIFIER}\r\n"
PLAIN = f"GET /lookup/b HTTP/1.1\r\nHost: h\r\nApi-Key: key-1\r\nX-Attempt-Id: {IDENTIFIER}\r\n"
SMUGGLED = "POST /once/smuggled HTTP/1.1\r\nHost: h\r\nX-Tenant-Name: other\r\nX-Attempt-Id: id-2\r\n\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"

# Each must be answered 400, and its connection must end.
REFUSED = {
    "CL.TE": HEAD + f"Content-Length: {len(SMUGGLED) + 5}\r\n" + CHUNKED + "0\r\n\r\n" + SMUGGLED,
    "TE.CL": HEAD + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n5c\r\n" + SMUGGLED + "0\r\n\r\n",
    "TE.TE": HEAD + "Transfer-Encoding: identity\r\n" + CHUNKED + "0\r\n\r\n" + SMUGGLED,
    "TE.TE, equal": HEAD + "Transfer-Encoding: chunked\r\n" + CHUNKED + "0\r\n\r\n" + SMUGGLED,
    "TE, other coding": HEAD + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + SMUGGLED,
    "TE, coding before": HEAD + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + SMUGGLED,
    "TE, coding behind": HEAD + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + SMUGGLED,
    "TE, tab": HEAD + "Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n" + SMUGGLED,
    "TE, space before colon": HEAD + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + SMUGGLED,
    "TE, folded": HEAD + "Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n" + SMUGGLED,
    "TE in HTTP/1.0": HEAD.replace("1.1", "1.0") + CHUNKED + "0\r\n\r\n" + SMUGGLED,
    "two lengths": HEAD + f"Content-Length: 0\r\nContent-Length: {len(SMUGGLED)}\r\n\r\n" + SMUGGLED,
    "two equal lengths": HEAD + "Content-Length: 0\r\nContent-Length: 0\r\n\r\n" + SMUGGLED,
    "list of lengths": HEAD + "Content-Length: 0, 0\r\n\r\n" + SMUGGLED,
    "length with a plus sign": HEAD + "Content-Length: +0\r\n\r\n" + SMUGGLED,
    "length with a minus sign": HEAD + "Content-Length: -0\r\n\r\n" + SMUGGLED,
    "length in hexadecimal": HEAD + "Content-Length: 0x0\r\n\r\n" + SMUGGLED,
    "empty length": HEAD + "Content-Length:\r\n\r\n" + SMUGGLED,
    "length beyond 64 bits": HEAD + "Content-Length: 18446744073709551616\r\n\r\n" + SMUGGLED,
    "length, space before colon": HEAD + f"Content-Length : {len(SMUGGLED)}\r\n\r\n" + SMUGGLED,
    "chunk without its CRLF": HEAD + CHUNKED + "2\r\nokXX0\r\n\r\n" + SMUGGLED,
    "chunk, bare LF in its extension": HEAD + CHUNKED + "2;\nxx\r\nok\r\n0\r\n\r\n" + SMUGGLED,
    "chunk, bare LF behind its size": HEAD + CHUNKED + "2\nok\r\n0\r\n\r\n" + SMUGGLED,
    "chunk beyond 64 bits": HEAD + CHUNKED + "10000000000000000\r\n" + SMUGGLED,
    "chunk with a sign": HEAD + CHUNKED + "+2\r\nok\r\n0\r\n\r\n" + SMUGGLED,
    "chunk with a prefix": HEAD + CHUNKED + "0x2\r\nok\r\n0\r\n\r\n" + SMUGGLED,
    "chunk without a size": HEAD + CHUNKED + ";x\r\n" + SMUGGLED,
    "trailer, space before colon": HEAD + CHUNKED + "0\r\nX-Tenant-Name : other\r\n\r\n" + SMUGGLED,
    "reserved name, space before colon": PLAIN + "X-Tenant-Name : other\r\n\r\n",
    "reserved name, tab before colon": PLAIN + "X-Tenant-Name\t: other\r\n\r\n",
    "reserved name, space before it": PLAIN + " X-Tenant-Name: other\r\n\r\n",
    "reserved name in a fold": PLAIN + "X: 1\r\n X-Tenant-Name: other\r\n\r\n",
    "reserved name behind a bare CR": PLAIN + "X: 1\rX-Tenant-Name: other\r\n\r\n",
    "reserved name behind a bare LF": PLAIN + "X: 1\nX-Tenant-Name: other\r\n\r\n",
    "reserved name behind a NUL": PLAIN + "X: 1\0X-Tenant-Name: other\r\n\r\n",
    "NUL in a name": PLAIN + "X-Tenant-Name\0: other\r\n\r\n",
    "no colon": PLAIN + "X-Tenant-Name\r\n\r\n",
    "bare LF at the end": PLAIN + "X: 1\n\n" + SMUGGLED,
    "absolute target": PLAIN.replace("/lookup/b", "http://other/lookup/b") + "\r\n",
    "space in the target": PLAIN.replace("/lookup/b", "/lookup/b HTTP/1.1 ") + "\r\n",
    "white space beyond ASCII in the target": PLAIN.replace("/lookup/b", "/lookup/b\xa0HTTP/1.0") + "\r\n",
    "tab in the request line": PLAIN.replace(" /lookup", "\t/lookup") + "\r\n",
    "HTTP/1.2": PLAIN.replace("HTTP/1.1", "HTTP/1.2") + "\r\n",
    "two hosts": PLAIN + "Host: other\r\n\r\n",
    "no host": PLAIN.replace("Host: h\r\n", "") + "\r\n",
    "two ids": PLAIN + "X-Attempt-Id: id-2\r\n\r\n",
    "two keys": PLAIN + "Api-Key: key-2\r\n\r\n",
    "two time limits": PLAIN + "X-Deadline-Ms: 1\r\nX-Deadline-Ms: 2000\r\n\r\n",
    "two lists of parts": PLAIN + "X-Prompt-Prefix: a:1\r\nX-Prompt-Prefix: b:1\r\n\r\n",
    "id named in Connection": PLAIN + "Connection: x-attempt-id\r\n\r\n",
    "id named in the second Connection": PLAIN + "Connection: close\r\nConnection: x,\tX-Attempt-Id\r\n\r\n",
    "host named in Connection": PLAIN + "Connection: Host\r\n\r\n",
    "token counts named in Connection": PLAIN + "X-Token-Counts: 10,1\r\nConnection: X-Token-Counts\r\n\r\n",
}

# Each must be run once as this body, whatever follows it on the connection.
ACCEPTED = {
    "length": (HEAD + "Content-Length: 2\r\n\r\nok", b"ok"),
    "length with leading zeros": (HEAD + "Content-Length: 002\r\n\r\nok", b"ok"),
    "chunks": (HEAD + CHUNKED + "2\r\nok\r\n1\r\n!\r\n0\r\n\r\n", b"ok!"),
    "chunk extension": (HEAD + CHUNKED + '02;a="b;\\"";c\r\nok\r\n0\r\n\r\n', b"ok"),
    "trailer": (HEAD + CHUNKED + "2\r\nok\r\n0\r\nX-Tenant-Name: other\r\nContent-Type: x\r\n\r\n", b"ok"),
    "a request as the body": (HEAD + f"Content-Length: {len(SMUGGLED)}\r\n\r\n" + SMUGGLED, SMUGGLED.encode()),
    "a request in chunks": (HEAD + CHUNKED + f"{len(SMUGGLED):x}\r\n{SMUGGLED}\r\n0\r\n\r\n", SMUGGLED.encode()),
    "empty line before": ("\r\n" + HEAD + "Content-Length: 2\r\n\r\nok", b"ok"),
    "reserved names": (HEAD + "x-tenant-name: other\r\nX-Expect-Instance: o\r\nContent-Length: 2\r\n\r\nok", b"ok"),
    "other name in Connection": (HEAD + "X-Own: 1\r\nConnection: X-Own\r\nContent-Length: 2\r\n\r\nok", b"ok"),
    "upgrade": (HEAD + "Connection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 2\r\n\r\nok", b"ok"),
    "text beyond ASCII": (HEAD + "X: \xa0\x85\xff\r\nContent-Length: 2\r\n\r\nok", b"ok"),
}


class LooseRunner:
    """Takes any line ending, any white space around names and values, the first length, and any coding that contains
    `chunked`; reads one request after the other."""

    def __init__(self, store):
        self.requests = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()
        store.put("servers", "loose", {"service": "calls", "address": self.address, "zone": "a", "version": "v1",
                                       "capacity": 8, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": 1})

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with connection, connection.makefile("rb") as stream:
            while request := self.read(stream):
                self.requests.append(request)
                identifier = dict(request["fields"]).get("x-attempt-id", "")
                connection.sendall(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {identifier}\r\nX-Server-Seal: seal\r\n"
                                   "Content-Length: 0\r\n\r\n".encode())

    @staticmethod
    def read(stream):
        head = b""
        while not re.search(rb"\S[^\r\n]*(\r?\n[ \t\0]*\r?\n|\r\r)", head):
            byte = stream.read(1)
            if not byte:
                return None
            head += byte
        lines = re.split(r"[\r\n\x0b\x0c\x85\0]+", head.decode("latin-1").strip())
        fields = []
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields.append((name.strip().lower(), value.strip()))
        body = b""
        if any(name == "transfer-encoding" and "chunked" in value.lower() for name, value in fields):
            while size := int(re.match(rb"\s*([0-9a-fA-F]+)", stream.readline()).group(1), 16):
                body += stream.read(size)
                stream.readline()
            while stream.readline().strip():
                pass
        else:
            lengths = [value for name, value in fields if name == "content-length"]
            body = stream.read(int(lengths[0])) if lengths else b""
        return {"line": lines[0], "fields": fields, "body": body}


class RequestSmugglingTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory()
        cls.store = Store()
        cls.store.put("op", "config", configuration(1))
        cls.runner = LooseRunner(cls.store)
        cls.gateway = Gateway(PROGRAM, cls.folder.name, "gateway-1", cls.store)
        wait_until(cls.gateway.is_ready, 10, "the gateway is not ready")

    @classmethod
    def tearDownClass(cls):
        cls.gateway.stop()
        cls.runner.listener.close()
        cls.store.stop()
        cls.folder.cleanup()

    def exchange(self, request):
        """What the gateway writes until it closes the connection or half a second has passed without a byte."""
        self.runner.requests.clear()
        host, port = self.gateway.callers.split(":")
        answer, closed = b"", False
        with socket.create_connection((host, int(port)), timeout=0.5) as connection:
            connection.sendall(request.encode("latin-1"))
            try:
                while piece := connection.recv(65_536):
                    answer += piece
                closed = True
            except TimeoutError:
                pass
            except ConnectionResetError:
                closed = True
        return answer, closed

    def test_ambiguous_requests_are_refused(self):
        for name, request in REFUSED.items():
            with self.subTest(name):
                answer, closed = self.exchange(request)
                self.assertTrue(answer.startswith(b"HTTP/1.1 400 "), answer[:60])
                self.assertEqual(answer.count(b"HTTP/1.1 "), 1)
                self.assertTrue(closed)
                self.assertEqual(self.runner.requests, [])

    def test_the_runner_reads_what_the_gateway_judged(self):
        for name, (request, body) in ACCEPTED.items():
            with self.subTest(name):
                answer, _ = self.exchange(request)
                self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer[:60])
                self.assertEqual(len(self.runner.requests), 1)
                read = self.runner.requests[0]
                self.assertEqual(read["line"], "POST /once/a HTTP/1.1")
                self.assertEqual(read["body"], body)
                names = [name for name, _ in read["fields"]]
                for once in ("host", "x-attempt-id", "x-tenant-name", "x-expect-instance", "content-length"):
                    self.assertEqual(names.count(once), 1, once)
                fields = dict(read["fields"])
                self.assertEqual(fields["x-attempt-id"], IDENTIFIER)
                self.assertEqual(fields["x-tenant-name"], "customer-1")
                self.assertEqual(fields["x-expect-instance"], "loose")
                for never in ("api-key", "connection", "transfer-encoding", "upgrade", "x-own", "content-type"):
                    self.assertNotIn(never, names)

    def test_a_request_behind_an_accepted_one_is_judged_by_itself(self):
        answer, closed = self.exchange(HEAD + "Content-Length: 2\r\n\r\nok" + SMUGGLED + REFUSED["CL.TE"])
        self.assertEqual(re.findall(rb"HTTP/1.1 (\d+)", answer), [b"200", b"401", b"400"])
        self.assertTrue(closed)
        self.assertEqual(len(self.runner.requests), 1)


if __name__ == "__main__":
    PROGRAM = os.path.join(sys.argv.pop(1), "Utilities", "lavenderpick")
    unittest.main(verbosity=2)
