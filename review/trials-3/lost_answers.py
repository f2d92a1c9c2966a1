"""Answers of runners are lost for some seconds while prompts come that crash runners."""

import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins_3"))
import asyncio

from users_platform import CONTACT_S, main

FATAL = "feed"  # The part that crashes each runner which begins to write on it.
# The largest dose of `answer_lost` (reset) in the site file.
LOST_RUNNERS, LOST_ANSWERS, LOST_S = 0.6, 0.4, 4.0


async def play(deployment):
    record, random = deployment.record, deployment.random
    runners = [deployment.add(f"assist-{number}", "assist", work_s=0.16, events=8, gap_s=0.12, down_s=3.0,
                              fatal_part=FATAL) for number in range(16)]
    await deployment.start(gateways=2)
    length = 34
    sound = [asyncio.create_task(deployment.send_at(50, length, "sound-", "reply", limit_ms=10000, tokens=24000)),
             asyncio.create_task(deployment.send_at(15, length, "draft-", "draft", limit_ms=10000, tokens=24000))]
    await asyncio.sleep(5)
    record("prompts with the part that crashes runners begin")
    fatal = asyncio.create_task(
        deployment.send_at(0.5, length - 5, "fatal-", "draft", limit_ms=10000, tokens=12000, fatal_part=FATAL))
    await asyncio.sleep(0.5)
    if deployment.trouble:
        for runner in random.sample(runners, round(LOST_RUNNERS * len(runners))):
            record(f"answers of {runner.name} are lost")
            runner.loses = lambda name: not name.startswith("fatal-") and random.random() < LOST_ANSWERS
        await asyncio.sleep(LOST_S)
        for runner in runners:
            runner.loses = lambda name: False
        record("no more answers are lost")
    await asyncio.gather(*sound, fatal)
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
