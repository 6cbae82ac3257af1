"""Settings of one router process."""

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
    """Bounds on what a caller may send and hold.

    Parameters
    ----------
    body_bytes, header_bytes : int
    streams : int
        Requests in progress at this router.
    request_s : float
        Longest time of a request, seconds.
    connect_s : float
        Longest time to connect to an endpoint, seconds.
    header_s, body_s : float
        Longest time for a caller to send its headers and its body, seconds.
    queue_s : float
        Longest time that a request waits for an endpoint, seconds.
    queue_requests : int
        Requests that wait for one service at this router.
    """

    body_bytes: int = 4 * MIB
    header_bytes: int = 32 * 1024
    streams: int = 4000
    request_s: float = 600.0
    connect_s: float = 2.0
    header_s: float = 10.0
    body_s: float = 30.0
    queue_s: float = 5.0
    queue_requests: int = 1000


@dataclass(frozen=True, slots=True)
class LeaseBounds:
    """Times of leases, and bounds on what the hosts may do, seconds.

    Parameters
    ----------
    ttl_s : float
        Time to live of a duty's lease.
    pause_s : float
        Longest time that a process stands still between its check of the lease and
        the send.
    order_s : float
        Longest time that an order is under way to an endpoint.
    clock_rate : float
        Largest relative difference between two hosts' clocks.
    rank_s : float
        Time by which each next candidate waits longer for a free duty.
    """

    ttl_s: float = 10.0
    pause_s: float = 5.0
    order_s: float = 2.0
    clock_rate: float = 0.01
    rank_s: float = 0.5

    def compute_hold_s(self) -> float:
        """Return the time after asking for a lease until which it surely lasts."""
        return self.ttl_s * (1.0 - self.clock_rate)

    def compute_wait_s(self) -> float:
        """Return the time for which an order of the holder before may still arrive."""
        return (self.pause_s + self.order_s) * (1.0 + self.clock_rate)


@dataclass(frozen=True, slots=True)
class LogSettings:
    """What is logged, and where to.

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
    """Checked settings of one router.

    Parameters
    ----------
    callers_address, peers_address, store_address : str
        ``IP:PORT``.
    peers : tuple of str
        Addresses of other routers to join, ``IP:PORT``.
    store_writes_per_s, store_reads_per_s : float
        Calls that all routers together may make on the key-value service.
    hosts_url : str
        Where the host list is read; empty when there is none.
    peer_key : str
        Shared by all routers, from ``key_file`` or the environment variable
        ``PRIMROSEPIER_PEER_KEY``; empty for none.
    stop_wait_s : float
        Time between "not ready" and the end of listening, seconds.
    stop_streams_s : float
        Longest wait for streams in progress at a planned stop, seconds.
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
        The file can't be read, or a value in it is wrong.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as cause:
        raise SettingsError(str(path), "-", "-", str(cause)) from cause
    return parse_settings(text, str(path))


def parse_settings(text: str, file: str) -> RouterSettings:
    """Return the settings that INI text holds."""
    parser = parse_ini(text, file)
    readers = {}
    for section in parser.sections():
        readers[section] = SectionReader(file, section, parser[section], SettingsError)
    for name in SECTIONS:
        readers.setdefault(name, SectionReader(file, name, {}, SettingsError))
    settings = _read_settings(readers)
    for reader in readers.values():
        if not reader.seen:
            allowed = ", ".join(f"[{name}]" for name in sorted(SECTIONS))
            raise reader.fail("-", f"section is unknown; allowed are {allowed}")
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
        peer_key=_read_key(readers["peers"]),
        limits=_read_limits(readers["limits"]),
        leases=_read_leases(readers["leases"]),
        store_writes_per_s=platform.read_float("store_writes_per_s", 300.0, low=1.0),
        store_reads_per_s=platform.read_float("store_reads_per_s", 1500.0, low=1.0),
        logs=_read_logs(readers["logs"]),
    )


def _read_logs(reader: SectionReader) -> LogSettings:
    return LogSettings(
        level=reader.read_choice("level", LOG_LEVELS, "info"),
        sink=reader.read_text("sink", "stderr"),
    )


def _read_key(reader: SectionReader) -> str:
    file = reader.read_text("key_file", "")
    if not file:
        return os.environ.get(PEER_KEY_VARIABLE, "")
    try:
        return Path(file).read_text(encoding="utf-8").strip()
    except OSError as cause:
        raise reader.fail("key_file", str(cause)) from cause


def _read_limits(reader: SectionReader) -> Limits:
    usual = Limits()
    return Limits(
        body_bytes=reader.read_int("body_bytes", usual.body_bytes, low=1),
        header_bytes=reader.read_int("header_bytes", usual.header_bytes, low=1),
        streams=reader.read_int("streams", usual.streams, low=1),
        request_s=reader.read_float("request_s", usual.request_s, low=0.1),
        connect_s=reader.read_float("connect_s", usual.connect_s, low=0.01),
        header_s=reader.read_float("header_s", usual.header_s, low=0.01),
        body_s=reader.read_float("body_s", usual.body_s, low=0.01),
        queue_s=reader.read_float("queue_s", usual.queue_s),
        queue_requests=reader.read_int("queue_requests", usual.queue_requests, low=1),
    )


def _read_leases(reader: SectionReader) -> LeaseBounds:
    usual = LeaseBounds()
    bounds = LeaseBounds(
        ttl_s=reader.read_float("ttl_s", usual.ttl_s, low=2.0),
        pause_s=reader.read_float("pause_s", usual.pause_s),
        order_s=reader.read_float("order_s", usual.order_s, low=0.1),
        clock_rate=reader.read_float("clock_rate", usual.clock_rate),
        rank_s=reader.read_float("rank_s", usual.rank_s),
    )
    if bounds.order_s >= bounds.compute_hold_s():
        raise reader.fail("order_s", "must be shorter than the lease")
    return bounds
