"""Runs groups of gateways that lose the store, all or some, while entries of upstreams are removed or expire."""

import concurrent.futures
import os
import sys
import tempfile
import threading
import time
import unittest

from gateway_process import Gateway, free_port
from local_cluster import wait_until
from platform_stand_in import Runner, Store, StoreDoor, configuration

PROGRAM = ""
DRAIN_LIMIT_S = 2.0
CONTACT_LIMIT_S = 3.0  # The limits bind a gateway again this long after its connections broke.
SMALLEST_GROUP_WITH_READER = 8
REGISTRATION_S = 2.0  # Within this time after an outage, live upstreams whose entries expired are back.


class Calls:
    """Calls sent through gateways all the time."""

    def __init__(self, gateways, path="/lookup/", gap_s=0.05):
        self.failed = []
        self.ending = threading.Event()
        self.threads = [threading.Thread(target=self.send, args=(gateway, path, gap_s)) for gateway in gateways]
        for thread in self.threads:
            thread.start()

    def send(self, gateway, path, gap_s):
        number = 0
        while not self.ending.wait(gap_s):
            number += 1
            answer = gateway.send(path, f"{gateway.name}-{number}")
            if answer.status != 200:
                self.failed.append((gateway.name, number, answer.status))

    def end(self):
        self.ending.set()
        for thread in self.threads:
            thread.join()


class StoreOutageTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.store.put("op", "config", configuration(1))
        self.runners = [Runner(self.store, f"c-{number}", "calls") for number in range(4)]
        self.gateways = []
        self.doors = {}

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        for stand_in in [self.store, *self.doors.values(), *self.runners]:
            stand_in.stop()
        self.folder.cleanup()

    def start(self, count):
        """Starts gateways, each with an address of the store for itself; waits until each has its role."""
        peer_port = free_port()
        for number in range(1, count + 1):
            name = f"gateway-{number}"
            self.doors[name] = StoreDoor(self.store)
            self.gateways.append(Gateway(PROGRAM, self.folder.name, name, self.doors[name],
                                         host=f"127.0.0.{number}", peer_port=peer_port, seeds=["127.0.0.1:1"]))
        for gateway in self.gateways:
            wait_until(gateway.is_ready, 20, f"{gateway.name} is not ready")
        if count >= SMALLEST_GROUP_WITH_READER:
            wait_until(lambda: sorted(map(self.role, self.gateways)) == ["follower"] * (count - 1) + ["reader"], 15,
                       "the gateways did not agree on one that reads the store")

    @staticmethod
    def role(gateway):
        roles = [line["role"] for line in gateway.lines() if line["message"] == "role of reading the store changed"]
        return roles[-1] if roles else "alone"

    def reader(self):
        return next(gateway for gateway in self.gateways if self.role(gateway) == "reader")

    def runs_through(self, gateways, runner, label, calls=12):
        """How many of new calls through the gateways run at the runner."""
        with concurrent.futures.ThreadPoolExecutor(len(gateways)) as threads:
            for number in range(calls):
                list(threads.map(lambda gateway: gateway.send("/lookup/", f"{label}-{gateway.name}-{number}"), gateways))
        return sum(1 for run in runner.ran if run.startswith(label))

    def test_a_readers_loss_of_the_store_delays_no_removal_elsewhere(self):
        # Gateways that had lost nothing kept a removed upstream, since the one that reads for them had lost the store.
        self.start(9)
        reader = self.reader()
        others = [gateway for gateway in self.gateways if gateway is not reader]
        self.doors[reader.name].refusing = True
        time.sleep(5)
        self.store.remove("servers", "c-0")
        removed_at = time.monotonic()
        time.sleep(0.4)  # Some of the others, which now read about once a second, hear of it from the reader.
        self.doors[reader.name].refusing = False
        time.sleep(max(0.0, removed_at + DRAIN_LIMIT_S - time.monotonic()))
        self.assertEqual(self.runs_through(others, self.runners[0], "late"), 0, self.story())

    def story(self):
        """What the gateways logged of the store, their roles and the upstreams, for a failure."""
        parts = ("platform", "peers", "gateway")
        lines = sorted((line["time"], line["process"], line["message"], str(line.get("reason", line.get("role", ""))),
                        str(line.get("delayed", "")))
                       for gateway in self.gateways for line in gateway.lines() if line.get("component") in parts)
        return "\n" + "\n".join(" ".join(map(str, line)) for line in lines)

    def play_silent_connections(self, gateways):
        self.start(gateways)
        time.sleep(2.5)
        for door in self.doors.values():
            door.silence()
        silent_at = time.monotonic()
        time.sleep(0.8)
        self.store.remove("servers", "c-0")
        time.sleep(silent_at + CONTACT_LIMIT_S - time.monotonic())
        self.assertEqual(self.runs_through(self.gateways, self.runners[0], "late"), 0, self.story())

    def test_silent_connections_to_the_store_delay_no_removal_at_one_gateway(self):
        # The call that timed out counted as an outage of the store, though new connections worked all the time.
        self.play_silent_connections(1)

    def test_silent_connections_to_the_store_delay_no_removal_at_nine_gateways(self):
        self.play_silent_connections(9)

    def play_outage_in_which_all_entries_expire(self, gateways):
        self.start(gateways)
        calls = Calls(self.gateways)
        time.sleep(1)
        self.store.refusing = True
        time.sleep(4)
        for runner in self.runners:
            self.store.remove("servers", runner.identifier)
        time.sleep(1)
        self.store.refusing = False
        time.sleep(REGISTRATION_S - 0.5)
        for runner in self.runners:
            runner.register("ready")
        time.sleep(1.5)
        calls.end()
        self.assertEqual(calls.failed, [])

    def test_live_upstreams_whose_entries_expired_serve_on_at_one_gateway(self):
        self.play_outage_in_which_all_entries_expire(1)

    def test_live_upstreams_whose_entries_expired_serve_on_at_nine_gateways(self):
        self.play_outage_in_which_all_entries_expire(9)


if __name__ == "__main__":
    PROGRAM = os.path.join(sys.argv.pop(1), "Utilities", "lavenderpick")
    unittest.main(verbosity=2)
