"""Runners that say of themselves that they leave or want nothing for a while, at one gateway and at nine."""

import os
import sys
import tempfile
import time
import unittest

from gateway_process import Gateway, free_port
from local_cluster import wait_until
from platform_stand_in import Runner, Store, configuration

PROGRAM = ""


class UpstreamNoticeTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.store.put("op", "config", configuration(1))
        self.runners = [Runner(self.store, f"c-{number}", "calls") for number in range(3)]
        self.engines = [Runner(self.store, f"e-{number}", "engines") for number in range(3)]
        self.gateways = []
        self.sent = 0

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        for stand_in in [self.store, *self.runners, *self.engines]:
            stand_in.stop()
        self.folder.cleanup()

    def start(self, count):
        peer_port = free_port()
        for number in range(1, count + 1):
            self.gateways.append(Gateway(PROGRAM, self.folder.name, f"gateway-{number}", self.store,
                                         host=f"127.0.0.{number}", peer_port=peer_port, seeds=["127.0.0.1:1"]))
        for gateway in self.gateways:
            wait_until(gateway.is_ready, 20, f"{gateway.name} is not ready")

    def send(self, gateway, path="/lookup/", label="r"):
        self.sent += 1
        identifier = f"{label}-{gateway.name}-{self.sent}"
        headers = {"X-Token-Counts": "1000,50"} if path == "/stream/" else {}
        return identifier, gateway.send(path, identifier, **headers)

    def send_until_arrived(self, runner, path):
        """Sends requests through each gateway until it has passed on an answer of the runner."""
        for gateway in self.gateways:
            for _ in range(200):
                identifier, _ = self.send(gateway, path)
                if any(identifier == arrived for _, arrived in runner.arrived):
                    break
            else:
                self.fail(f"{gateway.name} never asked the runner")

    def labelled(self, runner, label):
        return [identifier for _, identifier in runner.arrived if identifier.startswith(label + "-")]

    def play_leaving(self, count, path, runners):
        self.start(count)
        leaving = runners[0]
        leaving.extra_headers = {"Server-Leaving": "1"}
        self.send_until_arrived(leaving, path)
        # Neither the loss of the store nor another entry of the same process brings it back.
        self.store.refusing = True
        for gateway in self.gateways:
            for _ in range(5):
                self.assertEqual(self.send(gateway, path, "away")[1].status, 200)
        self.store.refusing = False
        leaving.extra_headers = {}
        leaving.register("ready")
        time.sleep(1.5)
        for gateway in self.gateways:
            for _ in range(5):
                self.assertEqual(self.send(gateway, path, "later")[1].status, 200)
        self.assertEqual(self.labelled(leaving, "away") + self.labelled(leaving, "later"), [])
        # Its successor is another process.
        leaving.register("ready", born=2)
        for gateway in self.gateways:
            wait_until(lambda gateway=gateway: self.send(gateway, path, "next") and self.labelled(
                leaving, f"next-{gateway.name}"), 5, "the successor gets nothing")

    def test_a_runner_that_says_it_leaves_gets_nothing_new_from_one_gateway(self):
        self.play_leaving(1, "/lookup/", self.runners)

    def test_a_runner_that_says_it_leaves_gets_nothing_new_from_nine_gateways(self):
        self.play_leaving(9, "/lookup/", self.runners)

    def test_an_engine_that_says_it_leaves_gets_no_streams(self):
        self.play_leaving(1, "/stream/", self.engines)

    def play_pause(self, count):
        self.start(count)
        paused = self.runners[0]
        paused.retry_after = "3"
        turned_away_at = {}
        end = time.monotonic() + 4
        while time.monotonic() < end:
            for gateway in self.gateways:
                identifier, answer = self.send(gateway, label="p")
                self.assertEqual(answer.status, 200)
                arrived = [at for at, other in paused.arrived if other == identifier]
                if not arrived:
                    continue
                # Requests that are under way may still arrive.
                if gateway.name in turned_away_at:
                    self.assertGreaterEqual(arrived[0] - turned_away_at[gateway.name], 3)
                turned_away_at[gateway.name] = arrived[0]
            time.sleep(0.02)
        self.assertEqual(len(turned_away_at), count)
        paused.retry_after = None
        for gateway in self.gateways:
            wait_until(lambda gateway=gateway: self.send(gateway, label="back") and self.labelled(
                paused, f"back-{gateway.name}"), 5, "the runner gets nothing after its pause")

    def test_a_runner_that_wants_nothing_is_left_alone_by_one_gateway(self):
        self.play_pause(1)

    def test_a_runner_that_wants_nothing_is_left_alone_by_nine_gateways(self):
        self.play_pause(9)

    def test_a_restarted_gateway_asks_again(self):
        self.start(1)
        for runner in self.runners:
            runner.retry_after = "3600"
        for _ in range(3):
            self.send(self.gateways[0])
        _, refused = self.send(self.gateways[0])
        self.assertEqual(refused.status, 503)
        self.assertGreaterEqual(float(refused.headers["Retry-After"]), 3500)
        arrived = sum(len(runner.arrived) for runner in self.runners)
        self.gateways.pop().stop()
        self.start(1)
        self.send(self.gateways[0])
        self.assertGreater(sum(len(runner.arrived) for runner in self.runners), arrived)


if __name__ == "__main__":
    PROGRAM = os.path.join(sys.argv.pop(1), "Utilities", "lavenderpick")
    unittest.main(verbosity=2)
