"""Homes: the regions whose upstreams and instances may get a request.

A set of allowed regions is a `Regions`: None allows all, an empty set none.
"""

from collections.abc import Iterable, Mapping

from applespring.core.route import ClientAccount, Route, RoutingDocument

Regions = frozenset[str] | None

# Failure domains without a known region that are noted, so that names in the
# registry can't fill the memory.
UNKNOWN_DOMAINS_MAX = 1000


def intersect(first: Regions, second: Regions) -> Regions:
    """Returns the regions that both allow."""
    if first is None:
        return second
    if second is None:
        return first
    return first & second


def is_within(regions: Regions, bound: Regions) -> bool:
    """Returns whether every region that is allowed is within a bound."""
    return bound is None or (regions is not None and regions <= bound)


def allowed_regions(route: Route, account: ClientAccount | None) -> Regions:
    """Returns the regions in which requests of a route may be executed.

    The homes of the route and those of the account both bind.

    Args:
        route: The route.
        account: Account of the caller, or None without one.
    """
    account_homes = account.homes if account else frozenset()
    return intersect(route.homes or None, account_homes or None)


def allowed_regions_in(
    document: RoutingDocument, route: Route, account: ClientAccount | None
) -> Regions:
    """Returns what a newer document allows a request that is in progress.

    Args:
        document: The newer document.
        route: The request's route, from the document at its admission.
        account: The caller's account, from the document at its admission.
    """
    newer_route = next(
        (r for r in document.routes if r.name == route.name), route
    )
    newer_account = account
    if account is not None:
        newer_account = next(
            (a for a in document.accounts if a.name == account.name), account
        )
    return allowed_regions(newer_route, newer_account)


class DomainRegions:
    """Region of each failure domain.

    A domain whose region is not known counts as outside of all homes: a request
    that must not leave its homes is refused rather than sent there.
    """

    __slots__ = ("_regions", "_unknown", "_reported")

    def __init__(self, regions: Mapping[str, str] | None = None) -> None:
        self._regions = {d: r for d, r in (regions or {}).items() if r}
        self._unknown: set[str] = set()
        self._reported: set[str] = set()

    def allows(self, failure_domain: str, regions: Regions) -> bool:
        """Returns whether a failure domain is in one of the regions."""
        if regions is None:
            return True
        region = self._regions.get(failure_domain)
        if region is None and len(self._reported) < UNKNOWN_DOMAINS_MAX:
            self._unknown.add(failure_domain)
        return region in regions

    def allows_any(
        self, failure_domains: Iterable[str], regions: Regions
    ) -> bool:
        """Returns whether one of the failure domains is in the regions."""
        return any(self.allows(d, regions) for d in failure_domains)

    def take_unknown(self) -> list[str]:
        """Returns the domains without a known region met for the first time."""
        if not self._unknown:
            return []
        taken = sorted(self._unknown - self._reported)
        self._reported.update(taken)
        self._unknown.clear()
        return taken
