"""Human-readable differences between two configurations."""

from collections.abc import Mapping
from dataclasses import fields
from typing import Any

from .configuration import Configuration

__all__ = ["describe_changes"]

# Fields that are named in a difference without their values.
REDACTED_FIELDS = frozenset({"key_sha256"})


def describe_changes(before: Configuration, after: Configuration) -> list[str]:
    """Return one line for each added (+), removed (-) or changed (~) entity."""
    lines = []
    for kind in fields(Configuration):
        name = kind.name.removesuffix("s")
        old, new = getattr(before, kind.name), getattr(after, kind.name)
        lines.extend(_describe_kind(name, old, new))
    return lines


def _describe_kind(
    kind: str, old: Mapping[Any, Any], new: Mapping[Any, Any]
) -> list[str]:
    lines = [f"- {kind} {name}" for name in sorted(old.keys() - new.keys())]
    lines += [f"+ {kind} {name}" for name in sorted(new.keys() - old.keys())]
    for name in sorted(old.keys() & new.keys()):
        if old[name] != new[name]:
            lines.append(f"~ {kind} {name}: {_describe_fields(old[name], new[name])}")
    return lines


def _describe_fields(old: Any, new: Any) -> str:
    parts = []
    for item in fields(old):
        old_value, new_value = getattr(old, item.name), getattr(new, item.name)
        if old_value == new_value:
            continue
        if item.name in REDACTED_FIELDS:
            parts.append(f"{item.name} changed")
        else:
            parts.append(
                f"{item.name} {_format_value(old_value)} -> {_format_value(new_value)}"
            )
    return ", ".join(parts)


def _format_value(value: Any) -> str:
    if isinstance(value, tuple):
        return ", ".join(str(part) for part in value) or "none"
    return str(value)
