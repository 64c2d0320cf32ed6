"""A worker of another kind takes the place of a crashed one while an entry stands still."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lab-2"))
import lab as lab_2  # noqa: E402

ATTEMPTS = 5
STEPS = [
    {"count": 1, "cpu": 1000, "mem-mb": 64, "estimate-ms": 300, "requires": "a"},
    {"count": 1, "cpu": 1000, "mem-mb": 64, "estimate-ms": 60, "requires": "b", "after": [0]},
]
# A machine stands still for this long.
FREEZE_S = 0.35


async def play(lab, trouble):
    kinds = ["a"] * 6 + ["b"]
    await lab.begin(kinds)
    entry, special = lab.entries[0], lab.workers[6]
    for worker in lab.workers:
        worker.work_s = lambda task, spec: 0.3 if task.split(".")[2] == "0" else 0.06
    for attempt in range(ATTEMPTS):
        job = lab.new_id()
        answer = asyncio.ensure_future(lab.submit(entry, job, STEPS, deadline_ms=1500))
        while not any(start["task"].startswith(job) for start in lab.starts) and not answer.done():
            await asyncio.sleep(0.002)
        if trouble:
            # The first step ends just after the entry has stopped.
            await asyncio.sleep(0.28)
            entry.send(signal.SIGSTOP)
            await asyncio.sleep(0.04)
            special.crash()
            await asyncio.sleep(0.05)
            await special.begin("a", 64000)
            await asyncio.sleep(FREEZE_S - 0.09)
            entry.send(signal.SIGCONT)
        await answer
        if trouble:
            special.crash()
            await asyncio.sleep(0.2)
            await special.begin("b", 64000)
        await asyncio.sleep(1.5)
    if not trouble and len(lab.ends) < 2 * ATTEMPTS:
        raise lab_2.NotRun("not all tasks have run")
    return [
        "%s run %d starts on %s, whose labels are %s and lack `b`" % (s["task"], s["run"], s["worker"].name, s["labels"])
        for s in lab.starts
        if s["task"].split(".")[2] == "1" and "b" not in s["labels"]
    ]


lab_2.main(HERE, play)
