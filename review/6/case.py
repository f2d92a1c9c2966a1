"""A runner runs a charge and fails it with 503, without the field that says that it did not run."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand_ins_2"))
from fleet import (BROKEN, HELD, TROUBLE, Gateway, Runner, Store, answer_head, ask, identifier_of, manifest, route,
                   run_case, seal_of)

CHARGES = 200
EVERY_S = 0.03
FAILING_SHARE = 0.4
FAILING_STATUS = int(os.environ.get("STATUS", "503"))
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Desk(Runner):
    """Runs each charge. While `grey`, it fails a share of them after it ran them."""

    ran = {}  # Attempt id to the status that the runner gave.
    charged = {}  # Charge to the number of times that it was made.
    lock = threading.Lock()
    grey = False
    served = 0

    def handle(self, channel, line, fields, body):
        identifier = identifier_of(fields)
        time.sleep(0.015)
        with Desk.lock:
            self.served += 1
            fails = self.grey and self.served % 5 < 5 * FAILING_SHARE
            status = FAILING_STATUS if fails else 200
            Desk.ran[identifier] = status
            charge = body.decode()
            Desk.charged[charge] = Desk.charged.get(charge, 0) + 1
        self.record.write("ran", id=identifier, runner=self.identifier, charge=charge, status=status)
        text = b"the ledger is away" if fails else b"charged"
        reason = "Service Unavailable" if fails else "OK"
        channel.connection.sendall(answer_head(identifier, status, reason, length=len(text)) + text)
        return True


def play(folder, record, gateways):
    store = Store()
    desks = [Desk(store, record, f"d{number}", "desk", capacity=6) for number in range(3)]
    store.put("op", "config", manifest(1, [route("charge", "unsafe", "desk", objective_ms=120, time_limit_ms=800,
                                                 priority=2, most_runners=1)]))
    gateway = Gateway(folder, record, "front-1", store)
    gateways.append(gateway)
    gateway.wait_ready()
    time.sleep(0.5)
    desks[0].grey = TROUBLE
    answers = {}

    def charge(number):
        # A client repeats an unsafe request once, and only after a status that promises that it has not run.
        for attempt in (1, 2):
            identifier = f"c{number}.{attempt}"
            record.write("sent", id=identifier, charge=number)
            answer = ask(gateway, "/charge/1", identifier, body=str(number).encode(), deadline_ms=800)
            status = answer.status if answer else "cut"
            answers[identifier] = status
            record.write("answered", id=identifier, status=status,
                         seal=seal_of(answer) if answer else "-")
            if status not in NOT_RUN_STATUSES:
                return

    threads = []
    for number in range(CHARGES):
        threads.append(threading.Thread(target=charge, args=(number,)))
        threads[-1].start()
        time.sleep(EVERY_S)
    for thread in threads:
        thread.join()
    if gateway.process.poll() is not None:
        raise RuntimeError("the gateway ended")

    refused_but_ran = [identifier for identifier, status in answers.items()
                       if status in NOT_RUN_STATUSES and identifier in Desk.ran]
    twice = [charged for charged, count in Desk.charged.items() if count > 1]
    summary = {"attempts": len(answers), "answered_200": sum(status == 200 for status in answers.values()),
               "failed_by_the_runner": sum(status != 200 for status in Desk.ran.values()),
               "told_not_run_but_ran": len(refused_but_ran), "charges_made_twice": len(twice)}
    record.write("summary", **summary)
    print(summary)
    return BROKEN if refused_but_ran else HELD


if __name__ == "__main__":
    run_case(FOLDER, play)
