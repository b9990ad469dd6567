"""A node that takes requests freezes with a job in hand; its requester gives up and cancels the job.

TROUBLE=0: the node does not freeze.
"""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import loopback

FREEZE_S = 3.5
CANCEL_S = 3.0
JOBS = 5
STEP = {"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 4000}
JOB = {"spec": "x", "steps": [STEP, {**STEP, "depends_on": [0]}, {**STEP, "depends_on": [1]}]}


async def scenario(site):
    await site.prepare()
    frozen = ("entry", 101)
    requester = loopback.Client()
    # The requester's channel to the node is open, as after an earlier request.
    await requester.call(site.front(0), "GET", "/lohu930/", headers={"Host": loopback.HOST})
    if site.trouble:
        site.kill(frozen, signal.SIGSTOP)
    thaw = loopback.steady() + FREEZE_S
    cancelled = {}  # job -> (status, time of the answer)

    async def hand_in_and_cancel(number):
        job = f"{0xA0 + number:016x}"
        path = "/lohu930/" + job
        status, _ = await site.request("POST", path, JOB, turn=0, timeout=3.0)
        for turn in range(1, 6):
            status, _ = await site.request("DELETE", path, turn=turn if turn % site.entries else 1)
            if 200 <= status < 300 or status == 410:
                cancelled[job] = (status, loopback.steady())
                return
            await asyncio.sleep(0.1)

    await asyncio.gather(*[hand_in_and_cancel(number) for number in range(JOBS)])
    await asyncio.sleep(max(thaw - loopback.steady(), 0))
    if site.trouble:
        site.kill(frozen, signal.SIGCONT)
    await asyncio.sleep(16)
    broken = []
    for job, (status, at) in cancelled.items():
        late = [start for start in site.starts
                if start[2].startswith(job) and start[0] > at + CANCEL_S]
        if late:
            broken.append(f"UNASKED: job {job}: {len(late)} tasks were started, up to "
                          f"{late[-1][0] - at:.1f} s after its cancelling was answered with "
                          f"{status}; {CANCEL_S:.0f} s is the most")
    site.note("seen", cancelled=[status for status, _ in cancelled.values()],
              starts=len(site.starts))
    return broken


if __name__ == "__main__":
    loopback.run("10", scenario, entries=6, duration=4.0)
