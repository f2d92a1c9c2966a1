"""Gateways as processes on loopback, for the tests against a stand-in of the users' platform."""

import json
import os
import random
import subprocess

from local_cluster import PORTS, call, is_free


# Tests that run beside each other use the same ones.
HOSTS = [f"127.0.0.{number}" for number in range(1, 10)]


def free_port(hosts=tuple(HOSTS)):
    """A port that is free at all hosts, below the range that the kernel gives to outgoing connections."""
    while True:
        port = random.choice(PORTS)
        if all(is_free(port, host) for host in hosts):
            return port


class Gateway:
    """One process, its addresses and its log."""

    def __init__(self, program, folder, name, store, seeds=(), host="127.0.0.1", peer_port=None, metrics=None,
                 zone="a", limits=None):
        self.name = name
        self.peer_port = peer_port or free_port()
        self.callers, self.readiness = (f"{host}:{free_port([host])}" for _ in range(2))
        self.peers = f"{host}:{self.peer_port}"
        self.metrics = metrics or f"{host}:{free_port([host])}"
        self.settings = os.path.join(folder, name + ".yaml")
        self.log_path = os.path.join(folder, name + ".log")
        with open(self.settings, "w") as file:
            json.dump({"name": name, "availability_zone": zone,
                       "listen": {"callers": self.callers, "readiness": self.readiness,
                                  "peers": self.peers, "metrics": self.metrics},
                       "platform": {"address": store.address, **(limits or {})}, "seeds": list(seeds), "stop_grace": "8 s",
                       "retries": {"ratio": 0.2, "slack": 100, "window": "10 s"}}, file)
        self.program = program
        self.run()

    def run(self):
        self.log = open(self.log_path, "a")
        self.process = subprocess.Popen([self.program, "gateway", "--settings", self.settings],
                                        stdout=self.log, stderr=self.log)

    def started_again(self):
        """Another process with the same settings, after this one has ended."""
        self.log.close()
        self.run()
        return self

    def is_ready(self):
        try:
            return call(self.readiness, "GET", "/readyz", timeout=1).status == 200
        except OSError:
            return False

    def send(self, path, identifier="r1", body=None, key="key-1", **headers):
        fields = {"Host": "h", "Api-Key": key, "X-Attempt-Id": identifier, "X-Deadline-Ms": "5000", **headers}
        return call(self.callers, "POST" if body else "GET", path, body, fields, timeout=10)

    def peak_memory_mib(self):
        with open(f"/proc/{self.process.pid}/status") as file:
            peak = next(line for line in file if line.startswith("VmHWM:"))
        return int(peak.split()[1]) / 1024

    def lines(self):
        with open(self.log_path) as file:
            return [json.loads(line) for line in file]

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()
