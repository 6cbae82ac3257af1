"""The platform's settings file."""

import math
import os
from collections.abc import Mapping
from pathlib import Path

import msgspec

from ..decoding import decode_toml
from ..errors import MessageError, SettingsError
from ..forwarding.settings import EntrySettings
from ..ids import FailureDomain, HostId

__all__ = [
    "METRICS_PORT",
    "SETTINGS_VARIABLE",
    "load_entry_settings",
    "parse_entry_settings",
]

SETTINGS_VARIABLE = "PRIMROSEPIER_CONFIG"
STORE_FORM = "kv"
# Rules where replicas have too little room for their calls at times.
PRESSURE = "pressure"
MS = 0.001
MIB = 1024 * 1024
# Port for metrics: the default of OpenTelemetry's Prometheus exporter, since the
# settings file contains none. Must match deploy/system.toml.
METRICS_PORT = 9464


class _Listen(msgspec.Struct, rename="camel"):
    frontend: str
    readiness: str


class _Bounds(msgspec.Struct, rename="camel"):
    """Limits that the platform requires of the router."""

    grace_s: float = 8.0
    drain_ms: float = 2000.0
    # Time within which a stored configuration must be in force.
    config_apply_ms: float = 2000.0
    # Whether revoke_ms applies. Otherwise nothing limits how long a revoked key still
    # works.
    strict_revoke: bool = False
    revoke_ms: float = 5000.0
    # Retries per call within the window, over all routers.
    retry_budget_ratio: float = 0.2
    retry_budget_extra: float = 0.0
    budget_window_s: float = 10.0
    # Not the time to live of a lease: the required gap between orders of two holders.
    lease_ms: float = 3000.0
    # Time within which a weights version that operators request must be in use.
    version_ms: float = 12000.0
    # In each window, calls of a workspace may cost its quota for the window, more by
    # this ratio and by the slack.
    quota_window_s: float = 8.0
    quota_overshoot: float = 0.1
    quota_slack: float = 0.0


class _Limits(msgspec.Struct, rename="camel"):
    """What a process may use. One that uses more memory is killed."""

    memory_mb: float = math.inf
    max_fds: float = math.inf


class _Store(msgspec.Struct, rename="camel"):
    address: str
    form: str = STORE_FORM
    writes_per_s: float = 100.0
    reads_per_s: float = 500.0
    ttl_min_ms: float = 1000.0


class _Settings(msgspec.Struct, rename="camel"):
    node_name: str
    ip: str
    # First and last port reserved for messages between routers.
    internal_ports: tuple[int, int]
    # The router's failure domain.
    zone: str
    listen: _Listen
    platform: _Store
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    heartbeat_ms: float = 1200.0
    # Parts of the rules that are in force.
    contracts: list[str] = []
    # Whether the whole system starts for the first time.
    first_start: bool = False


def load_entry_settings(environment: Mapping[str, str] = os.environ) -> EntrySettings:
    """Read the settings file that ``PRIMROSEPIER_CONFIG`` names.

    Raises
    ------
    SettingsError
        The variable is not set, the file can't be read, or a value is missing or
        invalid.
    """
    name = environment.get(SETTINGS_VARIABLE, "")
    if not name:
        raise SettingsError("-", "-", SETTINGS_VARIABLE, "the variable is not set")
    try:
        text = Path(name).read_bytes()
    except OSError as cause:
        raise SettingsError(name, "-", "-", str(cause)) from cause
    return parse_entry_settings(text, name)


def parse_entry_settings(text: bytes, file: str) -> EntrySettings:
    """Parse the TOML text of a settings file.

    Raises
    ------
    SettingsError
        The text is not TOML, or a value is missing or invalid.
    """
    try:
        file_settings = decode_toml(text, _Settings)
    except MessageError as cause:
        raise SettingsError(file, "-", "-", str(cause)) from cause
    if file_settings.platform.form != STORE_FORM:
        problem = f"only the form {STORE_FORM} is supported"
        raise SettingsError(file, "platform", "form", problem)
    bounds = file_settings.bounds
    return EntrySettings(
        host=HostId(file_settings.node_name),
        failure_domain=FailureDomain(file_settings.zone),
        callers_address=file_settings.listen.frontend,
        readiness_address=file_settings.listen.readiness,
        peers_address=f"{file_settings.ip}:{file_settings.internal_ports[0]}",
        metrics_address=f"{file_settings.ip}:{METRICS_PORT}",
        store_address=file_settings.platform.address,
        store_writes_per_s=file_settings.platform.writes_per_s,
        store_reads_per_s=file_settings.platform.reads_per_s,
        shortest_lease_s=file_settings.platform.ttl_min_ms * MS,
        grace_s=bounds.grace_s,
        revoke_s=bounds.revoke_ms * MS if bounds.strict_revoke else None,
        repeat_ratio=bounds.retry_budget_ratio,
        repeat_extra=bounds.retry_budget_extra,
        repeat_window_s=bounds.budget_window_s,
        holder_gap_s=bounds.lease_ms * MS,
        apply_s=bounds.config_apply_ms * MS,
        drain_s=bounds.drain_ms * MS,
        weights_s=bounds.version_ms * MS,
        heartbeat_s=file_settings.heartbeat_ms * MS,
        memory_bytes=file_settings.limits.memory_mb * MIB,
        limits_prefills=PRESSURE in file_settings.contracts,
        max_fds=file_settings.limits.max_fds,
        is_first_start=file_settings.first_start,
        quota_window_s=bounds.quota_window_s,
        quota_overshoot=bounds.quota_overshoot,
        quota_slack=bounds.quota_slack,
    )
