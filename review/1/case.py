"""The gateway that reads the store for the others is cut off from it; a runner leaves shortly before the cut ends."""

import json
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from stand_ins import (DRAIN_MS, Client, Gateway, Proxy, Runner, Store, free_port, manifest, route, run_case,
                       wait_until)

GATEWAYS = 9
RUNNERS = 4
WORK_S = 0.1
TIMEOUT_MS = 3000
SETTLE_S = 5
CUT_S = 5.5
REMOVED_BEFORE_END_S = 0.4
SERVES_ON_S = DRAIN_MS / 1000 + 0.5  # The drain limit "and a little longer".


def reader_of(gateways):
    """The gateway that reads for its group, by the last line that each has logged about its role."""
    for gateway in gateways:
        role = ""
        with open(gateway.log_path) as file:
            for line in file:
                if "role of reading" in line:
                    role = json.loads(line)["role"]
        if role == "reader":
            return gateway
    return None


def play(record, folder, ending, trouble):
    store = Store(record)
    ending.append(store)
    runners = []
    for number in range(RUNNERS):
        runners.append(Runner(record, store, f"i-{number:04x}", "desk", delay=WORK_S))
        ending.append(runners[-1])
        store.transact([runners[-1].entry()])
    store.transact([("op", "config", manifest(1, [route("booking", "unsafe", "desk", timeout_ms=TIMEOUT_MS,
                                                        objective_ms=500, attempts=1)], ["desk"]))])
    hosts = [f"127.0.1.{number}" for number in range(1, GATEWAYS + 1)]
    peer_port = free_port(hosts)
    gateways = []
    proxies = {}
    for number, host in enumerate(hosts, 1):
        proxy = Proxy(store.address)
        ending.append(proxy)
        gateways.append(Gateway(record, folder, f"front-{number}", host, peer_port, proxy,
                                [f"{seed}:1" for seed in hosts[:3]]))
        proxies[gateways[-1].name] = proxy
        ending.append(gateways[-1])
    if not wait_until(lambda: all(gateway.is_ready() for gateway in gateways), 20):
        record.say("the gateways did not become ready")
        return 2
    time.sleep(SETTLE_S)
    if not wait_until(lambda: reader_of(gateways) is not None, 10):
        record.say("no gateway reads for the others")
        return 2
    cut_off = reader_of(gateways)

    calls_end = threading.Event()
    sent_by = {}
    outcomes = {}

    def send_calls(index, gateway):
        client = None
        number = 0
        while not calls_end.is_set():
            number += 1
            identifier = f"{index:08x}{number:08x}"
            try:
                client = client or Client(gateway)
                sent_by[identifier] = gateway.name
                client.send("/booking/1", identifier, TIMEOUT_MS, method="POST", body=b"{}")
                answer = client.read()
            except OSError as error:
                record.add(f"client: {identifier} to {gateway.name}: {error}")
                client = None
                continue
            outcomes[identifier] = answer.status if answer.is_complete else 0
            record.add(f"client: {identifier} to {gateway.name}: {answer.status} {answer.ended}")
            if not answer.is_complete or answer.headers.get("connection") == "close":
                client.close()
                client = None

    threads = [threading.Thread(target=send_calls, args=(index, gateway), daemon=True)
               for index, gateway in enumerate(gateways, 1)]
    for thread in threads:
        thread.start()
    if trouble:
        proxies[cut_off.name].refuse()
        record.say(f"{cut_off.name}, which reads for the others, is cut off from the store")
    time.sleep(CUT_S - REMOVED_BEFORE_END_S)
    leaving = runners[0]
    store.transact(removals=[("servers", leaving.identifier)])
    removed_at = time.monotonic()
    record.say(f"the store has removed {leaving.identifier}")
    time.sleep(REMOVED_BEFORE_END_S)
    if trouble:
        proxies[cut_off.name].heal()
        record.say(f"{cut_off.name} reaches the store again")
    time.sleep(SERVES_ON_S - REMOVED_BEFORE_END_S)
    leaving.stop()
    record.say(f"{leaving.identifier} has exited, {time.monotonic() - removed_at:.2f} s after its removal")
    time.sleep(2)
    calls_end.set()
    for thread in threads:
        thread.join(timeout=TIMEOUT_MS / 1000 + 1)

    # Only calls through gateways that nothing has disturbed count.
    late = [(identifier, at) for at, identifier in leaving.arrivals
            if sent_by[identifier] != cut_off.name and at > removed_at + DRAIN_MS / 1000]
    for identifier, at in late:
        record.add(f"late: {identifier} sent by {sent_by[identifier]} reaches {leaving.identifier} "
                   f"{at - removed_at:.3f} s after its removal")
    failed = [identifier for identifier, status in outcomes.items()
              if status not in (200, 429, 503) and sent_by[identifier] != cut_off.name]
    record.say(f"{len(sent_by)} calls; {len(late)} reached the removed runner later than the drain limit, from "
               f"{', '.join(sorted({sent_by[identifier] for identifier, _ in late})) or 'no gateway'}")
    record.say(f"calls through undisturbed gateways without an answer or a promise: {len(failed)}")
    return 1 if late else 0


sys.exit(run_case(HERE, play))
