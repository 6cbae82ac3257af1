from pathlib import Path

import msgspec
import pytest

from primrosepier import (
    scale_control,
    scale_data,
    scale_loads,
    scale_peers,
    scale_polls,
    scale_store,
)
from primrosepier.bench_scale import ScaleReport
from primrosepier.capacity import CapacityEstimate, DesignSize
from primrosepier.capacity_page import render_capacity_page
from primrosepier.scale_fits import Point, fit_slope

DOCS = Path(__file__).parent.parent / "docs"
MIN_SIZES = 4


def read_report():
    data = (DOCS / "capacity.json").read_bytes()
    return msgspec.json.decode(data, type=ScaleReport)


def replace_slope(report, name, factor):
    old = report.slopes[name]
    points = [(point.x, point.y * factor) for point in old.points]
    slopes = {**report.slopes, name: fit_slope(name, old.x, old.y, points)}
    return msgspec.structs.replace(report, slopes=slopes)


def test_the_page_is_made_from_the_committed_report():
    assert (DOCS / "CAPACITY.md").read_text() == render_capacity_page(read_report())


def test_each_slope_has_at_least_four_sizes():
    for slope in read_report().slopes.values():
        assert len({point.x for point in slope.points}) >= MIN_SIZES, slope.name


def test_a_line_is_fitted_with_its_residual():
    slope = fit_slope("n", "x", "y", [(1, 12), (2, 14), (3, 16), (4, 18)])
    assert (slope.slope, slope.intercept) == pytest.approx((2, 10))
    assert slope.residual == pytest.approx(0)
    assert slope.predict(10) == pytest.approx(30)
    quadratic = fit_slope("n", "x", "y", [(1, 1), (2, 4), (3, 9), (4, 16)])
    assert quadratic.residual > 0.05
    assert quadratic.points[1] == Point(2, 4)


@pytest.mark.parametrize(
    ("name", "title"),
    [
        ("peer_call_cpu", "Control: processor time of a node"),
        ("change_bytes", "Control: bytes of a node"),
        ("configuration_memory", "Control: memory of a node"),
        ("token_cpu", "Requests: processor time of a node"),
        ("claim_writes_apart", "Key-value service: writes"),
        ("mirror_reads", "Key-value service: reads"),
    ],
)
def test_exceeded_budgets_are_marked(name, title):
    report = read_report()
    high = render_capacity_page(replace_slope(report, name, 1000.0))
    (row,) = [line for line in high.splitlines() if line.startswith(f"| {title}")]
    assert "**over" in row
    excess = high.split("## What exceeds")[1].split("## Roles")[0]
    assert f"- {title}" in excess


def test_store_writes_scale_with_the_request_rate():
    report = read_report()
    usual = CapacityEstimate(report, DesignSize())
    double = CapacityEstimate(report, DesignSize(requests_per_s=88_000))
    writes = [e.list_store_writes()[0].value for e in (usual, double)]
    assert writes[1] == pytest.approx(2 * writes[0])


@pytest.mark.sockets
def test_all_slopes_can_be_measured_at_small_sizes(monkeypatch):
    sizes = (20, 40, 60, 80)
    for name in ("NODES", "REPLICAS", "WORKSPACES", "BLOCKS"):
        monkeypatch.setattr(scale_control, name, sizes)
    monkeypatch.setattr(scale_control, "MEMBER_CHANGES", (0, 1, 2, 3))
    monkeypatch.setattr(scale_control, "DIGESTS", (0, 1, 2, 3))
    monkeypatch.setattr(scale_control, "FLEET_NODES", 20)
    monkeypatch.setattr(scale_loads, "NODES", sizes)
    monkeypatch.setattr(scale_store, "SERVICES", (1, 2, 3, 4))
    monkeypatch.setattr(scale_peers, "EXCHANGES", (1, 2, 3, 4))
    monkeypatch.setattr(scale_peers, "PROXIED_EXCHANGES", (1, 2, 3, 4))
    monkeypatch.setattr(scale_polls, "POLLS", (1, 2, 3, 4))
    monkeypatch.setattr(scale_polls, "PROXIED_POLLS", (1, 2, 3, 4))
    monkeypatch.setattr(scale_store, "WORKSPACES", sizes)
    monkeypatch.setattr(scale_store, "CHECK_INTERVALS", 1)
    monkeypatch.setattr(scale_store, "SPEEDUP", 300.0)
    monkeypatch.setattr(scale_store, "CLAIMS", (1, 2, 3, 4))
    monkeypatch.setattr(scale_store, "CLAIM_SPACING_S", 0.05)
    monkeypatch.setattr(scale_data, "TOKENS", (1, 2, 3, 4))
    monkeypatch.setattr(scale_data, "REQUESTS", (1, 2, 3, 4))
    monkeypatch.setattr(scale_data, "STREAMS", (2, 4, 6, 8))
    slopes = [*scale_control.measure_control_plane(), *scale_loads.measure_loads()]
    slopes += [*scale_peers.measure_peers(), *scale_polls.measure_polls()]
    slopes += [*scale_store.measure_store(), *scale_data.measure_data_path()]
    slopes_by_name = {slope.name: slope for slope in slopes}
    assert slopes_by_name.keys() == read_report().slopes.keys()
    assert slopes_by_name["mirror_watches"].slope == pytest.approx(1)
    assert slopes_by_name["claim_writes_apart"].slope > 0
    assert slopes_by_name["stream_memory"].slope > 0
