"""Shared parts of the review's scripts: settings, processes, clients, the record."""

import asyncio
import contextlib
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

HOST = "apps.example"
KEY = "key-of-litter-notes"
BROKEN, HELD, UNUSABLE = 1, 0, 2
# Descriptors that the platform allows a process (maxFds).
MAX_FDS = 4100
# Delay after which the platform starts a process again that ended, seconds.
RESTART_S = 1.0

SETTINGS = """
nodeName = "{name}"
role = "router"
machineClass = "frontend"
serves = ["frontend"]
ip = "{ip}"
zone = "rennes"
region = "bretagne"
internalPorts = [{internal}, {internal}]
firstStart = {first}
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
rennes = "bretagne"
[listen]
frontend = "{ip}:{frontend}"
readiness = "{ip}:{readiness}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = {max_fds}
[bounds]
stableWindowMs = 3000
drainMs = 2000
graceS = 8
configApplyMs = 2000
strictRevoke = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 54
fencing = true
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


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def find_free_port(ip: str = "127.0.0.1") -> int:
    """Return a port that is free now."""
    with socket.socket() as listener:
        listener.bind((ip, 0))
        return listener.getsockname()[1]


class Record:
    """Writes what happens to record.txt in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self.started_s = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def write(self, text: str) -> None:
        """Write one line with its time in seconds."""
        self.file.write(f"{time.monotonic() - self.started_s:8.3f} {text}\n")
        self.file.flush()


@dataclass
class Router:
    """A router that runs as a process, with the command of the deploy file."""

    name: str
    ip: str
    store: str
    folder: Path
    record: Record
    first: bool = True
    process: subprocess.Popen | None = None
    ends: list[tuple[float, int]] = field(default_factory=list)
    is_stopping: bool = False

    def __post_init__(self) -> None:
        ports = [find_free_port(self.ip) for _ in range(3)]
        self.address = f"{self.ip}:{ports[0]}"
        self.readiness = f"{self.ip}:{ports[1]}"
        self.settings = self.folder / f"{self.name}.toml"
        self.log = self.folder / f"{self.name}.log"
        self.ports = ports

    def start(self) -> None:
        """Start the process."""
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            internal=self.ports[2],
            frontend=self.ports[0],
            readiness=self.ports[1],
            first=str(self.first).lower(),
            store=self.store,
            max_fds=MAX_FDS,
        )
        self.settings.write_text(text)
        self.first = False
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PRIMROSEPIER_CONFIG"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as stream:
            self.process = subprocess.Popen(
                ["python3", "-m", "primrosepier", "entry-router"],
                cwd=ROOT,
                env=environment,
                stdout=stream,
                stderr=stream,
            )
        # The platform limits the descriptors of each process.
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))
        self.record.write(f"{self.name} started, process {self.process.pid}")

    async def supervise(self) -> None:
        """Start the process again whenever it ends, as the platform does."""
        while True:
            await asyncio.sleep(0.05)
            code = None if self.process is None else self.process.poll()
            if code is None or self.is_stopping:
                continue
            self.ends.append((time.monotonic(), code))
            self.record.write(f"{self.name} ended by itself with exit code {code}")
            await asyncio.sleep(RESTART_S)
            self.start()

    async def restart(self) -> None:
        """Stop with SIGTERM and start again, as in planned work."""
        self.is_stopping = True
        self.process.send_signal(signal.SIGTERM)
        self.record.write(f"{self.name} gets SIGTERM")
        for _ in range(160):
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        else:
            self.process.kill()
            self.process.wait()
        self.record.write(f"{self.name} has ended")
        await asyncio.sleep(RESTART_S)
        self.start()
        self.is_stopping = False

    def kill(self) -> None:
        """End the process."""
        self.is_stopping = True
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def count_descriptors(self) -> int:
        """Return how many descriptors the process has open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def is_ready(self) -> bool:
        """Return whether the router says that it is ready."""
        try:
            channel = await Channel.open(self.readiness)
            answer = await channel.call("GET", "/readyz", {"Host": "x"})
            channel.close()
        except OSError:
            return False
        return answer is not None and answer.status == 200


@dataclass(frozen=True)
class Answer:
    """Answer of a router; ``whole`` is false if it broke off."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool = True


class Channel:
    """A consumer's channel to a router."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.reader, self.writer = reader, writer
        self.answers = 0

    @classmethod
    async def open(cls, address: str) -> "Channel":
        """Connect to ``IP:PORT``."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.wait_for(asyncio.open_connection(host, port), 1.0))

    def close(self) -> None:
        """Close the channel."""
        self.writer.close()

    async def call(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        limit_s: float = 10.0,
    ) -> Answer | None:
        """Send a request; return None if the channel ends before an answer."""
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        try:
            self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            async with asyncio.timeout(limit_s):
                answer = await self._read()
        except (OSError, EOFError, ValueError):
            return None
        self.answers += 1
        return answer

    async def _read(self) -> Answer:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status_line, *lines = head.strip().split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        status = int(status_line.split()[1])
        if headers.get("transfer-encoding") == "chunked":
            body, whole = await self._read_chunks()
        else:
            body = await self.reader.readexactly(int(headers.get("content-length", 0)))
            whole = True
        return Answer(status, headers, body, whole)

    async def _read_chunks(self) -> tuple[bytes, bool]:
        body = b""
        try:
            while True:
                size = int(await self.reader.readuntil(b"\r\n"), 16)
                body += (await self.reader.readexactly(size + 2))[:-2]
                if not size:
                    return body, True
        except (OSError, EOFError):
            return body, False


def make_headers(attempt: str, limit_ms: int, **more: str) -> dict[str, str]:
    """Return the headers of a consumer's request."""
    return {
        "Host": HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": str(limit_ms),
        "Authorization": f"Bearer {KEY}",
        **{name.replace("_", "-"): value for name, value in more.items()},
    }


def make_route(name: str, prefix: str, kind: str, service: str, **more: object) -> dict:
    """Return one route of the config."""
    route = {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": 5000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 1 if kind == "non_idempotent" else 2,
        "public": False,
    }
    return {**route, **more}


def make_config() -> dict:
    """Return the config of the small deployment."""
    return {
        "version": 1,
        "routes": [
            make_route("notes", "/notes/", "streaming", "writers", maxAttempts=1),
            make_route("query", "/query/", "streaming", "writers", resumable=True),
            make_route("booking", "/booking/", "non_idempotent", "app"),
            make_route("lookup", "/lookup/", "idempotent", "app"),
        ],
        "services": [
            {"name": "writers", "engine": {"slots": 4, "kvCapacity": 100_000}},
            {"name": "app"},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 30000,
        },
        "tenants": [{"name": "litter-notes", "apiKeys": [KEY], "priority": 0}],
    }


async def wait_until(condition, limit_s: float, text: str) -> None:
    """Wait for a condition.

    Raises
    ------
    TimeoutError
        It does not hold in time.
    """
    ends_at_s = time.monotonic() + limit_s
    while True:
        held = condition()
        if asyncio.iscoroutine(held):
            held = await held
        if held:
            return
        if time.monotonic() > ends_at_s:
            raise TimeoutError(text)
        await asyncio.sleep(0.05)


async def wait_until_ready(routers: list[Router]) -> None:
    """Wait until all routers are ready."""
    for router in routers:
        await wait_until(router.is_ready, 20.0, f"{router.name} is not ready")


@contextlib.asynccontextmanager
async def run_routers(names, store: str, record: Record, last_after_s: float = 0.0):
    """Run routers, each at a loopback address of its own, while the context is open.

    The last one starts ``last_after_s`` seconds after the others.
    """
    with tempfile.TemporaryDirectory() as folder:
        routers = [
            Router(name, f"127.0.0.{11 + i}", store, Path(folder), record)
            for i, name in enumerate(names)
        ]
        supervisors = []
        try:
            for router in routers:
                if router is routers[-1]:
                    await asyncio.sleep(last_after_s)
                router.start()
                supervisors.append(asyncio.create_task(router.supervise()))
            yield routers
        finally:
            for supervisor in supervisors:
                supervisor.cancel()
            for router in routers:
                router.kill()
                if "KEEP_LOGS" in os.environ:
                    target = Path(os.environ["KEEP_LOGS"]) / router.log.name
                    target.write_bytes(router.log.read_bytes())


def run_case(check, folder: Path) -> None:
    """Run ``check(record)``, which returns an exit code, and exit with it."""
    record = Record(folder)
    record.write(f"TROUBLE={int(has_trouble())}")
    try:
        code = asyncio.run(check(record))
    except Exception as error:
        record.write(f"could not run: {error!r}")
        code = UNUSABLE
    record.write(f"exit code {code}")
    sys.exit(code)
