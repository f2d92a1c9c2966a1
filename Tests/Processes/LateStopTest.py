"""A gateway that gets requests all through its planned stop."""

import concurrent.futures
import os
import signal
import sys
import tempfile
import time
import unittest

from gateway_process import Gateway
from local_cluster import wait_until
from platform_stand_in import Runner, Store, configuration

PROGRAM = ""


class LateStopTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.store.put("op", "config", configuration(1))
        self.runners = [Runner(self.store, f"c-{number}", "calls") for number in range(2)]

    def tearDown(self):
        for stand_in in [self.store, *self.runners]:
            stand_in.stop()
        self.folder.cleanup()

    def test_a_stop_takes_no_call_that_it_cannot_finish(self):
        # Late in the grace period, calls that take long were accepted and cut without an answer at its end.
        gateway = Gateway(PROGRAM, self.folder.name, "gateway-1", self.store)
        self.addCleanup(gateway.stop)
        wait_until(gateway.is_ready, 10, "the gateway is not ready")
        for runner in self.runners:
            runner.delay = 2.5
        self.assertEqual(gateway.send("/once/", "before", {"n": 0}).status, 200, gateway.lines())
        gateway.process.send_signal(signal.SIGTERM)

        def outcome(number):
            try:
                return gateway.send("/once/", f"late-{number}", {"n": number}).status
            except ConnectionRefusedError:
                return "refused"  # The process has exited, or listens no more.
            except OSError as error:
                return str(error)

        calls = []
        with concurrent.futures.ThreadPoolExecutor(64) as threads:
            while gateway.process.poll() is None:
                calls.append(threads.submit(outcome, len(calls)))
                time.sleep(0.2)
            outcomes = [call.result() for call in calls]
        self.assertIn(200, outcomes)
        self.assertEqual(set(outcomes) - {200, 503, "refused"}, set())
        ran = {run for runner in self.runners for run in runner.ran}
        self.assertFalse([number for number, outcome in enumerate(outcomes)
                          if outcome == 503 and f"late-{number}" in ran])


if __name__ == "__main__":
    PROGRAM = os.path.join(sys.argv.pop(1), "Utilities", "lavenderpick")
    unittest.main(verbosity=2)
