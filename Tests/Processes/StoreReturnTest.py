"""Runs groups of gateways while the store is away for a moment and comes back from a copy that is some seconds old."""

import os
import sys
import tempfile
import time
import unittest

from gateway_process import Gateway, free_port
from local_cluster import wait_until
from platform_stand_in import Runner, Store, configuration

PROGRAM = ""
CONFIGURATION_LIMIT_S = 2.0
DRAIN_LIMIT_S = 2.0
AWAY_S = 1.0
REWRITTEN_AFTER_S = 1.5  # Time from the store's return until the operator and the runners have written again.


class StoreReturnTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.store.put("op", "config", configuration(1, keys=("key-1", "key-2")))
        self.runners = {name: Runner(self.store, name, "calls") for name in ("steady", "gone", "draining")}
        self.gateways = []

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        for stand_in in [self.store, *self.runners.values()]:
            stand_in.stop()
        self.folder.cleanup()

    def start(self, count):
        peer_port = free_port()
        for number in range(1, count + 1):
            self.gateways.append(Gateway(PROGRAM, self.folder.name, f"gateway-{number}", self.store,
                                         host=f"127.0.0.{number}", peer_port=peer_port, seeds=["127.0.0.1:1"]))
        for gateway in self.gateways:
            wait_until(gateway.is_ready, 20, f"{gateway.name} is not ready")
        time.sleep(3)  # Until the gateways have agreed on one that reads for the others.

    def send_to_all(self, label, key="key-2"):
        return {gateway.send("/lookup/", f"{label}-{gateway.name}-{number}", key=key).status
                for gateway in self.gateways for number in range(6)}

    def runs(self, name, label):
        return [run for run in self.runners[name].ran if run.startswith(label)]

    def gateway_lines(self, message):
        return [[line for line in gateway.lines() if line["message"] == message] for gateway in self.gateways]

    def write_again(self):
        self.store.put("op", "config", configuration(2, keys=("key-2",)))
        self.store.remove("servers", "gone")
        self.runners["draining"].register("draining")
        self.runners["steady"].register("ready")
        self.runners["new"].register("ready")

    def play(self, gateways):
        self.start(gateways)
        copy = self.store.copy()
        for number in range(50):  # The revision of the copy is far behind.
            self.store.put("status", f"row-{number}", {})
        self.store.put("op", "config", configuration(2, keys=("key-2",)))
        self.store.remove("servers", "gone")
        self.runners["draining"].register("draining")
        self.runners["new"] = Runner(self.store, "new", "calls")
        time.sleep(max(CONFIGURATION_LIMIT_S, DRAIN_LIMIT_S) + 0.5)
        self.assertEqual(self.send_to_all("before", key="key-1"), {401})

        self.store.refusing = True
        time.sleep(AWAY_S)
        self.store.come_back(copy)
        self.store.refusing = False
        history_gone = self.store.history_gone
        returned_at = time.monotonic()
        while time.monotonic() < returned_at + REWRITTEN_AFTER_S:
            self.assertEqual(self.send_to_all("older"), {200})
            self.assertEqual(self.send_to_all("older", key="key-1"), {401})
        self.write_again()
        time.sleep(CONFIGURATION_LIMIT_S)
        for number in range(3):
            self.assertEqual(self.send_to_all("again"), {200})
            time.sleep(0.5)
        for name in ("gone", "draining"):
            self.assertEqual(self.runs(name, "older") + self.runs(name, "again"), [], name)
        self.assertNotEqual(self.runs("new", "again"), [])

        # Revisions that were given out before the return are given out again.
        self.store.put("op", "config", configuration(3, keys=("key-3",)))
        time.sleep(CONFIGURATION_LIMIT_S)
        self.assertEqual(self.send_to_all("later", key="key-3"), {200})
        self.assertEqual(self.send_to_all("later"), {401})
        # At most one of each table and gateway, which learns of the return by it.
        self.assertLessEqual(self.store.history_gone - history_gone, 2 * gateways)
        for lines in self.gateway_lines("the store came back from an older copy"):
            self.assertEqual([(line["former_era"], line["era"]) for line in lines], [(1, 2)])

    # They guard against gateways that take revisions as rising for ever: they read on from one that the store does not
    # have, miss what is written next, and apply what the copy holds over what is newer.

    def test_one_gateway_follows_a_store_that_came_back(self):
        self.play(1)

    def test_three_gateways_follow_a_store_that_came_back(self):
        self.play(3)

    def test_nine_gateways_follow_a_store_that_came_back(self):
        self.play(9)


if __name__ == "__main__":
    PROGRAM = os.path.join(sys.argv.pop(1), "Utilities", "lavenderpick")
    unittest.main(verbosity=2)
