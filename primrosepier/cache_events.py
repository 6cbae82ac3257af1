"""Index of the cache events of endpoints.

Events may be late or lost, and are valid for one incarnation of an endpoint.
"""

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
    """Kind of change of a block in the cache."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A block was added to or evicted from an endpoint's cache.

    Parameters
    ----------
    sequence : int
        Number of the event within the endpoint's incarnation, from 1.
    """

    endpoint: EndpointId
    incarnation: Incarnation
    version: WeightsVersion
    sequence: int
    kind: CacheEventKind
    block: BlockHash


@dataclass(slots=True)
class _Stream:
    """Cached blocks of one incarnation of an endpoint, according to its events.

    Parameters
    ----------
    complete : bool
        Whether blocks that are missing in ``blocks`` are known not to be cached.
    capacity : int
        Maximum length of ``blocks``. Beyond it the oldest blocks are dropped, which
        makes up for lost eviction events.
    """

    incarnation: Incarnation
    version: WeightsVersion
    sequence: int
    complete: bool
    capacity: int = MAX_BLOCKS_PER_ENDPOINT
    blocks: OrderedDict[BlockHash, None] = field(default_factory=OrderedDict)


class CacheEventIndex:
    """Blocks that endpoints hold according to their events.

    Parameters
    ----------
    sample : int
        Sampling interval: one in ``sample`` blocks is tracked, the same ones on every
        router.
    """

    def __init__(self, sample: int = 1):
        self.sample = sample
        self.streams: dict[EndpointId, _Stream] = {}
        self.holders: dict[BlockHash, set[EndpointId]] = {}

    def is_sampled(self, block: BlockHash) -> bool:
        """Return whether a block is tracked."""
        return self.sample == 1 or mix_hash(block, SAMPLE_SALT) % self.sample == 0

    def apply(self, event: CacheEvent) -> None:
        """Apply one event; ignore repeated or older ones of the same incarnation."""
        stream = self._find_stream(event)
        lost_events = event.sequence - stream.sequence - 1
        if lost_events < 0:
            return
        stream.sequence = event.sequence
        if lost_events:
            self._handle_gap(event.endpoint, stream, lost_events)
        if event.kind is CacheEventKind.STORED:
            self._add(event.endpoint, stream, event.block)
        else:
            self._remove(event.endpoint, stream, event.block)

    def _find_stream(self, event: CacheEvent) -> _Stream:
        stream = self.streams.get(event.endpoint)
        if stream is not None:
            if (stream.incarnation, stream.version) == (
                event.incarnation,
                event.version,
            ):
                return stream
            self.forget(event.endpoint)
        previous_sequence = event.sequence - 1
        stream = _Stream(
            event.incarnation,
            event.version,
            previous_sequence,
            complete=not previous_sequence,
        )
        self.streams[event.endpoint] = stream
        return stream

    def _handle_gap(
        self, endpoint: EndpointId, stream: _Stream, lost_events: int
    ) -> None:
        """Clear the blocks if the lost events may concern a large part of them."""
        if lost_events / self.sample <= MAX_LOST_SHARE * len(stream.blocks):
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

    def _remove(self, endpoint: EndpointId, stream: _Stream, block: BlockHash) -> None:
        if block not in stream.blocks:
            return
        if stream.complete and stream.capacity == MAX_BLOCKS_PER_ENDPOINT:
            # Blocks are evicted only from a full cache, so this is its capacity.
            stream.capacity = len(stream.blocks)
        del stream.blocks[block]
        self._remove_holder(block, endpoint)
        # Eviction is in LRU order: older blocks were evicted before this one, and newer
        # ones are listed.
        stream.complete = True

    def _remove_holder(self, block: BlockHash, endpoint: EndpointId) -> None:
        holders = self.holders[block]
        holders.discard(endpoint)
        if not holders:
            del self.holders[block]

    def forget(self, endpoint: EndpointId) -> None:
        """Remove all blocks of an endpoint."""
        stream = self.streams.pop(endpoint, None)
        if stream is not None:
            for block in stream.blocks:
                self._remove_holder(block, endpoint)

    def add_answered_blocks(
        self,
        endpoint: EndpointId,
        incarnation: Incarnation,
        version: WeightsVersion,
        blocks: Sequence[BlockHash],
    ) -> None:
        """Add the blocks of a prompt that an endpoint has answered."""
        stream = self.streams.get(endpoint)
        if stream is None or stream.incarnation != incarnation:
            return
        if stream.version == version:
            for block in blocks:
                self._add(endpoint, stream, block)

    def has_events(
        self, endpoint: EndpointId, incarnation: Incarnation, version: WeightsVersion
    ) -> bool:
        """Return whether events of this incarnation and version were received."""
        stream = self.streams.get(endpoint)
        if stream is None:
            return False
        return stream.incarnation == incarnation and stream.version == version

    def is_complete(self, endpoint: EndpointId) -> bool:
        """Return whether blocks without events are known not to be cached."""
        return self.streams[endpoint].complete

    def count_held(
        self, endpoint: EndpointId, blocks: Sequence[tuple[int, BlockHash]]
    ) -> int:
        """Return the number of leading blocks that an endpoint holds.

        A block after the first counts only when the previous sampled block is held
        too, since a lost event may wrongly add or remove a single block.

        Parameters
        ----------
        blocks : sequence of (int, BlockHash)
            Sampled blocks of a prompt with their positions from 1, last first.
        """
        held = self.streams[endpoint].blocks
        deepest = 0
        for position, block in blocks:
            if block not in held:
                deepest = 0
            elif deepest:
                return deepest
            else:
                deepest = position
        return deepest

    def find_holders(
        self, blocks: Sequence[tuple[int, BlockHash]], above: int
    ) -> dict[EndpointId, int]:
        """Return the endpoints that hold more than ``above`` blocks, most first.

        Parameters
        ----------
        blocks : sequence of (int, BlockHash)
            As for `count_held`.
        """
        held_blocks: dict[EndpointId, int] = {}
        deepest: dict[EndpointId, int] = {}
        for position, block in blocks:
            if position <= above:
                break
            holding = sorted(self.holders.get(block, ()))
            for endpoint in holding:
                if endpoint in deepest:
                    held_blocks.setdefault(endpoint, deepest[endpoint])
            deepest = dict.fromkeys(holding, position)
        for endpoint, position in deepest.items():
            held_blocks.setdefault(endpoint, position)
        return held_blocks
