"""Stand-ins for the scripts of this review: the store, workers, clients, and the project's processes.

Only the standard library is used. All addresses are loopback addresses: each machine has an address of
its own in 127.0.0.0/8, because both programs also listen on a fixed port of their machine's address.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "trestleknot")

BOUNDS = {
    "seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
    "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 2000,
    "rollback-slack-ms": 250, "outer-bound-ms": 5000, "recovery-s": 12, "max-hold-ms": 1000,
    "stop-ms": 50, "gang-timeout-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
    "finish_s": 14, "status_s": 120, "far-x": 1.5, "checkpoint-s": 0.5, "restore-ms": 100,
    "notice-ms": 4500, "move-s": 1.5, "maintenance-s": 2, "require-fencing": True,
    "lease-ttl-ms": 3000, "thaw-ms": 300, "pace-ms": 100, "harm-ms": 4000, "retransmit-ms": 1300,
}


class NotRun(Exception):
    """The case could not run."""


class Record:
    """Writes what happened to record.txt, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write("%9.4f %s\n" % (self.now(), text))
        self.file.flush()


# --- HTTP/1.1 ---------------------------------------------------------------------------------

async def read_message(reader):
    """Reads a request or a response: first line, headers in lower case, body. None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class Server:
    """An HTTP server; `answer(method, path, headers, body)` returns a status and a body, or None for
    no answer."""

    def __init__(self, answer):
        self.answer = answer
        self.server = None
        self.connections = set()

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, reuse_address=True)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                method, path, _ = message[0].split(" ", 2)
                answer = await self.answer(method, path, message[1], message[2])
                if answer is None:
                    return
                status, body = answer
                if not isinstance(body, bytes):
                    body = json.dumps(body).encode()
                head = "HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                writer.write((head % (status, len(body))).encode() + body)
                await writer.drain()
        except (ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def stop(self):
        """Ends like a process that was killed: the port closes and all connections break."""
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        self.connections.clear()


async def call(address, method, path, body=None, headers=None, limit=5.0):
    """One call on a connection of its own. Returns the status and the body; None if there is no whole
    answer in time."""
    ip, port = address

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(request_bytes(method, path, body, headers))
            message = await read_message(reader)
            return message and (int(message[0].split(" ")[1]), message[2])
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), limit)
    except (OSError, asyncio.TimeoutError):
        return None


def request_bytes(method, path, body=None, headers=None):
    data = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
    lines = ["%s %s HTTP/1.1" % (method, path), "Content-Length: %d" % len(data)]
    names = {"Host": "platform", "Content-Type": "application/json"}
    names.update(headers or {})
    lines += ["%s: %s" % item for item in names.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + data


# --- the platform's store ---------------------------------------------------------------------

class Store:
    """The log: topics with one partition, of which only the last record of a key counts."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()
        self.server = Server(self.answer)

    def put(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(self, method, path, headers, body):
        await asyncio.sleep(0.004)
        path, _, query = path.partition("?")
        query = dict(item.partition("=")[::2] for item in query.split("&"))
        topic = query.get("topic", "")
        records = self.topics.get(topic, [])
        if path == "/-/log-append":
            first, rest, added = len(records), body, []
            while rest:
                size = struct.unpack(">I", rest[:4])[0]
                record, rest = rest[4:4 + size], rest[4 + size:]
                added.append((record[1:1 + record[0]].decode(), record[1 + record[0]:]))
            for key, value in added:
                self.put(topic, key, value)
            return 200, {"offset": first, "end": first + len(added)}
        if path == "/-/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (offset, value)
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in sorted(newest.items()) if value
            ]
            return 200, {"items": items, "has-more": False, "end": len(records)}
        if path == "/-/log-read":
            start, until = int(query["from"]), time.monotonic() + int(query.get("wait-ms", "0")) / 1e3
            while len(self.topics.get(topic, [])) <= start and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, until - time.monotonic()))
                except asyncio.TimeoutError:
                    pass
            records = self.topics.get(topic, [])
            data = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                record = bytes([len(key)]) + key.encode() + value
                data += struct.pack(">I", len(record)) + record
            return 200, data
        return 404, {}


# --- a worker -----------------------------------------------------------------------------------

class Worker:
    """A worker of one machine, life after life. It starts whatever it is told (`admission-check` is
    false) and keeps its leases on its own steady clock."""

    def __init__(self, lab, name, ip, app, control, zone, rack):
        self.lab, self.name, self.ip, self.app, self.control = lab, name, ip, app, control
        self.zone, self.rack = zone, rack
        self.lives = 0
        self.up = False
        self.work_s = lambda task, spec: 0.05
        # Time from the start of a life to its first heartbeat.
        self.first_beat_s = 0.0
        # Time until the next heartbeat after one that was not answered.
        self.retry_s = 0.2

    async def begin(self, kind, cpu, same_id=False):
        """Starts a life. It registers as soon as it accepts calls."""
        self.lives += 1
        if not same_id or self.lives == 1:
            self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000) if self.lab.states_born else None
        self.labels, self.cpu = [kind, self.rack], cpu
        self.began, self.token, self.until, self.sequence = time.monotonic(), 0, 0, 0
        self.running, self.highest, self.ended, self.next_end = {}, {}, [], 1
        self.news = asyncio.Event()
        self.state = "ready"
        self.server = Server(self.answer)
        await self.server.start(self.ip, self.app)
        self.up = True
        self.lab.record("worker %s begins: id=%s born=%s labels=%s cpu=%d" % (
            self.name, self.id, self.born, self.labels, cpu))
        self.beating = asyncio.ensure_future(self.beat())

    def crash(self):
        """Ends like a process that was killed. A worker that crashes says nothing."""
        self.up = False
        self.beating.cancel()
        self.server.stop()
        self.lab.record("worker %s crashes with %d runs" % (self.name, len(self.running)))
        for (task, run), running in self.running.items():
            running["end"].cancel()
            self.lab.note_end(self, task, run, "crashed")
        self.running = {}

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    async def beat(self):
        await asyncio.sleep(self.first_beat_s)
        while True:
            self.sequence += 1
            beat = {
                "service": self.lab.service, "address": "%s:%d" % (self.ip, self.app),
                "zone": self.zone, "version": "v1", "slots": 8, "state": self.state,
                "cold-remaining-ms": 0,
                "capacity": {"cpu": self.cpu, "mem-mb": 262144, "gpu": 0},
                "labels": self.labels, "clock-ms": self.clock(), "sequence": self.sequence,
            }
            if self.born is not None:
                beat["born"] = self.born
            path = "/-/instances/%s/heartbeat" % self.id
            answer = await call((self.ip, self.control), "POST", path, beat, limit=1.0)
            is_heard = answer is not None and answer[0] == 200
            await asyncio.sleep(1.5 if is_heard else self.retry_s)

    def with_born(self, body):
        body["clock-ms"] = self.clock()
        if self.born is not None:
            body["born"] = self.born
        return body

    def list_end(self, task, run, how):
        self.ended.append([self.next_end, task, run, how, ""])
        self.next_end += 1
        self.news.set()

    async def run(self, task, run, work_s):
        await asyncio.sleep(work_s)
        if (task, run) in self.running:
            del self.running[(task, run)]
            self.lab.note_end(self, task, run, "done")
            self.list_end(task, run, "done")

    def end(self, task, run, how):
        gone = self.running.pop((task, run))
        gone["end"].cancel()
        self.lab.note_end(self, task, run, how)
        self.list_end(task, run, how)

    def lapse(self):
        if self.until and self.clock() >= self.until:
            for task, run in list(self.running):
                self.end(task, run, "lapsed")

    async def lapse_later(self):
        while self.up and self.running:
            self.lapse()
            await asyncio.sleep(0.005)

    def hold_until(self, until):
        if until is not None:
            self.until = max(self.until, min(until, self.clock() + self.lab.bounds["max-hold-ms"]))

    async def answer(self, method, path, headers, body):
        if headers.get("x-trestleknot-expect-instance", self.id) != self.id:
            return 421, {}
        self.lapse()
        body = json.loads(body) if body else {}
        if body.get("fencing-token", 0) < self.token:
            return 409, self.with_born({"reason": "fence"})
        self.token = body.get("fencing-token", 0)
        if path == "/-/run-start":
            return self.start(body)
        if path == "/-/run-stop":
            key = (body["task"], body["run"])
            self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
            if key in self.running:
                await asyncio.sleep(0.01)
                if key in self.running:
                    self.end(key[0], key[1], "stopped")
            return 200, self.with_born({})
        if path == "/-/hold":
            self.hold_until(body.get("until-ms"))
            self.ended = [row for row in self.ended if row[0] > body.get("last-seen", 0)]
            wait = min(body.get("wait-ms", 0), 2000) / 1e3
            if not self.ended and wait:
                self.news.clear()
                try:
                    await asyncio.wait_for(self.news.wait(), wait)
                except asyncio.TimeoutError:
                    pass
            self.lapse()
            running = [
                [task, run, "", min(99, int(100 * (time.monotonic() - r["since"]) / r["work"])), 0]
                for (task, run), r in self.running.items()
            ]
            return 200, self.with_born({"running": running, "ended": self.ended[:500]})
        return 404, {}

    def start(self, body):
        task, run = body["task"], body["run"]
        if (task, run) in self.running:
            return 200, self.with_born({})
        if run <= self.highest.get(task, 0):
            self.hold_until(body["until-ms"])
            return 409, self.with_born({"reason": "old"})
        if body["until-ms"] <= self.clock():
            return 409, self.with_born({"reason": "late"})
        self.hold_until(body["until-ms"])
        self.highest[task] = run
        work = self.work_s(task, body.get("spec", ""))
        end = asyncio.ensure_future(self.run(task, run, work))
        was_idle = not self.running
        self.running[(task, run)] = {"since": time.monotonic(), "work": work, "end": end}
        if was_idle:
            asyncio.ensure_future(self.lapse_later())
        self.lab.note_start(self, task, run, body.get("spec", ""))
        return 200, self.with_born({})


# --- the project's processes --------------------------------------------------------------------

class Process:
    """An entry or an agent on a machine of its own."""

    def __init__(self, lab, role, name, ip, zone):
        self.lab, self.role, self.name, self.ip, self.zone = lab, role, name, ip, zone
        self.child = None
        self.path = os.path.join(lab.folder, name + ".yaml")

    def write_settings(self, seeds):
        lab = self.lab
        listen = {"control": "%s:%d" % (self.ip, lab.ports["control"])}
        if self.role == "entry":
            listen["front"] = "%s:%d" % (self.ip, lab.ports["front"])
            listen["ready"] = "%s:%d" % (self.ip, lab.ports["ready"])
        settings = {
            "node": self.name, "role": self.role,
            "machine-class": "front" if self.role == "entry" else "side",
            "serves": ["front", "control"] if self.role == "entry" else ["side"],
            "ip": self.ip, "zone": self.zone, "region": "cairo",
            "zones": {"nasr": "cairo", "maadi": "cairo", "giza": "cairo"},
            "listen-addrs": listen, "port-range": [lab.ports["link"], lab.ports["link"] + 15],
            "seeds": seeds, "bootstrap": True, "in-tolerance": False,
            "limits": {
                "cpu-share": 0.25 if self.role == "entry" else 0.15, "cores": 1,
                "memory-mb": 260 if self.role == "entry" else 128, "max-fds": 4100,
                "link-mbps": 1000.0, "disk-mb": 0,
            },
            "data-dir": None, "discovery": "local", "entry": "vip", "heartbeat-ms": 1500,
            "tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": lab.bounds,
            "orders": "dispatch",
            "platform": {"address": "%s:%d" % lab.store_address, "form": "log"},
        }
        if self.role == "agent":
            settings["app"] = "%s:%d" % (self.ip, lab.ports["app"])
            settings["service"] = lab.service
        # JSON is also YAML.
        with open(self.path, "w") as file:
            json.dump(settings, file)

    def start(self):
        command = "serve-entry" if self.role == "entry" else "serve-agent"
        log = open(os.path.join(self.lab.folder, self.name + ".log"), "ab")
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["TRESTLEKNOT_CONFIG"] = self.path
        self.child = subprocess.Popen(
            [PROGRAM, command], cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def send(self, number):
        self.child.send_signal(number)
        self.lab.record("%s gets %s" % (self.name, signal.Signals(number).name))

    def end(self):
        if self.child and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()


class Lab:
    """A small deployment. Starts of tasks are kept in `starts`, their ends in `ends`."""

    def __init__(self, folder, entries=3, agents=7, states_born=False, bounds=None):
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.case_folder = folder
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-2-")
        self.service = "huvo11a"
        self.host = "nony24.example"
        self.states_born = states_born
        self.starts, self.ends = [], []
        self.store = Store()
        net = "127.%d.%d" % (random.randint(2, 250), random.randint(1, 250))
        self.ports = self.free_ports(net + ".1", ["front", "ready", "control", "app", "link", "store"])
        self.store_address = (net + ".250", self.ports["store"])
        zones = ["nasr", "maadi", "giza"]
        self.entries = [
            Process(self, "entry", "front-%s-%d" % (zones[i % 3], i + 1), "%s.%d" % (net, i + 1), zones[i % 3])
            for i in range(entries)
        ]
        self.agents, self.workers = [], []
        for i in range(agents):
            ip, zone = "%s.%d" % (net, 101 + i), zones[i % 3]
            self.agents.append(Process(self, "agent", "side-%s-%d" % (zone, i + 1), ip, zone))
            self.workers.append(Worker(
                self, "w%d" % (i + 1), ip, self.ports["app"], self.ports["control"], zone, "r1-%d" % (i // 3 + 1)))

    @staticmethod
    def free_ports(ip, names):
        ports = {}
        for name in names:
            while True:
                port = random.randint(20000, 30000)
                with socket.socket() as probe:
                    try:
                        probe.bind((ip, port))
                    except OSError:
                        continue
                if all(abs(port - other) > 20 for other in ports.values()):
                    ports[name] = port
                    break
        return ports

    async def begin(self, kinds, cpu=64000, routes=None):
        if not os.path.exists(PROGRAM):
            raise NotRun("the program is not built")
        await self.store.server.start(*self.store_address)
        self.put_config(7, routes)
        seeds = ["%s:%d" % (e.ip, self.ports["control"]) for e in self.entries[:3]]
        for process in self.entries + self.agents:
            process.write_settings(seeds)
            process.start()
        sizes = cpu if isinstance(cpu, list) else [cpu] * len(self.workers)
        for worker, kind, size in zip(self.workers, kinds, sizes):
            await worker.begin(kind, size)
        await self.until_ready()
        await asyncio.sleep(1.0)

    def put_config(self, version, routes=None):
        route = {
            "name": "r-1", "host": self.host, "path-prefix": "/lohu930/", "kind": "non_idempotent",
            "timeout-ms": 1500, "target-latency-ms": 60, "priority": 0, "service": self.service,
            "max-attempts": 3, "stretch": 1.6,
        }
        config = {
            "version": version,
            "routes": routes if routes is not None else [route],
            "services": [{
                "name": self.service, "health-path": "/health", "max-conns": 64, "protocol": "h1",
                "tls": False, "admission-check": False, "headroom": False,
            }],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000},
        }
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.record("configuration %d is acknowledged" % version)

    async def until_ready(self, limit=20.0):
        until = time.monotonic() + limit
        for entry in self.entries:
            while True:
                answer = await call((entry.ip, self.ports["ready"]), "GET", "/-/ready", limit=1.0)
                if answer and answer[0] == 200:
                    break
                if time.monotonic() > until:
                    raise NotRun("%s does not become ready" % entry.name)
                await asyncio.sleep(0.05)
        self.record("all entries are ready")

    def front(self, entry):
        return (entry.ip, self.ports["front"])

    def note_start(self, worker, task, run, spec):
        at = self.record.now()
        self.starts.append({
            "at": at, "worker": worker, "life": worker.lives, "task": task, "run": run, "spec": spec,
            "labels": worker.labels, "cpu": worker.cpu, "running": list(worker.running)})
        self.record("worker %s life %d %s starts %s run %d, lease for %d ms" % (
            worker.name, worker.lives, worker.labels, task, run, worker.until - worker.clock()))

    def note_end(self, worker, task, run, how):
        self.ends.append({"at": self.record.now(), "worker": worker, "task": task, "run": run, "how": how})
        self.record("worker %s life %d ends %s run %d: %s" % (worker.name, worker.lives, task, run, how))

    def new_id(self):
        return "%016x" % random.getrandbits(64)

    async def submit(self, entry, job, steps, spec="text", deadline_ms=1500, path="/lohu930/", host=None):
        """Hands a job in and waits for its answer, as long as the caller does."""
        self.record("client sends job %s to %s: %s" % (job, entry.name, json.dumps(steps)))
        body = {"spec": spec, "steps": steps, "best-effort": True}
        headers = {"Host": host or self.host, "X-Trestleknot-Deadline": str(deadline_ms)}
        answer = await call(self.front(entry), "POST", path + job, body, headers, deadline_ms / 1e3)
        self.record("client has for job %s from %s: %s" % (job, entry.name, answer))
        return answer

    def end(self, keep=False):
        for process in self.entries + self.agents:
            process.end()
        for worker in self.workers:
            if worker.up:
                worker.crash()
        self.store.server.stop()
        if keep:
            self.record("logs: " + self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, play, **options):
    """Plays a case: `play(lab, trouble)` returns a list of what broke the rule. Exits with 1 if there
    is any, with 0 if there is none, and with 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    keep = os.environ.get("KEEP_LOGS", "0") == "1"
    lab = None

    def stop(*_):
        """Ends all processes too if the case takes too long."""
        for process in lab.entries + lab.agents if lab else []:
            process.end()
        os._exit(2)

    signal.signal(signal.SIGTERM, stop)

    async def run():
        nonlocal lab
        lab = Lab(folder, **options)
        try:
            return await asyncio.wait_for(play(lab, trouble), 110)
        finally:
            lab.end(keep)

    try:
        broken = asyncio.run(run())
    except Exception as error:
        text = "the case could not run: %r" % error
        if lab:
            lab.record(text)
        print(text)
        sys.exit(2)
    for line in broken:
        lab.record("BROKEN: " + line)
        print("BROKEN: " + line)
    lab.record("%d violations" % len(broken))
    sys.exit(1 if broken else 0)


def runs_at_once(lab):
    """The starts of tasks of which another run goes on at that time, on workers that are up."""
    events = [(start["at"], 1, start) for start in lab.starts] + [(end["at"], 0, end) for end in lab.ends]
    events.sort(key=lambda event: event[:2])
    going, broken = {}, []
    for at, is_start, event in events:
        runs = going.setdefault(event["task"], {})
        key = (event["run"], event["worker"].name)
        if is_start:
            for run, worker in runs:
                broken.append("%s run %d starts on %s at %.3f s while run %d goes on %s, since %.3f s" % (
                    event["task"], event["run"], event["worker"].name, at, run, worker, runs[(run, worker)]))
            runs[key] = at
        else:
            runs.pop(key, None)
    return broken
