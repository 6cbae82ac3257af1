"""Routers and brittle replicas in virtual time, without a network."""

import contextlib
from dataclasses import dataclass, field, replace

import anyio
import httpcore
from crash_cluster import CallKind, CrashCluster, Engine, EngineResponse, _wait_or_break

from primrosepier.forwarding.declarations import RetryPolicy
from primrosepier.forwarding.fleet import ReplicaList
from primrosepier.outcomes import Completed
from primrosepier.platform import names
from primrosepier.platform.standin_room import DOWN_S, Room

SLOTS = 4
QUEUE = 16
LESSENED_QUEUE = 1
# Mean time that a call runs, by replica, repeated: replicas differ in speed.
RUN_S = (0.075, 0.1, 0.15)
# Time from the first answer that names brittleness until there is less room.
STABLE_S = 3.0
BRITTLE_AT_S = 1.0


def make_kind(per_s):
    return CallKind("views", per_s, (), RetryPolicy.ANY, max_runs=2, streamed=False)


@dataclass
class BrittleCluster(CrashCluster):
    """Replicas with slots and a queue, which fall if they turn too many away."""

    rooms: dict[int, Room] = field(default_factory=dict)
    free: dict[int, anyio.Semaphore] = field(default_factory=dict)
    ended_at_s: dict[int, list[float]] = field(default_factory=dict)

    def __post_init__(self):
        super().__post_init__()
        for engine in self.engines:
            self.rooms[engine.number] = Room(SLOTS, QUEUE)
            self.ended_at_s[engine.number] = []

    @property
    def room_per_s(self):
        return sum(SLOTS / _get_run_s(engine) for engine in self.engines)

    def count_falls(self):
        return sum(len(room.fallen_at_s) for room in self.rooms.values())

    def count_ended(self, from_s, to_s):
        times = [at_s for ended in self.ended_at_s.values() for at_s in ended]
        return sum(from_s <= at_s < to_s for at_s in times)

    def list_calls(self, from_s, to_s):
        return [call for call in self.calls if from_s <= call.sent_at_s < to_s]

    def count_served(self, from_s, to_s):
        calls = self.list_calls(from_s, to_s)
        return sum(isinstance(call.outcome, Completed) for call in calls)

    def list_engines(self):
        replicas = [
            replace(engine.make_replica(), slots=SLOTS) for engine in self.engines
        ]
        return ReplicaList({"writers": tuple(sorted(replicas, key=lambda r: r.id))})

    def become_brittle(self, tolerated, until_s):
        """Return a process that lets replicas be brittle for some time."""

        async def change():
            await anyio.sleep(BRITTLE_AT_S)
            for room in self.rooms.values():
                room.tolerated = tolerated
            await anyio.sleep(STABLE_S)
            for room in self.rooms.values():
                room.queue = LESSENED_QUEUE
            await anyio.sleep(until_s - BRITTLE_AT_S - STABLE_S)
            for room in self.rooms.values():
                room.tolerated = 0
                room.queue = QUEUE

        return change

    def _start(self, engine: Engine):
        engine.starts = 1
        engine.crashed = anyio.Event()
        self.free[engine.number] = anyio.Semaphore(SLOTS)

    @contextlib.asynccontextmanager
    async def open(self, call):
        """Serve as the routers' client for calls to replicas."""
        engine = self.engines[int(call.address.partition(":")[0].rpartition(".")[2])]
        room = self.rooms[engine.number]
        record = self.by_id[call.attempt]
        await anyio.sleep(0.001)
        crashed, free = engine.crashed, self.free[engine.number]
        if crashed is None:
            raise httpcore.ConnectError("connection refused")
        record.arrivals.append((anyio.current_time(), engine.id))
        headers = [(names.CALL_ID, call.attempt.encode())]
        if not room.try_enter(anyio.current_time()):
            if room.is_down(anyio.current_time()):
                self.crash(engine, DOWN_S)
                raise httpcore.RemoteProtocolError("Server disconnected")
            headers += _list_headers(room) + [(names.NOT_RUN, b"1")]
            yield EngineResponse(headers, _generate(), status=503)
            return
        try:
            async with free:
                await _wait_or_break(
                    crashed, self.rng.uniform(0.5, 1.5) * _get_run_s(engine)
                )
        finally:
            room.leave()
        self.ended_at_s[engine.number].append(anyio.current_time())
        headers += _list_headers(room) + [(names.ENDPOINT_PROOF, b"1")]
        yield EngineResponse(headers, _generate())


def _get_run_s(engine):
    return RUN_S[engine.number % len(RUN_S)]


def _list_headers(room):
    return [(name.encode(), value.encode()) for name, value in room.list_headers()]


async def _generate():
    yield b"done"
