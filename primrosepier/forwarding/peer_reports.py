"""Reports of routers to each other, and the sections that parts add to them."""

from collections.abc import Mapping, Sequence
from typing import Any, NewType, Protocol

import msgspec

from ..decoding import decode_msgpack
from ..endpoint_limits import SharedLimit
from ..endpoint_windows import SharedBrittleness
from ..errors import MessageError
from ..ids import EndpointId, HostId
from ..loss_log import LossReport
from .loading_record import LoadingRecord
from .prefixes import PrefixUpdate

__all__ = [
    "PeerReport",
    "ReportSection",
    "SectionName",
    "SectionedReport",
    "apply_sections",
    "decode_report",
    "encode_report",
    "make_sections",
]

SectionName = NewType("SectionName", str)


class ReportSection(Protocol):
    """A part of the router that adds a section to its reports.

    Attributes
    ----------
    name : SectionName
        Short, as it is sent with each report.
    """

    name: SectionName

    def must_report(self, now_s: float) -> bool:
        """Return whether there is a change to report at once."""

    def make(self, now_s: float) -> bytes:
        """Return the section's content; empty if there is nothing to report."""

    def apply(self, sender: HostId, content: bytes, now_s: float) -> None:
        """Apply another router's section.

        Raises
        ------
        MessageError
            The content can't be read.
        """


class PeerReport(msgspec.Struct, frozen=True, array_like=True):
    """Report of one router to a peer.

    Parameters
    ----------
    token : str
        The receiver's token, from its entry in the store.
    tokens : Mapping of EndpointId to int
        The sender's pending prompt tokens at each replica.
    prefixes : sequence of PrefixUpdate
        Prefixes that replicas compute or have cached for the sender's calls.
    loading_record : LoadingRecord or None
        Replicas that are loading weights on the sender's orders; None if the sender
        does not hold the weights duty.
    decoding : Mapping of EndpointId to int
        The sender's calls whose output each replica generates.
    losses : LossReport or None
        Calls that were lost with their replicas; None if there is nothing to report.
    limits : Mapping of EndpointId to SharedLimit
        Limits of replicas that have changed.
    brittle : Mapping of EndpointId to SharedBrittleness
        Replicas that became or ceased to be brittle.
    waits_ms : Mapping of EndpointId to int
        How long the sender's calls wait at replicas with old weights, milliseconds.
    """

    token: str
    sender: HostId
    tokens: Mapping[EndpointId, int] = msgspec.field(default_factory=dict)
    prefixes: Sequence[PrefixUpdate] = ()
    loading_record: LoadingRecord | None = None
    decoding: Mapping[EndpointId, int] = msgspec.field(default_factory=dict)
    losses: LossReport | None = None
    limits: Mapping[EndpointId, SharedLimit] = msgspec.field(default_factory=dict)
    brittle: Mapping[EndpointId, SharedBrittleness] = msgspec.field(
        default_factory=dict
    )
    waits_ms: Mapping[EndpointId, int] = msgspec.field(default_factory=dict)


class SectionedReport(PeerReport, frozen=True, array_like=True):
    """Report with sections; one without any is sent as a `PeerReport`.

    Parameters
    ----------
    sections : Mapping of SectionName to bytes
        What further parts of the router report, in their own encoding. A receiver
        ignores the sections that it doesn't know.
    """

    sections: Mapping[SectionName, bytes] = msgspec.field(default_factory=dict)


def encode_report(
    report: PeerReport, sections: Mapping[SectionName, bytes] | None = None
) -> bytes:
    """Encode a report and the sections that it has, if any."""
    if not sections:
        return msgspec.msgpack.encode(report)
    sectioned = SectionedReport(**msgspec.structs.asdict(report), sections=sections)
    return msgspec.msgpack.encode(sectioned)


def decode_report(data: bytes) -> tuple[PeerReport, list[str]]:
    """Return a report, and the names of its parts that can't be read.

    These are left out of the report, since a later build may have changed them.

    Raises
    ------
    MessageError
        The data is no report, or its token or sender can't be read.
    """
    try:
        report = decode_msgpack(data, SectionedReport)
        return report if report.sections else _drop_sections(report), []
    except MessageError:
        parts = decode_msgpack(data, list[msgspec.Raw])
    read: dict[str, Any] = {}
    unreadable = []
    for part, raw in zip(msgspec.structs.fields(SectionedReport), parts, strict=False):
        try:
            read[part.name] = decode_msgpack(bytes(raw), part.type)
        except MessageError:
            unreadable.append(part.name)
    if not {"token", "sender"} <= read.keys():
        raise MessageError("the token or the sender can't be read")
    return SectionedReport(**read), unreadable


def _drop_sections(report: SectionedReport) -> PeerReport:
    values = msgspec.structs.asdict(report)
    del values["sections"]
    return PeerReport(**values)


def make_sections(
    parts: Sequence[ReportSection], now_s: float
) -> dict[SectionName, bytes]:
    """Return the sections that have content."""
    contents = {part.name: part.make(now_s) for part in parts}
    return {name: content for name, content in contents.items() if content}


def apply_sections(
    parts: Sequence[ReportSection], report: PeerReport, now_s: float
) -> list[str]:
    """Apply the sections of a report; return the names of those that can't be read."""
    unreadable: list[str] = []
    if not isinstance(report, SectionedReport):
        return unreadable
    for part in parts:
        content = report.sections.get(part.name)
        if content is None:
            continue
        try:
            part.apply(report.sender, content, now_s)
        except MessageError:
            unreadable.append(part.name)
    return unreadable
