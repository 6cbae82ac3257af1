"""Limits on what a process holds for its callers' connections.

All listening addresses of a process share one budget. Decisions are made here; the
protocol measures and closes connections.
"""

import math
import resource
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from .clocks import Clock
from .log_events import ConnectionsLimited
from .metric_table import MetricTable

__all__ = [
    "CallerBudget",
    "Limit",
    "find_max_connections",
    "make_caller_budget",
]

MIB = 1024 * 1024
# Memory of the process for everything but its callers: 35 MiB at rest, 48 MiB with the
# library code of a first call loaded and its tables filled.
ROUTER_BYTES = 56 * MIB
# Share of the process's memory that no one accounts for: fragments of the heap.
HEADROOM_SHARE = 0.1
# Least share of the memory for callers, where the setting is too low for the rest.
LEAST_SHARE = 0.125
# Descriptors reserved for files, and for listeners, the store and other routers.
RESERVED_FDS = 200 + 50
# Descriptors that a connection may need: its own, and one to a replica for its call.
FDS_PER_CONNECTION = 2
LEAST_CONNECTIONS = 8
# Share of the budget that stays in use when connections are closed for memory, so that
# the next few bytes do not require another search for the largest.
TARGET_SHARE = 0.9
# Interval between two log events on the same limit, seconds.
REPORT_INTERVAL_S = 1.0


class Limit(Enum):
    """Limits for which a connection is closed."""

    HEAD_SIZE = "head_size"
    HEAD_TIME = "head_time"
    FRAMING = "framing"
    MEMORY = "memory"
    CONNECTIONS = "connections"
    LINGERING = "lingering"


class Holder(Protocol):
    """A connection that holds memory.

    Attributes
    ----------
    held_bytes : int
        Bytes that it holds, as last recorded.
    """

    held_bytes: int

    def abort_for(self, limit: Limit) -> None:
        """Close the connection at once because of a limit."""


def ignore_limited(event: ConnectionsLimited) -> None:
    """Do nothing; used where limits are not logged."""


@dataclass(slots=True)
class CallerBudget:
    """Memory and connections of all callers together.

    Parameters
    ----------
    limit_bytes : float
        Infinite for no limit.
    max_connections : float
        Infinite for no limit.
    clock : Clock
    notify : callable
        Called with a log event, at most once a second for each limit.

    Attributes
    ----------
    holders : dict
        Open connections; the values are not used.
    waiting : dict
        Those that wait for their caller to send or to read, the longest wait first.
    held_bytes : int
        Bytes that all connections hold.
    counts : Counter
        Connections that were closed, by limit.
    """

    limit_bytes: float = math.inf
    max_connections: float = math.inf
    clock: Clock = time.monotonic
    notify: Callable[[ConnectionsLimited], None] = ignore_limited
    holders: dict[Holder, None] = field(default_factory=dict)
    waiting: dict[Holder, None] = field(default_factory=dict)
    held_bytes: int = 0
    counts: Counter[Limit] = field(default_factory=Counter)
    reported: Counter[Limit] = field(default_factory=Counter)
    reported_at_s: dict[Limit, float] = field(default_factory=dict)

    def open(self, holder: Holder, size: int) -> None:
        """Add a connection, which may close others or the connection itself.

        Beyond the limit, the connection that has waited longest for its caller is
        closed, so that idle connections keep out no calls.
        """
        if len(self.holders) >= self.max_connections:
            victim = next(iter(self.waiting), holder)
            self._abort(victim, Limit.CONNECTIONS)
            if victim is holder:
                return
        self.holders[holder] = None
        self.record_waiting(holder, True)
        self.record_held(holder, size)

    def close(self, holder: Holder) -> None:
        """Remove a connection."""
        self.waiting.pop(holder, None)
        if holder in self.holders:
            del self.holders[holder]
            self.held_bytes -= holder.held_bytes
            holder.held_bytes = 0

    def record_waiting(self, holder: Holder, is_waiting: bool) -> None:
        """Record whether a connection waits for its caller."""
        if not is_waiting:
            self.waiting.pop(holder, None)
        elif holder in self.holders:
            self.waiting.setdefault(holder)

    def record_held(self, holder: Holder, size: int) -> None:
        """Record how much a connection holds; close the largest if it is too much."""
        if holder not in self.holders:
            return
        self.held_bytes += size - holder.held_bytes
        grows = size > holder.held_bytes
        holder.held_bytes = size
        if grows and self.held_bytes > self.limit_bytes:
            self._shrink()

    def _shrink(self) -> None:
        """Close the connections that hold most.

        Those that wait for their caller come first: their calls do not run yet, or
        their callers leave the responses unread.
        """
        excess = self.held_bytes - TARGET_SHARE * self.limit_bytes
        for group in (self.waiting, self.holders):
            victims = sorted(group, key=lambda x: x.held_bytes, reverse=True)
            for victim in victims:
                if excess <= 0:
                    return
                excess -= victim.held_bytes
                self._abort(victim, Limit.MEMORY)

    def _abort(self, victim: Holder, limit: Limit) -> None:
        self.close(victim)
        victim.abort_for(limit)
        self.count(limit)

    def count(self, limit: Limit) -> None:
        """Count a connection that is closed because of a limit."""
        self.counts[limit] += 1
        now_s = self.clock()
        if now_s >= self.reported_at_s.get(limit, -math.inf) + REPORT_INTERVAL_S:
            self.reported_at_s[limit] = now_s
            added = self.counts[limit] - self.reported[limit]
            self.reported[limit] = self.counts[limit]
            self.notify(
                ConnectionsLimited(
                    limit.value, added, len(self.holders), self.held_bytes
                )
            )

    def set_gauges(self, table: MetricTable) -> None:
        """Set the metrics of this budget; called before they are rendered."""
        table.set("primrosepier_caller_connections", len(self.holders))
        table.set("primrosepier_caller_memory_bytes", self.held_bytes)
        for limit, count in self.counts.items():
            name = "primrosepier_limited_connections_total"
            table.set(name, count, reason=limit.value)


def compute_limit_bytes(memory_bytes: float) -> float:
    """Return what callers may hold in a process that may use so much memory, bytes."""
    rest = (1 - HEADROOM_SHARE) * memory_bytes - ROUTER_BYTES
    return max(LEAST_SHARE * memory_bytes, rest)


def compute_max_connections(max_fds: float) -> float:
    """Return how many callers may be connected to a process with so many descriptors.

    Each may have a call, which needs a connection to a replica. As many connections to
    replicas may be open, in use or kept.
    """
    return max(LEAST_CONNECTIONS, (max_fds - RESERVED_FDS) / FDS_PER_CONNECTION)


def find_max_connections(max_fds: float = math.inf) -> float:
    """Return how many callers may be connected, and how many replicas as well.

    Parameters
    ----------
    max_fds : float
        Descriptors that the process may open; no more than the system's own limit.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit != resource.RLIM_INFINITY:
        max_fds = min(max_fds, soft_limit)
    return compute_max_connections(max_fds)


def make_caller_budget(
    memory_bytes: float,
    max_fds: float = math.inf,
    notify: Callable[[ConnectionsLimited], None] = ignore_limited,
) -> CallerBudget:
    """Return the budget of a process that may use so much memory.

    Parameters
    ----------
    max_fds : float
        Descriptors that the process may open; no more than the system's own limit.
    """
    return CallerBudget(
        compute_limit_bytes(memory_bytes),
        find_max_connections(max_fds),
        notify=notify,
    )
