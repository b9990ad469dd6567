"""A worker that leaves is cut off, with connections to it refused, while its tasks run on."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-3"))

from deployment import CannotRun, Relay, Worker, new_job, now, run_case  # noqa: E402

WORKERS = 16  # one of them leaves and is cut off: less than 0.065 of them
TASK_MS = 20_000
AFTER_FAREWELL_S = 3.0  # how long the worker goes on without an acknowledgement


async def scenario(deployment, trouble):
    record = deployment.record
    at_work = {}
    overlaps = []

    def on_start(worker, task, run):
        others = [(other, number) for other, number in at_work.get(task, []) if other.is_up]
        if others:
            overlaps.append(f"{task}: run {run} began on {worker.id} at {now():.3f} s while run "
                            f"{others[0][1]} was at work on {others[0][0].id}")
            record.add("overlap", task=task, run=run, worker=worker.id, other=others[0][0].id)
        at_work.setdefault(task, []).append((worker, run))

    def on_end(worker, task, run, _how):
        at_work[task].remove((worker, run))

    deployment.on_start = on_start
    deployment.on_end = on_end
    await deployment.configure([deployment.route()])
    leaving = Worker(deployment, 0, via_relay=True)
    deployment.workers.append(leaving)
    await leaving.start()
    job = new_job()
    await asyncio.sleep(2)
    await deployment.submit(
        job, {"ms": TASK_MS},
        [{"count": 4, "cpu": 1000, "mem_mb": 256, "estimate_ms": TASK_MS}])
    for _ in range(100):
        if len(leaving.running) == 4:
            break
        await asyncio.sleep(0.1)
    else:
        raise CannotRun("the tasks did not start")
    for number in range(1, WORKERS):
        staying = Worker(deployment, number)
        deployment.workers.append(staying)
        await staying.start()
    await asyncio.sleep(3)

    # The worker drains, and goes on serving for longer than drain_ms after the acknowledgement.
    leaving.state = "draining"
    while not await leaving.tell("Instances.Heartbeat", {**leaving.describe(),
                                                         "remaining_ms": 2000}):
        await asyncio.sleep(0.1)
    record.add("draining.acknowledged", worker=leaving.id)
    await asyncio.sleep(3)

    # It says that it leaves. With the trouble it is cut off in that moment: the call still gets
    # through, its answer does not, and connections to the worker are refused.
    leaving.tasks[0].cancel()  # no more heartbeats
    if trouble:
        to = leaving.heartbeat_address or (deployment.core_ips[0], deployment.ports["control"])
        uplink = Relay((leaving.ip, deployment.ports["uplink"]), to)
        uplink.drops_answers = True
        await uplink.open()
        leaving.control = uplink.listen
        leaving.relay.refuse()
        record.add("cut", worker=leaving.id)
    acknowledged = await leaving.tell("Instances.Deregister", {"born": leaving.born})
    record.add("farewell", worker=leaving.id, acknowledged=acknowledged)
    if not acknowledged:
        await asyncio.sleep(AFTER_FAREWELL_S)
    leaving.end()
    for task in at_work:
        at_work[task] = [entry for entry in at_work[task] if entry[0] is not leaving]
    await asyncio.sleep(2)
    return "TWICE: " + overlaps[0] if overlaps else None


run_case(HERE, scenario)
