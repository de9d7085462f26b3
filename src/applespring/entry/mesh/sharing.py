"""Division of upstream slots among entry instances, by their demand."""

from collections.abc import Callable, Sequence

import anyio

from applespring.core.fleet import Pool
from applespring.core.gate import PoolGate
from applespring.core.membership import Membership
from applespring.core.share import (
    SUMMARY_MAX_AGE_S,
    AccountDemand,
    PeerSummary,
    account_weight,
    pool_share,
)
from applespring.entry.drain import DrainService
from applespring.entry.execution.gates import Clock, Gates
from applespring.entry.mesh.peers import (
    HEARTBEAT_ACCOUNTS_MAX,
    HeartbeatContent,
    PeerService,
)
from applespring.peer.message import (
    AccountLoad,
    Leaving,
    PoolLoad,
    UpstreamRate,
)

SHARE_INTERVAL_S = 0.5
# Least time between two times at which upstreams have permits again.
APPLY_INTERVAL_MIN_S = 0.01
# Smallest relative change of a share that is applied. A smaller one shifts less
# than one slot, but applying it makes the gate recalculate its capacity.
SHARE_CHANGE_MIN = 0.01


class Sharing:
    """Reports local demand to peers and derives local shares from theirs.

    Also applies the usable upstreams to the gates.

    Attributes:
        found_upstream: Whether any pool has ever had a usable upstream.
    """

    __slots__ = (
        "found_upstream",
        "_gates",
        "_peers",
        "_membership",
        "_drain",
        "_revision",
        "_accounts",
        "_clock",
        "_is_leaving",
        "_instance_count",
        "_applied_usable",
        "_applied_shares",
        "_list_limits",
        "_changed",
    )

    def __init__(
        self,
        gates: Gates,
        peers: PeerService,
        membership: Membership,
        drain: DrainService,
        revision: Callable[[], int],
        clock: Clock,
        list_limits: Callable[[], Sequence[UpstreamRate]] = tuple,
    ) -> None:
        """Creates the service; nothing is applied to the gates yet.

        Args:
            gates: Measure the local demand and apply the local share.
            peers: Holds the heartbeats received.
            membership: Holds the listed instances and the usable upstreams.
            drain: The shutdown of this instance.
            revision: Returns the configuration revision in force.
            clock: Returns seconds on the monotonic clock.
            list_limits: Returns the rate limits to send to peers.
        """
        self._list_limits = list_limits
        self._changed = anyio.Event()
        self.found_upstream = False
        self._gates = gates
        self._peers = peers
        self._membership = membership
        self._drain = drain
        self._revision = revision
        self._accounts = AccountDemand()
        self._clock = clock
        self._is_leaving = False
        self._instance_count = 1
        self._applied_usable: dict[str, tuple[Pool, set[str], float]] = {}
        self._applied_shares: dict[str, tuple[Pool, float]] = {}

    def announce_leaving(self) -> None:
        """Sets the state in all further heartbeats to `leaving`."""
        self._is_leaving = True

    def record_request(self, account: str) -> None:
        """Counts one request towards the demand of a client account."""
        self._accounts.add(account, self._clock())

    def weight(self, account: str, weight: float) -> float:
        """Returns the part of an account's weight that counts locally.

        Args:
            account: Name of the client account.
            weight: Its weight in the configuration, which is divided among
                all instances.
        """
        now = self._clock()
        return account_weight(
            weight,
            account,
            self._accounts.rate(account, now),
            self._summaries(now),
            self._instance_count,
            now,
        )

    def describe(self) -> HeartbeatContent:
        """Returns the content of the next heartbeat."""
        now = self._clock()
        return HeartbeatContent(
            state="leaving" if self._is_leaving else "live",
            config_revision=self._revision(),
            list_revision=self._membership.listed.revision,
            pools=self._describe_pools(now),
            accounts=[
                AccountLoad(account=name, demand=demand)
                for name, demand in self._accounts.busiest(
                    HEARTBEAT_ACCOUNTS_MAX, now
                ).items()
            ],
            leaving=[
                Leaving(
                    name=notice.name,
                    incarnation=notice.incarnation,
                    age_s=max(0.0, now - notice.received_at),
                )
                for notice in self._membership.recent_notices(now)
            ],
            limits=self._list_limits(),
        )

    async def run(self) -> None:
        """Applies shares and usable upstreams until cancelled."""
        while True:
            self._changed = anyio.Event()
            self.apply()
            now = self._clock()
            opens_in_s = self._membership.next_opening(now) - now
            with anyio.move_on_after(
                min(SHARE_INTERVAL_S, max(APPLY_INTERVAL_MIN_S, opens_in_s))
            ):
                await self._changed.wait()

    def close_limited(self) -> None:
        """Applies that an upstream has no permit left, and when it may have."""
        self.apply()
        self._changed.set()

    def apply(self) -> None:
        """Applies current shares and usable upstreams to all gates."""
        now = self._clock()
        summaries = self._summaries(now)
        self._instance_count = max(1, len(self._membership.entries()))
        for name, gate in self._gates.all_gates().items():
            self._apply_usable(name, gate.pool, now)
            fraction = pool_share(
                name, gate.demand(now), summaries, self._instance_count, now
            )
            self._apply_share(name, gate.pool, fraction)

    def _apply_usable(self, name: str, pool: Pool, now: float) -> None:
        """Applies the usable upstreams of a pool if they have changed.

        They are also applied to a new `Pool`, since a new configuration may
        have replaced upstreams in the gate.
        """
        usable = self._membership.usable(name, now)
        opens_at = float("-inf") if usable else self._membership.opens_at(name)
        self.found_upstream = self.found_upstream or bool(usable)
        if self._applied_usable.get(name) != (pool, usable, opens_at):
            self._applied_usable[name] = (pool, usable, opens_at)
            self._gates.set_usable(name, usable, opens_at)

    def _apply_share(self, name: str, pool: Pool, fraction: float) -> None:
        applied_pool, applied = self._applied_shares.get(name, (None, 0.0))
        if (
            applied_pool is pool
            and abs(fraction - applied) <= SHARE_CHANGE_MIN * applied
        ):
            return
        self._applied_shares[name] = (pool, fraction)
        self._gates.set_share(name, fraction)

    def _describe_pools(self, now: float) -> list[PoolLoad]:
        gates = self._gates.all_gates().items()
        loads = [_describe_pool(name, gate, now) for name, gate in gates]
        return sorted(loads, key=lambda load: -load.demand)

    def _summaries(self, now: float) -> list[PeerSummary]:
        """Returns the demand of each peer from its heartbeat, if recent.

        An instance receives heartbeats of a few peers a second, so in a large
        fleet most of those that it holds are too old to count.
        """
        return [
            PeerSummary(
                name,
                received.received_at,
                {load.pool: load.demand for load in received.heartbeat.pools},
                {a.account: a.demand for a in received.heartbeat.accounts},
            )
            for name, received in self._peers.received_heartbeats.items()
            if now - received.received_at <= SUMMARY_MAX_AGE_S
        ]


def _describe_pool(name: str, gate: PoolGate, now: float) -> PoolLoad:
    counters = gate.counters
    done = counters.succeeded + counters.failed + counters.cancelled
    return PoolLoad(
        pool=name,
        running=counters.granted - done,
        waiting=len(gate),
        demand=gate.demand(now),
    )
