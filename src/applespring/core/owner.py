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
the time between the check and the write is short compared to the time by which
a hold-down, the wait after an echo that is described next, outlasts the leases
that rely on the echo.

Reason: two claimants have different digests, since one digest has one owner. A
member that echoed one digest neither echoes another nor dispatches under it
until `HOLD_DOWN_S` later, when every lease that relies on the echo has expired.
A starting incarnation waits that long as well, because it does not know what
the previous one echoed.

A key that a previous owner may have run is refused until `memory_s` after this
instance became its owner. Ownership continues across an expired lease or a
change of view if the members' counts of `view_changes` show that none of them
took part in a third view in between, under which it may have run the key.
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
# A lease is timed by the clock of its owner and the hold-down by the clock of
# the member that echoed, which may run faster.
HOLD_DOWN_S = LEASE_S * (1 + CLOCK_DRIFT_MAX)
CLOCK_SKEW_MAX_S = 5.0
SENT_HEARTBEATS_MAX = 16
TERMS_MAX = 64
HANDOVERS_MAX = 64


class Echo:
    """Answer of a group member to one heartbeat, on which leases rely.

    Until `HOLD_DOWN_S` after it the member neither echoes nor dispatches under
    another view.

    Attributes:
        incarnation: Incarnation of the member.
        digest: Digest of the member's view.
        view_changes: Number of view changes of the member so far.
        sequence: Sequence number of the heartbeat that is answered.
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
    """Permission to run one key here, valid while `Ownership.check` passes.

    Attributes:
        key: Text of the key.
        account: Name of the account.
        owned_since: Seconds from which every execution of the key is recorded
            here.
    """

    __slots__ = ("key", "account", "owned_since")

    def __init__(self, key: str, account: str, owned_since: float) -> None:
        self.key = key
        self.account = account
        self.owned_since = owned_since


class _MemberEcho:
    """A member's echo of the latest heartbeat that it has answered.

    Attributes:
        sent_at: Seconds at which this instance sent that heartbeat; the lease
            counts from then, since the echo can't be older.
        incarnation: Incarnation of the member.
        view_changes: Number of view changes of the member so far.
    """

    __slots__ = ("sent_at", "incarnation", "view_changes")

    def __init__(
        self, sent_at: float, incarnation: int, view_changes: int
    ) -> None:
        self.sent_at = sent_at
        self.incarnation = incarnation
        self.view_changes = view_changes


class _Term:
    """A period of ownership under one key group, over one or more leases.

    Attributes:
        start: Seconds at which the first lease began.
        group: The key group.
        digest: Digest of the group as a view.
        view_changes: Number of view changes of this instance at the start.
        member_echoes: Last echo of each other member.
    """

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
        group: The key group of this instance's failure domain.
        digest: Digest of the view, 0 before the first instance list.
        view_changes: Number of view changes so far.
        memory_s: Seconds for which key tables hold a finished key.
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
        """Applies the failure domains and home domains of a configuration.

        Keys that a change assigns to this instance count as owned from `now`
        on.

        Args:
            failure_domains: Names of all failure domains.
            homes: Account to its home failure domain, for accounts with one.
            now: Seconds on the monotonic clock.
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
        """Applies the live entry instances, listed by failure domain.

        A change of the key group ends the lease and the echoes that it relied
        on.
        """
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
        """Returns failure domain and owner of a key, each "" when none."""
        home = self._homes.get(account, "")
        domain = placement.choose_domain(key, self._failure_domains, home)
        owner = placement.choose_owner(key, self._key_groups.get(domain, ()))
        return domain, owner

    def record_heartbeat(self, sequence: int, now: float) -> None:
        """Records that a heartbeat under the current view is about to be sent.

        Echoes of all but the last `SENT_HEARTBEATS_MAX` heartbeats are ignored.
        """
        self._sent_heartbeats[sequence] = (now, self.digest)
        while len(self._sent_heartbeats) > SENT_HEARTBEATS_MAX:
            del self._sent_heartbeats[next(iter(self._sent_heartbeats))]

    def echo_heartbeat(
        self, peer: str, digest: int, sequence: int, now: float
    ) -> Echo | None:
        """Returns the echo of a peer's heartbeat, or None.

        There is no echo when the peer's view differs from the local one, when
        either instance is not in the key group, and during a hold-down. The
        echo must be sent after this call, because the hold-down counts from
        `now`.
        """
        same_view = digest == self.digest and peer in self.group
        if not same_view or self._name not in self.group:
            return None
        if now < self._hold_down_until:
            return None
        self._echoed_at = now
        return Echo(self._incarnation, digest, self.view_changes, sequence)

    def accept_echo(self, peer: str, echo: Echo, now: float) -> None:
        """Extends the lease by a member's echo.

        Echoes of unknown heartbeats or of another view are ignored.
        """
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
        """Whether every other member of the view echoed within `LEASE_S`.

        It is also false during a hold-down and outside the key group.
        """
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
        """Returns permission to run a key that is not in the key table.

        Args:
            key: Text of a caller-chosen key.
            account: Name of the account.
            now: Seconds on the monotonic clock.
            trusted_unix_s: The Unix time now when issue times in the account's
                keys are right, else None.

        Raises:
            RefusalError: This instance is draining, does not own the key, holds
                no lease, or became the owner less than `memory_s` ago.
        """
        if self._retired:
            raise _refuse(
                reason.SHUTTING_DOWN,
                f"The owner {self._name} is draining.",
                1.0,
            )
        if self.locate(key, account) != (self._failure_domain, self._name):
            raise _refuse(
                reason.KEY_OWNER_UNREACHABLE,
                f"{self._name} does not own the key according to its instance "
                "list.",
                1.0,
            )
        if not self.holds_lease(now):
            raise _refuse(
                reason.KEY_OWNER_UNREACHABLE,
                f"{self._name} holds no lease on its keys in "
                f"{self._failure_domain}.",
                LEASE_S,
            )
        since = self._owned_since(key, account)
        wait_s = since + self.memory_s - now
        if wait_s > 0 and not self._was_issued_while_owned(
            key, now - since, trusted_unix_s
        ):
            raise _refuse(
                reason.KEY_OWNER_RECENT,
                f"{self._name} has owned the key for {now - since:.0f} s; keys "
                f"are refused for the first {self.memory_s:.0f} s.",
                wait_s,
            )
        return Claim(key, account, since)

    def check(self, claim: Claim, now: float) -> None:
        """Checks directly before a write that a claim is still valid.

        Raises:
            RefusalError: The lease has expired, or expired since the claim, so
                that another instance may have run the key.
        """
        here = (self._failure_domain, self._name)
        owned = self.locate(claim.key, claim.account) == here
        if self._retired or not owned or not self.holds_lease(now):
            raise _refuse(
                reason.KEY_OWNER_UNREACHABLE,
                f"{self._name} lost its lease or the key before the call.",
                LEASE_S,
            )
        if self._owned_since(claim.key, claim.account) > claim.owned_since:
            raise _refuse(
                reason.KEY_OWNER_RECENT,
                f"{self._name} lost and regained the key before the call.",
                self.memory_s,
            )

    def retire(self, now: float) -> float:
        """Ends all claims permanently, before the key table is handed over.

        Returns:
            For how many seconds every execution of its keys has been recorded
            here; 0 when it holds no lease.
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
        """Returns the key group of the domain without this instance."""
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
        """Records that a peer has retired and handed over its complete table.

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
        """Returns the time from which the key's executions are recorded here.

        Executions from then on either took place here or are part of a key
        table that was handed over to this instance.
        """
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
        """Returns the time from which a past member's executions are recorded.

        Without a handover of its last incarnation and view this is the start
        of the term that follows.
        """
        member_echo = older.member_echoes.get(name)
        if member_echo is None:
            return term.start
        handover = (name, member_echo.incarnation, member_echo.view_changes)
        return self._handovers.get(handover, term.start)

    def _update_lease(self, now: float) -> None:
        """Updates `_leased` and opens a term when a lease begins."""
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
            # Without the oldest term ownership counts from a later time, which
            # only refuses more keys.
            del self._terms[0]

    def _is_continuous(self, last: _Term) -> bool:
        """Whether no member took part in a third view since the last term.

        A member that was not in that term must be in its first view.
        """
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
