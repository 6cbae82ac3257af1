"""Routers as processes, with stand-ins for the store, replicas and consumers.

The scripts of `review/6` to `review/10` share this module. The store is the project's
own stand-in; replicas and consumers are small ones that speak HTTP/1.1.
"""

import asyncio
import contextlib
import copy
import dataclasses
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from primrosepier.asgi import open_server
from primrosepier.platform.standins import StandinStore

ROOT = Path(__file__).resolve().parent.parent
HOST = "apps.example"
KEY = "ctnfzs989anu6wsjnban"
HEARTBEAT_S = 1.2
SETTINGS = """
nodeName = "{name}"
role = "router"
machineClass = "frontend"
serves = ["frontend"]
ip = "{ip}"
zone = "rennes"
region = "bretagne"
internalPorts = [{ports[3]}, {ports[3]}]
seeds = []
firstStart = {first}
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = [{contracts}]
[zones]
rennes = "bretagne"
[listen]
frontend = "{ip}:{ports[0]}"
readiness = "{ip}:{ports[1]}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = {memory}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevoke = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 54
recoverS = 12
transitMs = 120
reuseWindowS = 10
fencing = {fencing}
leaseMs = 3000
thawMs = 300
versionMs = 12000
versionAllMs = 17000
[platform]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""
CONTRACTS = (
    "base drain config cost retry recover kvcache stream engine tenants platform"
)


class CaseError(Exception):
    """The case could not be run."""


class Record:
    """Writes what is sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.path = Path(path)
        self.path.write_text("", encoding="utf-8")
        self.started_s = time.monotonic()

    def write(self, text):
        at_s = time.monotonic() - self.started_s
        with self.path.open("a", encoding="utf-8") as file:
            file.write(f"{at_s:8.3f}  {text}\n")


def find_free_port(ip="127.0.0.1"):
    while True:
        port = random.randrange(20_000, 32_000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind((ip, port))
        except OSError:
            continue
        return port


class Store:
    """The project's stand-in of the store; it can be down, or go back to a copy."""

    def __init__(self, record):
        self.app = StandinStore()
        self.record = record
        self.address = ""

    def put(self, key, value):
        """Write as the operator or a replica."""
        self.app.put(key, value)

    def copy(self):
        return copy.deepcopy(self.app.memory.state)

    def restore(self, state):
        self.app.memory.restore(state)
        self.record.write(f"the store is back from a copy, Store-Era {self.era}")

    @property
    def era(self):
        return 1 + self.app.memory.restores


class StoreLink:
    """The way of one machine to the store; it can turn the machine away."""

    def __init__(self, store, name, record):
        self.store = store
        self.name = name
        self.record = record
        self.is_open = True
        self.port = 0
        self.writers = set()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def close(self):
        """Reset the machine's channels to the store, and each new one."""
        self.record.write(f"the store turns {self.name} away")
        self.is_open = False
        for writer in list(self.writers):
            reset(writer)

    def open(self):
        self.record.write(f"the store serves {self.name} again")
        self.is_open = True

    async def _serve(self, reader, writer):
        if not self.is_open:
            reset(writer)
            return
        host, _, port = self.store.address.rpartition(":")
        try:
            opened = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        inner_reader, inner_writer = opened
        writers = {writer, inner_writer}
        self.writers |= writers

        async def copy_all(source, target):
            with contextlib.suppress(ConnectionError):
                while data := await source.read(65536):
                    target.write(data)
                    await target.drain()
            target.transport.abort()

        try:
            await asyncio.gather(
                copy_all(reader, inner_writer), copy_all(inner_reader, writer)
            )
        finally:
            self.writers -= writers


def reset(writer):
    """Reset a channel."""
    raw = writer.get_extra_info("socket")
    if raw is not None:
        linger = struct.pack("ii", 1, 0)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


@dataclasses.dataclass(eq=False)
class Replica:
    """A replica that answers at once, or with a stream of events."""

    id: str
    service: str
    store: Store
    record: Record
    version: str = "v1"
    events: int = 20
    gap_s: float = 0.1
    work_s: float = 0.02
    slots: int = 64
    state: str = "ready"
    born: int = 0
    port: int = 0
    is_leaving: bool = False
    weights: int = 1
    model: str = "m0"
    orders: list = dataclasses.field(default_factory=list)
    runs: list = dataclasses.field(default_factory=list)
    server: object = None
    beating: asyncio.Task | None = None
    writers: set = dataclasses.field(default_factory=set)

    async def start(self):
        self.born = int(time.time() * 1000)
        self.orders = []
        if not self.port:
            self.port = find_free_port()
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.record.write(f"{self.id} {self.version} starts at port {self.port}")
        self.register()
        self.beating = asyncio.create_task(self._beat())

    def crash(self):
        """End the process: the port is closed and every channel is reset."""
        self.record.write(f"{self.id} {self.version} ends")
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()

    def make_entry(self):
        models = [{"name": self.model, "version": self.weights, "adapters": []}]
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "rennes",
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "models": models if self.service == "writers" else [],
            "seq": int(time.time() * 1000) % 10**9,
            "born": self.born,
        }

    def register(self):
        self.store.put(f"servers/{self.id}", self.make_entry())
        self.record.write(f"{self.id} {self.version} says {self.state}")

    async def _beat(self):
        """Write a status report about every `HEARTBEAT_S`, until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))
            self.register()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self._answer(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        start, *lines = head.strip().split("\r\n")
        method, path, _ = start.split(" ")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines)
        }
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        attempt = headers.get("attempt-id", "")
        common = [f"Instance-Id: {self.id}"]
        if attempt:
            common.append(f"Attempt-Id: {attempt}")
        if self.is_leaving:
            common.append("Server-Leaving: 1")
        if headers.get("expect-instance", self.id) != self.id:
            self.record.write(f"{self.id} {self.version} answers {attempt} with 421")
            return self._send(writer, 421, common, b"")
        if path in ("/report", "/healthz"):
            return self._send(writer, 200, common, json.dumps(self.report()).encode())
        if path == "/order":
            return self._send(writer, self.take_order(json.loads(body)), common, b"")
        return await self.run(path, headers, common, writer)

    def report(self):
        models = [{"name": self.model, "version": self.weights, "adapters": []}]
        seq = len(self.orders)
        return {"stage": "both", "models": models, "busy": False, "seq": seq}

    def take_order(self, order):
        return 400

    async def run(self, path, headers, common, writer):
        attempt = headers["attempt-id"]
        self.runs.append((time.monotonic(), attempt, headers))
        proof = [f"Server-Stamp: {self.id}.{self.version}.{self.born}"]
        proof += [f"Instance-Load: 1,0,{self.slots}"]
        if not path.startswith("/stream"):
            self.record.write(f"{self.id} {self.version} runs {attempt}")
            await asyncio.sleep(self.work_s)
            return self._send(writer, 200, [*common, *proof], attempt.encode())
        after = int(headers.get("last-event-id", "0"))
        self.record.write(f"{self.id} {self.version} runs {attempt} after {after}")
        proof += [f"Weight-Versions: {self.weights}"]
        kind = ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        head = ["HTTP/1.1 200 OK", *common, *proof, *kind]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(after + 1, self.events + 1):
            event = f"id: {number}\ndata: {self.id} {self.version}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def _send(self, writer, status, headers, body):
        head = [f"HTTP/1.1 {status} X", *headers, f"Content-Length: {len(body)}"]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
        return True


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(self, name, ip, folder, store, record, **changes):
        self.name, self.ip, self.record = name, ip, record
        self.ports = [find_free_port(ip) for _ in range(4)]
        self.settings = Path(folder) / f"{name}.toml"
        self.output = Path(folder) / f"{name}.log"
        values = {"first": "true", "fencing": "true", "memory": 300, **changes}
        contracts = ", ".join(f'"{x}"' for x in CONTRACTS.split())
        text = SETTINGS.format(
            name=name,
            ip=ip,
            ports=self.ports,
            store=store,
            contracts=contracts,
            **values,
        )
        self.settings.write_text(text, encoding="utf-8")
        self.process = None
        self.is_over = False

    def start(self):
        if self.is_over:
            return
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["PRIMROSEPIER_CONFIG"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        command = ["python3", "-m", "primrosepier", "entry-router"]
        with self.output.open("ab") as stream:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=stream, stderr=stream
            )
        self.record.write(f"{self.name} starts as process {self.process.pid}")

    def signal(self, number):
        self.record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def end(self):
        """End the process if it runs, and start no other."""
        self.is_over = True
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def wait_until_ready(self, limit_s=15.0):
        ends_at_s = time.monotonic() + limit_s
        while time.monotonic() < ends_at_s:
            try:
                answer = await call(
                    (self.ip, self.ports[1]), "GET", "/readyz", {"Host": "x"}
                )
            except OSError:
                answer = None
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise CaseError(f"{self.name} is not ready")

    @property
    def address(self):
        return self.ip, self.ports[0]


@dataclasses.dataclass
class Answer:
    """What a consumer has read of an answer."""

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False

    def list_events(self):
        """Return id and data of the whole events."""
        events = []
        for text in self.body.decode().split("\n\n")[:-1]:
            fields = dict(line.split(": ", 1) for line in text.split("\n") if line)
            events.append((int(fields["id"]), fields["data"]))
        return events


async def call(address, method, path, headers, body=b"", limit_s=10.0):
    """Send one request on a new channel; return what was read of the answer."""
    answer = Answer()
    reader, writer = await asyncio.open_connection(*address)
    try:
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        async with asyncio.timeout(limit_s):
            await _read_answer(reader, answer)
    except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
        pass
    finally:
        writer.transport.abort()
    return answer


async def _read_answer(reader, answer):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head.strip().split("\r\n")
    answer.status = int(start.split(" ")[1])
    for line in lines:
        name, _, value = line.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\n"), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        size = int(answer.headers.get("content-length", "0"))
        answer.body = await reader.readexactly(size)
    answer.is_complete = True


def make_headers(attempt, limit_ms=8000, **more):
    return {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": str(limit_ms),
        "Authorization": f"Bearer {KEY}",
        **{name.replace("_", "-"): value for name, value in more.items()},
    }


def make_attempt():
    return f"{random.getrandbits(64):016x}"


def make_route(name, prefix, kind, service, **changes):
    route = {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": 12000,
        "targetLatencyMs": 800,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": kind == "streaming",
        "gapTargetMs": 300,
    }
    return {**route, **changes}


def make_config(version=7, **changes):
    engine = {
        "slots": 64,
        "kvCapacity": 208294,
        "kvBytes": 18432,
        "linkMbps": 180000.0,
        "models": [{"name": "m0"}],
    }
    common = {"healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": False}
    config = {
        "version": version,
        "routes": [
            make_route("r-stream", "/stream/", "streaming", "writers"),
            make_route("r-book", "/book/", "non_idempotent", "app", maxAttempts=1),
            make_route("r-look", "/look/", "idempotent", "app"),
        ],
        "services": [
            {"name": "writers", "engine": engine, **common},
            {"name": "app", **common},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": "sese880", "apiKeys": [KEY], "priority": 1, "isolated": False}
        ],
    }
    return {**config, **changes}


def run_case(folder, check, limit_s=110.0):
    """Run ``check(record, store, temporary folder, processes)`` and exit.

    ``check`` returns what broke the rule, or an empty text. The routers that it adds to
    the list are ended.
    """
    record = Record(Path(folder) / "record.txt")
    processes = []

    async def run_check(store, temporary):
        try:
            async with asyncio.timeout(limit_s):
                return await check(record, store, temporary, processes)
        finally:
            for router in processes:
                router.end()
            kept = os.environ.get("KEEP_LOGS")
            if kept:
                for path in Path(temporary).iterdir():
                    (Path(kept) / path.name).write_bytes(path.read_bytes())

    async def run():
        store = Store(record)
        with tempfile.TemporaryDirectory() as temporary:
            async with open_server(store.app, "127.0.0.1:0") as store.address:
                try:
                    return await run_check(store, temporary), None
                # The server's task group would wrap it.
                except Exception as error:
                    return "", error

    # Ends the routers as well when the script itself is ended.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        broken, failure = asyncio.run(run())
    except (Exception, KeyboardInterrupt) as error:
        broken, failure = "", error
    if failure is not None:
        record.write(f"the case could not run: {failure!r}")
        print(f"could not run: {failure!r}")
        sys.exit(2)
    record.write(f"the rule is broken: {broken}" if broken else "the rule held")
    print(broken or "the rule held")
    sys.exit(1 if broken else 0)
