"""Index of the prefix blocks that upstreams hold in their caches."""

import enum
from collections import OrderedDict
from collections.abc import Iterable, Sequence

MAX_BLOCKS = 4096
MAX_PREFIX_BLOCKS = 64


class CacheChange(enum.Enum):
    """What a cache event says about a block."""

    STORED = "stored"
    REMOVED = "removed"


class CacheEvent:
    """One event of an upstream's prefix cache.

    Attributes:
        seq: Sequence number, counted from 1 by the upstream.
        change: What happened.
        block: Hash of the block, which covers all blocks before it.
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
        # Block hash to the epoch that confirmed it, oldest first.
        self.blocks: OrderedDict[int, int] = OrderedDict()


class PrefixIndex:
    """Blocks by upstream, built from events that may be late or missing.

    A gap in the sequence numbers starts a new epoch of that upstream: blocks
    confirmed in an earlier epoch no longer match until an event stores them
    again, since the missing events may have removed them. Each upstream has at
    most `MAX_BLOCKS` entries; the one confirmed longest ago is dropped.

    Attributes:
        gaps: Gaps found.
        late: Events ignored because a later one was already applied.
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
            newest_seq: Newest number the upstream has given out, if known. A
                number below the last one applied means that the upstream
                restarted with an empty cache.
        """
        state = self._upstreams.setdefault(upstream, _UpstreamBlocks())
        if newest_seq is not None and newest_seq < state.last_seq:
            state = self._upstreams[upstream] = _UpstreamBlocks()
        for event in events:
            self._apply_event(state, event)
        if newest_seq is not None and newest_seq > state.last_seq:
            self._note_gap(state)
            state.last_seq = newest_seq

    def last_seq(self, upstream: str) -> int:
        """Returns the last number applied, for the next query; 0 if none."""
        state = self._upstreams.get(upstream)
        return state.last_seq if state else 0

    def remove_upstream(self, upstream: str) -> None:
        """Drops everything about an upstream."""
        self._upstreams.pop(upstream, None)

    def match(self, upstream: str, prefix: Sequence[int]) -> int:
        """Returns how many leading blocks the upstream holds.

        Only the first `MAX_PREFIX_BLOCKS` are considered. A block's hash
        covers those before it and caches evict from the end, so the length is
        found by bisection.
        """
        state = self._upstreams.get(upstream)
        if state is None or not prefix:
            return 0
        return _match(state, prefix, 0)

    def find_longest(
        self, upstreams: Sequence[str], prefix: Sequence[int]
    ) -> int | None:
        """Returns the position of the upstream with the longest match.

        The first one wins among equals; None when none holds a block.
        """
        best, longest = None, 0
        for index, upstream in enumerate(upstreams):
            state = self._upstreams.get(upstream)
            if state is None:
                continue
            held = _match(state, prefix, longest)
            if held > longest:
                best, longest = index, held
        return best

    def _apply_event(self, state: _UpstreamBlocks, event: CacheEvent) -> None:
        if event.seq <= state.last_seq:
            self.late_events += 1
            return
        if event.seq > state.last_seq + 1:
            self._note_gap(state)
        state.last_seq = event.seq
        # Deleting first moves a reconfirmed block to the end of the order.
        state.blocks.pop(event.block, None)
        if event.change is CacheChange.STORED:
            state.blocks[event.block] = state.epoch
            if len(state.blocks) > MAX_BLOCKS:
                state.blocks.popitem(last=False)

    def _note_gap(self, state: _UpstreamBlocks) -> None:
        self.sequence_gaps += 1
        state.epoch += 1


def _match(state: _UpstreamBlocks, prefix: Sequence[int], known: int) -> int:
    """Returns the length of the match if above `known`, else `known`."""
    blocks, epoch = state.blocks, state.epoch
    low, high = known, min(len(prefix), MAX_PREFIX_BLOCKS)
    if low >= high or blocks.get(prefix[low]) != epoch:
        return low
    while low < high:
        middle = (low + high) // 2
        if blocks.get(prefix[middle]) == epoch:
            low = middle + 1
        else:
            high = middle
    return low
