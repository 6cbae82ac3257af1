"""Diagram of the board: the modules that write and read each section."""

import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from xml.sax.saxutils import escape

__all__ = ["SectionUse", "draw_board", "find_sections"]

WRITER_PATTERN = re.compile(r"board\.(\w+)\.take_writer\(")
READER_PATTERN = re.compile(r"board\.(\w+)\.value")
# Benches also write sections, but are not part of a router.
SKIPPED_PREFIXES = ("bench_", "scale_", "board")
ROW_PX = 22
GAP_PX = 16
COLUMN_PX = 250
WIDTH_PX = 760
TOP_PX = 40
BOX_TEMPLATE = '<rect x="{x}" y="{y}" width="200" height="{height}" class="{kind}"/>'
TEXT_TEMPLATE = '<text x="{x}" y="{y}">{text}</text>'
ARROW_TEMPLATE = '<path d="M{x1} {y1} L{x2} {y2}" marker-end="url(#tip)"/>'
SVG_HEAD = """<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}">
<style>
text {{ font: 13px sans-serif; }}
rect {{ fill: #f4f4f4; stroke: #555; }}
rect.section {{ fill: #dce9f7; }}
path {{ stroke: #555; fill: none; }}
</style>
<defs><marker id="tip" orient="auto" markerWidth="8" markerHeight="8" refX="7" refY="3">
<path d="M0 0 L7 3 L0 6"/></marker></defs>
"""


@dataclass(slots=True)
class SectionUse:
    """Modules that write and read one section."""

    writers: set[str] = field(default_factory=set)
    readers: set[str] = field(default_factory=set)


def find_sections(package: Path) -> dict[str, SectionUse]:
    """Search the source code for the modules that write and read each board section.

    Parameters
    ----------
    package : Path
        Directory of the package.
    """
    uses: dict[str, SectionUse] = {}
    for path in sorted(package.glob("*.py")):
        if path.stem.startswith(SKIPPED_PREFIXES):
            continue
        text = path.read_text(encoding="utf-8")
        for name in WRITER_PATTERN.findall(text):
            uses.setdefault(name, SectionUse()).writers.add(path.stem)
        for name in READER_PATTERN.findall(text):
            uses.setdefault(name, SectionUse()).readers.add(path.stem)
    return dict(sorted(uses.items()))


def draw_board(sections: Mapping[str, SectionUse]) -> str:
    """Return the diagram as SVG, with writers, sections and readers side by side."""
    parts = []
    top = TOP_PX
    for x, title in enumerate(("writer", "section", "readers")):
        parts.append(TEXT_TEMPLATE.format(x=10 + x * COLUMN_PX, y=20, text=title))
    for name, use in sections.items():
        rows = max(1, len(use.readers))
        height = rows * ROW_PX + 6
        middle = top + height // 2
        columns = ((0, use.writers, ""), (1, {name}, "section"), (2, use.readers, ""))
        for column, texts, kind in columns:
            x = 10 + column * COLUMN_PX
            parts.append(BOX_TEMPLATE.format(x=x, y=top, height=height, kind=kind))
            for row, text in enumerate(sorted(texts)):
                y = top + 17 + row * ROW_PX
                parts.append(TEXT_TEMPLATE.format(x=x + 8, y=y, text=escape(text)))
        for column in (0, 1):
            x = 210 + column * COLUMN_PX
            parts.append(ARROW_TEMPLATE.format(x1=x, y1=middle, x2=x + 50, y2=middle))
        top += height + GAP_PX
    head = SVG_HEAD.format(width=WIDTH_PX, height=top)
    return head + "\n".join(parts) + "\n</svg>\n"
