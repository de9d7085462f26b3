"""When callers' connections last carried an answer."""

from collections import OrderedDict

# Connections that are remembered; the one that rested longest goes first.
CONNECTIONS_MAX = 4096

CallerAddress = tuple[str, int]


class ConnectionTimes:
    """Times at which answers on callers' connections ended.

    They tell a request that was sent on a resting connection from the first one
    of a new connection.
    """

    __slots__ = ("_answered_at",)

    def __init__(self) -> None:
        self._answered_at: OrderedDict[CallerAddress, float] = OrderedDict()

    def record_answer(self, caller: CallerAddress, now: float) -> None:
        """Records the end of an answer on the connection of a caller."""
        self._answered_at.pop(caller, None)
        self._answered_at[caller] = now
        if len(self._answered_at) > CONNECTIONS_MAX:
            self._answered_at.popitem(last=False)

    def take_idle_s(self, caller: CallerAddress, now: float) -> float | None:
        """Returns how long a connection rested before a request.

        Args:
            caller: IP and port of the caller.
            now: Time at which the request arrived.

        Returns:
            The time in seconds, or None for the first request of a connection.
        """
        answered_at = self._answered_at.pop(caller, None)
        return None if answered_at is None else now - answered_at
