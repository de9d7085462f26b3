"""One HTTP request and its response on the ASGI interface."""

from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Any

import anyio
import orjson

from applespring.core.caller_memory import CallerMemory
from applespring.core.errors import RefusalError
from applespring.core.reason import INVALID_REQUEST
from applespring.core.verdict import Verdict
from applespring.serving.request_body import (
    BodyLimits,
    CallerGoneError,
    RequestBody,
)

BODY_TIMEOUT_S = 10.0
SEND_TIMEOUT_S = 10.0
PROBLEM_TYPE = "application/problem+json"
JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"

Message = Mapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]


def reject(detail: str) -> RefusalError:
    """Returns a refusal with the reason `invalid_request`."""
    return RefusalError(INVALID_REQUEST, Verdict.NOT_RUN, detail)


class Exchange:
    """Reads one request and writes one response.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        headers: Header values by lower-case name; the last one of each name.
        query: Query string.
        responding: Whether sending the response has started.
        ended: Whether sending the last part of the response has started.
    """

    __slots__ = (
        "method",
        "path",
        "headers",
        "query",
        "responding",
        "ended",
        "_receive",
        "_send",
        "_is_leaving",
        "_raw_headers",
        "_memory",
        "_clock",
        "_body",
    )

    def __init__(
        self,
        scope: Mapping[str, Any],
        receive: Receive,
        send: Send,
        is_leaving: Callable[[], bool],
        memory: CallerMemory,
        clock: Callable[[], float],
    ) -> None:
        """Initializes the exchange from the ASGI arguments.

        Args:
            scope: Connection scope: method, path, query and headers.
            receive: Returns the next message of the server.
            send: Passes a message to the server.
            is_leaving: Whether the instance drains. Responses then have
                `Connection: close`.
            memory: What is held in memory for callers.
            clock: Clock in seconds.
        """
        self.method: str = scope["method"]
        self.path: str = scope["path"]
        self.headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        self.query: str = scope.get("query_string", b"").decode("latin-1")
        self.responding = False
        self.ended = False
        self._receive = receive
        self._send = send
        # HTTP/2 has no Connection header; the server closes its connections
        # with GOAWAY.
        http1 = scope.get("http_version", "").startswith("1")
        self._is_leaving = is_leaving if http1 else _never
        self._raw_headers = scope["headers"]
        self._memory = memory
        self._clock = clock
        self._body: RequestBody | None = None

    async def read_body(self, limit_bytes: int, account: str = "") -> bytes:
        """Reads the complete body, which is held until `close`.

        Args:
            limit_bytes: Most bytes.
            account: Name of the client account, "" if it is not known.

        Raises:
            RefusalError: The body exceeds `limit_bytes`, did not arrive within
                BODY_TIMEOUT_S, or its memory is needed for other requests.
            CallerGoneError: The caller disconnected before the end.
        """
        self._body = RequestBody(
            self._receive,
            self._raw_headers,
            BodyLimits(limit_bytes, BODY_TIMEOUT_S, BODY_TIMEOUT_S),
            self._memory,
            account,
            self._clock,
        )
        return await self._body.read()

    def close(self) -> None:
        """Gives back the memory that the request holds."""
        if self._body is not None:
            self._body.holding.close()

    async def wait_disconnect(self) -> None:
        """Returns when the caller has disconnected.

        The server reports a disconnect after a complete response too; `ended`
        tells the two apart.
        """
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def send_json(
        self,
        status: int,
        document: Any,
        headers: Mapping[str, str] | None = None,
        content_type: str = JSON_TYPE,
    ) -> None:
        """Sends a complete response with a JSON body."""
        await self.send_bytes(
            status, orjson.dumps(document), content_type, headers
        )

    async def send_bytes(
        self,
        status: int,
        body: bytes,
        content_type: str,
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Sends a complete response."""
        fields = {
            "content-type": content_type,
            "content-length": str(len(body)),
            **(headers or {}),
        }
        await self._start_response(status, fields)
        self.ended = True
        await self._transmit({"type": "http.response.body", "body": body})

    async def send_refusal(self, exc: RefusalError, request_id: str) -> None:
        """Sends a refusal as a problem document (RFC 9457).

        If the response has started, the document is sent as a final `error`
        event instead, and the stream has no `end` event.
        """
        if self.responding:
            await self.send_event("error", describe_problem(exc, request_id))
            await self.end_events()
            return
        headers = {"applespring-verdict": exc.verdict.label}
        if exc.reason.retryable and exc.retry_after_s is not None:
            headers["retry-after"] = str(max(1, round(exc.retry_after_s)))
        await self.send_json(
            exc.reason.status,
            describe_problem(exc, request_id),
            headers,
            PROBLEM_TYPE,
        )

    async def send_event(self, name: str, document: Any) -> None:
        """Sends one server-sent event; the first one starts the response."""
        await self.send_events(name, [document])

    async def send_events(self, name: str, documents: Iterable[Any]) -> None:
        """Sends events of the same name in one write."""
        if not self.responding:
            await self._start_response(
                200,
                {
                    "content-type": EVENT_STREAM_TYPE,
                    "cache-control": "no-store",
                },
            )
        head = f"event: {name}\ndata: ".encode()
        body = b"".join(
            head + orjson.dumps(document) + b"\n\n" for document in documents
        )
        await self._transmit(
            {"type": "http.response.body", "body": body, "more_body": True}
        )

    async def end_events(self) -> None:
        """Ends a response of server-sent events."""
        self.ended = True
        await self._transmit({"type": "http.response.body", "body": b""})

    async def _start_response(
        self, status: int, headers: Mapping[str, str]
    ) -> None:
        fields = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers.items()
        ]
        if self._is_leaving():
            fields.append((b"connection", b"close"))
        self.responding = True
        await self._transmit(
            {
                "type": "http.response.start",
                "status": status,
                "headers": fields,
            }
        )

    async def _transmit(self, message: Message) -> None:
        """Sends one message to the server.

        Raises:
            CallerGoneError: The message was not sent within SEND_TIMEOUT_S.
        """
        # Shielded, since a send that is cancelled halfway, as by the deadline
        # of the request, would leave the response without its head or a
        # stream without one of its tokens.
        with anyio.move_on_after(SEND_TIMEOUT_S, shield=True):
            await self._send(message)
            return
        raise CallerGoneError


def _never() -> bool:
    return False


def describe_problem(exc: RefusalError, request_id: str) -> dict[str, Any]:
    """Returns the problem document (RFC 9457) of a refusal."""
    return {
        "type": f"urn:applespring:reason:{exc.reason.code}",
        "title": exc.reason.title,
        "status": exc.reason.status,
        "detail": exc.detail,
        "reason": exc.reason.code,
        "verdict": exc.verdict.label,
        "submission_verdict": exc.submission_verdict.label,
        "stage": exc.stage,
        "stages": {name: v.label for name, v in exc.stages.items()},
        "request_id": request_id,
    }
