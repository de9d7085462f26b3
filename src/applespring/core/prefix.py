"""Index of the prefix blocks that upstreams hold in their caches."""

import enum
from collections import OrderedDict
from collections.abc import Iterable, Sequence

MAX_BLOCKS = 4096
MAX_PREFIX_BLOCKS = 64


class CacheChange(enum.Enum):
    """Whether a cache event reports a block as stored or as removed."""

    STORED = "stored"
    REMOVED = "removed"


class CacheEvent:
    """One event of an upstream's prefix cache.

    Attributes:
        seq: Sequence number, counted from 1 by the upstream.
        change: Whether the block was stored or removed.
        block: Hash of the block and all blocks before it.
    """

    __slots__ = ("seq", "change", "block")

    def __init__(self, seq: int, change: CacheChange, block: int) -> None:
        self.seq = seq
        self.change = change
        self.block = block


class _UpstreamBlocks:
    __slots__ = ("last_seq", "epoch", "blocks")

    def __init__(self) -> None:
        self.last_seq = 0
        self.epoch = 0
        # Block hash to the epoch in which it was last stored, oldest first.
        self.blocks: OrderedDict[int, int] = OrderedDict()


class PrefixIndex:
    """Cached blocks by upstream, from events that may be late or missing.

    A gap in the sequence numbers starts a new epoch of that upstream: blocks
    stored in an earlier epoch no longer match until an event stores them again,
    since the missing events may have removed them. Each upstream has at most
    `MAX_BLOCKS` entries; the one stored longest ago is evicted.

    Attributes:
        sequence_gaps: Number of gaps in the sequence numbers of all upstreams.
        late_events: Number of events ignored because their sequence number is
            not above the last one applied.
    """

    __slots__ = ("sequence_gaps", "late_events", "_upstreams")

    def __init__(self) -> None:
        self.sequence_gaps = 0
        self.late_events = 0
        self._upstreams: dict[str, _UpstreamBlocks] = {}

    def apply(
        self,
        upstream: str,
        events: Iterable[CacheEvent],
        newest_seq: int | None = None,
    ) -> None:
        """Applies events of one upstream in the order received.

        Args:
            upstream: Name of the upstream.
            events: The events.
            newest_seq: Newest sequence number that the upstream has assigned,
                if known. One below the last applied means that the upstream
                restarted with an empty cache; one above the last event given
                means that events are missing.
        """
        state = self._upstreams.setdefault(upstream, _UpstreamBlocks())
        if newest_seq is not None and newest_seq < state.last_seq:
            state = self._upstreams[upstream] = _UpstreamBlocks()
        for event in events:
            self._apply_event(state, event)
        if newest_seq is not None and newest_seq > state.last_seq:
            self._record_gap(state)
            state.last_seq = newest_seq

    def last_seq(self, upstream: str) -> int:
        """Returns the last sequence number applied, or 0.

        The next query for events starts after it.
        """
        state = self._upstreams.get(upstream)
        return state.last_seq if state else 0

    def remove_upstream(self, upstream: str) -> None:
        """Removes the blocks and the sequence number of an upstream."""
        self._upstreams.pop(upstream, None)

    def match(self, upstream: str, prefix: Sequence[int]) -> int:
        """Returns how many leading blocks the upstream has in its cache.

        Only the first `MAX_PREFIX_BLOCKS` are considered. A block's hash covers
        those before it and caches evict from the end of a prefix, so the length
        is found by binary search.
        """
        state = self._upstreams.get(upstream)
        if state is None or not prefix:
            return 0
        return _match(state, prefix, 0)

    def find_longest(
        self, upstreams: Sequence[str], prefix: Sequence[int]
    ) -> int | None:
        """Returns the index of the upstream with the longest match.

        The first one wins a tie; None if no upstream has the first block.
        """
        best, longest = None, 0
        for index, upstream in enumerate(upstreams):
            state = self._upstreams.get(upstream)
            if state is None:
                continue
            length = _match(state, prefix, longest)
            if length > longest:
                best, longest = index, length
        return best

    def _apply_event(self, state: _UpstreamBlocks, event: CacheEvent) -> None:
        if event.seq <= state.last_seq:
            self.late_events += 1
            return
        if event.seq > state.last_seq + 1:
            self._record_gap(state)
        state.last_seq = event.seq
        # Removing it first moves a block stored again to the end of the order.
        state.blocks.pop(event.block, None)
        if event.change is CacheChange.STORED:
            state.blocks[event.block] = state.epoch
            if len(state.blocks) > MAX_BLOCKS:
                state.blocks.popitem(last=False)

    def _record_gap(self, state: _UpstreamBlocks) -> None:
        self.sequence_gaps += 1
        state.epoch += 1


def _match(state: _UpstreamBlocks, prefix: Sequence[int], at_least: int) -> int:
    """Returns the length of the match if above `at_least`, else `at_least`."""
    blocks, epoch = state.blocks, state.epoch
    low, high = at_least, min(len(prefix), MAX_PREFIX_BLOCKS)
    if low >= high or blocks.get(prefix[low]) != epoch:
        return low
    while low < high:
        middle = (low + high) // 2
        if blocks.get(prefix[middle]) == epoch:
            low = middle + 1
        else:
            high = middle
    return low
