"""Simulated prefix cache of an engine, with delayed and missing events."""

import random
from collections import OrderedDict, deque
from typing import Any

import anyio
import xxhash

BLOCK_BYTES = 64
EVENTS_MAX = 10_000


def block_names(prompt: str) -> list[str]:
    """Returns the name of each complete block of a prompt.

    The name is the xxh64 hex digest of the prompt's UTF-8 bytes from the start
    to the end of the block, so prompts share the names of a common prefix.
    """
    data = prompt.encode()
    ends = range(BLOCK_BYTES, len(data) + 1, BLOCK_BYTES)
    return [xxhash.xxh64_hexdigest(data[:end]) for end in ends]


class PrefixCache:
    """Prefix blocks of recent prompts; the least recently used are evicted.

    Attributes:
        blocks_max: Blocks that the cache can hold.
        lag_s: Seconds from a change of the cache until its event is served.
        gap_probability: Probability that an event is never served.
    """

    __slots__ = (
        "blocks_max",
        "lag_s",
        "gap_probability",
        "_rng",
        "_blocks",
        "_events",
    )

    def __init__(
        self, blocks_max: int, lag_s: float, gap_probability: float, seed: int
    ) -> None:
        self.blocks_max = blocks_max
        self.lag_s = lag_s
        self.gap_probability = gap_probability
        self._rng = random.Random(seed)
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[dict[str, Any]] = deque(maxlen=EVENTS_MAX)

    def store(self, prompt: str) -> float:
        """Stores a prompt's blocks and returns the share that was not cached.

        Blocks after the first missing one count as not cached, and so does a
        prompt that is shorter than one block.
        """
        names = block_names(prompt)
        cached = 0
        while cached < len(names) and names[cached] in self._blocks:
            cached += 1
        for name in names:
            if name not in self._blocks:
                self._blocks[name] = None
                self._add_event("stored", name)
            self._blocks.move_to_end(name)
        while len(self._blocks) > self.blocks_max:
            oldest, _ = self._blocks.popitem(last=False)
            self._add_event("evicted", oldest)
        return 1 - cached / len(names) if names else 1.0

    def _add_event(self, change: str, block: str) -> None:
        seq = self._events[-1]["seq"] + 1 if self._events else 1
        self._events.append(
            {
                "seq": seq,
                "event": change,
                "block": block,
                "at": anyio.current_time(),
                "lost": self._rng.random() < self.gap_probability,
            }
        )

    def events_after(self, seq: int) -> list[dict[str, Any]]:
        """Returns the events above a sequence number that are due."""
        served_until = anyio.current_time() - self.lag_s
        return [
            {name: event[name] for name in ("seq", "event", "block")}
            for event in self._events
            if event["seq"] > seq
            and event["at"] <= served_until
            and not event["lost"]
        ]
