"""Executors crash and come back under their ids with another kind, while work for the first kind
waits and one follower is frozen. See claim.txt."""

import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import cell as cells  # noqa: E402

HOST, PREFIX = "queue.example", "/jobs/"
EXECUTORS = 20
CRASHED = 3  # of EXECUTORS at once: 0.15
DOWN_S = 1.5
FROZEN_S = 6.0
ROUNDS = 4
KNOWN_S = 0.05
# Without it, the first heartbeat leaves as soon as the executor listens.
LATE_S = float(os.environ.get("LATE_S", 0))


async def feed(cell, seconds):
    """Jobs that ask for kind "a", somewhat more than there is room for."""
    loop = asyncio.get_event_loop()
    end = loop.time() + seconds
    calls = []
    while loop.time() < end:
        step = {"count": 8, "cpu": 32000, "mem_mb": 1000, "estimate_ms": 700, "constraints": "a"}
        calls.append(asyncio.ensure_future(
            cell.submit(HOST, PREFIX, [step], 700, spec={"cpu": 32000})))
        await asyncio.sleep(0.15)
    await asyncio.gather(*calls)


async def crash_and_return(executor):
    executor.crash()
    await asyncio.sleep(DOWN_S)
    executor.labels = ["b", executor.labels[1]]
    executor.first_heartbeat_after = random.uniform(0, LATE_S)
    await executor.start()


async def scenario(cell, trouble):
    await cell.start(cells.config(1, [("queue", HOST, PREFIX, "svc", 1)]))
    for n in range(EXECUTORS):
        await cell.add_executor("i-%02d" % n, ["a", "r%d" % (n // 8)])
    await asyncio.sleep(2)
    feeding = asyncio.ensure_future(feed(cell, 10 * ROUNDS + 4))
    await asyncio.sleep(3)
    for n in range(ROUNDS):
        if trouble:
            leader = await cell.leader()
            follower = next(core for core in cell.cores if core != leader)
            if LATE_S == 0:
                cell.signal_daemon(follower, signal.SIGSTOP)
            names = ["i-%02d" % (CRASHED * n + i) for i in range(CRASHED)]
            await asyncio.gather(*[crash_and_return(cell.executors[name]) for name in names])
            await asyncio.sleep(FROZEN_S - DOWN_S)
            if LATE_S == 0:
                cell.signal_daemon(follower, signal.SIGCONT)
            await asyncio.sleep(4)
        else:
            await asyncio.sleep(10)
    await feeding
    # Orders that were on their way when the new lifetime first showed itself are not counted.
    wrong = [s for s in cell.starts if "a" not in s["labels"]
             and s["listed_at"] is not None and s["t"] - s["listed_at"] > KNOWN_S]
    cell.record("starts", len(cell.starts), "on executors without the label", len(wrong))
    return ["ROUTE: %(task)s run %(run)s asks for label a and started on %(executor)s, whose "
            "labels are %(labels)s" % start for start in wrong]


if __name__ == "__main__":
    sys.exit(cells.run(FOLDER, scenario, cores=3, entries=1))
