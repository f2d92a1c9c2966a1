"""A runner hangs while its health is good, and the memory that was set aside elsewhere for its request stays unused."""

import json
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand_ins_2"))
from fleet import (BROKEN, HELD, TROUBLE, Gateway, Runner, Store, answer_head, ask, chunk, generation, helpers_of,
                   identifier_of, manifest, order_of, route, run_case)

IDLE_MAX_S = 9.0
HANG_S = 6.5
PROMPT_TOKENS = 190_000  # With its answer more than the memory of one runner that the gateway counts on.
TIME_LIMIT_MS = 15_000


class Ticket:
    def __init__(self, now, hold_s):
        self.since = now
        self.until = now + hold_s
        self.idle_s = 0.0  # Longest stretch without a use that has ended.


class Engine(Runner):
    hanging = None  # The runner that hangs, one of ten, from its first request on.
    hanging_until = 0.0
    tickets = {}  # By address and id; of all engines.
    lock = threading.Lock()
    longest_idle_s = 0.0
    idle_tickets = []

    def take(self, channel, line, fields):
        if line.startswith("POST /order"):
            self.obey(order_of(json.loads(channel.read_body(fields))))
            answer = b'{"freeSlots":1000}'
            channel.connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                                       % (len(answer), answer))
            return True
        return super().take(channel, line, fields)

    def obey(self, order):
        key = (self.address, order["id"])
        now = self.record.now()
        with Engine.lock:
            ticket = Engine.tickets.get(key)
            if ticket is not None and now > ticket.until:
                self.close(key, ticket, ticket.until)
                ticket = None
            if order["op"] == "release" and ticket is not None:
                self.close(key, ticket, now)
            elif order["op"] == "reserve" and ticket is None:
                Engine.tickets[key] = Ticket(now, order["hold_s"])
            elif order["op"] == "reserve":
                ticket.until = now + order["hold_s"]
        self.record.write("order", op=order["op"], runner=self.identifier, ticket=order["id"], tokens=order["tokens"])

    @staticmethod
    def close(key, ticket, end):
        idle = end - ticket.since
        Engine.longest_idle_s = max(Engine.longest_idle_s, idle)
        if idle >= IDLE_MAX_S:
            Engine.idle_tickets.append(key[1])
        Engine.tickets.pop(key, None)

    def handle(self, channel, line, fields, body):
        identifier = identifier_of(fields)
        helpers = helpers_of(fields)
        self.record.write("arrived", id=identifier, runner=self.identifier, helpers=len(helpers))
        if TROUBLE and Engine.hanging is None:
            Engine.hanging = self
            Engine.hanging_until = time.monotonic() + HANG_S
        if self is Engine.hanging and time.monotonic() < Engine.hanging_until:
            self.record.write("hangs", id=identifier, runner=self.identifier)
            # A request that was taken while the runner hangs is never answered; a close of the channel ends it.
            while channel.connection.recv(65536):
                pass
            return False
        now = self.record.now()
        with Engine.lock:
            for helper in helpers:
                ticket = Engine.tickets.get(helper)
                if ticket is not None:
                    Engine.longest_idle_s = max(Engine.longest_idle_s, now - ticket.since)
                    ticket.since = now
        channel.connection.sendall(answer_head(identifier, fields=[("Transfer-Encoding", "chunked")]) + b"\r\n")
        for number in range(1, 6):
            channel.connection.sendall(chunk(b"id: %d\ndata: x\n\n" % number))
            time.sleep(0.05)
        channel.connection.sendall(b"0\r\n\r\n")
        with Engine.lock:
            for helper in helpers:
                if helper in Engine.tickets:
                    Engine.tickets[helper].since = self.record.now()
        self.record.write("ran", id=identifier, runner=self.identifier)
        return True


def play(folder, record, gateways):
    store = Store()
    engines = [Engine(store, record, f"e{number}", "engines") for number in range(10)]
    store.put("op", "config", manifest(1, [route("review", "streaming", "engines", objective_ms=6000,
                                                 time_limit_ms=TIME_LIMIT_MS)]))
    gateway = Gateway(folder, record, "front-1", store)
    gateways.append(gateway)
    gateway.wait_ready()
    time.sleep(0.5)
    statuses = []

    def send(number):
        identifier = f"review{number}"
        fields = generation(PROMPT_TOKENS, 2000, [("5c1e07a2", 40), (f"{number:08x}", PROMPT_TOKENS - 40)])
        record.write("sent", id=identifier)
        begin = record.now()
        answer = ask(gateway, "/review/1", identifier, body=b"prompt", fields=fields, deadline_ms=TIME_LIMIT_MS)
        statuses.append(answer.status if answer else "cut")
        record.write("answered", id=identifier, status=statuses[-1], after_s=f"{record.now() - begin:.2f}")

    threads = [threading.Thread(target=send, args=(number,)) for number in range(4)]
    for thread in threads:
        thread.start()
        time.sleep(1)
    for thread in threads:
        thread.join()
    time.sleep(4)
    with Engine.lock:
        for key, ticket in list(Engine.tickets.items()):
            Engine.close(key, ticket, min(ticket.until, record.now()))
    if gateway.process.poll() is not None:
        raise RuntimeError("the gateway ended")
    summary = {"answers": statuses, "longest_unused_s": round(Engine.longest_idle_s, 2),
               "tickets_unused_too_long": len(Engine.idle_tickets)}
    record.write("summary", **summary)
    print(summary)
    return BROKEN if Engine.idle_tickets else HELD


if __name__ == "__main__":
    run_case(FOLDER, play)
