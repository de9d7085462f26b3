"""Last known state of the other instances, from heartbeats and gossip."""

import math
from collections.abc import Callable

from applespring.core.placement import rank_schedulers

# Number of other instances up to which each sends heartbeats to all others. In
# a larger fleet an instance receives the state of most others through third
# instances.
FULL_MESH_PEERS_MAX = 16
# Four missed heartbeats at the interval HEARTBEAT_INTERVAL_S of relay/peers.py.
HEARTBEAT_TIMEOUT_S = 1.0
# The timeout in a larger fleet, where state arrives through third instances.
INDIRECT_HEARTBEAT_TIMEOUT_S = 3.0
# How long an instance that did not answer a request is considered unreachable.
SUSPECT_S = 1.0
# An instance without new state for this long is removed from the table, and so
# no longer forwarded to peers.
PEER_EXPIRY_S = 20.0


class PeerState:
    """States of an instance as they appear in heartbeats."""

    LIVE = "live"
    LEAVING = "leaving"


class Peer:
    """Last known state of one instance.

    Attributes:
        name: Name of the instance.
        incarnation: Time of day at its start; distinguishes its starts.
        address: IP:port of its peer link.
        failure_domain: Failure domain in which it runs.
        state: LIVE or LEAVING.
        sequence: Sequence number of its newest heartbeat.
        document_version: Version of the routing document it has in force.
        link_mbps: Speed of its network link.
        entries_revision: Revision up to which it has the upstreams' entries.
        evacuations_revision: Revision of the last change of the evacuated
            failure domains that it knows.
        received_at: When a newer sequence number of it last arrived, directly
            or through another instance, or when it last answered a request.
        direct_received_at: When a datagram or an answer from the instance
            itself last arrived.
        suspect_until: Until when it is considered unreachable because it did
            not answer a request.
    """

    __slots__ = (
        "name",
        "incarnation",
        "address",
        "failure_domain",
        "state",
        "sequence",
        "document_version",
        "link_mbps",
        "entries_revision",
        "evacuations_revision",
        "received_at",
        "direct_received_at",
        "suspect_until",
    )

    def __init__(
        self,
        name: str,
        incarnation: int,
        address: str,
        failure_domain: str,
        state: str = PeerState.LIVE,
        sequence: int = 0,
        document_version: int = 0,
        link_mbps: float = 0.0,
        entries_revision: int = 0,
        evacuations_revision: int = 0,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.address = address
        self.failure_domain = failure_domain
        self.state = state
        self.sequence = sequence
        self.document_version = document_version
        self.link_mbps = link_mbps
        self.entries_revision = entries_revision
        self.evacuations_revision = evacuations_revision
        self.received_at = -math.inf
        self.direct_received_at = -math.inf
        self.suspect_until = -math.inf


class PeerTable:
    """Last known state of every instance except this one."""

    __slots__ = ("_name", "_peers")

    def __init__(self, name: str) -> None:
        self._name = name
        self._peers: dict[str, Peer] = {}

    def record_heartbeat(self, row: Peer, now: float, *, direct: bool) -> bool:
        """Applies the state of an instance from a datagram.

        Args:
            row: The state in the datagram.
            now: Seconds on the monotonic clock.
            direct: Whether the instance itself sent the datagram.

        Returns:
            Whether the instance is new or has restarted.
        """
        if row.name == self._name:
            return False
        held = self._peers.get(row.name)
        if held is None or self._replaces(row, held, now, direct):
            row.received_at = now if direct else now - HEARTBEAT_TIMEOUT_S / 2
            row.direct_received_at = now if direct else -math.inf
            self._peers[row.name] = row
            return True
        if row.incarnation != held.incarnation:
            return False
        if row.sequence > held.sequence:
            held.sequence = row.sequence
            held.received_at = now
            held.state = row.state
            held.address = row.address
            held.document_version = max(
                held.document_version, row.document_version
            )
            held.entries_revision = max(
                held.entries_revision, row.entries_revision
            )
            held.evacuations_revision = max(
                held.evacuations_revision, row.evacuations_revision
            )
        if direct:
            held.direct_received_at = now
        return False

    @staticmethod
    def _replaces(row: Peer, held: Peer, now: float, direct: bool) -> bool:
        """Whether a row belongs to a later start than the one held.

        Incarnations are times of day, which may jump backwards between two
        starts. A lower one is therefore accepted too if the instance itself
        sends it after a gap in its heartbeats.
        """
        if row.incarnation == held.incarnation:
            return False
        newer = row.incarnation > held.incarnation
        since_direct_s = now - held.direct_received_at
        if direct:
            return newer or since_direct_s > HEARTBEAT_TIMEOUT_S / 2
        return newer and since_direct_s > HEARTBEAT_TIMEOUT_S

    def expire(self, now: float) -> None:
        """Removes instances without new state for `PEER_EXPIRY_S`."""
        for name, peer in list(self._peers.items()):
            if now - peer.received_at > PEER_EXPIRY_S:
                del self._peers[name]

    def all_peers(self) -> list[Peer]:
        """Returns every instance held, also unreachable and leaving ones."""
        return list(self._peers.values())

    def get(self, name: str) -> Peer | None:
        """Returns an instance by name, also an unreachable or leaving one."""
        return self._peers.get(name)

    @property
    def exceeds_full_mesh(self) -> bool:
        """Whether the fleet is too large for heartbeats from all to all."""
        return len(self._peers) > FULL_MESH_PEERS_MAX

    def _has_recent_heartbeat(self, peer: Peer, now: float) -> bool:
        if self.exceeds_full_mesh:
            return now - peer.received_at <= INDIRECT_HEARTBEAT_TIMEOUT_S
        return now - peer.direct_received_at <= HEARTBEAT_TIMEOUT_S

    def confirm(self, name: str, now: float) -> None:
        """Records that an instance answered a request."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.received_at = max(peer.received_at, now)
            peer.direct_received_at = max(peer.direct_received_at, now)
            peer.suspect_until = -math.inf

    def vouch(self, name: str, now: float) -> None:
        """Records that a peer counts an instance as reachable.

        It counts as reachable here until its own heartbeats can be expected.
        """
        peer = self._peers.get(name)
        if peer is not None:
            vouched_at = now - HEARTBEAT_TIMEOUT_S / 2
            peer.received_at = max(peer.received_at, vouched_at)
            peer.direct_received_at = max(peer.direct_received_at, vouched_at)

    def suspect(self, name: str, now: float) -> None:
        """Records that an instance did not answer a request.

        It counts as unreachable for `SUSPECT_S` or until it answers.
        """
        peer = self._peers.get(name)
        if peer is not None:
            peer.suspect_until = now + SUSPECT_S

    def is_reachable(self, name: str, incarnation: int, now: float) -> bool:
        """Whether this incarnation sends heartbeats and is not suspect."""
        peer = self._peers.get(name)
        return (
            peer is not None
            and peer.incarnation == incarnation
            and now >= peer.suspect_until
            and self._has_recent_heartbeat(peer, now)
        )

    def is_heard_from(self, address: str, now: float) -> bool:
        """Whether an instance with this address sends heartbeats."""
        return any(
            peer.address == address and self._has_recent_heartbeat(peer, now)
            for peer in self._peers.values()
        )

    def reachable(self, now: float) -> list[Peer]:
        """Returns the live instances with recent heartbeats, not suspect."""
        return [
            peer
            for peer in self._peers.values()
            if peer.state == PeerState.LIVE
            and now >= peer.suspect_until
            and self._has_recent_heartbeat(peer, now)
        ]

    def unreachable_domains(self, now: float) -> set[str]:
        """Returns the failure domains without any recent heartbeat."""
        domains = {peer.failure_domain for peer in self._peers.values()}
        return domains - {
            peer.failure_domain
            for peer in self._peers.values()
            if self._has_recent_heartbeat(peer, now)
        }

    def rank_schedulers(
        self,
        pool: str,
        now: float,
        *,
        self_link_mbps: float | None,
        allows: Callable[[str], bool] | None = None,
    ) -> list[str]:
        """Returns the instances that may schedule a pool, best first.

        Args:
            pool: Name of the pool.
            now: Seconds on the monotonic clock.
            self_link_mbps: Link speed of this instance, or None while it is
                leaving and must not become a scheduler.
            allows: Whether instances of a failure domain may schedule; None
                allows all.
        """
        links = self.live_links(now, self_link_mbps, allows)
        return rank_schedulers(pool, links)

    def live_links(
        self,
        now: float,
        self_link_mbps: float | None,
        allows: Callable[[str], bool] | None = None,
    ) -> dict[str, float]:
        """Returns the link speed of each reachable instance by name.

        Args:
            now: Seconds on the monotonic clock.
            self_link_mbps: Link speed of this instance, or None to leave it
                out.
            allows: Whether to include other instances of a failure domain;
                None includes all.
        """
        links = {
            peer.name: peer.link_mbps
            for peer in self.reachable(now)
            if allows is None or allows(peer.failure_domain)
        }
        if self_link_mbps is not None:
            links[self._name] = self_link_mbps
        return links

    def leaving_names(self) -> list[str]:
        """Returns the instances that have said that they leave."""
        return [
            peer.name
            for peer in self._peers.values()
            if peer.state == PeerState.LEAVING
        ]

    @property
    def settle_s(self) -> float:
        """Time within which all instances learn that another is lost."""
        if self.exceeds_full_mesh:
            return INDIRECT_HEARTBEAT_TIMEOUT_S
        return HEARTBEAT_TIMEOUT_S
