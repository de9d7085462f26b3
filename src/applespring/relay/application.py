"""ASGI applications: the one that serves callers, and plain-text answers."""

import gc
from collections.abc import Callable

import anyio
from loguru import logger

from applespring.clock import wait_until
from applespring.core import reason
from applespring.core.caller_memory import Holding
from applespring.core.errors import MessageError, RefusalError
from applespring.core.idle_limit import HOLD_MARGIN_S
from applespring.core.placement import split_point
from applespring.core.route import (
    ClientAccount,
    Route,
    RouteKind,
    RoutingDocument,
)
from applespring.core.verdict import Verdict
from applespring.relay.connections import ConnectionTimes
from applespring.relay.exchange import (
    RETRY_AFTER_SHARE,
    Exchange,
    Send,
    send_refusal,
)
from applespring.relay.metrics import RelayMetrics
from applespring.relay.plain import PlainForwarder
from applespring.relay.protocol import CallerRequest, Protocol
from applespring.relay.state import RelayState
from applespring.relay.streams import StreamForwarder
from applespring.serving.request_body import (
    BodyLimits,
    CallerGoneError,
    Receive,
    RequestBody,
)

# If the registry last answered longer ago than this, an unknown route or key
# may be in a newer document that this instance has not received.
DOCUMENT_AGE_MAX_S = 3.0
NOT_READY_RETRY_AFTER_S = 0.5
# Short, since the retry opens a new connection, which goes to another instance.
SHUTDOWN_RETRY_AFTER_S = 0.05
# Least time allowed for reading a request body.
BODY_TIMEOUT_MIN_S = 1.0
# Memory of a part of a prompt, and of a piece in its queues.
PROMPT_PART_COST_BYTES = 300
PIECE_COST_BYTES = 2000
# Time for a client to read a large answer before it may have to yield.
ANSWER_GRACE_S = 2.0
# Bytes of requests above `LARGE_BYTES` that end early between two collections
# of reference cycles, which take some 50 ms.
LARGE_BYTES = 256 * 1024
UNCOLLECTED_BYTES_MAX = 8 * 1024 * 1024
# Route label of requests that are refused before their route is found.
UNKNOWN_ROUTE_LABEL = "none"


class _Arrival:
    """When and how a request arrived, and what has become of it.

    Attributes:
        at: When its head arrived.
        request_id: Its id, or "" before it is decoded.
        idle_s: How long its connection rested before, or None on a new one.
        exchange: Its exchange, or None before it is admitted.
        scope: Scope in which it is admitted and forwarded.
        end_reason: Why the instance ends it, or "".
        holding: What it holds in memory, or None before its account is known.
    """

    __slots__ = (
        "at",
        "request_id",
        "idle_s",
        "exchange",
        "scope",
        "end_reason",
        "holding",
    )

    def __init__(self, at: float, idle_s: float | None) -> None:
        self.at = at
        self.request_id = ""
        self.idle_s = idle_s
        self.exchange: Exchange | None = None
        self.scope = anyio.CancelScope()
        self.end_reason = ""
        self.holding: Holding | None = None


class RelayApplication:
    """Admits callers' requests, has them forwarded and refuses the others."""

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
        self._connections = ConnectionTimes()
        # Requests that are being admitted or forwarded.
        self._arrivals: set[_Arrival] = set()
        # Bytes of large requests that ended early since the last collection.
        self._uncollected = 0

    def end_remaining(self, end_reason: str) -> int:
        """Ends the requests whose answers are not at hand.

        Those without an answer are refused, and the others cut off.

        Args:
            end_reason: Why, for the refusals and the log.

        Returns:
            Their number.
        """
        ended = [
            arrival
            for arrival in self._arrivals
            if arrival.exchange is None or not arrival.exchange.ready
        ]
        for arrival in ended:
            arrival.end_reason = end_reason
            arrival.scope.cancel()
        return len(ended)

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serves one request; ASGI scopes other than `http` are ignored."""
        if scope["type"] != "http":
            return
        self._state.requests += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self._state.requests -= 1

    async def _serve(self, scope: dict, receive: Receive, send: Send) -> None:
        now = self._state.clock()
        caller = scope.get("client")
        idle_s = self._connections.take_idle_s(caller, now) if caller else None
        arrival = _Arrival(now, idle_s)
        try:
            await self._answer(scope, arrival, receive, send)
        finally:
            if arrival.holding is not None:
                self._give_back(arrival, arrival.holding)
            if caller:
                self._connections.record_answer(caller, self._state.clock())

    def _allow_cut(self, arrival: _Arrival) -> None:
        """Lets an answer yield while its client does not read it."""

        def cut() -> None:
            arrival.end_reason = (
                "the memory of the answer was needed for other requests while "
                "its client did not read it"
            )
            arrival.scope.cancel()

        if arrival.holding is not None:
            arrival.holding.reopen(self._state.clock() + ANSWER_GRACE_S, cut)

    def _give_back(self, arrival: _Arrival, holding: Holding) -> None:
        """Gives back the memory of a request that has ended.

        What ended early is often referred to by tracebacks in reference cycles
        of the libraries, which only the collector frees.
        """
        ended = arrival.exchange is not None and arrival.exchange.ended
        if not ended and holding.largest > LARGE_BYTES:
            self._uncollected += holding.largest
        holding.close()
        if self._uncollected > UNCOLLECTED_BYTES_MAX:
            self._uncollected = 0
            gc.collect()

    async def _answer(
        self, scope: dict, arrival: _Arrival, receive: Receive, send: Send
    ) -> None:
        try:
            await self._admit_and_forward(scope, arrival, receive, send)
        except CallerGoneError:
            if arrival.exchange is not None:
                arrival.exchange.outcome = "caller_gone"
        except RefusalError as exc:
            await self._fail(exc, arrival, send)
            return
        except Exception as exc:  # noqa: BLE001
            # Even after a bug in this program the caller gets an answer.
            logger.bind(event="fault", request=arrival.request_id).exception(
                "request {} failed with an unexpected error", arrival.request_id
            )
            failure = RefusalError(
                reason.INTERNAL_ERROR, Verdict.MAY_HAVE_RUN, repr(exc)
            )
            await self._fail(failure, arrival, send)
            return
        if arrival.exchange is not None:
            self._log_request(arrival, None)

    async def _admit_and_forward(
        self, scope: dict, arrival: _Arrival, receive: Receive, send: Send
    ) -> None:
        """Admits and forwards a request, unless `end_remaining` ends it.

        Raises:
            RefusalError: The request gets a refusal, or its answer is cut off.
            CallerGoneError: The caller disconnected.
        """
        self._arrivals.add(arrival)
        try:
            with arrival.scope:
                req = self._decode(scope)
                arrival.request_id = req.request_id
                arrival.exchange = await self._admit(
                    req, scope, receive, send, arrival
                )
                await self._forward(arrival.exchange, receive)
        finally:
            self._arrivals.discard(arrival)
        if arrival.scope.cancelled_caught:
            raise _make_end_refusal(arrival)

    async def _fail(
        self, exc: RefusalError, arrival: _Arrival, send: Send
    ) -> None:
        """Refuses a request, or cuts off its answer if that has started.

        Raises:
            CutError: The answer has started. The server then closes the
                connection without an end of body, which shows the caller that
                the answer is incomplete.
        """
        exchange = arrival.exchange
        if exchange is not None and exchange.started:
            exchange.outcome = f"cut_{exc.reason.code}"
            self._log_request(arrival, exc)
            raise CutError(str(exc)) from exc
        await self._refuse(exc, arrival, send)

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
        arrival: _Arrival,
    ) -> Exchange:
        """Finds the route, pool and client account, and reads the body.

        Raises:
            RefusalError: The request is refused.
            CallerGoneError: The caller disconnected while sending its body.
        """
        if self._state.closed:
            # A request started now might not finish before the process exits.
            raise RefusalError(
                reason.SHUTTING_DOWN,
                Verdict.NOT_RUN,
                retry_after_s=SHUTDOWN_RETRY_AFTER_S,
            )
        doc = self._state.document
        if doc is None or not self._state.has_upstreams:
            raise RefusalError(
                reason.NOT_READY, Verdict.NOT_RUN, retry_after_s=0.5
            )
        head_bytes = sum(len(n) + len(v) + 4 for n, v in scope["headers"])
        if head_bytes > doc.limits.header_bytes:
            raise RefusalError(
                reason.HEAD_TOO_LARGE,
                Verdict.NOT_RUN,
                f"the headers have {head_bytes} bytes; the limit is "
                f"{doc.limits.header_bytes}",
            )
        route = doc.match(req.host, req.path)
        if route is None:
            raise self._unknown_refusal(reason.UNKNOWN_ROUTE)
        client_account = None
        if doc.needs_key(route):
            client_account = self._find_client_account(doc, req)
        req.body = await self._read_body(
            req, scope, receive, arrival, doc, route, client_account
        )
        total_weight = sum(weight for _, weight in route.targets)
        if not total_weight:
            raise RefusalError(reason.NO_UPSTREAM, Verdict.NOT_RUN)
        return Exchange(
            req,
            doc,
            route,
            route.choose_pool(split_point(req.request_id)),
            client_account,
            arrival.at,
            send,
            lambda: self._state.connection_header,
            arrival.holding,
            lambda: self._allow_cut(arrival),
        )

    async def _read_body(
        self,
        req: CallerRequest,
        scope: dict,
        receive: Receive,
        arrival: _Arrival,
        doc: RoutingDocument,
        route: Route,
        client_account: ClientAccount | None,
    ) -> bytes:
        """Returns the complete body of a request; see `RequestBody.read`."""
        time_s = route.timeout_s
        if req.deadline_s is not None:
            time_s = min(time_s, req.deadline_s)
        body = RequestBody(
            receive,
            scope["headers"],
            BodyLimits(
                doc.limits.body_bytes,
                max(BODY_TIMEOUT_MIN_S, time_s),
                doc.limits.idle_s + HOLD_MARGIN_S,
            ),
            self._state.memory,
            client_account.name if client_account is not None else "",
            self._state.clock,
        )
        arrival.holding = body.holding
        return await body.read(
            PROMPT_PART_COST_BYTES * len(req.prompt_parts)
            + PIECE_COST_BYTES * sum(req.piece_counts)
        )

    def _find_client_account(
        self, doc: RoutingDocument, req: CallerRequest
    ) -> ClientAccount:
        client_account = doc.accounts_by_key.get(req.api_key)
        if client_account is None:
            raise self._unknown_refusal(reason.UNKNOWN_KEY)
        return client_account

    def _unknown_refusal(self, refusal_reason: reason.Reason) -> RefusalError:
        """Returns the refusal for a route or key that the document lacks.

        If the document may be outdated, that is NOT_READY, which asks the
        caller to retry, instead of `refusal_reason`.
        """
        age_s = self._state.clock() - self._state.registry_read_at
        if age_s > DOCUMENT_AGE_MAX_S:
            return RefusalError(
                reason.NOT_READY,
                Verdict.NOT_RUN,
                f"the registry last answered {age_s:.1f} s ago; the limit is "
                f"{DOCUMENT_AGE_MAX_S:g} s",
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )
        return RefusalError(refusal_reason, Verdict.NOT_RUN)

    async def _forward(self, exchange: Exchange, receive: Receive) -> None:
        """Forwards a request to the upstreams of its pool.

        Stops when the caller disconnects, when its deadline passes, or when
        it would leave without an answer.

        Raises:
            RefusalError: The request gets a refusal instead of an answer.
            CallerGoneError: The caller disconnected.
        """
        disconnected = False
        timed_out = False
        failure: RefusalError | None = None
        clock = self._state.clock

        async with anyio.create_task_group() as tasks:

            async def watch_caller() -> None:
                nonlocal disconnected
                while True:
                    event = await receive()
                    if event["type"] == "http.disconnect":
                        if not exchange.ended:
                            disconnected = True
                            tasks.cancel_scope.cancel()
                        return

            async def watch_time() -> None:
                nonlocal timed_out
                await wait_until(exchange.refuse_at, clock)
                if exchange.started:
                    await wait_until(exchange.deadline_at, clock)
                timed_out = True
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch_caller)
            tasks.start_soon(watch_time)
            try:
                if exchange.route.kind is RouteKind.STREAMING:
                    await self._streams.forward(exchange)
                else:
                    await self._plain.forward(exchange)
            except RefusalError as exc:
                failure = exc
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure
        if disconnected:
            raise CallerGoneError
        if timed_out and not exchange.ended:
            raise RefusalError(
                reason.DEADLINE_EXCEEDED,
                Verdict.MAY_HAVE_RUN,
                f"no answer in {clock() - exchange.arrived_at:.2f} s; the "
                "caller is about to stop waiting",
            )

    async def _refuse(
        self, exc: RefusalError, arrival: _Arrival, send: Send
    ) -> None:
        exchange, retry_after_s = arrival.exchange, exc.retry_after_s
        if (
            exchange is not None
            and retry_after_s is not None
            and not exc.retry_after_known
        ):
            remaining_s = exchange.deadline_at - self._state.clock()
            retry_after_s = min(
                retry_after_s, RETRY_AFTER_SHARE * max(0.0, remaining_s)
            )
        if exchange is not None:
            exchange.outcome = exc.reason.code
        self._log_request(arrival, exc)
        headers = self._protocol.refusal_headers(
            arrival.request_id, retry_after_s
        )
        headers.append(self._state.connection_header)
        await send_refusal(send, exc, headers)

    def _log_request(self, arrival: _Arrival, exc: RefusalError | None) -> None:
        exchange, request_id = arrival.exchange, arrival.request_id
        elapsed_s = self._state.clock() - arrival.at
        fields: dict[str, object] = {
            "event": "request",
            "request": request_id,
            "took_s": round(elapsed_s, 4),
        }
        if arrival.idle_s is not None:
            fields["idle_s"] = round(arrival.idle_s, 3)
        route = UNKNOWN_ROUTE_LABEL
        outcome = exc.reason.code if exc else ""
        if exchange is not None:
            route = exchange.route.name
            outcome = exchange.outcome
            fields["route"] = route
            fields["fingerprint"] = exchange.fingerprint
            fields["document_version"] = exchange.document.version
            fields["events"] = exchange.events
            fields["aim_left_s"] = round(
                exchange.target_at - self._state.clock(), 3
            )
            if exchange.first_event_at >= 0:
                first_event_after_s = exchange.first_event_at - arrival.at
                fields["first_event_s"] = round(first_event_after_s, 4)
                self._metrics.first_event_s.observe(first_event_after_s, route)
        if exc is not None:
            fields["verdict"] = exc.verdict.label
            fields["detail"] = exc.detail
            if exc.retry_after_s is not None:
                fields["retry_after_s"] = round(exc.retry_after_s, 3)
        fields["outcome"] = outcome
        self._metrics.requests.inc(route, outcome)
        self._metrics.request_s.observe(elapsed_s, route)
        log = logger.bind(**fields)
        if exc is not None:
            log.warning("request {} refused or cut off: {}", request_id, exc)
        else:
            log.info("request {} ended: {}", request_id, outcome)


def _make_end_refusal(arrival: _Arrival) -> RefusalError:
    """Returns the refusal of a request that the instance ends."""
    if arrival.exchange is None or not arrival.exchange.sent:
        # What is ended before it was sent will not be sent any more.
        return RefusalError(
            reason.SHUTTING_DOWN,
            Verdict.NOT_RUN,
            arrival.end_reason,
            retry_after_s=SHUTDOWN_RETRY_AFTER_S,
        )
    detail = arrival.end_reason
    if not arrival.exchange.started:
        detail += " before an upstream had answered"
    return RefusalError(reason.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN, detail)


class CutError(Exception):
    """An answer was started and cannot be completed."""


def make_text_app(read: Callable[[], tuple[int, str]]) -> Callable:
    """Returns an ASGI application that answers every request in plain text.

    Args:
        read: Called for each request; returns the status and the text.
    """

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
