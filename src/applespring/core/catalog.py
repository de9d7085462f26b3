"""Upstreams as listed in the platform's registry.

The registry lags, may be unreachable, and drops entries of running upstreams
during an outage. The catalog keeps the last listed state. A removal takes
effect at once, unless the registry may have been away: then the upstream is
kept until running ones have had time to be listed again. That a connection
ended is no sign of it, since removals go on meanwhile.
"""

import enum
import math
from collections.abc import Iterable, Mapping

# How long removed upstreams are kept once the registry is back. Running ones
# are listed again about 2 s after that (users' letter); the remaining 0.2 s
# cover the delay of a read.
RELIST_GRACE_S = 2.2
# When that is over at the latest, from the begin of the last call that failed.
# The registry was away, or cut off, at that time, and may be back since. 3 s
# after it is back a removal counts for all instances (`contactMs`), and calls
# begin up to 1 s apart, so that running upstreams have 1.95 s at least.
UNANSWERED_GRACE_S = 2.95
# Share of all upstreams above which a read that lacks them shows, after a time
# without contact, that their entries have lapsed. A registry that was away for
# less than that time leaves no other trace.
LAPSED_SHARE = 0.5
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
        "_removed",
        "_unreachable",
        "_unanswered_at",
        "_relisted_at",
        "_era",
        "_era_began_at",
        "_left_at",
        "_unbelieved",
    )

    def __init__(self) -> None:
        self._listed: dict[str, ListedUpstream] = {}
        # Names of removed upstreams that are kept for a time.
        self._removed: set[str] = set()
        self._unreachable = False
        # When the last call began that the registry did not answer.
        self._unanswered_at = -math.inf
        # When running upstreams have been listed again.
        self._relisted_at = -math.inf
        self._era = -1
        self._era_began_at = -math.inf
        # When upstreams were last listed as leaving, or removed.
        self._left_at: dict[tuple[str, int], float] = {}
        # Entries of a copy that list upstreams as ready that had left.
        self._unbelieved: dict[str, ListedUpstream] = {}

    def lose_contact(self, called_at: float) -> None:
        """Records that the registry cannot be read.

        Args:
            called_at: When the call began that it did not answer.
        """
        self._unreachable = True
        self._unanswered_at = called_at

    def regain_contact(self, now: float) -> None:
        """Records that the registry can be read again."""
        if self._unreachable:
            self._unreachable = False
            self._keep_removed_until(
                min(
                    now + RELIST_GRACE_S,
                    self._unanswered_at + UNANSWERED_GRACE_S,
                )
            )

    def _keep_removed_until(self, at: float) -> None:
        self._relisted_at = max(self._relisted_at, at)

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
            self._era_began_at = now
            self._keep_removed_until(now + RELIST_GRACE_S)
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
        self._removed.discard(upstream.name)
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
        if self._unreachable or now < self._relisted_at:
            self._removed.add(name)
            return False
        return self._drop(name, now)

    def replace(
        self,
        entries: Iterable[ListedUpstream],
        now: float,
        *,
        after_gap: bool = False,
    ) -> list[str]:
        """Applies a full listing: upstreams that it lacks are removed.

        Args:
            entries: The entries.
            now: Current time.
            after_gap: Whether there was no contact before it, for as long as it
                takes to find that a watch is not answered.

        Returns:
            The names of those whose removal took effect at once.
        """
        entries = list(entries)
        names = {entry.name for entry in entries}
        for entry in entries:
            self.put(entry, now)
        missing = [name for name in self._listed if name not in names]
        if after_gap and len(missing) > LAPSED_SHARE * len(self._listed):
            self._keep_removed_until(now + RELIST_GRACE_S)
        return [name for name in missing if self.remove(name, now)]

    @property
    def expires_at(self) -> float:
        """When `expire` drops an upstream next; infinite if none is due."""
        if self._unreachable or not self._removed:
            return math.inf
        return self._relisted_at

    def expire(self, now: float) -> list[str]:
        """Drops removed upstreams that were not listed again in time.

        Nothing is dropped while the registry is unreachable.

        Returns:
            The names of the dropped upstreams.
        """
        if self._unreachable or now < self._relisted_at:
            return []
        due = sorted(self._removed)
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
        self._removed.discard(name)
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
