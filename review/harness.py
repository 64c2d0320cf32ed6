"""Stand-ins and process control for the review's scripts (review/N/run.sh).

The project's programs run as separate processes with the commands of deploy/system.toml, each with
a settings file and a loopback address of its own. The store, the workers and the clients are small
stand-ins that run in this process and follow PROTOCOL.md. Every event goes to record.txt.
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

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join("target", "release", "trestleknot")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

FRONT_PORT, READY_PORT, CONTROL_PORT, APP_PORT = 8161, 8167, 8166, 8165
STORE_PORT, FIRST_LINK_PORT, LAST_LINK_PORT = 8169, 7720, 7735
HOST = "queue.example"

# Bounds of a small deployment (DEPLOY.md, "Settings of a process").
BOUNDS = {
    "seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
    "drain-ms": 2000, "grace-s": 6, "loss-slack-ms": 200, "config-apply-ms": 2000,
    "rollback-slack-ms": 250, "outer-bound-ms": 5000, "recovery-s": 12, "max-hold-ms": 1000,
    "stop-ms": 50, "gang-timeout-ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "early_ms": 250, "finish_s": 14, "status_s": 120, "far-x": 1.5, "checkpoint-s": 0.5,
    "restore-ms": 100, "notice-ms": 4500, "move-s": 1.5, "maintenance-s": 2,
    "require-fencing": True, "lease-ttl-ms": 3000, "thaw-ms": 300, "pace-ms": 100,
    "harm-ms": 4000, "retransmit-ms": 1300,
}
HEARTBEAT_S = 1.5
STOP_S = BOUNDS["stop-ms"] / 1000
RETRANSMIT_S = BOUNDS["retransmit-ms"] / 1000
CONFIG_APPLY_S = BOUNDS["config-apply-ms"] / 1000
CANCEL_S = BOUNDS["cancel_ms"] / 1000


class CannotRun(Exception):
    """The case could not be played; run.sh exits with 2."""


# --- HTTP ---------------------------------------------------------------------------------------


async def read_message(reader):
    """Reads one HTTP message. Returns its first line, headers and body, or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
            body += chunk
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


async def serve_http(address, port, handler):
    """Serves HTTP/1.1. `handler` gets method, path, headers and body, and returns status and body
    bytes, or None to leave the call without an answer."""

    async def connection(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                answer = await handler(method, path, headers, body)
                if answer is None:
                    # The call gets no answer. The connection stays open until its caller gives up.
                    await reader.read()
                    return
                status, payload = answer
                head = (f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                        f"Content-Length: {len(payload)}\r\n\r\n")
                writer.write(head.encode() + payload)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, ValueError):
            # The caller is gone, or the script ends.
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, address, port)


async def call(address, port, method, path, body=None, headers=None, timeout=2.0, reset=False):
    """Makes one call on a new connection. Returns status and body; (None, cause) without an answer
    in time. The connection is then closed, or reset if `reset`."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(address, port)
            payload = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{k}: {v}" for k, v in {"Host": HOST, **(headers or {})}.items()]
            if payload:
                lines.append("Content-Type: application/json")
            lines.append(f"Content-Length: {len(payload)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + payload)
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), answer
    except TimeoutError:
        if reset and writer is not None:
            # Closing with a linger time of zero sends a reset.
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            return None, b"connection reset"
        return None, b"no answer in time"
    except (OSError, asyncio.IncompleteReadError) as e:
        return None, f"connection broken: {type(e).__name__}".encode()
    finally:
        if writer is not None:
            writer.close()


# --- The platform's store -----------------------------------------------------------------------


class Store:
    """The keyed topics of the platform's store, as far as the project uses them."""

    def __init__(self, world):
        self.world = world
        self.topics = {}
        self.changed = asyncio.Condition()

    async def append(self, topic, key, value):
        async with self.changed:
            self.topics.setdefault(topic, []).append((key, value))
            self.changed.notify_all()

    async def put_config(self, config):
        await self.append("keyed.op", b"config", json.dumps(config).encode())
        self.world.log("operator", f"configuration {config['version']} acknowledged: "
                       + ", ".join(f"{r['path-prefix']}->{r['service']}" for r in config["routes"]))
        return self.world.now()

    async def handle(self, method, path, _headers, body):
        path, _, query = path.partition("?")
        query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        topic = query.get("topic", "")
        records = self.topics.get(topic, [])
        if path == "/-/log-append":
            while body:
                size = int.from_bytes(body[:4], "big")
                record, body = body[4:4 + size], body[4 + size:]
                key = record[1:1 + record[0]]
                await self.append(topic, key, record[1 + record[0]:])
            end = len(self.topics.get(topic, []))
            return 200, json.dumps({"offset": end - 1, "end": end}).encode()
        if path == "/-/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest.pop(key, None)
                if value:
                    newest[key] = (value, offset)
            items = [{"key": k.decode(), "value": base64.b64encode(v).decode(), "offset": o}
                     for k, (v, o) in newest.items()]
            page = {"items": items, "has-more": False, "end": len(records)}
            return 200, json.dumps(page).encode()
        if path == "/-/log-read":
            start = int(query["from"])
            wait = int(query.get("wait-ms", "0")) / 1000
            try:
                async with asyncio.timeout(wait):
                    async with self.changed:
                        await self.changed.wait_for(
                            lambda: len(self.topics.get(topic, [])) > start)
            except TimeoutError:
                pass
            records = self.topics.get(topic, [])
            answer = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
            for key, value in records[start:]:
                record = bytes([len(key)]) + key + value
                answer += len(record).to_bytes(4, "big") + record
            return 200, answer
        return 404, b""


# --- Workers ------------------------------------------------------------------------------------


class Run:
    def __init__(self, worker, task, run, began):
        self.worker, self.task, self.run, self.began = worker, task, run, began
        self.ended = None
        self.how = None
        self.stop_at = None

    def __str__(self):
        end = "still running" if self.ended is None else f"until {self.ended:.3f} ({self.how})"
        return f"{self.task} run {self.run} at {self.worker.name} from {self.began:.3f} {end}"


class Worker:
    """A worker that follows PROTOCOL.md, "Running tasks". `spec` of a job holds the work of each of
    its tasks in milliseconds."""

    def __init__(self, world, index, service, cpu=8000):
        self.world, self.index, self.service = world, index, service
        self.name = f"worker-{index}"
        self.ip = world.side_ip(index)
        self.cpu = cpu
        self.labels = ["a", f"r{index}-1"]
        self.lives = 0
        self.is_up = False
        self.all_runs = []
        self.server = None
        self.tasks = []
        # Share of the calls to a path that get no answer and are carried out late.
        self.late = {}
        # Bounds of the delay of such a call, in seconds.
        self.late_by_s = (2.0, 2.0)

    async def start(self):
        self.lives += 1
        self.id = f"i-{self.index:04x}{self.lives:04x}"
        self.origin = self.world.now()
        self.token = 0
        self.until = 0
        self.running = {}
        self.highest = {}
        self.ends = []
        self.next_end = 1
        self.sequence = 0
        self.state = "ready"
        self.is_up = True
        self.server = await serve_http(self.ip, APP_PORT, self.handle)
        self.tasks = [asyncio.create_task(self.beat_forever()),
                      asyncio.create_task(self.advance_forever())]
        self.world.log(self.name, f"starts as {self.id}, service {self.service}")

    def crash(self):
        """The worker dies, as by a loss of power: it says nothing, and all that it ran is over."""
        self.advance()
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        for run in self.running.values():
            run.ended, run.how = self.world.now(), "worker died"
        self.running = {}
        self.server.close()
        self.world.log(self.name, "dies")

    def clock(self):
        return (self.world.now() - self.origin) * 1000

    def report(self):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.ip}:{APP_PORT}", "zone": "z1",
                "version": "v1", "slots": 8, "state": self.state, "cold-remaining-ms": 0,
                "capacity": {"cpu": self.cpu, "mem-mb": 32768, "gpu": 0}, "labels": self.labels,
                "clock-ms": int(self.clock()), "sequence": self.sequence}

    async def beat_once(self):
        path = f"/-/instances/{self.id}/heartbeat"
        return await call(self.ip, CONTROL_PORT, "POST", path, self.report(), timeout=1.0)

    async def beat_forever(self):
        while True:
            await self.beat_once()
            await asyncio.sleep(HEARTBEAT_S)

    async def advance_forever(self):
        while True:
            self.advance()
            await asyncio.sleep(0.002)

    def end(self, key, how, at):
        run = self.running.pop(key)
        run.ended, run.how = at, how
        self.ends.append([self.next_end, run.task, run.run, how, ""])
        self.next_end += 1
        self.world.log(self.name, f"run over: {run}")

    def advance(self):
        now = self.world.now()
        lapse = self.origin + self.until / 1000
        for key, run in list(self.running.items()):
            if lapse <= now and lapse <= run.done_at and (run.stop_at is None or lapse <= run.stop_at):
                self.end(key, "lapsed", lapse)
            elif run.stop_at is not None and run.stop_at <= now:
                self.end(key, "stopped", run.stop_at)
            elif run.done_at <= now:
                self.end(key, "done", run.done_at)

    def extend(self, until):
        limit = self.clock() + BOUNDS["max-hold-ms"]
        self.until = max(self.until, min(until, limit))

    async def handle(self, method, path, headers, body):
        if not self.is_up:
            return None
        if method == "GET":
            return 200, b"{}"
        expected = headers.get("x-trestleknot-expect-instance")
        order = json.loads(body)
        if random.random() < self.late.get(path, 0.0):
            delay = random.uniform(*self.late_by_s)
            run = f" of {order['task']} run {order['run']}" if "task" in order else ""
            self.world.log(self.name, f"leaves {path}{run} unanswered, carries it out "
                           f"{delay:.1f} s later")
            asyncio.create_task(self.carry_out_late(delay, path, expected, order))
            return None
        if expected is not None and expected != self.id:
            return 421, b""
        status, answer = await self.carry_out(path, order)
        answer["clock-ms"] = int(self.clock())
        return status, json.dumps(answer).encode()

    async def carry_out_late(self, delay, path, expected, order):
        await asyncio.sleep(delay)
        if self.is_up and (expected is None or expected == self.id):
            await self.carry_out(path, order)

    async def carry_out(self, path, order):
        self.advance()
        token = order.get("fencing-token", 0)
        if token < self.token:
            return 409, {"reason": "fence"}
        self.token = token
        if path == "/-/run-start":
            return self.start_run(order)
        if path == "/-/run-stop":
            return self.stop_run(order)
        if path == "/-/hold":
            return await self.hold(order)
        return 404, {}

    def start_run(self, order):
        task, number = order["task"], order["run"]
        if (task, number) in self.running:
            self.extend(order["until-ms"])
            return 200, {}
        if self.highest.get(task, 0) >= number:
            self.extend(order["until-ms"])
            return 409, {"reason": "old"}
        if order["until-ms"] <= self.clock():
            return 409, {"reason": "late"}
        self.extend(order["until-ms"])
        self.highest[task] = number
        run = Run(self, task, number, self.world.now())
        run.done_at = run.began + int(order["spec"].split()[0]) / 1000
        run.spec = order["spec"]
        self.running[(task, number)] = run
        self.all_runs.append(run)
        self.world.log(self.name, f"starts {task} run {number}")
        return 200, {}

    def stop_run(self, order):
        task, number = order["task"], order["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get((task, number))
        if run is not None and run.stop_at is None:
            run.stop_at = self.world.now() + STOP_S * 0.6
            self.world.log(self.name, f"told to stop {task} run {number}")
        return 200, {}

    async def hold(self, order):
        if "until-ms" in order:
            self.extend(order["until-ms"])
        seen = order.get("last-seen", 0)
        self.ends = [e for e in self.ends if e[0] > seen]
        until = self.world.now() + order.get("wait-ms", 0) / 1000
        while not self.ends and self.world.now() < until and self.is_up:
            await asyncio.sleep(0.002)
            self.advance()
        now = self.world.now()
        running = [[r.task, r.run, "", min(99, int(100 * (now - r.began) / (r.done_at - r.began))), 0]
                   for r in self.running.values()]
        return 200, {"running": running, "ended": self.ends[:500]}


# --- Processes of the project -------------------------------------------------------------------


class Process:
    """An entry or an agent, started with the command of the deploy file."""

    def __init__(self, world, name, role, command, settings):
        self.world, self.name, self.role, self.command = world, name, role, command
        self.settings = os.path.join(world.folder, f"{name}.yaml")
        with open(self.settings, "w") as f:
            f.write(settings)
        self.child = None

    def start(self):
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["TRESTLEKNOT_CONFIG"] = self.settings
        self.child = subprocess.Popen(self.command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                      stdout=log, stderr=log)
        self.world.log(self.name, f"started: {' '.join(self.command)}")

    def signal(self, number):
        self.world.log(self.name, f"gets {signal.Signals(number).name}")
        self.child.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.child.wait()


class World:
    """A small deployment on loopback addresses."""

    def __init__(self, record):
        self.record = open(record, "w")
        self.folder = tempfile.mkdtemp(prefix="trestleknot-review-")
        self.origin = time.monotonic()
        self.network = self.find_network()
        self.workers, self.fronts, self.sides = [], [], []
        # Consecutive readiness probes that each entry has missed.
        self.misses = [0] * 3
        self.next_probe = 0.0

    def now(self):
        return time.monotonic() - self.origin

    def log(self, who, what):
        self.record.write(f"{self.now():8.3f} {who}: {what}\n")
        self.record.flush()

    def ip(self, host):
        return f"127.{self.network[0]}.{self.network[1]}.{host}"

    def front_ip(self, index):
        return self.ip(10 + index)

    def side_ip(self, index):
        return self.ip(50 + index)

    def find_network(self):
        """Finds a loopback network on which no port of this deployment is in use."""
        for _ in range(50):
            self.network = (random.randint(20, 250), random.randint(1, 250))
            wanted = [(self.ip(2), STORE_PORT)]
            wanted += [(self.front_ip(i), p) for i in range(3)
                       for p in (FRONT_PORT, READY_PORT, FIRST_LINK_PORT, 9464)]
            wanted += [(self.side_ip(i), p) for i in range(11)
                       for p in (CONTROL_PORT, APP_PORT, 9464)]
            try:
                for address in wanted:
                    with socket.socket() as s:
                        s.bind(address)
                return self.network
            except OSError:
                continue
        raise CannotRun("no free loopback network")

    def settings(self, name, ip, machine_class, serves, listen, limits, more):
        seeds = "".join(f'  - "{self.front_ip(i)}:{CONTROL_PORT}"\n' for i in range(self.front_count))
        bounds = "".join(f"  {k}: {str(v).lower()}\n" for k, v in BOUNDS.items())
        return (
            f'node: "{name}"\nrole: "{serves}"\nmachine-class: "{machine_class}"\n'
            f'serves:\n  - "{machine_class}"\nip: "{ip}"\nzone: "z1"\nregion: "r1"\n'
            f'zones:\n  z1: "r1"\nlisten-addrs:\n'
            + "".join(f'  {k}: "{ip}:{p}"\n' for k, p in listen.items())
            + f"port-range:\n  - {FIRST_LINK_PORT}\n  - {LAST_LINK_PORT}\nseeds:\n{seeds}"
            f"bootstrap: true\nin-tolerance: false\nlimits:\n  cpu-share: {limits[0]}\n  cores: 1\n"
            f"  memory-mb: {limits[1]}\n  max-fds: 4096\n  link-mbps: 1000.0\n  disk-mb: 0\n"
            f'data-dir: null\ndiscovery: "local"\nentry: "vip"\nheartbeat-ms: 1500\n'
            f"bounds:\n{bounds}orders: \"dispatch\"\n"
            f'platform:\n  address: "{self.ip(2)}:{STORE_PORT}"\n  form: "log"\n'
            f"  writes-per-s: 800\n  reads-per-s: 2000\n  parts: 12\n" + more)

    async def start(self, fronts, services, config, cpu=8000):
        """Starts the store, `fronts` entries and a worker with its agent for each of `services`."""
        if not os.path.exists(os.path.join(ROOT, PROGRAM)):
            raise CannotRun(f"{PROGRAM} is not built")
        self.front_count = fronts
        self.store = Store(self)
        self.store_server = await serve_http(self.ip(2), STORE_PORT, self.store.handle)
        await self.store.put_config(config)
        for index in range(fronts):
            name, ip = f"front-z1-{index + 1}", self.front_ip(index)
            listen = {"front": FRONT_PORT, "ready": READY_PORT, "control": CONTROL_PORT}
            text = self.settings(name, ip, "front", "entry", listen, (0.25, 260), "")
            self.fronts.append(Process(self, name, "entry", [PROGRAM, "serve-entry"], text))
        for index, service in enumerate(services):
            worker = Worker(self, index, service, cpu)
            self.workers.append(worker)
            name, ip = f"side-z1-{index + 1}", self.side_ip(index)
            text = self.settings(name, ip, "side", "agent", {"control": CONTROL_PORT}, (0.15, 128),
                                 f'app: "{ip}:{APP_PORT}"\nservice: "{service}"\n')
            self.sides.append(Process(self, name, "agent", [PROGRAM, "serve-agent"], text))
        # The machines start within 0.3 s of each other.
        for process in self.fronts + self.sides:
            process.start()
        await asyncio.sleep(0.3)
        for worker in self.workers:
            await worker.start()
        for index in range(fronts):
            await self.await_ready(index)
        await asyncio.sleep(1.0)

    async def await_ready(self, index):
        for _ in range(200):
            status, _ = await call(self.front_ip(index), READY_PORT, "GET", "/-/ready", timeout=0.5)
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.fronts[index].name} does not become ready")

    async def post(self, front, prefix, job, steps, work_ms, patience_s, reset_after=None):
        """A client hands a job in at an entry and waits for its answer. With `reset_after` its
        connection is reset after that time. Returns the status, or none without an answer."""
        body = {"spec": str(work_ms), "steps": steps, "best-effort": True}
        headers = {"X-Trestleknot-Deadline": int(patience_s * 1000), "request-id": f"c{job}"}
        wait = patience_s if reset_after is None else min(patience_s, reset_after)
        self.log("client", f"POST {prefix}{job} to {self.fronts[front].name}, "
                 f"patience {patience_s:.2f} s")
        status, answer = await call(self.front_ip(front), FRONT_PORT, "POST", prefix + job, body,
                                    headers, timeout=wait, reset=reset_after is not None)
        self.log("client", f"POST {prefix}{job}: {status} {answer.decode(errors='replace')}")
        return status

    async def cancel(self, front, prefix, job):
        """A client cancels a job on a new connection."""
        self.log("client", f"DELETE {prefix}{job} to {self.fronts[front].name}")
        status, answer = await call(self.front_ip(front), FRONT_PORT, "DELETE", prefix + job)
        self.log("client", f"DELETE {prefix}{job}: {status} {answer.decode(errors='replace')}")
        return status, answer

    def is_in(self, front):
        """Whether the platform passes new connections to an entry."""
        return self.misses[front] < 2

    async def balance(self):
        """Asks each entry every second whether it is ready, as the platform does (PROTOCOL.md,
        "Ingress"). One that misses twice gets no new connections until it answers 200 again."""
        while True:
            for index in range(len(self.fronts)):
                status, _ = await call(self.front_ip(index), READY_PORT, "GET", "/-/ready",
                                       timeout=0.4)
                was_in = self.is_in(index)
                self.misses[index] = 0 if status == 200 else self.misses[index] + 1
                if was_in and not self.is_in(index):
                    self.log("platform", f"{self.fronts[index].name} gets no new connections")
            self.next_probe = self.now() + 1.0
            await asyncio.sleep(1.0)

    def all_runs(self):
        runs = [run for worker in self.workers for run in worker.all_runs]
        return sorted(runs, key=lambda run: run.began)

    def overlaps(self):
        """Pairs of runs of one task that went at the same time, with the length of the overlap."""
        found = []
        runs = self.all_runs()
        for i, a in enumerate(runs):
            for b in runs[i + 1:]:
                if a.task != b.task:
                    continue
                end_a = self.now() if a.ended is None else a.ended
                end_b = self.now() if b.ended is None else b.ended
                overlap = min(end_a, end_b) - max(a.began, b.began)
                if overlap > 0:
                    found.append((a, b, overlap))
        return found

    def finish(self):
        for process in self.fronts + self.sides:
            if process.child is not None and process.child.poll() is None:
                process.child.send_signal(signal.SIGCONT)
                process.child.kill()
                process.child.wait()
        for worker in self.workers:
            worker.advance()
        self.log("script", "all processes ended")
        if os.environ.get("KEEP_LOGS"):
            print(f"logs of the processes: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def config(version, routes):
    """A configuration; `routes` are pairs of path prefix and service."""
    services = sorted({service for _, service in routes})
    return {
        "version": version,
        "routes": [{"name": f"r-{i}", "host": HOST, "path-prefix": prefix,
                    "kind": "non_idempotent", "timeout-ms": 1500, "target-latency-ms": 60,
                    "priority": 0, "service": service, "max-attempts": 3, "stretch": 1.6}
                   for i, (prefix, service) in enumerate(routes)],
        "services": [{"name": name, "health-path": "/health", "max-conns": 64, "protocol": "h1",
                      "tls": False, "admission-check": False, "headroom": False}
                     for name in services],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    }


def play(script, case):
    """Plays a case: `case(world)` returns a list of texts, one for each breach of the rule."""
    record = os.path.join(os.path.dirname(os.path.abspath(script)), "record.txt")
    # A script that is ended from outside still ends its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    world = None
    try:
        world = World(record)
        breaches = asyncio.run(asyncio.wait_for(case(world), 110))
        for breach in breaches:
            world.log("script", f"RULE BROKEN: {breach}")
            print(f"rule broken: {breach}")
        if not breaches:
            world.log("script", "rule held")
            print("rule held")
        status = 1 if breaches else 0
    except (CannotRun, OSError, TimeoutError) as e:
        print(f"the case could not run: {e!r}")
        status = 2
    finally:
        if world is not None:
            world.finish()
    sys.exit(status)
