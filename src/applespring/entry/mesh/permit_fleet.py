"""The entry instances, as the broker of permits needs them."""

import itertools
from collections.abc import Container

from applespring.core.membership import Membership
from applespring.entry.mesh.peers import PeerService
from applespring.peer.message import Message, PermitRequest

# Within this time all instances have read a change of the instance list.
LIST_SETTLE_S = 3.0
# A peer replies within milliseconds.
REPLY_TIMEOUT_S = 0.1


class EntryFleet:
    """Live entry instances by the platform's list.

    The list is the same for all, so that an instance that is not in it has
    left, and one that is cut off gets no permits.

    Attributes:
        name: Name of this instance.
    """

    __slots__ = ("name", "_membership", "_peers", "_left", "_listed", "_topics")

    def __init__(self, membership: Membership, peers: PeerService) -> None:
        self.name = peers.name
        self._membership = membership
        self._peers = peers
        self._listed: frozenset[str] = frozenset()
        self._left: frozenset[str] = frozenset()
        self._topics = itertools.count(1)

    def links(self) -> dict[str, float]:
        """See `PermitFleet.links`."""
        names = frozenset(entry.name for entry in self._membership.entries())
        self._left = self._listed - names
        self._listed = names
        return dict.fromkeys(names, 1.0)

    def left(self) -> list[str]:
        """See `PermitFleet.left`."""
        return sorted(self._left)

    def settle_s(self) -> float:
        """See `PermitFleet.settle_s`."""
        return LIST_SETTLE_S

    def upstreams(self) -> Container[str]:
        """See `PermitFleet.upstreams`."""
        return self._membership.upstream_names()

    async def ask(self, granter: str, request: PermitRequest) -> Message:
        """See `PermitFleet.ask`."""
        return await self._peers.request(granter, request, REPLY_TIMEOUT_S)

    async def announce(self) -> None:
        """See `PermitFleet.announce`."""
        await self._peers.announce(("rate limits", next(self._topics)))


class EntryUpstream:
    """One start of an upstream of the configuration.

    Attributes:
        name: Its name.
        identity: Its name and incarnation, 0 if the list has none.
        pool: Its pool.
    """

    __slots__ = ("name", "identity", "pool")

    def __init__(self, name: str, identity: tuple[str, int], pool: str) -> None:
        self.name = name
        self.identity = identity
        self.pool = pool
