"""Pauses that upstreams have asked this instance for."""

import math

# Above the 600 upstreams of the design scale. Beyond it the pause that ends
# first is dropped.
PAUSES_MAX = 2048


class _Pause:
    """When a pause was asked for and when it ends."""

    __slots__ = ("asked_at", "until")

    def __init__(self, asked_at: float, until: float) -> None:
        self.asked_at = asked_at
        self.until = until


class PauseTable:
    """Pauses by name and incarnation of the upstream, bounded in number.

    A pause ends at its time, or with the start of the upstream that asked for
    it.
    """

    __slots__ = ("_pauses", "_broken_at")

    def __init__(self) -> None:
        self._pauses: dict[tuple[str, int], _Pause] = {}
        self._broken_at: dict[tuple[str, int], float] = {}

    def add(
        self, identity: tuple[str, int], pause_s: float, now: float
    ) -> bool:
        """Adds or extends a pause; an earlier one is never shortened.

        Returns:
            Whether the upstream was not paused before.
        """
        held = self._pauses.get(identity)
        is_new = held is None or held.until <= now
        if held is None:
            self._make_room(now)
            held = self._pauses[identity] = _Pause(now, now)
        held.asked_at = now
        held.until = max(held.until, now + pause_s)
        return is_new

    def until(self, identity: tuple[str, int]) -> float:
        """Returns when the last pause of an upstream ends, -inf without one."""
        held = self._pauses.get(identity)
        return held.until if held is not None else -math.inf

    def record_break(self, identity: tuple[str, int], now: float) -> None:
        """Records that a connection to an upstream broke.

        The start of the upstream that asked for a pause before that may have
        ended.
        """
        if identity in self._pauses:
            self._broken_at[identity] = now

    def restart(self, name: str, former: int, current: int) -> None:
        """Records that another start of an upstream is listed.

        A restart is listed with a delay. An answer since the last broken
        connection may be one of the new start, so its pause is kept.
        """
        identity = (name, former)
        held = self._pauses.pop(identity, None)
        broken_at = self._broken_at.pop(identity, -math.inf)
        if held is not None and held.asked_at > broken_at:
            self._pauses.setdefault((name, current), held)

    def _make_room(self, now: float) -> None:
        if len(self._pauses) < PAUSES_MAX:
            return
        ended = [key for key, held in self._pauses.items() if held.until <= now]
        first = min(self._pauses, key=lambda key: self._pauses[key].until)
        for identity in ended or [first]:
            del self._pauses[identity]
            self._broken_at.pop(identity, None)
