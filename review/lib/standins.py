"""Stand-ins of the users' platform for the scripts of the review: store, targets, clients, daemons.

They follow PROTOCOL.md and DEPLOY.md. Everything listens on loopback addresses of one random
127.x.y.0/24 range, so several scripts can run at the same time.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = [os.path.join(ROOT, "target", "release", "oriolehoist"), "--platform"]
MAX_HOLD_MS = 10_000
# A script runs for 120 s at most.
LIMIT_S = 117


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.start = now()
        self.file = open(path, "w", buffering=1 << 16)

    def line(self, text):
        self.file.write(f"{now() - self.start:9.4f} {text}\n")

    def close(self):
        self.file.flush()
        self.file.close()


# --- HTTP/1.1 -----------------------------------------------------------------------------------


async def read_head(reader):
    """Returns the first line and the headers (names in lower case), or None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 500: "Internal Server Error", 503: "Service Unavailable",
           504: "Gateway Timeout"}


def encode_answer(status, headers=(), body=b""):
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers)
    head += f"Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


# --- The store ----------------------------------------------------------------------------------


class Store:
    """The platform's metadata store."""

    def __init__(self, address):
        self.address = address
        self.items = {}
        self.revision = 100
        self.history = []
        self.leases = {}
        self.next_lease = 700
        self.answer_s = 0.004
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 22)
        asyncio.get_running_loop().create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.005)
            self.expire_now()

    def expire_now(self):
        for lease in [l for l, (until, _) in self.leases.items() if until <= now()]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease and lease]:
            self.remove(key)

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0, revision=None):
        if revision is None:
            self.revision += 1
            revision = self.revision
        created = self.items[key]["created_rev"] if key in self.items else revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "rev": revision,
                "created_rev": created, "lease": lease}
        self.items[key] = item
        self.history.append((revision, key, item))
        self.notify()

    def remove(self, key, revision=None):
        if key not in self.items:
            return
        if revision is None:
            self.revision += 1
            revision = self.revision
        del self.items[key]
        self.history.append((revision, key, {"key": key, "rev": revision, "tombstone": True}))
        self.notify()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                await asyncio.sleep(self.answer_s)
                self.expire_now()
                status, value = await self.call(method, target, body)
                text = json.dumps(value).encode() if value is not None else b""
                answer = encode_answer(
                    status, [("Content-Type", "application/json"), ("Store-Era", "1")], text)
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(part.partition("=")[::2] for part in query.split("&") if part)
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, current_rev=self.revision)) if item else (404, None)
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"]) and k > query.get("after", ""))
            page = keys[:500]
            return 200, {"items": [self.items[k] for k in page],
                         "has_more": len(keys) > len(page), "current_rev": self.revision}
        if path == "/v1/kv-watch":
            after, until = int(query["after"]), now() + int(query["wait_ms"]) / 1000
            if after > self.revision:
                return 410, None
            while True:
                events = [event for revision, key, event in self.history
                          if revision > after and key.startswith(query["prefix"])]
                left = until - now()
                if events or left <= 0:
                    return 200, {"events": events, "current_rev": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/v1/kv-txn":
            return self.transact(json.loads(body))
        if path == "/v1/kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            self.next_lease += 1
            self.leases[self.next_lease] = (now() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        name, _, lease = path.rpartition("/")
        if name == "/v1/kv-keep":
            if int(lease) not in self.leases:
                return 404, None
            ttl = self.leases[int(lease)][1]
            self.leases[int(lease)] = (now() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        if name == "/v1/kv-lease-end" and method == "DELETE":
            self.end_lease(int(lease))
            return 200, {}
        return 404, None

    def transact(self, call):
        rows = call.get("expect", [])
        revision_of = lambda key: self.items[key]["rev"] if key in self.items else 0
        if any(revision_of(row["key"]) != row["rev"] for row in rows):
            return 412, {"items": [self.items.get(row["key"]) for row in rows]}
        puts, drops = call.get("puts", []), call.get("drop", [])
        for key in [put["key"] for put in puts] + drops:
            if key.startswith(("op/", "servers/")):
                return 403, None
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, None
        self.revision += 1
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0), self.revision)
        for key in drops:
            self.remove(key, self.revision)
        return 200, {"rev": self.revision}


# --- Targets ------------------------------------------------------------------------------------


class Run:
    """A request that a target has begun."""

    def __init__(self, target, request_id, method, path, key):
        self.target, self.request_id, self.method = target, request_id, method
        self.path, self.key = path, key
        self.began, self.ended = now(), None


class Target:
    """A target: runs requests for the keys that it holds, `slots` at a time."""

    def __init__(self, site, number, service, sharded, address):
        self.site, self.service, self.sharded, self.address = site, service, sharded, address
        self.id = f"i-{random.getrandbits(40):010x}"
        self.number, self.slots, self.queue = number, 6, 24
        self.work_ms = lambda method, path: 100.0
        self.seq = 0
        # Returns whether a second copy of the answer to a call of this kind comes late.
        self.sends_extra = lambda kind, status: False
        # Returns whether a grant gets no answer and is carried out 2 to 12 s later.
        self.delays_grant = lambda: False
        # Returns whether the answer to a call of this kind is lost on its way.
        self.loses_answer = lambda kind, request_id: False
        self.born = int(time.time() * 1000)
        self.fences = [0] * 65536
        # Until when each key is held, and until when it would have been without a release.
        self.until = [0.0] * 65536
        self.granted_until = [0.0] * 65536
        self.running = {}
        self.waiting = 0
        self.slot = asyncio.Semaphore(self.slots)
        self.idle_work = asyncio.Event()
        self.state = "ready"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 20)
        self.register()

    def register(self):
        self.seq += 1
        entry = {"service": self.service, "address": "%s:%d" % self.address, "zone": "malecon",
                 "version": "v1", "slots": self.slots, "state": self.state, "warmup_left_ms": 0,
                 "seq": self.seq, "born": self.born}
        self.site.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    def load(self):
        return f"{len(self.running)},{self.waiting},{self.slots}"

    def holds(self, key):
        return self.until[key] > now()

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        owed = []
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, path, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                kind = path.split("?")[0] if path.startswith("/v1/") or path == "/health" else "request"
                # A second answer to an earlier request arrives late: at the point where the next
                # response is expected.
                for extra, of in owed:
                    self.site.record.line(f"{self.id} sends a second answer to {of}, before that to "
                                          f"{head[1].get('x-request-id', kind)}")
                    writer.write(extra)
                owed.clear()
                if kind == "/v1/grant" and self.delays_grant():
                    # Gets no answer, and is carried out late. Its time counts from its arrival.
                    asyncio.create_task(self.grant_late(json.loads(body), peer, now()))
                    await reader.read(1)
                    return
                if kind == "/v1/grant":
                    answer = self.grant(json.loads(body), peer)
                elif kind == "/v1/release":
                    answer = await self.release(json.loads(body), peer)
                elif kind == "/health":
                    answer = (200, [], b"")
                else:
                    answer = await self.run(method, path, head[1], body, reader)
                if answer is None:
                    return
                status, headers, body = answer
                request_id = head[1].get("x-request-id")
                headers = headers + [("X-Instance-Id", self.id), ("X-Server-Load", self.load()),
                                     ("Keep-Alive", "timeout=10")]
                if request_id is not None:
                    headers.append(("X-Request-Id", request_id))
                encoded = encode_answer(status, headers, body)
                if self.loses_answer(kind, request_id):
                    self.site.record.line(f"{self.id} loses its answer {status} to {kind} {request_id}")
                    await reader.read(1)
                    return
                writer.write(encoded)
                await writer.drain()
                if self.sends_extra(kind, status):
                    owed.append((encoded, request_id or kind))
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def grant_late(self, order, peer, arrived):
        await asyncio.sleep(random.uniform(2, 12))
        self.grant(order, peer, arrived)

    def grant(self, order, peer, arrived=None):
        first, last, fence = order["from"], order["target"] + 1, order["fence"]
        if max(self.fences[first:last]) > fence:
            return 409, [], b""
        until = (arrived or now()) + min(order["hold_ms"], MAX_HOLD_MS) / 1000
        if until <= now():
            return 200, [], b""
        count = last - first
        self.fences[first:last] = [fence] * count
        self.until[first:last] = [until] * count
        self.granted_until[first:last] = [until] * count
        self.site.on_grant(self, first, last - 1, fence, peer)
        return 200, [], b""

    async def release(self, order, peer):
        first, last, fence = order["from"], order["target"], order["fence"]
        self.site.record.line(f"{self.id} is asked by {peer} to release {first}-{last} fence {fence}")
        for key in range(first, last + 1):
            if self.fences[key] <= fence:
                self.until[key] = 0.0
        while any(run.key is not None and first <= run.key <= last for run in self.running.values()):
            event = self.idle_work
            await event.wait()
        self.site.record.line(f"{self.id} answers the release of {first}-{last} fence {fence}")
        return 200, [("X-Handover", f"{random.getrandbits(64):016x}")], b""

    def work_ended(self):
        self.idle_work.set()
        self.idle_work = asyncio.Event()

    async def run(self, method, path, headers, body, reader):
        request_id, key = headers.get("x-request-id"), headers.get("x-shard-key")
        key = int(key) if key is not None else None
        not_run = [("X-Not-Executed", "1")]
        arrived = now()
        if request_id is None:
            return 400, not_run, b""
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, not_run, b""
        if self.sharded and (key is None or not self.holds(key)):
            self.site.record.line(f"{self.id} answers 421 to {request_id} key {key}")
            return 421, not_run, b""
        if self.waiting >= self.queue:
            return 503, not_run, b""
        deadline = arrived + int(headers.get("x-deadline-ms", "5000")) / 1000
        self.waiting += 1
        left = asyncio.ensure_future(self.until_left(reader))
        slot = asyncio.ensure_future(self.slot.acquire())
        try:
            await asyncio.wait({left, slot}, timeout=max(0, deadline - now()),
                               return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.waiting -= 1
        if not slot.done():
            slot.cancel()
            left_now = left.done()
            left.cancel()
            return None if left_now else (503, not_run, b"")
        run = Run(self, request_id, method, path, key)
        if self.sharded and not self.holds(key):
            self.slot.release()
            left.cancel()
            return 421, not_run, b""
        self.running[run] = run
        self.site.on_run(run)
        try:
            work = self.work_ms(method, path) / 1000
            await asyncio.wait({left}, timeout=max(0, min(work, deadline - now())))
            signature = [("X-Response-Signature", f"{random.getrandbits(32):08x}.{request_id}")]
            if left.done():
                return None
            if now() >= deadline and work > deadline - run.began:
                return 504, signature, b""
            if self.sharded and not self.holds(key) and self.until[key] != 0.0:
                return 500, signature, b""
            return 200, signature, f"{self.id} {request_id}".encode()
        finally:
            left.cancel()
            run.ended = now()
            self.running.pop(run, None)
            self.slot.release()
            self.work_ended()

    async def until_left(self, reader):
        """Ends when the caller closes the connection."""
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.01)


# --- Daemons ------------------------------------------------------------------------------------


class Daemon:
    def __init__(self, site, number, ip):
        self.site, self.number, self.ip = site, number, ip
        self.front = (ip, 8161)
        self.ready = (ip, 8167)
        self.process = None
        self.name = f"edge-{number}"
        self.settings = os.path.join(site.folder, f"{self.name}.toml")
        self.log = os.path.join(site.folder, f"{self.name}.log")

    def start(self, first=False):
        seeds = json.dumps([f"{d.ip}:8166" for d in self.site.daemons[:3]])
        bounds = "".join(f"{name} = {value}\n" for name, value in self.site.bounds.items())
        text = f"""grants = "invoke"
[self]
node_name = "{self.name}"
role = "edge"
machine_class = "edge"
serves = ["edge", "control_plane"]
ip = "{self.ip}"
zone = "malecon"
region = "guayaquil"
counts_as_loss = false
bootstrap = {"true" if first else "false"}
[self.limits]
cpu_share = 0.2
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
internal_ports = [7720, 7735]
seeds = {seeds}
[network.listen]
front = "{self.ip}:8161"
ready = "{self.ip}:8167"
control = "{self.ip}:8166"
[network.zones]
malecon = "guayaquil"
[platform]
discovery = "platform"
entry = "vip"
heartbeat_ms = 870
[platform.platform]
address = "{self.site.store.address[0]}:{self.site.store.address[1]}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[terms]
contracts = ["base", "drain", "config", "cost", "retry", "recover", "own", "platform"]
[terms.bounds]
{bounds}"""
        with open(self.settings, "w") as file:
            file.write(text)
        keep = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in keep if name in os.environ}
        env["ORIOLEHOIST_SETTINGS"] = self.settings
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(PROGRAM, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=log)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.ready), 0.5)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 0.5)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False


VILLACRES_BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "outer_ms": 5000, "retry_budget_ratio": 0.2, "retry_window_s": 10,
    "retry_budget_slack": 56, "recover_s": 15, "hold_max_ms": 10000, "thaw_ms": 300,
}

ROUTE_COLUMNS = ["name", "host", "prefix", "kind", "timeout_ms", "slo_ms", "priority", "service",
                 "attempts", "traffic_split"]


class Site:
    """A small deployment: a store, targets and daemons."""

    HOST = "ficu95.example"

    def __init__(self, record, routes, services, limits, bounds=VILLACRES_BOUNDS):
        self.record, self.bounds = record, bounds
        self.folder = tempfile.mkdtemp(prefix="oriolehoist-review-")
        self.net = self.free_net()
        self.store = Store((f"{self.net}.1", 8169))
        self.targets, self.daemons = [], []
        self.runs = {}
        self.version = 7
        self.routes, self.services, self.limits = routes, services, limits
        self.grant_listeners = []

    @staticmethod
    def free_net():
        for _ in range(50):
            net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            probe = socket.socket()
            try:
                probe.bind((f"{net}.1", 8169))
                return net
            except OSError:
                continue
            finally:
                probe.close()
        raise OSError("no free loopback range")

    def on_run(self, run):
        self.runs.setdefault(run.request_id, []).append(run)
        self.record.line(f"{run.target.id} runs {run.method} {run.path} {run.request_id} key {run.key}")

    def on_grant(self, target, first, last, fence, peer):
        for listener in self.grant_listeners:
            listener(target, first, last, fence, peer)

    def publish(self):
        columns = list(self.services[0].keys())
        config = {
            "version": f"{self.version:08x}",
            "routes": {"columns": ROUTE_COLUMNS, "rows": self.routes},
            "services": {"columns": columns, "rows": [[s[c] for c in columns] for s in self.services]},
            "limits": self.limits,
        }
        self.version += 3
        self.store.put("op/config", json.dumps(config).encode())

    async def start(self, daemons, targets):
        """`targets` is a list of (service, count)."""
        await self.store.start()
        self.publish()
        number = 0
        for service, count in targets:
            sharded = next(s for s in self.services if s["name"] == service)["sharded"]
            for _ in range(count):
                target = Target(self, number, service, bool(sharded), (f"{self.net}.{100 + number}", 8080))
                self.targets.append(target)
                await target.start()
                number += 1
        self.daemons = [Daemon(self, n, f"{self.net}.{10 + n}") for n in range(daemons)]
        for daemon in self.daemons:
            daemon.start(first=True)
        until = now() + 20
        while now() < until:
            ready = [await daemon.is_ready() for daemon in self.daemons]
            if all(ready):
                self.record.line("all daemons are ready")
                return
            await asyncio.sleep(0.1)
        raise OSError("the daemons were not ready within 20 s")

    async def stop(self):
        for daemon in self.daemons:
            daemon.kill()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept", self.folder)


# --- Clients ------------------------------------------------------------------------------------


class Attempt:
    def __init__(self, request_id, method, path, key):
        self.request_id, self.method, self.path, self.key = request_id, method, path, key
        self.status, self.signed, self.sent, self.ended = None, False, now(), None


class Client:
    """Sends requests one after another on kept connections, each attempt with an id of its own."""

    ids = itertools.count(1)

    def __init__(self, site, name):
        self.site, self.name, self.connections, self.attempts = site, name, {}, []

    def new_id(self):
        return f"{self.name}-{next(Client.ids):06d}"

    def encode(self, attempt, deadline_ms, body=b"", extra=""):
        key = f"X-Shard-Key: {attempt.key}\r\n" if attempt.key is not None else ""
        length = f"Content-Length: {len(body)}\r\n" if attempt.method != "GET" else ""
        return (f"{attempt.method} {attempt.path} HTTP/1.1\r\nHost: {self.site.HOST}\r\n"
                f"X-Request-Id: {attempt.request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
                f"{key}{length}{extra}\r\n").encode() + body

    async def connect(self, daemon):
        return await asyncio.wait_for(asyncio.open_connection(*daemon.front, limit=1 << 22), 1.0)

    async def send(self, daemon, method, path, key, deadline_ms, body=b""):
        attempt = Attempt(self.new_id(), method, path, key)
        self.attempts.append(attempt)
        self.site.record.line(
            f"client sends {method} {path} {attempt.request_id} key {key} to {daemon.name}")
        try:
            attempt.status, attempt.signed = await asyncio.wait_for(
                self.exchange(daemon, attempt, deadline_ms, body), deadline_ms / 1000)
        except asyncio.TimeoutError:
            attempt.status = "deadline"
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            attempt.status = "closed"
        attempt.ended = now()
        self.site.record.line(f"client has {attempt.status} for {attempt.request_id}")
        return attempt

    async def exchange(self, daemon, attempt, deadline_ms, body):
        idle = self.connections.setdefault(daemon.name, [])
        # Connections are reused that have been idle for up to four fifths of the limit.
        longest = 0.8 * self.site.limits["idle_timeout_ms"] / 1000
        while idle and now() - idle[0][2] > longest:
            idle.pop(0)[1].close()
        reader, writer, _ = idle.pop() if idle else (*await self.connect(daemon), now())
        keep = False
        try:
            writer.write(self.encode(attempt, deadline_ms, body))
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                raise ConnectionError
            status = int(head[0].split(" ")[1])
            await read_body(reader, head[1])
            keep = head[1].get("connection", "").lower() != "close"
            return status, "x-response-signature" in head[1]
        finally:
            if keep:
                idle.append((reader, writer, now()))
            else:
                writer.close()


PROMISES = (429, 503, 408, 421)


async def with_limit(main, record, trouble):
    """Runs a case for `LIMIT_S` at most. It ends its processes also when it is stopped."""
    task = asyncio.ensure_future(main(record, trouble))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(task, LIMIT_S)


def run_case(main, record_path):
    """Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    # Connections that are still open at the end are closed with the process.
    sys.unraisablehook = lambda unraisable: None
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        code = asyncio.run(with_limit(main, record, trouble))
    except BaseException as error:  # whatever went wrong, the case couldn't run
        traceback.print_exc()
        record.line(f"the case couldn't run: {error!r}")
        code = 2
    record.close()
    sys.exit(code)
