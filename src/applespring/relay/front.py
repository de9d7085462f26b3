"""The ASGI application that callers reach, and the readiness answer."""

from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

from applespring.core import reason
from applespring.core.errors import MessageError, RefusalError
from applespring.core.route import ClientAccount, RouteKind, RoutingDocument
from applespring.core.verdict import Verdict
from applespring.relay.exchange import (
    RETRY_SHARE,
    Exchange,
    Send,
    send_refusal,
)
from applespring.relay.metrics import RelayMetrics
from applespring.relay.plain import PlainForwarder
from applespring.relay.protocol import CallerRequest, Protocol
from applespring.relay.state import RelayState
from applespring.relay.streams import StreamForwarder

Receive = Callable[[], Awaitable[dict]]

# Without the registry for this long, an unknown route or key may be one that
# this instance has not heard of.
DOCUMENT_SURE_S = 3.0
NOT_READY_RETRY_S = 0.5
# A retry takes a new connection, which goes to another instance.
CLOSED_RETRY_S = 0.05
# Longest wait for a body that its caller keeps sending.
BODY_S = 5.0
UNKNOWN_ROUTE = "none"


class CallerGoneError(Exception):
    """The caller has closed its connection."""


class Front:
    """Answers callers."""

    def __init__(
        self,
        state: RelayState,
        protocol: Protocol,
        plain: PlainForwarder,
        streams: StreamForwarder,
        metrics: RelayMetrics,
    ) -> None:
        self._state = state
        self._protocol = protocol
        self._plain = plain
        self._streams = streams
        self._metrics = metrics

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serves one ASGI scope."""
        if scope["type"] != "http":
            return
        self._state.requests += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self._state.requests -= 1

    async def _serve(self, scope: dict, receive: Receive, send: Send) -> None:
        arrived_at = self._state.clock()
        request_id = ""
        exchange: Exchange | None = None
        try:
            req = self._decode(scope)
            request_id = req.request_id
            exchange = await self._admit(req, scope, receive, send, arrived_at)
            await self._answer(exchange, receive)
        except CallerGoneError:
            if exchange is not None:
                exchange.outcome = "caller_gone"
        except RefusalError as exc:
            await self._end_badly(exc, request_id, exchange, arrived_at, send)
            return
        except Exception as exc:  # noqa: BLE001
            # A fault of the program must not leave the caller without answer.
            logger.bind(event="fault", request=request_id).exception(
                "request failed internally"
            )
            failure = RefusalError(
                reason.INTERNAL_ERROR, Verdict.MAY_HAVE_RUN, repr(exc)
            )
            await self._end_badly(
                failure, request_id, exchange, arrived_at, send
            )
            return
        if exchange is not None:
            self._log(request_id, exchange, arrived_at, None)

    async def _end_badly(
        self,
        exc: RefusalError,
        request_id: str,
        exchange: Exchange | None,
        arrived_at: float,
        send: Send,
    ) -> None:
        """Refuses a request, or cuts its answer if that has begun.

        Raises:
            CutError: The answer has begun; the server closes the connection
                without an end of body.
        """
        if exchange is not None and exchange.started:
            exchange.outcome = f"cut_{exc.reason.code}"
            self._log(request_id, exchange, arrived_at, exc)
            raise CutError(str(exc)) from exc
        await self._refuse(exc, request_id, exchange, arrived_at, send)

    def _decode(self, scope: dict) -> CallerRequest:
        target = scope["raw_path"]
        if scope["query_string"]:
            target += b"?" + scope["query_string"]
        try:
            return self._protocol.decode_request(
                scope["method"], target, scope["headers"]
            )
        except MessageError as exc:
            raise RefusalError(
                reason.INVALID_REQUEST, Verdict.NOT_RUN, str(exc)
            ) from exc

    async def _admit(
        self,
        req: CallerRequest,
        scope: dict,
        receive: Receive,
        send: Send,
        arrived_at: float,
    ) -> Exchange:
        """Finds route and client account, and reads the body.

        Raises:
            RefusalError: The request is refused.
            CallerGoneError: Its caller has gone.
        """
        if self._state.closed:
            # What began now might not end before the process does.
            raise RefusalError(
                reason.SHUTTING_DOWN,
                Verdict.NOT_RUN,
                retry_after_s=CLOSED_RETRY_S,
            )
        doc = self._state.document
        if doc is None or not self._state.has_upstreams:
            raise RefusalError(
                reason.NOT_READY, Verdict.NOT_RUN, retry_after_s=0.5
            )
        head_bytes = sum(len(n) + len(v) + 4 for n, v in scope["headers"])
        if head_bytes > doc.limits.header_bytes:
            raise RefusalError(reason.HEAD_TOO_LARGE, Verdict.NOT_RUN)
        route = doc.match(req.host, req.path)
        if route is None:
            raise self._unless_stale(reason.UNKNOWN_ROUTE)
        client = None
        if doc.clients and not route.public:
            client = self._find_client(doc, req)
        with anyio.move_on_after(BODY_S) as scope_:
            req.body = await _read_body(receive, doc.limits.body_bytes)
        if scope_.cancelled_caught:
            raise RefusalError(
                reason.INVALID_REQUEST, Verdict.NOT_RUN, "the body is late"
            )
        total = sum(weight for _, weight in route.targets)
        if not total:
            raise RefusalError(reason.NO_UPSTREAM, Verdict.NOT_RUN)
        point = (hash(req.request_id) & 0xFFFFFF) / 0x1000000
        return Exchange(
            req,
            doc,
            route,
            route.choose_pool(point),
            client,
            arrived_at,
            send,
            lambda: self._state.leaving,
        )

    def _find_client(
        self, doc: RoutingDocument, req: CallerRequest
    ) -> ClientAccount:
        client = doc.clients.get(req.api_key)
        if client is None:
            raise self._unless_stale(reason.UNKNOWN_KEY)
        return client

    def _unless_stale(self, why: reason.Reason) -> RefusalError:
        """Returns the refusal, or NOT_READY if the document may be old."""
        age_s = self._state.clock() - self._state.registry_read_at
        if age_s > DOCUMENT_SURE_S:
            return RefusalError(
                reason.NOT_READY,
                Verdict.NOT_RUN,
                f"the registry last answered {age_s:.1f} s ago",
                retry_after_s=NOT_READY_RETRY_S,
            )
        return RefusalError(why, Verdict.NOT_RUN)

    async def _answer(self, exchange: Exchange, receive: Receive) -> None:
        """Forwards the request until it is answered or its caller goes."""
        gone = False
        late = False
        failure: RefusalError | None = None

        async with anyio.create_task_group() as tasks:

            async def watch() -> None:
                nonlocal gone
                while True:
                    event = await receive()
                    if event["type"] == "http.disconnect":
                        if not exchange.ended:
                            gone = True
                            tasks.cancel_scope.cancel()
                        return

            tasks.start_soon(watch)
            left = exchange.deadline_at - self._state.clock()
            with anyio.move_on_after(max(0.0, left)) as limit:
                try:
                    if exchange.route.kind is RouteKind.STREAMING:
                        await self._streams.forward(exchange)
                    else:
                        await self._plain.forward(exchange)
                except RefusalError as exc:
                    failure = exc
            late = limit.cancelled_caught
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if gone:
            raise CallerGoneError
        if late and not exchange.ended:
            raise RefusalError(reason.DEADLINE_EXCEEDED, Verdict.MAY_HAVE_RUN)

    async def _refuse(
        self,
        exc: RefusalError,
        request_id: str,
        exchange: Exchange | None,
        arrived_at: float,
        send: Send,
    ) -> None:
        retry_after_s = exc.retry_after_s
        if exchange is not None and retry_after_s is not None:
            left = exchange.deadline_at - self._state.clock()
            retry_after_s = min(retry_after_s, RETRY_SHARE * max(0.0, left))
        if exchange is not None:
            exchange.outcome = exc.reason.code
        self._log(request_id, exchange, arrived_at, exc)
        headers = self._protocol.refusal_headers(request_id, retry_after_s)
        await send_refusal(send, exc, headers, close=self._state.leaving)

    def _log(
        self,
        request_id: str,
        exchange: Exchange | None,
        arrived_at: float,
        exc: RefusalError | None,
    ) -> None:
        took = self._state.clock() - arrived_at
        fields: dict[str, object] = {
            "event": "request",
            "request": request_id,
            "took_s": round(took, 4),
        }
        route = UNKNOWN_ROUTE
        outcome = exc.reason.code if exc else ""
        if exchange is not None:
            route = exchange.route.name
            outcome = exchange.outcome
            fields["route"] = route
            fields["document_version"] = exchange.document.version
            fields["events"] = exchange.events
            fields["aim_left_s"] = round(
                exchange.aim_at - self._state.clock(), 3
            )
            if exchange.first_event_at >= 0:
                first = exchange.first_event_at - arrived_at
                fields["first_event_s"] = round(first, 4)
                self._metrics.first_event_s.observe(first, route)
        if exc is not None:
            fields["verdict"] = exc.verdict.label
            fields["detail"] = exc.detail
            if exc.retry_after_s is not None:
                fields["retry_after_s"] = round(exc.retry_after_s, 3)
        fields["outcome"] = outcome
        self._metrics.requests.inc(route, outcome)
        self._metrics.request_s.observe(took, route)
        log = logger.bind(**fields)
        if exc is not None:
            log.warning("request refused or cut")
        else:
            log.info("request ended")


class CutError(Exception):
    """An answer that was begun and cannot be completed."""


async def _read_body(receive: Receive, bytes_max: int) -> bytes:
    """Returns the whole body.

    Raises:
        CallerGoneError: The caller has gone.
        RefusalError: The body is too large.
    """
    parts, size = [], 0
    while True:
        event = await receive()
        if event["type"] != "http.request":
            raise CallerGoneError
        data = event.get("body", b"")
        size += len(data)
        if size > bytes_max:
            raise RefusalError(reason.BODY_TOO_LARGE, Verdict.NOT_RUN)
        parts.append(data)
        if not event.get("more_body"):
            return b"".join(parts)


def make_text_app(read: Callable[[], tuple[int, str]]) -> Callable:
    """Returns an ASGI application that answers with a status and a text."""

    async def app(scope: dict, receive: Receive, send: Send) -> None:
        del receive
        if scope["type"] != "http":
            return
        status, text = read()
        body = text.encode()
        headers = [
            (b"content-type", b"text/plain; charset=utf-8"),
            (b"content-length", b"%d" % len(body)),
        ]
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )
        await send(
            {"type": "http.response.body", "body": body, "more_body": False}
        )

    return app
