"""Detection of failure domains that a network partition has cut off.

A domain counts as cut off when no heartbeat arrives from any of its instances
and the newest call to one of its upstreams was not answered. Each of the two
alone is common without a partition: instances restart, and upstreams crash.
"""

import math
from collections.abc import Iterable, Sequence

from applespring.core.catalog import ListedUpstream


class DomainReachability:
    """Times of the newest answered and unanswered call to each domain."""

    __slots__ = ("_answered_at", "_unanswered_at")

    def __init__(self) -> None:
        self._answered_at: dict[str, float] = {}
        self._unanswered_at: dict[str, float] = {}

    def record_call(
        self, failure_domain: str, answered: bool, now: float
    ) -> None:
        """Records whether a call to an upstream of a domain was answered."""
        times = self._answered_at if answered else self._unanswered_at
        times[failure_domain] = now

    def is_cut_off(
        self, failure_domain: str, unreachable_domains: Iterable[str]
    ) -> bool:
        """Returns whether a domain counts as cut off.

        Args:
            failure_domain: The domain.
            unreachable_domains: Domains from whose instances no heartbeat
                arrives.
        """
        if failure_domain not in unreachable_domains:
            return False
        unanswered = self._unanswered_at.get(failure_domain, -math.inf)
        return unanswered > self._answered_at.get(failure_domain, -math.inf)

    def filter_reachable(
        self, upstreams: Sequence[ListedUpstream], unreachable_domains: set[str]
    ) -> list[ListedUpstream]:
        """Returns the upstreams outside of cut-off domains.

        If there are none, all are returned.
        """
        if not unreachable_domains:
            return list(upstreams)
        reachable = [
            u
            for u in upstreams
            if not self.is_cut_off(u.failure_domain, unreachable_domains)
        ]
        return reachable or list(upstreams)
