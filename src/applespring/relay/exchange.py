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
RETRY_SHARE = 0.3
# A caller of a stream leaves when no event comes for the longest of these: a
# time, a multiple of the target, a multiple of the longest pause on time
# (platform's protocol page).
PATIENCE_S = 2.0
PATIENCE_TARGETS = 4.0
PATIENCE_GAPS = 8.0
# Above the highest priority of a route, which is 9.
RANK_STEP = 10


class Exchange:
    """A request with what was decided about it and how its answer stands.

    Attributes:
        req: The request.
        document: Document in force at its arrival.
        route: Its route.
        pool: Pool that answers it.
        client: Its client account, or None on a public route.
        arrived_at: When its head arrived.
        deadline_at: When it gets its last answer.
        aim_at: When its answer should begin.
        patience_s: Longest time without an event before a caller leaves.
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
        "client",
        "arrived_at",
        "deadline_at",
        "aim_at",
        "patience_s",
        "started",
        "ended",
        "outcome",
        "events",
        "first_event_at",
        "_send",
        "_closes",
    )

    def __init__(
        self,
        req: CallerRequest,
        document: RoutingDocument,
        route: Route,
        pool: str,
        client: ClientAccount | None,
        arrived_at: float,
        send: Send,
        closes: Callable[[], bool],
    ) -> None:
        self.req = req
        self.document = document
        self.route = route
        self.pool = pool
        self.client = client
        self.arrived_at = arrived_at
        timeout_s = route.timeout_s
        waits_s = timeout_s if req.deadline_s is None else req.deadline_s
        self.deadline_at = arrived_at + min(waits_s, timeout_s)
        # A caller that comes back has less time left than the route allows;
        # its aim counts from its first attempt.
        elapsed_s = max(0.0, timeout_s - waits_s)
        self.aim_at = arrived_at + route.target_s - elapsed_s
        self.patience_s = max(
            PATIENCE_S,
            PATIENCE_TARGETS * route.target_s,
            PATIENCE_GAPS * route.gap_s,
        )
        self.started = False
        self.ended = False
        self.outcome = ""
        self.events = 0
        self.first_event_at = -1.0
        self._send = send
        self._closes = closes

    @property
    def leaves_at(self) -> float:
        """When the caller of a stream leaves if no event has come."""
        return min(self.deadline_at, self.arrived_at + self.patience_s)

    @property
    def account(self) -> str:
        """Name of the client account that upstreams are told."""
        return self.client.name if self.client else ""

    @property
    def priority(self) -> int:
        """Rank of the request, 0 first."""
        if self.client is not None and self.client.priority is not None:
            return self.client.priority
        return self.route.priority

    @property
    def rank(self) -> int:
        """Place in the queues of stages, 0 first.

        Accounts of the same priority leave the order to their routes.
        """
        return RANK_STEP * self.priority + self.route.priority

    async def start(
        self, status: int, headers: Sequence[tuple[bytes, bytes]]
    ) -> None:
        """Sends the head of the answer."""
        self.started = True
        await send_head(self._send, status, headers, close=self._closes())

    async def send_part(self, data: bytes) -> None:
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
