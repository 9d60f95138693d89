"""Stand-ins for the users' platform, written after PROTOCOL.md: the store, servers, and what starts daemons.

Everything runs on loopback addresses and the real clock. The daemons are separate processes, started
with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "ficu95.example"
KEYS = 65536
HEARTBEAT_S = 1.5
# The bounds of the settings of sabra-lavoir.
BOUNDS = """seed_lag_s = 3
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
retry_budget_slack = 60
recover_s = 15
hold_max_ms = 10000
thaw_ms = 300
"""


class Record:
    """The log of a run, with the time since its start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Returns the first line, the headers and the body of a message, or None at the end."""
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
    length = int(headers.get("content-length", 0))
    body = b""
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return lines[0], headers, body


def response(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.rev = 10
        self.items = {}
        self.leases = {}
        self.next_lease = 100
        self.history = []
        self.changed = asyncio.Event()
        self.port = 0

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{self.port}"
        self.expiry = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [lease for lease, (end, _) in self.leases.items() if end <= now]:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.rev += 1
        for key in keys:
            self.drop(key)
        self.notify()

    def drop(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append({"key": key, "rev": self.rev, "tombstone": True})

    def put(self, key, value, lease=0):
        created = self.items[key]["created_rev"] if key in self.items else self.rev
        text = base64.b64encode(value).decode()
        item = {"key": key, "value": text, "rev": self.rev, "created_rev": created, "lease": lease}
        self.items[key] = item
        self.history.append(item)

    def write(self, key, value):
        """A write of the operator or of a server."""
        self.rev += 1
        self.put(key, json.dumps(value).encode())
        self.notify()

    def remove(self, key):
        self.rev += 1
        self.drop(key)
        self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                line, _, body = message
                method, target, _ = line.split(" ", 2)
                url = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                await asyncio.sleep(0.004)
                status, reply = await self.answer(method, url.path, query, body)
                headers = [("Content-Type", "application/json")]
                writer.write(response(status, headers, json.dumps(reply).encode()))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, method, path, query, body):
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "current_rev": self.rev}) if item else (404, {})
        if path == "/v1/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.items[key] for key in keys[:500]]
            return 200, {"items": items, "has_more": len(keys) > 500, "current_rev": self.rev}
        if path == "/v1/kv-watch":
            prefix, after = query.get("prefix", ""), int(query["after"])
            end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while True:
                changed = self.changed
                events = [
                    event for event in self.history
                    if event["rev"] > after and event["key"].startswith(prefix)
                ]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current_rev": self.rev}
                try:
                    await asyncio.wait_for(changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/v1/kv-txn":
            call = json.loads(body)
            expect = [(row["key"], row["rev"]) for row in call.get("expect", [])]
            if any(self.items.get(key, {"rev": 0})["rev"] != rev for key, rev in expect):
                return 412, {"items": [self.items.get(key) for key, _ in expect]}
            puts = call.get("puts", [])
            if any(put["key"].startswith(("op/", "servers/")) for put in puts):
                return 403, {}
            if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
                return 404, {}
            self.rev += 1
            for put in puts:
                self.put(put["key"], base64.b64decode(put["value"]), put.get("lease") or 0)
            for key in call.get("drop", []):
                self.drop(key)
            self.notify()
            return 200, {"rev": self.rev}
        if path == "/v1/kv-lease":
            ttl = max(1000, json.loads(body)["ttl_ms"])
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/v1/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}


class Server:
    """A server of a service. It records the requests that it began to run, and when they ended."""

    def __init__(self, record, store, name, service, zone, sharded, slots=2, queue=8):
        self.record, self.store, self.name = record, store, name
        self.service, self.zone, self.sharded = service, zone, sharded
        self.slots, self.queue = slots, queue
        self.running = self.waiting = 0
        self.room = asyncio.Condition()
        self.fences = [0] * KEYS
        self.held_until = [0.0] * KEYS
        self.work_on = {}
        self.work_ms = 120
        self.reply_bytes = 400
        self.runs = []
        self.seq = 0
        self.state = "ready"
        self.lives, self.down, self.last_beat = 1, False, 0.0

    def is_crashing(self, path, headers):
        return False

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 20)
        self.address = f"{ip}:{self.server.sockets[0].getsockname()[1]}"
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.seq += 1
            entry = {
                "service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state,
                "warmup_left_ms": 0, "seq": self.seq,
            }
            self.store.write(f"servers/{self.name}", entry)
            self.last_beat = time.monotonic()
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                line, headers, body = message
                method, path, _ = line.split(" ", 2)
                writer.write(await self.answer(method, path, headers, body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, method, path, headers, body):
        common = [("X-Instance-Id", self.name)]
        if "x-request-id" in headers:
            common.append(("X-Request-Id", headers["x-request-id"]))
        load = ("X-Server-Load", f"{self.running},{self.waiting},{self.slots}")
        if headers.get("x-expect-instance", self.name) != self.name:
            return response(421, common + [("X-Not-Executed", "1")])
        if path == "/v1/grant":
            return response(self.grant(json.loads(body)), common)
        if path == "/v1/release":
            call = json.loads(body)
            keys = range(call["from"], call["target"] + 1)
            for key in keys:
                if self.fences[key] <= call["fence"]:
                    self.fences[key], self.held_until[key] = call["fence"], 0.0
            while any(key in keys for key in self.work_on.values()):
                await asyncio.sleep(0.005)
            return response(200, common + [("X-Handover", f"{self.name}-{call['fence']}")])
        if path == "/health":
            return response(200, common + [load])
        return await self.run(method, path, headers, body, common, load)

    def grant(self, call):
        first, end, fence = call["from"], call["target"] + 1, call["fence"]
        if max(self.fences[first:end]) > fence:
            return 409
        until = time.monotonic() + call["hold_ms"] / 1000
        self.fences[first:end] = [fence] * (end - first)
        self.held_until[first:end] = [until] * (end - first)
        return 200

    async def run(self, method, path, headers, body, common, load):
        arrived, lives = time.monotonic(), self.lives
        ends = arrived + int(headers.get("x-deadline-ms", 5000)) / 1000
        key = int(headers.get("x-shard-key", 0))
        refused = common + [load, ("X-Not-Executed", "1")]
        if self.sharded and self.held_until[key] <= time.monotonic():
            return response(421, refused)
        if self.running >= self.slots:
            if self.waiting >= self.queue:
                return response(503, refused)
            self.waiting += 1
            async with self.room:
                await self.room.wait_for(lambda: self.running < self.slots)
            if self.down or self.lives != lives:
                return b""
            self.waiting -= 1
            if time.monotonic() >= ends:
                return response(503, refused)
            if self.sharded and self.held_until[key] <= time.monotonic():
                return response(421, refused)
        if self.down:
            return b""
        self.running += 1
        request = headers.get("x-request-id", "")
        self.runs.append(request)
        self.work_on[request] = key
        self.record.line(f"server {self.name} runs {request} {method} {path} body={len(body)}")
        if self.is_crashing(path, headers):
            self.work_on.pop(request)
            self.crash(request)
            return b""
        left = ends - time.monotonic()
        await asyncio.sleep(min(self.work_ms / 1000, left))
        if self.down or self.lives != lives:
            return b""
        self.record.line(f"server {self.name} has finished {request}")
        self.work_on.pop(request, None)
        self.running -= 1
        async with self.room:
            self.room.notify_all()
        signed = common + [load, ("X-Response-Signature", f"3e1b.07.{request}")]
        if left < self.work_ms / 1000:
            return response(504, signed)
        return response(200, signed, b"x" * self.reply_bytes)


class CrashingServer(Server):
    """A server that crashes when it begins to run a request with a certain path, and is back later under
    a new id at the same address."""

    CRASH_PATH = "/log/crash"
    BACK_AFTER_S = 3
    crashes = True

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.writers = set()
        # When the request that crashes arrived, and from which address.
        self.crashed = []
        # Other requests that ran when the server crashed.
        self.cut_off = []

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    def is_crashing(self, path, headers):
        return self.crashes and path == self.CRASH_PATH

    def crash(self, request):
        self.down = True
        self.crashed.append((time.monotonic(), request))
        self.cut_off.extend(self.work_on)
        self.record.line(
            f"server {self.name} crashes at {request}, with {len(self.work_on)} other requests running")
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        asyncio.create_task(self.come_back())
        asyncio.create_task(self.expire_entry(self.name))

    async def expire_entry(self, name):
        """The store removes an entry after three heartbeat intervals of silence."""
        await asyncio.sleep(self.last_beat + 3 * HEARTBEAT_S - time.monotonic())
        self.store.remove(f"servers/{name}")

    async def come_back(self):
        """A new life begins: under a new id, without keys, and knowing no fencing tokens."""
        ip, port = self.address.split(":")
        await asyncio.sleep(self.BACK_AFTER_S)
        self.lives += 1
        self.name = f"{self.name.split('.')[0]}.{self.lives}"
        self.running = self.waiting = self.seq = 0
        self.work_on, self.room = {}, asyncio.Condition()
        self.fences, self.held_until = [0] * KEYS, [0.0] * KEYS
        self.down = False
        self.server = await asyncio.start_server(self.serve, ip, int(port), limit=1 << 20)
        self.beats = asyncio.create_task(self.beat())
        self.record.line(f"server {self.name} is back at {self.address}")


def configuration():
    """The routes of sabra-lavoir, in the form of its op/config, with its limits."""
    columns = ["name", "host", "prefix", "kind", "timeout_ms", "slo_ms", "priority",
               "traffic_split", "attempts", "service"]
    rows = [
        ["slot-view", HOST, "/view/", "idempotent", 800, 300, 2, None, 2, "reservation"],
        ["slot-book", HOST, "/book/", "non_idempotent", 1000, 400, 1, None, 2, "reservation"],
        ["machine-log", HOST, "/log/", "idempotent", 1500, 600, 2, None, 2, "caretaker-desk"],
    ]
    services = {
        "columns": ["name", "health_path", "max_conns", "protocol", "tls", "sharded", "warm_s", "grants"],
        "rows": [["reservation", "/health", 44, "h1", False, True, 5.0, "invoke"],
                 ["caretaker-desk", "/health", 44, "h1", False, None, None, None]],
    }
    limits = {"max_header_bytes": 16384, "max_body_bytes": 67108864,
              "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    return {"version": "00000007", "routes": {"columns": columns, "rows": rows},
            "services": services, "limits": limits}


class Daemon:
    """A daemon of the project, started with the command of the deploy file."""

    COMMAND = ["target/release/oriolehoist", "--platform"]

    def __init__(self, record, folder, name, ip, zone, ports, store, seeds):
        self.record, self.name, self.ip = record, name, ip
        self.front, self.ready, self.control, internal = ports
        self.process = None
        self.started_at = 0.0
        settings = f"""grants = "invoke"
[self]
node_name = "{name}"
role = "edge"
machine_class = "edge"
serves = ["edge","control_plane"]
ip = "{ip}"
zone = "{zone}"
region = "sfax"
counts_as_loss = false
bootstrap = false
[self.limits]
cpu_share = 0.2
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[network]
internal_ports = [{internal},{internal + 15}]
seeds = [{",".join(f'"{seed}:{self.control}"' for seed in seeds)}]
[network.listen]
front = "{ip}:{self.front}"
ready = "{ip}:{self.ready}"
control = "{ip}:{self.control}"
[network.zones]
sfax-medina = "sfax"
sfax-sakiet = "sfax"
[platform]
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
[platform.platform]
address = "{store.address}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[terms]
contracts = ["base","drain","config","cost","retry","recover","own","platform"]
[terms.fault_tolerance]
machines = 1
zones = 0
regions = 0
[terms.bounds]
{BOUNDS}"""
        self.settings = os.path.join(folder, f"{name}.toml")
        self.log = os.path.join(folder, f"{name}.log")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(settings)

    def start(self):
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["ORIOLEHOIST_SETTINGS"] = self.settings
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(self.COMMAND, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                            stdout=log, stderr=log)
        self.started_at = time.monotonic()
        self.record.line(f"daemon {self.name} started")

    def send_signal(self, number):
        self.record.line(f"daemon {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=25):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                self.record.line(f"daemon {self.name} is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"daemon {self.name} is not ready")


class CannotRun(Exception):
    """The case could not be run, which says nothing about the rule."""


class Deployment:
    """A small deployment: a store, the servers of two services, and daemons in two zones."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="oriolehoist-case-")
        self.daemons, self.servers = [], []

    async def start(self, daemons=2, servers=3, kind=Server):
        zones = ["sfax-medina", "sfax-sakiet"]
        self.store = Store(self.record)
        await self.store.start()
        self.store.write("op/config", configuration())
        for index in range(servers):
            for service, sharded in (("reservation", True), ("caretaker-desk", False)):
                name = f"i-{service[:3]}{index}"
                server = kind(self.record, self.store, name, service, zones[index % 2], sharded)
                await server.start("127.0.0.1")
                self.servers.append(server)
        # Daemons of two runs at the same time don't share addresses.
        network = 10 + os.getpid() % 200
        ips = [f"127.{network}.{10 + index}.{1 + index}" for index in range(daemons)]
        internal = free_internal_ports(ips)
        ports = (free_port(ips[0]), free_port(ips[0]), free_port(ips[0]), internal)
        for index, ip in enumerate(ips):
            daemon = Daemon(self.record, self.folder, f"edge-{index + 1}", ip, zones[index % 2],
                            ports, self.store, ips[:3])
            daemon.start()
            self.daemons.append(daemon)
        for daemon in self.daemons:
            await daemon.wait_ready()

    def ran(self, request):
        return sum(server.runs.count(request) for server in self.servers)

    def end(self):
        for daemon in self.daemons:
            daemon.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_internal_ports(ips):
    """Returns the first of sixteen ports that are free on all addresses."""
    for first in range(21000, 31000, 16):
        try:
            for ip in ips:
                for port in range(first, first + 3):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((ip, port))
            return first
        except OSError:
            continue
    raise CannotRun("no free ports")


def request(method, path, request_id, key=None, deadline=1000, body=b"", length=None):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request_id}",
             f"X-Deadline-Ms: {deadline}"]
    if key is not None:
        lines.append(f"X-Shard-Key: {key}")
    if body or length or method == "POST":
        lines.append(f"Content-Length: {len(body) if length is None else length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def status_of(message):
    return None if message is None else int(message[0].split(" ")[1])


def main(folder, case):
    """Runs a case, which returns whether the rule held, and exits with the code of the issue."""
    async def run():
        deployment = Deployment(folder)
        try:
            return await asyncio.wait_for(case(deployment), 110)
        except (CannotRun, asyncio.TimeoutError) as error:
            deployment.record.line(f"could not run: {error!r}")
            return None
        finally:
            deployment.end()

    async def run_and_exit():
        held = await run()
        # The connections of the stand-ins end with the process.
        os._exit({True: 0, False: 1, None: 2}[held])

    asyncio.run(run_and_exit())
