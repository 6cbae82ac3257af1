"""Merging of the logs of several processes into one ordered timeline.

Clocks of hosts may differ. Calls between processes bound the offsets of their clocks
and give a partial order of the lines (happened-before), which the timeline respects.
"""

import heapq
import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from .log_lines import LogLine

__all__ = [
    "ClockOffset",
    "Entry",
    "Filter",
    "Hop",
    "Timeline",
    "filter_entries",
    "merge_lines",
]


@dataclass(frozen=True, slots=True)
class Hop:
    """A call from one process to another.

    Parameters
    ----------
    sent : LogLine
        Last line of the calling process before the call.
    received : LogLine
        First line of the called process for this call.
    answered_at_s : float
        Time of the answer by the calling process's clock, seconds; infinite if
        unknown.
    ended : LogLine or None
        Line of the calling process after the answer.
    """

    sent: LogLine
    received: LogLine
    answered_at_s: float = math.inf
    ended: LogLine | None = None


@dataclass(frozen=True, slots=True)
class ClockOffset:
    """Offset of a process's clock and the bounds that calls put on it.

    Parameters
    ----------
    offset_s : float
        Added to the process's timestamps to convert them to the clock of the
        reference process, which has the most lines.
    low_s, high_s : float
        Bounds of the offset; infinite where no calls were exchanged.
    """

    process: str
    offset_s: float
    low_s: float
    high_s: float

    @property
    def is_consistent(self) -> bool:
        """Whether an offset satisfies all bounds; a stepped clock may have none."""
        return self.low_s <= self.high_s


@dataclass(frozen=True, slots=True)
class Entry:
    """A log line and its time in seconds since the start of the timeline."""

    at_s: float
    line: LogLine


@dataclass(frozen=True, slots=True)
class Timeline:
    """Ordered lines, with the clock offsets and calls that their order is based on."""

    entries: tuple[Entry, ...]
    clock_offsets: dict[str, ClockOffset]
    hops: tuple[Hop, ...]


@dataclass(frozen=True, slots=True)
class Filter:
    """Criteria for selecting entries; an empty field matches every entry."""

    request: str = ""
    endpoint: str = ""
    workspace: str = ""
    part: str = ""
    since_s: float = -math.inf
    until_s: float = math.inf


def merge_lines(lines: Sequence[LogLine]) -> Timeline:
    """Merge lines into a timeline in which no line precedes its cause."""
    hops = tuple(_find_hops(lines))
    clock_offsets = _estimate_clock_offsets(lines, hops)
    times = {}
    for line in lines:
        clock = clock_offsets[line.process]
        times[line.process, line.number] = line.timestamp + clock.offset_s
    ordered = _order_lines(lines, hops, times)
    start_s = min(times.values(), default=0.0)
    entries = []
    latest_s = -math.inf
    for line in ordered:
        latest_s = max(latest_s, times[line.process, line.number] - start_s)
        entries.append(Entry(latest_s, line))
    return Timeline(tuple(entries), clock_offsets, hops)


def _find_hops(lines: Iterable[LogLine]) -> Iterator[Hop]:
    actions: dict[tuple[str, tuple[int, ...]], list[LogLine]] = defaultdict(list)
    lines_by_trace_header = {}
    for line in lines:
        if line.task_uuid and line.task_level:
            actions[line.task_uuid, line.task_level[:-1]].append(line)
        if line.hop:
            lines_by_trace_header[line.hop] = line
    for (task, level), children in actions.items():
        received = min(children, key=_get_position)
        if not level or _get_position(received) != 1:
            continue
        siblings = actions.get((task, level[:-1]), [])
        earlier_siblings = [
            line for line in siblings if _get_position(line) < level[-1]
        ]
        sent = lines_by_trace_header.get(_format_trace_header(task, level))
        sent = sent or max(earlier_siblings, key=_get_position, default=None)
        if sent is not None and sent.process != received.process:
            yield _make_hop(sent, received, siblings)


def _get_position(line: LogLine) -> int:
    return line.task_level[-1]


def _format_trace_header(task: str, level: tuple[int, ...]) -> str:
    return task + "@" + "".join(f"/{position}" for position in level)


def _make_hop(sent: LogLine, received: LogLine, siblings: list[LogLine]) -> Hop:
    for line in siblings:
        is_same_attempt = line.attempt == sent.attempt and line.process == sent.process
        if (
            line.message_type == "AttemptEnded"
            and is_same_attempt
            and line.headers_s is not None
        ):
            return Hop(sent, received, sent.timestamp + line.headers_s, line)
    return Hop(sent, received)


def _estimate_clock_offsets(
    lines: Sequence[LogLine], hops: Sequence[Hop]
) -> dict[str, ClockOffset]:
    counts = Counter(line.process for line in lines)
    if not counts:
        return {}
    reference = max(counts, key=lambda process: (counts[process], process))
    # An edge (a, b) of length w states offset(b) <= offset(a) + w.
    edges: dict[tuple[str, str], float] = {}
    for hop in hops:
        sent, received = hop.sent.process, hop.received.process
        request_delay_s = hop.received.timestamp - hop.sent.timestamp
        response_delay_s = hop.answered_at_s - hop.received.timestamp
        for key, delay_s in (
            ((received, sent), request_delay_s),
            ((sent, received), response_delay_s),
        ):
            edges[key] = min(delay_s, edges.get(key, math.inf))
    upper_bounds = _compute_distances(reference, counts, edges)
    reverse = {(b, a): length for (a, b), length in edges.items()}
    lower_bounds = _compute_distances(reference, counts, reverse)
    clock_offsets = {}
    for process in counts:
        low_s, high_s = -lower_bounds[process], upper_bounds[process]
        clock_offsets[process] = ClockOffset(
            process, _select_offset(low_s, high_s), low_s, high_s
        )
    return clock_offsets


def _compute_distances(
    start: str, processes: Iterable[str], edges: dict[tuple[str, str], float]
) -> dict[str, float]:
    """Compute shortest distances from ``start`` with the Bellman-Ford algorithm."""
    distances = dict.fromkeys(processes, math.inf)
    distances[start] = 0.0
    for _ in range(len(distances)):
        changed = False
        for (a, b), length in edges.items():
            distance = distances[a] + length
            if distance < distances[b] and b != start:
                distances[b] = distance
                changed = True
        if not changed:
            break
    return distances


def _select_offset(low_s: float, high_s: float) -> float:
    if math.isfinite(low_s) and math.isfinite(high_s):
        return (low_s + high_s) / 2
    if math.isfinite(low_s):
        return max(0.0, low_s)
    if math.isfinite(high_s):
        return min(0.0, high_s)
    return 0.0


def _order_lines(
    lines: Sequence[LogLine], hops: Sequence[Hop], times: dict[tuple[str, int], float]
) -> list[LogLine]:
    """Sort lines topologically by cause and effect, then by time."""
    effects_of = _list_effects(lines, hops)
    pending_causes = Counter(
        effect for effects in effects_of.values() for effect in effects
    )
    by_key = {(line.process, line.number): line for line in lines}
    ready = [(times[key], key) for key in by_key if not pending_causes[key]]
    heapq.heapify(ready)
    remaining = sorted(by_key, key=lambda key: (times[key], key), reverse=True)
    ordered: dict[tuple[str, int], LogLine] = {}
    while len(ordered) < len(by_key):
        if ready:
            _, key = heapq.heappop(ready)
        else:
            key = remaining.pop()  # Break a cycle of contradictory lines.
        if key in ordered:
            continue
        ordered[key] = by_key[key]
        for effect in effects_of.get(key, ()):
            pending_causes[effect] -= 1
            if not pending_causes[effect]:
                heapq.heappush(ready, (times[effect], effect))
    return list(ordered.values())


def _list_effects(
    lines: Sequence[LogLine], hops: Sequence[Hop]
) -> dict[tuple[str, int], list[tuple[str, int]]]:
    numbers_by_process: dict[str, list[int]] = defaultdict(list)
    for line in lines:
        numbers_by_process[line.process].append(line.number)
    effects_of: dict[tuple[str, int], list[tuple[str, int]]] = defaultdict(list)
    for process, numbers in numbers_by_process.items():
        numbers.sort()
        for first, second in zip(numbers, numbers[1:], strict=False):
            effects_of[process, first].append((process, second))
    for hop in hops:
        sent = (hop.sent.process, hop.sent.number)
        received = (hop.received.process, hop.received.number)
        effects_of[sent].append(received)
        if hop.ended is not None:
            effects_of[received].append((hop.ended.process, hop.ended.number))
    return effects_of


def filter_entries(timeline: Timeline, criteria: Filter) -> list[Entry]:
    """Return the matching entries.

    A request or workspace selects all lines of its tasks, also those without its name.
    """
    task_uuids = _find_task_uuids(timeline, criteria)
    matching = []
    for entry in timeline.entries:
        line = entry.line
        if task_uuids is not None and line.task_uuid not in task_uuids:
            continue
        if criteria.part and line.part != criteria.part:
            continue
        if criteria.endpoint and criteria.endpoint not in (line.endpoint, line.host):
            continue
        if criteria.since_s <= entry.at_s <= criteria.until_s:
            matching.append(entry)
    return matching


def _find_task_uuids(timeline: Timeline, criteria: Filter) -> set[str] | None:
    task_uuids = None
    for name in ("request", "workspace"):
        value = getattr(criteria, name)
        if not value:
            continue
        matching = {
            entry.line.task_uuid
            for entry in timeline.entries
            if getattr(entry.line, name) == value
        }
        task_uuids = matching if task_uuids is None else task_uuids & matching
    return task_uuids - {""} if task_uuids is not None else None
