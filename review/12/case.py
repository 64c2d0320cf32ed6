"""One entry is cut off from its clients for 2.5 s. Requests sent meanwhile reach it after the cut.

Clients hold open connections to entry 0. During the cut each sends a job on its connection, waits
1.5 s for an answer, closes the connection and hands the job in at another entry 1.3 s later, as
PROTOCOL.md says. The network between them is a proxy that loses nothing: as TCP does, it sends what
was held up again after 0.2, 0.6, 1.4, 3.0 and 6.2 s, and a close follows the bytes before it by one
round trip (3 ms each way, SYSTEM.md "Places").
"""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-3"))
from fleet import *  # noqa: E402,F403

CUT_S = 2.5
JOBS = 20
WORK_S = 0.9
DEADLINE_S = 1.5
ONE_WAY_S = 0.003
RETRANSMISSIONS_S = (0.2, 0.6, 1.4, 3.0, 6.2, 12.6)


class ClientPath:
    """The network between the clients and one entry."""

    def __init__(self, ip, target):
        self.ip, self.target = ip, target
        self.cut_from = self.cut_to = 0.0

    def is_cut(self, at):
        return self.cut_from <= at < self.cut_to

    def arrival(self, sent):
        """When bytes arrive that are sent at this time."""
        times = [sent] + [sent + pause for pause in RETRANSMISSIONS_S]
        return next(t for t in times if not self.is_cut(t)) + ONE_WAY_S

    async def start(self):
        await asyncio.start_server(self.carry, self.ip, FRONT)

    async def carry(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(self.forward(reader, far_writer), self.forward(far_reader, writer))

    async def forward(self, reader, writer):
        """Forwards bytes in order, and the close after them."""
        free_at = 0.0
        try:
            while True:
                data = await reader.read(65536)
                arrives = max(self.arrival(time.monotonic()), free_at)
                if not data:
                    # The close is sent again only once the bytes before it are acknowledged.
                    arrives = max(arrives, free_at + 2 * ONE_WAY_S)
                await asyncio.sleep(max(0.0, arrives - time.monotonic()))
                free_at = arrives
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()


async def main(record, trouble):
    fleet = Fleet(record, entries=3, workers=6)
    path = ClientPath(f"127.{fleet.net}.5.2", (fleet.entry_ips[0], FRONT))
    answers = {}

    async def open_client(jid):
        reader, writer = await asyncio.open_connection(path.ip, FRONT)
        writer.write(message(f"GET {PREFIX} HTTP/1.1", "", [("Host", HOST)]))
        first, _, _ = await asyncio.wait_for(read_message(reader), 2)
        if " 200 " not in first:
            raise CannotRun(f"count answered {first}")
        return reader, writer

    async def client(jid, connection, delay):
        await asyncio.sleep(delay)
        reader, writer = connection
        body = job(WORK_S, count=2)
        headers = [("Host", HOST), ("X-Trestleknot-Deadline", str(int(DEADLINE_S * 1000)))]
        record.line(f"client {jid} sends to entry 0")
        writer.write(message(f"POST {PREFIX}{jid} HTTP/1.1", body, headers))
        try:
            first, _, answer = await asyncio.wait_for(read_message(reader), DEADLINE_S)
            status = int(first.split(" ")[1])
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError):
            status = 0
        writer.close()
        record.line(f"client {jid} got {status or 'no answer'} and closes")
        for attempt in range(3):
            if status not in (0, 502, 504):
                break
            await asyncio.sleep(RETRANSMIT_S)
            entry = 1 + (attempt + int(jid, 16)) % 2
            record.line(f"client {jid} sends to entry {entry}")
            try:
                status, _ = await request(
                    fleet.entry_ips[entry], FRONT, "POST", PREFIX + jid, body, headers[1:], DEADLINE_S)
            except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError):
                status = 0
            record.line(f"client {jid} got {status or 'no answer'}")
        answers[jid] = status

    try:
        await fleet.start()
        await path.start()
        ids = [f"{random.getrandbits(64):016x}" for _ in range(JOBS)]
        connections = [await open_client(jid) for jid in ids]
        if trouble:
            path.cut_from = time.monotonic()
            path.cut_to = path.cut_from + CUT_S
            record.line(f"entry 0 is cut off from its clients for {CUT_S} s")
        # All are sent in the first second of the cut.
        sends = [client(jid, c, 0.05 + 0.045 * i) for i, (jid, c) in enumerate(zip(ids, connections))]
        await asyncio.gather(*sends)
        await asyncio.sleep(2.0)
        overlaps = fleet.overlaps()
        served = sum(1 for status in answers.values() if status == 200)
        record.say(f"jobs {len(answers)} served {served} runs {len(fleet.runs)}")
        for a, b, seconds in overlaps:
            record.line(
                f"two runs at once for {seconds * 1000:.0f} ms: {a['task']} on {a['worker']} and {b['worker']}")
        record.say(f"TWICE: {len(overlaps)} pairs of runs of one task went on at the same time")
        if not trouble and served < len(answers):
            raise CannotRun("not all jobs were served without a disruption")
        return not overlaps
    finally:
        fleet.stop()


# With TROUBLE=0 the same is played without the disruption.
run_case(main, HERE, os.environ.get("TROUBLE", "1") != "0")
