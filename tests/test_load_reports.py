from types import SimpleNamespace

from primrosepier.board import make_board
from primrosepier.load_reports import TARGET_POLLS_PER_S, LoadReports, choose_pollers
from primrosepier.scale_control import make_configuration


def make_reports(routers, replicas):
    board = make_board()
    writer = board.configuration.take_writer("test")
    writer.write(make_configuration(replicas, 2), 0.0)
    live = {f"entry-{number:04d}": None for number in range(1, routers)}
    own = SimpleNamespace(host="entry-0000")
    members = SimpleNamespace(own_record=own, list_live=lambda: live)
    gossip = SimpleNamespace(membership=members)
    loads = board.load.take_writer("test")
    return LoadReports(board, loads, None, gossip, None), writer, live


def test_a_lost_router_moves_only_its_own_endpoints():
    routers = [f"entry-{number:04d}" for number in range(40)]
    names = [f"endpoint-{number:05d}" for number in range(160)]
    before = {name: choose_pollers(name, routers, 100) for name in names}
    after = {name: choose_pollers(name, routers[1:], 100) for name in names}
    for name in names:
        kept = [router for router in before[name] if router != routers[0]]
        assert set(kept) <= set(after[name])


def test_polled_endpoints_are_cached_until_routers_or_configuration_change():
    reports, writer, live = make_reports(40, 160)
    first = reports.list_polled()
    assert reports.list_polled() is first
    assert 0 < len(first) <= 4 * TARGET_POLLS_PER_S
    live.clear()
    assert len(reports.list_polled()) == 160
    writer.write(make_configuration(44, 2), 1.0)
    assert len(reports.list_polled()) == 44
