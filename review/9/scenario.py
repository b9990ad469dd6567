"""One job with 50,000 tasks that are all due at once, beside ordinary small jobs.

TROUBLE=0: the same tasks in 50 jobs.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import loopback

TIMES = 50_000
JOBS = 50  # with TROUBLE=0
TRAFFIC_S = 45
FINISH_S = 14
IDLE_S = 3
ANSWER_S = 15  # time for the answer about one job, asked again at every node


async def scenario(site):
    await site.prepare()
    accepted = []
    await site.small_jobs(accepted, 1, 20, 0.2)
    count = 1 if site.trouble else JOBS
    timed = []
    for k in range(count):
        path = f"/lohu930/{0xA0000 + k:016x}"
        job = {"spec": "x", "repeat_count": TIMES // count, "start_at_ms": int(time.time() * 1000),
               "steps": [{"count": 1, "cpu": 100, "mem_mb": 1, "estimate_ms": 8000}]}
        if 200 <= await site.submit(path, job) < 300:
            timed.append(path)
    if not timed:
        return []  # refused, which is allowed
    accepted += timed
    sent, began = 0, loopback.steady()
    while loopback.steady() < began + TRAFFIC_S:
        await site.small_jobs(accepted, 1000 + sent, 1, 0.5)
        sent += 1
    idle = await site.longest_idle("00000000000a0000", FINISH_S)
    states = await asyncio.gather(*[site.ask(path, ANSWER_S) for path in accepted])
    broken = []
    silent, unknown = states.count(None), states.count("unknown")
    if silent:
        broken.append(f"LOST: {silent} of {len(accepted)} accepted jobs got no answer in "
                      f"{ANSWER_S} s, {FINISH_S} s after the end of the traffic")
    if unknown:
        broken.append(f"LOST: {unknown} accepted jobs are not known")
    if site.trouble:
        state = states[accepted.index(timed[0])]
        if idle > IDLE_S and state not in ("done", "failed", "cancelled"):
            broken.append(f"LOST: the timed job ({state}) had nothing running for {idle:.1f} s, and "
                          f"{TIMES - sum(end[4] == 'done' for end in site.ends)} tasks to run; "
                          "they fit more than twice into the idle executors")
    site.note("seen", idle=round(idle, 1), accepted=len(accepted), silent=silent, unknown=unknown,
              done=states.count("done"), starts=len(site.starts),
              elections=len(site.logs("journal.leading")),
              last_start=round(site.starts[-1][0] - site.began, 1))
    return broken


if __name__ == "__main__":
    loopback.run("9", scenario, executors=16, duration=8.0)
