"""Validates the platform's settings and deploy files."""

from pathlib import Path
from typing import Any

import msgspec

from ..cli import COMMANDS
from ..decoding import decode_toml
from ..errors import MessageError, SettingsError
from .settings import METRICS_PORT, parse_entry_settings

__all__ = ["check_platform_file"]

RUN_PREFIX = "python3 -m primrosepier "
EXPECTED_METRICS = f"{METRICS_PORT}/metrics"


class _Role(msgspec.Struct, forbid_unknown_fields=True):
    run: str
    on: str
    share: float = 1.0
    count: int = 0
    serves: list[str] = []
    metrics: str = ""
    apart: bool = False
    template: str = ""
    env: dict[str, str] = {}


class _Deploy(msgspec.Struct, forbid_unknown_fields=True):
    build: str
    roles: dict[str, _Role]
    packages: list[str] = []


def check_platform_file(path: Path) -> str:
    """Validate a settings file or a deploy file, and return a one-line summary.

    Raises
    ------
    SettingsError
        The file can't be read, or a value in it is missing or invalid.
    """
    try:
        text = path.read_bytes()
        content = decode_toml(text, dict[str, Any])
    except (OSError, MessageError) as cause:
        raise SettingsError(str(path), "-", "-", str(cause)) from cause
    if "roles" in content:
        return _check_deploy(text, str(path))
    settings = parse_entry_settings(text, str(path))
    return f"valid: settings of {settings.host} in {settings.failure_domain}"


def _check_deploy(text: bytes, file: str) -> str:
    try:
        deploy = decode_toml(text, _Deploy)
    except MessageError as cause:
        raise SettingsError(file, "-", "-", str(cause)) from cause
    for name, role in deploy.roles.items():
        command = role.run.removeprefix(RUN_PREFIX).split(" ")[0]
        if not role.run.startswith(RUN_PREFIX) or command not in COMMANDS:
            problem = f"must start with {RUN_PREFIX}COMMAND, and COMMAND must exist"
            raise SettingsError(file, f"roles.{name}", "run", problem)
        if role.metrics not in ("", EXPECTED_METRICS):
            raise SettingsError(
                file, f"roles.{name}", "metrics", f"must be {EXPECTED_METRICS}"
            )
        if not 0 < role.share <= 1:
            problem = "must be greater than 0 and at most 1"
            raise SettingsError(file, f"roles.{name}", "share", problem)
    return f"valid: {len(deploy.roles)} roles"
