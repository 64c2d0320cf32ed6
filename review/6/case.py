"""The machine of a worker is suspended, an entry is killed, and the machine resumes while the job runs elsewhere."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lab-2"))
import lab as lab_2  # noqa: E402

# As `estoque` on the sheet of feira-taquari: tasks of 0.9 s, 3.6 s at most, and 1,500 ms to the deadline.
STEPS = [{"count": 21, "cpu": 6200, "mem-mb": 64, "estimate-ms": 900}]
WORK_S, DEADLINE_MS, RETRANSMIT_S = 3.6, 1500, 1.3
ATTEMPTS = 3
# From the job to the suspension, from there to the kill, and how long each lasts.
SUSPEND_AFTER_S, KILL_AFTER_S, SUSPENDED_S, DOWN_S = 0.04, 0.01, 1.37, 1.0


class SuspendedWorker(lab_2.Worker):
    """A worker on a machine that may be suspended. Its steady clock doesn't count that time, and its runs
    and leases stand still."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.goes_on = asyncio.Event()
        self.goes_on.set()
        self.stood_s, self.stands_since = 0.0, None

    def clock(self):
        now = self.stands_since if self.stands_since is not None else time.monotonic()
        return int((now - self.began - self.stood_s) * 1000)

    def suspend(self):
        self.stands_since = time.monotonic()
        self.goes_on.clear()
        self.lab.record("the machine of %s is suspended with %d runs" % (self.name, len(self.running)))

    def resume(self):
        """Resumes, and notes the runs that go on here and, of the same task, elsewhere. A suspended worker
        isn't up, so what has overlapped until now doesn't count."""
        self.stood_s += time.monotonic() - self.stands_since
        self.stands_since = None
        for task, run in self.running:
            for other in self.lab.workers:
                if other is not self and any(going == task for going, _ in other.running):
                    broken.append("%s goes on on %s, which resumes at %.3f s, and on %s" % (
                        task, self.name, self.lab.record.now(), other.name))
        self.goes_on.set()
        self.lab.record("the machine of %s resumes with %d runs" % (self.name, len(self.running)))

    def lapse(self):
        if self.goes_on.is_set():
            super().lapse()

    async def run(self, task, run, work_s):
        until = self.clock() + work_s * 1000
        while self.clock() < until:
            await self.goes_on.wait()
            await asyncio.sleep(0.005)
        if (task, run) in self.running:
            del self.running[(task, run)]
            self.lab.note_end(self, task, run, "done")
            self.list_end(task, run, "done")

    async def answer(self, method, path, headers, body):
        await self.goes_on.wait()
        answer = await super().answer(method, path, headers, body)
        await self.goes_on.wait()
        return answer


lab_2.Worker = SuspendedWorker
broken = []


async def play(lab, trouble):
    await lab.begin(["a"] * 7)
    for worker in lab.workers:
        worker.work_s = lambda task, spec: WORK_S
    entry = lab.entries[0]
    for attempt in range(ATTEMPTS):
        worker, agent = lab.workers[attempt], lab.agents[attempt]
        job, sent = lab.new_id(), lab.record.now()
        first = asyncio.ensure_future(lab.submit(entry, job, STEPS, deadline_ms=DEADLINE_MS))
        await asyncio.sleep(SUSPEND_AFTER_S)
        if not trouble:
            await first
            await asyncio.sleep(4.5)
            continue
        agent.send(signal.SIGSTOP)
        worker.suspend()
        await asyncio.sleep(KILL_AFTER_S)
        entry.send(signal.SIGKILL)
        entry.child.wait()
        broken_at = lab.record.now()
        await first

        async def resume():
            await asyncio.sleep(sent + SUSPEND_AFTER_S + SUSPENDED_S - lab.record.now())
            worker.resume()
            agent.send(signal.SIGCONT)

        async def restart():
            await asyncio.sleep(DOWN_S)
            entry.start()

        others = asyncio.gather(resume(), restart())
        await asyncio.sleep(broken_at + RETRANSMIT_S - lab.record.now())
        left_ms = DEADLINE_MS - int(1000 * (lab.record.now() - sent))
        await lab.submit(lab.entries[1], job, STEPS, deadline_ms=left_ms)
        await others
        await asyncio.sleep(4.5)
    if not lab.starts:
        raise lab_2.NotRun("no task has run")
    return broken


lab_2.main(HERE, play)
