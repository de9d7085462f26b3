"""Notices that an upstream or instance is leaving."""

# Above the 600 upstreams and 350 instances of the design scale.
NOTICES_MAX = 2048
# A name without an incarnation may be used again only after this long without a
# new notice. It exceeds the delay of lists and reports still on their way.
NOTICE_EXPIRY_S = 30.0
# The age of a forwarded notice does not include its transmission time. Without
# this margin peers would renew a notice by forwarding it to each other.
RENEW_MARGIN_S = 1.0


class LeavingNotice:
    """One upstream or instance that is leaving.

    Attributes:
        name: Name of the upstream or instance.
        incarnation: Incarnation that leaves, or 0 if none was given.
        source: Where the first notice came from: `list`, `report`, `header` or
            the name of a peer.
        received_at: When the notice was last received from a source other than
            a peer, here or at the instance that first forwarded it, on the
            monotonic clock of this instance.
    """

    __slots__ = ("name", "incarnation", "source", "received_at")

    def __init__(
        self, name: str, incarnation: int, source: str, received_at: float
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.source = source
        self.received_at = received_at


class LeavingTable:
    """Leaving notices by name and incarnation, bounded in number.

    A notice stays until the name is seen serving long after it; see
    `clear_if_expired`.

    Attributes:
        evicted: Number of notices removed because the table was full.
        version: Incremented when notices are added or removed.
    """

    __slots__ = ("evicted", "version", "_notices")

    def __init__(self) -> None:
        self.evicted = 0
        self.version = 0
        self._notices: dict[str, dict[int, LeavingNotice]] = {}

    def __len__(self) -> int:
        return sum(len(notices) for notices in self._notices.values())

    def add(
        self, name: str, incarnation: int, source: str, received_at: float
    ) -> bool:
        """Adds a notice or renews it; returns whether it was added."""
        notices = self._notices.setdefault(name, {})
        notice = notices.get(incarnation)
        if notice is not None:
            if received_at - notice.received_at > RENEW_MARGIN_S:
                notice.received_at = received_at
            return False
        self.version += 1
        notices[incarnation] = LeavingNotice(
            name, incarnation, source, received_at
        )
        return True

    def is_leaving(self, name: str, incarnation: int) -> bool:
        """Whether a notice applies to this incarnation.

        If the notice or the argument has no incarnation (0), the two may be the
        same start, so the notice applies.
        """
        notices = self._notices.get(name)
        if not notices:
            return False
        return incarnation == 0 or 0 in notices or incarnation in notices

    def names(self) -> list[str]:
        """Returns the names that have notices, as a copy."""
        return list(self._notices)

    def last_received_at(self, name: str) -> float:
        """Returns the time of the last notice for a name, 0 without one."""
        notices = self._notices.get(name, {})
        return max((n.received_at for n in notices.values()), default=0.0)

    def clear_if_expired(self, name: str, serving_at: float) -> bool:
        """Removes the notices of a name seen serving long after the last one.

        Args:
            name: Name of the upstream or instance.
            serving_at: When it was seen serving. All its notices have to be at
                least `NOTICE_EXPIRY_S` older.

        Returns:
            Whether notices were removed.
        """
        notices = self._notices.get(name, {})
        if not notices:
            return False
        if any(
            serving_at - n.received_at < NOTICE_EXPIRY_S
            for n in notices.values()
        ):
            return False
        del self._notices[name]
        self.version += 1
        return True

    def list_recent(self, now: float) -> list[LeavingNotice]:
        """Returns the notices to forward to peers, newest first.

        Those older than `NOTICE_EXPIRY_S` are left out. Otherwise instances
        would renew each other's notices for ever.
        """
        recent = [
            notice
            for notices in self._notices.values()
            for notice in notices.values()
            if now - notice.received_at < NOTICE_EXPIRY_S
        ]
        return sorted(recent, key=lambda n: (-n.received_at, n.name))

    def trim(self, names_in_use: set[str]) -> None:
        """Removes notices above `NOTICES_MAX`.

        Those of names not in `names_in_use` go first, older ones before newer.
        """
        excess = len(self) - NOTICES_MAX
        if excess <= 0:
            return
        self.version += 1
        order = sorted(
            (n for group in self._notices.values() for n in group.values()),
            key=lambda n: (n.name in names_in_use, n.received_at),
        )
        for notice in order[:excess]:
            del self._notices[notice.name][notice.incarnation]
            if not self._notices[notice.name]:
                del self._notices[notice.name]
            self.evicted += 1
