"""Plots of a timeline."""

import html
import io
from collections.abc import Sequence
from pathlib import Path

import matplotlib
from matplotlib.figure import Figure

from .timeline import Entry, Hop, Timeline

__all__ = ["plot_timeline"]

WIDTH_IN = 12.0
LANE_IN = 0.4
MARGIN_IN = 1.5
PAGE = """<!doctype html>
<meta charset="utf-8"><title>Timeline</title>
{picture}
<table>{rows}</table>
"""


def plot_timeline(timeline: Timeline, entries: Sequence[Entry], path: Path) -> None:
    """Plot entries with one lane per host and the calls between hosts.

    Parameters
    ----------
    path : Path
        With the suffix ``.html`` the file also has a table of the entries.
    """
    figure = _draw(timeline, entries)
    if path.suffix != ".html":
        figure.savefig(path)
        return
    picture = io.StringIO()
    figure.savefig(picture, format="svg")
    rows = [
        f"<tr><td>{entry.at_s:.6f}<td>{html.escape(entry.line.host)}"
        f"<td>{html.escape(entry.line.describe())}"
        for entry in entries
    ]
    page = PAGE.format(picture=picture.getvalue(), rows="\n".join(rows))
    path.write_text(page, encoding="utf-8")


def _draw(timeline: Timeline, entries: Sequence[Entry]) -> Figure:
    matplotlib.use("Agg")
    hosts = sorted({entry.line.host for entry in entries})
    lanes = {host: lane for lane, host in enumerate(hosts)}
    figure = Figure(figsize=(WIDTH_IN, MARGIN_IN + LANE_IN * len(hosts)))
    axes = figure.subplots()
    entries_by_key = {}
    for part in sorted({entry.line.part for entry in entries}):
        shown = [entry for entry in entries if entry.line.part == part]
        lanes_shown = [lanes[entry.line.host] for entry in shown]
        label = part or "actions"
        axes.plot([e.at_s for e in shown], lanes_shown, "o", markersize=4, label=label)
    for entry in entries:
        entries_by_key[entry.line.process, entry.line.number] = entry
    for hop in timeline.hops:
        _draw_hop(axes, hop, entries_by_key, lanes)
    axes.set_yticks(range(len(hosts)), hosts)
    axes.set_xlabel("time (s)")
    if entries:
        axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0))
    figure.tight_layout()
    return figure


def _draw_hop(
    axes: matplotlib.axes.Axes,
    hop: Hop,
    entries_by_key: dict[tuple[str, int], Entry],
    lanes: dict[str, int],
) -> None:
    ends = []
    for line in (hop.sent, hop.received):
        entry = entries_by_key.get((line.process, line.number))
        if entry is None:
            return
        ends.append((entry.at_s, lanes[line.host]))
    axes.plot([end[0] for end in ends], [end[1] for end in ends], "-", color="0.6")
