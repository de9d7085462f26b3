"""State of one caller's request, and sending of its answer."""

from collections.abc import Awaitable, Callable, Sequence

import anyio
import orjson

from applespring.core.caller_memory import Holding
from applespring.core.errors import RefusalError
from applespring.core.fingerprint import fingerprint_request
from applespring.core.homes import (
    Regions,
    allowed_regions,
    allowed_regions_in,
    intersect,
)
from applespring.core.route import (
    ClientAccount,
    Route,
    RouteKind,
    RoutingDocument,
)
from applespring.relay.protocol import CallerRequest

Send = Callable[[dict], Awaitable[None]]
Header = tuple[bytes, bytes]

# A Retry-After is at most this share of the time until the caller's deadline,
# so that the caller still has time to retry.
RETRY_AFTER_SHARE = 0.3
# The caller of a stream disconnects when no event arrives for the longest of
# these: a fixed time, a multiple of the latency target, and a multiple of the
# longest gap between events that still counts as on time (the platform's
# protocol page).
EVENT_WAIT_MIN_S = 2.0
EVENT_WAIT_TARGETS = 4.0
EVENT_WAIT_GAPS = 8.0
# A refusal is sent this share of the caller's wait before its end, within these
# bounds, so that it arrives while the caller still reads. The wait counts from
# when the caller sent the request: a connection is opened, the request travels,
# and it waits for the event loop before it is read here.
REFUSAL_MARGIN_SHARE = 0.02
REFUSAL_MARGIN_MIN_S = 0.02
REFUSAL_MARGIN_MAX_S = 0.1
# A complete body is sent in parts of this size; the server buffers about one.
PART_BYTES = 64 * 1024
# Route priorities are 0 to 9.
ROUTE_PRIORITY_COUNT = 10


class Exchange:
    """An admitted request, the decisions about it and the state of its answer.

    Attributes:
        req: The decoded request.
        document: Routing document in force at its arrival.
        route: Route that it matched.
        pool: Pool chosen from the route's targets.
        client_account: Account of its key, or None if the route is public or
            the document has no accounts.
        arrived_at: When its head arrived.
        deadline_at: Latest time for the end of its answer.
        target_at: When its answer has to start to be on time.
        event_wait_s: Time for which the caller of a stream waits for an event.
        sent: Whether an upstream may have received the request.
        started: Whether the head of an answer was sent.
        ready: Whether the whole rest of its answer is at hand, to be sent.
        ended: Whether the last part of the answer was sent.
        outcome: How it ended, for the log and the metrics.
        events: Number of events sent to the caller; set at the end.
        first_event_at: When the first event was sent, or -1.
        holding: What it holds in memory, or None if that is not counted.
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
        "sent",
        "started",
        "ready",
        "ended",
        "outcome",
        "events",
        "first_event_at",
        "holding",
        "_send",
        "_unsent",
        "_on_large_answer",
        "_connection_header",
        "_fingerprint",
        "_regions",
        "_regions_document",
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
        connection_header: Callable[[], Header],
        holding: Holding | None = None,
        on_large_answer: Callable[[], None] = lambda: None,
    ) -> None:
        """Starts without an answer.

        Args:
            req: The decoded request.
            document: Routing document in force at its arrival.
            route: Route that it matched.
            pool: Pool chosen from the route's targets.
            client_account: Account of its key, or None.
            arrived_at: When its head arrived.
            send: ASGI send function.
            connection_header: Returns the header that tells what becomes of
                the connection.
            holding: What it holds in memory, or None if that is not counted.
            on_large_answer: Called before an answer of more than `PART_BYTES`
                is sent.
        """
        self.req = req
        self.document = document
        self.route = route
        self.pool = pool
        self.client_account = client_account
        self.arrived_at = arrived_at
        timeout_s = route.timeout_s
        caller_wait_s = timeout_s if req.deadline_s is None else req.deadline_s
        self.deadline_at = arrived_at + min(caller_wait_s, timeout_s)
        # A caller that retries sends a deadline shorter than the timeout of the
        # route. The target counts from its first attempt.
        elapsed_s = max(0.0, timeout_s - caller_wait_s)
        self.target_at = arrived_at + route.target_s - elapsed_s
        self.event_wait_s = max(
            EVENT_WAIT_MIN_S,
            EVENT_WAIT_TARGETS * route.target_s,
            EVENT_WAIT_GAPS * route.gap_s,
        )
        self.sent = False
        self.started = False
        self.ready = False
        self.ended = False
        self.outcome = ""
        self.events = 0
        self.first_event_at = -1.0
        self.holding = holding
        self._unsent = memoryview(b"")
        self._on_large_answer = on_large_answer
        self._send = send
        self._connection_header = connection_header
        self._fingerprint = ""
        self._regions_document: RoutingDocument | None = document
        self._regions = allowed_regions(route, client_account)

    @property
    def request_id(self) -> str:
        """Id that the caller gave this attempt."""
        return self.req.request_id

    @property
    def fingerprint(self) -> str:
        """Fingerprint by which the request is recognized if it comes again."""
        if not self._fingerprint:
            req = self.req
            self._fingerprint = fingerprint_request(
                req.method, req.host, req.target, self.account_name, req.body
            )
        return self._fingerprint

    def regions_in(self, newest: RoutingDocument | None) -> Regions:
        """Returns the regions whose upstreams may get the request now.

        The homes at its admission bind it to its end. A document that came into
        force since then may only add to them.

        Args:
            newest: Document in force, or None.
        """
        if newest is not self._regions_document:
            self._regions_document = newest
            self._regions = allowed_regions(self.route, self.client_account)
            if newest is not None and newest is not self.document:
                self._regions = intersect(
                    self._regions,
                    allowed_regions_in(newest, self.route, self.client_account),
                )
        return self._regions

    @property
    def leaves_at(self) -> float:
        """When the caller of a stream disconnects if it got no event."""
        return min(self.deadline_at, self.arrived_at + self.event_wait_s)

    @property
    def refuse_at(self) -> float:
        """Latest time for a refusal that the caller still receives."""
        waits_until = self.deadline_at
        if self.route.kind is RouteKind.STREAMING:
            waits_until = self.leaves_at
        margin_s = REFUSAL_MARGIN_SHARE * (waits_until - self.arrived_at)
        return waits_until - min(
            REFUSAL_MARGIN_MAX_S, max(REFUSAL_MARGIN_MIN_S, margin_s)
        )

    @property
    def account_name(self) -> str:
        """Name of the client account, sent to upstreams; "" without one."""
        return self.client_account.name if self.client_account else ""

    @property
    def priority(self) -> int:
        """Priority of the account if it has one, else of the route; 0 first."""
        if (
            self.client_account is not None
            and self.client_account.priority is not None
        ):
            return self.client_account.priority
        return self.route.priority

    @property
    def stage_priority(self) -> int:
        """Priority in the queues of stage pools; 0 is the most urgent.

        Requests of accounts with the same priority are ordered by the priority
        of their routes. Without this, when every account had one priority, the
        most urgent routes were served like the least urgent.
        """
        return ROUTE_PRIORITY_COUNT * self.priority + self.route.priority

    async def start(self, status: int, headers: Sequence[Header]) -> None:
        """Sends the head of the answer; it can't be refused after that."""
        self.started = True
        await send_head(
            self._send, status, [*headers, self._connection_header()]
        )

    async def send_chunk(self, data: bytes) -> None:
        """Sends a chunk of the body; more follow."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def send_whole(
        self, status: int, headers: Sequence[Header], body: bytes
    ) -> None:
        """Sends an answer whose body is complete."""
        self.ready = True
        self._unsent = memoryview(body)
        if len(body) > PART_BYTES:
            self._on_large_answer()
        # Tracebacks refer to local variables, and the libraries keep some.
        del body
        try:
            await self.start(status, headers)
            await self._send_unsent()
        finally:
            self._unsent = memoryview(b"")

    async def _send_unsent(self) -> None:
        """Sends the body in parts, as fast as the caller reads it."""
        while len(self._unsent) > PART_BYTES:
            part = bytes(self._unsent[:PART_BYTES])
            self._unsent = self._unsent[PART_BYTES:]
            await self.send_chunk(part)
        await self.finish(bytes(self._unsent))

    async def finish(self, data: bytes = b"") -> None:
        """Sends the last chunk of the body, which ends the answer."""
        self.ready = self.ended = True
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": False}
        )


async def send_head(send: Send, status: int, headers: Sequence[Header]) -> None:
    """Sends the head of an answer of an upstream or of this instance.

    Args:
        send: ASGI send function.
        status: HTTP status.
        headers: Headers; ASGI demands names in lower case.
    """
    headers = [(name.lower(), value) for name, value in headers]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )


async def send_refusal(
    send: Send, exc: RefusalError, headers: Sequence[Header]
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
    await send_head(send, exc.reason.status, headers)
    await send({"type": "http.response.body", "body": body, "more_body": False})
    await anyio.lowlevel.checkpoint()
