"""Pauses that upstreams have asked this instance for."""

import math

# Above the 600 upstreams of the design scale. Beyond it the pause that ends
# first is dropped.
PAUSES_MAX = 2048


class PauseTable:
    """Pauses by name and incarnation of the upstream, bounded in number.

    A pause ends at its time, or with the start of the upstream that asked for
    it.
    """

    __slots__ = ("_until",)

    def __init__(self) -> None:
        self._until: dict[tuple[str, int], float] = {}

    def __len__(self) -> int:
        return len(self._until)

    def add(
        self, identity: tuple[str, int], pause_s: float, now: float
    ) -> bool:
        """Adds or extends a pause; an earlier one is never shortened.

        Returns:
            Whether the upstream was not paused before.
        """
        held_until = self._until.get(identity, -math.inf)
        if identity not in self._until:
            self._make_room(now)
        self._until[identity] = max(held_until, now + pause_s)
        return held_until <= now

    def until(self, identity: tuple[str, int]) -> float:
        """Returns when the last pause of an upstream ends, -inf without one."""
        return self._until.get(identity, -math.inf)

    def _make_room(self, now: float) -> None:
        if len(self._until) < PAUSES_MAX:
            return
        ended = [key for key, until in self._until.items() if until <= now]
        first = min(self._until, key=self._until.__getitem__)
        for identity in ended or [first]:
            del self._until[identity]
