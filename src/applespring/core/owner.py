"""Ownership of caller-chosen keys by lease.

Terms: the *view* of an instance is the key group that it derives from its
instance list. An instance *claims* a key when its view names it as the owner.
It *dispatches* only while it holds a lease: every other member of its view has
echoed the digest of that view in answer to a heartbeat sent less than
`LEASE_S` ago.

Property: at any moment at most one instance dispatches a given key, provided
that (a) of any two instances that claim the key, at least one is in the group
view of the other, or the two views have a member in common; (b) the monotonic
clocks advance while a process is paused and their rates differ by less than
`CLOCK_DRIFT_MAX`; (c) an instance name is in use by one process at a time; (d)
all instances have the same placement (failure domains, homes) in force; and (e)
the time between the check and the write is short compared to the lease margin.

Reason: two claimants have different digests, since one digest has one owner. A
member that echoed one digest neither echoes nor acts under another until
`LEASE_S` plus drift later, by when every lease that relies on the echo is
over. A starting incarnation waits that long as well, because it does not know
what the previous one echoed.

Over time, a key that a previous owner may have run is refused until
`memory_s` after this instance became its owner. An instance remains the
owner across a lapse of its lease or a change of view when the members' counts
of `view_changes` show that none of them took part in a third view.
"""

import math
from collections.abc import Mapping, Sequence

from applespring.core import placement, reason
from applespring.core.errors import RefusalError
from applespring.core.key import issue_time_s
from applespring.core.key_table import KEY_MEMORY_S
from applespring.core.verdict import Verdict

LEASE_S = 3.0
CLOCK_DRIFT_MAX = 0.01
HOLD_DOWN_S = LEASE_S * (1 + CLOCK_DRIFT_MAX)
CLOCK_SKEW_MAX_S = 5.0
SENT_HEARTBEATS_MAX = 16
TERMS_MAX = 64
HANDOVERS_MAX = 64


class Echo:
    """The promise of a group member in answer to one heartbeat.

    Attributes:
        incarnation: Incarnation of the member.
        digest: View under which the member stands.
        view_changes: Number of view changes of the member so far.
        sequence: Sequence of the heartbeat that is answered.
    """

    __slots__ = ("incarnation", "digest", "view_changes", "sequence")

    def __init__(
        self, incarnation: int, digest: int, view_changes: int, sequence: int
    ) -> None:
        self.incarnation = incarnation
        self.digest = digest
        self.view_changes = view_changes
        self.sequence = sequence


class Claim:
    """Permission to run one key here, valid while `Ownership.check` passes."""

    __slots__ = ("key", "account", "owned_since")

    def __init__(self, key: str, account: str, owned_since: float) -> None:
        self.key = key
        self.account = account
        self.owned_since = owned_since


class _MemberEcho:
    __slots__ = ("sent_at", "incarnation", "view_changes")

    def __init__(
        self, sent_at: float, incarnation: int, view_changes: int
    ) -> None:
        self.sent_at = sent_at
        self.incarnation = incarnation
        self.view_changes = view_changes


class _Term:
    """An unbroken period of leases under one group."""

    __slots__ = ("start", "group", "digest", "view_changes", "member_echoes")

    def __init__(
        self,
        start: float,
        group: tuple[str, ...],
        digest: int,
        view_changes: int,
    ) -> None:
        self.start = start
        self.group = group
        self.digest = digest
        self.view_changes = view_changes
        self.member_echoes: dict[str, _MemberEcho] = {}


class Ownership:
    """Decides which keys this incarnation owns and may dispatch now.

    All times are seconds on one monotonic clock that also advances while the
    process is paused.

    Attributes:
        group: The key group of the own failure domain.
        digest: Digest of the view, 0 before the first list.
        view_changes: Number of view changes so far.
        memory_s: Seconds for which key tables remember a finished key.
    """

    def __init__(
        self, name: str, incarnation: int, failure_domain: str, now: float
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self.group: tuple[str, ...] = ()
        self.digest = 0
        self.view_changes = 0
        self._key_groups: dict[str, tuple[str, ...]] = {}
        self._domain_instances: tuple[str, ...] = ()
        self._failure_domains: tuple[str, ...] = ()
        self._homes: dict[str, str] = {}
        self._home_changed_at: dict[str, float] = {}
        self.memory_s = KEY_MEMORY_S
        self._domains_changed_at = -math.inf
        self._hold_down_until = now + HOLD_DOWN_S
        self._echoed_at: float | None = None
        self._sent_heartbeats: dict[int, tuple[float, int]] = {}
        self._member_echoes: dict[str, _MemberEcho] = {}
        self._terms: list[_Term] = []
        self._leased = False
        self._handovers: dict[tuple[str, int, int], float] = {}
        self._retired = False

    def configure(
        self,
        failure_domains: Sequence[str],
        homes: Mapping[str, str],
        now: float,
    ) -> None:
        """Applies the placement of a configuration.

        Keys that a change moves here count as owned from `now` on.
        """
        domains = tuple(sorted(failure_domains))
        if self._failure_domains and domains != self._failure_domains:
            self._domains_changed_at = now
        if self._failure_domains:
            for account in self._homes.keys() | homes.keys():
                if self._homes.get(account, "") != homes.get(account, ""):
                    self._home_changed_at[account] = now
        for account, changed_at in list(self._home_changed_at.items()):
            if changed_at + self.memory_s < now:
                del self._home_changed_at[account]
        self._failure_domains = domains
        self._homes = dict(homes)

    def update_instances(
        self, instances: Mapping[str, Sequence[str]], now: float
    ) -> None:
        """Applies a list of entry instances by failure domain."""
        self._key_groups = {
            domain: placement.choose_group(domain, members)
            for domain, members in instances.items()
        }
        self._domain_instances = tuple(instances.get(self._failure_domain, ()))
        group = self._key_groups.get(self._failure_domain, ())
        digest = placement.view_digest(self._failure_domain, group)
        if digest == self.digest:
            return
        self._update_lease(now)
        if self._echoed_at is not None:
            self._hold_down_until = max(
                self._hold_down_until, self._echoed_at + HOLD_DOWN_S
            )
        self._echoed_at = None
        self._leased = False
        self._member_echoes = {}
        self.group = group
        self.digest = digest
        self.view_changes += 1

    def locate(self, key: str, account: str) -> tuple[str, str]:
        """Returns failure domain and owner of a key, each "" when unknown."""
        home = self._homes.get(account, "")
        domain = placement.choose_domain(key, self._failure_domains, home)
        owner = placement.choose_owner(key, self._key_groups.get(domain, ()))
        return domain, owner

    def record_heartbeat(self, sequence: int, now: float) -> None:
        """Notes that a heartbeat under the current view is about to be sent."""
        self._sent_heartbeats[sequence] = (now, self.digest)
        while len(self._sent_heartbeats) > SENT_HEARTBEATS_MAX:
            del self._sent_heartbeats[next(iter(self._sent_heartbeats))]

    def echo_heartbeat(
        self, peer: str, digest: int, sequence: int, now: float
    ) -> Echo | None:
        """Returns the echo of a peer's heartbeat, or None when not allowed.

        The echo must not be sent before this call.
        """
        same_view = digest == self.digest and peer in self.group
        if not same_view or self._name not in self.group:
            return None
        if now < self._hold_down_until:
            return None
        self._echoed_at = now
        return Echo(self._incarnation, digest, self.view_changes, sequence)

    def accept_echo(self, peer: str, echo: Echo, now: float) -> None:
        """Extends the lease by a member's echo."""
        sent_at, digest = self._sent_heartbeats.get(echo.sequence, (0.0, 0))
        if not digest or echo.digest != digest or digest != self.digest:
            return
        if peer not in self.group or peer == self._name:
            return
        self._update_lease(now)
        previous = self._member_echoes.get(peer)
        if previous is None or previous.sent_at < sent_at:
            member_echo = _MemberEcho(
                sent_at, echo.incarnation, echo.view_changes
            )
            self._member_echoes[peer] = member_echo
            if self._leased:
                self._terms[-1].member_echoes[peer] = member_echo
        self._update_lease(now)

    def holds_lease(self, now: float) -> bool:
        """Whether this instance may act as an owner under its view now."""
        self._update_lease(now)
        return self._leased

    def claim(
        self,
        key: str,
        account: str,
        now: float,
        *,
        trusted_unix_s: float | None = None,
    ) -> Claim:
        """Returns permission to run a key that the key table does not know.

        Args:
            key: Text of a caller-chosen key.
            account: Name of the account.
            now: Seconds on the monotonic clock.
            trusted_unix_s: The Unix time now when issue times in the account's
                keys are right, else None.

        Raises:
            RefusalError: This instance does not own the key, holds no lease, or
                became the owner too recently.
        """
        if self._retired:
            raise _refuse(reason.SHUTTING_DOWN, "The owner is draining.", 1.0)
        if self.locate(key, account) != (self._failure_domain, self._name):
            raise _refuse(
                reason.KEY_OWNER_UNREACHABLE,
                f"{self._name} does not own the key in its instance list.",
                1.0,
            )
        if not self.holds_lease(now):
            raise _refuse(
                reason.KEY_OWNER_UNREACHABLE,
                f"{self._name} holds no lease on its keys.",
                LEASE_S,
            )
        since = self._owned_since(key, account)
        wait_s = since + self.memory_s - now
        if wait_s > 0 and not self._was_issued_while_owned(
            key, now - since, trusted_unix_s
        ):
            raise _refuse(reason.KEY_OWNER_RECENT, "", wait_s)
        return Claim(key, account, since)

    def check(self, claim: Claim, now: float) -> None:
        """Checks directly before a write that a claim still holds.

        Raises:
            RefusalError: The lease is over, or was over in between so that
                another instance may have run the key.
        """
        here = (self._failure_domain, self._name)
        owned = self.locate(claim.key, claim.account) == here
        if self._retired or not owned or not self.holds_lease(now):
            raise _refuse(
                reason.KEY_OWNER_UNREACHABLE,
                f"{self._name} lost its lease before the call.",
                LEASE_S,
            )
        if self._owned_since(claim.key, claim.account) > claim.owned_since:
            raise _refuse(reason.KEY_OWNER_RECENT, "", self.memory_s)

    def retire(self, now: float) -> float:
        """Ends all claims for good, before the key table is handed over.

        Returns:
            For how many seconds this instance has known every execution of
            its keys; 0 when it holds no lease.
        """
        leased = self.holds_lease(now)
        self._retired = True
        if not leased:
            return 0.0
        start = max([self._domains_changed_at, *self._home_changed_at.values()])
        for older, term in self._transitions():
            if older is None:
                start = max(start, term.start)
                continue
            # Rendezvous hashing moves keys here only from removed members.
            for name in set(older.group) - set(term.group):
                start = max(start, self._covered_since(older, name, term))
        return now - start

    def find_successors(self) -> list[str]:
        """Returns the key group that follows when this instance leaves."""
        remaining = [n for n in self._domain_instances if n != self._name]
        return list(placement.choose_group(self._failure_domain, remaining))

    def accept_handover(
        self,
        peer: str,
        incarnation: int,
        view_changes: int,
        owned_for_s: float,
        now: float,
    ) -> None:
        """Notes that a peer has retired and handed over its whole table.

        Args:
            peer: Name of the peer.
            incarnation: Its incarnation.
            view_changes: Its count of view changes when it retired.
            owned_for_s: What its `retire` returned.
            now: Seconds on the monotonic clock.
        """
        self._handovers[(peer, incarnation, view_changes)] = now - owned_for_s
        while len(self._handovers) > HANDOVERS_MAX:
            del self._handovers[next(iter(self._handovers))]

    def _was_issued_while_owned(
        self, key: str, age_s: float, trusted_unix_s: float | None
    ) -> bool:
        """Whether a key was issued after this instance became its owner."""
        issued_s = issue_time_s(key)
        if trusted_unix_s is None or issued_s is None:
            return False
        return issued_s > trusted_unix_s - age_s + CLOCK_SKEW_MAX_S

    def _owned_since(self, key: str, account: str) -> float:
        """Returns since when every execution of the key is known here."""
        floor = self._home_changed_at.get(account, self._domains_changed_at)
        floor = max(floor, self._domains_changed_at)
        since = floor
        for older, term in self._transitions():
            if older is None:
                since = max(floor, term.start)
                continue
            previous = placement.choose_owner(key, older.group)
            if previous != self._name:
                covered_since = self._covered_since(older, previous, term)
                since = max(floor, covered_since)
        return since

    def _transitions(self) -> list[tuple[_Term | None, _Term]]:
        """Returns each term with the one before it, oldest first."""
        return list(zip([None, *self._terms[:-1]], self._terms, strict=True))

    def _covered_since(self, older: _Term, name: str, term: _Term) -> float:
        """Returns since when the executions of a handover member are known."""
        member_echo = older.member_echoes.get(name)
        if member_echo is None:
            return term.start
        handover = (name, member_echo.incarnation, member_echo.view_changes)
        return self._handovers.get(handover, term.start)

    def _update_lease(self, now: float) -> None:
        """Brings `_leased` up to date and opens a term when it starts."""
        others = [m for m in self.group if m != self._name]
        leased = self._name in self.group and now >= self._hold_down_until
        for name in others:
            member_echo = self._member_echoes.get(name)
            leased = leased and member_echo is not None
            leased = leased and now - member_echo.sent_at < LEASE_S
        if leased and not self._leased:
            self._open_term(now)
        self._leased = leased

    def _open_term(self, now: float) -> None:
        last = self._terms[-1] if self._terms else None
        if last is not None and not self._is_continuous(last):
            self._terms.clear()
            last = None
        if last is not None and last.digest == self.digest:
            last.member_echoes = dict(self._member_echoes)
            return
        term = _Term(now, self.group, self.digest, self.view_changes)
        term.member_echoes = dict(self._member_echoes)
        self._terms.append(term)
        if len(self._terms) > TERMS_MAX:
            # Forgetting the oldest term makes ownership look more recent.
            del self._terms[0]

    def _is_continuous(self, last: _Term) -> bool:
        """Whether no member of the view took part in a third one since."""
        changes = 0 if last.digest == self.digest else 1
        if self.view_changes != last.view_changes + changes:
            return False
        for name, member_echo in self._member_echoes.items():
            before = last.member_echoes.get(name)
            if before is None:
                if member_echo.view_changes != 1:
                    return False
                continue
            if member_echo.incarnation != before.incarnation:
                return False
            if member_echo.view_changes != before.view_changes + changes:
                return False
        return True


def _refuse(
    refusal_reason: reason.Reason, detail: str, retry_after_s: float
) -> RefusalError:
    return RefusalError(
        refusal_reason,
        Verdict.MAY_HAVE_RUN,
        detail,
        retry_after_s=retry_after_s,
        submission_verdict=Verdict.NOT_RUN,
    )
