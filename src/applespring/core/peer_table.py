"""The other instances, as heartbeats and what peers pass on tell of them."""

import math

from applespring.core.placement import rank

# Other instances up to which everyone sends everyone heartbeats. In a larger
# fleet an instance hears of most others by way of third ones.
FULL_MESH_PEERS_MAX = 16
# Four missed heartbeats at the interval of relay/peers.py.
HEARTBEAT_TIMEOUT_S = 1.0
# The same for word that passes through third instances.
INDIRECT_HEARTBEAT_TIMEOUT_S = 3.0
# An instance that did not answer is not asked again for this long.
SUSPECT_S = 1.0
# Part of the best link that an instance must have to keep queues.
SCHEDULER_LINK_SHARE = 0.5
# After this long a silent instance is no longer passed on or remembered.
PEER_EXPIRY_S = 20.0


class PeerState:
    """States of an instance, as heartbeats name them."""

    LIVE = "live"
    LEAVING = "leaving"


class Peer:
    """What is known of one instance.

    Attributes:
        name: Name of the instance.
        incarnation: Number of its start.
        address: IP:port of its peer link.
        failure_domain: Where it stands.
        state: LIVE or LEAVING.
        sequence: Number of its newest heartbeat.
        document_version: Routing document that it has in force.
        link_mbps: Speed of its network link.
        entries_revision: Revision up to which it knows upstreams' entries.
        received_at: When its sequence last advanced here.
        direct_received_at: When a datagram of its own last arrived.
        suspect_until: Until when it is left out after it did not answer.
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
        self.received_at = -math.inf
        self.direct_received_at = -math.inf
        self.suspect_until = -math.inf


class PeerTable:
    """All known instances but this one."""

    __slots__ = ("_name", "_peers")

    def __init__(self, name: str) -> None:
        self._name = name
        self._peers: dict[str, Peer] = {}

    def record_heartbeat(self, row: Peer, now: float, *, direct: bool) -> bool:
        """Takes what a datagram says of an instance.

        Returns:
            Whether the instance is new or has started anew.
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
        if direct:
            held.direct_received_at = now
        return False

    @staticmethod
    def _replaces(row: Peer, held: Peer, now: float, direct: bool) -> bool:
        """Returns whether a row tells of a later start than the one held.

        Incarnations are times of day, which may jump backwards between two
        starts. An instance that speaks itself after a silence is believed.
        """
        if row.incarnation == held.incarnation:
            return False
        newer = row.incarnation > held.incarnation
        silent_s = now - held.direct_received_at
        if direct:
            return newer or silent_s > HEARTBEAT_TIMEOUT_S / 2
        return newer and silent_s > HEARTBEAT_TIMEOUT_S

    def expire(self, now: float) -> None:
        """Forgets instances that have been silent for long."""
        for name, peer in list(self._peers.items()):
            if now - peer.received_at > PEER_EXPIRY_S:
                del self._peers[name]

    def all_peers(self) -> list[Peer]:
        """Returns every remembered instance."""
        return list(self._peers.values())

    def get(self, name: str) -> Peer | None:
        """Returns one instance."""
        return self._peers.get(name)

    @property
    def exceeds_full_mesh(self) -> bool:
        """Whether the fleet is too large for everyone to hear everyone."""
        return len(self._peers) > FULL_MESH_PEERS_MAX

    def _has_recent_heartbeat(self, peer: Peer, now: float) -> bool:
        if self.exceeds_full_mesh:
            return now - peer.received_at <= INDIRECT_HEARTBEAT_TIMEOUT_S
        return now - peer.direct_received_at <= HEARTBEAT_TIMEOUT_S

    def confirm(self, name: str, now: float) -> None:
        """Notes that an instance answered."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.received_at = max(peer.received_at, now)
            peer.direct_received_at = max(peer.direct_received_at, now)
            peer.suspect_until = -math.inf

    def suspect(self, name: str, now: float) -> None:
        """Notes that an instance did not answer."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.suspect_until = now + SUSPECT_S

    def is_reachable(self, name: str, incarnation: int, now: float) -> bool:
        """Returns whether an incarnation is heard and has not failed."""
        peer = self._peers.get(name)
        return (
            peer is not None
            and peer.incarnation == incarnation
            and now >= peer.suspect_until
            and self._has_recent_heartbeat(peer, now)
        )

    def reachable(self, now: float) -> list[Peer]:
        """Returns the live instances that are heard and have not failed."""
        return [
            peer
            for peer in self._peers.values()
            if peer.state == PeerState.LIVE
            and now >= peer.suspect_until
            and self._has_recent_heartbeat(peer, now)
        ]

    def unreachable_domains(self, now: float) -> set[str]:
        """Returns the failure domains whose known instances are all silent."""
        domains = {peer.failure_domain for peer in self._peers.values()}
        return domains - {
            peer.failure_domain
            for peer in self._peers.values()
            if self._has_recent_heartbeat(peer, now)
        }

    def rank_schedulers(
        self, subject: str, now: float, *, self_link_mbps: float | None
    ) -> list[str]:
        """Returns the instances that may keep a queue, best first.

        Every instance computes the same order from the same members. Those
        with a slow link come last, since a scheduler hears of every request.

        Args:
            subject: Name of the queue.
            now: Current time.
            self_link_mbps: Link of this instance, or None while it is leaving.
        """
        links = {peer.name: peer.link_mbps for peer in self.reachable(now)}
        if self_link_mbps is not None:
            links[self._name] = self_link_mbps
        least = SCHEDULER_LINK_SHARE * max(links.values(), default=0.0)
        ranked = rank(f"queue\x1f{subject}", links)
        return sorted(ranked, key=lambda name: links[name] < least)
