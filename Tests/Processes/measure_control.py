"""Measures what control costs: processor time, memory, bytes and store operations of idle processes, the
time from acceptance of a change to the last node, and the cost of a change and of an open stream.

Usage: measure_control.py BUILD_FOLDER idle|target|changes|streams
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
    for engines, entries in ((0, 1), (0, 8), (8, 2), (48, 2)):
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


def register_target_fleet(cluster):
    """4,800 agents and 330 entries in 5 regions and 14 zones; nothing listens at their addresses."""
    for number in range(4800 + 330):
        is_agent = number < 4800
        zone = number % 14
        vm = {"name": f"vm-{number}", "role": "agent" if is_agent else "entry", "address": "127.0.0.1:9",
              "datagram_address": "127.0.0.1:9", "upstream": f"runner-{number}" if is_agent else "",
              "region": "sicily" if zone < 3 else f"region-{zone % 5}", "zone": "enna-a" if zone == 0 else f"zone-{zone}",
              "state": "live"}
        call(cluster.address("platform"), "PUT", "/vms/" + vm["name"], vm)


def measure_target():
    """One entry with the state of the target size: 6,700 customers and 5,130 VMs."""
    cluster = MeasuredCluster(sys.argv[1], 4, 1)
    cluster.wait_serving = cluster.wait_ready
    try:
        cluster.start()
        small = mean_resident(cluster, "entry")
        customers = {f"customer-{number}": cluster.customer_entry for number in range(6700)}
        customers["counter"] = cluster.customer_entry
        cluster.apply_section("customers", customers, cluster.section_version("customers"))
        register_target_fleet(cluster)
        cluster.kill("entry-1")
        start = time.monotonic()
        cluster.start_entry("entry-1")
        cluster.wait_ready("entry-1")
        ready = time.monotonic() - start
        time.sleep(20)
        window = Window(cluster)
        time.sleep(60)
        window.close()
        print(f"entry with small state {small:.1f} MiB; with 6,701 customers and 5,135 VMs "
              f"{mean_resident(cluster, 'entry'):.1f} MiB, ready after {ready:.2f} s, "
              f"{window.mean_processor('entry'):.3f}% of a core, {window.bytes_per_second:.0f} B/s on loopback, "
              f"{window.reads_per_second:.2f} store reads/s")
        sent = [line for line in call(cluster.address("entry-1"), "GET", "/metrics").body.decode().splitlines()
                if "datagram" in line]
        print("\n".join(sent))
    finally:
        cluster.stop()


if __name__ == "__main__":
    {"idle": measure_idle, "target": measure_target, "changes": measure_changes, "streams": measure_streams}[sys.argv[2]]()
