"""Costs of the control plane on one node as functions of the fleet size."""

import itertools
import random
from collections.abc import Callable, Iterator

from .attempt import AttemptRunner
from .board import Board, make_board
from .configuration import (
    Configuration,
    Endpoint,
    Model,
    Service,
    ServiceKind,
    Workspace,
    decode_configuration,
    encode_configuration,
    find_workspace,
    hash_api_key,
)
from .crash_causes import Fingerprints
from .digests import DigestRegistry
from .dispatch import Dispatcher, make_dispatcher
from .endpoint_client import make_endpoint_client
from .hash_ring import make_ring
from .ids import (
    EndpointId,
    FailureDomain,
    Fingerprint,
    HostId,
    ModelId,
    RequestId,
    ServiceId,
    WeightsVersion,
    WorkspaceId,
)
from .members import MemberState
from .membership import Membership, make_membership
from .messages import DigestRecord, Exchange, MemberRecord, PeerCodec
from .placement import Feedback
from .prompts import BLOCK_TOKENS, CacheScope, Prompt
from .requests import ModelRequest
from .reuse_placement import make_placement
from .scale_fits import Slope, fit_slope, measure_cpu, measure_memory
from .settings import Limits

__all__ = ["NODES", "make_configuration", "make_record", "measure_control_plane"]

NODE_REQUESTS_PER_S = 46.8  # 44,000 requests/s on 940 nodes
# Sizes at which the costs are measured.
NODES = (60, 240, 470, 940)
REPLICAS = (480, 975, 1950, 3900)
WORKSPACES = (350, 700, 1400, 2800)
MEMBER_CHANGES = (0, 2, 4, 8)
DIGESTS = (0, 2, 4, 8)
BLOCKS = (2000, 4000, 8000, 16000)
# Quantities that stay the same in all measurements.
MODELS = 22
FLEET_NODES = 940
DOMAINS = 17
DIGEST_BYTES = 60
BLOCKS_PER_PROMPT = 8
REUSE_REPLICAS = 220
NO_FINGERPRINTS = Fingerprints(Fingerprint(0))


def make_configuration(replicas: int, workspaces: int) -> Configuration:
    """Return a configuration of 22 models with replicas in 17 failure domains."""
    models, services, endpoints = {}, {}, {}
    for number in range(MODELS):
        model, service = ModelId(f"model-{number}"), ServiceId(f"service-{number}")
        models[model] = Model(model, WeightsVersion("1"))
        services[service] = Service(service, ServiceKind.ENGINE, (model,))
    for number in range(replicas):
        name = EndpointId(f"endpoint-{number:05d}")
        service = ServiceId(f"service-{number % MODELS}")
        address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8000"
        domain = FailureDomain(f"domain-{number % DOMAINS}")
        endpoints[name] = Endpoint(name, service, address, domain)
    declared_workspaces = {}
    for number in range(workspaces):
        workspace = WorkspaceId(f"workspace-{number:05d}")
        declared_workspaces[workspace] = Workspace(
            workspace, (hash_api_key(f"key-{number}"),)
        )
    return Configuration(declared_workspaces, models, services, endpoints)


def measure_control_plane() -> list[Slope]:
    """Return all slopes of the control plane on one node."""
    return [
        *_measure_membership(),
        *_measure_member_changes(),
        *_measure_digests(),
        *_measure_configuration(),
        *_measure_decisions(),
        *_measure_reuse(),
    ]


def make_record(number: int, incarnation: int = 1) -> MemberRecord:
    """Return the membership record of one router."""
    address = f"10.1.{number >> 8}.{number & 255}:7000"
    return MemberRecord(
        host=f"entry-{number:04d}",
        address=address,
        failure_domain=f"domain-{number % DOMAINS}",
        incarnation=incarnation,
        state=MemberState.ALIVE,
    )


def _make_membership(number: int, nodes: int) -> Membership:
    membership = make_membership(make_record(number), random.Random(number))
    others = [make_record(n) for n in range(nodes) if n != number]
    for other in others:
        membership.receive(Exchange(other), 0.0)
    # Build messages until the updates about all members are no longer retransmitted.
    while membership.make_exchange(None, 0.0).members:
        pass
    return membership


class _MemberPair:
    """Two routers that exchange encoded messages by function calls, without sockets."""

    def __init__(self, nodes: int):
        self.first = _make_membership(0, nodes)
        self.second = _make_membership(1, nodes)
        self.codec = PeerCodec("key")
        self.now_s = 1.0
        self.bytes_sent = 0

    def exchange(self) -> None:
        """Run one round of the first router, which the second one answers."""
        self.now_s += 1.0
        self.first.start_round(self.now_s)
        message = self.first.make_exchange(HostId("entry-0001"), self.now_s)
        answer = self.second.answer(self._send(message), self.now_s)
        self.first.receive(self._send(answer), self.now_s)

    def _send(self, message: Exchange) -> Exchange:
        data = self.codec.encode(message, Exchange)
        self.bytes_sent += len(data)
        return self.codec.decode(data, Exchange)


def _measure_pairs(
    sizes: tuple[int, ...],
    nodes_for_size: Callable[[int], int],
    prepare: Callable[[_MemberPair, int], None],
    count: int = 60,
) -> tuple[list[tuple[float, float]], list[tuple[float, float]]]:
    """Return the CPU time and the bytes, both ways, of one round by size.

    ``prepare`` runs before each round and counts towards its CPU time.
    """
    cpu, sent = [], []
    for size in sizes:
        pair = _MemberPair(nodes_for_size(size))

        def run(pair: _MemberPair = pair, size: int = size) -> None:
            prepare(pair, size)
            pair.exchange()

        cpu.append((float(size), measure_cpu(run, count)))
        bytes_before = pair.bytes_sent
        run()
        sent.append((float(size), float(pair.bytes_sent - bytes_before)))
    return cpu, sent


def _measure_membership() -> list[Slope]:
    cpu, sent = _measure_pairs(NODES, lambda size: size, lambda pair, size: None)
    memory = [
        (float(size), measure_memory(lambda size=size: _make_membership(0, size)))  # type: ignore[misc]
        for size in NODES
    ]
    return [
        fit_slope("membership_cpu", "nodes", "s a round", cpu),
        fit_slope("membership_bytes", "nodes", "bytes a round", sent),
        fit_slope("membership_memory", "nodes", "bytes", memory),
    ]


def _measure_member_changes() -> list[Slope]:
    """Measure rounds in which members change, as when hosts fail or restart."""
    state = {"incarnation": 1}

    def change_members(pair: _MemberPair, size: int) -> None:
        state["incarnation"] += 1
        for number in range(2, 2 + size):
            record = make_record(number, state["incarnation"])
            pair.first.receive(Exchange(record), pair.now_s)

    cpu, sent = _measure_pairs(MEMBER_CHANGES, lambda size: FLEET_NODES, change_members)
    return [
        fit_slope("member_change_cpu", "changes a round", "s a round", cpu),
        fit_slope("member_change_bytes", "changes a round", "bytes a round", sent),
    ]


def _measure_digests() -> list[Slope]:
    state = {"counter": 1}
    data = bytes(DIGEST_BYTES)

    def publish(pair: _MemberPair, size: int) -> None:
        state["counter"] += 1
        for number in range(2, 2 + size):
            host = f"entry-{number:04d}"
            counter = state["counter"]
            record = DigestRecord("usage", host, 1, counter, ttl_ms=600_000, data=data)
            pair.first.digests.receive(record, pair.now_s)

    cpu, sent = _measure_pairs(DIGESTS, lambda size: FLEET_NODES, publish)
    memory = []
    for size in NODES:

        def build(size: int = size) -> DigestRegistry:
            registry = DigestRegistry(HostId("entry-9999"), 1)
            for number in range(size):
                host = f"entry-{number:04d}"
                record = DigestRecord("usage", host, 1, 1, 600_000, bytes(DIGEST_BYTES))
                registry.receive(record, 0.0)
            return registry

        memory.append((float(size), measure_memory(build)))
    return [
        fit_slope("digest_cpu", "digests a round", "s a round", cpu),
        fit_slope("digest_bytes", "digests a round", "bytes a round", sent),
        fit_slope("digest_memory", "nodes", "bytes a digest name", memory),
    ]


def _measure_configuration() -> list[Slope]:
    decode_cpu, size_bytes, memory, lookup_cpu = [], [], [], []
    for workspaces in WORKSPACES:
        replicas = workspaces * REPLICAS[-1] // WORKSPACES[-1]
        configuration = make_configuration(replicas, workspaces)
        data = encode_configuration(configuration)
        key = f"key-{workspaces - 1}"
        x = float(workspaces)
        decode_cpu.append((x, measure_cpu(lambda d=data: decode_configuration(d), 3)))  # type: ignore[misc]
        size_bytes.append((x, float(len(data))))
        allocated = measure_memory(lambda d=data: decode_configuration(d))  # type: ignore[misc]
        memory.append((x, allocated))
        lookup_cpu.append(
            (x, measure_cpu(lambda c=configuration, k=key: find_workspace(c, k), 50))  # type: ignore[misc]
        )
    axis = "workspaces, with 1.4 replicas each"
    return [
        fit_slope("configuration_cpu", axis, "s a change", decode_cpu),
        fit_slope("configuration_bytes", axis, "bytes", size_bytes),
        fit_slope("configuration_memory", axis, "bytes", memory),
        fit_slope("authentication_cpu", "workspaces", "s a request", lookup_cpu),
    ]


def _make_configured_board(replicas: int) -> Board:
    board = make_board()
    configuration = make_configuration(replicas, 8)
    board.configuration.take_writer("bench").write(configuration, 0.0)
    return board


def make_request(configuration: Configuration, number: int) -> ModelRequest:
    """Return a request with a unique prompt in a shared cache scope."""
    workspace = configuration.workspaces[WorkspaceId("workspace-00000")]
    model = configuration.models[ModelId("model-0")]
    scope = CacheScope(workspace.id, model.id, "", model.version)  # type: ignore[arg-type]
    generator = random.Random(number)
    blocks = tuple(generator.getrandbits(64) for _ in range(BLOCKS_PER_PROMPT))
    prompt = Prompt(scope, blocks, BLOCKS_PER_PROMPT * BLOCK_TOKENS)  # type: ignore[arg-type]
    return ModelRequest(
        id=RequestId(f"req-{number}"),
        workspace=workspace,
        model=model,
        service=configuration.services[ServiceId("service-0")],
        path="/v1/completions",
        body={},
        streamed=True,
        prompt=prompt,
    )


def _make_dispatcher(board: Board) -> Dispatcher:
    attempts = AttemptRunner(make_endpoint_client(), Limits())
    placement = make_placement(FailureDomain("domain-0"))
    return make_dispatcher(board, attempts, placement, Limits())


def _measure_decisions() -> list[Slope]:
    decision_cpu, admission_cpu, ring_memory = [], [], []
    for replicas in REPLICAS:
        board = _make_configured_board(replicas)
        dispatcher = _make_dispatcher(board)
        configuration = board.configuration.value
        assert configuration is not None
        requests = [make_request(configuration, number) for number in range(20)]
        service = requests[0].service
        times = itertools.count(1.0, 1 / NODE_REQUESTS_PER_S)

        def choose(
            dispatcher: Dispatcher = dispatcher, requests: list[ModelRequest] = requests
        ) -> None:
            for request in requests:
                dispatcher.choose(request, NO_FINGERPRINTS, set(), 1.0)

        def read_capacity(
            dispatcher: Dispatcher = dispatcher,
            service: Service = service,
            times: Iterator[float] = times,
        ) -> None:
            dispatcher.candidates.compute_capacity(service, next(times))

        names = [endpoint.id for endpoint in configuration.list_endpoints(service.id)]
        x = float(replicas)
        decision_cpu.append((x, measure_cpu(choose, 2) / len(requests)))
        admission_cpu.append((x, measure_cpu(read_capacity, 20)))
        ring_memory.append((x, MODELS * measure_memory(lambda n=names: make_ring(n))))  # type: ignore[misc]
    return [
        fit_slope("decision_cpu", "replicas", "s a request", decision_cpu),
        fit_slope("admission_cpu", "replicas", "s a request", admission_cpu),
        fit_slope("ring_memory", "replicas", "bytes", ring_memory),
    ]


def _measure_reuse() -> list[Slope]:
    """Measure the memory and the CPU time of placement by distinct blocks routed."""
    board = _make_configured_board(REUSE_REPLICAS)
    configuration = board.configuration.value
    assert configuration is not None
    memory, cpu = [], []
    for blocks in BLOCKS:
        requests = [
            make_request(configuration, number)
            for number in range(blocks // BLOCKS_PER_PROMPT)
        ]
        dispatcher = _make_dispatcher(board)

        def route_all(
            dispatcher: Dispatcher = dispatcher, requests: list[ModelRequest] = requests
        ) -> object:
            for request in requests:
                decision = dispatcher.choose(
                    request, Fingerprints(Fingerprint(0)), set(), 1.0
                )
                endpoint = EndpointId(getattr(decision, "endpoint", ""))
                dispatcher.placement.observe(
                    Feedback(endpoint, request.prompt, 0, 0, 1.0)
                )
            return dispatcher

        memory.append((float(blocks), measure_memory(route_all)))
        cpu.append((float(blocks), measure_cpu(route_all, 1)))
    return [
        fit_slope("reuse_memory", "distinct blocks met", "bytes", memory),
        fit_slope("reuse_cpu", "blocks routed and observed", "s", cpu),
    ]
