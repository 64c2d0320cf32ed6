"""An entry's machine freezes, its clients' connections are reset, and workers carry many
orders out late."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import harness  # noqa: E402
from harness import RETRANSMIT_S, TROUBLE  # noqa: E402

# The same is played with three jobs, one after the other.
JOBS = ["91b7d04a3c5e62f8", "a0c15d7e48b3f926", "b3f86e21d90a5c47"]
WORKERS = 11
TASKS = 352
WORK_MS = 4_000
STEPS = [{"count": TASKS, "cpu": 250, "mem-mb": 64, "estimate-ms": WORK_MS}]
PATIENCE_S = 12.0
FROZEN_AFTER_S = 0.5
FROZEN_FOR_S = 2.0
RESET_AFTER_S = FROZEN_AFTER_S + 0.01
# This share of the calls to workers gets no answer and is carried out 2 to 12 s later.
LATE_SHARE = 0.6
LATE_BY_S = (2.0, 12.0)
LATE_FROM_S = FROZEN_AFTER_S - 0.1
LATE_FOR_S = 3.0


async def trouble(world, begin):
    async def at(after):
        await asyncio.sleep(begin + after - world.now())

    await at(LATE_FROM_S)
    for worker in world.workers:
        worker.late = {path: LATE_SHARE for path in ("/-/run-start", "/-/run-stop", "/-/hold")}
        worker.late_by_s = LATE_BY_S
    world.log("script", f"workers carry {LATE_SHARE} of their orders out late")
    await at(FROZEN_AFTER_S)
    world.fronts[0].signal(signal.SIGSTOP)
    await at(FROZEN_AFTER_S + FROZEN_FOR_S)
    world.fronts[0].signal(signal.SIGCONT)
    await at(LATE_FROM_S + LATE_FOR_S)
    for worker in world.workers:
        worker.late = {}
    world.log("script", "workers carry all orders out at once")


async def play_job(world, job):
    await world.await_ready(0)
    begin = world.now()
    disruption = asyncio.create_task(trouble(world, begin)) if TROUBLE else None
    status = await world.post(0, "/q/", job, STEPS, WORK_MS, PATIENCE_S,
                              reset_after=RESET_AFTER_S if TROUBLE else None)
    if status is None or status in (502, 504):
        await asyncio.sleep(RETRANSMIT_S)
        left = PATIENCE_S - (world.now() - begin)
        await world.post(1, "/q/", job, STEPS, WORK_MS, left)
    if disruption is not None:
        await disruption
    started = {run.task for run in world.all_runs() if run.task.startswith(job)}
    if len(started) < TASKS:
        raise harness.CannotRun(f"only {len(started)} of {TASKS} tasks of {job} have started")


async def case(world):
    services = ["banca"] * WORKERS
    await world.start(2, services, harness.config(1, [("/q/", "banca")]), cpu=16000)
    for job in JOBS:
        await play_job(world, job)
        await asyncio.sleep(2.0)
    return [f"TWICE: {a} and {b}: {overlap * 1000:.0f} ms at the same time"
            for a, b, overlap in world.overlaps()]


harness.play(__file__, case)
