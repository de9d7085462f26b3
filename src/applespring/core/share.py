"""Share of pools and accounts for this instance, by its peers' demand."""

from collections.abc import Iterable, Mapping

SUMMARY_MAX_AGE_S = 3.0
RATE_HALF_LIFE_S = 2.0
MAX_ACCOUNTS = 4096
# The rate caused by a single request falls below this after 11 s.
IDLE_RATE_PER_S = 0.0075
# Smallest share, as a fraction of an equal share: an instance whose demand has
# just started needs slots before its peers have received a heartbeat with it.
MIN_EQUAL_SHARE_FRACTION = 0.25

_LN2 = 0.6931471805599453


class PeerSummary:
    """Demand at one peer, from its last heartbeat.

    Attributes:
        instance: Name of the peer.
        received_at: When the heartbeat was received, in seconds.
        pools: Pool name to demand, in requests per second.
        accounts: Account name to demand, in requests per second; only the
            busiest accounts.
    """

    __slots__ = ("instance", "received_at", "pools", "accounts")

    def __init__(
        self,
        instance: str,
        received_at: float,
        pools: Mapping[str, float],
        accounts: Mapping[str, float],
    ) -> None:
        self.instance = instance
        self.received_at = received_at
        self.pools = pools
        self.accounts = accounts


class DemandRate:
    """Rate of events, averaged with exponential decay."""

    __slots__ = ("_count", "_updated_at")

    def __init__(self) -> None:
        self._count = 0.0
        self._updated_at = 0.0

    def add(self, now: float, events: float = 1.0) -> None:
        """Counts events that occur at `now`."""
        self._count = self._remaining(now) + events
        self._updated_at = max(self._updated_at, now)

    def rate(self, now: float) -> float:
        """Returns the rate in events per second."""
        return self._remaining(now) * _LN2 / RATE_HALF_LIFE_S

    def _remaining(self, now: float) -> float:
        elapsed = max(0.0, now - self._updated_at)
        return self._count * 0.5 ** (elapsed / RATE_HALF_LIFE_S)


class AccountDemand:
    """Request rates of the accounts that send requests to this instance.

    When `MAX_ACCOUNTS` are held, a new one evicts the half with the lowest
    rates.
    """

    __slots__ = ("_rates",)

    def __init__(self) -> None:
        self._rates: dict[str, DemandRate] = {}

    def add(self, account: str, now: float) -> None:
        """Counts one request of an account."""
        rate = self._rates.get(account)
        if rate is None:
            if len(self._rates) >= MAX_ACCOUNTS:
                self._rates = dict(self._busiest_rates(MAX_ACCOUNTS // 2, now))
            rate = self._rates[account] = DemandRate()
        rate.add(now)

    def rate(self, account: str, now: float) -> float:
        """Returns an account's rate in requests per second, 0 if unknown."""
        rate = self._rates.get(account)
        return rate.rate(now) if rate else 0.0

    def busiest(self, count: int, now: float) -> dict[str, float]:
        """Returns the accounts with the highest rates, for the heartbeat.

        Accounts below `IDLE_RATE_PER_S` are removed, or each heartbeat would
        sort every account that has ever sent a request.
        """
        rates = {name: rate.rate(now) for name, rate in self._rates.items()}
        for name, rate in rates.items():
            if rate < IDLE_RATE_PER_S:
                del self._rates[name]
        active = [(n, r) for n, r in rates.items() if r >= IDLE_RATE_PER_S]
        active.sort(key=lambda item: (-item[1], item[0]))
        return dict(active[:count])

    def _busiest_rates(
        self, count: int, now: float
    ) -> list[tuple[str, DemandRate]]:
        ordered = sorted(
            self._rates.items(), key=lambda item: (-item[1].rate(now), item[0])
        )
        return ordered[:count]


def pool_share(
    pool: str,
    local_demand: float,
    summaries: Iterable[PeerSummary],
    listed_instances: int,
    now: float,
) -> float:
    """Returns the fraction of a pool's slots for this instance.

    Without a recent summary of any peer it is an equal share.

    Args:
        pool: Name of the pool.
        local_demand: Demand for the pool here, in requests per second.
        summaries: The newest summary of each peer, without this instance.
        listed_instances: Entry instances on the instance list, with this one.
        now: Current time in seconds.
    """
    demands = [
        max(0.0, summary.pools.get(pool, 0.0))
        for summary in summaries
        if now - summary.received_at <= SUMMARY_MAX_AGE_S
    ]
    equal = 1.0 / max(1, listed_instances)
    return max(
        _demand_fraction(local_demand, demands, listed_instances),
        equal * MIN_EQUAL_SHARE_FRACTION,
    )


def account_weight(
    weight: float,
    account: str,
    local_demand: float,
    summaries: Iterable[PeerSummary],
    listed_instances: int,
    now: float,
) -> float:
    """Returns the weight of an account in this instance.

    Apart from the smallest share, the weights of all instances add up to the
    account's weight in the document, so an account whose requests reach only
    one instance gets as much as one whose requests reach all. Arguments are
    as in `pool_share`.
    """
    demands = [
        max(0.0, summary.accounts.get(account, 0.0))
        for summary in summaries
        if now - summary.received_at <= SUMMARY_MAX_AGE_S
    ]
    fraction = _demand_fraction(local_demand, demands, listed_instances)
    return weight * max(
        fraction, MIN_EQUAL_SHARE_FRACTION / max(1, listed_instances)
    )


def _demand_fraction(
    local_demand: float, demands: list[float], listed_instances: int
) -> float:
    listed_instances = max(1, listed_instances)
    total = local_demand + sum(demands)
    if not demands or total <= 0.0:
        return 1.0 / listed_instances
    fleet_demand = total / (len(demands) + 1) * listed_instances
    return min(1.0, local_demand / fleet_demand)
