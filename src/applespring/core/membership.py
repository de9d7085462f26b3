"""Merged view of the published list, leaving notices and evidence."""

import enum

from applespring.core.fleet import Fleet
from applespring.core.instances import (
    ENTRY_ROLE,
    InstanceEntry,
    InstanceList,
    InstanceState,
    ListedEntries,
    ListOutcome,
)
from applespring.core.leaving import LeavingNotice, LeavingTable

EVIDENCE_S = 2.0
# Leaves half a second for the probe before the evidence becomes stale.
PROBE_AFTER_S = 1.5
# Together with EVIDENCE_S the few seconds after which a leaving upstream gets
# no new work. A pool whose reports lag by less stays usable.
REPORT_MAX_AGE_S = 3.0
# Four missed ticks of 0.25 s; a busy event loop stays below it.
PAUSE_S = 1.0


class EvidenceSource(enum.Enum):
    """What showed that an upstream serves."""

    LIST = "list"
    ANSWER = "answer"
    REPORT = "report"


class Evidence:
    """The most recent sign that an upstream serves.

    Attributes:
        at: Seconds on the monotonic clock.
        source: What showed it.
    """

    __slots__ = ("at", "source")

    def __init__(self, at: float, source: EvidenceSource) -> None:
        self.at = at
        self.source = source


class DispatchCheck(enum.Enum):
    """Whether a call may be written to an upstream now."""

    OK = "ok"
    LEAVING = "leaving"
    STALE = "stale"
    UNKNOWN = "unknown"


class ReadState(enum.Enum):
    """How the last attempt to read the platform's list ended.

    NONE: no attempt ended since the start or the last pause.
    CONFIRMED: the list in force is the newest.
    FAILED: the platform is unreachable, stale or returns garbage.
    """

    NONE = "none"
    CONFIRMED = "confirmed"
    FAILED = "failed"


class Membership:
    """Which upstreams may get new work, and which instances are live.

    The upstreams of a pool are those of the document; the list and the
    upstreams' own words decide whether they may be used. An upstream that only
    the list names has no slots or contract and is never used.

    Attributes:
        listed: The platform's list.
        leaving: The leaving notices.
        read_state: How the last attempt to read the list ended.
        pauses: Number of pauses of this process that were noticed.
    """

    __slots__ = (
        "listed",
        "leaving",
        "read_state",
        "pauses",
        "_pools",
        "_reports_load",
        "_evidence",
        "_incarnations",
        "_list_confirmed_at",
        "_resumed_at",
        "_ticked_at",
        "_entries",
        "_leaving_upstreams",
        "_derived_versions",
    )

    def __init__(self) -> None:
        self.listed = ListedEntries()
        self.leaving = LeavingTable()
        self.read_state = ReadState.NONE
        self.pauses = 0
        self._pools: dict[str, tuple[str, ...]] = {}
        self._reports_load: dict[str, bool] = {}
        self._evidence: dict[str, Evidence] = {}
        self._incarnations: dict[str, int] = {}
        self._list_confirmed_at = float("-inf")
        self._resumed_at = float("-inf")
        self._ticked_at: float | None = None
        # What follows from the list and the notices, and the versions of the
        # two from which it was worked out. Both are read for every upstream
        # in each round and change a few times an hour.
        self._entries: list[InstanceEntry] = []
        self._leaving_upstreams: frozenset[str] = frozenset()
        self._derived_versions: tuple[int, int] | None = None

    def set_fleet(self, fleet: Fleet) -> None:
        """Takes pools and upstreams from an accepted configuration."""
        self._pools = {
            pool.name: tuple(u.name for u in pool.upstreams)
            for pool in fleet.pools.values()
        }
        self._reports_load = {
            upstream.name: pool.reports_load
            for pool in fleet.pools.values()
            for upstream in pool.upstreams
        }
        self._derived_versions = None
        for name in self._evidence.keys() - self._reports_load.keys():
            del self._evidence[name]
        # The list may have named them before the configuration did.
        self._record_listed_evidence()

    def offer_list(
        self,
        offered: InstanceList,
        source: str,
        asked_at: float,
        now: float,
        *,
        confirmed_at: float | None = None,
    ) -> ListOutcome:
        """Takes a list from the platform or a peer.

        Args:
            offered: The list.
            source: `platform` or the name of the peer.
            asked_at: When the read that returned it was started.
            now: Seconds on the monotonic clock.
            confirmed_at: When the list was the newest; `now` for the
                platform, otherwise when the peer had it confirmed.
        """
        from_platform = source == "platform"
        outcome = self.listed.offer(offered, now)
        if outcome in (ListOutcome.OLDER, ListOutcome.REJECTED):
            if from_platform:
                self.fail_read(asked_at)
            return outcome
        for entry in self.listed.all_entries():
            if entry.state is InstanceState.LEAVING:
                self.note_leaving(entry.name, entry.incarnation, "list", now)
        self._clear_relisted(now)
        if from_platform and confirmed_at is None:
            confirmed_at = now
        if confirmed_at is not None:
            self.confirm_list(
                offered.revision, asked_at, confirmed_at, source=source
            )
        return outcome

    def confirm_list(
        self,
        revision: int,
        asked_at: float,
        confirmed_at: float,
        *,
        source: str = "platform",
    ) -> bool:
        """Notes that the list in force was the newest at `confirmed_at`.

        Args:
            revision: Newest revision at the source.
            asked_at: When the read was started. One started before a pause
                proves nothing after it.
            confirmed_at: Seconds on the monotonic clock.
            source: `platform` or the name of the peer.

        Returns:
            Whether the confirmation counts.
        """
        if revision != self.listed.revision or revision == 0:
            if source == "platform":
                self.fail_read(asked_at)
            return False
        if asked_at < self._resumed_at:
            return False
        if source == "platform":
            self.read_state = ReadState.CONFIRMED
        self._list_confirmed_at = max(self._list_confirmed_at, confirmed_at)
        self._record_listed_evidence()
        return True

    def fail_read(self, asked_at: float) -> None:
        """Notes that a read of the list failed or returned nothing usable."""
        if asked_at >= self._resumed_at:
            self.read_state = ReadState.FAILED

    def note_answer(self, name: str, asked_at: float, now: float) -> None:
        """Notes an answer of an upstream that does not say leaving.

        Args:
            name: Name of the upstream.
            asked_at: When the call was written.
            now: When the head of the answer arrived.
        """
        if asked_at >= self._resumed_at:
            self._record_evidence(name, now, EvidenceSource.ANSWER)

    def note_report(
        self, name: str, asked_at: float, age_s: float = 0.0
    ) -> None:
        """Notes a load report with state `serving`.

        Args:
            name: Name of the upstream.
            asked_at: When the report was asked for.
            age_s: Age of the report at the upstream. An old one is ignored.
        """
        if asked_at < self._resumed_at:
            return
        if age_s > REPORT_MAX_AGE_S:
            return
        # A restart in place shows only as serving again long after leaving.
        self.leaving.clear_if_expired(name, asked_at - max(0.0, age_s))
        self._record_evidence(name, asked_at, EvidenceSource.REPORT)

    def note_leaving(
        self,
        name: str,
        incarnation: int,
        source: str,
        now: float,
        age_s: float = 0.0,
    ) -> bool:
        """Notes that an upstream or instance is leaving.

        Args:
            name: Its name.
            incarnation: Its incarnation, or 0; the listed one is used then,
                unless the notice came from a peer, whose list may be older.
            source: `list`, `report`, `header` or the name of the peer.
            now: Seconds on the monotonic clock.
            age_s: Age of the notice at the peer that passed it on.

        Returns:
            Whether the notice is new.
        """
        if incarnation == 0 and source in ("report", "header"):
            entry = self.listed.get(name)
            incarnation = entry.incarnation if entry else 0
        new = self.leaving.add(name, incarnation, source, now - age_s)
        if new:
            self.leaving.trim(self._listed_names() | self._reports_load.keys())
        return new

    def note_incarnation(self, name: str, incarnation: int) -> bool:
        """Notes the incarnation that an entry instance states of itself.

        The platform's list need not give incarnations. Without this one, a
        leaving notice of an earlier incarnation would count for the next.

        Returns:
            Whether this ends a leaving notice of an earlier incarnation.
        """
        if self.listed.get(name) is None:
            return False
        if self._incarnations.get(name) == incarnation:
            return False
        was_leaving = self._is_leaving(name)
        self._incarnations[name] = incarnation
        self._derived_versions = None
        for known in self._incarnations.keys() - self._listed_names():
            del self._incarnations[known]
        return was_leaving and not self._is_leaving(name)

    def recent_notices(self, now: float) -> list[LeavingNotice]:
        """Returns the leaving notices to pass on to peers."""
        return self.leaving.list_recent(now)

    def note_pause(self, now: float) -> None:
        """Invalidates all evidence, as after a pause of this process."""
        self.pauses += 1
        self._evidence.clear()
        self._list_confirmed_at = float("-inf")
        self.read_state = ReadState.NONE
        self._resumed_at = now
        self._ticked_at = now

    def is_current(self, now: float) -> bool:
        """Whether a read of the list has ended since the last pause."""
        self._detect_pause(now)
        return self.read_state is not ReadState.NONE

    def tick(self, now: float) -> bool:
        """Notes that the process runs; returns whether it had paused.

        The decisions below look for the same jump themselves, since a call
        that was due can run before the timer does when the process wakes.
        """
        paused = self._detect_pause(now)
        self._ticked_at = now
        self.listed.expire(now)
        self._clear_relisted(now)
        return paused

    def usable(self, pool: str, now: float) -> set[str]:
        """Returns the upstreams of a pool that may get new work."""
        self._detect_pause(now)
        self._update_derived()
        return {
            name
            for name in self._pools.get(pool, ())
            if self._check(name, now) is DispatchCheck.OK
        }

    def check_dispatch(self, upstream: str, now: float) -> DispatchCheck:
        """Decides directly before a write whether it may take place."""
        self._detect_pause(now)
        if upstream not in self._reports_load:
            return DispatchCheck.UNKNOWN
        self._update_derived()
        return self._check(upstream, now)

    def _check(self, upstream: str, now: float) -> DispatchCheck:
        """Decides by notices and evidence that are up to date."""
        if upstream in self._leaving_upstreams:
            return DispatchCheck.LEAVING
        evidence = self._evidence.get(upstream)
        if evidence is not None and evidence.at >= now - EVIDENCE_S:
            return DispatchCheck.OK
        if self._is_usable_without_evidence(upstream):
            return DispatchCheck.OK
        return DispatchCheck.STALE

    def find_upstreams_to_probe(self, now: float) -> list[str]:
        """Returns reporting upstreams in need of evidence, oldest first."""
        self._detect_pause(now)
        ages = []
        for name, reports in self._reports_load.items():
            evidence = self._evidence.get(name)
            at = evidence.at if evidence else float("-inf")
            if reports and now - at >= PROBE_AFTER_S:
                ages.append((at, name))
        return [name for _, name in sorted(ages)]

    def evidence(self, upstream: str) -> Evidence | None:
        """Returns the most recent evidence for an upstream."""
        return self._evidence.get(upstream)

    def entries(self, failure_domain: str = "") -> list[InstanceEntry]:
        """Returns the live entry instances, sorted by name.

        Args:
            failure_domain: Only those in it, or all if empty.
        """
        self._update_derived()
        return [
            entry
            for entry in self._entries
            if failure_domain in ("", entry.failure_domain)
        ]

    def _update_derived(self) -> None:
        versions = (self.listed.version, self.leaving.version)
        if versions == self._derived_versions:
            return
        self._derived_versions = versions
        live = [
            entry
            for entry in self.listed.find_by_role(ENTRY_ROLE)
            if entry.state is InstanceState.LIVE
            and not self._is_leaving(entry.name)
        ]
        self._entries = sorted(live, key=lambda entry: entry.name)
        self._leaving_upstreams = frozenset(
            name for name in self._reports_load if self._is_leaving(name)
        )

    def _record_listed_evidence(self) -> None:
        for name in self._reports_load:
            if self.listed.is_listed_live(name):
                self._record_evidence(
                    name, self._list_confirmed_at, EvidenceSource.LIST
                )

    def _record_evidence(
        self, name: str, at: float, source: EvidenceSource
    ) -> None:
        known = self._evidence.get(name)
        if name in self._reports_load and (known is None or at > known.at):
            self._evidence[name] = Evidence(at, source)

    def _is_leaving(self, name: str) -> bool:
        entry = self.listed.get(name)
        if entry is None:
            return self.leaving.is_leaving(name, 0)
        if entry.state is InstanceState.LEAVING:
            return True
        incarnation = entry.incarnation or self._incarnations.get(name, 0)
        return self.leaving.is_leaving(name, incarnation)

    def _listed_names(self) -> set[str]:
        return {entry.name for entry in self.listed.all_entries()}

    def _clear_relisted(self, now: float) -> None:
        """Drops notices of names that the list took up again since.

        This is the only sign of a restart for an upstream that neither has an
        incarnation nor reports load.
        """
        for name in self.leaving.names():
            relisted_at = self.listed.relisted_at.get(name, float("-inf"))
            if self.leaving.last_received_at(name) < relisted_at:
                self.leaving.clear_if_expired(name, now)

    def _detect_pause(self, now: float) -> bool:
        if self._ticked_at is None or now - self._ticked_at <= PAUSE_S:
            return False
        self.note_pause(now)
        return True

    def _is_usable_without_evidence(self, name: str) -> bool:
        """Whether the last list stands for an upstream that reports nothing.

        Without the platform nothing else can be known about it. The document
        stands in when no list was ever read.
        """
        if self._reports_load[name] or self.read_state is ReadState.NONE:
            return False
        entry = self.listed.get(name)
        if self.read_state is ReadState.FAILED:
            return entry is not None or self.listed.revision == 0
        return entry is not None and not self.listed.is_listed_live(name)
