"""Typed access to INI sections."""

import configparser
import math
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from .addresses import parse_port
from .errors import ConfigurationError, SettingsError

__all__ = ["SectionReader", "parse_ini"]

INTEGER = re.compile(r"-?[0-9]{1,18}")
TRUE_WORDS = frozenset({"yes", "true", "on"})
FALSE_WORDS = frozenset({"no", "false", "off"})


def parse_ini(
    text: str, file: str, error: type[SettingsError] = SettingsError
) -> configparser.ConfigParser:
    """Parse INI text.

    Raises
    ------
    SettingsError
        The text is not valid INI.
    """
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(text, source=file)
    except configparser.Error as cause:
        message = " ".join(str(cause).split())
        raise error(file, "-", "-", f"not valid INI: {message}") from cause
    return parser


@dataclass(slots=True)
class SectionReader:
    """Reads the keys of one section and detects unknown ones.

    Parameters
    ----------
    file, section : str
        Source of the values, for error messages.
    values : Mapping of str to str
        Texts of the section by key.
    error : type
        Exception type for invalid values.

    Attributes
    ----------
    read_keys : set of str
        Keys read so far; all others are unknown.
    """

    file: str
    section: str
    values: Mapping[str, str]
    error: type[SettingsError] = ConfigurationError
    read_keys: set[str] = field(default_factory=set)

    def make_error(self, key: str, problem: str) -> SettingsError:
        """Return the error for a key, for the caller to raise."""
        return self.error(self.file, self.section, key, problem)

    def read_text(self, key: str, default: str | None = None) -> str:
        """Return a value as text; a key without a default is required."""
        self.read_keys.add(key)
        if key in self.values:
            return self.values[key].strip()
        if default is None:
            raise self.make_error(key, "is missing")
        return default

    def read_int(self, key: str, default: int, minimum: int = 0) -> int:
        """Return an integer of at least ``minimum``."""
        text = self.read_text(key, str(default))
        if not INTEGER.fullmatch(text) or int(text) < minimum:
            raise self.make_error(
                key, f"{text!r} is not a whole number of {minimum} or more"
            )
        return int(text)

    def read_float(self, key: str, default: float, minimum: float = 0.0) -> float:
        """Return a finite number of at least ``minimum``."""
        text = self.read_text(key, str(default))
        try:
            number = float(text)
        except ValueError:
            number = math.nan
        if not math.isfinite(number) or number < minimum:
            raise self.make_error(key, f"{text!r} is not a number of {minimum} or more")
        return number

    def read_bool(self, key: str, default: bool) -> bool:
        """Return a boolean, written as yes/no, true/false or on/off."""
        text = self.read_text(key, "yes" if default else "no").lower()
        if text in TRUE_WORDS:
            return True
        if text in FALSE_WORDS:
            return False
        raise self.make_error(key, f"{text!r} is neither yes nor no")

    def read_list(self, key: str, default: str | None = "") -> tuple[str, ...]:
        """Return the comma-separated items of a value."""
        items = self.read_text(key, default).split(",")
        return tuple(item.strip() for item in items if item.strip())

    def read_choice(self, key: str, choices: Iterable[str], default: str) -> str:
        """Return one of the allowed values."""
        text = self.read_text(key, default)
        allowed = sorted(choices)
        if text not in allowed:
            raise self.make_error(key, f"{text!r} is not one of {', '.join(allowed)}")
        return text

    def read_address(self, key: str, default: str | None = None) -> str:
        """Return an address of the form ``IP:PORT``."""
        text = self.read_text(key, default)
        host, separator, port = text.rpartition(":")
        if not host or not separator or parse_port(port) is None:
            raise self.make_error(
                key, f"{text!r} is not an address of the form IP:PORT"
            )
        return text

    def check_unknown(self) -> None:
        """Raise an error for the first key that was never read."""
        for key in self.values:
            if key not in self.read_keys:
                allowed = ", ".join(sorted(self.read_keys))
                raise self.make_error(key, f"is unknown; allowed are {allowed}")
