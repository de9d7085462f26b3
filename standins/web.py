"""A minimal ASGI framework for the stand-ins.

It runs on asyncio (under hypercorn) and on trio (in tests with virtual time).
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl

import anyio
import orjson

from standins.faults import (
    AFTER_READ,
    AFTER_RUN,
    BEFORE_READ,
    AbortConnection,
    Fault,
    FaultError,
    FaultPlan,
    apply_body_faults,
    find_fault,
)

BODY_MAX_BYTES = 4 * 1024 * 1024
JSON_CONTENT_TYPE = "application/json"
# Header of a request whose value each answer repeats.
SENDING_HEADER = "applespring-sending"


class WebError(Exception):
    """Makes the stand-in answer a request with an error.

    Attributes:
        status: HTTP status.
        headers: Additional header fields.
    """

    def __init__(self, status: int, message: str, **headers: str) -> None:
        super().__init__(message)
        self.status = status
        self.headers = {k.replace("_", "-"): v for k, v in headers.items()}


class WebRequest:
    """An HTTP request with its body.

    Attributes:
        path: Path without the query.
        query: Query parameters by name.
        headers: Header fields by lower-case name.
        body: The body, which is incomplete if it is over `BODY_MAX_BYTES`.
        faults: Faults that apply to this request.
        end_callbacks: Called in reverse order when the request ends, also
            after an error or a disconnect.
    """

    __slots__ = ("path", "query", "headers", "body", "faults", "end_callbacks")

    def __init__(self, scope: dict, body: bytes, faults: list[Fault]) -> None:
        self.path: str = scope["path"]
        self.query = dict(parse_qsl(scope["query_string"].decode("latin-1")))
        self.headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        self.body = body
        self.faults = faults
        self.end_callbacks: list[Callable[[], None]] = []

    def json(self, expected_type: type = dict) -> Any:
        """Returns the body as a JSON value of the expected type.

        Raises:
            WebError: The body is not JSON or of another type (400).
        """
        try:
            value = orjson.loads(self.body)
        except orjson.JSONDecodeError as exc:
            raise WebError(400, f"body is not JSON: {exc}") from exc
        if not isinstance(value, expected_type):
            raise WebError(
                400,
                f"body must be a JSON {expected_type.__name__}, "
                f"got {type(value).__name__}",
            )
        return value

    def number(self, name: str, default: float) -> float:
        """Returns a query parameter that is a finite number >= 0.

        Raises:
            WebError: The parameter has another value (400).
        """
        try:
            value = float(self.query.get(name, default))
        except ValueError:
            value = -1.0
        if not 0 <= value < float("inf"):
            raise WebError(
                400,
                f"{name} must be a number >= 0, got {self.query.get(name)!r}",
            )
        return value


class Reply:
    """An answer with a body, or with chunks that are produced as it is sent."""

    __slots__ = ("status", "headers", "body", "chunks")

    def __init__(
        self,
        body: bytes = b"",
        *,
        status: int = 200,
        content_type: str = JSON_CONTENT_TYPE,
        headers: dict[str, str] | None = None,
        chunks: AsyncIterator[bytes] | None = None,
    ) -> None:
        self.status = status
        self.headers = {"content-type": content_type} | (headers or {})
        self.body = body
        self.chunks = chunks


def json_reply(value: Any, status: int = 200, **headers: str) -> Reply:
    """Returns an answer with a JSON body."""
    header_fields = {k.replace("_", "-"): v for k, v in headers.items()}
    return Reply(orjson.dumps(value), status=status, headers=header_fields)


Handler = Callable[[WebRequest], Awaitable[Reply]]


class App:
    """An ASGI application with routes, injected faults and a state.

    Attributes:
        name: Name of this stand-in.
        state: `serving` or `leaving`; each answer names it in a header field.
        fault_plan: The faults to inject.
        slow_factor: Factor by which every execution takes longer.
        routes: Handlers by method and path.
        stopping: Whether the process is shutting down.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.state = "serving"
        self.fault_plan = FaultPlan()
        self.slow_factor = 1.0
        self.stopping = False
        self._request_scopes: set[anyio.CancelScope] = set()
        self.routes: dict[tuple[str, str], Handler] = {
            ("PUT", "/admin/faults"): self.put_faults,
            ("GET", "/admin/faults"): self.get_faults,
            ("PUT", "/admin/state"): self.put_state,
        }

    async def __call__(
        self,
        scope: dict,
        receive: Callable[[], Awaitable[dict]],
        send: Callable[[dict], Awaitable[None]],
    ) -> None:
        """Serves one ASGI connection."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve_http(scope, receive, send)
        else:
            raise NotImplementedError(scope["type"])

    def shutdown(self) -> None:
        """Starts to shut down; frozen requests resume."""
        self.stopping = True
        self.fault_plan.replace([])

    def cancel_requests(self) -> None:
        """Cancels all running requests, whose answers stay incomplete."""
        for scope in self._request_scopes:
            scope.cancel()

    def intercept_request(self, req: WebRequest) -> Reply | None:
        """Returns a reply that replaces the handler's, or None.

        Subclasses use it to simulate outages and call limits.
        """

    async def _serve_http(self, scope: dict, receive: Any, send: Any) -> None:
        admin = scope["path"].startswith("/admin/")
        faults = [] if admin else self.fault_plan.draw(scope["path"])
        if _has_reset(faults, BEFORE_READ):
            raise AbortConnection
        body = await _read_body(receive)
        if body is None:
            return
        req = WebRequest(scope, body, faults)
        error = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, receive, tasks)
            self._request_scopes.add(tasks.cancel_scope)
            try:
                reply = await self._answer(req, scope["method"])
                if SENDING_HEADER in req.headers:
                    reply.headers[SENDING_HEADER] = req.headers[SENDING_HEADER]
                await self._send(reply, faults, send)
            except AbortConnection as exc:
                # Raised again below: here the task group would wrap it in an
                # exception group.
                error = exc
            finally:
                self._request_scopes.discard(tasks.cancel_scope)
                for end in reversed(req.end_callbacks):
                    end()
            tasks.cancel_scope.cancel()
        if error:
            raise error

    async def _answer(self, req: WebRequest, method: str) -> Reply:
        faults = req.faults
        if _has_reset(faults, AFTER_READ):
            raise AbortConnection
        for fault in faults:
            if fault.kind == "delay":
                await anyio.sleep(fault.fields["seconds"])
            elif fault.kind == "freeze" and fault.fields["at"] is None:
                await self.fault_plan.wait_cleared(fault)
        refusal = find_fault(faults, "refuse")
        if refusal and refusal.fields["when"] == AFTER_READ:
            return _make_refusal(refusal)
        reply = await self._dispatch(req, method)
        if refusal or _has_reset(faults, AFTER_RUN):
            await _consume_chunks(reply)
            if not refusal:
                raise AbortConnection
            return _make_refusal(refusal)
        return reply

    async def _dispatch(self, req: WebRequest, method: str) -> Reply:
        handler = self.routes.get((method, req.path))
        try:
            if len(req.body) > BODY_MAX_BYTES:
                raise WebError(
                    413,
                    f"body of {req.path} is over {BODY_MAX_BYTES} bytes",
                )
            if handler is None:
                raise WebError(404, f"no resource {method} {req.path}")
            if not req.path.startswith("/admin/"):
                intercepted = self.intercept_request(req)
                if intercepted is not None:
                    return intercepted
            return await handler(req)
        except WebError as exc:
            return json_reply({"error": str(exc)}, exc.status, **exc.headers)

    async def _send(self, reply: Reply, faults: list[Fault], send: Any) -> None:
        body, broken = reply.body, False
        if reply.chunks is None:
            body, broken = apply_body_faults(faults, body)
            # With the length of the complete body, a reader can detect that the
            # body was truncated.
            size = len(reply.body) if broken else len(body)
            reply.headers["content-length"] = str(size)
        reply.headers["applespring-state"] = self.state
        await send(
            {
                "type": "http.response.start",
                "status": reply.status,
                "headers": [
                    (name.encode(), value.encode("latin-1"))
                    for name, value in reply.headers.items()
                ],
            }
        )
        if reply.chunks is not None:
            async for chunk in reply.chunks:
                await _send_body(send, chunk, True)
        await _send_body(send, body, broken)
        if broken:
            raise AbortConnection

    async def put_faults(self, req: WebRequest) -> Reply:
        """Applies faults; an empty list clears the earlier ones."""
        spec = req.json()
        try:
            self.apply_faults(spec)
        except FaultError as exc:
            raise WebError(400, str(exc)) from exc
        return await self.get_faults(req)

    def apply_faults(self, spec: dict[str, Any]) -> None:
        """Applies `{"faults": [...], "seed": n, "slow": factor}`.

        Without `faults` the earlier ones stay, and likewise for `slow`; `seed`
        is 0 unless it is given.

        Raises:
            FaultError: The specification is invalid.
        """
        unknown = set(spec) - {"faults", "seed", "slow"}
        if unknown:
            raise FaultError(f"unknown fields {sorted(unknown)}")
        seed = spec.get("seed", 0)
        if type(seed) is not int:
            raise FaultError(f"seed {seed!r} is not an integer")
        slow = spec.get("slow", self.slow_factor)
        if type(slow) not in (int, float) or slow < 0:
            raise FaultError(f"slow {slow!r} is not a number >= 0")
        if "faults" in spec:
            self.fault_plan.replace(spec["faults"], seed)
        self.slow_factor = slow

    async def get_faults(self, _req: WebRequest) -> Reply:
        """Returns how often each kind of fault was applied."""
        return json_reply({"hits": self.fault_plan.hits})

    async def put_state(self, req: WebRequest) -> Reply:
        """Sets the state from `{"state": "serving"}`."""
        state = req.json().get("state")
        if state not in ("serving", "leaving"):
            raise WebError(
                400, f"state must be `serving` or `leaving`, got {state!r}"
            )
        self.state = state
        self.state_changed()
        return json_reply({"state": state})

    def state_changed(self) -> None:
        """Called after `state` was set; subclasses may override it."""


def _has_reset(faults: list[Fault], when: str) -> bool:
    return any(
        fault.kind == "reset" and fault.fields["when"] == when
        for fault in faults
    )


def _make_refusal(fault: Fault) -> Reply:
    headers = {"retry-after": "1"}
    if fault.fields["not_run"]:
        headers["applespring-not-run"] = "true"
    body = orjson.dumps({"error": "refused by fault injection"})
    return Reply(body, status=fault.fields["status"], headers=headers)


async def _consume_chunks(reply: Reply) -> None:
    if reply.chunks is not None:
        async for _ in reply.chunks:
            pass


async def _send_body(send: Any, body: bytes, more: bool) -> None:
    await send({"type": "http.response.body", "body": body, "more_body": more})


async def _read_body(receive: Any) -> bytes | None:
    chunks, size = [], 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        chunk = message.get("body", b"")
        # The chunk that exceeds the limit is kept, so that the caller sees that
        # the body is too large.
        if size <= BODY_MAX_BYTES:
            chunks.append(chunk)
        size += len(chunk)
        if not message.get("more_body", False):
            return b"".join(chunks)


async def _cancel_on_disconnect(
    receive: Any, tasks: anyio.abc.TaskGroup
) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    tasks.cancel_scope.cancel()


async def _serve_lifespan(receive: Any, send: Any) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
