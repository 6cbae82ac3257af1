"""Index of cache events: late, with gaps, and bound to a life of an endpoint."""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum

from .hash_ring import mix_hash
from .ids import BlockHash, EndpointId, Incarnation, WeightsVersion

__all__ = ["CacheEvent", "CacheEventIndex", "CacheEventKind"]

MAX_BLOCKS_PER_ENDPOINT = 2048
MAX_LOST_SHARE = 0.25
SAMPLE_SALT = 0x5851F42D4C957F2D


class CacheEventKind(Enum):
    """What happened to a block."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One block entered or left an endpoint's cache.

    Parameters
    ----------
    sequence : int
        Number of the event in the life of the endpoint, from 1.
    """

    endpoint: EndpointId
    incarnation: Incarnation
    version: WeightsVersion
    sequence: int
    kind: CacheEventKind
    block: BlockHash


@dataclass(slots=True)
class _Stream:
    """What the events of one life of an endpoint tell.

    Parameters
    ----------
    complete : bool
        Whether blocks that are not in ``blocks`` are not cached.
    capacity : int
        Most blocks that are kept; lost evictions then push out the oldest.
    """

    incarnation: Incarnation
    version: WeightsVersion
    sequence: int
    complete: bool
    capacity: int = MAX_BLOCKS_PER_ENDPOINT
    blocks: OrderedDict[BlockHash, None] = field(default_factory=OrderedDict)


class CacheEventIndex:
    """Blocks that endpoints hold as far as their events tell.

    Parameters
    ----------
    sample : int
        One of so many blocks is kept, the same ones on every router.
    """

    def __init__(self, sample: int = 1):
        self.sample = sample
        self.streams: dict[EndpointId, _Stream] = {}
        self.holders: dict[BlockHash, set[EndpointId]] = {}

    def is_sampled(self, block: BlockHash) -> bool:
        """Return whether events of a block are kept."""
        return self.sample == 1 or mix_hash(block, SAMPLE_SALT) % self.sample == 0

    def apply(self, event: CacheEvent) -> None:
        """Take in one event; a repeated or older one is ignored."""
        stream = self._find_stream(event)
        missing = event.sequence - stream.sequence - 1
        if missing < 0:
            return
        stream.sequence = event.sequence
        if missing:
            self._lose(event.endpoint, stream, missing)
        if event.kind is CacheEventKind.STORED:
            self._add(event.endpoint, stream, event.block)
        else:
            self._drop(event.endpoint, stream, event.block)

    def _find_stream(self, event: CacheEvent) -> _Stream:
        stream = self.streams.get(event.endpoint)
        if stream is not None:
            if (stream.incarnation, stream.version) == (
                event.incarnation,
                event.version,
            ):
                return stream
            self.forget(event.endpoint)
        before = event.sequence - 1
        stream = _Stream(event.incarnation, event.version, before, complete=not before)
        self.streams[event.endpoint] = stream
        return stream

    def _lose(self, endpoint: EndpointId, stream: _Stream, missing: int) -> None:
        """Start anew when lost events may hide a good part of the cache."""
        if missing / self.sample <= MAX_LOST_SHARE * len(stream.blocks):
            return
        for block in stream.blocks:
            self._remove_holder(block, endpoint)
        stream.blocks.clear()
        stream.complete = False

    def _add(self, endpoint: EndpointId, stream: _Stream, block: BlockHash) -> None:
        if not self.is_sampled(block):
            return
        stream.blocks[block] = None
        stream.blocks.move_to_end(block)
        self.holders.setdefault(block, set()).add(endpoint)
        if len(stream.blocks) > stream.capacity:
            oldest, _ = stream.blocks.popitem(last=False)
            self._remove_holder(oldest, endpoint)

    def _drop(self, endpoint: EndpointId, stream: _Stream, block: BlockHash) -> None:
        if block not in stream.blocks:
            return
        if stream.complete and stream.capacity == MAX_BLOCKS_PER_ENDPOINT:
            # Nothing is evicted before the cache is full.
            stream.capacity = len(stream.blocks)
        del stream.blocks[block]
        self._remove_holder(block, endpoint)
        # The least recent goes first, so what is older was seen or is gone.
        stream.complete = True

    def _remove_holder(self, block: BlockHash, endpoint: EndpointId) -> None:
        holders = self.holders[block]
        holders.discard(endpoint)
        if not holders:
            del self.holders[block]

    def forget(self, endpoint: EndpointId) -> None:
        """Drop all that is known of an endpoint."""
        stream = self.streams.pop(endpoint, None)
        if stream is not None:
            for block in stream.blocks:
                self._remove_holder(block, endpoint)

    def correct(
        self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        version: WeightsVersion,
        blocks: Sequence[BlockHash],
    ) -> None:
        """Take in that an endpoint answered a prompt, so that it holds its blocks."""
        stream = self.streams.get(endpoint)
        if stream is None or stream.incarnation != incarnation:
            return
        if stream.version == version:
            for block in blocks:
                self._add(endpoint, stream, block)

    def knows(
        self, endpoint: EndpointId, incarnation: Incarnation, version: WeightsVersion
    ) -> bool:
        """Return whether events of this life of an endpoint were seen."""
        stream = self.streams.get(endpoint)
        if stream is None:
            return False
        return stream.incarnation == incarnation and stream.version == version

    def is_complete(self, endpoint: EndpointId) -> bool:
        """Return whether what the events don't name is not cached."""
        return self.streams[endpoint].complete

    def count_held(
        self, endpoint: EndpointId, blocks: Sequence[tuple[int, BlockHash]]
    ) -> int:
        """Return the leading blocks that an endpoint holds.

        A block counts when the sampled one before it is held too, since a lost
        event may leave a single block out or in.

        Parameters
        ----------
        blocks : sequence of (int, BlockHash)
            Sampled blocks of a prompt with their numbers from 1, the last first.
        """
        held = self.streams[endpoint].blocks
        deeper = 0
        for number, block in blocks:
            if block not in held:
                deeper = 0
            elif deeper:
                return deeper
            else:
                deeper = number
        return deeper

    def find_holders(
        self, blocks: Sequence[tuple[int, BlockHash]], above: int
    ) -> dict[EndpointId, int]:
        """Return the endpoints that hold more than ``above`` blocks, most first.

        Parameters
        ----------
        blocks : sequence of (int, BlockHash)
            As for `count_held`.
        """
        found: dict[EndpointId, int] = {}
        deeper: dict[EndpointId, int] = {}
        for number, block in blocks:
            if number <= above:
                break
            holding = sorted(self.holders.get(block, ()))
            for endpoint in holding:
                if endpoint in deeper:
                    found.setdefault(endpoint, deeper[endpoint])
            deeper = dict.fromkeys(holding, number)
        for endpoint, number in deeper.items():
            found.setdefault(endpoint, number)
        return found
