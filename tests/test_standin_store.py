import queue

import anyio
import etcd3gw
import pytest

from primrosepier.asgi import open_server
from primrosepier.clocks import ManualClock
from primrosepier.standin_store import StoreStandin
from primrosepier.store import MemoryStore

pytestmark = pytest.mark.sockets


def run_client(check):
    """Run a blocking check against the stand-in with an unmodified etcd3gw client."""

    async def run():
        clock = ManualClock()
        standin = StoreStandin(MemoryStore(clock))
        async with open_server(standin, "127.0.0.1:0") as address:
            host, port = address.split(":")
            client = etcd3gw.client(host=host, port=int(port), timeout=10)
            await anyio.to_thread.run_sync(check, client, clock)

    anyio.run(run)


def test_keys_ranges_and_sorting():
    def check(client, clock):
        for name, value in (("/a/1", "z"), ("/a/2", "y"), ("/b", "x")):
            client.put(name, value)
        client.put("/a/1", "w")
        assert client.get("/a/1") == [b"w"]
        assert client.get("/none") == []
        assert client.get_prefix("/a/", sort_order="descend")[0][0] == b"y"
        assert len(client.get_all()) == 3
        (_, meta) = client.get("/a/1", metadata=True)[0]
        assert (meta["version"], meta["create_revision"]) == ("2", "2")
        assert int(meta["mod_revision"]) == 5
        assert len(client.get("/a", range_end="/c", limit=2)) == 2
        assert client.get("/a", range_end="/c", keys_only=True) == [b"", b"", b""]
        assert client.get("/a", range_end="/c", count_only=True) == []
        assert client.get("/a", range_end="/c", min_mod_revision=5) == [b"w"]
        assert client.delete_prefix("/a/")
        assert not client.delete("/a/1")

    run_client(check)


def test_transactions_on_each_target():
    def check(client, clock):
        assert client.create("/k", "1")
        assert not client.create("/k", "2")
        assert client.replace("/k", "1", "2")
        assert not client.replace("/k", "1", "3")
        key = etcd3gw.utils._encode("/k")
        put = {"request_put": {"key": key, "value": key, "prev_kv": True}}
        read = {"request_range": {"key": key}}
        for target, name, value in (
            ("VERSION", "version", 2),
            ("MOD", "mod_revision", 4),
            ("CREATE", "create_revision", 2),
            ("LEASE", "lease", 0),
        ):
            compare = {"key": key, "target": target, "result": "EQUAL", name: value}
            answer = client.transaction(
                {"compare": [compare], "success": [put], "failure": [read]}
            )
            assert answer["succeeded"], target
            greater = {**compare, "result": "GREATER", name: 100}
            answer = client.transaction({"compare": [greater], "failure": [read]})
            assert "succeeded" not in answer
            assert "kvs" in answer["responses"][0]["response_range"]

    run_client(check)


def test_expired_leases_delete_their_keys():
    def check(client, clock):
        lease = client.lease(ttl=10)
        client.put("/k", "v", lease=lease)
        assert lease.keys() == [b"/k"]
        clock.advance(6)
        assert lease.ttl() == 4
        assert lease.refresh() == 10
        clock.advance(9)
        assert client.get("/k") == [b"v"]
        clock.advance(1)
        assert client.get("/k") == []
        assert lease.refresh() == -1
        assert lease.ttl() == -1
        with pytest.raises(etcd3gw.exceptions.Etcd3Exception) as caught:
            client.put("/k", "v", lease=lease)
        assert "requested lease not found" in caught.value.detail_text
        other = client.lease(ttl=10)
        client.put("/k", "v", lease=other)
        other.revoke()
        assert client.get("/k") == []

    run_client(check)


def test_lock_has_one_holder():
    def check(client, clock):
        first, second = client.lock("duty", ttl=10), client.lock("duty", ttl=10)
        assert first.acquire()
        assert not second.acquire()
        clock.advance(11)
        assert second.acquire()
        assert not first.is_acquired()
        assert second.release()

    run_client(check)


def test_watch_reports_writes_and_deletions():
    def check(client, clock):
        client.put("/w/0", "before")
        events = queue.Queue()
        watcher = etcd3gw.watch.Watcher(
            client, "/w/", events.put, range_end="/w0", start_revision=2
        )
        assert events.get(timeout=10)["kv"]["value"] == b"before"
        client.put("/other", "unseen")
        client.put("/w/1", "after")
        assert events.get(timeout=10)["kv"]["value"] == b"after"
        client.delete("/w/1")
        assert events.get(timeout=10)["type"] == "DELETE"
        watcher.stop()

    run_client(check)
