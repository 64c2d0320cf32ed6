"""A small deployment on loopback addresses: the real programs, a stand-in store, stand-in workers,
clients and a proxy. Only the Python standard library is used.

Each machine has its own loopback address, 127.NET.ZONE.HOST. All requests stay on loopback.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(REPO, "target", "release", "trestleknot")
HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "banca"
ZONES = ["lajeado", "estrela", "encantado"]
FRONT, READY, CONTROL, APP, STORE = 8161, 8167, 8166, 8080, 8169
RETRANSMIT_S = 1.3
MAX_HOLD_MS = 1000
STOP_S = 0.03
METRICS = 9464


class CannotRun(Exception):
    """The case could not be set up."""


LOCK_PORT = 8168
LOCKS = []


def free_net():
    """A second octet of 127.x.y.z that no other case uses at present."""
    for _ in range(100):
        net = random.SystemRandom().randint(20, 250)
        lock = socket.socket()
        try:
            lock.bind((f"127.{net}.9.9", LOCK_PORT))
            lock.listen(1)
        except OSError:
            lock.close()
            continue
        try:
            for host in ("1.10", "2.10", "3.10", "4.2", "5.2"):
                for port in (FRONT, READY, CONTROL, APP, STORE, METRICS, 7720):
                    with socket.socket() as s:
                        s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        s.bind((f"127.{net}.{host}", port))
            # Held until this process ends.
            LOCKS.append(lock)
            return net
        except OSError:
            lock.close()
    raise CannotRun("no free loopback network")


class Record:
    """Writes record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.origin = time.monotonic()

    def now(self):
        return time.monotonic() - self.origin

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.line(text)
        print(text, flush=True)


# ---------------------------------------------------------------- HTTP server for the stand-ins

async def read_message(reader):
    """Reads one HTTP/1.1 message: first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            headers[key.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def message(first, body=b"", headers=()):
    if isinstance(body, str):
        body = body.encode()
    lines = [first, f"content-length: {len(body)}"]
    if body:
        lines.append("content-type: application/json")
    lines += [f"{k}: {v}" for k, v in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def serve_http(ip, port, handle, connections=None):
    """Serves HTTP. `handle(method, path, headers, body)` returns (status, body) or None: no answer.
    Open connections are in the set `connections`; one that is taken out of it goes silent for good."""
    connections = set() if connections is None else connections

    async def connection(reader, writer):
        connections.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                if writer not in connections:
                    await asyncio.sleep(3600)
                answer = await handle(method, path, headers, body)
                if writer not in connections:
                    await asyncio.sleep(3600)
                if answer is None:
                    await asyncio.sleep(3600)
                status, text = answer
                writer.write(message(f"HTTP/1.1 {status} X", text))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            connections.discard(writer)
            writer.close()

    return await asyncio.start_server(connection, ip, port, backlog=1024)


def query_of(path):
    if "?" not in path:
        return path, {}
    path, text = path.split("?", 1)
    return path, dict(p.split("=", 1) for p in text.split("&") if "=" in p)


# ---------------------------------------------------------------- the platform's store

class Store:
    """The platform's log with keyed topics. It loses nothing and is never down, unless `fault` says so."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()
        self.version = 0

    def append(self, topic, key, value):
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(records)

    def publish(self, routes):
        self.version += random.randint(1, 3)
        config = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": SERVICE}],
            "limits": {"max-body-bytes": 262144},
        }
        self.append("keyed.op", b"config", json.dumps(config).encode())

    async def handle(self, method, path, headers, body):
        path, query = query_of(path)
        topic = query.get("topic", "")
        await asyncio.sleep(0.004)
        if path == "/-/log-append":
            at = 0
            first = len(self.topics.get(topic, []))
            while at < len(body):
                size = int.from_bytes(body[at:at + 4], "big")
                record = body[at + 4:at + 4 + size]
                at += 4 + size
                if topic.startswith("keyed."):
                    key = record[1:1 + record[0]]
                    self.append(topic, key, record[1 + record[0]:])
                else:
                    self.append(topic, b"", record)
            return 200, json.dumps({"offset": first, "end": len(self.topics.get(topic, []))})
        if path == "/-/log-newest":
            records = self.topics.get(topic)
            if records is None:
                return 404, ""
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest.pop(key, None)
                if value:
                    newest[key] = (value, offset)
            items = [
                {"key": k.decode(), "value": base64.b64encode(v).decode(), "offset": o}
                for k, (v, o) in newest.items()
            ]
            return 200, json.dumps({"items": items, "has-more": False, "end": len(records)})
        if path == "/-/log-read":
            start = int(query.get("from", 0))
            until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
            while len(self.topics.get(topic, [])) <= start and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            records = self.topics.get(topic, [])
            answer = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
            for key, value in records[start:]:
                record = bytes([len(key)]) + key + value if topic.startswith("keyed.") else value
                answer += len(record).to_bytes(4, "big") + record
            return 200, answer
        return 404, ""


# ---------------------------------------------------------------- workers

class Worker:
    """An application worker without admission check, as PROTOCOL.md describes it."""

    def __init__(self, fleet, ip, agent_ip, name, rack, cpu=64000):
        self.fleet, self.ip, self.agent_ip, self.name = fleet, ip, agent_ip, name
        self.rack, self.cpu = rack, cpu
        self.state = "ready"
        self.reports = True
        self.calls_fault = None
        self.connections = set()
        self.suspended = None
        # Whether a new life keeps the id, and states its start as `born`.
        self.keeps_id = False
        self.rate = 1.0
        self.id = f"i-{random.getrandbits(32):08x}"
        self.new_life()

    def new_life(self):
        """Begins a life that runs nothing and knows nothing. The connections of the last one break."""
        if not self.keeps_id:
            self.id = f"i-{random.getrandbits(32):08x}"
        for writer in list(self.connections):
            writer.transport.abort()
        self.born = time.monotonic()
        self.born_ms = int(time.time() * 1000)
        self.clock_start = random.randint(0, 500000)
        self.token = 0
        self.lease = 0
        self.running = {}
        self.highest = {}
        self.ended = []
        self.next_end = 1
        self.sequence = 0
        self.changed = asyncio.Event()

    async def suspend(self, seconds):
        """The machine is suspended: nothing runs, no call is handled, and the steady clock stands still."""
        self.advance()
        self.suspended = asyncio.Event()
        self.fleet.record.line(f"worker {self.name} is suspended")
        began = time.monotonic()
        await asyncio.sleep(seconds)
        length = time.monotonic() - began
        self.born += length
        for run in self.running.values():
            run["began"] += length
            run["done_at"] += length
            if run["stop_at"] is not None:
                run["stop_at"] += length
        self.fleet.record.line(f"worker {self.name} goes on")
        self.suspended.set()
        self.suspended = None

    def clock(self):
        return self.clock_start + int((time.monotonic() - self.born) * 1000 * self.rate)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def advance(self):
        """Ends what is due, at the time at which it was due."""
        if self.suspended:
            return
        now = time.monotonic()
        lapse_at = self.born + (self.lease - self.clock_start) / 1000 / self.rate
        for key, run in list(self.running.items()):
            ends = [(run["done_at"], run["how"])]
            if run["stop_at"] is not None:
                ends.append((run["stop_at"], "stopped"))
            ends.append((lapse_at, "lapsed"))
            at, how = min(ends)
            if at <= now:
                del self.running[key]
                self.ended.append([self.next_end, key[0], key[1], how, ""])
                self.next_end += 1
                run["row"]["to"] = at
                run["row"]["how"] = how
                self.fleet.record.line(f"worker {self.name} end {key[0]} run {key[1]} {how}")
                self.wake()

    async def tick(self):
        while True:
            self.advance()
            await asyncio.sleep(0.003)

    def extend(self, until):
        self.lease = max(self.lease, min(until, self.clock() + MAX_HOLD_MS))

    async def serve(self, method, path, headers, body):
        while self.suspended:
            await self.suspended.wait()
        return await getattr(self, "handle2", self.handle)(method, path, headers, body)

    async def handle(self, method, path, headers, body):
        self.advance()
        if self.calls_fault is not None:
            answer = await self.calls_fault(path)
            if answer != "go":
                return answer
        expected = headers.get("x-trestleknot-expect-instance")
        if expected is not None and expected != self.id:
            return 421, ""
        order = json.loads(body or b"{}")
        token = order.get("fencing-token", 0)
        reject = lambda why: (409, json.dumps({"clock-ms": self.clock(), "reason": why}))
        if token < self.token:
            return reject("fence")
        self.token = token
        if path == "/-/run-start":
            return self.start(order, reject)
        if path == "/-/run-stop":
            key = (order["task"], order["run"])
            self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
            run = self.running.get(key)
            if run and run["stop_at"] is None:
                run["stop_at"] = time.monotonic() + STOP_S
            return 200, json.dumps({"clock-ms": self.clock()})
        if path == "/-/hold":
            if "until-ms" in order:
                self.extend(order["until-ms"])
            seen = order.get("last-seen", 0)
            self.ended = [row for row in self.ended if row[0] > seen]
            until = time.monotonic() + min(order.get("wait-ms", 0), 2000) / 1000
            while not self.ended and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            self.advance()
            while self.suspended:
                await self.suspended.wait()
            self.advance()
            now = time.monotonic()
            rows = []
            for (task, number), run in self.running.items():
                percent = int(100 * (now - run["began"]) / max(0.001, run["done_at"] - run["began"]))
                rows.append([task, number, "", min(99, percent), 0])
            lists = {"clock-ms": self.clock(), "running": rows, "ended": self.ended[:500]}
            if self.keeps_id:
                lists["born"] = self.born_ms
            return 200, json.dumps(lists)
        return 404, ""

    def start(self, order, reject):
        key = (order["task"], order["run"])
        if key in self.running:
            self.extend(order["until-ms"])
            return 200, json.dumps({"clock-ms": self.clock()})
        if self.highest.get(key[0], 0) >= key[1]:
            self.extend(order["until-ms"])
            return reject("old")
        if order["until-ms"] <= self.clock():
            return reject("late")
        self.extend(order["until-ms"])
        self.highest[key[0]] = key[1]
        now = time.monotonic()
        work = json.loads(order["spec"])["work_s"]
        row = {"task": key[0], "run": key[1], "worker": self.name, "from": now, "to": None, "how": None}
        self.fleet.runs.append(row)
        self.running[key] = {
            "began": now, "done_at": now + work, "how": "done", "stop_at": None, "row": row,
        }
        self.fleet.record.line(f"worker {self.name} start {key[0]} run {key[1]}")
        return 200, json.dumps({"clock-ms": self.clock()})

    async def report(self):
        while True:
            if self.reports and not self.suspended:
                self.sequence += 1
                beat = {
                    "service": SERVICE, "address": f"{self.ip}:{APP}", "zone": "lajeado", "version": "v1",
                    "slots": 8, "state": self.state, "cold-remaining-ms": 0,
                    "capacity": {"cpu": self.cpu, "mem-mb": 262144, "gpu": 0},
                    "labels": ["a", self.rack], "clock-ms": self.clock(), "sequence": self.sequence,
                }
                if self.keeps_id:
                    beat["born"] = self.born_ms
                path = f"/-/instances/{self.id}/heartbeat"
                try:
                    await request(self.agent_ip, CONTROL, "POST", path, json.dumps(beat), limit=1.0)
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
            await asyncio.sleep(0.5)


# ---------------------------------------------------------------- clients

async def request(ip, port, method, path, body="", headers=(), limit=1.5):
    """One request on a connection of its own. Raises if there is no answer within `limit`."""

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(message(f"{method} {path} HTTP/1.1", body, (("Host", HOST), *headers)))
            first, answer_headers, answer = await read_message(reader)
            return int(first.split(" ")[1]), answer
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), limit)


def job(work_s, count=2, cpu=6200, estimate_ms=None):
    estimate = int(work_s * 1000) if estimate_ms is None else estimate_ms
    spec = json.dumps({"work_s": work_s})
    step = {"count": count, "cpu": cpu, "mem-mb": 64, "estimate-ms": estimate}
    return json.dumps({"spec": spec, "steps": [step], "best-effort": True})


# ---------------------------------------------------------------- the fleet

class Fleet:
    """Entries and agents as processes, the stand-ins, and what the workers have run."""

    def __init__(self, record, entries=3, workers=4):
        self.record = record
        self.net = free_net()
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.runs = []
        self.store = Store()
        self.processes = {}
        self.entry_ips = [f"127.{self.net}.1.{10 + i}" for i in range(entries)]
        self.agent_ips = [f"127.{self.net}.2.{10 + i}" for i in range(workers)]
        self.worker_ips = [f"127.{self.net}.3.{10 + i}" for i in range(workers)]
        self.store_ip = f"127.{self.net}.4.2"
        self.workers = [
            Worker(self, self.worker_ips[i], self.agent_ips[i], f"w{i}", f"r1-{i // 3}")
            for i in range(workers)
        ]
        self.tasks = []

    def routes(self):
        return [{
            "name": "licenca", "host": HOST, "path-prefix": PREFIX, "kind": "non_idempotent",
            "timeout-ms": 1500, "target-latency-ms": 60, "priority": 1, "service": SERVICE,
            "max-attempts": 3, "stretch": 1.6,
        }]

    async def start(self):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun(f"{PROGRAM} is missing")
        self.store.publish(self.routes())
        await serve_http(self.store_ip, STORE, self.store.handle)
        for worker in self.workers:
            await serve_http(worker.ip, APP, worker.serve, worker.connections)
            self.tasks.append(asyncio.ensure_future(worker.tick()))
        for i in range(len(self.entry_ips)):
            self.start_entry(i)
        for i in range(len(self.agent_ips)):
            self.start_agent(i)
        for worker in self.workers:
            self.tasks.append(asyncio.ensure_future(worker.report()))
        await self.await_ready()

    async def await_ready(self, limit=12.0):
        until = time.monotonic() + limit
        for ip in self.entry_ips:
            while True:
                try:
                    status, _ = await request(ip, READY, "GET", "/-/ready", limit=0.5)
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    status = 0
                if status == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"{ip} is not ready")
                await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)

    def settings(self, name, ip, role, app=None):
        listen = {"control": f"{ip}:{CONTROL}"}
        if role == "entry":
            listen.update(front=f"{ip}:{FRONT}", ready=f"{ip}:{READY}")
        front = role == "entry"
        text = {
            "node": name, "role": role, "machine-class": "front" if front else "side",
            "serves": ["front", "control"] if front else ["side"], "ip": ip,
            "zone": "lajeado", "region": "rs-serra", "zones": {z: "rs-serra" for z in ZONES},
            "listen-addrs": listen, "port-range": [7720, 7735],
            "seeds": [f"{i}:{CONTROL}" for i in self.entry_ips[:3]],
            "bootstrap": True, "in-tolerance": False,
            "limits": {
                "cpu-share": 0.25 if front else 0.15, "cores": 1,
                "memory-mb": 260 if front else 128, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0,
            },
            "data-dir": None, "discovery": "local", "entry": "vip", "heartbeat-ms": 1500,
            "tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {
                "seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
                "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 2000,
                "rollback-slack-ms": 250, "outer-bound-ms": 5000, "recovery-s": 12,
                "max-hold-ms": MAX_HOLD_MS, "stop-ms": 50, "gang-timeout-ms": 3000, "cancel_ms": 3000,
                "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "far-x": 1.5,
                "checkpoint-s": 0.5, "restore-ms": 100, "require-fencing": True, "lease-ttl-ms": 3000,
                "retransmit-ms": 1300,
            },
            "orders": "dispatch",
            "platform": {
                "address": f"{self.store_ip}:{STORE}", "form": "log", "writes-per-s": 800,
                "reads-per-s": 2000, "parts": 12, "keep_s": 300, "part-mb": 200,
            },
        }
        if app:
            text["app"] = app
            text["service"] = SERVICE
        path = os.path.join(self.folder, f"{name}.yaml")
        with open(path, "w") as f:
            # JSON is YAML.
            json.dump(text, f, indent=1)
        return path

    def launch(self, name, command, path):
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "TRESTLEKNOT_CONFIG": path}
        self.processes[name] = subprocess.Popen(
            [PROGRAM, command], env=env, cwd=REPO, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    def start_entry(self, i):
        ip = self.entry_ips[i]
        self.launch(f"entry-{i}", "serve-entry", self.settings(f"entry-{i}", ip, "entry"))

    def start_agent(self, i):
        path = self.settings(f"agent-{i}", self.agent_ips[i], "agent", f"{self.worker_ips[i]}:{APP}")
        self.launch(f"agent-{i}", "serve-agent", path)

    def signal(self, name, number):
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(number)
            self.record.line(f"signal {signal.Signals(number).name} to {name}")

    def log(self, name):
        with open(os.path.join(self.folder, f"{name}.log"), errors="replace") as f:
            return f.read()

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs in", self.folder)

    def overlaps(self):
        """Pairs of runs of one task that went on at the same time."""
        found = []
        by_task = {}
        end = time.monotonic()
        for run in self.runs:
            by_task.setdefault(run["task"], []).append(run)
        for runs in by_task.values():
            runs.sort(key=lambda r: r["from"])
            for i, a in enumerate(runs):
                for b in runs[i + 1:]:
                    overlap = min(a["to"] or end, b["to"] or end) - b["from"]
                    if overlap > 0:
                        found.append((a, b, overlap))
        return found


def run_case(main, folder, trouble, limit=100):
    """Runs `main(record, trouble)`, which returns whether the rule held, and exits with 0, 1 or 2."""
    record = Record(os.path.join(folder, "record.txt"))
    try:
        held = asyncio.run(asyncio.wait_for(main(record, trouble), limit))
    except Exception as e:  # anything unexpected: the case did not run
        import traceback
        record.say(f"the case couldn't run: {e!r}")
        traceback.print_exc()
        raise SystemExit(2)
    raise SystemExit(0 if held else 1)
