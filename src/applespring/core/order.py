"""Orders to engines, derived from the desired state in the configuration."""

from collections.abc import Iterable, Mapping, Sequence

import xxhash

from applespring.core.fleet import Fleet, Pool, StageKind, Upstream

# A new configuration reaches the whole fleet within this time. An unfenced
# engine obeys the last order it receives, so an instance that may have missed a
# revision sends it none.
CONFIRMATION_MAX_AGE_S = 8.0
# An engine whose last report is older gets no order.
REPORT_MAX_AGE_S = 5.0
# Delay before an order that had no effect is repeated, doubled each time.
BACKOFF_BASE_S = 5.0
BACKOFF_MAX_S = 120.0
STATE_FIELDS = ("model", "adapter", "version", "role")
WEIGHT_FIELDS = ("model", "adapter", "version")


class EngineState:
    """State of an engine, as desired or as `GET /v1/load` reports it.

    Attributes:
        model: Name of the model.
        adapter: Name of the adapter, or "".
        version: Version of the model, or "".
        role: Role of the engine, for example `prefill`, or "".
    """

    __slots__ = STATE_FIELDS

    def __init__(
        self, model: str, adapter: str = "", version: str = "", role: str = ""
    ) -> None:
        self.model = model
        self.adapter = adapter
        self.version = version
        self.role = role

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, EngineState):
            return NotImplemented
        return all(getattr(self, f) == getattr(other, f) for f in STATE_FIELDS)

    def __hash__(self) -> int:
        return hash(tuple(getattr(self, f) for f in STATE_FIELDS))

    def find_differences(self, reported: "EngineState") -> tuple[str, ...]:
        """Returns the fields in which a reported state differs from this one.

        A field that the configuration leaves empty is not ordered, so any
        reported value of it agrees.
        """
        return tuple(
            field
            for field in STATE_FIELDS
            if getattr(self, field)
            and getattr(self, field) != getattr(reported, field)
        )


class EngineReport:
    """Last reported state of an engine.

    Attributes:
        state: The reported state.
        observed_at: Seconds on the monotonic clock at which the engine was in
            this state.
    """

    __slots__ = ("state", "observed_at")

    def __init__(self, state: EngineState, at: float) -> None:
        self.state = state
        self.observed_at = at


class Order:
    """One order to one engine.

    Attributes:
        engine: Name of the upstream.
        address: `IP:port` of the upstream.
        fence: Configuration revision from which the order was derived.
        state: The desired state.
        fenced: Whether the engine rejects an order with a fence below the
            highest that it received.
    """

    __slots__ = ("engine", "address", "fence", "state", "fenced")

    def __init__(
        self, upstream: Upstream, fence: int, state: EngineState, fenced: bool
    ) -> None:
        self.engine = upstream.name
        self.address = upstream.address
        self.fence = fence
        self.state = state
        self.fenced = fenced


class WeightTokenBucket:
    """Token bucket for this instance's share of the rate of weight loads.

    One token allows one order that makes an engine load weights. At the start
    the bucket holds a fraction of a token that a hash of the instance's name
    gives, which spreads the first tokens over one interval. If buckets started
    full, a restart of the fleet would load weights through every instance at
    once.
    """

    __slots__ = ("_tokens", "_refilled_at")

    def __init__(self, name: str, now: float) -> None:
        self._tokens = xxhash.xxh3_64_intdigest(name.encode()) / 2**64
        self._refilled_at = now

    def refill(self, tokens_per_s: float, now: float) -> None:
        """Adds the tokens earned since the last call, up to one."""
        earned = max(0.0, now - self._refilled_at) * tokens_per_s
        self._tokens = min(1.0, self._tokens + earned)
        self._refilled_at = max(self._refilled_at, now)

    def take(self) -> bool:
        """Takes one token and returns True, or returns False without one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class _SentOrders:
    """Orders already sent to one engine for one desired state.

    Attributes:
        state: The desired state.
        attempts: Number of orders sent.
        next_due_at: Seconds on the monotonic clock before which the order is
            not repeated.
    """

    __slots__ = ("state", "attempts", "next_due_at")

    def __init__(self, state: EngineState) -> None:
        self.state = state
        self.attempts = 0
        self.next_due_at = 0.0


def _hash_pair(engine: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{engine}\0{name}".encode())


def find_issuer(engine: str, instances: Iterable[str]) -> str:
    """Returns the instance that issues orders to an engine.

    Args:
        engine: Name of the engine.
        instances: Names of the live entry instances that may issue.

    Returns:
        The name with the highest rendezvous hash, or "" if there is none.
    """
    return max(
        instances,
        key=lambda name: (_hash_pair(engine, name), name),
        default="",
    )


def derive_state(pool: Pool) -> EngineState | None:
    """Returns the state that a pool's engines should have.

    It is None for pools that do not generate or that specify no field.
    """
    if pool.kind is not StageKind.GENERATE:
        return None
    state = EngineState(pool.model, pool.adapter, pool.version, pool.role)
    return state if any(getattr(state, f) for f in STATE_FIELDS) else None


class OrderPlanner:
    """Decides which orders this instance sends now.

    Attributes:
        name: Name of this instance.
        withheld: Number of orders not planned because the configuration was
            not confirmed within `CONFIRMATION_MAX_AGE_S`.
    """

    __slots__ = ("name", "withheld", "_sent_orders", "_bucket")

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.withheld = 0
        self._sent_orders: dict[str, _SentOrders] = {}
        self._bucket = WeightTokenBucket(name, now)

    def plan(
        self,
        fleet: Fleet,
        reports: Mapping[str, EngineReport],
        entries: Mapping[str, Sequence[str]],
        confirmed_at: float | None,
        now: float,
    ) -> list[Order]:
        """Returns the orders due now and records them as sent.

        Args:
            fleet: Configuration in force.
            reports: Engine name to its last report.
            entries: Failure domain to the names of its live entry instances.
            confirmed_at: When the configuration was last confirmed as newest.
            now: Seconds on the monotonic clock.
        """
        entry_count = max(1, sum(len(names) for names in entries.values()))
        self._bucket.refill(fleet.weight_loads_per_s / entry_count, now)
        due = []
        engines: set[str] = set()
        for pool in fleet.pools.values():
            state = derive_state(pool)
            if state is None:
                continue
            for upstream in pool.upstreams:
                engines.add(upstream.name)
                report = reports.get(upstream.name)
                if (
                    report is None
                    or now - report.observed_at > REPORT_MAX_AGE_S
                ):
                    # The usual case: in a large fleet most reports are too old
                    # at any time.
                    continue
                order = Order(upstream, fleet.revision, state, pool.fencing)
                differences = self._find_due_differences(order, report, now)
                # Finding the issuer hashes every instance name, so it comes
                # last and only for engines that differ.
                if not differences or not self._is_issuer(upstream, entries):
                    continue
                if not self.may_send(order, order.fence, confirmed_at, now):
                    self.withheld += 1
                    continue
                due.append((order, differences))
        for engine in self._sent_orders.keys() - engines:
            del self._sent_orders[engine]
        # Engines with fewer attempts come first, or an engine that never
        # complies could take every token.
        due.sort(key=lambda item: self._sent_orders[item[0].engine].attempts)
        return [
            order
            for order, differences in due
            if self._try_record_sent(order, differences, now)
        ]

    def may_send(
        self,
        order: Order,
        revision: int,
        confirmed_at: float | None,
        now: float,
    ) -> bool:
        """Returns whether an order may be sent, directly before it is written.

        An order of an older revision is outdated. An unfenced engine would also
        obey an order of a revision that is no longer the newest.

        Args:
            order: The planned order.
            revision: Revision in force now.
            confirmed_at: When that revision was last confirmed as newest.
            now: Seconds on the monotonic clock.
        """
        if order.fence != revision:
            return False
        if order.fenced:
            return True
        return (
            confirmed_at is not None
            and now - confirmed_at <= CONFIRMATION_MAX_AGE_S
        )

    def _is_issuer(
        self, upstream: Upstream, entries: Mapping[str, Sequence[str]]
    ) -> bool:
        # The instances of the other failure domains send the orders to engines
        # of a domain without live entry instances, which would get none
        # otherwise.
        local = entries.get(upstream.failure_domain)
        names = local or [n for group in entries.values() for n in group]
        return find_issuer(upstream.name, names) == self.name

    def _find_due_differences(
        self, order: Order, report: EngineReport, now: float
    ) -> tuple[str, ...]:
        """Returns the fields that an order due now would change."""
        differences = order.state.find_differences(report.state)
        if not differences:
            self._sent_orders.pop(order.engine, None)
            return ()
        sent = self._sent_orders.get(order.engine)
        if sent is None or sent.state != order.state:
            sent = self._sent_orders[order.engine] = _SentOrders(order.state)
        return differences if now >= sent.next_due_at else ()

    def _try_record_sent(
        self, order: Order, differences: tuple[str, ...], now: float
    ) -> bool:
        """Records an order as sent, unless it needs a token and none is left.

        Only orders that make the engine load weights need one.

        Returns:
            Whether the order may be sent now.
        """
        loads_weights = any(field in WEIGHT_FIELDS for field in differences)
        if loads_weights and not self._bucket.take():
            return False
        sent = self._sent_orders[order.engine]
        delay_s = BACKOFF_BASE_S * 2 ** min(sent.attempts, 10)
        sent.next_due_at = now + min(BACKOFF_MAX_S, delay_s)
        sent.attempts += 1
        return True
