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
# How long an upstream that has left is remembered. A registry may come back
# from a copy some seconds old, which lists it as ready.
LEFT_KEPT_S = 60.0
# Above the 600 upstreams of the design scale; the one that left first is
# forgotten beyond it.
LEFT_MAX = 2048


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
        cold_s: How much longer it stays cold, as of the entry's writing; None
            if the entry does not say.
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
        "cold_s",
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
        cold_s: float | None = None,
    ) -> None:
        self.name = name
        self.born_ms = born_ms
        self.pool = pool
        self.address = address
        self.failure_domain = failure_domain
        self.slots = slots
        self.state = state
        self.revision = revision
        self.cold_s = cold_s

    @property
    def identity(self) -> tuple[str, int]:
        """Name and start time, which together identify one start."""
        return (self.name, self.born_ms)


class Catalog:
    """Listed upstreams, including removed ones that are kept for a time."""

    __slots__ = (
        "_listed",
        "_drop_at",
        "_unreachable",
        "_regained_at",
        "_era",
        "_era_began_at",
        "_left_at",
        "_unbelieved",
    )

    def __init__(self) -> None:
        self._listed: dict[str, ListedUpstream] = {}
        self._drop_at: dict[str, float] = {}
        self._unreachable = False
        self._regained_at = -math.inf
        self._era = -1
        self._era_began_at = -math.inf
        # When upstreams were last listed as leaving, or removed.
        self._left_at: dict[tuple[str, int], float] = {}
        # Entries of a copy that list upstreams as ready that had left.
        self._unbelieved: dict[str, ListedUpstream] = {}

    def lose_contact(self) -> None:
        """Records that the registry cannot be read."""
        self._unreachable = True

    def regain_contact(self, now: float) -> None:
        """Records that the registry can be read again."""
        if self._unreachable:
            self._unreachable = False
            self._regained_at = now

    def enter_era(self, era: int, now: float) -> bool:
        """Records the era of the registry; a copy may be read in a new one.

        What the copy lacks, or takes back, counts only after the time in which
        running upstreams are listed again.

        Returns:
            Whether another era has begun.
        """
        known, begun = self._era >= 0, era > self._era
        self._era = max(era, self._era)
        if known and begun:
            self._regained_at = self._era_began_at = now
        return known and begun

    def put(self, upstream: ListedUpstream, now: float = -math.inf) -> bool:
        """Adds or updates an entry; returns whether anything changed.

        An entry with a lower revision than the current one is ignored. Either
        way a pending removal of the upstream is cancelled. Just after another
        era of the registry has begun, one that has left before is not ready.
        """
        self._unbelieved.pop(upstream.name, None)
        current = self._listed.get(upstream.name)
        if (
            upstream.state is UpstreamState.READY
            and now < self._era_began_at + RELIST_GRACE_S
            and upstream.identity in self._left_at
            and (current is None or upstream.revision >= current.revision)
        ):
            self._unbelieved[upstream.name] = upstream
            return False
        return self._put(upstream, now)

    def _put(self, upstream: ListedUpstream, now: float) -> bool:
        current = self._listed.get(upstream.name)
        if upstream.state is UpstreamState.LEAVING:
            self._record_left(upstream.identity, now)
        else:
            self._left_at.pop(upstream.identity, None)
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
                current.cold_s = upstream.cold_s
                return False
        self._listed[upstream.name] = upstream
        return True

    def remove(self, name: str, now: float) -> bool:
        """Processes a removal; returns whether it took effect at once.

        During an outage and shortly after it, the upstream is kept until
        `expire` drops it, unless it is listed again before.
        """
        self._unbelieved.pop(name, None)
        if name not in self._listed:
            return False
        if self._unreachable or now < self._regained_at + SETTLE_S:
            start = now if self._unreachable else self._regained_at
            self._drop_at.setdefault(name, start + RELIST_GRACE_S)
            return False
        return self._drop(name, now)

    def replace(self, entries: Iterable[ListedUpstream], now: float) -> None:
        """Applies a full listing: upstreams that it lacks are removed."""
        entries = list(entries)
        names = {entry.name for entry in entries}
        for entry in entries:
            self.put(entry, now)
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
            self._drop(name, now)
        return due

    def take_unbelieved(self, now: float) -> list[ListedUpstream]:
        """Applies the entries of a copy that nothing has changed in time.

        Returns:
            Those that are listed as ready again.
        """
        if now < self._era_began_at + RELIST_GRACE_S:
            return []
        taken = list(self._unbelieved.values())
        self._unbelieved.clear()
        return [upstream for upstream in taken if self._put(upstream, now)]

    def _drop(self, name: str, now: float) -> bool:
        self._drop_at.pop(name, None)
        dropped = self._listed.pop(name, None)
        if dropped is not None:
            self._record_left(dropped.identity, now)
        return dropped is not None

    def _record_left(self, identity: tuple[str, int], now: float) -> None:
        self._left_at.pop(identity, None)
        self._left_at[identity] = now
        for first, left_at in list(self._left_at.items()):
            if len(self._left_at) <= LEFT_MAX and left_at > now - LEFT_KEPT_S:
                break
            del self._left_at[first]

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
