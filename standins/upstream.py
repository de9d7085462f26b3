"""Common base of the stand-ins for upstreams."""

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from typing import Any

import anyio

from standins.record import Execution, Record
from standins.web import App, Reply, WebError, WebRequest, json_reply

NOT_RUN_HEADERS = {"applespring_not_run": "true", "retry_after": "1"}


class SlotQueue:
    """Slots for running calls, with a bounded priority queue for waiting ones.

    Attributes:
        running: Number of calls that occupy a slot.
        capacity: Number of slots.
        queue_max: Most calls that wait.
        on_change: Called after each change of `running` or `waiting`.
    """

    __slots__ = (
        "running",
        "capacity",
        "queue_max",
        "on_change",
        "_queue",
        "_sequence",
    )

    def __init__(self, capacity: int, queue_max: int) -> None:
        self.running = 0
        self.capacity = capacity
        self.queue_max = queue_max
        self.on_change: Callable[[], None] = lambda: None
        self._queue: list[tuple[int, int, anyio.Event]] = []
        self._sequence = itertools.count()

    @property
    def waiting(self) -> int:
        """Number of calls in the queue."""
        return len(self._queue)

    async def acquire(self, priority: int = 0) -> None:
        """Takes a slot, and waits for one if all are occupied.

        Args:
            priority: Lower values go first; equal ones in order of arrival.

        Raises:
            WebError: The queue is full (503, not run).
        """
        if self.running < self.capacity:
            self.running += 1
            self.on_change()
            return
        if len(self._queue) >= self.queue_max:
            raise WebError(
                503,
                f"queue is full: {self.queue_max} calls wait",
                **NOT_RUN_HEADERS,
            )
        entry = (priority, next(self._sequence), anyio.Event())
        heapq.heappush(self._queue, entry)
        self.on_change()
        try:
            await entry[2].wait()
        except BaseException:
            if entry in self._queue:
                self._queue.remove(entry)
                heapq.heapify(self._queue)
                self.on_change()
            else:
                self.release()
            raise

    def release(self) -> None:
        """Frees a slot, or passes it to the next waiting call."""
        if self._queue:
            heapq.heappop(self._queue)[2].set()
        else:
            self.running -= 1
        self.on_change()


class LoadHistory:
    """Load values of the recent past, for delayed load reports.

    Attributes:
        lag_s: Seconds by which reports are delayed.
    """

    __slots__ = ("lag_s", "_values")

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self._values: deque[tuple[float, dict[str, Any]]] = deque()

    def add(self, values: dict[str, Any]) -> None:
        """Adds the values that are valid from now on."""
        now = anyio.current_time()
        self._values.append((now, values))
        self._evict(now)

    def _evict(self, now: float) -> None:
        while len(self._values) > 1 and self._values[1][0] <= now - self.lag_s:
            self._values.popleft()

    def report(self) -> dict[str, Any]:
        """Returns the values of `lag_s` seconds ago, with their `age_ms`.

        They are the oldest ones if the history is shorter.
        """
        now = anyio.current_time()
        self._evict(now)
        since, values = self._values[0]
        age_s = min(self.lag_s, now - since)
        return values | {"age_ms": round(age_s * 1000)}


class Upstream(App):
    """An upstream with slots, load reports and a record of executions.

    Attributes:
        kind: Kind of stage that it computes.
        slots: Number of calls that it runs at full speed, as load reports
            tell it; an engine runs more calls at lower speed.
        slot_queue: The slots of running calls and the queue for them.
        record: The calls executed.
        idempotent: Whether a call may be executed twice.
        effect: Whether an execution counts as running the request.
        reports_load: Whether it answers `GET /v1/load`.
        leaving_since: Monotonic seconds at which its state became `leaving`,
            or None in another state.
    """

    def __init__(
        self,
        name: str,
        kind: str,
        *,
        slots: int,
        slot_queue: SlotQueue,
        load_lag_s: float,
        idempotent: bool = True,
        effect: bool = True,
        reports_load: bool = True,
    ) -> None:
        super().__init__(name)
        self.kind = kind
        self.slots = slots
        self.slot_queue = slot_queue
        self.slot_queue.on_change = self.record_load
        self.record = Record()
        self.idempotent = idempotent
        self.effect = effect
        self.reports_load = reports_load
        self.leaving_since: float | None = None
        self._history = LoadHistory(load_lag_s)
        self._load_recorded = False
        self.routes |= {
            ("GET", "/v1/load"): self.get_load,
            ("GET", "/admin/executions"): self.get_executions,
        }

    def load_values(self) -> dict[str, Any]:
        """Returns the current load."""
        return {
            "state": self.state,
            "running": self.slot_queue.running,
            "waiting": self.slot_queue.waiting,
            "slots": self.slots,
        }

    def record_load(self) -> None:
        """Records the current load, for reports after the lag."""
        if self.reports_load:
            self._load_recorded = True
            self._history.add(self.load_values())

    def state_changed(self) -> None:
        """Records the time at which the state became `leaving`."""
        leaving = self.state == "leaving"
        self.leaving_since = anyio.current_time() if leaving else None
        self.record_load()

    async def acquire_slot(self, req: WebRequest, priority: int = 0) -> None:
        """Takes a slot until the request ends.

        Raises:
            WebError: The queue is full (503, not run).
        """
        if not self._load_recorded:
            self.record_load()
        await self.slot_queue.acquire(priority)
        req.end_callbacks.append(self.slot_queue.release)

    def start_execution(
        self, req: WebRequest, call: dict[str, Any]
    ) -> Execution:
        """Records the start of a call.

        A call that has not finished when `req` ends is recorded as finished
        but not completed.
        """
        execution = self.record.start(
            str(call["request_id"]),
            str(call.get("stage", "")),
            call.get("attempt", 1),
            req.headers.get("idempotency-key", ""),
        )

        def end() -> None:
            if execution.finished is None:
                execution.finish(False)

        req.end_callbacks.append(end)
        return execution

    async def get_load(self, _req: WebRequest) -> Reply:
        """Returns the load as it was `load_lag_s` ago."""
        if not self.reports_load:
            raise WebError(404, f"{self.name} does not report its load")
        if not self._load_recorded:
            self.record_load()
        return json_reply(self._history.report())

    async def get_executions(self, _req: WebRequest) -> Reply:
        """Returns the record of executions."""
        return json_reply(
            {
                "name": self.name,
                "kind": self.kind,
                "idempotent": self.idempotent,
                "effect": self.effect,
                "leaving_since": self.leaving_since,
                "dropped": self.record.dropped,
                "executions": [e.to_json() for e in self.record.executions],
            }
        )


def check_call(call: dict[str, Any], **types: type) -> None:
    """Checks the types of members of a call.

    Args:
        call: The call.
        **types: Type that each member must have.

    Raises:
        WebError: A member is missing or has another type (400, not run).
    """
    for name, expected_type in types.items():
        if type(call.get(name)) is not expected_type:
            message = (
                f"{name} must be of type {expected_type.__name__}, "
                f"got {type(call.get(name)).__name__}"
            )
            raise WebError(400, message, **NOT_RUN_HEADERS)
