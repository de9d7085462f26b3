"""State machine for the graceful shutdown of an instance."""

import enum

from applespring.core.errors import SettingsError


class DrainState(enum.Enum):
    """Phase of the shutdown of the instance.

    SERVING: no shutdown was requested.
    GRACE: not ready, still serving what the load balancer sends.
    CLOSING: no new requests; those in flight run to completion.
    DONE: nothing is left in flight, or the time limit was reached.
    """

    SERVING = "serving"
    GRACE = "grace"
    CLOSING = "closing"
    DONE = "done"


class WorkKind(enum.Enum):
    """Kind of work in flight; FORWARD is a call forwarded to an instance."""

    REQUEST = "request"
    STREAM = "stream"
    FORWARD = "forward"


class Drain:
    """Phases and work counts of a shutdown.

    Attributes:
        grace_s: Seconds for the load balancer to stop sending requests.
        limit_s: Maximum seconds from the first signal to the last answer.
        state: Phase of the shutdown.
        started_at: Time of the first signal, or None.
        signals: Number of signals received.
    """

    __slots__ = (
        "grace_s",
        "limit_s",
        "state",
        "started_at",
        "signals",
        "_counts",
    )

    def __init__(self, grace_s: float, limit_s: float) -> None:
        if not 0 <= grace_s < limit_s:
            raise SettingsError(
                f"drain_grace_s {grace_s} must be from 0 to below"
                f" drain_limit_s {limit_s}"
            )
        self.grace_s = grace_s
        self.limit_s = limit_s
        self.state = DrainState.SERVING
        self.started_at: float | None = None
        self.signals = 0
        self._counts = dict.fromkeys(WorkKind, 0)

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send requests."""
        return self.state is DrainState.SERVING

    @property
    def accepts(self) -> bool:
        """Whether a new request is served."""
        return self.state in (DrainState.SERVING, DrainState.GRACE)

    @property
    def in_flight(self) -> int:
        """Number of requests, streams and forwarded calls in flight."""
        return sum(self._counts.values())

    def count(self, kind: WorkKind) -> int:
        """Returns how much work of a kind is in flight."""
        return self._counts[kind]

    def add(self, kind: WorkKind) -> None:
        """Counts one more piece of work in flight."""
        self._counts[kind] += 1

    def remove(self, kind: WorkKind) -> None:
        """Counts one piece of work less.

        Raises:
            ValueError: No work of this kind is in flight.
        """
        if self._counts[kind] == 0:
            raise ValueError(f"no {kind.value} is in flight")
        self._counts[kind] -= 1

    def start(self, now: float) -> bool:
        """Starts the shutdown; returns False if it was started before.

        A second signal must not cut requests short, so it is only counted.
        """
        self.signals += 1
        if self.started_at is not None:
            return False
        self.started_at = now
        self.state = DrainState.GRACE
        return True

    def advance(self, now: float) -> DrainState:
        """Moves to the phase that is due at `now` and returns it."""
        if self.started_at is None:
            return self.state
        if (
            self.state is DrainState.GRACE
            and now >= self.started_at + self.grace_s
        ):
            self.state = DrainState.CLOSING
        if self.state is DrainState.CLOSING and self.in_flight == 0:
            self.state = DrainState.DONE
        return self.state

    def finish(self) -> None:
        """Ends the shutdown at its time limit, even with work in flight."""
        self.state = DrainState.DONE

    @property
    def grace_ends_at(self) -> float:
        """End of the grace period; infinite before the first signal."""
        if self.started_at is None:
            return float("inf")
        return self.started_at + self.grace_s

    @property
    def limit_at(self) -> float:
        """Time by which the shutdown ends; infinite before the first signal."""
        if self.started_at is None:
            return float("inf")
        return self.started_at + self.limit_s
