"""The platform's list of instances and the rules for accepting one."""

import enum
from collections import Counter
from collections.abc import Iterable, Sequence

ENTRY_ROLE = "entry"
INSTANCES_MAX = 8192
# How long entries of a suspect removal are kept before it is applied.
SUSPECT_HOLD_S = 60.0


class InstanceState(enum.Enum):
    """State of an entry of the platform's list.

    An upstream that shuts down is listed as LEAVING before it is removed.
    """

    LIVE = "live"
    LEAVING = "leaving"


class InstanceEntry:
    """One instance or upstream as the platform lists it.

    Attributes:
        name: Unique in the list.
        role: `entry`, or the name of the pool.
        address: `IP:port`.
        failure_domain: Name of its failure domain.
        state: Live or leaving.
        incarnation: Incarnation, or 0 if the platform gives none.
    """

    __slots__ = (
        "name",
        "role",
        "address",
        "failure_domain",
        "state",
        "incarnation",
    )

    def __init__(
        self,
        name: str,
        role: str,
        address: str,
        failure_domain: str,
        state: InstanceState = InstanceState.LIVE,
        incarnation: int = 0,
    ) -> None:
        self.name = name
        self.role = role
        self.address = address
        self.failure_domain = failure_domain
        self.state = state
        self.incarnation = incarnation


class InstanceList:
    """One revision of the platform's list.

    Attributes:
        revision: Incremented with each change of the list; positive if valid.
        entries: The entries in the order of the platform.
    """

    __slots__ = ("revision", "entries")

    def __init__(self, revision: int, entries: Iterable[InstanceEntry]) -> None:
        self.revision = revision
        self.entries = tuple(entries)


class ListOutcome(enum.Enum):
    """Result of offering a list.

    ACCEPTED: applied.
    SAME: its revision is already in force.
    OLDER: its revision is below the one in force.
    SUSPECT: applied, but entries that it no longer names are kept for a time.
    REJECTED: empty, too long, with a duplicate name or without a revision.
    """

    ACCEPTED = "accepted"
    SAME = "same"
    OLDER = "older"
    SUSPECT = "suspect"
    REJECTED = "rejected"


class ListedEntries:
    """The accepted list, and the entries whose removal is suspect.

    A list that is empty, too long or names an entry twice is rejected entirely.
    A list that removes more than half of a role's live entries at once is
    applied, but the removed ones are kept for `SUSPECT_HOLD_S`, and longer
    while the list has no live entry of that role. An upstream that shuts down
    is listed as leaving first, so a mass removal is more likely a fault of the
    list. A wrong removal would cost the pool's capacity; an entry kept after
    its upstream has stopped costs a refused connection, which is a call not
    run.

    Attributes:
        revision: Revision of the accepted list, 0 before the first.
        version: Incremented when entries are added, changed or removed.
        counts: Number of offers by outcome.
        relisted_at: Name to the time at which the list named it as live after
            it was absent, leaving or of another incarnation.
    """

    __slots__ = (
        "revision",
        "version",
        "counts",
        "relisted_at",
        "_entries",
        "_suspect_removals",
    )

    def __init__(self) -> None:
        self.revision = 0
        self.version = 0
        self.counts: Counter[ListOutcome] = Counter()
        self.relisted_at: dict[str, float] = {}
        self._entries: dict[str, InstanceEntry] = {}
        self._suspect_removals: dict[str, tuple[InstanceEntry, float]] = {}

    def offer(self, offered: InstanceList, now: float) -> ListOutcome:
        """Applies a list if it is valid and newer than the one in force."""
        outcome = self._decide(offered, now)
        self.counts[outcome] += 1
        return outcome

    def get(self, name: str) -> InstanceEntry | None:
        """Returns a listed entry or one whose removal is suspect."""
        if name in self._entries:
            return self._entries[name]
        kept = self._suspect_removals.get(name)
        return kept[0] if kept else None

    def is_listed_live(self, name: str) -> bool:
        """Whether the accepted list has the entry as live.

        False for an entry that is kept only because its removal is suspect.
        """
        entry = self._entries.get(name)
        return entry is not None and entry.state is InstanceState.LIVE

    def find_by_role(self, role: str) -> list[InstanceEntry]:
        """Returns the entries of a role, also those of suspect removals."""
        kept = [entry for entry, _ in self._suspect_removals.values()]
        everything = [*self._entries.values(), *kept]
        return [entry for entry in everything if entry.role == role]

    def all_entries(self) -> Sequence[InstanceEntry]:
        """Returns the accepted list, without suspect removals."""
        return tuple(self._entries.values())

    def expire(self, now: float) -> None:
        """Applies suspect removals that are `SUSPECT_HOLD_S` old.

        Those of a role without a live entry in the list stay.
        """
        for name, (entry, since) in list(self._suspect_removals.items()):
            replaced = any(
                other.role == entry.role and other.state is InstanceState.LIVE
                for other in self._entries.values()
            )
            if replaced and now - since >= SUSPECT_HOLD_S:
                del self._suspect_removals[name]
                self.version += 1

    def _decide(self, offered: InstanceList, now: float) -> ListOutcome:
        if offered.revision < self.revision:
            return ListOutcome.OLDER
        if offered.revision == self.revision and self.revision > 0:
            return ListOutcome.SAME
        names = {entry.name for entry in offered.entries}
        if not names or len(names) != len(offered.entries):
            return ListOutcome.REJECTED
        if len(names) > INSTANCES_MAX or offered.revision <= 0:
            return ListOutcome.REJECTED
        suspect = self._find_suspect_removals(names)
        self._record_relisted(offered, now)
        self.version += 1
        self.revision = offered.revision
        self._entries = {entry.name: entry for entry in offered.entries}
        for name in names & self._suspect_removals.keys():
            del self._suspect_removals[name]
        for entry in suspect:
            self._suspect_removals[entry.name] = (entry, now)
        # Bounds the table when mass removals repeat with new names each time.
        while len(self._suspect_removals) > INSTANCES_MAX:
            del self._suspect_removals[next(iter(self._suspect_removals))]
        self.expire(now)
        return ListOutcome.SUSPECT if suspect else ListOutcome.ACCEPTED

    def _record_relisted(self, offered: InstanceList, now: float) -> None:
        relisted_at = {}
        for entry in offered.entries:
            if entry.state is not InstanceState.LIVE:
                continue
            previous = self._entries.get(entry.name)
            if (
                previous is not None
                and previous.state is InstanceState.LIVE
                and previous.incarnation == entry.incarnation
            ):
                since = self.relisted_at.get(entry.name)
            else:
                since = now
            if since is not None:
                relisted_at[entry.name] = since
        self.relisted_at = relisted_at

    def _find_suspect_removals(self, names: set[str]) -> list[InstanceEntry]:
        by_role: dict[str, list[InstanceEntry]] = {}
        for entry in self._entries.values():
            if entry.state is InstanceState.LIVE:
                by_role.setdefault(entry.role, []).append(entry)
        suspect = []
        for live in by_role.values():
            dropped = [entry for entry in live if entry.name not in names]
            if len(dropped) * 2 > len(live):
                suspect.extend(dropped)
        return suspect
