"""Control calls to upstreams: load reports, cache events and orders."""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

import anyio
import httpx
import orjson
from loguru import logger

from applespring.core.errors import MessageError
from applespring.core.fleet import Fleet, Pool, StageKind, Upstream
from applespring.core.gate import LoadReport
from applespring.core.order import (
    EngineReport,
    EngineState,
    Order,
    OrderPlanner,
)
from applespring.core.placement import rank
from applespring.core.prefix import CacheChange, CacheEvent
from applespring.core.self_report import SelfReport
from applespring.entry.execution.calls import WriteProbe, read_self_report
from applespring.entry.execution.gates import Clock, Gates
from applespring.entry.execution.permits import CallPermits
from applespring.entry.monitoring.metrics import Metrics

CONTROL_BYTES_MAX = 256 * 1024
CONTROL_TIMEOUT_S = 2.0
ORDER_TIMEOUT_S = 30.0
ORDER_INTERVAL_S = 1.0
CACHE_INTERVAL_S = 1.0
# Bound on the engines whose cache events are read, summed over all instances: 9
# instances read those of 64 engines each, and 350 instances those of 2 each.
# Each read costs about 1 ms of CPU time, and the events of one engine are some
# KB per second.
FLEET_CACHES_MAX = 9 * 64
CACHES_MIN = 2
BLOCK_HEX_DIGITS_MAX = 16

CACHE_CHANGES = {
    "stored": CacheChange.STORED,
    "evicted": CacheChange.REMOVED,
}


class UpstreamReport:
    """The reply to `GET /v1/load`.

    Attributes:
        state: `serving` or `leaving`.
        running: Number of calls being executed.
        waiting: Number of calls in the queue of the upstream.
        slots: Number of calls that it executes at the same time.
        age_ms: Age of these numbers when sent, in milliseconds.
        engine: Model, adapter, version and role of an engine; "" for others.
    """

    __slots__ = ("state", "running", "waiting", "slots", "age_ms", "engine")

    def __init__(self, document: Mapping[str, Any]) -> None:
        """Initializes the report from the parsed reply.

        Raises:
            MessageError: A field is missing or out of range.
        """
        self.state = document.get("state")
        if self.state not in ("serving", "leaving"):
            raise MessageError(
                f"load report has the unknown state {self.state!r}"
            )
        self.running = _read_count(document, "running")
        self.waiting = _read_count(document, "waiting")
        self.slots = _read_count(document, "slots")
        self.age_ms = _read_count(document, "age_ms")
        self.engine = EngineState(
            *(
                str(document.get(name, ""))
                for name in ("model", "adapter", "version", "role")
            )
        )


class ControlClient:
    """Client for the control calls; the `Probe` of `MemberService`.

    Nothing is sent to a paused upstream, and to one with a rate limit only with
    a permit. Its cache events are not read, since calls need the permits more.
    """

    __slots__ = ("_http", "_is_paused", "_on_pause", "_permits")

    def __init__(
        self,
        http: httpx.AsyncClient,
        is_paused: Callable[[str], bool],
        on_pause: Callable[[str, SelfReport], None],
        permits: CallPermits | None = None,
    ) -> None:
        """Initializes the client.

        Args:
            http: Sends the calls.
            is_paused: Returns whether an upstream has asked for no requests.
            on_pause: Records what a response says of its upstream.
            permits: Permits for upstreams with a rate limit, or None if none
                has one.
        """
        self._http = http
        self._is_paused = is_paused
        self._on_pause = on_pause
        self._permits = permits

    async def probe(self, upstream: Upstream) -> UpstreamReport:
        """Reads the load report of an upstream.

        Raises:
            MessageError: The reply is not a valid load report.
            httpx.HTTPError: The upstream did not answer.
        """
        return UpstreamReport(await self._read(upstream, "/v1/load"))

    async def read_cache_events(
        self, upstream: Upstream, after: int
    ) -> list[CacheEvent]:
        """Reads the cache events of an engine.

        Args:
            upstream: The engine.
            after: Sequence number of the last event that was read.

        Raises:
            MessageError: The reply is malformed.
            httpx.HTTPError: The engine did not answer.
        """
        if self._permits and self._permits.is_limited(upstream.name):
            raise MessageError("cache events: the upstream has a rate limit")
        reply = await self._read(upstream, f"/v1/cache_events?after={after}")
        try:
            return [_parse_event(item) for item in reply["events"]]
        except (KeyError, TypeError, ValueError) as exc:
            raise MessageError(f"cache events are malformed: {exc!r}") from exc

    async def send_order(self, order: Order, guard: Callable[[], None]) -> int:
        """Sends an order and returns the HTTP status.

        Args:
            order: The order.
            guard: Called directly before the order is written.

        Raises:
            httpx.HTTPError: The engine did not answer.
            OrderRefusedError: The engine is paused, or its rate limit leaves no
                permit.
        """
        state = order.state
        body = {
            "fence": order.fence,
            "model": state.model,
            "adapter": state.adapter,
            "version": state.version,
            "role": state.role,
        }
        fields = {name: value for name, value in body.items() if value != ""}

        def check_pause() -> None:
            if self._is_paused(order.engine):
                raise OrderRefusedError

        def check_and_guard() -> None:
            guard()
            check_pause()

        check_pause()
        if not await self._has_permit(order.engine):
            raise OrderRefusedError
        async with self._http.stream(
            "POST",
            f"http://{order.address}/v1/orders",
            content=orjson.dumps(fields),
            headers={"Content-Type": "application/json"},
            extensions={"trace": WriteProbe(check_and_guard)},
            timeout=ORDER_TIMEOUT_S,
        ) as resp:
            self._on_pause(order.engine, read_self_report(resp))
            return resp.status_code

    async def _read(self, upstream: Upstream, path: str) -> dict[str, Any]:
        if self._is_paused(upstream.name):
            raise MessageError(f"{path}: the upstream is paused")
        if not await self._has_permit(upstream.name):
            raise MessageError(f"{path}: the rate limit leaves no permit")
        try:
            with anyio.fail_after(CONTROL_TIMEOUT_S):
                content = await self._read_content(upstream, path)
        except TimeoutError as exc:
            raise MessageError(
                f"{path}: the reply did not end within {CONTROL_TIMEOUT_S:g} s"
            ) from exc
        try:
            document = orjson.loads(content)
        except orjson.JSONDecodeError as exc:
            raise MessageError(f"{path}: {exc}") from exc
        if not isinstance(document, dict):
            raise MessageError(f"{path}: the reply is not a JSON object")
        return document

    async def _has_permit(self, name: str) -> bool:
        return (
            self._permits is None
            or not self._permits.is_limited(name)
            or await self._permits.acquire(name) is not None
        )

    async def _read_content(self, upstream: Upstream, path: str) -> bytes:
        content = bytearray()
        async with self._http.stream(
            "GET",
            f"http://{upstream.address}{path}",
            timeout=CONTROL_TIMEOUT_S,
        ) as resp:
            self._on_pause(upstream.name, read_self_report(resp))
            if resp.status_code != 200:
                raise MessageError(f"{path}: status {resp.status_code}")
            async for chunk in resp.aiter_bytes():
                content += chunk
                if len(content) > CONTROL_BYTES_MAX:
                    raise MessageError(
                        f"{path}: the reply exceeds {CONTROL_BYTES_MAX} bytes"
                    )
        return bytes(content)


class OrderRefusedError(Exception):
    """The guard of an order found that it must not be written any more."""


class EngineService:
    """Updates the cache indexes and orders engines into their desired state.

    Attributes:
        reports: Last reported state by engine name.
    """

    __slots__ = (
        "reports",
        "_control",
        "_gates",
        "_planner",
        "_fleet",
        "_confirmed_at",
        "_instances_by_domain",
        "_metrics",
        "_clock",
    )

    def __init__(
        self,
        control: ControlClient,
        gates: Gates,
        planner: OrderPlanner,
        fleet: Callable[[], Fleet | None],
        confirmed_at: Callable[[], float | None],
        instances_by_domain: Callable[[], Mapping[str, Sequence[str]]],
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        """Initializes the service.

        Args:
            control: Client for the control calls.
            gates: Record load reports and cache events.
            planner: Decides on orders.
            fleet: Returns the configuration in force, or None.
            confirmed_at: Returns when the platform last confirmed it as the
                newest, or None.
            instances_by_domain: Returns the names of the live entry instances
                by failure domain.
            metrics: Counts orders and failed reads of cache events.
            clock: Seconds on the monotonic clock.
        """
        self.reports: dict[str, EngineReport] = {}
        self._control = control
        self._gates = gates
        self._planner = planner
        self._fleet = fleet
        self._confirmed_at = confirmed_at
        self._instances_by_domain = instances_by_domain
        self._metrics = metrics
        self._clock = clock

    def record_report(
        self, name: str, report: UpstreamReport, asked_at: float
    ) -> None:
        """Records a load report that `MemberService` has read.

        Args:
            name: Name of the upstream.
            report: Its report.
            asked_at: When the report was requested.
        """
        fleet = self._fleet()
        if fleet is None:
            return
        age_s = report.age_ms / 1000
        load = LoadReport(
            report.state, report.running, report.waiting, report.slots, age_s
        )
        for pool in fleet.pools.values():
            if any(upstream.name == name for upstream in pool.upstreams):
                self._gates.record_report(pool.name, name, load)
                if pool.kind is StageKind.GENERATE:
                    self.reports[name] = EngineReport(
                        report.engine, asked_at - age_s
                    )

    async def run(self) -> None:
        """Reads cache events and sends orders until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_caches)
            tasks.start_soon(self._send_orders)

    async def _follow_caches(self) -> None:
        while True:
            await anyio.sleep(CACHE_INTERVAL_S)
            fleet = self._fleet()
            if fleet is None:
                continue
            followed = self._choose_caches(fleet)
            async with anyio.create_task_group() as tasks:
                for pool, upstream in followed:
                    tasks.start_soon(self._read_cache, pool, upstream)

    def _choose_caches(self, fleet: Fleet) -> list[tuple[Pool, Upstream]]:
        """Returns the engines whose cache events this instance reads.

        The choice is the same in each round, since the index of an engine
        needs all of its events. It differs between instances.
        """
        engines = {
            upstream.name: (pool, upstream)
            for pool in fleet.pools.values()
            if pool.kind is StageKind.GENERATE and pool.cache_events
            for upstream in pool.upstreams
        }
        if not engines:
            return []
        listed = sum(
            len(names) for names in self._instances_by_domain().values()
        )
        count = max(CACHES_MIN, FLEET_CACHES_MAX // max(1, listed))
        if count >= len(engines):
            return list(engines.values())
        ranked = rank(f"cache\x1f{self._planner.name}", engines)
        for name in ranked[count:]:
            pool, _ = engines[name]
            self._gates.gate(pool.name).prefixes.remove_upstream(name)
        return [engines[name] for name in ranked[:count]]

    async def _read_cache(self, pool: Pool, upstream: Upstream) -> None:
        index = self._gates.gate(pool.name).prefixes
        try:
            with anyio.move_on_after(CONTROL_TIMEOUT_S):
                events = await self._control.read_cache_events(
                    upstream, index.last_seq(upstream.name)
                )
                index.apply(upstream.name, events)
        except (MessageError, httpx.HTTPError, OSError):
            self._metrics.events.inc("cache_events_unread")

    async def _send_orders(self) -> None:
        while True:
            await anyio.sleep(ORDER_INTERVAL_S)
            fleet = self._fleet()
            if fleet is None:
                continue
            orders = self._planner.plan(
                fleet,
                self.reports,
                self._instances_by_domain(),
                self._confirmed_at(),
                self._clock(),
            )
            async with anyio.create_task_group() as tasks:
                for order in orders:
                    tasks.start_soon(self._send_order, order)

    async def _send_order(self, order: Order) -> None:
        def guard() -> None:
            fleet = self._fleet()
            revision = 0 if fleet is None else fleet.revision
            confirmed_at = self._confirmed_at()
            if not self._planner.may_send(
                order, revision, confirmed_at, self._clock()
            ):
                raise OrderRefusedError

        try:
            status = await self._control.send_order(order, guard)
        except OrderRefusedError:
            outcome = "withheld"
        except (httpx.HTTPError, OSError):
            outcome = "unanswered"
        else:
            outcome = "obeyed" if status == 200 else "rejected"
        self._metrics.orders.inc(outcome)
        logger.info(
            "order to engine {} with fence {}: {}",
            order.engine,
            order.fence,
            outcome,
        )


def _read_count(document: Mapping[str, Any], name: str) -> int:
    value = document.get(name)
    if type(value) not in (int, float) or not 0 <= value < 2**53:
        raise MessageError(f"load report has the invalid {name} {value!r}")
    return int(value)


def _parse_event(item: Mapping[str, Any]) -> CacheEvent:
    block = item["block"]
    if not isinstance(block, str) or len(block) > BLOCK_HEX_DIGITS_MAX:
        raise ValueError(
            f"block {block!r} is not text of at most {BLOCK_HEX_DIGITS_MAX} "
            "hex digits"
        )
    return CacheEvent(
        int(item["seq"]), CACHE_CHANGES[item["event"]], int(block, 16)
    )
