"""Runs lavenderpick and its stand-ins as processes on loopback, for the demonstration and process tests."""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time

CLUSTER_KEY = "loopback-cluster-key-0123456789"
MODEL = "lavender-1"
TOKEN_BYTES = 4
# Below the range from which the kernel takes ports for outgoing connections.
PORTS = range(10000, 32000)
FNV_OFFSET = 0xCBF29CE484222325


class Answer:
    """Status, headers and body of an HTTP answer."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


def call(address, method, path, body=None, headers=None, timeout=60):
    """Sends one request on a new connection."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return Answer(response.status, dict(response.getheaders()), response.read())
    finally:
        connection.close()


def wait_until(condition, seconds, what):
    """Polls until the condition holds; raises TimeoutError that names `what` otherwise."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise TimeoutError(what)


def prompt_of(tokens, seed=0):
    """A prompt of exactly `tokens` tokens."""
    line = "".join(f"{(seed * 7919 + number) % 1000:03d} " for number in range(250))
    return (line * (tokens // 250 + 1))[: tokens * TOKEN_BYTES]


def answer_to(prompt, count):
    """What the engine stand-in generates for a prompt (see EngineOutput.h)."""
    digest = FNV_OFFSET
    for byte in prompt.encode():
        digest = ((digest ^ byte) * 0x100000001B3) & 0xFFFFFFFFFFFFFFFF
    return "".join(token_text(digest, index) for index in range(count))


def token_text(digest, index):
    mask = 0xFFFFFFFFFFFFFFFF
    bits = (digest + 0x9E3779B97F4A7C15 * (index + 1)) & mask
    bits = ((bits ^ (bits >> 30)) * 0xBF58476D1CE4E5B9) & mask
    bits = ((bits ^ (bits >> 27)) * 0x94D049BB133111EB) & mask
    bits ^= bits >> 31
    letters = ""
    for _ in range(3):
        letters += chr(ord("a") + bits % 26)
        bits //= 26
    return letters + " "


def is_free(port, host="127.0.0.1"):
    try:
        with socket.socket(type=socket.SOCK_DGRAM) as datagrams, socket.socket() as streams:
            datagrams.bind((host, port))
            streams.bind((host, port))
        return True
    except OSError:
        return False


class Cluster:
    """A platform, engines, a service, their agents and entries, each a process of its own."""

    def __init__(self, build, engines=3, entries=2, time_scale=0.05, kv_capacity=420000,
                 ignore_fence=False):
        self.build = os.path.abspath(build)
        self.folder = tempfile.mkdtemp(prefix="lavenderpick-")
        self.processes = {}
        self.time_scale = time_scale
        self.kv_capacity = kv_capacity
        self.ignore_fence = ignore_fence
        self.engine_names = [f"engine-{number}" for number in range(1, engines + 1)]
        self.entry_names = [f"entry-{number}" for number in range(1, entries + 1)]
        self.ports = {}
        self.vms = {}

    # Life of processes

    def port(self, name):
        """A free port for both protocols, kept for the life of the cluster."""
        while name not in self.ports:
            port = random.choice(PORTS)
            if port not in self.ports.values() and is_free(port):
                self.ports[name] = port
        return self.ports[name]

    def address(self, name):
        return f"127.0.0.1:{self.port(name)}"

    def spawn(self, name, arguments):
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def stand_in(self, name, *arguments):
        program = os.path.join(self.build, "Tests", "lavenderpick-standins")
        self.spawn(name, [program, arguments[0], "--port", str(self.port(name)), *arguments[1:]])

    def program(self):
        return os.path.join(self.build, "Utilities", "lavenderpick")

    def start(self):
        with open(self.path("cluster.key"), "w") as file:
            file.write(CLUSTER_KEY)
        self.stand_in("platform", "platform")
        self.wait_healthy("platform", "/vms?since=0")
        for name in self.engine_names:
            self.start_engine(name)
        self.stand_in("desk", "service")
        self.write_operator()
        self.apply_document()
        for name in [*self.engine_names, "desk"]:
            self.start_agent(name)
        for name in self.entry_names:
            self.start_entry(name)
        for name in self.entry_names:
            self.wait_serving(name)

    def wait_serving(self, name):
        """Waits until the entry is ready and has heard from the agents."""
        self.wait_ready(name)
        wait_until(lambda: self.complete(name, prompt_of(100), 1).status == 200, 20, f"{name} reaches no engine")
        wait_until(lambda: self.book(name, f"start-{name}-{time.time()}", {"pairs": 0}).status == 200, 20,
                   f"{name} reaches no service")

    def start_engine(self, name):
        fence = ["--ignore-fence"] if self.ignore_fence else []
        self.stand_in(name, "engine", "--name", name, "--kv-capacity", str(self.kv_capacity),
                      "--time-scale", str(self.time_scale), "--models", MODEL, *fence)

    def start_agent(self, upstream):
        name = "agent-" + upstream
        engine = upstream != "desk"
        settings = {
            **self.common_settings(name),
            "upstream": {"name": upstream, "address": self.address(upstream),
                         **({"kind": "engine", "model": MODEL, "checks_fencing": not self.ignore_fence}
                            if engine else {"kind": "service", "service": "bookings"})},
        }
        self.write_settings(name, settings)
        self.register(name, "agent", upstream)
        self.spawn(name, [self.program(), "agent", "--settings", self.path(name + ".yaml")])

    def start_entry(self, name):
        settings = {**self.common_settings(name),
                    "peers": [self.address(peer) for peer in self.entry_names if peer != name],
                    "periods": {"document_poll": "1 s", "vm_list_poll": "500 ms"},
                    "caps": {"body": "32 MiB", "drain_notice": "200 ms"}}
        self.write_settings(name, settings)
        self.register(name, "entry", "")
        self.spawn(name, [self.program(), "entry", "--settings", self.path(name + ".yaml")])

    def common_settings(self, name):
        return {
            "name": name,
            "listen": {"host": "127.0.0.1", "port": self.port(name), "datagram_port": self.port(name + ".udp")},
            "region": "sicily",
            "availability_zone": "enna-a",
            "cluster": {"key_file": self.path("cluster.key")},
            "platform": {"address": self.address("platform")},
        }

    def register(self, name, role, upstream, state="live"):
        vm = {"name": name, "role": role, "address": self.address(name),
              "datagram_address": self.address(name + ".udp"), "upstream": upstream,
              "region": "sicily", "zone": "enna-a", "state": state}
        call(self.address("platform"), "PUT", "/vms/" + name, vm)

    def send_signal(self, name, number):
        os.kill(self.processes[name].pid, number)

    def kill(self, name):
        self.send_signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def terminate(self, name, seconds=30):
        """Asks for a graceful stop and returns the exit code."""
        self.send_signal(name, signal.SIGTERM)
        return self.processes[name].wait(timeout=seconds)

    def stop(self):
        for name, process in self.processes.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    # Settings and document

    def path(self, name):
        return os.path.join(self.folder, name)

    def write_settings(self, name, settings):
        # JSON is valid YAML.
        with open(self.path(name + ".yaml"), "w") as file:
            json.dump(settings, file, indent=2)

    def run_tool(self, *arguments, check=True):
        result = subprocess.run([self.program(), *arguments], capture_output=True, text=True, timeout=30)
        if check and result.returncode != 0:
            raise RuntimeError(f"lavenderpick {' '.join(arguments)}: {result.returncode}\n{result.stdout}{result.stderr}")
        return result

    def write_operator(self):
        made = json.loads(self.run_tool("document", "hash-key", "--name", "maria", "--json").stdout)
        self.operator_entry = {"keys": made["keys"],
                               "sections": ["operators", "customers", "services", "models", "priorities", "plans"]}
        with open(self.path("operator.key"), "w") as file:
            file.write(made["key"])
        made = json.loads(self.run_tool("document", "hash-key", "--name", "counter", "--json").stdout)
        self.customer_key = made["key"]
        self.customer_entry = {"keys": made["keys"], "weight": 1, "budget": 1e6,
                               "roles": ["completions", "jobs", "service:bookings"]}
        self.write_settings("operator", {"platform": {"address": self.address("platform")},
                                         "operator": {"key_file": self.path("operator.key")},
                                         "cluster": {"key_file": self.path("cluster.key")}})

    def document_sections(self):
        return {
            "operators": {"maria": self.operator_entry},
            "models": {MODEL: {"versions": ["1"], "maximum_prompt_tokens": 1100000}},
            "priorities": {
                "counter": {"rank": 0, "default_deadline": "60 s", "shed_order": 10, "objective": "short_slowdown"},
                "report": {"rank": 5, "default_deadline": "600 s", "shed_order": 1, "objective": "short_slowdown"},
            },
            "services": {"bookings": {"repeatable": False, "paths": ["/bookings"], "timeout": "5 s"}},
            "customers": {"counter": self.customer_entry},
        }

    def apply_document(self):
        for section, entries in self.document_sections().items():
            self.apply_section(section, entries, 0)

    def apply_section(self, section, entries, base, check=True):
        with open(self.path(section + ".section.yaml"), "w") as file:
            json.dump(entries, file)
        return self.run_tool("document", "apply", "--section", section, "--file",
                             self.path(section + ".section.yaml"), "--base", str(base),
                             "--settings", self.path("operator.yaml"), "--json", check=check)

    def section_version(self, section):
        shown = self.run_tool("document", "show", "--section", section, "--settings",
                              self.path("operator.yaml"), "--json")
        return json.loads(shown.stdout)["version"]

    # Waiting

    def wait_healthy(self, name, path="/health"):
        def healthy():
            try:
                return call(self.address(name), "GET", path, timeout=2).status == 200
            except OSError:
                return False
        wait_until(healthy, 20, f"{name} did not answer {path}; see {self.path(name + '.log')}")

    def wait_ready(self, name):
        self.wait_healthy(name, "/ready")

    # Callers

    def headers(self, extra=None):
        return {"Authorization": "Bearer " + self.customer_key, "Content-Type": "application/json", **(extra or {})}

    def complete(self, entry, prompt, max_tokens=16, timeout=120, **fields):
        body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, **fields}
        return call(self.address(entry), "POST", "/v1/completions", body, self.headers(), timeout)

    def stream(self, entry, prompt, max_tokens=16, timeout=120, on_piece=None, **fields):
        """Streams a completion; returns its text and whether it ended properly."""
        host, port = self.address(entry).split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
        body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": True, **fields}
        connection.request("POST", "/v1/completions", json.dumps(body), self.headers())
        response = connection.getresponse()
        text, done, error = "", False, None
        for line in response:
            line = line.decode().strip()
            if not line.startswith("data:"):
                continue
            data = line[5:].strip()
            if data == "[DONE]":
                done = True
                break
            event = json.loads(data)
            if "error" in event:
                error = event["error"]
                break
            text += event["choices"][0]["text"]
            if on_piece:
                on_piece(text)
        connection.close()
        return text, done, error

    def book(self, entry, key, body, timeout=30):
        return call(self.address(entry), "POST", "/v1/services/bookings/bookings", body,
                    self.headers({"Idempotency-Key": key}), timeout)

    def journal(self):
        return call(self.address("desk"), "GET", "/journal").json()["runs"]


def in_background(function, *arguments):
    """Starts the function in a thread; the returned function waits for its result."""
    result = {}

    def run():
        try:
            result["value"] = function(*arguments)
        except Exception as error:  # Reported by the waiting test.
            result["error"] = error

    thread = threading.Thread(target=run, daemon=True)
    thread.start()

    def wait(seconds=120):
        thread.join(seconds)
        if "error" in result:
            raise result["error"]
        if "value" not in result:
            raise TimeoutError("the background call did not end")
        return result["value"]

    return wait
