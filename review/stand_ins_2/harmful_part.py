"""A part of a prompt crashes each runner that begins to write on it. Played by case 9."""

import random
import threading
import time

from fleet import (BROKEN, HELD, TROUBLE, Gateway, Runner, Store, answer_head, ask, chunk, free_port, generation,
                   identifier_of, manifest, parts_of, route)

RUNNERS = 10
DOWN_S = 3.0  # A crashed runner is back after some seconds.
LENGTH_S = 40
CONTACT_S = 4.0  # contactMs
HARMFUL_PART = "bad0bad0"
HARMFUL_EVERY_S = 1.0
SOUND_EVERY_S = 0.06


class Engine(Runner):
    """Streams six events. Crashes when it begins to write on the harmful part."""

    chunked = True
    arrivals = []  # Of requests with the harmful part, at any engine: time, id.
    crashes = []
    began = {}  # Sound requests that began to run: id to time.
    lives = 0

    def handle(self, channel, line, fields, body):
        identifier = identifier_of(fields)
        harmful = HARMFUL_PART in parts_of(fields)
        if harmful:
            Engine.arrivals.append((self.record.now(), identifier))
            self.record.write("arrived", id=identifier, runner=self.identifier, part=HARMFUL_PART)
        time.sleep(0.03)  # Reads the prompt.
        if harmful and TROUBLE:
            Engine.crashes.append(self.record.now())
            self.record.write("crashed", runner=self.identifier, number=len(Engine.crashes))
            threading.Thread(target=self.restart, daemon=True).start()
            return False
        if not harmful:
            Engine.began.setdefault(identifier, self.record.now())
        start = int(fields.get("last-event-id", 0))
        framing = ("Transfer-Encoding", "chunked") if self.chunked else ("Connection", "close")
        head = answer_head(identifier, fields=[("Content-Type", "text/event-stream"), framing])
        channel.connection.sendall(head + b"\r\n")
        for number in range(start + 1, 7):
            event = f"id: {number}\ndata: {identifier}\n\n".encode()
            channel.connection.sendall(chunk(event) if self.chunked else event)
            time.sleep(0.04)
        if self.chunked:
            channel.connection.sendall(b"0\r\n\r\n")
        return self.chunked

    def restart(self):
        before = self.identifier
        self.crash()
        time.sleep(DOWN_S)
        self.store.remove("servers", before)
        Engine.lives += 1
        self.identifier = f"{before.split('.')[0]}.{Engine.lives}"
        self.born = int(time.time() * 1000)
        self.open()
        self.register("ready")
        self.record.write("back", runner=self.identifier)


def play(folder, record, gateways, chunked=True, earlier_parts=1):
    """`chunked`: answers are sent in chunks, else they end with their channel. `earlier_parts`: shared parts that stand
    before the part that differs between harmful and sound prompts."""
    Engine.chunked = chunked
    earlier = [(f"5c1e{number:04x}", 40) for number in range(earlier_parts)]
    store = Store()
    engines = [Engine(store, record, f"e{number}", "engines") for number in range(RUNNERS)]
    store.put("op", "config", manifest(1, [route("draft", "streaming", "engines")]))
    peer_port = free_port()
    for number in (1, 2):
        gateways.append(Gateway(folder, record, f"front-{number}", store, host=f"127.0.0.{number}", peer_port=peer_port,
                                seeds=["127.0.0.1:1", "127.0.0.2:1"]))
    for gateway in gateways:
        gateway.wait_ready()
    time.sleep(1)
    begin = record.now()
    outcomes = {}

    def send(number, harmful):
        kind = "harmful" if harmful else "sound"
        identifier = f"{kind}-{number}"
        # Sound requests share the caller and the other parts.
        own = (f"{random.getrandbits(32):08x}", 900)
        differing = (HARMFUL_PART if harmful else f"{number % 4:08x}", 60)
        fields = generation(1000 + 40 * earlier_parts, 100, [*earlier, differing, own])
        record.write("sent", id=identifier)
        answer = ask(gateways[number % 2], "/draft/1", identifier, body=b"prompt", fields=fields)
        whole = answer is not None and answer.status == 200 and answer.body.endswith(b"id: 6\ndata: %s\n\n"
                                                                                      % identifier.encode())
        outcomes[identifier] = (record.now(), whole)
        record.write("answered", id=identifier, status=answer.status if answer else "cut", whole=whole)

    def send_all(every, harmful):
        number = 0
        while record.now() < begin + LENGTH_S:
            threading.Thread(target=send, args=(number, harmful), daemon=True).start()
            number += 1
            time.sleep(every)

    sound = threading.Thread(target=send_all, args=(SOUND_EVERY_S, False))
    sound.start()
    time.sleep(5)
    harmful = threading.Thread(target=send_all, args=(HARMFUL_EVERY_S, True))
    harmful.start()
    sound.join()
    harmful.join()
    time.sleep(6)
    for gateway in gateways:
        if gateway.process.poll() is not None:
            raise RuntimeError("a gateway ended")

    if len(Engine.crashes) >= 5:
        bound = Engine.crashes[4] + CONTACT_S
        late = [identifier for at, identifier in list(Engine.arrivals) if at > bound]
    else:
        bound, late = None, []
    sounds = [identifier for identifier in outcomes if identifier.startswith("sound")]
    summary = {"crashes": len(Engine.crashes), "fifth_crash_and_contact_at": bound,
               "harmful_requests_that_reached_runners_later": len(late), "sound_sent": len(sounds),
               "sound_begun": len(Engine.began), "sound_whole": sum(outcomes[identifier][1] for identifier in sounds)}
    record.write("summary", **summary)
    print(summary)
    return BROKEN if len(late) > 3 else HELD
