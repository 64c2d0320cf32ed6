"""A worker starts again under its id; seconds later all processes are killed and start again."""

import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lab-2"))
import lab as lab_2  # noqa: E402

# As `battery-swap` on the sheet of the fleet: tasks of 0.9 s, 3.6 s at most, and 1,500 ms to the deadline.
STEPS = [{"count": 21, "cpu": 3800, "mem-mb": 64, "estimate-ms": 900}]
WORK_S, DEADLINE_MS, RETRANSMIT_S = 3.6, 1500, 1.3
# As `unlock` there.
SHORT_STEPS = [{"count": 21, "cpu": 3800, "mem-mb": 64, "estimate-ms": 60}]
ATTEMPTS = 5
# A new life accepts calls this long before its first heartbeat; the pages allow about 1.5 s between two.
FIRST_BEAT_S = 0.05
# From the worker's new life to the job, from the job to the kill, and from the kill to the start.
JOB_AFTER_S, KILL_AFTER_S, DOWN_S = 3.0, 0.1, 1.2
# The bounds of fleet/LATER.md, which states `born`, where they differ from those of the small deployments.
BOUNDS = {
    "max-hold-ms": 15000, "contact-ms": 6000, "ack-ms": 10000, "catch-up-s": 6, "drain-ms": 5000,
    "config-apply-ms": 5000, "outer-bound-ms": 10000, "recovery-s": 18, "gang-timeout-ms": 7000,
    "cancel_ms": 7000, "finish_s": 16, "far-x": 3, "restore-ms": 600, "notice-ms": 6500, "harm-ms": 5000,
}


async def play(lab, trouble):
    # REBORN=0 leaves the first disruption out, KILLED=0 the second one.
    is_reborn = trouble and os.environ.get("REBORN", "1") != "0"
    is_killed = trouble and os.environ.get("KILLED", "1") != "0"
    await lab.begin(["a"] * 7)
    for worker in lab.workers:
        worker.work_s = lambda task, spec: 0.06 if spec == "short" else WORK_S
    processes = lab.entries + lab.agents
    for attempt in range(ATTEMPTS):
        worker = lab.workers[attempt]
        if is_reborn:
            worker.crash()
            await asyncio.sleep(0.1)
            worker.first_beat_s = FIRST_BEAT_S
            await worker.begin("a", 64000, same_id=True)
            await asyncio.sleep(random.uniform(0, 0.5 * FIRST_BEAT_S))
        await lab.submit(lab.entries[0], lab.new_id(), SHORT_STEPS, spec="short")
        await asyncio.sleep(JOB_AFTER_S)
        job, sent = lab.new_id(), lab.record.now()
        first = asyncio.ensure_future(lab.submit(lab.entries[0], job, STEPS, deadline_ms=DEADLINE_MS))
        await asyncio.sleep(KILL_AFTER_S)
        if is_killed:
            for process in processes:
                process.send(signal.SIGKILL)
            for process in processes:
                process.child.wait()
            broken_at = lab.record.now()
            await first
            await asyncio.sleep(DOWN_S)
            for process in processes:
                process.start()
            lab.record("all processes are started again")
            await asyncio.sleep(max(0.0, broken_at + RETRANSMIT_S - lab.record.now()))
            left_ms = DEADLINE_MS - int(1000 * (lab.record.now() - sent))
            await lab.submit(lab.entries[1], job, STEPS, deadline_ms=left_ms)
        await first
        await asyncio.sleep(4.5)
    if not lab.starts:
        raise lab_2.NotRun("no task has run")
    return lab_2.runs_at_once(lab)


lab_2.main(HERE, play, states_born=True, bounds=BOUNDS)
