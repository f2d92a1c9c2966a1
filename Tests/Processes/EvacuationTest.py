"""Gateways in three zones under load while the operator evacuates zones and the store turns some gateways away."""

import os
import re
import subprocess
import sys
import tempfile
import threading
import time
import unittest

from gateway_process import Gateway, free_port
from local_cluster import wait_until
from platform_stand_in import Runner, Store, StoreDoor, configuration

PROGRAM = ""
SOURCE = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ("a", "b", "c")
EVACUATION_LIMIT_S = 2.0
SKEW_S = 1.0  # Added for gateways that the store turns away; peers tell them within two heartbeats.


class Load:
    """Calls and streams through all gateways, a few at a time at each."""

    def __init__(self, gateways):
        self.answers = []  # Time of the answer, gateway, path and status.
        self.ending = threading.Event()
        self.threads = [threading.Thread(target=self.send, args=(gateway, path))
                        for gateway in gateways for path in ("/once/", "/lookup/", "/stream/")]
        for thread in self.threads:
            thread.start()

    def send(self, gateway, path):
        number = 0
        headers = {"X-Token-Counts": "1000,50"} if path == "/stream/" else {}
        while not self.ending.wait(0.03):
            number += 1
            status = gateway.send(path, f"{gateway.name}{path}{number}", **headers).status
            self.answers.append((time.monotonic(), gateway.name, path, status))

    def end(self):
        self.ending.set()
        for thread in self.threads:
            thread.join()


class EvacuationTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.store.put("op", "config", configuration(1))
        self.runners = [Runner(self.store, f"{service}-{zone}-{number}", service, zone)
                        for zone in ZONES for service in ("calls", "engines") for number in range(2)]
        for runner in self.runners:
            runner.delay = 0.05
        self.gateways = []
        self.doors = {}
        self.peer_port = free_port()

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        for stand_in in [self.store, *self.doors.values(), *self.runners]:
            stand_in.stop()
        self.folder.cleanup()

    def start_one(self, zone=None):
        number = len(self.gateways) + 1
        name = f"gateway-{number}"
        self.doors[name] = StoreDoor(self.store)
        self.gateways.append(Gateway(PROGRAM, self.folder.name, name, self.doors[name], host=f"127.0.0.{number}",
                                     peer_port=self.peer_port, seeds=["127.0.0.1:1"],
                                     zone=zone or ZONES[(number - 1) % len(ZONES)],
                                     limits={"evacuation_limit": f"{EVACUATION_LIMIT_S:g} s"}))
        return self.gateways[-1]

    def start(self, count):
        for _ in range(count):
            self.start_one()
        for gateway in self.gateways:
            wait_until(gateway.is_ready, 20, f"{gateway.name} is not ready")

    def arrivals(self, zone, start, end=float("inf")):
        return [(runner.identifier, identifier) for runner in self.runners if runner.zone == zone
                for at, identifier in runner.arrived if start <= at <= end]

    def lines(self, gateway, message):
        return [line for line in gateway.lines() if line["message"] == message]

    def is_reader(self, gateway):
        roles = [line["role"] for line in self.lines(gateway, "role of reading the store changed")]
        return roles[-1:] == ["reader"]

    def play(self, count):
        """Evacuates zone "a" while the store turns away a gateway of that zone and the one that reads for others."""
        self.start(count)
        time.sleep(3)  # Until roles are settled.
        load = Load(self.gateways)
        time.sleep(1)
        self.assertTrue(self.arrivals("a", 0))
        cut_off = {self.gateways[0], *filter(self.is_reader, self.gateways)}
        for gateway in cut_off:
            self.doors[gateway.name].refusing = True
        time.sleep(0.5)
        self.store.evacuate("a")
        evacuated_at = time.monotonic()
        time.sleep(EVACUATION_LIMIT_S + SKEW_S + 2)
        self.store.end_evacuation("a")
        ended_at = time.monotonic()
        for gateway in self.gateways:
            wait_until(lambda gateway=gateway: self.lines(gateway, "evacuation ended"), 5,
                       f"{gateway.name} did not learn of the end")
        time.sleep(1)
        load.end()
        late = evacuated_at + EVACUATION_LIMIT_S
        others = [arrival for arrival in self.arrivals("a", late, ended_at)
                  if not any(arrival[1].startswith(gateway.name) for gateway in cut_off)]
        self.assertEqual(others, [])
        self.assertEqual(self.arrivals("a", late + SKEW_S, ended_at), [])
        self.assertTrue(self.arrivals("a", ended_at))
        for gateway in self.gateways:
            if gateway in cut_off:
                self.assertEqual({line["source"] for line in self.lines(gateway, "zone evacuated")}, {"peer"})
            self.assertEqual(len(self.lines(gateway, "zone evacuated")), 1)
            served = [status for at, name, _, status in load.answers if name == gateway.name and at > evacuated_at]
            self.assertEqual(set(served), {200}, gateway.name)

    def test_no_request_reaches_an_evacuated_zone_from_three_gateways(self):
        self.play(3)

    def test_no_request_reaches_an_evacuated_zone_from_nine_gateways(self):
        # Followers read the store only when they hear of a change; the configuration's revision stays the same.
        self.play(9)

    def test_a_gateway_that_starts_without_the_store_learns_of_an_evacuation(self):
        self.start(2)
        self.store.evacuate("a")
        for gateway in self.gateways:
            wait_until(lambda gateway=gateway: self.lines(gateway, "zone evacuated"), EVACUATION_LIMIT_S,
                       f"{gateway.name} did not learn of the evacuation")
        self.store.refusing = True
        started_at = time.monotonic()
        late = self.start_one("a")  # Prefers the upstreams of its own zone.
        wait_until(late.is_ready, 10, "the gateway got no configuration")
        for number in range(30):
            self.assertEqual(late.send("/once/", f"late-{number}").status, 200)
        self.assertEqual(self.arrivals("a", started_at), [])

    def test_the_deployed_settings_are_valid_with_and_without_a_limit(self):
        # A line that is left out must not break the settings of deployments that name no limit.
        with open(os.path.join(SOURCE, "deploy", "gateway.yaml.template")) as file:
            template = file.read()
        values = {"bounds.configApplyMs": 4000, "bounds.drainMs": 3000, "bounds.evacuateMs": 5000, "bounds.graceS": 8,
                  "bounds.idleMaxMs": 9000,
                  "limits.memoryMb": 160, "bounds.retryRatio": 0.2, "bounds.retrySlack": 100, "bounds.retryWindowS": 10,
                  "nodeName": '"n"', "zone": '"a"', "listen.front": '"127.0.0.1:1"', "listen.ready": '"127.0.0.1:2"',
                  "ipAddr": "127.0.0.1", "internalPorts.0": 3, "platform.address": '"127.0.0.1:4"', "seedNodes": "[]"}
        for given in (True, False):
            text = re.sub(r"\{\{#(bounds\.\w+)\}\}(.*?)\{\{/\1\}\}", r"\2" if given else "", template, flags=re.DOTALL)
            text = re.sub(r"\{\{([^}|]+)(\|json)?\}\}", lambda match: str(values[match.group(1)]), text)
            self.assertEqual("evacuation_limit: 5000 ms" in text, given)
            self.assertEqual("unused_reservation_limit: 9000 ms" in text, given)
            path = os.path.join(self.folder.name, "rendered.yaml")
            with open(path, "w") as file:
                file.write(text)
            checked = subprocess.run([PROGRAM, "gateway", "--settings", path, "--check-settings"], capture_output=True,
                                     text=True, timeout=10)
            self.assertEqual(checked.returncode, 0, checked.stdout + checked.stderr)


if __name__ == "__main__":
    PROGRAM = os.path.join(sys.argv.pop(1), "Utilities", "lavenderpick")
    unittest.main(verbosity=2)
