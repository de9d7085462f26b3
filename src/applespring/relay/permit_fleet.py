"""The relay instances, as the broker of permits needs them."""

from collections.abc import Container

from applespring.peer import message
from applespring.relay.peers import Peers
from applespring.relay.state import RelayState


class RelayFleet:
    """Live relay instances by their heartbeats.

    Attributes:
        name: Name of this instance.
    """

    __slots__ = ("name", "_state", "_peers")

    def __init__(self, state: RelayState, peers: Peers) -> None:
        self.name = peers.name
        self._state = state
        self._peers = peers

    def links(self) -> dict[str, float]:
        """See `PermitFleet.links`."""
        state = self._state
        link_mbps = None if state.leaving else state.settings.link_mbps
        return state.peer_table.live_links(state.clock(), link_mbps)

    def left(self) -> list[str]:
        """See `PermitFleet.left`."""
        return self._state.peer_table.leaving_names()

    def settle_s(self) -> float:
        """See `PermitFleet.settle_s`."""
        return self._state.peer_table.settle_s

    def upstreams(self) -> Container[str]:
        """See `PermitFleet.upstreams`."""
        return self._state.catalog.all()

    async def ask(
        self, granter: str, request: message.PermitRequest
    ) -> message.Message:
        """See `PermitFleet.ask`."""
        return await self._peers.request(
            self._peers.address_of(granter), request
        )

    async def announce(self) -> None:
        """See `PermitFleet.announce`."""
        await self._peers.announce()
