"""Answers of the store and of replicas to orders, fed with odd documents."""

import contextlib
import copy
from dataclasses import dataclass

import anyio
import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from primrosepier.configuration import parse_configuration
from primrosepier.errors import SettingsError
from primrosepier.etcd import EtcdStore
from primrosepier.forwarding.fleet import Replica
from primrosepier.forwarding.weights import ReplicaState
from primrosepier.platform.orders import PlatformOrders
from primrosepier.platform.settings import parse_entry_settings
from primrosepier.platform.store import PlatformStore
from primrosepier.store import (
    Ambiguous,
    Applied,
    Compare,
    Conflict,
    LeaseGranted,
    LeaseLost,
    Put,
    Snapshot,
    Unavailable,
    WatchEvent,
)

FUZZED = settings(max_examples=120, deadline=None, derandomize=True)
STATUSES = [200, 202, 404, 409, 410, 412, 429, 500, 503]
ITEM = {"key": "servers/w1", "value": "e30=", "revision": 7, "lease": 3}
ANSWERS = {
    "read": {"items": [ITEM], "truncated": False, "storeRevision": 9},
    "watch": {"events": [ITEM, {**ITEM, "deleted": True}], "storeRevision": 9},
    "transact": {"revision": 9, "items": [ITEM]},
    "grant_lease": {"lease": 5, "ttlMs": 6000.0},
    "keep_alive": {"lease": 5, "ttlMs": 6000.0},
}
STATE = {"models": [{"name": "m0", "version": 3}], "busy": False, "seq": 4}
REPLICA = Replica("w1", "writers", "127.0.0.1:8000", "rennes")
ODD_VALUES = [
    None,
    -1,
    2**63,
    10**40,
    1e999,
    1.5,
    "",
    "²",
    "é",
    "not base64!",
    "e30",
    "e30=" * 3 + "=",
    True,
    [],
    {},
    [[]],
    [None],
]


@dataclass
class Answer:
    """Stands for a response, and for the client that receives it."""

    status: int
    body: bytes
    headers: tuple = ()

    @contextlib.asynccontextmanager
    async def open(self, call):
        yield self

    async def aiter_stream(self):
        yield self.body


def make_store(answer):
    store = PlatformStore("127.0.0.1:1")
    store.client = answer
    return store


async def call_store(name, store):
    if name == "read":
        return await store.read("")
    if name == "transact":
        return await store.transact([Compare("a", 1)], [Put("a", b"1", 3)])
    if name == "watch":
        async for event in store.watch("", 1):
            return event
        return Unavailable("-", "-", "the watch ended")
    if name == "grant_lease":
        return await store.grant_lease(6.0)
    return await store.keep_alive(5)


OUTCOMES = {
    "read": Snapshot | Unavailable,
    "watch": WatchEvent | Unavailable,
    "transact": Applied | Conflict | LeaseLost | Ambiguous | Unavailable,
    "grant_lease": LeaseGranted | Unavailable,
    "keep_alive": LeaseGranted | LeaseLost | Unavailable,
}


def list_paths(document, path=()):
    """Return the path of each value of a document."""
    children = (
        document.items()
        if isinstance(document, dict)
        else enumerate(document)
        if isinstance(document, list)
        else ()
    )
    paths = [path] if path else []
    for key, child in children:
        paths += list_paths(child, (*path, key))
    return paths


def change(document, path, value):
    changed = copy.deepcopy(document)
    target = changed
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = value
    return changed


def encode(document):
    return msgspec.json.encode(document).replace(b"Infinity", b"1e999")


def list_odd_documents(document):
    for path in list_paths(document):
        for value in ODD_VALUES:
            yield encode(change(document, path, value))
        yield encode(change(document, path, 0)).replace(b"0", b"[" * 5000, 1)


def test_a_page_that_repeats_the_one_before_is_malformed():
    async def check():
        body = encode({**ANSWERS["read"], "truncated": True})
        with anyio.fail_after(5.0):
            return await call_store("read", make_store(Answer(200, body)))

    assert isinstance(anyio.run(check), Unavailable)


@pytest.mark.parametrize("name", ANSWERS)
@pytest.mark.parametrize("status", [200, 412])
def test_an_odd_answer_of_the_store_is_an_outcome_and_no_error(name, status):
    async def check():
        for body in list_odd_documents(ANSWERS[name]):
            outcome = await call_store(name, make_store(Answer(status, body)))
            assert isinstance(outcome, OUTCOMES[name])

    anyio.run(check)


@pytest.mark.parametrize("name", ANSWERS)
@FUZZED
@given(status=st.sampled_from(STATUSES), body=st.binary(max_size=200))
def test_any_answer_of_the_store_is_an_outcome_and_no_error(name, status, body):
    outcome = anyio.run(call_store, name, make_store(Answer(status, body)))
    assert isinstance(outcome, OUTCOMES[name])


KV = {"key": "YQ==", "value": "e30=", "mod_revision": "7", "lease": "3"}
ETCD_ANSWERS = {
    "read": {"header": {"revision": "9"}, "kvs": [KV]},
    "watch": {
        "result": {"header": {"revision": "9"}, "events": [{"type": "PUT", "kv": KV}]}
    },
    "transact": {
        "header": {"revision": "9"},
        "succeeded": False,
        "responses": [{"response_range": {"kvs": [KV]}}],
    },
    "grant_lease": {"ID": "5", "TTL": "6"},
    "keep_alive": {"result": {"ID": "5", "TTL": "6"}},
}


@dataclass
class Pool:
    """Stands for the connections to an etcd service, and for its response."""

    content: bytes
    status: int = 200

    async def request(self, *args, **options):
        return self

    @contextlib.asynccontextmanager
    async def stream(self, *args, **options):
        yield self

    async def aiter_stream(self):
        yield self.content + b"\n"


@pytest.mark.parametrize("name", ETCD_ANSWERS)
def test_an_odd_answer_of_an_etcd_service_is_an_outcome_and_no_error(name):
    async def check():
        for body in list_odd_documents(ETCD_ANSWERS[name]):
            store = EtcdStore("127.0.0.1:1")
            store.pool = Pool(body)
            assert isinstance(await call_store(name, store), OUTCOMES[name])

    anyio.run(check)


def read_state(answer):
    return anyio.run(PlatformOrders(answer).read_state, REPLICA)


def test_an_odd_state_of_a_replica_is_no_error():
    for body in list_odd_documents(STATE):
        assert isinstance(read_state(Answer(200, body)), ReplicaState | None)


@FUZZED
@given(status=st.sampled_from(STATUSES), body=st.binary(max_size=200))
def test_any_state_of_a_replica_is_no_error(status, body):
    assert isinstance(read_state(Answer(status, body)), ReplicaState | None)


CONFIGURATION = """
[workspace notes]
key_sha256 = {digest}
requests_per_s = 5
[model m0]
[service writers]
models = m0
[endpoint w1]
service = writers
address = 127.0.0.1:8000
"""


@FUZZED
@given(text=st.text(max_size=200))
def test_any_configuration_is_read_or_rejected(text):
    with contextlib.suppress(SettingsError):
        parse_configuration({"a.ini": text})


@FUZZED
@given(
    line=st.integers(min_value=1, max_value=9),
    text=st.text(alphabet="[]=%:;#²9\n\t e.-", max_size=40),
)
def test_a_configuration_with_one_line_changed_is_read_or_rejected(line, text):
    lines = CONFIGURATION.format(digest="ab" * 32).splitlines()
    lines[line] = text
    with contextlib.suppress(SettingsError):
        parse_configuration({"a.ini": "\n".join(lines)})


@pytest.mark.parametrize("depth", [10, 500, 5000])
def test_a_deeply_nested_settings_file_is_rejected(depth):
    text = b"x = " + b"[" * depth + b"]" * depth
    with pytest.raises(SettingsError):
        parse_entry_settings(text, "node.toml")


@FUZZED
@given(text=st.binary(max_size=200))
def test_any_settings_file_is_rejected(text):
    with pytest.raises(SettingsError):
        parse_entry_settings(text, "node.toml")
