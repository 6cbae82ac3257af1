"""Membership protocol: probes, suspicion and incarnations. Does no I/O.

A member that answers neither a direct probe nor the probes of helpers is suspected.
It is declared dead unless it refutes the suspicion in time with a higher incarnation.
A death reported by another router counts as a suspicion only, so every router
declares a member dead by its own timeout. A dead member that comes back receives the
record of its death in the first answer, and refutes it.
"""

import math
from dataclasses import dataclass, field
from random import Random

from .digests import DigestRegistry
from .ids import HostId, Revision
from .members import (
    Member,
    MembershipRules,
    MemberState,
    decode_state,
    hash_live,
    replace_state,
)
from .messages import Exchange, MemberRecord, encode_message
from .overlay import choose_neighbours
from .send_queue import SendQueue

__all__ = ["Membership", "Round", "make_membership"]

MAX_MEMBERS = 4096
STARTUP_ROUNDS = 3


@dataclass(frozen=True, slots=True)
class Round:
    """Actions of one protocol round.

    Parameters
    ----------
    started_at_s : float
        Monotonic time at which the round started, seconds.
    probe : MemberRecord or None
        Member to probe; None when there is no other member.
    reconnect : tuple of str
        Addresses of dead members and seeds to reconnect to.
    """

    started_at_s: float
    probe: MemberRecord | None
    reconnect: tuple[str, ...] = ()


@dataclass(slots=True)
class Membership:
    """The member table of one router.

    Parameters
    ----------
    own_record : MemberRecord
        Record of this router.
    seeds : tuple of str
        Addresses of routers to join.
    revision : Revision
        Configuration revision in force at this router; 0 for none.
    members : dict of HostId to Member
        All other members.
    pending : SendQueue
        Member records that are still to be sent to other members.
    others_checksum : int
        Checksum of the other live members.
    differing_since_s : float
        Time since which the checksums received have differed from this router's.
    synced_at_s : float
        Time at which `start_sync_if_due` last returned True.
    """

    own_record: MemberRecord
    rules: MembershipRules
    random: Random
    digests: DigestRegistry
    seeds: tuple[str, ...] = ()
    revision: Revision = Revision(0)
    members: dict[HostId, Member] = field(default_factory=dict)
    pending: SendQueue[HostId, MemberRecord] = field(default_factory=SendQueue)
    suspects: set[HostId] = field(default_factory=set)
    neighbours: tuple[HostId, ...] = ()
    probe_schedule: list[HostId] = field(default_factory=list)
    others_checksum: int = 0
    rounds: int = 0
    refutations: int = 0
    differing_since_s: float = math.inf
    synced_at_s: float = -math.inf
    neighbours_stale: bool = True

    def list_live(self) -> dict[HostId, MemberRecord]:
        """Return the other members that are alive or suspected."""
        return {
            host: member.record
            for host, member in self.members.items()
            if member.state <= MemberState.SUSPECT
        }

    def list_records(self) -> list[MemberRecord]:
        """Return all records, this router's own first."""
        return [self.own_record, *(member.record for member in self.members.values())]

    def list_neighbours(self) -> list[MemberRecord]:
        """Return the members that this router probes and forwards updates to."""
        self._refresh_neighbours()
        return [self.members[host].record for host in self.neighbours]

    def _refresh_neighbours(self) -> None:
        if self.neighbours_stale:
            live = self.list_live()
            self.neighbours = choose_neighbours(HostId(self.own_record.host), live)
            self.neighbours_stale = False

    def compute_log2_size(self) -> float:
        """Return log2 of one more than the fleet's size, at least 1.

        The size includes this router and the dead and departed members in the table.
        """
        return max(1.0, math.log2(len(self.members) + 2))

    def compute_suspicion_s(self) -> float:
        """Return the time from suspicion to death, seconds."""
        rules = self.rules
        return rules.suspicion_rounds * rules.round_s * self.compute_log2_size()

    def start_round(self, now_s: float) -> Round:
        """Apply the timeouts and choose the members to contact."""
        self.rounds += 1
        self._expire_suspicions(now_s)
        self.digests.expire(now_s)
        reconnect: tuple[str, ...] = ()
        reconnect_due = self.rounds % self.rules.reconnect_rounds == 1
        reconnect_due = reconnect_due or self.rounds <= STARTUP_ROUNDS
        if reconnect_due or not self.list_neighbours():
            self._remove_dead_and_left(now_s)
            reconnect = self._choose_reconnect()
        return Round(now_s, self._choose_probe(), reconnect)

    def _choose_probe(self) -> MemberRecord | None:
        self._refresh_neighbours()
        allowed = set(self.neighbours)
        while self.probe_schedule:
            host = self.probe_schedule.pop()
            if host in allowed:
                return self.members[host].record
        if not allowed:
            return None
        self.probe_schedule = list(self.neighbours)
        self.random.shuffle(self.probe_schedule)
        return self.members[self.probe_schedule.pop()].record

    def _choose_reconnect(self) -> tuple[str, ...]:
        """Return dead members and seeds to try: several during startup, then one."""
        known_addresses = {member.record.address for member in self.members.values()}
        known_addresses.add(self.own_record.address)
        addresses = {
            member.record.address
            for member in self.members.values()
            if member.state is MemberState.DEAD
        }
        addresses |= set(self.seeds) - known_addresses
        limit = self.rules.startup_seeds if self.rounds <= STARTUP_ROUNDS else 1
        count = min(limit, len(addresses))
        return tuple(self.random.sample(sorted(addresses), count))

    def _expire_suspicions(self, now_s: float) -> None:
        limit_s = self.compute_suspicion_s()
        for host in sorted(self.suspects):
            member = self.members[host]
            if now_s - member.changed_at_s >= limit_s:
                record = member.record
                dead = replace_state(record, record.incarnation, MemberState.DEAD)
                self._put(dead, MemberState.DEAD, now_s)

    def _remove_dead_and_left(self, now_s: float) -> None:
        for host, member in list(self.members.items()):
            age_s = now_s - member.changed_at_s
            is_dead_or_left = member.state > MemberState.SUSPECT
            if is_dead_or_left and age_s >= self.rules.dead_retention_s:
                del self.members[host]
                self.pending.discard(host)

    def choose_helpers(self, target: HostId) -> list[MemberRecord]:
        """Return members to use for an indirect probe."""
        live = self.list_live()
        live.pop(target, None)
        count = min(self.rules.helpers, len(live))
        return [live[host] for host in self.random.sample(sorted(live), count)]

    def report_unreachable(
        self, target: HostId, started_round: Round, now_s: float
    ) -> bool:
        """Suspect a member that answered neither this router nor its helpers.

        Returns
        -------
        bool
            Whether the member became suspected. False if it is unknown or was not
            alive, and if this router stalled during the probe, which makes the probe
            invalid.
        """
        member = self.members.get(target)
        stalled = now_s - started_round.started_at_s > 3 * self.rules.round_s
        if member is None or stalled or member.state is not MemberState.ALIVE:
            return False
        record = member.record
        suspect = replace_state(record, record.incarnation, MemberState.SUSPECT)
        self._put(suspect, MemberState.SUSPECT, now_s)
        return True

    def make_exchange(
        self, target: HostId | None, now_s: float, wants_all: bool = False
    ) -> Exchange:
        """Return the next message to a member.

        Parameters
        ----------
        target : HostId or None
            None for a router whose host is not known yet.
        wants_all : bool
            Whether the answer must contain the full member table.
        """
        members = self._select_members(target)
        used = sum(len(encode_message(record)) for record in members)
        budget = self.rules.budget_bytes - used
        sends = self._compute_sends()
        return Exchange(
            sender=self.own_record,
            revision=self.revision,
            checksum=self.compute_checksum(),
            members=members,
            digests=self.digests.select(budget, sends, now_s),
            wants_all=wants_all,
        )

    def compute_checksum(self) -> int:
        """Return the checksum of the live members, including this router."""
        return self.others_checksum ^ hash_live(self.own_record)

    def _compute_sends(self) -> int:
        return math.ceil(self.rules.sends * self.compute_log2_size())

    def _select_members(self, target: HostId | None) -> list[MemberRecord]:
        member = self.members.get(target) if target else None
        leading_records = []
        if member and member.state is not MemberState.ALIVE:
            leading_records.append(member.record)
        pending_records = self.pending.take(
            self.rules.budget_bytes, self._compute_sends()
        )
        return leading_records + pending_records

    def answer(self, message: Exchange, now_s: float) -> Exchange:
        """Process a message and return the answer."""
        self.receive(message, now_s)
        reply = self.make_exchange(HostId(message.sender.host), now_s)
        if not message.wants_all:
            return reply
        members = [m for m in self.list_records() if m.host != message.sender.host]
        sender_member = self.members.get(HostId(message.sender.host))
        if sender_member is not None:
            members.append(sender_member.record)
        return Exchange(
            reply.sender, reply.revision, reply.checksum, members, reply.digests
        )

    def receive(self, message: Exchange, now_s: float) -> None:
        """Process a message or an answer."""
        self._merge(message.sender, now_s)
        for record in message.members:
            self._merge(record, now_s)
        for digest in message.digests:
            self.digests.receive(digest, now_s)
        if message.checksum == self.compute_checksum():
            self.differing_since_s = math.inf
        else:
            self.differing_since_s = min(self.differing_since_s, now_s)

    def start_sync_if_due(self, now_s: float) -> bool:
        """Return whether to read another router's full member table now.

        A read is due once the checksums have differed for longer than updates take to
        spread, but not again within the minimum interval. The time of a read that is
        due is recorded.
        """
        propagation_s = self.compute_suspicion_s()
        persistent = now_s - self.differing_since_s >= propagation_s
        interval_passed = now_s - self.synced_at_s >= max(
            self.rules.sync_s, propagation_s
        )
        if persistent and interval_passed:
            self.synced_at_s = now_s
            return True
        return False

    def leave(self) -> None:
        """Declare that this router has left."""
        self.own_record = replace_state(
            self.own_record, self.own_record.incarnation, MemberState.LEFT
        )

    def _merge(self, record: MemberRecord, now_s: float) -> None:
        state = decode_state(record.state)
        if state is None:
            return
        if record.host == self.own_record.host:
            self._refute(record)
            return
        current = self.members.get(HostId(record.host))
        if current is None:
            if state <= MemberState.SUSPECT and len(self.members) < MAX_MEMBERS:
                self._put(record, state, now_s)
            return
        rank = (record.incarnation, min(state, MemberState.SUSPECT))
        if state is MemberState.LEFT:
            rank = (record.incarnation, MemberState.LEFT)
        if rank <= (current.record.incarnation, current.state):
            return
        if state is MemberState.DEAD:
            state = MemberState.SUSPECT
        self._put(replace_state(record, record.incarnation, state), state, now_s)

    def _refute(self, record: MemberRecord) -> None:
        own_record = self.own_record
        if (
            own_record.state == MemberState.LEFT
            or record.incarnation < own_record.incarnation
        ):
            return
        reported = (record.incarnation, record.state)
        if reported == (own_record.incarnation, MemberState.ALIVE):
            return
        self.own_record = replace_state(
            own_record, record.incarnation + 1, MemberState.ALIVE
        )
        self.digests.incarnation = self.own_record.incarnation
        self.refutations += 1

    def _put(self, record: MemberRecord, state: MemberState, now_s: float) -> None:
        host = HostId(record.host)
        previous = self.members.get(host)
        if previous is not None:
            self.others_checksum ^= hash_live(previous.record)
        was_live = previous is not None and previous.state <= MemberState.SUSPECT
        self.neighbours_stale |= was_live != (state <= MemberState.SUSPECT)
        self.others_checksum ^= hash_live(record)
        self.members[host] = Member(record, state, now_s)
        self.pending.put(host, record)
        self.suspects.discard(host)
        if state is MemberState.SUSPECT:
            self.suspects.add(host)


def make_membership(
    own_record: MemberRecord,
    random: Random,
    seeds: tuple[str, ...] = (),
    rules: MembershipRules | None = None,
) -> Membership:
    """Return the member table of a router that knows no other member yet."""
    digests = DigestRegistry(HostId(own_record.host), own_record.incarnation)
    return Membership(own_record, rules or MembershipRules(), random, digests, seeds)
