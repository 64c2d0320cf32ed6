"""A client's connection breaks three times. The third time, workers carry orders out late."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import harness  # noqa: E402
from harness import RETRANSMIT_S, TROUBLE  # noqa: E402

JOB = "5c0e7a21d94b36f8"
TASKS = 128
WORK_MS = 4_000
STEPS = [{"count": TASKS, "cpu": 500, "mem-mb": 64, "estimate-ms": WORK_MS}]
PATIENCE_S = 13.0
# The client's connection breaks this long after each of its first three attempts.
BREAKS_AFTER_S = 0.4
ENTRIES = [0, 1, 0, 1]  # a retry reaches another daemon
# After these attempts, for this long, a share of the orders gets no answer and is carried out late.
LATE_FOR_S = {0: 0.3, 2: 1.6}
LATE_SHARE = 0.8
LATE_BY_S = (2.0, 12.0)


async def carry_out_late(world, for_s):
    await asyncio.sleep(BREAKS_AFTER_S - 0.02)
    for worker in world.workers:
        worker.late = {"/-/run-start": LATE_SHARE, "/-/run-stop": LATE_SHARE}
        worker.late_by_s = LATE_BY_S
    world.log("script", f"workers carry {LATE_SHARE} of their orders out late for {for_s} s")
    await asyncio.sleep(for_s)
    for worker in world.workers:
        worker.late = {}


async def case(world):
    await world.start(2, ["banca"] * 8, harness.config(1, [("/q/", "banca")]), cpu=16000)
    begin = world.now()
    for attempt, entry in enumerate(ENTRIES):
        breaks = TROUBLE and attempt < 3
        if TROUBLE and attempt in LATE_FOR_S:
            asyncio.create_task(carry_out_late(world, LATE_FOR_S[attempt]))
        left = PATIENCE_S - (world.now() - begin)
        status = await world.post(entry, "/q/", JOB, STEPS, WORK_MS, left,
                                  reset_after=BREAKS_AFTER_S if breaks else None)
        if status is not None and status not in (502, 504):
            break
        await asyncio.sleep(RETRANSMIT_S)
    if len({run.task for run in world.all_runs()}) < TASKS:
        raise harness.CannotRun("not all tasks have started")
    return [f"TWICE: {a} and {b}: {overlap * 1000:.0f} ms at the same time"
            for a, b, overlap in world.overlaps()]


harness.play(__file__, case)
