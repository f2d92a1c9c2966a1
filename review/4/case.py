"""The channels to the store go silent for good; meanwhile the entry of a runner is removed."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

from stand_ins import (CONTACT_MS, DRAIN_MS, Client, Gateway, Proxy, Runner, Store, free_port, manifest, route,
                       run_case, wait_until)

GATEWAYS = 2
RUNNERS = 3
WORK_S = 0.2
TIMEOUT_MS = 3000
SETTLE_S = 4  # Over the time after which undisturbed processes are in touch.
REMOVED_AFTER_S = 0.8  # From the moment at which the channels go silent.
SERVES_ON_S = DRAIN_MS / 1000 + 0.6  # The drain limit "and a little longer".
WATCHED_S = 4


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
    proxy = Proxy(store.address)
    ending.append(proxy)
    hosts = [f"127.0.1.{number}" for number in range(1, GATEWAYS + 1)]
    peer_port = free_port(hosts)
    gateways = []
    for number, host in enumerate(hosts, 1):
        gateways.append(Gateway(record, folder, f"front-{number}", host, peer_port, proxy, [f"{hosts[0]}:1"]))
        ending.append(gateways[-1])
    if not wait_until(lambda: all(gateway.is_ready() for gateway in gateways), 20):
        record.say("the gateways did not become ready")
        return 2

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
                sent_by[identifier] = (gateway.name, time.monotonic())
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
               for index, gateway in enumerate(gateways * 3, 1)]
    for thread in threads:
        thread.start()
    time.sleep(SETTLE_S)

    silent_at = time.monotonic()
    if trouble:
        proxy.silence()
        record.say("the open channels to the store have gone silent; new ones work")
    time.sleep(REMOVED_AFTER_S)
    leaving = runners[0]
    store.transact(removals=[("servers", leaving.identifier)])
    removed_at = time.monotonic()
    record.say(f"the store has removed {leaving.identifier}, {removed_at - silent_at:.2f} s later")
    time.sleep(SERVES_ON_S)
    leaving.stop()
    record.say(f"{leaving.identifier} has exited, {time.monotonic() - removed_at:.2f} s after its removal")
    time.sleep(WATCHED_S - SERVES_ON_S)
    calls_end.set()
    for thread in threads:
        thread.join(timeout=TIMEOUT_MS / 1000 + 1)

    # In touch again: the silence of channels counts as a reset of the channels of all machines.
    in_touch_at = silent_at + (CONTACT_MS / 1000 if trouble else 0)
    late = [(identifier, at) for at, identifier in leaving.arrivals
            if sent_by[identifier][1] > in_touch_at and at > removed_at + DRAIN_MS / 1000]
    for identifier, at in late:
        record.add(f"late: {identifier} sent by {sent_by[identifier][0]} reaches {leaving.identifier} "
                   f"{at - removed_at:.3f} s after its removal, {at - silent_at:.3f} s after the silence began")
    failed = [identifier for identifier, status in outcomes.items() if status not in (200, 429, 503)]
    record.say(f"{len(sent_by)} calls; {len(late)} reached the removed runner later than the drain limit, from "
               f"{', '.join(sorted({sent_by[identifier][0] for identifier, _ in late})) or 'no gateway'}")
    record.say(f"calls without an answer or a promise: {len(failed)}")
    return 1 if late else 0


sys.exit(run_case(HERE, play))
