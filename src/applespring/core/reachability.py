"""Failure domains that a partition seems to have cut off.

A domain is taken as cut off when all its instances have gone silent and the
newest call to one of its upstreams was not answered. Either sign alone is
common: instances restart, and upstreams crash.
"""

import math
from collections.abc import Iterable, Sequence

from applespring.core.catalog import ListedUpstream


class DomainReachability:
    """What calls say about the failure domains."""

    __slots__ = ("_answered_at", "_unanswered_at")

    def __init__(self) -> None:
        self._answered_at: dict[str, float] = {}
        self._unanswered_at: dict[str, float] = {}

    def record_call(
        self, failure_domain: str, answered: bool, now: float
    ) -> None:
        """Notes whether a call to an upstream of a domain was answered."""
        times = self._answered_at if answered else self._unanswered_at
        times[failure_domain] = now

    def is_cut_off(
        self, failure_domain: str, lost_domains: Iterable[str]
    ) -> bool:
        """Returns whether a domain seems to be cut off.

        Args:
            failure_domain: The domain.
            lost_domains: Domains whose instances have all gone silent.
        """
        if failure_domain not in lost_domains:
            return False
        unanswered = self._unanswered_at.get(failure_domain, -math.inf)
        return unanswered > self._answered_at.get(failure_domain, -math.inf)

    def filter_reachable(
        self, upstreams: Sequence[ListedUpstream], lost_domains: set[str]
    ) -> list[ListedUpstream]:
        """Returns the upstreams that can be reached, or all if none can."""
        if not lost_domains:
            return list(upstreams)
        reachable = [
            u
            for u in upstreams
            if not self.is_cut_off(u.failure_domain, lost_domains)
        ]
        return reachable or list(upstreams)
