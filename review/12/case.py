"""Another writer leaves entries among those of the runners, and all gateways are killed at once."""

import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins_3"))
import asyncio

from users_platform import configuration, main

RECOVERY_S = 12.0  # recoveryS
DOWN_S = 1.0       # down_s of `kill_all`
ENTRIES = 20
ENTRY_BYTES = 60_000  # At most `rowBytes`, which is 65,536.


async def play(deployment):
    record = deployment.record
    for number in range(3):
        deployment.add(f"prestiti-{number}", "prestiti")
    await deployment.start(gateways=2)
    traffic = asyncio.create_task(deployment.send_at(20, 35, "booking-", "booking", limit_ms=1500))
    await asyncio.sleep(3)
    if deployment.trouble:
        for number in range(ENTRIES):
            await deployment.store.write("servers", f"copy%20{number:02d}", b"\xff" * ENTRY_BYTES)
        record(f"another writer has left {ENTRIES} entries that can't be read")
    await asyncio.sleep(4)
    before_fault = record.now()
    await deployment.store.put("op", "config", configuration(2))
    record("the store acknowledges a manifest, and all processes are killed")
    for gateway in deployment.gateways:
        gateway.kill()
    await asyncio.sleep(DOWN_S)
    for gateway in deployment.gateways:
        gateway.start()
    back = record.now()
    watches = [asyncio.create_task(gateway.watch()) for gateway in deployment.gateways]
    await traffic
    end = record.now()
    for watch in watches:
        watch.cancel()
    await deployment.finish()

    sent_before, served_before = deployment.served("booking-", 0, before_fault)
    sent_after, served_after = deployment.served("booking-", back + RECOVERY_S, end)
    record(f"bookings before the fault: {sent_before} sent, {served_before} served")
    record(f"bookings later than {RECOVERY_S} s after the machines are back: {sent_after} sent, {served_after} served")
    record(f"ends of gateways by their memory: {sum(gateway.memory_kills for gateway in deployment.gateways)}")
    if sent_before == 0 or 4 * served_before < sent_before or sent_after == 0:
        raise RuntimeError("the deployment did not serve before the fault")
    return 4 * served_after >= sent_after


main(__file__, play)
