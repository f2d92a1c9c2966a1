"""Measures what control costs: processor time, memory, bytes and store operations of idle processes, the
time from acceptance of a change to the last node, and the cost of a change and of an open stream.

Usage: measure_control.py BUILD_FOLDER idle|changes|streams
"""

import json
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from local_cluster import Cluster, call, in_background, prompt_of, wait_until  # noqa: E402

WINDOW_SECONDS = 30


class MeasuredCluster(Cluster):
    """A cluster with the product's own periods, and optionally one entry that can't reach the store."""

    cut_off_entry = None

    def common_settings(self, name):
        settings = super().common_settings(name)
        if name == self.cut_off_entry:
            settings["platform"] = {"address": "127.0.0.1:9"}
        return settings

    def write_settings(self, name, settings):
        settings.pop("periods", None)
        super().write_settings(name, settings)


def processor_seconds(process):
    """User and system time of all threads, in ticks of 10 ms; schedstat counts the first thread only."""
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mib(process):
    with open(f"/proc/{process.pid}/status") as file:
        line = next(line for line in file if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def loopback_bytes():
    with open("/proc/net/dev") as file:
        line = next(line for line in file if line.strip().startswith("lo:"))
    return int(line.split(":")[1].split()[0])


def store_operations(cluster):
    counters = call(cluster.address("platform"), "GET", "/counters").json()
    return counters["reads"], counters["writes"]


class Window:
    """Costs of each process, and of all together, between two moments."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.start = self.sample()

    def sample(self):
        return {
            "time": time.monotonic(),
            "bytes": loopback_bytes(),
            "store": store_operations(self.cluster),
            "processor": {name: processor_seconds(process) for name, process in self.cluster.processes.items()},
        }

    def close(self):
        end = self.sample()
        seconds = end["time"] - self.start["time"]
        self.bytes_per_second = (end["bytes"] - self.start["bytes"]) / seconds
        self.reads_per_second = (end["store"][0] - self.start["store"][0]) / seconds
        self.writes_per_second = (end["store"][1] - self.start["store"][1]) / seconds
        self.processor = {name: (end["processor"][name] - self.start["processor"][name]) / seconds
                          for name in end["processor"]}
        return self

    def mean_processor(self, prefix):
        shares = [share for name, share in self.processor.items() if name.startswith(prefix)]
        return 100 * sum(shares) / len(shares) if shares else 0


def mean_resident(cluster, prefix):
    sizes = [resident_mib(process) for name, process in cluster.processes.items() if name.startswith(prefix)]
    return sum(sizes) / len(sizes) if sizes else 0


def measure_idle():
    print("engines entries  entry-cpu%  entry-MiB  agent-cpu%  agent-MiB  loopback-B/s  reads/s  writes/s")
    for engines, entries in ((0, 1), (0, 2), (0, 8), (8, 2), (24, 2), (48, 2), (48, 4)):
        cluster = MeasuredCluster(sys.argv[1], engines, entries)
        try:
            if engines:
                cluster.start()
            else:
                cluster.wait_serving = cluster.wait_ready
                cluster.start()
            time.sleep(5)
            window = Window(cluster)
            time.sleep(WINDOW_SECONDS)
            window.close()
            print(f"{engines:7} {entries:7}  {window.mean_processor('entry'):10.3f}  {mean_resident(cluster, 'entry'):9.1f}"
                  f"  {window.mean_processor('agent'):10.3f}  {mean_resident(cluster, 'agent'):9.1f}"
                  f"  {window.bytes_per_second:12.0f}  {window.reads_per_second:7.2f}  {window.writes_per_second:8.2f}",
                  flush=True)
        finally:
            cluster.stop()


def edit(cluster, rank):
    priorities = cluster.document_sections()["priorities"]
    priorities["counter"]["rank"] = rank
    applied = cluster.apply_section("priorities", priorities, cluster.section_version("priorities"))
    return json.loads(applied.stdout)["version"]


def document_version(cluster, name):
    health = call(cluster.address(name), "GET", "/health").json()
    return health.get("document_version", -1)


def measure_changes():
    entries, engines, changes = 100, 20, 12
    cluster = MeasuredCluster(sys.argv[1], engines, entries)
    cluster.cut_off_entry = "entry-50"
    cluster.wait_serving = cluster.wait_ready
    try:
        cluster.start()
        time.sleep(15)
        names = cluster.entry_names + ["agent-" + name for name in cluster.engine_names]
        delays, cut_off_delays = [], []
        window = Window(cluster)
        for number in range(changes):
            version = edit(cluster, number % 4 + 1)
            accepted = time.monotonic()
            pending = set(names)
            while pending and time.monotonic() < accepted + 30:
                for name in list(pending):
                    if document_version(cluster, name) >= version:
                        pending.discard(name)
                        if name == cluster.cut_off_entry:
                            cut_off_delays.append(time.monotonic() - accepted)
            delays.append(time.monotonic() - accepted)
        window.close()
        print(f"{entries} entries, {engines} agents, {changes} changes; one entry can't reach the store")
        print("seconds to the last node:  " + " ".join(f"{delay:.2f}" for delay in sorted(delays)))
        print("seconds to the cut-off one: " + " ".join(f"{delay:.2f}" for delay in sorted(cut_off_delays)))
        print(f"store reads/s {window.reads_per_second:.1f}, writes/s {window.writes_per_second:.2f}")
    finally:
        cluster.stop()


def measure_streams():
    print("streams  tokens/s  entry-cpu%  entry-MiB  agent-cpu%  agent-MiB")
    for streams in (0, 50, 100, 200):
        cluster = MeasuredCluster(sys.argv[1], 1, 1, time_scale=1, kv_capacity=2000000)
        try:
            cluster.start()
            received = [0] * streams

            def receive(number):
                def count(text):
                    received[number] = len(text) // 4
                cluster.stream("entry-1", prompt_of(1000, seed=number), 4000, on_piece=count, deadline_ms=1200000)

            waits = [in_background(receive, number) for number in range(streams)]
            time.sleep(15)
            running = len(call(cluster.address("engine-1"), "GET", "/inventory").json()["streams"])
            window, before = Window(cluster), sum(received)
            time.sleep(10)
            window.close()
            rate = (sum(received) - before) / 10
            print(f"{running:7}  {rate:8.0f}  {window.mean_processor('entry'):10.3f}  {mean_resident(cluster, 'entry'):9.1f}"
                  f"  {window.mean_processor('agent'):10.3f}  {mean_resident(cluster, 'agent'):9.1f}", flush=True)
            del waits
        finally:
            cluster.stop()


if __name__ == "__main__":
    {"idle": measure_idle, "changes": measure_changes, "streams": measure_streams}[sys.argv[2]]()
