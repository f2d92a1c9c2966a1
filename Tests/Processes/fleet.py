"""Starts processes of one deployment on loopback for the process tests."""
import hashlib
import http.client
import json
import os
import random
import socket
import subprocess
import tempfile
import time

CLUSTER_KEY = "process-test-cluster-key"
CALLER_KEY = "enna.secret-of-enna"
PORTS = range(21_000, 22_000)
PRIORITIES = {
    "standard": {"rank": 0, "default_deadline": "60 s", "shed_order": 9, "objective": "short_slowdown"},
    "batch": {"rank": 5, "default_deadline": "600 s", "shed_order": 1, "objective": "short_slowdown"},
}


def call(port, method, path, body=None, headers=None, timeout=30):
    """One HTTP exchange; returns status, headers and body text."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    text = json.dumps(body) if isinstance(body, dict) else body
    try:
        connection.request(method, path, text, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read().decode()
    finally:
        connection.close()


def is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


def customer(secret, roles, budget=1e9):
    salt = "salt-of-the-process-tests"
    key = hashlib.blake2b(salt.encode(), digest_size=32).digest()
    digest = hashlib.blake2b(secret.encode(), key=key, digest_size=32).hexdigest()
    return {"keys": [{"salt": salt, "hash": digest}], "weight": 1, "budget": budget, "roles": roles}


def expected_output(prompt, tokens):
    """The engine stand-in's answer, see Tests/StandIns/EngineOutput.h."""
    mask = (1 << 64) - 1
    digest = 0xCBF29CE484222325
    for byte in prompt.encode():
        digest = ((digest ^ byte) * 0x100000001B3) & mask
    text = ""
    for index in range(tokens):
        bits = (digest + 0x9E3779B97F4A7C15 * (index + 1)) & mask
        bits = ((bits ^ (bits >> 30)) * 0xBF58476D1CE4E5B9) & mask
        bits = ((bits ^ (bits >> 27)) * 0x94D049BB133111EB) & mask
        bits ^= bits >> 31
        for _ in range(3):
            text += chr(ord("a") + bits % 26)
            bits //= 26
        text += " "
    return text


class Fleet:
    """A platform stand-in and the processes started around it; all end with the `with` block."""

    def __init__(self, build):
        self.program = os.path.join(build, "Utilities", "lavenderpick")
        self.stand_ins = os.path.join(build, "Tests", "lavenderpick-standins")
        self.folder = tempfile.mkdtemp(prefix="lavenderpick-")
        self.port = random.randrange(PORTS.start, PORTS.stop)
        self.processes = {}
        self.engine_ports = {}
        self.version = 0
        self.platform = self.next_port()

    def __enter__(self):
        self.start("platform", [self.stand_ins, "platform", "--port", str(self.platform)])
        self.wait(lambda: call(self.platform, "GET", "/vms?since=0")[0] == 200)
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()

    def next_port(self):
        """A free port. Fleets of other checkouts may run on the same machine, and a server of the
        library would share a taken port with them instead of failing."""
        for _ in PORTS:
            self.port = self.port + 1 if self.port + 1 in PORTS else PORTS.start
            if is_free(self.port):
                return self.port
        raise RuntimeError("no port is free")

    def log(self, name):
        with open(os.path.join(self.folder, name + ".log"), encoding="utf-8") as log:
            return log.read()

    def start(self, name, command):
        with open(os.path.join(self.folder, name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def start_configured(self, role, name, settings):
        path = os.path.join(self.folder, name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.start(name, [self.program, role, "--settings", path])

    def register(self, name, role, port, datagram_port, upstream="", state="live"):
        vm = {"name": name, "role": role, "address": f"127.0.0.1:{port}",
              "datagram_address": f"127.0.0.1:{datagram_port}", "upstream": upstream,
              "region": "north", "zone": "north-a", "state": state}
        status, _, text = call(self.platform, "PUT", "/vms/" + name, vm)
        assert status < 300, text

    def common(self, name, port, datagram_port):
        return {"name": name, "region": "north", "availability_zone": "north-a",
                "listen": {"host": "127.0.0.1", "port": port, "datagram_port": datagram_port},
                "cluster": {"key": CLUSTER_KEY}, "platform": {"address": f"127.0.0.1:{self.platform}"},
                "log": {"level": "debug"}}

    def entry(self, name, **settings):
        port, datagram_port = self.next_port(), self.next_port()
        self.start_configured("entry", name, {**self.common(name, port, datagram_port), **settings})
        self.register(name, "entry", port, datagram_port)
        return port

    def engine(self, name, *options):
        """An engine and its agent; the engine's process is `engine-<name>`."""
        engine_port, port, datagram_port = self.next_port(), self.next_port(), self.next_port()
        self.engine_ports[name] = engine_port
        self.start("engine-" + name, [self.stand_ins, "engine", "--port", str(engine_port), "--name", name,
                                      *options])
        self.agent(name, port, datagram_port,
                   {"kind": "engine", "address": f"127.0.0.1:{engine_port}", "checks_fencing": True})
        return port

    def service(self, name, service):
        """A plain service and its agent; returns the service's port."""
        service_port, port, datagram_port = self.next_port(), self.next_port(), self.next_port()
        self.start("service-" + name, [self.stand_ins, "service", "--port", str(service_port)])
        self.agent(name, port, datagram_port, {"kind": "service", "service": service,
                                               "address": f"127.0.0.1:{service_port}"})
        return service_port

    def agent(self, name, port, datagram_port, upstream):
        settings = {**self.common("agent-" + name, port, datagram_port), "upstream": {"name": name, **upstream}}
        self.start_configured("agent", "agent-" + name, settings)
        self.register("agent-" + name, "agent", port, datagram_port, upstream=name)

    def edit(self, section, entries):
        """Writes one change of the document as the operator's tool does (D3)."""
        head = call(self.platform, "GET", "/tables/document/head")
        row_version = json.loads(head[2])["version"] if head[0] == 200 else 0
        self.version += 1
        change = {"version": self.version, "section": section, "entries": entries,
                  "token": f"edit-{self.version}", "editor": "test", "changed_at": int(time.time())}
        writes = [{"table": "document", "key": "head", "if_version": row_version,
                   "value": {"version": self.version}},
                  {"table": "document-change", "key": f"{self.version:012d}", "if_version": 0, "value": change}]
        status, _, text = call(self.platform, "POST", "/tables/transactions", {"writes": writes})
        assert status == 200, text

    def edit_usual_document(self):
        roles = ["completions", "jobs", "service:loans"]
        self.edit("customers", {"enna": customer("secret-of-enna", roles)})
        self.edit("priorities", PRIORITIES)
        self.edit("models", {"lavender-1": {"versions": ["1"], "maximum_prompt_tokens": 1_000_000}})
        self.edit("services", {"loans": {"repeatable": False, "paths": ["/bookings"], "timeout": "5 s"}})

    @staticmethod
    def wait(condition, seconds=20):
        """Waits until `condition` holds; connection errors count as not yet."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            try:
                if condition():
                    return
            except (OSError, http.client.HTTPException, ValueError):
                pass
            time.sleep(0.05)
        raise AssertionError("a condition was not met in time")
