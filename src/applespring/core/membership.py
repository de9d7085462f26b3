"""Which upstreams and instances are usable.

Merges the platform's list, leaving notices and evidence that upstreams serve.
"""

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
from applespring.core.leaving import LeavingNotice
from applespring.core.notices import UpstreamNotices

# Age up to which evidence makes an upstream usable.
EVIDENCE_S = 2.0
# Leaves half a second for the probe to be answered before the evidence is
# stale.
PROBE_AFTER_S = 1.5
# Reports older than this are ignored, so a leaving upstream gets no new work
# after at most the sum of this and EVIDENCE_S. A pool whose reports lag by less
# stays usable.
REPORT_MAX_AGE_S = 3.0
# Longest interval between ticks that does not count as a pause of the process:
# four missed ticks of 0.25 s. A busy event loop stays below it.
PAUSE_S = 1.0


class EvidenceSource(enum.Enum):
    """Origin of the evidence that an upstream serves.

    LIST: the list was confirmed as the newest and has the upstream as live.
    ANSWER: the upstream answered a call.
    REPORT: the upstream sent a load report.
    """

    LIST = "list"
    ANSWER = "answer"
    REPORT = "report"


class Evidence:
    """The most recent evidence that an upstream serves.

    Attributes:
        at: Seconds on the monotonic clock.
        source: Where the evidence came from.
    """

    __slots__ = ("at", "source")

    def __init__(self, at: float, source: EvidenceSource) -> None:
        self.at = at
        self.source = source


class DispatchCheck(enum.Enum):
    """Whether a call may be written to an upstream now, and why not.

    LEAVING: a leaving notice applies to the upstream.
    PAUSED: the upstream has asked for no requests for a time.
    STALE: nothing has shown recently that the upstream serves.
    UNKNOWN: the configuration in force does not name the upstream.
    """

    OK = "ok"
    LEAVING = "leaving"
    PAUSED = "paused"
    STALE = "stale"
    UNKNOWN = "unknown"


class ReadState(enum.Enum):
    """How the last attempt to read the platform's list ended.

    NONE: no attempt has ended since the start or the last pause.
    CONFIRMED: the list in force is the newest.
    FAILED: the platform is unreachable, or its list is outdated or invalid.
    """

    NONE = "none"
    CONFIRMED = "confirmed"
    FAILED = "failed"


class Membership:
    """Which upstreams may get new work, and which instances are live.

    The configuration document defines the upstreams of a pool; the list and the
    upstreams' answers and load reports decide whether they may be used. An
    upstream that only the list names is never used, since its slots and the
    properties of its pool are unknown.

    Attributes:
        listed: The platform's list.
        notices: What upstreams have said of themselves.
        leaving: The leaving notices among them.
        read_state: How the last attempt to read the list ended.
        pauses: Number of pauses of this process that were detected.
    """

    __slots__ = (
        "listed",
        "notices",
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
        "_entry_instances",
        "_leaving_upstreams",
        "_derived_versions",
    )

    def __init__(self) -> None:
        self.listed = ListedEntries()
        self.notices = UpstreamNotices()
        self.leaving = self.notices.leaving
        self.read_state = ReadState.NONE
        self.pauses = 0
        self._pools: dict[str, tuple[str, ...]] = {}
        self._reports_load: dict[str, bool] = {}
        self._evidence: dict[str, Evidence] = {}
        self._incarnations: dict[str, int] = {}
        self._list_confirmed_at = float("-inf")
        self._resumed_at = float("-inf")
        self._ticked_at: float | None = None
        # Cached results that depend on the list and the notices, and the
        # versions of the two they were computed from. They are read for every
        # upstream in each round, but change only a few times an hour.
        self._entry_instances: list[InstanceEntry] = []
        self._leaving_upstreams: frozenset[str] = frozenset()
        self._derived_versions: tuple[int, int] | None = None

    def set_fleet(self, fleet: Fleet) -> None:
        """Applies the pools and upstreams of an accepted configuration."""
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
        # The list may name an upstream before the configuration does.
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
        """Applies a list from the platform or a peer if it is acceptable.

        Args:
            offered: The list.
            source: `platform` or the name of the peer.
            asked_at: When the read that returned the list was started.
            now: Seconds on the monotonic clock.
            confirmed_at: When the platform last confirmed the list as the
                newest: `now` for a list of the platform unless given, else
                the time that the peer reports, or None.
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
        """Records that the list in force was the newest at `confirmed_at`.

        Args:
            revision: Newest revision at the source.
            asked_at: When the read was started. A read started before a pause
                does not count, since its answer may date from before the pause.
            confirmed_at: Seconds on the monotonic clock.
            source: `platform` or the name of the peer.

        Returns:
            Whether the confirmation was applied.
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
        """Records that a read of the list failed or returned nothing usable.

        A read started before the last pause is ignored.
        """
        if asked_at >= self._resumed_at:
            self.read_state = ReadState.FAILED

    def note_answer(self, name: str, asked_at: float, now: float) -> None:
        """Records an answer whose headers do not mark the upstream as leaving.

        Args:
            name: Name of the upstream.
            asked_at: When the call was written. An answer to a call written
                before the last pause is ignored.
            now: When the head of the answer (status and headers) arrived.
        """
        if asked_at >= self._resumed_at:
            self._record_evidence(name, now, EvidenceSource.ANSWER)

    def note_report(
        self, name: str, asked_at: float, age_s: float = 0.0
    ) -> None:
        """Records a load report with state `serving`.

        Args:
            name: Name of the upstream.
            asked_at: When the report was requested. A report requested before
                the last pause is ignored.
            age_s: Age of the report at the upstream. A report older than
                `REPORT_MAX_AGE_S` is ignored.
        """
        if asked_at < self._resumed_at:
            return
        if age_s > REPORT_MAX_AGE_S:
            return
        # A restart under the same name and without an incarnation can only be
        # recognized by a report of serving long after the leaving notice.
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
        """Records that an upstream or instance is leaving.

        Args:
            name: Name of the upstream or instance.
            incarnation: Its incarnation, or 0 if unknown. The listed one then
                replaces 0 unless the notice came from a peer, whose list may be
                older.
            source: `list`, `report`, `header` or the name of the peer.
            now: Seconds on the monotonic clock.
            age_s: Age of the notice at the peer that forwarded it.

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

    def note_pause_asked(self, name: str, pause_s: float, now: float) -> bool:
        """Records that an upstream asks for no requests for a time.

        Returns:
            Whether it was not paused before.
        """
        if name not in self._reports_load:
            return False
        return self.notices.pauses.add(self.identity(name), pause_s, now)

    def is_paused(self, name: str, now: float) -> bool:
        """Returns whether an upstream has asked for no requests now."""
        return self.notices.pauses.until(self.identity(name)) > now

    def is_limited(self, name: str) -> bool:
        """Returns whether an upstream has named a rate limit that holds."""
        limits = self.notices.limits
        return bool(limits) and limits.per_s(self.identity(name)) is not None

    def pool_of(self, name: str) -> str:
        """Returns the pool of an upstream, or "" if it has none."""
        return next(
            (pool for pool, names in self._pools.items() if name in names), ""
        )

    def opens_at(self, pool: str) -> float:
        """Returns when the first upstream of a pool takes calls, -inf if now.

        Counted are pauses, and rate limits that leave no permit.
        """
        ends = [
            max(
                self.notices.pauses.until(self.identity(name)),
                self.notices.limits.closed_until(self.identity(name)),
            )
            for name in self._pools.get(pool, ())
            if name not in self._leaving_upstreams
        ]
        return min(ends, default=float("-inf"))

    def next_opening(self, now: float) -> float:
        """Returns when the next upstream may have a permit again, inf if none.

        Only upstreams with a rate limit count that have no permit left now.
        """
        limits = self.notices.limits
        if not limits:
            return float("inf")
        ends = (limits.closed_until(identity) for identity, _ in limits)
        return min((at for at in ends if at > now), default=float("inf"))

    def upstream_names(self) -> frozenset[str]:
        """Returns the names of the configured upstreams."""
        return frozenset(self._reports_load)

    def identity(self, name: str) -> tuple[str, int]:
        """Returns the name and incarnation of an upstream, 0 if unknown."""
        entry = self.listed.get(name)
        return (name, entry.incarnation if entry is not None else 0)

    def note_incarnation(self, name: str, incarnation: int) -> bool:
        """Records the incarnation that an entry instance reports of itself.

        The platform's list need not give incarnations. Without the reported
        one, a leaving notice of an earlier incarnation would apply to the next.

        Returns:
            Whether the instance was leaving and no longer is, since its notice
            belongs to an earlier incarnation.
        """
        if self.listed.get(name) is None:
            return False
        if self._incarnations.get(name) == incarnation:
            return False
        was_leaving = self._is_leaving(name)
        self._incarnations[name] = incarnation
        self._derived_versions = None
        for unlisted in self._incarnations.keys() - self._listed_names():
            del self._incarnations[unlisted]
        return was_leaving and not self._is_leaving(name)

    def recent_notices(self, now: float) -> list[LeavingNotice]:
        """Returns the leaving notices to forward to peers, newest first."""
        return self.leaving.list_recent(now)

    def note_pause(self, now: float) -> None:
        """Invalidates all evidence after a pause of this process.

        Upstreams may have left during the pause, and reads started before it
        may return outdated answers.
        """
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
        """Records that the process is running; returns whether it had paused.

        The decisions below detect a pause themselves as well: when the process
        resumes, a pending call may run before the timer that calls this.
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
            and self.notices.limits.closed_until(self.identity(name)) <= now
        }

    def check_dispatch(self, upstream: str, now: float) -> DispatchCheck:
        """Decides whether a call may be written, directly before the write."""
        self._detect_pause(now)
        if upstream not in self._reports_load:
            return DispatchCheck.UNKNOWN
        self._update_derived()
        return self._check(upstream, now)

    def _check(self, upstream: str, now: float) -> DispatchCheck:
        """Decides for a configured upstream.

        `_detect_pause` and `_update_derived` have to be called before.
        """
        if upstream in self._leaving_upstreams:
            return DispatchCheck.LEAVING
        if self.is_paused(upstream, now):
            return DispatchCheck.PAUSED
        evidence = self._evidence.get(upstream)
        if evidence is not None and evidence.at >= now - EVIDENCE_S:
            return DispatchCheck.OK
        if self._is_usable_without_evidence(upstream):
            return DispatchCheck.OK
        return DispatchCheck.STALE

    def find_upstreams_to_probe(self, now: float) -> list[str]:
        """Returns load-reporting upstreams that lack recent evidence.

        Those with the oldest evidence come first.
        """
        self._detect_pause(now)
        outdated = []
        for name, reports_load in self._reports_load.items():
            evidence = self._evidence.get(name)
            at = evidence.at if evidence else float("-inf")
            if self.is_paused(name, now):
                continue
            if reports_load and now - at >= PROBE_AFTER_S:
                outdated.append((at, name))
        return [name for _, name in sorted(outdated)]

    def evidence(self, upstream: str) -> Evidence | None:
        """Returns the most recent evidence since the last pause, or None."""
        return self._evidence.get(upstream)

    def entries(self, failure_domain: str = "") -> list[InstanceEntry]:
        """Returns the live entry instances, sorted by name.

        Args:
            failure_domain: Restricts the result to it; empty for all.
        """
        self._update_derived()
        return [
            entry
            for entry in self._entry_instances
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
        self._entry_instances = sorted(live, key=lambda entry: entry.name)
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
        last = self._evidence.get(name)
        if name in self._reports_load and (last is None or at > last.at):
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
        """Removes the notices of names listed as live again after them.

        Being listed again is the only sign of a restart for an upstream that
        neither has an incarnation nor reports load.
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
        """Whether the last list suffices for an upstream without evidence.

        It never does for an upstream that reports load. For another one it does
        while the list cannot be read, since nothing else can show that the
        upstream serves, and while its removal from the list is suspect. If no
        list was ever read, the configuration document is used instead.
        """
        if self._reports_load[name] or self.read_state is ReadState.NONE:
            return False
        entry = self.listed.get(name)
        if self.read_state is ReadState.FAILED:
            return entry is not None or self.listed.revision == 0
        return entry is not None and not self.listed.is_listed_live(name)
