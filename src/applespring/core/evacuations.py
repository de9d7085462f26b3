"""Failure domains that an operator has evacuated.

Nothing is sent to the upstreams of such a domain until the order is taken back.
Orders are read from the registry, or fetched from a peer that has read it. The
table keeps them while neither can be reached.

A registry that comes back from a copy may lack an order, or hold one that was
taken back. Either counts only after `RELIST_GRACE_S`, as for upstreams.
"""

import math
from collections.abc import Container, Iterable, Mapping

from applespring.core.catalog import RELIST_GRACE_S
from applespring.core.era import era_of

# Far above the number of failure domains of any deployment. Beyond it, orders
# for domains without upstreams are dropped first, then the oldest.
EVACUATIONS_MAX = 256
# Domains whose orders were taken back that are remembered, the last first.
ENDED_MAX = 256


class EvacuationUpdate:
    """What an update has changed.

    Attributes:
        begun: Domains that are evacuated from now on.
        ended: Domains that are not evacuated any more.
        dropped: Domains whose orders were dropped since there are too many.
    """

    __slots__ = ("begun", "ended", "dropped")

    def __init__(self) -> None:
        self.begun: list[str] = []
        self.ended: list[str] = []
        self.dropped: list[str] = []

    def __bool__(self) -> bool:
        return bool(self.begun or self.ended or self.dropped)


class EvacuationTable:
    """The orders in force, and up to which revision they are known.

    Revisions are joined with the era of the registry (`core/era.py`).

    Attributes:
        complete_at: Revision up to which all orders are known; 0 before the
            first read.
        changed_at: Revision of the last known change, which peers are told. A
            peer whose own orders are not complete up to it lacks that change.
    """

    __slots__ = (
        "complete_at",
        "changed_at",
        "_orders",
        "_missing",
        "_unbelieved",
        "_ended",
        "_era_began_at",
    )

    def __init__(self) -> None:
        self.complete_at = 0
        self.changed_at = 0
        # Revision of the order of each domain.
        self._orders: dict[str, int] = {}
        # Of these, the domains whose orders a copy of the registry lacks.
        self._missing: set[str] = set()
        # Orders of a copy that had been taken back.
        self._unbelieved: dict[str, int] = {}
        # Domains whose orders were taken back, the last one at the end.
        self._ended: dict[str, None] = {}
        self._era_began_at = -math.inf

    def __bool__(self) -> bool:
        """Whether any domain is evacuated."""
        return bool(self._orders)

    @property
    def domains(self) -> tuple[str, ...]:
        """The evacuated domains, by name."""
        return tuple(sorted(self._orders))

    def covers(self, failure_domain: str) -> bool:
        """Returns whether a domain is evacuated."""
        return failure_domain in self._orders

    def list_registered(self) -> tuple[str, ...]:
        """Returns the domains that the registry lists as of `complete_at`.

        Those differ from `domains` just after it has come back from a copy.
        """
        return tuple(
            sorted(
                (self._orders.keys() - self._missing) | set(self._unbelieved)
            )
        )

    def replace(
        self,
        orders: Mapping[str, int],
        revision: int,
        now: float,
        known: Container[str] = (),
    ) -> EvacuationUpdate:
        """Applies all orders as of a revision, from the registry or a peer.

        A set that is older than what is known is ignored. An order that is
        newer than the set stays, since the pages of a read are not a snapshot.

        Args:
            orders: Revision of the order of each evacuated domain.
            revision: Revision up to which no order and no end is missing.
            now: Current time.
            known: Failure domains that have upstreams.
        """
        update = EvacuationUpdate()
        if revision < self.complete_at:
            return update
        if self.complete_at and era_of(revision) > era_of(self.complete_at):
            self._era_began_at = now
        settling = now < self._era_began_at + RELIST_GRACE_S
        self.complete_at = revision
        for domain in [d for d in self._unbelieved if d not in orders]:
            del self._unbelieved[domain]
        for domain, given_at in orders.items():
            if settling and domain in self._ended:
                self._unbelieved[domain] = given_at
                self._record_change(min(given_at, revision))
            else:
                self._give(domain, given_at, update)
        for domain, given_at in list(self._orders.items()):
            if domain in orders or given_at > revision:
                continue
            self._record_change(revision)
            if settling:
                self._missing.add(domain)
            else:
                self._end(domain, update)
        self._trim(known, update)
        return update

    def apply(
        self,
        changes: Iterable[tuple[str, bool, int]],
        revision: int,
        known: Container[str] = (),
    ) -> EvacuationUpdate:
        """Applies the changes up to a revision.

        Changes that an earlier update included are ignored.

        Args:
            changes: Domain, whether its order holds, and the revision of each.
            revision: Revision up to which the changes are complete.
            known: Failure domains that have upstreams.
        """
        update = EvacuationUpdate()
        for domain, in_force, changed_at in sorted(
            changes, key=lambda change: change[2]
        ):
            if changed_at <= self.complete_at:
                continue
            self._unbelieved.pop(domain, None)
            self._record_change(changed_at)
            if in_force:
                self._give(domain, changed_at, update)
            else:
                self._end(domain, update)
        self.complete_at = max(self.complete_at, revision)
        self._trim(known, update)
        return update

    def settle(self, now: float) -> EvacuationUpdate:
        """Applies a copy of the registry that nothing has changed in time."""
        update = EvacuationUpdate()
        if now < self._era_began_at + RELIST_GRACE_S:
            return update
        for domain in sorted(self._missing):
            self._end(domain, update)
        for domain, given_at in self._unbelieved.items():
            self._give(domain, given_at, update)
        self._unbelieved.clear()
        return update

    def _record_change(self, revision: int) -> None:
        self.changed_at = max(self.changed_at, revision)

    def _give(
        self, domain: str, revision: int, update: EvacuationUpdate
    ) -> None:
        if domain not in self._orders:
            _note(update.begun, update.ended, domain)
            self._record_change(min(revision, self.complete_at))
        self._orders[domain] = revision
        self._missing.discard(domain)
        self._ended.pop(domain, None)

    def _end(self, domain: str, update: EvacuationUpdate) -> None:
        self._missing.discard(domain)
        if self._orders.pop(domain, None) is None:
            return
        _note(update.ended, update.begun, domain)
        self._ended.pop(domain, None)
        self._ended[domain] = None
        while len(self._ended) > ENDED_MAX:
            del self._ended[next(iter(self._ended))]

    def _trim(self, known: Container[str], update: EvacuationUpdate) -> None:
        excess = len(self._orders) - EVACUATIONS_MAX
        if excess <= 0:
            return
        ranked = sorted(
            self._orders, key=lambda d: (d in known, self._orders[d], d)
        )
        for domain in ranked[:excess]:
            del self._orders[domain]
            self._missing.discard(domain)
            update.dropped.append(domain)
            if domain in update.begun:
                update.begun.remove(domain)


def _note(made: list[str], undone: list[str], domain: str) -> None:
    """Records a change, unless it undoes one of the same update."""
    if domain in undone:
        undone.remove(domain)
    else:
        made.append(domain)
