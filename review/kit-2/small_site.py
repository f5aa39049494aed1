"""A small deployment on loopback: stand-ins of the platform's store, its machine service, the workers and
their clients, and the project's own daemons as separate processes.

The stand-ins do what the users' pages say and nothing else. They need the standard library only.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "release", "bronzetack")
HOST = "jobs.example"
KEY = "key-1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of the small deployment, those of the users' page on the pre-order cluster.
BOUNDS = {
    "max-hold": "6000ms", "stop-grace": "900ms", "reclaim": "3400ms", "config-apply": "2000ms",
    "drain": "2000ms", "evacuate": "5000ms", "cancel": "3000ms", "stop": "6s", "status": "120s",
    "remote-factor": "3", "pace": "100ms", "harm": "4000ms", "upkeep": "2s", "handover": "3000ms",
    "heartbeat": "1500ms",
}


def now():
    """Steady time in seconds."""
    return time.monotonic()


def unix_ms():
    return int(time.time() * 1000)


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = now()

    def __call__(self, text):
        self.file.write(f"{now() - self.start:9.3f} {text}\n")
        self.file.flush()


TAKEN = set()


def free_port():
    """A port that is free on loopback now, below those that the system gives to outgoing connections."""
    while True:
        port = random.SystemRandom().randrange(10_000, 32_000)
        if port in TAKEN:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        TAKEN.add(port)
        return port


# HTTP


class Reply(Exception):
    """Answers a request with a status and a body."""

    def __init__(self, status, body=None):
        super().__init__(status)
        self.status = status
        self.body = body


class Silence(Exception):
    """Leaves a request without an answer; its connection returns nothing further."""


class Server:
    """An HTTP/1.1 server. `handle(method, path, query, headers, body)` returns a body or raises Reply."""

    def __init__(self, handle, port=None):
        self.handle = handle
        self.port = port or free_port()
        self.server = None
        self.writers = set()
        self.tasks = set()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def open(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=1 << 24, reuse_address=True)

    def crash(self):
        """Closes the port and resets all connections, as the end of a process does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.writers.add(writer)
        self.tasks.add(task)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                try:
                    status, answer = 200, await self.handle(method, url.path, query, headers, body)
                except Reply as reply:
                    status, answer = reply.status, reply.body
                except Silence:
                    await asyncio.sleep(3600)
                data = b"" if answer is None else json.dumps(answer, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.transport.abort()


async def request(port, method, path, body=None, headers=None, timeout=3.0):
    """Sends one request on a connection of its own. Returns the status and the JSON body; the status is None
    without an answer."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 24)
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(data)}"]
        lines += ["Content-Type: application/json"] if data else []
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
        head = await reader.readuntil(b"\r\n\r\n")
        text = head.decode("latin-1")
        status = int(text.split(" ", 2)[1])
        length = 0
        for line in text.split("\r\n")[1:]:
            if line.lower().startswith("content-length:"):
                length = int(line.split(":", 1)[1])
        got = await reader.readexactly(length)
        return status, json.loads(got) if got else None

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError, ValueError):
        return None, None
    finally:
        if writer is not None:
            writer.transport.abort()


# The platform's store


class Store:
    """The platform's store, held in memory. Each answer takes 4 ms."""

    def __init__(self, record):
        self.record = record
        self.rev = 1
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Condition()
        self.server = Server(self.handle)
        self.answer_time = 0.004
        # Called before each call of a daemon; may raise Reply or Silence.
        self.fault = None

    async def open(self):
        await self.server.open()
        self.reaper = asyncio.create_task(self.reap())

    async def reap(self):
        while True:
            await asyncio.sleep(0.02)
            for lease, (_, end) in list(self.leases.items()):
                if end <= now():
                    await self.end_lease(lease)

    async def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            await self.apply([], keys)

    async def apply(self, puts, removes):
        self.rev += 1
        for key, value, lease in puts:
            created = self.items[key]["created"] if key in self.items else self.rev
            item = {"key": key, "value": value, "revision": self.rev, "created": created, "lease": lease}
            self.items[key] = item
            self.events.append((self.rev, key, dict(item)))
        for key in removes:
            if self.items.pop(key, None) is not None:
                event = {"key": key, "revision": self.rev, "deleted": True}
                self.events.append((self.rev, key, event))
        async with self.changed:
            self.changed.notify_all()
        return self.rev

    async def write(self, key, value):
        """A write of an operator or a worker."""
        await self.apply([(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)], [])

    async def remove(self, key):
        """A removal by an operator, or the end of a worker's entry."""
        if key in self.items:
            await self.apply([], [key])

    def value(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(self.answer_time)
        if self.fault:
            await self.fault(method, path, query, body)
        if path == "/-/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                raise Reply(404)
            return {**item, "current-rev": self.rev}
        if path == "/-/kv-range":
            return self.page(query["path-prefix"], query.get("after", ""))
        if path == "/-/kv-watch":
            return await self.watch(query["path-prefix"], int(query["after"]), int(query["wait-ms"]))
        if path == "/-/kv-txn":
            return await self.txn(json.loads(body))
        if path == "/-/kv-lease":
            ttl = max(json.loads(body)["ttl-ms"], 1000)
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (ttl, now() + ttl / 1000)
            return {"lease": lease, "ttl-ms": ttl}
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                raise Reply(404)
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl / 1000)
            return {"lease": lease, "ttl-ms": ttl}
        if path.startswith("/-/kv-lease-end/"):
            await self.end_lease(int(path.rsplit("/", 1)[1]))
            return {}
        raise Reply(404)

    def page(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page, size = [], 0
        for key in keys:
            item = self.items[key]
            size += len(item["value"]) + len(key) + 100
            if page and (len(page) >= 500 or size > 1_000_000):
                return {"items": page, "has-more": True, "current-rev": self.rev}
            page.append(item)
        return {"items": page, "has-more": False, "current-rev": self.rev}

    async def watch(self, prefix, after, wait_ms):
        end = now() + wait_ms / 1000
        while True:
            found = []
            for rev, key, event in reversed(self.events):
                if rev <= after:
                    break
                if key.startswith(prefix):
                    found.append(event)
            left = end - now()
            if found or left <= 0:
                return {"events": found[::-1], "current-rev": self.rev}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def txn(self, txn):
        rows = txn.get("precondition", [])
        for row in rows:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                items = [self.items[r["key"]] for r in rows if r["key"] in self.items]
                raise Reply(412, {"items": items, "current-rev": self.rev})
        puts = [(p["key"], p["value"], p.get("lease", 0)) for p in txn.get("puts", [])]
        for key, _, lease in puts:
            if key.startswith(("op/", "servers/")):
                raise Reply(403)
            if lease and lease not in self.leases:
                raise Reply(404)
        rev = await self.apply(puts, txn.get("remove", []))
        return {"revision": rev}


# Workers


class Worker:
    """A worker that guards nothing but its fence, its lease and its runs."""

    def __init__(self, site, num, zone="z1", rack="r1-1", kind="a", gpus=8, cpu=32_000, mem=131_072):
        self.site = site
        self.id = f"i-{num:04d}"
        self.machine = f"m-{num:04d}"
        self.zone, self.rack = zone, rack
        self.kind, self.gpus, self.cpu, self.mem = kind, gpus, cpu, mem
        self.server = Server(self.handle)
        self.up = False
        self.state = "ready"
        self.beating = True
        self.reset()

    def reset(self):
        self.born = unix_ms()
        self.begun = now()
        self.fence = 0
        self.deadline = 0
        self.running = {}
        self.finished = []
        self.next_end = 1
        self.refused = {}
        self.seq = 0
        self.wake = asyncio.Event()

    def clock(self):
        return int((now() - self.begun) * 1000)

    def entry(self):
        self.seq += 1
        return {
            "service": "pool", "address": self.server.address, "zone": self.zone, "version": "v1",
            "slots": 8, "state": self.state, "cold-remaining-ms": 0, "sequence": self.seq,
            "capacity": {"cpu": self.cpu, "mem-mb": self.mem, "gpus": self.gpus},
            "labels": [self.kind, self.rack], "born": self.born, "machine": self.machine,
        }

    async def register(self):
        await self.site.store.write(f"servers/{self.id}", self.entry())

    async def start(self, register=True):
        """Starts an incarnation. It writes its entry at once, unless that is left to the caller, and then
        each heartbeat."""
        self.reset()
        self.up = True
        await self.server.open()
        self.site.record(
            f"worker {self.id} up: born {self.born}, kind {self.kind}, {self.gpus} gpus, rack {self.rack}")
        if register:
            await self.register()
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]

    def crash(self):
        """Ends the process at once: what runs on it ends, and nothing is said."""
        self.site.record(f"worker {self.id} down: {len(self.running)} runs end with it")
        for run in self.running.values():
            self.site.note_end(self, run, "crashed")
        self.up = False
        self.running = {}
        for task in self.tasks:
            task.cancel()
        self.server.crash()

    async def beat(self):
        while True:
            await asyncio.sleep(1.5)
            if self.beating:
                await self.register()

    async def work(self):
        while True:
            await asyncio.sleep(0.01)
            if self.running and self.clock() > self.deadline:
                for key in list(self.running):
                    self.end(key, "lapsed")
            for key, run in list(self.running.items()):
                if run["ends"] is not None and now() >= run["ends"] and key in self.running:
                    self.end(key, run["how"])

    def end(self, key, how):
        run = self.running.pop(key)
        self.site.note_end(self, run, how)
        self.finished.append([self.next_end, run["task"], run["run"], how, run["saved"]])
        self.next_end += 1
        self.refused[run["task"]] = max(self.refused.get(run["task"], 0), run["run"])
        self.wake.set()

    def checkpoint(self, run):
        return run["saved"]

    async def handle(self, method, path, query, headers, body):
        expected = headers.get("x-bronzetack-expected-instance")
        if expected is not None and expected != self.id:
            raise Reply(421)
        order = json.loads(body) if body else {}
        answer = {"clock-ms": self.clock(), "born": self.born}
        if order.get("fencing-token", 0) < self.fence:
            raise Reply(409, {**answer, "reason": "fence"})
        self.fence = max(self.fence, order.get("fencing-token", 0))
        if path == "/-/run-start":
            return self.start_run(order, answer)
        if path == "/-/run-stop":
            task, run = order["task"], order["run"]
            self.site.record(f"worker {self.id}: stop {task} run {run}")
            self.refused[task] = max(self.refused.get(task, 0), run)
            key = (task, run)
            if key in self.running:
                self.running[key]["ends"] = min(
                    self.running[key]["ends"] or 1e18, now() + 0.3)
                self.running[key]["how"] = "stopped"
            return answer
        if path == "/-/pace":
            return answer
        if path == "/-/hold":
            return await self.hold(order)
        raise Reply(404)

    def start_run(self, order, answer):
        task, run = order["task"], order["run"]
        if order["deadline-ms"] < self.clock():
            raise Reply(409, {**answer, "reason": "late"})
        self.deadline = max(self.deadline, min(order["deadline-ms"], self.clock() + 6000))
        if (task, run) in self.running:
            return answer
        if run <= self.refused.get(task, 0):
            raise Reply(409, {**answer, "reason": "old"})
        took, how = self.site.behaviour(self, task, run)
        self.running[(task, run)] = {
            "task": task, "run": run, "saved": order.get("checkpoint", ""), "begun": now(),
            "ends": None if took is None else now() + took, "how": how, "took": took,
            "checkpoint": order.get("checkpoint", ""),
        }
        self.site.note_start(self, order)
        return answer

    def percent(self, run):
        if run["took"] is None:
            return 100
        return min(99, int((now() - run["begun"]) / max(run["took"], 0.001) * 100))

    async def hold(self, order):
        if "deadline-ms" in order:
            self.deadline = max(self.deadline, min(order["deadline-ms"], self.clock() + 6000))
        self.finished = [e for e in self.finished if e[0] > order.get("ack-cursor", 0)]
        self.site.note_ack(self, order.get("ack-cursor", 0))
        end = now() + min(order.get("wait-ms", 0), 2000) / 1000
        while not self.finished and now() < end:
            self.wake.clear()
            try:
                await asyncio.wait_for(self.wake.wait(), max(end - now(), 0.001))
            except asyncio.TimeoutError:
                pass
        running = [[r["task"], r["run"], r["saved"], self.percent(r), 0] for r in self.running.values()]
        return {
            "clock-ms": self.clock(), "born": self.born, "running": running,
            "finished": self.finished[:500],
        }


# Daemons


class Daemon:
    """A daemon, started with the command of the deploy file."""

    def __init__(self, site, name, zone):
        self.site, self.name, self.zone = site, name, zone
        self.callers, self.ready, self.operators, self.links = (free_port() for _ in range(4))
        self.process = None
        self.file = os.path.join(site.folder, f"{name}.json")
        settings = {
            "vm": name, "domain": zone,
            "addresses": {
                "callers": f"127.0.0.1:{self.callers}", "ready": f"127.0.0.1:{self.ready}",
                "links": f"127.0.0.1:{self.links}", "operators": f"127.0.0.1:{self.operators}",
            },
            "resources": {"bandwidth": "1000.0", "memory": "260", "cores": "0.25"},
            "store": {
                "min-ttl": "1000ms", "writes": "400", "value": "1048576",
                "address": site.store.server.address,
            },
            "machines": {"orders": "60.0", "reads": "60.0", "address": site.cloud.server.address},
            "bounds": BOUNDS,
        }
        with open(self.file, "w") as out:
            json.dump(settings, out)

    async def start(self):
        log = open(os.path.join(self.site.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            DAEMON, "batch", "--settings", self.file, stdout=log, stderr=log, cwd=ROOT)
        log.close()
        self.site.record(f"daemon {self.name} started")

    def signal(self, number):
        self.site.record(f"daemon {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def wait_ready(self, timeout=10):
        end = now() + timeout
        while now() < end:
            status, _ = await request(self.ready, "GET", "/-/readyz", timeout=0.5)
            if status == 200:
                return True
            await asyncio.sleep(0.05)
        return False

    async def close(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Cloud:
    """The platform's machine service."""

    def __init__(self, site):
        self.site = site
        self.server = Server(self.handle)
        # Called before each call; may raise Reply or Silence.
        self.fault = None
        self.done = set()
        self.upkeep = {}

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(0.004)
        if self.fault:
            await self.fault(method, path, body)
        if path == "/-/machines":
            rows = []
            for worker in self.site.workers:
                state = "upkeep" if worker.machine in self.upkeep else "up" if worker.up else "down"
                row = {
                    "machine": worker.machine, "pool": "pool", "state": state, "zone": worker.zone,
                    "labels": [worker.kind, worker.rack],
                    "capacity": {"cpu": worker.cpu, "mem-mb": worker.mem, "gpus": worker.gpus},
                }
                if state == "up":
                    row["id"] = worker.id
                rows.append(row)
            return {"machines": rows, "next-page-token": ""}
        if path == "/-/machine-upkeep":
            order = json.loads(body)
            return await self.begin(order, headers)
        raise Reply(404)

    async def begin(self, order, headers):
        machine, wave = order["machine"], order["wave"]
        worker = next((w for w in self.site.workers if w.machine == machine), None)
        self.site.record(
            f"upkeep of {machine} wave {wave} by {headers.get('x-bronzetack-duty-holder')} "
            f"token {headers.get('x-bronzetack-fencing-token')}")
        if worker is None:
            raise Reply(400)
        if (machine, wave) in self.done:
            return {}
        if not worker.up:
            raise Reply(409, {"reason": "busy"})
        self.done.add((machine, wave))
        self.site.note_upkeep(worker, wave)
        self.upkeep[machine] = now()
        worker.crash()
        await self.site.store.remove(f"servers/{worker.id}")
        asyncio.create_task(self.finish(worker))
        return {}

    async def finish(self, worker):
        await asyncio.sleep(2.0)
        self.upkeep.pop(worker.machine, None)
        worker.id = worker.id + "n"
        await worker.start()


# The whole site


class Site:
    """A deployment with its stand-ins. `behaviour(worker, task, run)` tells how long a run takes (None for
    one that lasts) and how it ends."""

    def __init__(self, record, behaviour):
        self.record = record
        self.behaviour = behaviour
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(record)
        self.cloud = Cloud(self)
        self.workers = []
        self.daemons = []
        self.starts = []
        self.ends = []

    async def open(self, config, workers, daemons=2):
        await self.store.open()
        await self.cloud.server.open()
        await self.store.write("op/config", config)
        for worker in workers:
            self.workers.append(worker)
            await worker.start()
        for num in range(daemons):
            daemon = Daemon(self, f"edge-{num + 1}", f"z{num % 2 + 1}")
            self.daemons.append(daemon)
            await daemon.start()
        for daemon in self.daemons:
            if not await daemon.wait_ready():
                raise RuntimeError(f"{daemon.name} is not ready")

    def note_start(self, worker, order):
        self.starts.append((now(), worker, worker.born, order))
        saved = order.get("checkpoint", "")
        self.record(
            f"worker {worker.id} (kind {worker.kind}, {worker.gpus} gpus) starts {order['task']} "
            f"run {order['run']} token {order['fencing-token']}" + (f" checkpoint {saved}" if saved else ""))

    def note_end(self, worker, run, how):
        self.ends.append((now(), worker, run, how))
        self.record(f"worker {worker.id}: {run['task']} run {run['run']} ends: {how}")

    def note_ack(self, worker, cursor):
        pass

    def note_upkeep(self, worker, wave):
        pass

    def coordinator(self):
        """The daemon that holds the lock, by its name in the lock's value."""
        value = self.store.value("bronzetack/lock") or b""
        found = [d for d in self.daemons if d.name.encode() in value]
        return found[0] if found else None

    async def submit(self, daemon, queue, job, steps, spec="x", **more):
        """Hands a job in as a client does: again at any daemon after no answer, 502 or 504."""
        headers = {"Authorization": f"Token {KEY}", "X-Bronzetack-Deadline-Ms": "3000"}
        body = {"spec": spec, "steps": steps, **more}
        status, _ = await request(daemon.callers, "POST", f"/{queue}/{job}", body, headers)
        self.record(f"client: POST {queue}/{job} at {daemon.name}: {status}")
        return status

    async def look(self, daemon, queue, job=""):
        headers = {"Authorization": f"Token {KEY}", "X-Bronzetack-Deadline-Ms": "3000"}
        return await request(daemon.callers, "GET", f"/{queue}/{job}", None, headers)

    async def cancel(self, daemon, queue, job):
        headers = {"Authorization": f"Token {KEY}", "X-Bronzetack-Deadline-Ms": "3000"}
        status, _ = await request(daemon.callers, "DELETE", f"/{queue}/{job}", None, headers)
        self.record(f"client: DELETE {queue}/{job} at {daemon.name}: {status}")
        return status

    async def state(self, queue, job, timeout=5.0):
        """State of a job from any daemon that answers."""
        end = now() + timeout
        while now() < end:
            for daemon in self.daemons:
                status, body = await self.look(daemon, queue, job)
                if status == 200:
                    self.record(f"client: GET {queue}/{job} at {daemon.name}: {body}")
                    return body.get("state")
                if status == 410:
                    self.record(f"client: GET {queue}/{job} at {daemon.name}: 410")
                    return "410"
            await asyncio.sleep(0.1)
        return None

    async def close(self):
        for daemon in self.daemons:
            await daemon.close()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def config(version=1, queues=None, guarantee=64):
    """A configuration with the queues `urgent` (priority 0), `day` (1) and `night` (2)."""
    queues = queues or {"urgent": 0, "day": 1, "night": 2}
    routes = [
        {
            "name": name, "host": HOST, "path-prefix": f"/{name}/", "service": "pool", "type": "jobs",
            "priority": priority, "max-attempts": 3, "stretch": 50.0, "target-latency-ms": 600_000,
            "public": False,
        }
        for name, priority in queues.items()
    ]
    return {
        "version": version, "routes": routes,
        "services": [{"name": "pool", "admission-check": False}],
        "tenants": [{"name": "t1", "api-keys": [KEY], "guaranteed-gpus": guarantee}],
        "limits": {"max-body-bytes": 262_144},
    }


def job_id():
    return f"{random.getrandbits(64):016x}"


def run(case):
    """Runs a case, a coroutine that takes the record. It returns whether the rule was kept, and what was seen;
    the script exits with 0 if it was kept, 1 if not and 2 if the case could not run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    record(f"trouble: {'on' if TROUBLE else 'off'}")
    try:
        kept, seen = asyncio.run(asyncio.wait_for(case(record), 115))
    except Exception as error:  # Whatever keeps the case from running is its result.
        record(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    record(f"{'kept' if kept else 'BROKEN'}: {seen}")
    print(f"{'kept' if kept else 'broken'}: {seen}")
    sys.exit(0 if kept else 1)
