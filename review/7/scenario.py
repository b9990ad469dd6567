"""One job with a wide gang is accepted, beside ordinary small jobs.

TROUBLE=0: the same job with the same number of tasks, which need not run together.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import loopback

GANG_TASKS = 10_000
WIDE_ID = "00000000000a0001"
FINISH_S = 14
IDLE_S = 3
ANSWER_S = 15  # time for the answer about one job, asked again at every node


async def scenario(site):
    await site.prepare()
    accepted = []
    await site.small_jobs(accepted, 1, 25, 0.2)
    step = {"count": GANG_TASKS, "cpu": 1, "mem_mb": 1, "estimate_ms": 2000}
    if site.trouble:
        step["gang"] = True
    wide = "/lohu930/" + WIDE_ID
    status = await site.submit(wide, {"spec": "x", "steps": [step]})
    if not 200 <= status < 300:
        return []  # refused, which is allowed
    accepted.append(wide)
    await site.small_jobs(accepted, 100, 60, 0.2)
    idle = await site.longest_idle(WIDE_ID, FINISH_S)
    states = await asyncio.gather(*[site.ask(path, ANSWER_S) for path in accepted])
    broken = []
    silent, unknown = states.count(None), states.count("unknown")
    wide_state = states[accepted.index(wide)]
    if silent:
        broken.append(f"LOST: {silent} of {len(accepted)} accepted jobs got no answer in "
                      f"{ANSWER_S} s, {FINISH_S} s after the end of the traffic")
    if unknown:
        broken.append(f"LOST: {unknown} accepted jobs are not known")
    if idle > IDLE_S and wide_state not in ("done", "failed", "cancelled"):
        broken.append(f"LOST: the wide job ({wide_state}) had nothing running for {idle:.1f} s; "
                      f"its {GANG_TASKS} tasks fit more than twice into the idle executors")
    begun = sum(1 for start in site.starts if start[2].startswith(WIDE_ID))
    site.note("seen", accepted=len(accepted), refused=86 - len(accepted), silent=silent,
              unknown=unknown, done=states.count("done"), wide=wide_state, wide_starts=begun,
              wide_idle=round(idle, 1), elections=len(site.logs("journal.leading")))
    return broken


if __name__ == "__main__":
    loopback.run("7", scenario, executors=8, duration=2.0)
