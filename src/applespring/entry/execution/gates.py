"""Asynchronous access to the pool gates.

The gates of `core.gate` decide without waiting; this module wakes the tasks
whose tickets were granted or refused.
"""

import random
from collections.abc import Callable, Collection

import anyio

from applespring.core.errors import FailureKind, RefusalError
from applespring.core.fleet import Fleet, Pool
from applespring.core.gate import Grant, LoadReport, PoolGate, Ticket

# Interval of the deadline check while no ticket is queued.
IDLE_WAIT_S = 60.0

Clock = Callable[[], float]


class _Waiter:
    """The outcome of a queued ticket: a grant or a refusal, once set."""

    __slots__ = ("event", "grant", "refusal")

    def __init__(self) -> None:
        self.event = anyio.Event()
        self.grant: Grant | None = None
        self.refusal: RefusalError | None = None

    def resolve(
        self, grant: Grant | None, refusal: RefusalError | None
    ) -> None:
        self.grant = grant
        self.refusal = refusal
        self.event.set()


class Gates:
    """The gates of all pools, and the tasks whose tickets are queued there."""

    __slots__ = (
        "_failure_domain",
        "_clock",
        "_rng",
        "_policy",
        "_gates",
        "_waiters",
        "_queue_changed",
    )

    def __init__(
        self,
        failure_domain: str,
        clock: Clock,
        rng: random.Random,
        policy: str = "two_choices",
    ) -> None:
        self._failure_domain = failure_domain
        self._clock = clock
        self._rng = rng
        self._policy = policy
        self._gates: dict[str, PoolGate] = {}
        self._waiters: dict[Ticket, _Waiter] = {}
        self._queue_changed = anyio.Event()

    def apply(self, fleet: Fleet) -> None:
        """Applies the pools of a new configuration.

        A pool that the new document does not name keeps its gate, since
        requests admitted under the old document may still use it.
        """
        now = self._clock()
        for name, pool in fleet.pools.items():
            gate = self._gates.get(name)
            if gate is None:
                gate = self._gates[name] = self._create_gate(pool)
            else:
                gate.replace_pool(pool, now)
            gate.set_preference(fleet.prefer)
            self._process_queue(gate)

    def gate(self, pool: str) -> PoolGate:
        """Returns the gate of a pool.

        Raises:
            KeyError: No configuration has named the pool.
        """
        return self._gates[pool]

    def all_gates(self) -> dict[str, PoolGate]:
        """Returns the gates by the name of their pool."""
        return dict(self._gates)

    async def acquire(self, pool: str, ticket: Ticket) -> Grant:
        """Waits for the grant of a ticket.

        Raises:
            RefusalError: The ticket was shed or cannot meet its deadline.
        """
        gate = self._gates[pool]
        waiter = _Waiter()
        self._waiters[ticket] = waiter
        try:
            for shed in gate.submit(ticket, self._clock()):
                self._refuse(gate, shed)
            await self._wait_for_outcome(gate, ticket, waiter)
        finally:
            del self._waiters[ticket]
        if waiter.refusal is not None:
            raise waiter.refusal
        assert waiter.grant is not None
        return waiter.grant

    def finish(
        self,
        pool: str,
        grant: Grant,
        kind: FailureKind | None,
        latency_s: float,
    ) -> None:
        """Returns a grant and grants queued tickets that can start now.

        Args:
            pool: Name of the pool.
            grant: The grant of the attempt that ended.
            kind: How the attempt failed, or None if it succeeded.
            latency_s: Duration of the attempt.
        """
        gate = self._gates[pool]
        gate.finish(grant, kind, latency_s, self._clock())
        self._process_queue(gate)

    def set_usable(
        self, pool: str, names: Collection[str], opens_at: float
    ) -> None:
        """Sets which upstreams of a pool may receive new work.

        Args:
            pool: Name of the pool.
            names: Names of the upstreams.
            opens_at: When the first one may again if all are paused, else
                -inf.
        """
        gate = self._gates.get(pool)
        if gate is not None:
            gate.set_usable(names, self._clock(), opens_at)
            self._process_queue(gate)

    def record_report(
        self, pool: str, upstream: str, report: LoadReport
    ) -> None:
        """Records a load report; ignored for a pool without a gate."""
        gate = self._gates.get(pool)
        if gate is not None:
            gate.record_report(upstream, report, self._clock())
            self._process_queue(gate)

    def set_share(self, pool: str, fraction: float) -> None:
        """Sets this instance's share of a pool's slots, 0 to 1."""
        gate = self._gates.get(pool)
        if gate is not None:
            gate.set_share(fraction, self._clock())
            self._process_queue(gate)

    async def run(self) -> None:
        """Refuses tickets that can no longer meet their deadline."""
        while True:
            self._queue_changed = anyio.Event()
            with anyio.move_on_after(self._next_check_delay_s()):
                await self._queue_changed.wait()
            for gate in list(self._gates.values()):
                self._process_queue(gate)

    async def _wait_for_outcome(
        self, gate: PoolGate, ticket: Ticket, waiter: _Waiter
    ) -> None:
        """Waits for the outcome; withdraws the ticket on cancellation."""
        try:
            self._process_queue(gate)
            self._queue_changed.set()
            await waiter.event.wait()
        except BaseException:
            self._withdraw(gate, ticket, waiter)
            raise

    def _create_gate(self, pool: Pool) -> PoolGate:
        return PoolGate(pool, self._failure_domain, self._rng, self._policy)

    def _next_check_delay_s(self) -> float:
        now = self._clock()
        check_times = [gate.next_wake(now) for gate in self._gates.values()]
        due = [at for at in check_times if at is not None]
        return max(0.001, min(due, default=now + IDLE_WAIT_S) - now)

    def _process_queue(self, gate: PoolGate) -> None:
        """Wakes the tasks of tickets that are granted or are now too late."""
        grants, late = gate.take(self._clock())
        for grant in grants:
            waiter = self._waiters.get(grant.ticket)
            if waiter is not None:
                waiter.resolve(grant, None)
        for ticket in late:
            self._refuse(gate, ticket)

    def _refuse(self, gate: PoolGate, ticket: Ticket) -> None:
        waiter = self._waiters.get(ticket)
        if waiter is not None:
            waiter.resolve(None, gate.refusal(ticket, self._clock()))

    def _withdraw(
        self, gate: PoolGate, ticket: Ticket, waiter: _Waiter
    ) -> None:
        """Removes the ticket of a cancelled task, or returns its grant.

        The grant may have been set before the cancelled task could run.
        """
        now = self._clock()
        if waiter.grant is not None:
            gate.finish(waiter.grant, FailureKind.CANCELLED, 0.0, now)
        elif waiter.refusal is None:
            gate.withdraw(ticket, now)
        self._process_queue(gate)
