"""Permits of the JSON interface for upstreams with a rate limit."""

import math
from collections.abc import Callable

from loguru import logger

from applespring.core.membership import Membership
from applespring.core.self_report import SelfReport
from applespring.entry.mesh.permit_fleet import EntryUpstream
from applespring.permits.broker import Permit, PermitBroker

# What a call gets while no upstream has a rate limit.
UNLIMITED = Permit(-math.inf, math.inf)


class CallPermits:
    """Obtains permits by the names of upstreams, and records their limits."""

    __slots__ = (
        "_broker",
        "_membership",
        "_on_closed",
        "_count",
        "_clock",
    )

    def __init__(
        self,
        broker: PermitBroker,
        membership: Membership,
        on_closed: Callable[[], None],
        count: Callable[[str], None],
        clock: Callable[[], float],
    ) -> None:
        """Sets where permits come from.

        Args:
            broker: Decides on permits.
            membership: Knows the incarnations and limits of upstreams.
            on_closed: Called when an upstream has no permit left.
            count: Counts a change of a limit, given its kind.
            clock: Clock in seconds.
        """
        self._broker = broker
        self._membership = membership
        self._on_closed = on_closed
        self._count = count
        self._clock = clock

    async def acquire(self, name: str) -> Permit | None:
        """Returns a permit for one call now, or None if none is left."""
        if not self._membership.notices.limits:
            return UNLIMITED
        permit = await self._broker.acquire(self._upstream(name))
        if permit is None:
            self._on_closed()
        return permit

    def is_limited(self, name: str) -> bool:
        """Whether an upstream has a rate limit."""
        return self._membership.is_limited(name)

    def is_valid(self, name: str, permit: Permit | None) -> bool:
        """Whether a call may be written now."""
        if permit is UNLIMITED:
            permit = None
        return not self._membership.notices.limits or self._broker.is_valid(
            self._upstream(name), permit
        )

    def record(self, name: str, report: SelfReport, sent_at: float) -> None:
        """Records the limit that an answer names.

        Args:
            name: Name of the upstream.
            report: What its answer says.
            sent_at: Earliest time at which the call was sent.
        """
        identity = self._membership.identity(name)
        if not report.rate_limit_known or not (
            self._membership.notices.limits.record(
                identity, report.rate_limit, sent_at, self._clock()
            )
        ):
            return
        ended = report.rate_limit is None
        self._count("rate_limit_ended" if ended else "rate_limit")
        logger.info(
            "upstream {} names the rate limit {}",
            name,
            "none any more" if ended else f"{report.rate_limit:g} a second",
        )
        self._broker.announce()

    def _upstream(self, name: str) -> EntryUpstream:
        identity = self._membership.identity(name)
        return EntryUpstream(name, identity, self._membership.pool_of(name))
