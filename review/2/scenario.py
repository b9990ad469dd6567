"""A route is removed and, with a later version, added again under a new name. See claim.txt."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import cell as cells  # noqa: E402

HOST, PREFIX = "queue.example", "/jobs/"
VISIBLE_S = 3.0  # visible_ms
APPLY_S = 2.0  # config_apply_ms
FINISH_S = 14.0  # finish_s
OTHER = ("other", "other.example", "/other/", "svc", 2)


def document(version, names):
    routes = [(name, HOST, PREFIX, "svc", 1) for name in names]
    return cells.config(version, routes + [OTHER], hinted=names)


async def scenario(cell, trouble):
    await cell.ticket_office.start()
    cell.needs_ticket = lambda task: True
    await cell.start(document(1, ["queue-1"]))
    for n in range(4):
        await cell.add_executor("i-%d" % n, ["a", "r0"])
    await asyncio.sleep(2)
    steps = [{"count": 2, "cpu": 4000, "mem_mb": 1000, "estimate_ms": 8000},
             {"count": 2, "cpu": 4000, "mem_mb": 1000, "estimate_ms": 8000, "depends_on": [0]}]
    jobs = [await cell.submit(HOST, PREFIX, steps, 8000) for _ in range(5)]
    jobs = [job for job in jobs if job]
    await asyncio.sleep(VISIBLE_S)
    if trouble:
        for change in (document(5, []), document(9, ["queue-2"])):
            if not await cell.install(change):
                raise cells.CannotRun("a change was not acknowledged")
            await asyncio.sleep(APPLY_S + 1)
    broken = []
    for job in jobs:
        status, _ = await cell.call("GET", HOST, PREFIX + job)
        if status == 410:
            broken.append("LOST: job %s was accepted, nobody cancelled it, its GET is answered 410"
                          % job)
    await asyncio.sleep(16 + FINISH_S)
    for job in jobs:
        status, answer = await cell.call("GET", HOST, PREFIX + job)
        if status != 200:
            broken.append("LOST: at the end job %s is answered %s" % (job, status))
        second = [start for start in cell.starts if start["task"].startswith(job + ".0.1.")]
        first = [end["t"] for end in cell.ends
                 if end["task"].startswith(job + ".0.0.") and end["how"] == "done"]
        if len(first) == 2 and not second:
            broken.append("LOST: nothing of job %s has run for %.0f s, though the turn of its second "
                          "step has come and all executors are free"
                          % (job, time.monotonic() - max(first)))
    return broken


if __name__ == "__main__":
    sys.exit(cells.run(FOLDER, scenario, cores=3, entries=1))
