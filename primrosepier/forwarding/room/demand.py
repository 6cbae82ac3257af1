"""Demand for the computation of prompts, over all routers.

Each router reports the rates at which short and long prompts arrive, also those that
wait or are rejected: the load of the replicas alone does not show them.
"""

import math
import statistics
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Annotated

import msgspec

from ...decoding import decode_msgpack
from ...ids import HostId, ServiceId
from ..peer_reports import SectionName

__all__ = ["PromptDemand", "ServiceRates"]

# Time over which rates are averaged, seconds: the sum over many routers is steady, and
# a burst has to be known before it has filled the replicas.
AVERAGING_S = 1.0
# Interval at which the rates are reported at least while prompts arrive, seconds.
REPORT_INTERVAL_S = 0.5
# Age at which another router's rates are ignored, seconds: two reports may be lost.
REPORT_TTL_S = 2.0
# Rates below this are not reported, tokens per second.
MIN_RATE = 1.0
# Services that are read from one report.
MAX_SERVICES = 100

# An infinite or negative rate of one router would decide for all.
TokenRate = Annotated[float, msgspec.Meta(ge=0.0, le=1e15)]


class ServiceRates(msgspec.Struct, frozen=True, array_like=True):
    """Rates at which prompts of one service arrive, in tokens to compute per second.

    Parameters
    ----------
    replica_per_s : float
        Tokens that a replica computes per second; 0 if the sender does not know.
    """

    service: ServiceId
    short_per_s: TokenRate
    long_per_s: TokenRate
    replica_per_s: TokenRate = 0.0


@dataclass(slots=True)
class _Average:
    """Rates of this router for one service, decayed up to a time."""

    updated_at_s: float
    short_per_s: float = 0.0
    long_per_s: float = 0.0

    def compute_rates(self, now_s: float) -> tuple[float, float]:
        """Return the rates of short and of long prompts at a time."""
        kept = math.exp(-max(0.0, now_s - self.updated_at_s) / AVERAGING_S)
        return kept * self.short_per_s, kept * self.long_per_s

    def decay(self, now_s: float) -> None:
        self.short_per_s, self.long_per_s = self.compute_rates(now_s)
        self.updated_at_s = max(now_s, self.updated_at_s)


@dataclass(slots=True)
class PromptDemand:
    """Rates of this router and of the others; a section of the reports.

    Parameters
    ----------
    get_replica_rate : callable
        Returns the prompt tokens that a replica of a service computes per second, as
        far as this router knows; 0 if unknown.

    Attributes
    ----------
    own : dict of ServiceId to _Average
    peers : dict of HostId to (float, tuple of ServiceRates)
        Time of each router's last report, seconds, and its rates.
    """

    get_replica_rate: Callable[[ServiceId], float]
    name: SectionName = SectionName("d")
    own: dict[ServiceId, _Average] = field(default_factory=dict)
    peers: dict[HostId, tuple[float, tuple[ServiceRates, ...]]] = field(
        default_factory=dict
    )
    reported_at_s: float = -math.inf

    def add(self, service: ServiceId, tokens: int, is_long: bool, now_s: float) -> None:
        """Count a call by the prompt tokens that a replica has to compute for it."""
        average = self.own.setdefault(service, _Average(now_s))
        average.decay(now_s)
        if is_long:
            average.long_per_s += tokens / AVERAGING_S
        else:
            average.short_per_s += tokens / AVERAGING_S

    def _list_own(self, now_s: float) -> list[ServiceRates]:
        rates = []
        for service, average in self.own.items():
            short_per_s, long_per_s = average.compute_rates(now_s)
            if short_per_s + long_per_s >= MIN_RATE:
                rates.append(
                    ServiceRates(
                        service,
                        round(short_per_s),
                        round(long_per_s),
                        round(self.get_replica_rate(service)),
                    )
                )
        return rates

    def must_report(self, now_s: float) -> bool:
        """Return whether prompts have arrived and the last report is old."""
        if now_s < self.reported_at_s + REPORT_INTERVAL_S:
            return False
        return bool(self._list_own(now_s))

    def make(self, now_s: float) -> bytes:
        """Return this router's rates; empty if there are none."""
        rates = self._list_own(now_s)
        if not rates:
            return b""
        self.reported_at_s = now_s
        return msgspec.msgpack.encode(rates)

    def apply(self, sender: HostId, content: bytes, now_s: float) -> None:
        """Apply another router's rates.

        Raises
        ------
        MessageError
            The content can't be read.
        """
        rates = decode_msgpack(content, list[ServiceRates])
        self.peers[sender] = now_s, tuple(rates[:MAX_SERVICES])

    def drop_expired(self, now_s: float) -> None:
        """Drop the rates of routers whose last report is too old."""
        self.peers = {
            host: (received_at_s, rates)
            for host, (received_at_s, rates) in self.peers.items()
            if now_s - received_at_s < REPORT_TTL_S
        }

    def compute_total(self, service: ServiceId, now_s: float) -> ServiceRates:
        """Return the demand of all routers, and the median of what a replica computes.

        All routers come to about the same result, so that they divide replicas alike.
        """
        listed = [
            entry
            for received_at_s, rates in self.peers.values()
            for entry in rates
            if entry.service == service and now_s - received_at_s < REPORT_TTL_S
        ]
        listed += [x for x in self._list_own(now_s) if x.service == service]
        known = [x.replica_per_s for x in listed if x.replica_per_s > 0]
        return ServiceRates(
            service,
            sum(x.short_per_s for x in listed),
            sum(x.long_per_s for x in listed),
            statistics.median(known) if known else 0.0,
        )
