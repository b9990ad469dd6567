"""The route of accepted jobs is removed, while a route with a shorter prefix of its path stays.

TROUBLE=0: the second version of the config keeps the route.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import loopback

CONFIG_APPLY_S = 2.0
VISIBLE_S = 3.0
CANCEL_S = 3.0
LONG, SHORT = "/lohu930/urgent/", "/lohu930/"
KEPT, CANCELLED = LONG + "00000000000000a1", LONG + "00000000000000a2"
JOB = {"spec": "x", "steps": [
    {"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 6000},
    {"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 6000, "depends_on": [0]},
    {"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 6000, "depends_on": [1]}]}


async def scenario(site):
    await site.start()
    if not await site.await_ready():
        raise RuntimeError("the nodes did not become ready")
    long, short = site.route("r-long", LONG), site.route("r-short", SHORT)
    if not await site.replace_config(site.config(5, [long, short])):
        raise RuntimeError("the config was not acknowledged")
    for path in (KEPT, CANCELLED):
        if not 200 <= await site.submit(path, JOB) < 300:
            raise RuntimeError("a job was not accepted")
    await asyncio.sleep(2)
    if not await site.replace_config(
            site.config(9, [short] if site.trouble else [long, short])):
        raise RuntimeError("the config was not acknowledged")
    await asyncio.sleep(max(CONFIG_APPLY_S, VISIBLE_S) + 0.5)
    broken = []

    # The executors are idle but for these jobs, and nothing is disturbed.
    answers = [(await site.state_of(KEPT, turn)) for turn in range(site.entries)]
    gone = sum(1 for status, _ in answers if status == 410)
    if gone:
        broken.append(f"LOST: {gone} of {site.entries} nodes answer 410 for an accepted job that "
                      "nobody has cancelled")
    status, _ = await site.request("DELETE", CANCELLED)
    at = loopback.steady()
    await asyncio.sleep(20)
    if 200 <= status < 300 or status == 410:
        late = [start for start in site.starts
                if start[2].startswith(CANCELLED.rsplit("/", 1)[1]) and start[0] > at + CANCEL_S]
        if late:
            broken.append(f"UNASKED: {len(late)} tasks were started up to {late[-1][0] - at:.1f} s "
                          f"after the cancelling was answered with {status}; {CANCEL_S:.0f} s is "
                          "the most")
    site.note("seen", answers=answers, delete=status, starts=len(site.starts),
              ends=[end[2:] for end in site.ends])
    return broken


if __name__ == "__main__":
    loopback.run("9", scenario, duration=6.0)
