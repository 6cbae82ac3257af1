"""Settings of a router process."""

import os
from dataclasses import dataclass
from pathlib import Path

from .errors import SettingsError
from .ids import FailureDomain, HostId
from .ini import SectionReader, parse_ini

__all__ = [
    "LeaseBounds",
    "Limits",
    "LogSettings",
    "RouterSettings",
    "load_settings",
    "parse_settings",
]

MIB = 1024 * 1024
SECTIONS = ("router", "platform", "peers", "limits", "leases", "logs")
PEER_KEY_VARIABLE = "PRIMROSEPIER_PEER_KEY"
LOG_LEVELS = ("off", "error", "info", "debug")


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on callers' requests, with time-outs.

    Parameters
    ----------
    body_bytes, header_bytes : int
        Maximum sizes of a request's body and of its headers.
    memory_bytes : int
        Memory that the process may use; 0 for no limit.
    streams : int
        Maximum number of requests in progress at this router.
    request_s : float
        Time-out for a whole request in seconds.
    connect_s : float
        Time-out for connecting to an endpoint in seconds.
    header_s, body_s : float
        Time-outs for receiving a caller's headers and body in seconds.
    queue_s : float
        Maximum time that a request is queued for an endpoint in seconds.
    queue_requests : int
        Maximum number of requests queued for one service at this router.
    """

    body_bytes: int = 4 * MIB
    header_bytes: int = 32 * 1024
    memory_bytes: int = 0
    streams: int = 4000
    request_s: float = 600.0
    connect_s: float = 2.0
    header_s: float = 10.0
    body_s: float = 30.0
    queue_s: float = 5.0
    queue_requests: int = 1000


@dataclass(frozen=True, slots=True)
class LeaseBounds:
    """Lease times and the timing assumptions about hosts that leases rely on.

    Parameters
    ----------
    ttl_s : float
        Time to live of a duty's lease in seconds.
    pause_s : float
        Maximum time that a process may pause between checking its lease and sending
        an order, in seconds.
    order_s : float
        Maximum time for an order to reach an endpoint, in seconds.
    clock_rate : float
        Maximum relative difference between the rates of two hosts' clocks.
    rank_s : float
        Additional delay per rank before a candidate acquires a free duty, in
        seconds.
    """

    ttl_s: float = 10.0
    pause_s: float = 5.0
    order_s: float = 2.0
    clock_rate: float = 0.01
    rank_s: float = 0.5

    def compute_safe_hold_s(self) -> float:
        """Return the minimum time in seconds from a lease's request to its expiry."""
        return self.ttl_s * (1.0 - self.clock_rate)

    def compute_takeover_wait_s(self) -> float:
        """Return the maximum delay in seconds of orders of the previous holder."""
        return (self.pause_s + self.order_s) * (1.0 + self.clock_rate)


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Level and destination of the log.

    Parameters
    ----------
    level : str
        ``off``, ``error``, ``info`` or ``debug``.
    sink : str
        ``none``, ``stderr``, ``stdout`` or the path of a file or named pipe.
    """

    level: str = "info"
    sink: str = "none"


@dataclass(frozen=True, slots=True)
class RouterSettings:
    """Validated settings of one router.

    Parameters
    ----------
    callers_address, peers_address, store_address : str
        ``IP:PORT``.
    peers : tuple of str
        Addresses of other routers to join, ``IP:PORT``.
    store_writes_per_s, store_reads_per_s : float
        Limits on the calls of all routers together to the key-value service.
    hosts_url : str
        URL of the host list; empty for none.
    peer_key : str
        Key shared by all routers, from ``key_file`` or the environment variable
        ``PRIMROSEPIER_PEER_KEY``; empty for none.
    stop_wait_s : float
        Time between reporting "not ready" and closing the listener, in seconds.
    stop_streams_s : float
        Maximum time that a planned stop waits for open streams, in seconds.
    """

    host: HostId
    failure_domain: FailureDomain
    callers_address: str
    peers_address: str
    store_address: str
    peers: tuple[str, ...] = ()
    hosts_url: str = ""
    peer_key: str = ""
    stop_wait_s: float = 2.0
    stop_streams_s: float = 3600.0
    limits: Limits = Limits()
    leases: LeaseBounds = LeaseBounds()
    store_writes_per_s: float = 300.0
    store_reads_per_s: float = 1500.0
    logs: LogSettings = LogSettings()


def load_settings(path: Path) -> RouterSettings:
    """Read a settings file.

    Raises
    ------
    SettingsError
        The file can't be read, or a value is invalid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as cause:
        raise SettingsError(str(path), "-", "-", str(cause)) from cause
    return parse_settings(text, str(path))


def parse_settings(text: str, file: str) -> RouterSettings:
    """Parse the INI text of a settings file.

    Raises
    ------
    SettingsError
        The text is not valid INI, or a section, key or value is invalid.
    """
    parser = parse_ini(text, file)
    readers = {}
    for section in parser.sections():
        readers[section] = SectionReader(file, section, parser[section], SettingsError)
    for name in SECTIONS:
        readers.setdefault(name, SectionReader(file, name, {}, SettingsError))
    settings = _read_settings(readers)
    for reader in readers.values():
        if not reader.read_keys:
            allowed = ", ".join(f"[{name}]" for name in sorted(SECTIONS))
            raise reader.make_error("-", f"section is unknown; allowed are {allowed}")
        reader.check_unknown()
    return settings


def _read_settings(readers: dict[str, SectionReader]) -> RouterSettings:
    router = readers["router"]
    platform = readers["platform"]
    return RouterSettings(
        host=HostId(router.read_text("host")),
        failure_domain=FailureDomain(router.read_text("failure_domain")),
        callers_address=router.read_address("callers_address"),
        peers_address=router.read_address("peers_address"),
        stop_wait_s=router.read_float("stop_wait_s", 2.0),
        stop_streams_s=router.read_float("stop_streams_s", 3600.0),
        store_address=platform.read_address("store_address"),
        hosts_url=platform.read_text("hosts_url", ""),
        peers=readers["peers"].read_list("addresses"),
        peer_key=_read_peer_key(readers["peers"]),
        limits=_read_limits(readers["limits"]),
        leases=_read_leases(readers["leases"]),
        store_writes_per_s=platform.read_float(
            "store_writes_per_s", 300.0, minimum=1.0
        ),
        store_reads_per_s=platform.read_float("store_reads_per_s", 1500.0, minimum=1.0),
        logs=_read_logs(readers["logs"]),
    )


def _read_logs(reader: SectionReader) -> LogSettings:
    return LogSettings(
        level=reader.read_choice("level", LOG_LEVELS, "info"),
        sink=reader.read_text("sink", "stderr"),
    )


def _read_peer_key(reader: SectionReader) -> str:
    file = reader.read_text("key_file", "")
    if not file:
        return os.environ.get(PEER_KEY_VARIABLE, "")
    try:
        return Path(file).read_text(encoding="utf-8").strip()
    except OSError as cause:
        raise reader.make_error("key_file", str(cause)) from cause


def _read_limits(reader: SectionReader) -> Limits:
    defaults = Limits()
    return Limits(
        body_bytes=reader.read_int("body_bytes", defaults.body_bytes, minimum=1),
        header_bytes=reader.read_int("header_bytes", defaults.header_bytes, minimum=1),
        memory_bytes=reader.read_int("memory_bytes", defaults.memory_bytes),
        streams=reader.read_int("streams", defaults.streams, minimum=1),
        request_s=reader.read_float("request_s", defaults.request_s, minimum=0.1),
        connect_s=reader.read_float("connect_s", defaults.connect_s, minimum=0.01),
        header_s=reader.read_float("header_s", defaults.header_s, minimum=0.01),
        body_s=reader.read_float("body_s", defaults.body_s, minimum=0.01),
        queue_s=reader.read_float("queue_s", defaults.queue_s),
        queue_requests=reader.read_int(
            "queue_requests", defaults.queue_requests, minimum=1
        ),
    )


def _read_leases(reader: SectionReader) -> LeaseBounds:
    defaults = LeaseBounds()
    bounds = LeaseBounds(
        ttl_s=reader.read_float("ttl_s", defaults.ttl_s, minimum=2.0),
        pause_s=reader.read_float("pause_s", defaults.pause_s),
        order_s=reader.read_float("order_s", defaults.order_s, minimum=0.1),
        clock_rate=reader.read_float("clock_rate", defaults.clock_rate),
        rank_s=reader.read_float("rank_s", defaults.rank_s),
    )
    if bounds.order_s >= bounds.compute_safe_hold_s():
        raise reader.make_error("order_s", "must be shorter than the lease")
    return bounds
