"""HTTP calls to upstreams.

A failed call has a verdict: whether the upstream may have run it.
"""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Any

import httpx
import orjson

from applespring.core.errors import (
    ApplespringError,
    FailureKind,
    ResultError,
    StageError,
)
from applespring.core.fleet import Pool, Upstream
from applespring.core.integrity import (
    CallId,
    TokenStream,
    check_result,
    prompt_text,
)
from applespring.core.self_report import SelfReport, make_self_report
from applespring.core.verdict import Verdict
from applespring.entry.answer_match import ForeignAnswerError
from applespring.permits.broker import Permit

RESULT_BYTES_MAX = 4 * 1024 * 1024
EVENT_BYTES_MAX = 64 * 1024
STATE_HEADER = "applespring-state"
LEAVING_STATE = "leaving"
RATE_LIMIT_HEADER = "applespring-rate-limit"
DONE = b"[DONE]"

Guard = Callable[[], None]
OnReport = Callable[[str, SelfReport, float], None]
Emit = Callable[[Sequence[str]], Awaitable[None]]


class Call:
    """One attempt of a stage: its request and its limits.

    Attributes:
        call_id: Identity that the upstream must echo.
        pool: The pool whose contract applies.
        upstream: The upstream that is called.
        payload: Input of the stage, a JSON value.
        key: Idempotency key, forwarded to upstreams that check keys, or "".
        priority: 0 (urgent) to 9, for engines.
        max_tokens: Maximum number of tokens to generate.
        started_at: Start of the attempt, in seconds on the monotonic clock.
        timeout_s: Time limit of the whole attempt.
        write_probe: Calls the guard before the first byte is written and
            records that it was written.
    """

    __slots__ = (
        "call_id",
        "pool",
        "upstream",
        "payload",
        "key",
        "priority",
        "max_tokens",
        "started_at",
        "timeout_s",
        "write_probe",
        "permit",
    )

    def __init__(
        self,
        call_id: CallId,
        pool: Pool,
        upstream: Upstream,
        payload: Any,
        *,
        key: str,
        priority: int,
        max_tokens: int,
        started_at: float,
        timeout_s: float,
        guard: Guard,
    ) -> None:
        self.call_id = call_id
        self.pool = pool
        self.upstream = upstream
        self.payload = payload
        self.key = key
        self.priority = priority
        self.max_tokens = max_tokens
        self.started_at = started_at
        self.timeout_s = timeout_s
        self.write_probe = WriteProbe(guard)
        self.permit: Permit | None = None

    def make_error(self, kind: FailureKind, detail: str) -> StageError:
        """Returns an error of this attempt, with its verdict.

        The verdict is NOT_RUN if no byte of the request was written. After
        the first byte it is MAY_HAVE_RUN, since the upstream may have read
        and executed the request.
        """
        verdict = Verdict.NOT_RUN
        if self.write_probe.written:
            verdict = Verdict.MAY_HAVE_RUN
        return StageError(kind, verdict, self.upstream.name, detail)


class WriteProbe:
    """Trace function of httpcore that detects the first written byte.

    httpcore calls it at the start of each step of a request. It calls the
    guard when a connection is established and the request is about to be
    written; nothing is awaited between the guard and the write.

    Attributes:
        written: Whether writing has started.
    """

    __slots__ = ("written", "_guard")

    def __init__(self, guard: Guard) -> None:
        self.written = False
        self._guard = guard

    async def __call__(self, event: str, info: dict[str, Any]) -> None:
        """Handles one trace event of httpcore."""
        del info
        if event.endswith(".send_request_headers.started"):
            self._guard()
            self.written = True


class UpstreamClient:
    """HTTP client for stage calls.

    Attributes:
        on_report: Called for each response with the name of the upstream, what
            the response says of it, and the start time of the call.
    """

    __slots__ = ("_pooled", "_single", "on_report")

    def __init__(
        self,
        pooled: httpx.AsyncClient,
        single: httpx.AsyncClient,
        on_report: OnReport,
    ) -> None:
        """Initializes the client.

        Args:
            pooled: Reuses connections; for idempotent pools.
            single: Opens a connection for each call; for non-idempotent
                pools. If the upstream closed a reused connection while a call
                is written, it would be unknown whether the call was run.
            on_report: See the class.
        """
        self._pooled = pooled
        self._single = single
        self.on_report = on_report

    async def call_service(self, call: Call) -> Any:
        """Executes one call and returns its output.

        Raises:
            StageError: The attempt yielded no complete result.
            RefusalError: The guard refused the call.
        """
        body = _identity_fields(call) | {"input": call.payload}
        try:
            async with self._open_response(call, "/v1/call", body) as resp:
                content = await _read_body(resp)
            return check_result(call.call_id, orjson.loads(content))
        except orjson.JSONDecodeError as exc:
            raise call.make_error(FailureKind.TRUNCATED, str(exc)) from exc
        except ResultError as exc:
            raise call.make_error(exc.kind, str(exc)) from exc

    async def generate(
        self, call: Call, tokens: TokenStream, emit: Emit
    ) -> None:
        """Streams a generation, starting at the next index of `tokens`.

        Args:
            call: The attempt.
            tokens: Receives the tokens. After a failure it has those that were
                accepted, so that the next attempt can resume after them.
            emit: Awaited at most once for each chunk of the response, with the
                texts of the tokens that continue the stream without a gap.

        Raises:
            StageError: The stream failed before its end.
            RefusalError: The guard refused the call.
        """
        tokens.start_attempt()
        body = _identity_fields(call) | {
            "model": call.pool.model,
            "prompt": prompt_text(call.payload),
            "max_tokens": call.max_tokens,
            "priority": call.priority,
            "stream": True,
            "resume_from": tokens.next_index,
        }
        try:
            async with self._open_response(
                call, "/v1/completions", body
            ) as resp:
                async for events in _iterate_events(resp):
                    if await _emit_events(call, events, tokens, emit):
                        break
                tokens.end()
        except orjson.JSONDecodeError as exc:
            raise call.make_error(FailureKind.TRUNCATED, str(exc)) from exc
        except ResultError as exc:
            raise call.make_error(exc.kind, str(exc)) from exc

    @contextlib.asynccontextmanager
    async def _open_response(
        self, call: Call, path: str, body: dict[str, Any]
    ) -> AsyncIterator[httpx.Response]:
        """Sends a request and yields its 200 response with an unread body.

        Raises:
            StageError: The connection failed or the status is not 200.
            RefusalError: The guard refused the call.
        """
        client = self._pooled if call.pool.idempotent else self._single
        headers = {"Content-Type": "application/json"}
        if call.key and call.pool.checks_keys:
            headers["Idempotency-Key"] = call.key
        try:
            async with client.stream(
                "POST",
                f"http://{call.upstream.address}{path}",
                content=orjson.dumps(body),
                headers=headers,
                extensions={"trace": call.write_probe},
            ) as resp:
                report = read_self_report(resp)
                self.on_report(call.upstream.name, report, call.started_at)
                if resp.status_code != 200:
                    raise _make_status_error(call, resp, report)
                yield resp
        except ApplespringError:
            raise
        except ForeignAnswerError as exc:
            raise call.make_error(FailureKind.MISMATCH, str(exc)) from exc
        except (httpx.HTTPError, OSError) as exc:
            kind = FailureKind.CONNECT
            if call.write_probe.written:
                kind = FailureKind.RESET
            detail = f"{type(exc).__name__}: {exc}"
            raise call.make_error(kind, detail) from exc


def read_self_report(resp: httpx.Response) -> SelfReport:
    """Returns what a response of an upstream says of it."""
    return make_self_report(
        resp.status_code,
        leaving=resp.headers.get(STATE_HEADER) == LEAVING_STATE,
        retry_after=resp.headers.get("retry-after"),
        rate_limits=resp.headers.get_list(RATE_LIMIT_HEADER, split_commas=True),
    )


def _identity_fields(call: Call) -> dict[str, Any]:
    """Returns the fields that the response must repeat unchanged."""
    return {
        "request_id": call.call_id.request_id,
        "stage": call.call_id.stage,
        "attempt": call.call_id.attempt,
    }


async def _read_body(resp: httpx.Response) -> bytes:
    """Reads the body of a response.

    Raises:
        ResultError: The body is larger than RESULT_BYTES_MAX.
    """
    content = bytearray()
    async for chunk in resp.aiter_bytes():
        content += chunk
        if len(content) > RESULT_BYTES_MAX:
            raise ResultError(
                FailureKind.TRUNCATED,
                f"the result exceeds {RESULT_BYTES_MAX} bytes",
            )
    return bytes(content)


async def _emit_events(
    call: Call, events: Sequence[bytes], tokens: TokenStream, emit: Emit
) -> bool:
    """Accepts the events of one chunk and emits their tokens together.

    Returns:
        Whether the chunk has the end marker `[DONE]`.

    Raises:
        ResultError: An event does not continue the stream.
        JSONDecodeError: An event is not JSON.
    """
    texts: list[str] = []
    try:
        for data in events:
            if data == DONE:
                return True
            texts += tokens.accept(call.call_id, orjson.loads(data))
    finally:
        # A resumed stream continues after the accepted tokens. They must be
        # emitted even if a later event of the chunk is invalid, or the caller
        # would miss them.
        if texts:
            await emit(texts)
    return False


async def _iterate_events(
    resp: httpx.Response,
) -> AsyncIterator[Sequence[bytes]]:
    """Yields the data fields of the server-sent events of each chunk.

    Raises:
        ResultError: A line is longer than EVENT_BYTES_MAX.
    """
    buffer = b""
    async for chunk in resp.aiter_bytes():
        buffer += chunk
        *lines, buffer = buffer.split(b"\n")
        if len(buffer) > EVENT_BYTES_MAX:
            raise ResultError(
                FailureKind.TRUNCATED,
                f"an event exceeds {EVENT_BYTES_MAX} bytes",
            )
        events = [
            line[5:].strip() for line in lines if line.startswith(b"data:")
        ]
        if events:
            yield events


def _make_status_error(
    call: Call, resp: httpx.Response, report: SelfReport
) -> StageError:
    """Returns the error for a response whose status is not 200.

    Only for the statuses in `refusal_not_run` of the pool does the upstream
    guarantee that it did not run the call.
    """
    refused = resp.status_code in call.pool.refusal_not_run
    return StageError(
        FailureKind.REFUSED if refused else FailureKind.STATUS,
        Verdict.NOT_RUN if refused else Verdict.MAY_HAVE_RUN,
        call.upstream.name,
        f"status {resp.status_code}",
        retry_after_s=report.pause_s,
    )
