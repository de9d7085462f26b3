"""One request of a caller, from its head to the end of its answer."""

from collections.abc import Awaitable, Callable, Sequence

import anyio
import orjson

from applespring.core.errors import RefusalError
from applespring.core.route import ClientAccount, Route, RoutingDocument
from applespring.relay.protocol import CallerRequest

Send = Callable[[dict], Awaitable[None]]

# A time to come back after is at most this part of the time left, so that a
# caller can honour it.
RETRY_AFTER_SHARE = 0.3
# A caller of a stream leaves when no event comes for the longest of these: a
# time, a multiple of the target, a multiple of the longest pause on time
# (platform's protocol page).
EVENT_WAIT_MIN_S = 2.0
EVENT_WAIT_TARGETS = 4.0
EVENT_WAIT_GAPS = 8.0
# Above the highest priority of a route, which is 9.
ROUTE_PRIORITY_COUNT = 10


class Exchange:
    """A request with what was decided about it and how its answer stands.

    Attributes:
        req: The request.
        document: Document in force at its arrival.
        route: Its route.
        pool: Pool that answers it.
        client_account: Its client account, or None on a public route.
        arrived_at: When its head arrived.
        deadline_at: When it gets its last answer.
        target_at: When its answer should begin.
        event_wait_s: Longest time without an event before a caller leaves.
        started: Whether the head of an answer was sent.
        ended: Whether the answer is complete.
        outcome: How it ended, for the log and the metrics.
        events: Events sent to the caller.
        first_event_at: When the first event was sent, or -1.
    """

    __slots__ = (
        "req",
        "document",
        "route",
        "pool",
        "client_account",
        "arrived_at",
        "deadline_at",
        "target_at",
        "event_wait_s",
        "started",
        "ended",
        "outcome",
        "events",
        "first_event_at",
        "_send",
        "_should_close",
    )

    def __init__(
        self,
        req: CallerRequest,
        document: RoutingDocument,
        route: Route,
        pool: str,
        client_account: ClientAccount | None,
        arrived_at: float,
        send: Send,
        should_close: Callable[[], bool],
    ) -> None:
        self.req = req
        self.document = document
        self.route = route
        self.pool = pool
        self.client_account = client_account
        self.arrived_at = arrived_at
        timeout_s = route.timeout_s
        caller_wait_s = timeout_s if req.deadline_s is None else req.deadline_s
        self.deadline_at = arrived_at + min(caller_wait_s, timeout_s)
        # A caller that comes back has less time left than the route allows;
        # its aim counts from its first attempt.
        elapsed_s = max(0.0, timeout_s - caller_wait_s)
        self.target_at = arrived_at + route.target_s - elapsed_s
        self.event_wait_s = max(
            EVENT_WAIT_MIN_S,
            EVENT_WAIT_TARGETS * route.target_s,
            EVENT_WAIT_GAPS * route.gap_s,
        )
        self.started = False
        self.ended = False
        self.outcome = ""
        self.events = 0
        self.first_event_at = -1.0
        self._send = send
        self._should_close = should_close

    @property
    def leaves_at(self) -> float:
        """When the caller of a stream leaves if no event has come."""
        return min(self.deadline_at, self.arrived_at + self.event_wait_s)

    @property
    def account_name(self) -> str:
        """Name of the client account that upstreams are told."""
        return self.client_account.name if self.client_account else ""

    @property
    def priority(self) -> int:
        """Rank of the request, 0 first."""
        if (
            self.client_account is not None
            and self.client_account.priority is not None
        ):
            return self.client_account.priority
        return self.route.priority

    @property
    def stage_priority(self) -> int:
        """Place in the queues of stages, 0 first.

        Accounts of the same priority leave the order to their routes.
        """
        return ROUTE_PRIORITY_COUNT * self.priority + self.route.priority

    async def start(
        self, status: int, headers: Sequence[tuple[bytes, bytes]]
    ) -> None:
        """Sends the head of the answer."""
        self.started = True
        await send_head(self._send, status, headers, close=self._should_close())

    async def send_chunk(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self, data: bytes = b"") -> None:
        """Sends the last part of the body."""
        self.ended = True
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": False}
        )


async def send_head(
    send: Send,
    status: int,
    headers: Sequence[tuple[bytes, bytes]],
    *,
    close: bool,
) -> None:
    """Sends the head of an answer, of the upstream's or of the system's own."""
    headers = [(name.lower(), value) for name, value in headers]
    if close:
        headers.append((b"connection", b"close"))
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )


async def send_refusal(
    send: Send,
    exc: RefusalError,
    headers: Sequence[tuple[bytes, bytes]],
    *,
    close: bool,
) -> None:
    """Sends a refusal as a problem document (RFC 9457)."""
    body = orjson.dumps(
        {
            "title": exc.reason.title,
            "status": exc.reason.status,
            "detail": exc.detail,
            "reason": exc.reason.code,
            "verdict": exc.verdict.label,
        }
    )
    headers = [*headers, (b"content-length", b"%d" % len(body))]
    await send_head(send, exc.reason.status, headers, close=close)
    await send({"type": "http.response.body", "body": body, "more_body": False})
    await anyio.lowlevel.checkpoint()
