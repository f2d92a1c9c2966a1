"""Runs gateways as processes against a stand-in of the users' platform."""

import concurrent.futures
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest

from gateway_process import Gateway
from local_cluster import call, wait_until
from platform_stand_in import Runner, Store, configuration

PROGRAM = ""


class GatewayTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.store.put("op", "config", configuration(1))
        self.runners = [Runner(self.store, f"c-{number}", "calls") for number in range(2)]
        self.engines = [Runner(self.store, f"e-{number}", "engines") for number in range(2)]
        self.gateways = []

    def tearDown(self):
        for gateway in self.gateways:
            gateway.stop()
        for stand_in in [self.store, *self.runners, *self.engines]:
            stand_in.stop()
        self.folder.cleanup()

    def start(self, name="gateway-1", wait=True, **options):
        gateway = Gateway(PROGRAM, self.folder.name, name, self.store, **options)
        self.gateways.append(gateway)
        if wait:
            wait_until(gateway.is_ready, 10, f"{name} is not ready")
        return gateway

    def test_serves_each_kind_of_request(self):
        gateway = self.start()
        answer = gateway.send("/once/1", "once-1", body={"pairs": 1})
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.json(), {"tenant": "customer-1"})
        self.assertEqual(gateway.send("/lookup/1").headers["X-Server-Seal"], "seal")
        stream = gateway.send("/stream/", "s-1", **{"X-Token-Counts": "1000,50"})
        self.assertEqual(stream.body.count(b"id: "), 5)
        self.assertEqual(sum(runner.ran.count("once-1") for runner in self.runners), 1)

    def test_a_change_and_a_taken_key_are_in_force_within_a_second(self):
        gateway = self.start()
        self.assertEqual(gateway.send("/added/").status, 404)
        self.store.put("op", "config", configuration(2, keys=["key-2"], extra_routes=["added"]))
        wait_until(lambda: gateway.send("/added/", key="key-2").status == 200, 1, "the change is not in force")
        self.assertEqual(gateway.send("/lookup/", key="key-1").status, 401)

    # Guards against revisions that keep each other from being finished, a step back, and a text that replaces the
    # configuration in force although it can't be decoded.
    def test_large_revisions_that_follow_each_other_come_into_force(self):
        gateway = self.start()
        routes = [f"added-{number}" for number in range(1760)]
        for version in range(2, 32):
            self.store.put("op", "config", configuration(version, extra_routes=[*routes, f"version-{version}"]))
            self.assertEqual(gateway.send("/lookup/").status, 200)
            time.sleep(0.03)
        wait_until(lambda: gateway.send("/version-31/").status == 200, 3, "the last revision is not in force")
        self.store.put("op", "config", b'{"version":32,"routes":[{}],"services":[]}')
        wait_until(lambda: any(line["message"].startswith("configuration ignored") for line in gateway.lines()), 3, "not read")
        self.assertEqual(gateway.send("/version-31/").status, 200)
        versions = [line["version"] for line in gateway.lines() if line["message"] == "configuration in force"]
        self.assertEqual(versions, sorted(set(versions)))
        self.assertEqual(versions[-1], 31)

    def test_a_leaving_runner_gets_nothing_new(self):
        gateway = self.start()
        self.runners[0].register("draining")
        wait_until(lambda: any(line["message"] == "upstream changed" and line["state"] == "leaving"
                               for line in gateway.lines()), 1, "the change was not seen")
        for number in range(5):
            gateway.send("/lookup/", f"after-{number}")
        self.assertFalse([run for run in self.runners[0].ran if run.startswith("after")])

    # Guards against a gateway that reads the cold times and puts no limit into force, or never lifts it.
    def test_a_runner_that_starts_under_traffic_is_cold(self):
        settings = configuration(1)
        settings["services"][0].update({"coldS": 1.0, "coldPerS": 32})
        self.store.put("op", "config", settings)
        gateway = self.start()
        self.assertFalse([line for line in gateway.lines() if line["message"] == "upstream is cold"])
        self.runners.append(Runner(self.store, "c-new", "calls"))

        def cold_lines():
            return [(line["message"], line.get("reason"), line.get("requests_per_second"))
                    for line in gateway.lines() if line["message"] in ("upstream is cold", "upstream is warm")]

        wait_until(lambda: cold_lines() == [("upstream is cold", "new_process", 32)], 1, "it is not cold")
        begin = time.monotonic()
        for number in range(60):
            self.assertEqual(gateway.send("/lookup/", f"r-{number}").status, 200)
        if time.monotonic() - begin < 0.8:  # A gateway that has just started gets one turn a second.
            self.assertLessEqual(len(self.runners[2].ran), 1)
        wait_until(lambda: len(cold_lines()) == 2, 2, "it is not warm")
        wait_until(lambda: gateway.send("/lookup/").status == 200 and len(self.runners[2].ran) > 1, 2, "it is not used")
        self.assertIn("lavenderpick_cold_upstreams 0", call(gateway.metrics, "GET", "/metrics").body.decode())

    def test_odd_rows_of_other_writers_name_no_runner(self):
        gateway = self.start()
        row = {"service": "calls", "address": "127.0.0.1:70000", "zone": "a", "capacity": 8, "state": "ready"}
        self.store.put("servers", "odd-port", row)
        self.store.put("servers", "odd-nested", b"[" * 100_000 + b"]" * 100_000)
        self.store.put("servers", "odd-number", b'{"capacity":1e400}')
        self.store.put("servers", "odd-bytes", b"\xff\xfe")
        time.sleep(0.5)
        for number in range(20):
            self.assertEqual(gateway.send("/once/", f"odd-{number}", body={}).status, 200)
        self.assertFalse([line for line in gateway.lines() if line["message"] == "attempt failed"])
        # Rows are still followed.
        self.runners[0].register("draining")
        wait_until(lambda: any(line["message"] == "upstream changed" and line["state"] == "leaving"
                               for line in gateway.lines()), 1, "the change was not seen")
        restarted = self.start("gateway-2", host="127.0.0.2", peer_port=gateway.peer_port)
        self.assertEqual(restarted.send("/once/", "odd-restarted", body={}).status, 200)

    # Guards against keys that change the query of the next page: a gateway that started beside them read one page for
    # ever, was killed for its memory, and never knew an upstream. The rows, 90 MB, must not be kept until all are read.
    def test_keys_of_other_writers_do_not_stop_the_listing_of_a_gateway_that_starts(self):
        for key in ("copy%20", "copy%00", "copy of ", "copy&from=", "copy+", "copy\r\n", "copy#"):
            for number in range(215):
                self.store.put("servers", f"{key}{number:03d}", b"\xff" * 60_000)
        gateway = self.start()
        # The engines' rows stand behind those of the other writer.
        wait_until(lambda: gateway.send("/stream/", "s-1", **{"X-Token-Counts": "1000,50"}).status == 200, 10,
                   "no engine is known")
        self.assertEqual(gateway.send("/once/", "once-1", body={}).status, 200)
        self.assertLess(gateway.peak_memory_mib(), 65)  # A quarter of the limit of the smallest VMs.

    def test_requests_are_served_while_the_store_is_away(self):
        gateway = self.start()
        self.store.refusing = True
        wait_until(lambda: any(line["message"] == "store lost" for line in gateway.lines()), 4, "not noticed")
        self.assertEqual(gateway.send("/lookup/").status, 200)
        self.store.refusing = False
        wait_until(lambda: any(line["message"] == "store regained" for line in gateway.lines()), 2, "not regained")

    def test_a_gateway_that_the_store_refuses_learns_from_its_peer(self):
        first = self.start()
        refusing = Store()
        refusing.refusing = True
        second = Gateway(PROGRAM, self.folder.name, "gateway-2", refusing, host="127.0.0.2",
                         peer_port=first.peer_port, seeds=["127.0.0.1:1"])
        self.gateways.append(second)
        wait_until(second.is_ready, 5, "gateway-2 did not learn from its peer")
        self.assertEqual(second.send("/lookup/").status, 200)
        self.store.put("op", "config", configuration(2, keys=["key-2"]))
        wait_until(lambda: second.send("/lookup/", key="key-1").status == 401, 2, "the taken key is still in force")
        refusing.stop()

    def test_a_stop_cuts_off_nothing(self):
        gateway = self.start()
        for runner in self.runners + self.engines:
            runner.delay = 1.5
        with concurrent.futures.ThreadPoolExecutor(8) as threads:
            calls = [threads.submit(gateway.send, "/once/1", f"o-{number}", {"n": number}) for number in range(3)]
            streams = [threads.submit(gateway.send, "/stream/", f"s-{number}", None, "key-1",
                                      **{"X-Token-Counts": "1000,50"}) for number in range(3)]
            time.sleep(0.4)
            gateway.process.send_signal(signal.SIGTERM)
            time.sleep(0.2)
            self.assertFalse(gateway.is_ready())
            for answer in [future.result() for future in calls + streams]:
                self.assertEqual(answer.status, 200)
        self.assertEqual(gateway.process.wait(8), 0)

    def test_a_stop_answers_connections_that_wait_to_be_accepted(self):
        # The process is paused while callers connect, and resumes when its listener is due to close.
        gateway = self.start()
        other = self.start("gateway-2", host="127.0.0.2", peer_port=gateway.peer_port, seeds=["127.0.0.1:1"])
        wait_until(lambda: any("gateways" in line and line["gateways"] > 1 for line in other.lines())
                   or time.sleep(0.5) is None, 3, "the gateways do not know each other")
        gateway.process.send_signal(signal.SIGTERM)
        time.sleep(2)
        gateway.process.send_signal(signal.SIGSTOP)
        host, port = gateway.callers.split(":")
        callers = []
        for number in range(20):
            connection = socket.create_connection((host, int(port)), timeout=5)
            connection.sendall(b"GET /lookup/ HTTP/1.1\r\nHost: h\r\nApi-Key: key-1\r\n"
                               b"X-Attempt-Id: w%d\r\nX-Deadline-Ms: 5000\r\n\r\n" % number)
            callers.append(connection)
        time.sleep(1)
        gateway.process.send_signal(signal.SIGCONT)
        for connection in callers:
            self.assertTrue(connection.recv(100).startswith(b"HTTP/1.1 "))
            connection.close()
        self.assertTrue(any(line["message"] == "no longer accepting" for line in gateway.lines()))

    def read_slowly(self, gateway, number, pause_s=0.0, bytes_per_s=None, window=65536):
        """Sends a lookup and reads its answer slowly, or after a pause; returns the number of the body's bytes."""
        host, port = gateway.callers.split(":")
        with socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
            connection.settimeout(20)
            connection.connect((host, int(port)))
            connection.sendall(b"GET /lookup/ HTTP/1.1\r\nHost: h\r\nApi-Key: key-1\r\n"
                               b"X-Attempt-Id: s%d\r\nX-Deadline-Ms: 5000\r\n\r\n" % number)
            received = connection.recv(1000)
            time.sleep(pause_s)
            head, body = received.split(b"\r\n\r\n", 1)
            expected = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            count = len(body)
            while count < expected:
                try:
                    data = connection.recv(65536 if bytes_per_s is None else max(1, bytes_per_s // 50))
                except ConnectionResetError:
                    break
                if not data:
                    break
                count += len(data)
                if bytes_per_s is not None:
                    time.sleep(0.02)
            return count

    def test_a_stop_waits_for_callers_that_read_slowly(self):
        # The process exited, or closed a connection after a second, with output that was not written yet.
        gateway = self.start()
        for runner in self.runners:
            runner.body = b"x" * 5_500_000
        with concurrent.futures.ThreadPoolExecutor(20) as threads:
            answers = [threads.submit(self.read_slowly, gateway, number, 0.0, 1_000_000) for number in range(20)]
            time.sleep(0.5)
            gateway.process.send_signal(signal.SIGTERM)
            for answer in answers:
                self.assertEqual(answer.result(), 5_500_000)
        self.assertEqual(gateway.process.wait(8), 0)

    def test_a_caller_that_pauses_while_reading_gets_its_whole_answer(self):
        # The kernel's timeout for unacknowledged data counts a closed window, and reset the connection after 1.5 s.
        gateway = self.start()
        for runner in self.runners:
            runner.body = b"x" * 4_000_000
        with concurrent.futures.ThreadPoolExecutor(4) as threads:
            for answer in [threads.submit(self.read_slowly, gateway, number, 4.0) for number in range(4)]:
                self.assertEqual(answer.result(), 4_000_000)

    def test_a_caller_with_a_small_window_that_pauses_gets_its_whole_answer(self):
        # Guards against the same for small answers: what fits in a caller's window depends on the caller.
        gateway = self.start()
        for runner in self.runners:
            runner.body = b"x" * 4_800
        with concurrent.futures.ThreadPoolExecutor(4) as threads:
            for answer in [threads.submit(self.read_slowly, gateway, number, 3.0, window=1024) for number in range(4)]:
                self.assertEqual(answer.result(), 4_800)

    def test_settings_are_read_again_on_a_hangup(self):
        gateway = self.start()
        gateway.process.send_signal(signal.SIGHUP)
        wait_until(lambda: any(line["message"] == "settings reloaded" for line in gateway.lines()), 2, "not reloaded")
        self.assertEqual(gateway.send("/lookup/").status, 200)

    def test_ids_and_prompt_parts_that_are_no_text_end_no_process(self):
        gateway = self.start()
        self.start("gateway-2", host="127.0.0.2", peer_port=gateway.peer_port, seeds=["127.0.0.1:1"])
        for engine in self.engines:
            engine.extra_headers = {"Content-Length": "99"}  # Breaks each stream off, like a crash.
        for number in range(6):
            with socket.create_connection(gateway.callers.split(":"), timeout=10) as connection:
                connection.sendall(b"GET /stream/ HTTP/1.1\r\nHost: h\r\nApi-Key: key-1\r\nX-Attempt-Id: \xff\xfe%d\r\n"
                                   b"X-Prompt-Prefix: \xff\xfe:800,own:1\r\nX-Token-Counts: 30000,50\r\n"
                                   b"X-Deadline-Ms: 2000\r\n\r\n" % number)
                connection.recv(1000)
        time.sleep(1)
        for running in self.gateways:
            self.assertIsNone(running.process.poll())
            self.assertEqual(running.send("/lookup/").status, 200)

    def test_a_hangup_during_the_start_ends_no_process(self):
        # Found by soak seed 21: a gateway that had just been restarted got a SIGHUP.
        settings = os.path.join(self.folder.name, "pipe.yaml")
        os.mkfifo(settings)  # The process waits for its settings until someone writes them.
        process = subprocess.Popen([PROGRAM, "gateway", "--settings", settings])
        try:
            time.sleep(1)
            process.send_signal(signal.SIGHUP)
            time.sleep(0.2)
            self.assertIsNone(process.poll())
        finally:
            process.kill()
            process.wait()

    def test_metrics_count_refusals(self):
        gateway = self.start()
        gateway.send("/nowhere/")
        text = call(gateway.peers, "GET", "/metrics").body.decode()
        self.assertIn('lavenderpick_refusals_total{reason="not_found"} 1', text)

    def test_latency_histograms_are_served_on_the_metrics_address(self):
        gateway = self.start()
        self.assertEqual(gateway.send("/lookup/").status, 200)
        text = call(gateway.metrics, "GET", "/metrics").body.decode()
        series = 'lavenderpick_request_duration_seconds_bucket{kind="safe",outcome="success",le="+Inf"} 1'
        self.assertIn(series, text)
        self.assertEqual(call(gateway.metrics, "GET", "/configuration").status, 404)

    def test_a_taken_metrics_port_stops_no_gateway(self):
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            gateway = self.start(metrics=f"127.0.0.1:{taken.getsockname()[1]}")
            self.assertEqual(gateway.send("/lookup/").status, 200)

    def test_a_request_can_be_followed_by_its_id(self):
        gateway = self.start()
        gateway.send("/lookup/", "find-me")

        def messages():
            return [line["message"] for line in gateway.lines() if line.get("request_id") == "find-me"]

        wait_until(lambda: messages() == ["sent", "finished"], 2, "the story is not whole")


if __name__ == "__main__":
    PROGRAM = os.path.join(sys.argv.pop(1), "Utilities", "lavenderpick")
    unittest.main(verbosity=2)
