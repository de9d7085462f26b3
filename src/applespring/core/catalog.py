"""Upstreams as listed in the platform's registry.

The registry lags, may be unreachable, and drops entries of running upstreams
during an outage. The catalog keeps the last listed state. While the registry
is reachable, a removal takes effect at once. During an outage and shortly
after it, a removed upstream is kept until running ones have had time to be
listed again.
"""

import enum
import math
from collections.abc import Iterable, Mapping

# How long a removed upstream is kept after an outage. Running upstreams are
# listed again about 2 s after the registry is back (users' letter); the
# remaining 0.2 s cover the delay of a read.
RELIST_GRACE_S = 2.2
# How long after an outage a removal is attributed to it, since removals that it
# caused are still being read.
SETTLE_S = 2.2


class UpstreamState(enum.Enum):
    """State of an upstream; only a ready one accepts new work."""

    READY = "ready"
    LEAVING = "leaving"


class ListedUpstream:
    """One upstream as described by its registry entry.

    Attributes:
        name: Name in the registry; a restarted upstream may keep it, see
            `identity`.
        born_ms: When it was started, in Unix milliseconds, or 0 if not known.
        pool: Name of its pool.
        address: IP:port.
        failure_domain: Failure domain in which it runs.
        slots: Requests that it executes at the same time.
        state: Whether it accepts new work.
        revision: Revision of the entry in the registry.
    """

    __slots__ = (
        "name",
        "born_ms",
        "pool",
        "address",
        "failure_domain",
        "slots",
        "state",
        "revision",
    )

    def __init__(
        self,
        *,
        name: str,
        born_ms: int,
        pool: str,
        address: str,
        failure_domain: str,
        slots: int,
        state: UpstreamState,
        revision: int,
    ) -> None:
        self.name = name
        self.born_ms = born_ms
        self.pool = pool
        self.address = address
        self.failure_domain = failure_domain
        self.slots = slots
        self.state = state
        self.revision = revision

    @property
    def identity(self) -> tuple[str, int]:
        """Name and start time, which together identify one start."""
        return (self.name, self.born_ms)


class Catalog:
    """Listed upstreams, including removed ones that are kept for a time."""

    __slots__ = ("_listed", "_drop_at", "_unreachable", "_regained_at")

    def __init__(self) -> None:
        self._listed: dict[str, ListedUpstream] = {}
        self._drop_at: dict[str, float] = {}
        self._unreachable = False
        self._regained_at = -math.inf

    def lose_contact(self) -> None:
        """Records that the registry cannot be read."""
        self._unreachable = True

    def regain_contact(self, now: float) -> None:
        """Records that the registry can be read again."""
        if self._unreachable:
            self._unreachable = False
            self._regained_at = now

    def put(self, upstream: ListedUpstream) -> bool:
        """Adds or updates an entry; returns whether anything changed.

        An entry with a lower revision than the current one is ignored. Either
        way a pending removal of the upstream is cancelled.
        """
        current = self._listed.get(upstream.name)
        self._drop_at.pop(upstream.name, None)
        if current is not None:
            if upstream.revision < current.revision:
                return False
            if (
                current.identity == upstream.identity
                and current.state is upstream.state
                and current.address == upstream.address
                and current.pool == upstream.pool
            ):
                current.revision = upstream.revision
                return False
        self._listed[upstream.name] = upstream
        return True

    def remove(self, name: str, now: float) -> bool:
        """Processes a removal; returns whether it took effect at once.

        During an outage and shortly after it, the upstream is kept until
        `expire` drops it, unless it is listed again before.
        """
        if name not in self._listed:
            return False
        if self._unreachable or now < self._regained_at + SETTLE_S:
            start = now if self._unreachable else self._regained_at
            self._drop_at.setdefault(name, start + RELIST_GRACE_S)
            return False
        return self._drop(name)

    def replace(self, entries: Iterable[ListedUpstream], now: float) -> None:
        """Applies a full listing: upstreams that it lacks are removed."""
        entries = list(entries)
        names = {entry.name for entry in entries}
        for entry in entries:
            self.put(entry)
        for name in list(self._listed):
            if name not in names:
                self.remove(name, now)

    def expire(self, now: float) -> list[str]:
        """Drops removed upstreams that were not listed again in time.

        Nothing is dropped while the registry is unreachable.

        Returns:
            The names of the dropped upstreams.
        """
        if self._unreachable:
            return []
        due = [name for name, at in self._drop_at.items() if at <= now]
        for name in due:
            self._drop(name)
        return due

    def _drop(self, name: str) -> bool:
        self._drop_at.pop(name, None)
        return self._listed.pop(name, None) is not None

    def get(self, name: str) -> ListedUpstream | None:
        """Returns the entry of an upstream, or None if it is not listed."""
        return self._listed.get(name)

    def ready(self, pool: str) -> list[ListedUpstream]:
        """Returns the upstreams of a pool that accept new work, by name."""
        return sorted(
            (
                upstream
                for upstream in self._listed.values()
                if upstream.pool == pool
                and upstream.state is UpstreamState.READY
            ),
            key=lambda upstream: upstream.name,
        )

    def is_listed(self, identity: tuple[str, int]) -> bool:
        """Returns whether this start of an upstream is listed."""
        found = self._listed.get(identity[0])
        return found is not None and found.identity == identity

    def is_ready(self, name: str) -> bool:
        """Returns whether an upstream is listed and accepts new work."""
        found = self._listed.get(name)
        return found is not None and found.state is UpstreamState.READY

    def all(self) -> Mapping[str, ListedUpstream]:
        """Returns all upstreams by name, including removed ones still kept."""
        return self._listed
