"""JSON encoding of the etcd v3 API for the stand-in of the key-value service."""

import base64
from collections.abc import Callable
from typing import Any

from .keyvalue import (
    Change,
    Condition,
    DeleteRange,
    Operation,
    OperationResult,
    PutKey,
    Range,
    RangeResult,
    Record,
    Relation,
    Target,
)

__all__ = [
    "decode_condition",
    "decode_delete",
    "decode_operation",
    "decode_put",
    "decode_range",
    "encode_change",
    "encode_range_result",
    "encode_result",
]

# Names of the enum values, each at the index that is its protobuf number.
SORT_ORDERS = ("NONE", "ASCEND", "DESCEND")
SORT_TARGETS = ("KEY", "VERSION", "CREATE", "MOD", "VALUE")
RELATIONS = ("EQUAL", "GREATER", "LESS", "NOT_EQUAL")
TARGETS = ("VERSION", "CREATE", "MOD", "VALUE", "LEASE")

JsonObject = dict[str, Any]


def _decode_bytes(body: JsonObject, name: str) -> bytes:
    return base64.b64decode(body.get(name) or "", validate=True)


def _decode_enum(value: Any, names: tuple[str, ...]) -> str:
    if isinstance(value, int):
        return names[value]
    return names[names.index(value)] if value else names[0]


def decode_range(body: JsonObject) -> Range:
    """Decode a range read."""
    target = _decode_enum(body.get("sort_target"), SORT_TARGETS)
    return Range(
        key=_decode_bytes(body, "key"),
        end=_decode_bytes(body, "range_end"),
        limit=int(body.get("limit", 0)),
        sort_by=None if target == "KEY" else Target[target],
        descending=_decode_enum(body.get("sort_order"), SORT_ORDERS) == "DESCEND",
        keys_only=bool(body.get("keys_only")),
        count_only=bool(body.get("count_only")),
        min_mod_revision=int(body.get("min_mod_revision", 0)),
        max_mod_revision=int(body.get("max_mod_revision", 0)),
    )


def decode_put(body: JsonObject) -> PutKey:
    """Decode a write."""
    key, value = _decode_bytes(body, "key"), _decode_bytes(body, "value")
    return PutKey(key, value, int(body.get("lease", 0)))


def decode_delete(body: JsonObject) -> DeleteRange:
    """Decode a deletion."""
    return DeleteRange(_decode_bytes(body, "key"), _decode_bytes(body, "range_end"))


def decode_operation(entry: JsonObject) -> Operation:
    """Decode an operation of a transaction."""
    ((name, body),) = entry.items()
    decoders: dict[str, Callable[[JsonObject], Operation]] = {
        "request_range": decode_range,
        "request_put": decode_put,
        "request_delete_range": decode_delete,
    }
    return decoders[name](body)


def decode_condition(entry: JsonObject) -> Condition:
    """Decode a comparison of a transaction."""
    target = Target[_decode_enum(entry.get("target"), TARGETS)]
    value: int | bytes
    if target is Target.VALUE:
        value = _decode_bytes(entry, "value")
    else:
        value = int(entry.get(target.value, 0))
    return Condition(
        key=_decode_bytes(entry, "key"),
        target=target,
        value=value,
        relation=Relation(_decode_enum(entry.get("result"), RELATIONS)),
        end=_decode_bytes(entry, "range_end"),
    )


def encode_record(record: Record) -> JsonObject:
    """Encode a record, without fields that have default values."""
    encoded = {"key": base64.b64encode(record.key).decode()}
    if record.value:
        encoded["value"] = base64.b64encode(record.value).decode()
    for name in ("create_revision", "mod_revision", "version", "lease"):
        value = getattr(record, name)
        if value:
            encoded[name] = str(value)
    return encoded


def encode_range_result(result: RangeResult) -> JsonObject:
    """Encode the result of a read, without fields that have default values."""
    encoded: JsonObject = {}
    if result.records:
        encoded["kvs"] = [encode_record(record) for record in result.records]
    if result.more:
        encoded["more"] = True
    if result.count:
        encoded["count"] = str(result.count)
    return encoded


def encode_result(
    operation: Operation, result: OperationResult, request: JsonObject
) -> JsonObject:
    """Encode the result of an operation, with previous records if requested."""
    with_previous = bool(request.get("prev_kv"))
    if isinstance(operation, Range) and isinstance(result, RangeResult):
        return encode_range_result(result)
    if isinstance(result, RangeResult):
        deleted: JsonObject = {"deleted": str(result.count)} if result.count else {}
        if with_previous and result.records:
            deleted["prev_kvs"] = [encode_record(record) for record in result.records]
        return deleted
    if with_previous and result is not None:
        return {"prev_kv": encode_record(result)}
    return {}


def encode_change(
    change: Change, is_watched: Callable[[bytes], bool]
) -> list[JsonObject]:
    """Encode the watched events of a revision.

    The event of a write has no type, because PUT is the default.
    """
    events: list[JsonObject] = []
    for record in change.written:
        if is_watched(record.key):
            events.append({"kv": encode_record(record)})
    for record in change.deleted:
        if is_watched(record.key):
            key = base64.b64encode(record.key).decode()
            kv = {"key": key, "mod_revision": str(change.revision)}
            events.append({"type": "DELETE", "kv": kv})
    return events
