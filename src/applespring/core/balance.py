"""Registry of load-balancing policies and the default policy."""

import random
from collections.abc import Callable, Iterable, Sequence

from applespring.core.pool_upstream import PoolUpstream
from applespring.core.prefix import MAX_PREFIX_BLOCKS, PrefixIndex
from applespring.core.ticket import Ticket

# Reduction of the score for a completely cached prefix. It offsets twice the
# load: the cache saves the prefill, at most about half of a call's time.
PREFIX_AFFINITY = 0.5
# The score is divided by this minus the failure ratio; being above 1, it keeps
# the divisor positive when all calls fail.
FAILURE_OFFSET = 1.05


class SelectionContext:
    """Inputs of a policy besides the candidates and the ticket.

    Attributes:
        rng: Random number generator.
        prefixes: Index of the cached prefix blocks of each upstream.
        failure_domain: Failure domain of this instance, or "".
        median_s: Median of the upstreams' mean latencies, in seconds; 0 if
            too few upstreams have recent samples.
        high_quantile_s: High quantile of the pool's latency, in seconds.
        selection_count: Selections made so far, for policies that rotate.
    """

    __slots__ = (
        "rng",
        "prefixes",
        "failure_domain",
        "median_s",
        "high_quantile_s",
        "selection_count",
    )

    def __init__(
        self, rng: random.Random, prefixes: PrefixIndex, failure_domain: str
    ) -> None:
        self.rng = rng
        self.prefixes = prefixes
        self.failure_domain = failure_domain
        self.median_s = 0.0
        self.high_quantile_s = 0.0
        self.selection_count = 0


Select = Callable[
    [Sequence[PoolUpstream], Ticket, SelectionContext, float], PoolUpstream
]


class Policy:
    """A load-balancing policy, as registered.

    Attributes:
        name: Name in the settings.
        select: Chooses one of at least one candidate.
        managed: Whether limits, health, the preference for the local failure
            domain and admission by expected waits apply. Baseline policies
            without them serve for comparison only.
    """

    __slots__ = ("name", "select", "managed")

    def __init__(self, name: str, select: Select, managed: bool) -> None:
        self.name = name
        self.select = select
        self.managed = managed


_POLICIES: dict[str, Policy] = {}


def policy(name: str, *, managed: bool = True) -> Callable[[Select], Select]:
    """Registers the decorated function as a policy.

    Raises:
        ValueError: A policy of this name is registered already.
    """

    def register(select: Select) -> Select:
        if name in _POLICIES:
            raise ValueError(f"policy {name!r} is registered already")
        _POLICIES[name] = Policy(name, select, managed)
        return select

    return register


def find_policy(name: str) -> Policy:
    """Returns a registered policy.

    Raises:
        ValueError: No policy has this name.
    """
    found = _POLICIES.get(name)
    if found is None:
        known = ", ".join(sorted(_POLICIES))
        raise ValueError(f"unknown policy {name!r}, known: {known}")
    return found


def is_eligible(
    upstream: PoolUpstream, ticket: Ticket, failure_domain: str
) -> bool:
    """Returns whether a ticket may go to an upstream, regardless of load."""
    if not upstream.usable or upstream.leaving:
        return False
    if ticket.exclude and upstream.config.name in ticket.exclude:
        return False
    return ticket.spill != "never" or in_same_domain(upstream, failure_domain)


def in_same_domain(upstream: PoolUpstream, failure_domain: str) -> bool:
    """Returns whether an upstream is in this instance's failure domain.

    An instance without a failure domain treats every upstream as such.
    """
    return not failure_domain or (
        upstream.config.failure_domain == failure_domain
    )


def candidates(
    startable: Iterable[PoolUpstream],
    upstreams: Iterable[PoolUpstream],
    ticket: Ticket,
    context: SelectionContext,
    now: float,
) -> list[PoolUpstream]:
    """Returns the startable upstreams that the ticket prefers most.

    Healthy upstreams come first, and with spill "full" those of this
    instance's failure domain. If the healthy ones cannot start a call now, a
    suspect upstream may get one when its probe is due; otherwise the call
    waits, since a wait for a healthy upstream is better than failing at an
    unhealthy one. Only if no healthy upstream is eligible at all do the
    unhealthy ones get calls without such a limit: a pool must not stop because
    every upstream has failures.

    Args:
        startable: The upstreams that may start a call.
        upstreams: All upstreams of the pool.
        ticket: The call that needs an upstream.
        context: Supplies the failure domain of this instance.
        now: Current time in seconds.
    """
    same_domain: list[PoolUpstream] = []
    other_domain: list[PoolUpstream] = []
    unhealthy: list[PoolUpstream] = []
    domain = context.failure_domain
    for upstream in startable:
        if not is_eligible(upstream, ticket, domain):
            continue
        if not upstream.healthy:
            unhealthy.append(upstream)
        elif ticket.spill == "any" or in_same_domain(upstream, domain):
            same_domain.append(upstream)
        else:
            other_domain.append(upstream)
    if same_domain or other_domain or not unhealthy:
        return same_domain or other_domain
    if any(u.healthy and is_eligible(u, ticket, domain) for u in upstreams):
        return [u for u in unhealthy if _may_probe(u, now)]
    return unhealthy


def _may_probe(upstream: PoolUpstream, now: float) -> bool:
    return not upstream.stalled and now >= upstream.health.next_probe_at


def score(
    upstream: PoolUpstream,
    ticket: Ticket,
    context: SelectionContext,
    now: float,
) -> float:
    """Returns the relative cost of a call at an upstream; lower is better."""
    health = upstream.health
    capacity = max(1, upstream.limit.slots) * health.weight(now)
    cost = (upstream.load(now) + 1.0) / capacity
    cost /= FAILURE_OFFSET - health.failure_ratio
    if context.median_s > 0.0:
        cost *= max(1.0, upstream.latency.mean(now) / context.median_s)
    if ticket.prefix:
        matched = context.prefixes.match(upstream.config.name, ticket.prefix)
        prefix_blocks = min(len(ticket.prefix), MAX_PREFIX_BLOCKS)
        cost *= 1.0 - PREFIX_AFFINITY * matched / prefix_blocks
    return cost


@policy("two_choices")
def select_of_two(
    upstreams: Sequence[PoolUpstream],
    ticket: Ticket,
    context: SelectionContext,
    now: float,
) -> PoolUpstream:
    """Chooses the lowest score of two random upstreams and the best prefix.

    The third candidate is the upstream that has most of the prefix cached.
    """
    count = len(upstreams)
    if count == 1:
        return upstreams[0]
    first = context.rng.randrange(count)
    second = context.rng.randrange(count - 1)
    if second >= first:
        second += 1
    picks = [upstreams[first], upstreams[second]]
    if ticket.prefix:
        # The random rotation spreads calls over equally long matches.
        order = [*upstreams[first:], *upstreams[:first]]
        names = [upstream.config.name for upstream in order]
        longest = context.prefixes.find_longest(names, ticket.prefix)
        if longest is not None:
            picks.append(order[longest])
    return min(picks, key=lambda u: score(u, ticket, context, now))


@policy("round_robin", managed=False)
def select_in_turn(
    upstreams: Sequence[PoolUpstream],
    ticket: Ticket,  # noqa: ARG001
    context: SelectionContext,
    now: float,  # noqa: ARG001
) -> PoolUpstream:
    """Chooses the upstreams in a cycle, regardless of load and health."""
    return upstreams[context.selection_count % len(upstreams)]


@policy("least_requests", managed=False)
def select_least_requests(
    upstreams: Sequence[PoolUpstream],
    ticket: Ticket,  # noqa: ARG001
    context: SelectionContext,
    now: float,  # noqa: ARG001
) -> PoolUpstream:
    """Chooses the upstream with the fewest calls of this instance.

    Ties are broken by rotation.
    """
    start = context.selection_count % len(upstreams)
    order = [*upstreams[start:], *upstreams[:start]]
    return min(order, key=lambda u: len(u.running))
