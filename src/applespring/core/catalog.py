"""The upstreams that may receive work, as the registry lists them.

The registry of the platform lags, may be away, and loses entries of living
upstreams while it is away. The catalog keeps what was listed last, takes a
removal at once while the registry is sound, and after an outage keeps a
removed upstream until living ones have had time to be listed again.
"""

import enum
import math
from collections.abc import Iterable, Mapping

# Entries of living upstreams are back within about two seconds of the
# registry's return (users' letter); the rest covers the delay of a read.
RELIST_GRACE_S = 2.2
# A registry is taken as disturbed for this long after contact is back, since
# removals caused by the outage are still being read.
SETTLE_S = 2.2


class UpstreamState(enum.Enum):
    """Whether a listed upstream takes new work."""

    READY = "ready"
    LEAVING = "leaving"


class ListedUpstream:
    """One upstream as its registry entry describes it.

    Attributes:
        name: Identity of one start of the upstream.
        born_ms: Unix milliseconds of its start, 0 when not told.
        pool: Pool that it belongs to.
        address: IP:port.
        failure_domain: Failure domain that it stands in.
        slots: Requests that it executes at once.
        state: Whether it takes new work.
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
        """Name and start; it changes when the upstream starts anew."""
        return (self.name, self.born_ms)


class Catalog:
    """Upstreams by name, with the time at which removed ones are dropped."""

    __slots__ = ("_listed", "_drop_at", "_unreachable", "_regained_at")

    def __init__(self) -> None:
        self._listed: dict[str, ListedUpstream] = {}
        self._drop_at: dict[str, float] = {}
        self._unreachable = False
        self._regained_at = -math.inf

    def lose_contact(self) -> None:
        """Notes that the registry cannot be read."""
        self._unreachable = True

    def regain_contact(self, now: float) -> None:
        """Notes that the registry is read again."""
        if self._unreachable:
            self._unreachable = False
            self._regained_at = now

    def put(self, upstream: ListedUpstream) -> bool:
        """Takes an entry; returns whether anything changed.

        An entry older than the one held is ignored.
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
        """Takes a removal; returns whether the upstream is dropped now."""
        if name not in self._listed:
            return False
        if self._unreachable or now < self._regained_at + SETTLE_S:
            start = now if self._unreachable else self._regained_at
            self._drop_at.setdefault(name, start + RELIST_GRACE_S)
            return False
        return self._drop(name)

    def replace(self, entries: Iterable[ListedUpstream], now: float) -> None:
        """Takes a whole reading of the registry."""
        entries = list(entries)
        names = {entry.name for entry in entries}
        for entry in entries:
            self.put(entry)
        for name in list(self._listed):
            if name not in names:
                self.remove(name, now)

    def expire(self, now: float) -> list[str]:
        """Drops what was not listed again in time; returns the names."""
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
        """Returns a listed upstream."""
        return self._listed.get(name)

    def ready(self, pool: str) -> list[ListedUpstream]:
        """Returns the upstreams of a pool that take new work, by name."""
        return sorted(
            (
                upstream
                for upstream in self._listed.values()
                if upstream.pool == pool
                and upstream.state is UpstreamState.READY
            ),
            key=lambda upstream: upstream.name,
        )

    def is_ready(self, name: str) -> bool:
        """Returns whether an upstream takes new work."""
        found = self._listed.get(name)
        return found is not None and found.state is UpstreamState.READY

    def all(self) -> Mapping[str, ListedUpstream]:
        """Returns every listed upstream by name."""
        return self._listed
