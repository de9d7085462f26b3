"""Obtains and grants permits for upstreams that have a rate limit.

An upstream has named its limit, or is cold.

`core/rate_permits.py` decides. Here an instance asks the one that grants the
permits of a pool, which may be itself, and tells the others of limits.
"""

import math
import zlib
from collections.abc import Callable, Container, Mapping, Sequence
from typing import Protocol, TypeVar

import anyio
from loguru import logger

from applespring.clock import wait_until
from applespring.core.cold_upstreams import (
    COLD_MAX_S,
    ColdBound,
    ColdChange,
    ColdSource,
)
from applespring.core.errors import ApplespringError
from applespring.core.rate_limits import Limit, RateLimit, RateLimitTable
from applespring.core.rate_permits import (
    PERMIT_VALID_S,
    PermitDecision,
    RatePermits,
)
from applespring.peer import message

# Interval at which the members are observed.
OBSERVE_INTERVAL_S = 0.25
# Changes of limits within this time are sent to all instances together.
ANNOUNCE_DELAY_S = 0.05
# Limits in one heartbeat, those named last first.
LIMITS_SENT_MAX = 12
# Cold upstreams in one heartbeat, in turn.
COLD_SENT_MAX = 8
# Longest wait for the reply of the granter.
REPLY_WAIT_S = 0.1
# Upstreams for which a request asks for a permit that begins now. Each that is
# denied is passed over by the next requests.
ASKED_MAX = 4
# How long an upstream gets no request after its granter did not reply, or was
# another instance than this one expected.
NO_REPLY_PAUSE_S = 0.1


class LimitedUpstream(Protocol):
    """One start of an upstream that may have a rate limit.

    Attributes:
        name: Its name.
        identity: Its name and incarnation.
        pool: Its pool.
    """

    name: str
    identity: tuple[str, int]
    pool: str


Upstream = TypeVar("Upstream", bound=LimitedUpstream)


class PermitFleet(Protocol):
    """The other instances, as the broker needs them.

    Attributes:
        name: Name of this instance.
    """

    name: str

    def links(self) -> Mapping[str, float]:
        """Returns the link speed of each live instance that may grant."""

    def left(self) -> Sequence[str]:
        """Returns the instances that have left, or have said that they do."""

    def settle_s(self) -> float:
        """Returns the time within which all instances learn of a change."""

    def upstreams(self) -> Container[str]:
        """Returns the names of the listed upstreams."""

    async def ask(
        self, granter: str, request: message.PermitRequest
    ) -> message.Message:
        """Sends a request to an instance and returns its reply.

        Raises:
            ApplespringError: There is no reply.
        """

    async def announce(self) -> None:
        """Sends the limits to other instances at once."""


class Permit:
    """Permission for one request to an upstream.

    Attributes:
        starts_at: When the request may be sent.
        ends_at: Until when; infinite without a limit.
    """

    __slots__ = ("starts_at", "ends_at")

    def __init__(self, starts_at: float, ends_at: float) -> None:
        self.starts_at = starts_at
        self.ends_at = ends_at


class PermitBroker:
    """Obtains permits for this instance, and grants those of others."""

    def __init__(
        self,
        fleet: PermitFleet,
        limits: RateLimitTable,
        clock: Callable[[], float],
        count_permit: Callable[[str, str], None],
        count_change: Callable[[str], None],
        report_cold: Callable[[ColdChange], None] = lambda _: None,
    ) -> None:
        """Asks for nothing before the first limit is known.

        Args:
            fleet: The other instances.
            limits: The limits that are known here.
            clock: Clock in seconds.
            count_permit: Counts a permit, given its pool and the outcome.
            count_change: Counts a change of what is known, given its kind.
            report_cold: Reports an upstream that a peer says is cold.
        """
        self._fleet = fleet
        self._limits = limits
        self._clock = clock
        self._count_permit = count_permit
        self._count_change = count_change
        self._report_cold = report_cold
        # Instances that tell all others at once begin at different ones.
        self._cold_sent = zlib.crc32(fleet.name.encode())
        self._permits = RatePermits(fleet.name)
        self._changed = anyio.Event()

    async def run(self) -> None:
        """Observes the members and announces limits until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._announce_changes)
            while True:
                self._observe()
                await anyio.sleep(OBSERVE_INTERVAL_S)

    def announce(self) -> None:
        """Tells all instances of a change of limits, shortly after."""
        self._changed.set()

    def drop_burst(self, name: str) -> None:
        """Lets an upstream that became cold begin without a burst.

        In that second it may also get requests of instances that do not know.
        """
        self._permits.drop_burst(name, self._clock())

    async def _announce_changes(self) -> None:
        while True:
            await self._changed.wait()
            await anyio.sleep(ANNOUNCE_DELAY_S)
            self._changed = anyio.Event()
            await self._fleet.announce()

    def is_limited(self, upstream: LimitedUpstream) -> bool:
        """Whether an upstream has a rate limit that holds."""
        return self.find_limit(upstream) is not None

    def find_limit(self, upstream: LimitedUpstream) -> Limit | None:
        """Returns the rate limit of an upstream, None without one."""
        if not self._limits:
            return None
        return self._limits.find(upstream.identity, self._clock())

    def opens_at(self, upstream: LimitedUpstream) -> float:
        """Returns until when no permit is to be had, -inf if one may be."""
        limits, now = self._limits, self._clock()
        limit = self.find_limit(upstream)
        if limit is not None and self._is_granter(upstream.pool):
            wait_s = self._permits.opens_in_s(
                upstream.identity, upstream.pool, limit, now
            )
            limits.close(
                upstream.identity, now + wait_s if wait_s > 0.0 else -math.inf
            )
        return limits.closed_until(upstream.identity)

    async def choose(
        self,
        upstreams: Sequence[Upstream],
        select: Callable[[Sequence[Upstream]], Upstream | None],
        latest_at: float,
    ) -> tuple[Upstream | None, Permit | None]:
        """Selects an upstream that may get a request, and waits for its permit.

        One that has no permit left is passed over. If that is so for all of
        them, the request waits for the first permit.

        Args:
            upstreams: Upstreams that accept new work.
            select: Selects one of a list of upstreams.
            latest_at: Latest time at which the request is of use there.

        Returns:
            The upstream and its permit. The permit is None without a limit, and
            the upstream is None if none may get the request in time.
        """
        clock = self._clock
        if not self._limits:
            return select(upstreams), None
        left = [u for u in upstreams if self.opens_at(u) <= clock()]
        for _ in range(ASKED_MAX):
            upstream = select(left) if left else None
            if upstream is None:
                break
            if not self.is_limited(upstream):
                return upstream, None
            permit = await self.acquire(upstream)
            if permit is not None:
                return upstream, permit
            left = [u for u in left if u is not upstream]
        unlimited = [u for u in left if not self.is_limited(u)]
        if unlimited:
            return select(unlimited), None
        first = min(upstreams, key=self.opens_at, default=None)
        wait_s = latest_at - clock()
        if first is None or self.opens_at(first) > latest_at or wait_s <= 0.0:
            return None, None
        permit = await self.acquire(first, wait_s)
        if permit is None:
            return None, None
        await wait_until(permit.starts_at, clock)
        return first, permit

    async def acquire(
        self, upstream: LimitedUpstream, wait_s: float = 0.0
    ) -> Permit | None:
        """Returns a permit that begins within a time, or None.

        Args:
            upstream: The upstream.
            wait_s: Time for which the request can wait, in seconds.
        """
        limits, asked_at = self._limits, self._clock()
        limit = self.find_limit(upstream)
        if limit is None:
            return Permit(asked_at, math.inf)
        if self._is_granter(upstream.pool):
            decision = self._permits.request(
                upstream.identity, upstream.pool, limit, wait_s, asked_at
            )
        else:
            decision = await self._ask(upstream, wait_s)
            limit = self.find_limit(upstream)
            if limit is None:
                return Permit(asked_at, math.inf)
        is_cold = limit.second_max < math.inf
        outcome = "granted" if decision.granted else "denied"
        self._count_permit(upstream.pool, outcome + "_cold" * is_cold)
        opens_in_s, now = decision.wait_s, self._clock()
        if not decision.granted:
            limits.close(upstream.identity, now + opens_in_s)
            return None
        # The time of the reply counts as used: the granter may have decided
        # when it was asked.
        return Permit(
            now + opens_in_s if opens_in_s > 0.0 else asked_at,
            asked_at + opens_in_s + decision.valid_s,
        )

    def is_valid(
        self, upstream: LimitedUpstream, permit: Permit | None
    ) -> bool:
        """Whether a request may be written to an upstream now."""
        if permit is None or permit.ends_at == math.inf:
            return not self.is_limited(upstream)
        return self._clock() <= permit.ends_at

    async def _ask(
        self, upstream: LimitedUpstream, wait_s: float
    ) -> PermitDecision:
        """Asks the granter of an upstream for a permit."""
        identity, cold = upstream.identity, self._limits.cold
        held = self._limits.get(identity)
        granter = self._permits.members.granter(upstream.pool)
        now = self._clock()
        bound = cold.find(identity, now)
        request = message.PermitRequest(
            pool=upstream.pool,
            upstream=upstream.name,
            born_ms=identity[1],
            wait_s=wait_s,
            limits=(_to_message(identity, held, now),) if held else (),
            cold_per_s=bound.per_s if bound else 0.0,
            cold=[
                m for m in self._describe_cold() if m.upstream == upstream.name
            ],
        )
        detail = "it grants no permits"
        try:
            with anyio.move_on_after(REPLY_WAIT_S):
                reply = await self._fleet.ask(granter, request)
                if isinstance(reply, message.PermitReply):
                    self.receive(reply.limits)
                    return PermitDecision(
                        reply.granted,
                        reply.wait_s,
                        reply.valid_s or PERMIT_VALID_S,
                    )
        except ApplespringError as exc:
            detail = str(exc)
        self._count_permit(upstream.pool, "no_reply")
        logger.bind(
            event="permit_not_answered",
            upstream=upstream.name,
            granter=granter,
        ).info(
            "instance {} did not answer within {:g} s for a permit for "
            "upstream {}: {}",
            granter,
            REPLY_WAIT_S,
            upstream.name,
            detail,
        )
        return PermitDecision(False, NO_REPLY_PAUSE_S)

    async def grant(self, msg: message.PermitRequest) -> message.Message:
        """Answers the request of another instance for a permit."""
        now, limits = self._clock(), self._limits
        identity = (msg.upstream, msg.born_ms)
        self.receive(msg.limits)
        self.receive_cold(msg.cold)
        limit = _lower(
            limits.find(identity, now), limits.cold.make_bound(msg.cold_per_s)
        )
        held = limits.get(identity)
        known = [_to_message(identity, held, now)] if held else []
        if limit is None:
            return message.PermitReply(granted=True, wait_s=0.0, limits=known)
        if not self._is_granter(msg.pool):
            return message.PermitReply(
                granted=False, wait_s=NO_REPLY_PAUSE_S, limits=known
            )
        decision = self._permits.request(
            identity, msg.pool, limit, max(0.0, msg.wait_s), now
        )
        return message.PermitReply(
            granted=decision.granted,
            wait_s=decision.wait_s,
            limits=known,
            valid_s=decision.valid_s,
        )

    def _is_granter(self, pool: str) -> bool:
        self._observe()
        members = self._permits.members
        return members.granter(pool) == members.name

    def _observe(self) -> None:
        fleet = self._fleet
        self._permits.members.observe(
            fleet.links(), fleet.left(), fleet.settle_s(), self._clock()
        )

    def list_limits(self) -> list[message.UpstreamRate]:
        """Returns the limits to send, those named last first."""
        limits, now = self._limits, self._clock()
        if not limits:
            return []
        limits.trim(self._fleet.upstreams(), now)
        newest = sorted(limits, key=lambda item: -item[1].named_at)
        return [
            _to_message(identity, held, now)
            for identity, held in newest[:LIMITS_SENT_MAX]
        ]

    def receive(self, rates: Sequence[message.UpstreamRate]) -> None:
        """Records what a peer knows of limits."""
        limits, now = self._limits, self._clock()
        for rate in rates:
            per_s = None if rate.ended else rate.per_s
            identity = (rate.upstream, rate.born_ms)
            if not limits.merge(identity, per_s, now - max(0.0, rate.age_s)):
                continue
            self._count_change("rate_limit_from_peer")
            logger.bind(
                event="rate_limit",
                upstream=rate.upstream,
                born_ms=rate.born_ms,
                limit_per_s=per_s,
                age_s=round(rate.age_s, 3),
                source="peer",
            ).info(
                "a peer knows the rate limit of upstream {}: {}",
                rate.upstream,
                "none any more" if per_s is None else f"{per_s:g} a second",
            )

    def list_cold(self) -> list[message.ColdUpstream]:
        """Returns the cold upstreams to send, in turn if there are many."""
        cold = self._describe_cold()
        if len(cold) > COLD_SENT_MAX:
            first = self._cold_sent % len(cold)
            self._cold_sent = first + COLD_SENT_MAX
            cold = (cold[first:] + cold[:first])[:COLD_SENT_MAX]
        return cold

    def _describe_cold(self) -> list[message.ColdUpstream]:
        cold, now = self._limits.cold, self._clock()
        if not cold:
            return []
        return [
            message.ColdUpstream(
                upstream=identity[0],
                born_ms=identity[1],
                pool=pool,
                cold_s=cold.listed_s(identity, now),
                revision=revision,
            )
            for identity, (pool, revision) in cold.listed(now).items()
        ]

    def receive_cold(self, upstreams: Sequence[message.ColdUpstream]) -> None:
        """Records upstreams that are cold by entries that a peer has read."""
        for upstream in upstreams:
            if not 0.0 < upstream.cold_s <= COLD_MAX_S:
                continue
            change = self._limits.cold.record_entry(
                (upstream.upstream, upstream.born_ms),
                upstream.pool,
                upstream.cold_s,
                upstream.revision,
                self._clock(),
                source=ColdSource.PEER,
            )
            if change is not None:
                self._report_cold(change)


def _lower(limit: Limit | None, cold: ColdBound | None) -> Limit | None:
    """Returns the limit of an upstream that is cold for another instance."""
    if cold is None:
        return limit
    if limit is None:
        return Limit(cold.per_s, cold.second_max)
    return Limit(
        min(limit.per_s, cold.per_s), min(limit.second_max, cold.second_max)
    )


def _to_message(
    identity: tuple[str, int], held: RateLimit, now: float
) -> message.UpstreamRate:
    name, born_ms = identity
    return message.UpstreamRate(
        upstream=name,
        born_ms=born_ms,
        per_s=held.per_s or 0.0,
        ended=held.per_s is None,
        age_s=max(0.0, now - held.named_at),
    )
