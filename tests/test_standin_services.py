import httpcore
import pytest
from clients import run_with_app

from primrosepier.standin_hosts import HostEntry, HostsStandin
from primrosepier.standin_kvcache import KvCacheStandin
from primrosepier.standin_plain import PlainStandin
from primrosepier.standin_weights import ByteRateLimiter, WeightsStandin, parse_range

pytestmark = pytest.mark.sockets


def test_plain_service_counts_runs_with_lost_answers():
    app = PlainStandin(lose_answers=1)

    async def check(send):
        key = [("idempotency-key", "k")]
        with pytest.raises((httpcore.NetworkError, httpcore.ProtocolError)):
            await send("POST", "/handovers", {}, key)
        assert (await send("POST", "/handovers", {}, key)).decode()["run"] == 2
        assert len((await send("GET", "/calls")).decode()) == 2

    run_with_app(app, check)


def test_host_list_shows_leaving_hosts_lags_and_fails():
    app = HostsStandin()
    app.set_host(HostEntry("e1", "10.0.0.1:80", "Brest"))

    async def check(send):
        change = {"endpoint": "e1", "state": "leaving"}
        await send("POST", "/standin/hosts", change)
        hosts = (await send("GET", "/")).decode()
        assert hosts[0]["labels"]["state"] == "leaving"
        await send("POST", "/standin/faults", {"lag_s": 60})
        assert (await send("GET", "/")).decode() == []
        await send("POST", "/standin/faults", {"down": True})
        assert (await send("GET", "/")).status == 503
        unknown = {"endpoint": "x", "state": "leaving"}
        assert (await send("POST", "/standin/hosts", unknown)).status == 400

    run_with_app(app, check)


def test_weight_store_serves_ranges_and_enforces_its_rate():
    app = WeightsStandin(1000, ByteRateLimiter(1500.0))

    async def check(send):
        part = await send("GET", "/m/1", headers=[("range", "bytes=0-99")])
        assert (part.status, len(part.body)) == (206, 100)
        assert (await send("GET", "/m/1")).status == 200
        assert (await send("GET", "/m/1")).status == 200
        refused = await send("GET", "/m/1")
        assert refused.status == 429 and int(refused.headers["retry-after"]) >= 1

    run_with_app(app, check)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", (0, 10)),
        ("bytes=2-", (2, 10)),
        ("bytes=2-3", (2, 4)),
        ("bytes=10-", None),
        ("bytes=3-2", None),
        ("pages=1-2", None),
    ],
)
def test_parse_range(text, expected):
    assert parse_range(text, 10) == expected


def test_stored_blocks_belong_to_one_weights_version():
    async def check(send):
        await send("POST", "/kv/put", {"version": "1", "blocks": [1, 2]})
        reply = await send("POST", "/kv/get", {"version": "1", "blocks": [1, 2, 3]})
        assert reply.decode()["blocks"] == [1, 2]
        other_reply = await send("POST", "/kv/get", {"version": "2", "blocks": [1]})
        assert other_reply.decode()["blocks"] == []
        assert (await send("POST", "/kv/get", {"blocks": "x"})).status == 400

    run_with_app(KvCacheStandin(), check)
