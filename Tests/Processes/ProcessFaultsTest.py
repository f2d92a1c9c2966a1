"""Faults against real processes on loopback: kill, freeze, store outages, planned stops."""

import os
import signal
import sys
import threading
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from local_cluster import MODEL, Cluster, answer_to, call, in_background, prompt_of, wait_until  # noqa: E402

BUILD = sys.argv.pop(1) if len(sys.argv) > 1 else "build"


class ProcessTest(unittest.TestCase):
    options = {}

    def setUp(self):
        self.cluster = Cluster(BUILD, **self.options)
        self.addCleanup(self.cluster.stop)
        self.cluster.start()

    def set_platform_faults(self, **faults):
        answer = call(self.cluster.address("platform"), "POST", "/faults", faults)
        self.assertEqual(answer.status, 200, answer.body)

    def runs_of(self, key):
        return [run for run in self.cluster.journal() if run["key"] == "counter/" + key]

    def upstream_of_running_stream(self):
        for name in self.cluster.engine_names:
            if call(self.cluster.address(name), "GET", "/inventory").json()["streams"]:
                return name
        return None

    def wait_for_running_stream(self):
        wait_until(lambda: self.upstream_of_running_stream() is not None, 10, "no engine runs the stream")
        return self.upstream_of_running_stream()

    def start_stream(self, generated, entry="entry-1"):
        """Starts a stream in the background and waits until its first tokens arrived."""
        prompt = prompt_of(2000, seed=generated)
        seen = threading.Event()
        wait = in_background(lambda: self.cluster.stream(entry, prompt, generated,
                                                         on_piece=lambda text: seen.set(), deadline_ms=60000))
        self.assertTrue(seen.wait(20), "the stream did not start")
        return prompt, wait

    def assert_whole(self, prompt, generated, result):
        text, done, error = result
        self.assertIsNone(error)
        self.assertTrue(done)
        self.assertEqual(text, answer_to(prompt, generated))


class StreamFaults(ProcessTest):
    options = {"time_scale": 0.5}

    def test_stream_survives_kill_of_its_agent(self):
        """Guards against an answer that is cut or doubled when the agent dies in the middle."""
        prompt, wait = self.start_stream(200)
        self.cluster.kill("agent-" + self.wait_for_running_stream())
        self.assert_whole(prompt, 200, wait())

    def test_stream_survives_kill_of_its_engine(self):
        """Guards against an answer that is cut or doubled when the engine dies in the middle."""
        prompt, wait = self.start_stream(200)
        self.cluster.kill(self.wait_for_running_stream())
        self.assert_whole(prompt, 200, wait())

    def test_stream_survives_frozen_agent(self):
        """Guards against waiting for ever on a connection that fell silent."""
        prompt, wait = self.start_stream(200)
        upstream = self.wait_for_running_stream()
        self.cluster.send_signal("agent-" + upstream, signal.SIGSTOP)
        result = wait(40)
        self.cluster.send_signal("agent-" + upstream, signal.SIGCONT)
        self.assert_whole(prompt, 200, result)
        wait_until(lambda: not call(self.cluster.address(upstream), "GET", "/inventory").json()["streams"], 40,
                   "the resumed agent left its stream on the engine")

    def test_restarted_agent_releases_what_the_engine_holds(self):
        """Guards against engine memory that nobody owns after the agent was killed."""
        _, wait = self.start_stream(400)
        upstream = self.wait_for_running_stream()
        self.cluster.kill("agent-" + upstream)
        self.cluster.start_agent(upstream)
        def released():
            load = call(self.cluster.address(upstream), "GET", "/inventory").json()
            return not load["streams"] and not load["handles"]
        wait()
        wait_until(released, 30, "the engine still holds memory")

    def test_planned_stop_cuts_off_nothing_and_takes_nothing_new(self):
        """Guards against a stop that cuts a stream, or an upstream that takes work after its plan."""
        prompt, wait = self.start_stream(200)
        upstream = self.wait_for_running_stream()
        self.cluster.run_tool("upstream", "stop", upstream, "--grace", "60 s", "--settings",
                              self.cluster.path("operator.yaml"))
        time.sleep(5)
        for number in range(12):
            self.assertEqual(self.cluster.complete("entry-2", prompt_of(500, seed=number), 2).status, 200)
            streams = call(self.cluster.address(upstream), "GET", "/inventory").json()["streams"]
            self.assertLessEqual(len(streams), 1)
        self.assert_whole(prompt, 200, wait())

    def test_entry_stops_gracefully(self):
        """Guards against a planned stop of an entry that cuts a stream."""
        prompt, wait = self.start_stream(150)
        self.assertEqual(self.cluster.terminate("entry-1", 60), 0)
        self.assert_whole(prompt, 150, wait())

    def test_agent_stops_gracefully(self):
        """Guards against a planned stop of an agent that cuts a stream."""
        prompt, wait = self.start_stream(150)
        upstream = self.wait_for_running_stream()
        self.assertEqual(self.cluster.terminate("agent-" + upstream, 60), 0)
        self.assert_whole(prompt, 150, wait())


class CallFaults(ProcessTest):
    options = {"engines": 1}

    def test_lost_store_answers_do_not_run_a_call_twice(self):
        """Guards against a booking that runs twice when the store's answer is lost after the write."""
        for number in range(5):
            self.set_platform_faults(lose_answers=number + 1)
            key = f"lost-{number}"
            first = self.cluster.book("entry-1", key, {"pairs": 1})
            self.set_platform_faults(lose_answers=0)
            second = self.cluster.book("entry-2", key, {"pairs": 1})
            runs = len(self.runs_of(key))
            self.assertLessEqual(runs, 1)
            if first.status == 200 or second.status == 200:
                self.assertEqual(runs, 1)
            if first.status != 200 and first.json().get("ran") == "no" and second.status != 200:
                self.assertEqual(runs, 0)

    def test_store_outage_refuses_calls_as_not_run(self):
        """Guards against a call that runs without its record, or a refusal that takes too long."""
        self.set_platform_faults(down=True)
        start = time.monotonic()
        answer = self.cluster.book("entry-1", "outage", {"pairs": 1})
        self.assertLess(time.monotonic() - start, 5)
        self.assertEqual(answer.status, 503, answer.body)
        self.assertEqual(answer.json()["ran"], "no")
        self.assertEqual(self.runs_of("outage"), [])
        self.assertEqual(self.cluster.complete("entry-1", prompt_of(500), 4).status, 200)
        self.set_platform_faults(down=False)
        self.assertEqual(self.cluster.book("entry-1", "outage", {"pairs": 1}).status, 200)
        self.assertEqual(len(self.runs_of("outage")), 1)

    def test_kill_of_the_agent_during_a_call_leaves_it_at_most_once(self):
        """Guards against a second run of a call whose agent died, and against a false "not run"."""
        call(self.cluster.address("desk"), "POST", "/faults", {"slow_ms": 1500})
        wait = in_background(lambda: self.cluster.book("entry-1", "killed", {"pairs": 1}))
        time.sleep(0.5)
        self.cluster.kill("agent-desk")
        first = wait()
        call(self.cluster.address("desk"), "POST", "/faults", {"slow_ms": 0})
        self.cluster.start_agent("desk")
        self.cluster.wait_healthy("agent-desk")
        time.sleep(5)
        second = self.cluster.book("entry-2", "killed", {"pairs": 1})
        self.assertLessEqual(len(self.runs_of("killed")), 1)
        for answer in (first, second):
            if answer.status != 200 and answer.json()["ran"] == "no":
                self.assertEqual(self.runs_of("killed"), [])

    def test_outcome_can_be_looked_up_after_every_process_was_replaced(self):
        """Guards against an outcome that is known only to the processes that ran it."""
        self.assertEqual(self.cluster.book("entry-1", "kept", {"pairs": 1}).status, 200)
        for name in ["entry-1", "entry-2", "agent-desk"]:
            self.cluster.kill(name)
        self.cluster.start_entry("entry-2")
        self.cluster.wait_ready("entry-2")
        answer = call(self.cluster.address("entry-2"), "GET", "/v1/calls/kept", None, self.cluster.headers())
        self.assertEqual(answer.status, 200, answer.body)
        self.assertEqual(len(self.runs_of("kept")), 1)


class DocumentFaults(ProcessTest):
    options = {"engines": 1}

    def edit_priorities(self, rank):
        priorities = self.cluster.document_sections()["priorities"]
        priorities["counter"]["rank"] = rank
        version = self.cluster.section_version("priorities")
        self.cluster.apply_section("priorities", priorities, version)
        return int(self.cluster.section_version("priorities"))

    def version_at(self, name):
        return call(self.cluster.address(name), "GET", "/health").json()["document_version"]

    def test_entry_starts_from_its_peers_while_the_store_is_down(self):
        """Guards against an entry that stays out of service, or starts with an old document."""
        newest = self.edit_priorities(3)
        wait_until(lambda: self.version_at("entry-2") >= newest, 12, "the edit did not reach entry-2")
        self.cluster.kill("entry-1")
        self.set_platform_faults(down=True)
        self.cluster.start_entry("entry-1")
        self.cluster.wait_ready("entry-1")
        self.assertGreaterEqual(self.version_at("entry-1"), newest)
        answer = self.cluster.complete("entry-1", prompt_of(500), 4)
        self.assertEqual(answer.status, 200, answer.body)

    def test_ready_entry_serves_at_once(self):
        """Guards against an entry that takes callers from the balancer before it knows any agent."""
        self.cluster.kill("entry-1")
        self.cluster.start_entry("entry-1")
        self.cluster.wait_ready("entry-1")
        answer = self.cluster.complete("entry-1", prompt_of(500), 4)
        self.assertEqual(answer.status, 200, answer.body)

    def test_frozen_entry_catches_up(self):
        """Guards against an entry that keeps an old document after it was paused."""
        self.cluster.send_signal("entry-2", signal.SIGSTOP)
        newest = self.edit_priorities(4)
        time.sleep(3)
        self.cluster.send_signal("entry-2", signal.SIGCONT)
        wait_until(lambda: self.version_at("entry-2") >= newest, 12, "the edit did not reach entry-2")


class JobFaults(ProcessTest):
    options = {"time_scale": 0.3, "engines": 2}

    def test_job_survives_kill_of_its_holder(self):
        """Guards against a report that is lost or cut when the entry that runs it dies."""
        prompt = prompt_of(4000, seed=9)
        body = {"model": MODEL, "prompt": prompt, "max_tokens": 1500, "priority": "report"}
        submitted = call(self.cluster.address("entry-1"), "POST", "/v1/jobs", body, self.cluster.headers())
        self.assertEqual(submitted.status, 202, submitted.body)
        path = "/v1/jobs/" + submitted.json()["id"]
        self.wait_for_running_stream()
        self.cluster.kill("entry-1")
        def state():
            return call(self.cluster.address("entry-2"), "GET", path, None, self.cluster.headers()).json()["state"]
        wait_until(lambda: state() in ("done", "failed"), 150, "the job did not end")
        self.assertEqual(state(), "done")
        result = call(self.cluster.address("entry-2"), "GET", path + "/result", None, self.cluster.headers())
        self.assertEqual(result.json()["choices"][0]["text"], answer_to(prompt, 1500))


if __name__ == "__main__":
    unittest.main(verbosity=2)
