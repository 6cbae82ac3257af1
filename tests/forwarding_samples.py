"""Replicas and calls for tests of the forwarding modules."""

import random

from primrosepier.forwarding.calls import Call, PromptPart
from primrosepier.forwarding.declarations import RetryPolicy, Route
from primrosepier.forwarding.fleet import Replica
from primrosepier.forwarding.replica_choice import AvoidedReplicas, ReplicaChooser
from primrosepier.forwarding.replica_load import ReplicaLoadTable

DOMAINS = ("rennes", "brest", "vannes")


def make_replica(name, service="writers", weights=1, **changes):
    domain = DOMAINS[int(name[-1]) % 3]
    defaults = {"slots": 4, "weights": {"m0": weights}, "software": "v1"}
    return Replica(name, service, f"10.0.0.{name[-1]}:1", domain, **defaults | changes)


def make_replicas(count, **changes):
    return [make_replica(f"r{number}", **changes) for number in range(count)]


def make_call(parts=(), priority=1, workspace=None, retry_policy=RetryPolicy.NEVER):
    route = Route("notes", "h", "/", (("writers", 1),), retry_policy, priority=priority)
    prompt = tuple(PromptPart(name, tokens) for name, tokens in parts)
    return Call("a", "POST", "/", (), b"", route, workspace, 0.0, 9.0, "m0", prompt)


def make_chooser(domain="rennes", seed=1):
    return ReplicaChooser(domain, ReplicaLoadTable(), random.Random(seed))


def choose(chooser, call, replicas, now_s=0.0, **avoided):
    return chooser.choose(call, "m0/", replicas, AvoidedReplicas(**avoided), now_s)


LONG_PROMPT = (("history", 12_000), ("note", 3_000))
