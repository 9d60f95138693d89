"""Stand-ins for a small deployment: the platform's store, backend servers, daemons and clients.

Only the Python standard library is used. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(REPOSITORY, "target", "release", "oriolehoist")
HOST = "tides.example"
HEARTBEAT_S = 0.87
STORE_DELAY_S = 0.004
# What a page of the store holds at most.
MAX_PAGE_ITEMS = 500
MAX_PAGE_BYTES = 1 << 20

START = time.monotonic()


def now():
    """Returns the seconds since the script started."""
    return time.monotonic() - START


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{now():8.3f} {text}\n")
        self.file.flush()


def reserve_network():
    """Returns the first three octets of loopback addresses that no other run uses, and the socket
    that reserves them."""
    for _ in range(1000):
        prefix = f"127.{random.randint(20, 220)}.{random.randint(0, 255)}"
        guard = socket.socket()
        try:
            guard.bind((f"{prefix}.1", 6999))
            guard.listen(1)
            return prefix, guard
        except OSError:
            guard.close()
    raise RuntimeError("no free loopback addresses")


class HttpError(Exception):
    pass


async def read_head(reader):
    """Reads a head. Returns its first line and its headers by lower-case name, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def response(status, headers, body=b"", close=False):
    text = f"HTTP/1.1 {status} Status\r\n"
    text += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    text += f"content-length: {len(body)}\r\n"
    text += "connection: close\r\n" if close else ""
    return text.encode() + b"\r\n" + body


class Store:
    """The platform's store: items with revisions, leases, and watches."""

    def __init__(self, address):
        self.address = address
        self.revision = 5
        self.items = {}
        self.history = []
        self.leases = {}
        self.last_lease = 700
        self.changed = asyncio.Condition()
        # The machine that last wrote under a condition.
        self.last_writer = None
        # The reads of pages: when, by which machine, and the request.
        self.listings = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.expiry = asyncio.create_task(self.expire())

    def put_now(self, key, value, lease=0):
        created = self.items.get(key, {}).get("created_rev", self.revision)
        item = {"key": key, "value": base64.b64encode(value).decode(), "rev": self.revision,
                "created_rev": created, "lease": lease}
        self.items[key] = item
        self.history.append((self.revision, key, item))

    def drop_now(self, key):
        if self.items.pop(key, None) is not None:
            event = {"key": key, "rev": self.revision, "tombstone": True}
            self.history.append((self.revision, key, event))

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value):
        self.revision += 1
        self.put_now(key, value)
        await self.notify()

    async def remove(self, key):
        self.revision += 1
        self.drop_now(key)
        await self.notify()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self.drop_now(key)
        return bool(keys)

    async def expire(self):
        while True:
            await asyncio.sleep(0.01)
            ended = [lease for lease, (until, _) in self.leases.items() if until <= now()]
            if any([self.end_lease(lease) for lease in ended]):
                await self.notify()

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                await asyncio.sleep(STORE_DELAY_S)
                if target == "/v1/kv-txn":
                    self.last_writer = writer.get_extra_info("peername")[0]
                if target.startswith("/v1/kv-range"):
                    self.listings.append((now(), writer.get_extra_info("peername")[0], target))
                status, answer = await self.handle(method, target, body)
                payload = json.dumps(answer).encode() if answer is not None else b""
                writer.write(response(status, {"content-type": "application/json"}, payload))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, target, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path = parts.path
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (404, None) if item is None else (200, {**item, "current_rev": self.revision})
        if path == "/v1/kv-range":
            after = query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
            items, size = [], 0
            for key in keys[:MAX_PAGE_ITEMS]:
                size += len(self.items[key]["value"]) * 3 // 4
                if items and size > MAX_PAGE_BYTES:
                    break
                items.append(self.items[key])
            has_more = len(items) < len(keys)
            return 200, {"items": items, "has_more": has_more, "current_rev": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait_ms"]))
        if path == "/v1/kv-txn":
            return await self.transact(json.loads(body))
        if path == "/v1/kv-lease":
            ttl = json.loads(body)["ttl_ms"]
            self.last_lease += 1
            self.leases[self.last_lease] = (now() + ttl / 1000, ttl)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/v1/kv-keep/"):
            if lease not in self.leases:
                return 404, None
            ttl = self.leases[lease][1]
            self.leases[lease] = (now() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/v1/kv-lease-end/"):
            if self.end_lease(lease):
                await self.notify()
            return 200, {}
        return 404, None

    async def watch(self, prefix, after, wait_ms):
        until = now() + wait_ms / 1000
        while True:
            events = [event for rev, key, event in self.history
                      if rev > after and key.startswith(prefix)]
            left = until - now()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, request):
        current = {row["key"]: self.items.get(row["key"]) for row in request["expect"]}
        for row in request["expect"]:
            item = current[row["key"]]
            if (item["rev"] if item else 0) != row["rev"]:
                return 412, {"items": [item for item in current.values() if item]}
        if any(put["lease"] and put["lease"] not in self.leases for put in request["puts"]):
            return 404, None
        self.revision += 1
        for put in request["puts"]:
            self.put_now(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in request.get("drop", []):
            self.drop_now(key)
        await self.notify()
        return 200, {"rev": self.revision}


def configuration(version, routes, services):
    """Returns a configuration. A route is name, prefix, kind, timeout_ms, slo_ms, priority, attempts
    and service; a service is its name and whether it is divided by key."""
    return json.dumps({
        "version": f"{version:08x}",
        "routes": {
            "columns": ["name", "host", "prefix", "kind", "timeout_ms", "slo_ms", "priority",
                        "attempts", "service", "traffic_split"],
            "rows": [[name, HOST, prefix, kind, timeout, slo, priority, attempts, service, None]
                     for name, prefix, kind, timeout, slo, priority, attempts, service in routes],
        },
        "services": {
            "columns": ["name", "health_path", "max_conns", "sharded", "warm_s"],
            "rows": [[name, "/health", 110, sharded or None, 2.0 if sharded else None]
                     for name, sharded in services],
        },
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }).encode()


class Target:
    """A backend server without keys. Its work, and whether a request crashes it, is in the path."""

    def __init__(self, store, record, service, zone, address, slots=6):
        self.store, self.record, self.service = store, record, service
        self.zone, self.address, self.slots = zone, address, slots
        self.life = 0
        self.server = None

    async def start(self):
        self.life += 1
        self.id = f"i-{self.address[0].rsplit('.', 1)[1]}x{self.life}"
        self.running, self.waiting, self.connections, self.tasks = 0, 0, set(), set()
        self.free = asyncio.Semaphore(self.slots)
        self.crashed = False
        self.server = await asyncio.start_server(self.serve, *self.address, limit=1 << 20)
        entry = {"service": self.service, "address": f"{self.address[0]}:{self.address[1]}",
                 "zone": self.zone, "version": "v1", "slots": self.slots, "state": "ready",
                 "warmup_left_ms": 0, "seq": 1, "born": int(time.time() * 1000)}
        await self.store.put(f"servers/{self.id}", json.dumps(entry).encode())
        self.record.write(f"server {self.id} of {self.service} is up")

    async def crash(self, back_after):
        """Ends the process: it refuses connections, and its work is lost. It starts again with a new id."""
        if self.crashed:
            return
        self.crashed = True
        self.record.write(f"server {self.id} crashed with {self.running} running")
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()
        asyncio.create_task(self.come_back(self.id, back_after))

    async def come_back(self, ended_id, back_after):
        async def expire():
            await asyncio.sleep(3 * HEARTBEAT_S)
            await self.store.remove(f"servers/{ended_id}")
        expiry = asyncio.create_task(expire())
        await asyncio.sleep(back_after)
        await self.start()
        await expiry

    def headers(self, request_id=None, signed=False):
        headers = {"X-Instance-Id": self.id, "Keep-Alive": "timeout=10",
                   "X-Server-Load": f"{self.running},{self.waiting},{self.slots}"}
        if request_id is not None:
            headers["X-Request-Id"] = request_id
        if signed:
            headers["X-Response-Signature"] = f"{self.id}.{random.getrandbits(32):08x}"
        return headers

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                answer = await self.handle(reader, *head)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.connections.discard(writer)
            writer.close()

    async def handle(self, reader, line, headers):
        method, path, _ = line.split(" ", 2)
        left = int(headers.get("content-length", "0"))
        while left:
            left -= len(await reader.readexactly(min(left, 1 << 16)))
        request_id = headers.get("x-request-id")
        if path == "/health":
            return response(200, self.headers())
        expected = headers.get("x-expect-instance", self.id)
        if request_id is None:
            return response(400, {**self.headers(), "X-Not-Executed": "1"})
        if expected != self.id:
            return response(421, {**self.headers(request_id), "X-Not-Executed": "1"})
        if self.waiting >= 4 * self.slots:
            return response(503, {**self.headers(request_id), "X-Not-Executed": "1"})
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            return await self.run(method, path, headers, request_id)
        finally:
            self.running -= 1
            self.free.release()

    async def run(self, method, path, headers, request_id):
        """Runs a request. The last part of the path is its work in milliseconds, or `crash`."""
        self.record.write(f"run {request_id} at {self.id} {method} {path}")
        self.on_run(request_id, path)
        work = path.rsplit("/", 1)[1]
        if work == "crash":
            await asyncio.sleep(0.05)
            asyncio.create_task(self.crash(3.0))
            await asyncio.sleep(5)
            return None
        await asyncio.sleep(int(work) / 1000)
        self.record.write(f"end {request_id} at {self.id}")
        body = f"{self.id} {request_id} {path}".encode()
        return response(200, self.headers(request_id, signed=True), body)

    def on_run(self, request_id, path):
        """Called when a request begins to run."""


class Daemon:
    """A daemon that runs as a process of its own, with the command of the deploy file."""

    def __init__(self, record, folder, name, zone, ip, store_address, seeds, memory_mb=260):
        self.record, self.name, self.ip, self.memory_mb = record, name, ip, memory_mb
        self.front, self.ready, self.control = (ip, 8161), (ip, 8167), (ip, 8166)
        self.settings = os.path.join(folder, f"{name}.toml")
        self.log = os.path.join(folder, f"{name}.log")
        self.template = SETTINGS.format(
            name=name, zone=zone, ip=ip, memory_mb=memory_mb,
            seeds=json.dumps([f"{seed}:8166" for seed in seeds]),
            store=f"{store_address[0]}:{store_address[1]}", first_start="%s")
        self.process = None
        self.started_at = None
        # Whether the script has killed the process.
        self.was_killed = False

    def start(self, first_start):
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(self.template % ("true" if first_start else "false"))
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["ORIOLEHOIST_SETTINGS"] = self.settings
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([PROGRAM, "--platform"], cwd=REPOSITORY,
                                            env=environment, stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=log)
        self.started_at = now()
        self.record.write(f"daemon {self.name} started")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(f"GET /v1/ready HTTP/1.1\r\nHost: {self.ip}\r\n\r\n".encode())
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, limit=15):
        until = now() + limit
        while now() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"daemon {self.name} was not ready in time")

    async def restart(self):
        """Stops the daemon with SIGTERM, and starts it again once it has exited."""
        self.record.write(f"SIGTERM to {self.name}")
        self.process.send_signal(signal.SIGTERM)
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
        self.record.write(f"daemon {self.name} exited with {self.process.returncode}")
        await asyncio.sleep(0.3)
        self.start(first_start=False)

    def resident_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


SETTINGS = """grants = "invoke"
[self]
node_name = "{name}"
role = "edge"
machine_class = "edge"
serves = ["edge", "control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "guayaquil"
bootstrap = {first_start}
[self.limits]
cpu_share = 0.2
cores = 1
memory_mb = {memory_mb}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
internal_ports = [7720, 7735]
seeds = {seeds}
[network.listen]
front = "{ip}:8161"
ready = "{ip}:8167"
control = "{ip}:8166"
[network.zones]
malecon = "guayaquil"
[platform]
discovery = "platform"
entry = "vip"
heartbeat_ms = 870
[platform.platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[terms]
contracts = ["base", "drain", "config", "cost", "retry", "recover", "own", "platform"]
[terms.fault_tolerance]
machines = 1
zones = 0
regions = 0
[terms.bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_budget_slack = 56
recover_s = 15
hold_max_ms = 10000
thaw_ms = 300
"""


class Platform:
    """Kills a process that exceeds its memory, as the platform does, and starts it again."""

    def __init__(self, record, site, restart_delay=0.5, poll=0.005):
        self.record, self.site = record, site
        self.restart_delay, self.poll = restart_delay, poll
        # How often processes ended by themselves, and what they held at most, in megabytes.
        self.ends = {daemon.name: 0 for daemon in site.daemons}
        self.peaks = {daemon.name: 0.0 for daemon in site.daemons}

    async def watch(self, daemon):
        while True:
            resident = daemon.resident_mb()
            self.peaks[daemon.name] = max(self.peaks[daemon.name], resident)
            has_ended = daemon.process.poll() is not None
            if resident > daemon.memory_mb or has_ended:
                if daemon.was_killed:
                    daemon.was_killed = False
                else:
                    self.ends[daemon.name] += 1
                    self.record.write(f"daemon {daemon.name} holds {resident:.0f} MB of "
                                      f"{daemon.memory_mb} MB and is killed by the platform")
                daemon.kill()
                await asyncio.sleep(self.restart_delay)
                daemon.start(first_start=False)
            await asyncio.sleep(self.poll)


class Site:
    """A store, servers and daemons."""

    def __init__(self, record, daemons, routes, services, memory_mb=260, target_class=Target):
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="oriolehoist-review-")
        prefix, self.guard = reserve_network()
        self.store = Store((f"{prefix}.1", 8169))
        self.configuration = configuration(7, routes, [(s[0], False) for s in services])
        ips = [f"{prefix}.{10 + index}" for index in range(daemons)]
        self.daemons = [Daemon(record, self.folder.name, f"edge-malecon-{index + 1}", "malecon", ip,
                               self.store.address, ips[:3], memory_mb)
                        for index, ip in enumerate(ips)]
        self.targets = []
        for service, count in services:
            for _ in range(count):
                address = (f"{prefix}.{100 + len(self.targets)}", 8080)
                self.targets.append(target_class(self.store, record, service, "malecon", address))

    async def start(self):
        await self.store.start()
        await self.store.put("op/config", self.configuration)
        for target in self.targets:
            await target.start()
        for daemon in self.daemons:
            daemon.start(first_start=True)
        for daemon in self.daemons:
            await daemon.wait_until_ready()

    def stop(self):
        for daemon in self.daemons:
            daemon.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for daemon in self.daemons:
                if os.path.exists(daemon.log):
                    with open(daemon.log, "rb") as log, \
                            open(os.path.join(keep, f"{daemon.name}.log"), "wb") as copy:
                        copy.write(log.read())
        self.folder.cleanup()


def request_id():
    return f"{random.getrandbits(64):016x}"


def request_head(method, path, identifier, deadline_ms, extra=""):
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {identifier}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\n{extra}\r\n").encode()


async def send_once(daemon, method, path, identifier, deadline_ms, body=b""):
    """Sends one request over a new connection. Returns the status and the headers, or None if the
    connection ends without an answer or the deadline passes."""
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*daemon.front), 1)
    except (OSError, asyncio.TimeoutError):
        return None
    try:
        extra = f"Content-Length: {len(body)}\r\n" if body or method != "GET" else ""
        writer.write(request_head(method, path, identifier, deadline_ms, extra) + body)
        return await asyncio.wait_for(receive(reader), deadline_ms / 1000 + 0.5)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()


async def receive(reader):
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    await read_body(reader, headers)
    return int(line.split(" ")[1]), headers


def main(case, folder, limit_s=115):
    """Runs a case with the trouble of TROUBLE, and exits with 1 if its rule was broken, 0 if it held,
    and 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.write(f"trouble={trouble}")

    async def run():
        try:
            if not os.path.exists(PROGRAM):
                raise RuntimeError("the daemon is not built")
            broken = await asyncio.wait_for(case(record, trouble), limit_s)
        except Exception as error:  # Whatever failed, the case says nothing about the rule.
            record.write(f"the case could not run: {error!r}")
            return 2
        record.write("the rule was broken" if broken else "the rule held")
        return 1 if broken else 0

    async def run_and_exit():
        code = await run()
        # The case has ended its processes. Tasks of stand-ins that are left end with this one.
        sys.stdout.flush()
        os._exit(code)

    asyncio.run(run_and_exit())
