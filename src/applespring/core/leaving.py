"""Notices that an upstream or instance is leaving."""

# Above the 600 workers and 350 instances of the design scale.
NOTICES_MAX = 2048
# A name without incarnation may be used again only after this long without a
# notice; it exceeds the lag of lists and reports that still circulate.
NOTICE_EXPIRY_S = 30.0
# The age of a passed-on notice leaves out its time on the way. Without this
# margin peers would renew a notice by repeating it to each other.
RENEW_MARGIN_S = 1.0


class LeavingNotice:
    """One upstream or instance that is leaving.

    Attributes:
        name: Name of the upstream or instance.
        incarnation: Incarnation that leaves, or 0 if none was given.
        source: Where the notice came from first.
        received_at: Time of the most recent notice at its origin.
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
    """Sticky leaving notices, bounded in number.

    Attributes:
        evicted: Notices dropped because the table was full.
        version: Grows when a notice is added or dropped.
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
        """Records a notice; returns whether it is new."""
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
        """Whether this incarnation is leaving.

        Where either side has no incarnation they may be the same, so the
        notice holds.
        """
        notices = self._notices.get(name)
        if not notices:
            return False
        return incarnation == 0 or 0 in notices or incarnation in notices

    def names(self) -> list[str]:
        """Returns the names that have notices."""
        return list(self._notices)

    def last_received_at(self, name: str) -> float:
        """Returns the time of the last notice for a name."""
        notices = self._notices.get(name, {})
        return max((n.received_at for n in notices.values()), default=0.0)

    def clear_if_expired(self, name: str, at: float) -> bool:
        """Drops the notices of a name that was seen serving long after.

        Args:
            name: Name of the upstream or instance.
            at: Time at which it was seen serving.
        """
        notices = self._notices.get(name, {})
        if not notices:
            return False
        if any(at - n.received_at < NOTICE_EXPIRY_S for n in notices.values()):
            return False
        del self._notices[name]
        self.version += 1
        return True

    def list_recent(self, now: float) -> list[LeavingNotice]:
        """Returns the notices to pass on to peers, newest first.

        Older ones are left out, or instances would renew each other's notices
        for ever.
        """
        recent = [
            notice
            for notices in self._notices.values()
            for notice in notices.values()
            if now - notice.received_at < NOTICE_EXPIRY_S
        ]
        return sorted(recent, key=lambda n: (-n.received_at, n.name))

    def trim(self, known: set[str]) -> None:
        """Drops notices above the bound, unknown names and old ones first."""
        excess = len(self) - NOTICES_MAX
        if excess <= 0:
            return
        self.version += 1
        order = sorted(
            (n for group in self._notices.values() for n in group.values()),
            key=lambda n: (n.name in known, n.received_at),
        )
        for notice in order[:excess]:
            del self._notices[notice.name][notice.incarnation]
            if not self._notices[notice.name]:
                del self._notices[notice.name]
            self.evicted += 1
