"""Prompts that crash runners come rarely: one in 17 seconds."""

import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins_3"))
import asyncio

from users_platform import CONTACT_S, main

FATAL = "feed"  # The part that crashes each runner which begins to write on it.
PAUSE_S = 17    # Between two such prompts.
COUNT = 6


async def play(deployment):
    record = deployment.record
    runners = [deployment.add(f"assist-{number}", "assist", work_s=0.07, events=8, gap_s=0.12, down_s=3.0,
                              fatal_part=FATAL) for number in range(6)]
    await deployment.start(gateways=2)
    length = 4 + PAUSE_S * (COUNT - 1) + 5
    sound = [asyncio.create_task(deployment.send_at(10, length, "sound-", "reply", limit_ms=10000, tokens=12000)),
             asyncio.create_task(deployment.send_at(10, length, "draft-", "draft", limit_ms=10000, tokens=12000))]
    await asyncio.sleep(4)
    # Without the disruption the same prompts come one after the other.
    pause = PAUSE_S if deployment.trouble else 2
    await deployment.send_at(1 / pause, pause * (COUNT - 0.5), "fatal-", "reply", limit_ms=10000, tokens=12000,
                             fatal_part=FATAL)
    await asyncio.gather(*sound)
    await deployment.finish()

    crashes = deployment.crashes()
    record(f"crashes of runners at {[round(at, 1) for at in crashes]}")
    if len(crashes) < 5:
        return True
    since = crashes[4] + CONTACT_S
    late = [name for _, name, _ in deployment.arrivals()
            if name.startswith("fatal-") and deployment.sent_at[name] > since]
    lost = [name for runner in runners for name in runner.cut if not name.startswith("fatal-")
            and deployment.sent_at[name] > since and not deployment.answers[name].is_served()]
    record(f"fatal requests that reach runners, sent later than {since:.1f} s: {len(late)}; the rule allows 3")
    record(f"sound requests sent later than that and lost in a crash: {len(lost)}")
    return len(late) <= 3


main(__file__, play)
