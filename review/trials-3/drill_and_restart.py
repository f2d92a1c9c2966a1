"""A gateway is restarted while the store comes back from an older copy, and its operator writes later."""

import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins_3"))
import asyncio

from users_platform import CONTACT_S, configuration, main

WRITTEN_AGAIN_S = float(os.environ.get("WRITTEN_AGAIN_S", "8"))


async def play(deployment):
    record, store = deployment.record, deployment.store
    for number in range(3):
        deployment.add(f"prestiti-{number}", "prestiti")
    await deployment.start(gateways=2)
    await asyncio.sleep(2)
    older = store.copy()
    await asyncio.sleep(1)
    await store.put("op", "config", configuration(2, first_key=9))
    record("the store acknowledges a manifest without key-1")
    await asyncio.sleep(3)
    store.end()
    record("the store is away")
    if deployment.trouble:
        deployment.gateways[1].kill()
    await asyncio.sleep(1)
    store.come_back(older)
    await store.listen()
    back = record.now()
    record("the store is back from a copy that is older than that manifest")
    if deployment.trouble:
        deployment.gateways[1].start()
    number = 0
    while record.now() < back + WRITTEN_AGAIN_S:
        number += 1
        for gateway in range(2):
            await deployment.send(f"booking-{number}-{gateway}", "booking", gateway=gateway)
        await asyncio.sleep(0.2)
    await store.put("op", "config", configuration(2, first_key=9))
    record("the operator has written the manifest again")
    await asyncio.sleep(2.5)
    late = [name for name, answer in deployment.answers.items()
            if answer.status == 200 and deployment.sent_at[name] > back + CONTACT_S + 0.2]
    record(f"requests with key-1 that ran, sent by a machine in touch: {len(late)}")
    return not late


main(__file__, play)
