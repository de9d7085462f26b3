"""ASGI application of an entry instance, for callers and operators."""

import re
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import anyio
import orjson
from aioprometheus.formats.text import TEXT_CONTENT_TYPE
from loguru import logger

from applespring.core.drain import WorkKind
from applespring.core.errors import RefusalError
from applespring.core.integrity import canonical_json, digest
from applespring.core.reason import INTERNAL_ERROR, INVALID_REQUEST
from applespring.core.request import Answer, Request
from applespring.core.rule import decide
from applespring.core.rule import explain as explain_rules
from applespring.core.verdict import Verdict, combine
from applespring.entry.drain import TrackedWork
from applespring.entry.execution.calls import Emit, Guard
from applespring.entry.execution.progress import Progress
from applespring.entry.front.components import Components
from applespring.entry.front.exchange import Exchange, reject
from applespring.entry.front.explain import describe_explanation, parse_query
from applespring.entry.front.outcome import SubmissionRecord
from applespring.entry.front.submission import ACCOUNT_HEADER, parse_submission
from applespring.serving.request_body import CallerGoneError

BODY_BYTES_MAX = 1024 * 1024
KEYS_BODY_BYTES_MAX = 1024
KEYS_PER_CALL_MAX = 100
TEXT_TYPE = "text/plain; charset=utf-8"

Handler = Callable[["Application", Exchange, str], Awaitable[None]]

_ROUTES: list[tuple[str, re.Pattern[str], Handler]] = []


def _route(method: str, pattern: str) -> Callable[[Handler], Handler]:
    """Registers the handler for a method and a pattern of the whole path.

    The first group of the pattern, if any, is the handler's last argument.
    """

    def register(handler: Handler) -> Handler:
        _ROUTES.append((method, re.compile(pattern), handler))
        return handler

    return register


class Application:
    """ASGI application that routes requests to its handlers."""

    __slots__ = ("_components",)

    def __init__(self, components: Components) -> None:
        self._components = components

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[dict[str, Any]]],
        send: Callable[[dict[str, Any]], Awaitable[None]],
    ) -> None:
        """Serves one ASGI scope."""
        if scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
        elif scope["type"] == "http":
            exchange = Exchange(
                scope,
                receive,
                send,
                self._is_leaving,
                self._components.memory,
                self._components.clock,
            )
            try:
                await self._serve(exchange)
            finally:
                exchange.close()

    def _known_account(self, exchange: Exchange) -> str:
        """Returns the account of a request, or "" if there is no such one."""
        account = exchange.headers.get(ACCOUNT_HEADER, "")
        fleet = self._components.fleet()
        if fleet is None or account not in fleet.accounts:
            return ""
        return account

    def _is_leaving(self) -> bool:
        return not self._components.drain.drain.is_ready

    async def _serve(self, exchange: Exchange) -> None:
        try:
            await self._dispatch(exchange)
        except CallerGoneError:
            self._components.metrics.events.inc("caller_gone")
        except RefusalError as exc:
            await self._send_refusal(exchange, exc, "")
        except Exception as exc:
            logger.opt(exception=exc).error(
                "a handler failed: {} {}", exchange.method, exchange.path
            )
            self._components.metrics.events.inc("handler_error")
            refusal = RefusalError(INTERNAL_ERROR, Verdict.MAY_HAVE_RUN)
            await self._send_refusal(exchange, refusal, "")

    async def _dispatch(self, exchange: Exchange) -> None:
        known_path = False
        for method, pattern, handler in _ROUTES:
            match = pattern.fullmatch(exchange.path)
            if match is None:
                continue
            known_path = True
            if method == exchange.method:
                argument = match[1] if match.groups() else ""
                await handler(self, exchange, argument)
                return
        await self._send_unknown(exchange, known_path)

    async def _send_unknown(self, exchange: Exchange, known_path: bool) -> None:
        status = 405 if known_path else 404
        detail = f"{exchange.method} {exchange.path} is not served"
        await exchange.send_json(
            status,
            {
                "type": f"urn:applespring:reason:{INVALID_REQUEST.code}",
                "title": INVALID_REQUEST.title,
                "status": status,
                "detail": detail,
                "reason": INVALID_REQUEST.code,
                "verdict": Verdict.NOT_RUN.label,
            },
            content_type="application/problem+json",
        )

    async def _send_refusal(
        self, exchange: Exchange, exc: RefusalError, request_id: str
    ) -> None:
        try:
            await exchange.send_refusal(exc, request_id)
        except CallerGoneError:
            self._components.metrics.events.inc("caller_gone")

    @_route("POST", r"/v1/pipelines/([^/]+)/requests")
    async def submit(self, exchange: Exchange, pipeline: str) -> None:
        """Runs a request, sends its answer or refusal, and counts it."""
        components = self._components
        account = exchange.headers.get(ACCOUNT_HEADER, "")
        record = SubmissionRecord(
            components.metrics, components.clock, pipeline, account
        )
        try:
            await self._submit(exchange, pipeline, record)
        except RefusalError as exc:
            record.count_refusal(exc)
            raise
        except CallerGoneError:
            record.count_disconnect()
        except Exception:
            record.count_refusal(
                RefusalError(INTERNAL_ERROR, Verdict.MAY_HAVE_RUN)
            )
            raise

    async def _submit(
        self, exchange: Exchange, pipeline: str, record: SubmissionRecord
    ) -> None:
        components = self._components
        body = await exchange.read_body(
            BODY_BYTES_MAX, self._known_account(exchange)
        )
        req = parse_submission(
            exchange,
            body,
            pipeline,
            components.fleet(),
            new_id=components.new_id(),
            now=components.clock(),
        )
        components.sharing.record_request(req.account)
        running = _RunningRequest(
            req, components.runner.create_progress(req), record
        )
        kind = WorkKind.STREAM if req.stream else WorkKind.REQUEST
        work = TrackedWork(kind, running.read_verdict, running.refuse)
        try:
            with components.drain.track(work):
                await self._serve_until_disconnect(exchange, running)
        except RefusalError as exc:
            record.count_refusal(exc, keyed=bool(req.key))
            await self._send_refusal(exchange, exc, req.request_id)

    async def _serve_until_disconnect(
        self, exchange: Exchange, running: "_RunningRequest"
    ) -> None:
        """Serves a submission, and cancels it if the caller disconnects."""
        async with anyio.create_task_group() as tasks:

            async def cancel_on_disconnect() -> None:
                await exchange.wait_disconnect()
                if not exchange.ended:
                    running.record.count_disconnect()
                tasks.cancel_scope.cancel()

            tasks.start_soon(cancel_on_disconnect)
            try:
                await self._respond(exchange, running)
            except CallerGoneError:
                running.record.count_disconnect()
            tasks.cancel_scope.cancel()

    async def _respond(
        self, exchange: Exchange, running: "_RunningRequest"
    ) -> None:
        req = running.req
        writer = TokenWriter(self._components, exchange, req)
        emit = writer.emit if req.stream and not req.key else None
        try:
            answer = await self._run(running, emit)
        except RefusalError as exc:
            if exchange.responding:
                # The caller has received a part of the output.
                exc.verdict = combine((exc.verdict, Verdict.MAY_HAVE_RUN))
                exc.submission_verdict = exc.verdict
            running.record.count_refusal(exc, keyed=bool(req.key))
            await self._send_refusal(exchange, exc, req.request_id)
            return
        answered_at = self._components.clock()
        if req.stream:
            await writer.finish(answer)
        else:
            await exchange.send_json(200, describe_answer(answer))
        running.record.count_answer(req, answer, answered_at)

    async def _run(
        self, running: "_RunningRequest", emit: Emit | None
    ) -> Answer:
        """Runs a request until it ends or the drain refuses it.

        Raises:
            RefusalError: The request was refused, also by the drain.
        """
        with running.scope:
            return await self._run_request(running, emit)
        assert running.refusal is not None
        raise running.refusal

    async def _run_request(
        self, running: "_RunningRequest", emit: Emit | None
    ) -> Answer:
        """Runs a request locally, or at the owner of its key."""
        components, req = self._components, running.req
        if not req.key:
            return await components.runner.run(req, running.progress, emit=emit)

        async def execute(guard: Guard) -> Answer:
            return await components.runner.run(
                req, running.progress, guard=guard
            )

        return await components.keys.run_keyed(req, execute)

    @_route("POST", r"/v1/keys")
    async def issue_keys(self, exchange: Exchange, argument: str) -> None:
        """Issues idempotency keys owned by this incarnation."""
        del argument
        body = await exchange.read_body(KEYS_BODY_BYTES_MAX)
        count = _parse_count(body)
        await exchange.send_json(
            200, {"keys": self._components.keys.issue_keys(count)}
        )

    @_route("GET", r"/v1/keys/([^/]+)")
    async def query_key(self, exchange: Exchange, key: str) -> None:
        """Sends the state of a key, as its owner reports it."""
        account = exchange.headers.get("applespring-account", "")
        status = await self._components.keys.query(key, account)
        document = {
            "key": key,
            "state": status.state,
            "verdict": status.verdict.label,
            "reason": status.reason,
            "owner": status.owner,
        }
        await exchange.send_json(200, document)

    @_route("GET", r"/livez")
    async def send_live(self, exchange: Exchange, argument: str) -> None:
        """Sends 200 whenever the process is able to respond."""
        del argument
        await exchange.send_bytes(200, b"live\n", TEXT_TYPE)

    @_route("GET", r"/readyz")
    async def send_ready(self, exchange: Exchange, argument: str) -> None:
        """Sends 200 if the load balancer should send requests, else 503."""
        del argument
        ready, why = self._components.readiness()
        text = f"{'ready' if ready else 'not ready'}: {why}\n"
        await exchange.send_bytes(
            200 if ready else 503, text.encode(), TEXT_TYPE
        )

    @_route("GET", r"/metrics")
    async def send_metrics(self, exchange: Exchange, argument: str) -> None:
        """Sends the metrics in the Prometheus text format."""
        del argument
        self._components.read_state()
        body = await self._components.metrics.render()
        await exchange.send_bytes(200, body, TEXT_CONTENT_TYPE)

    @_route("GET", r"/v1/status")
    async def send_status(self, exchange: Exchange, argument: str) -> None:
        """Sends the status of this instance for operators."""
        del argument
        await exchange.send_json(200, self._components.describe())

    @_route("GET", r"/v1/explain")
    async def explain(self, exchange: Exchange, argument: str) -> None:
        """Explains the decision of the rules on a request, as of now.

        The query describes the request; it is not run.
        """
        del argument
        components = self._components
        fleet = components.fleet()
        req = parse_query(exchange.query, fleet, components.clock())
        assert fleet is not None
        pipeline = fleet.pipelines[req.pipeline]
        facts = components.runner.gather_facts(req, pipeline)
        document = describe_explanation(
            facts, explain_rules(fleet, facts), decide(fleet, facts)
        )
        await exchange.send_json(200, document)

    @_route("GET", r"/v1/config")
    async def send_config(self, exchange: Exchange, argument: str) -> None:
        """Sends the text and revision of the document in force."""
        del argument
        revision, text = self._components.document()
        await exchange.send_bytes(
            200,
            text.encode(),
            "application/toml",
            {"applespring-revision": str(revision)},
        )


class _RunningRequest:
    """A request in flight, which the drain can inspect and refuse.

    Attributes:
        req: The request.
        progress: Verdict, costs and attempts so far.
        record: Counts its outcome.
        scope: Cancelled when the drain refuses the request.
        refusal: The refusal of the drain, or None.
    """

    __slots__ = ("req", "progress", "record", "scope", "refusal")

    def __init__(
        self, req: Request, progress: Progress, record: SubmissionRecord
    ) -> None:
        self.req = req
        self.progress = progress
        self.record = record
        self.scope = anyio.CancelScope()
        self.refusal: RefusalError | None = None

    def read_verdict(self) -> Verdict:
        """Returns the verdict so far.

        With a key it is at least MAY_HAVE_RUN, since another submission of
        the key may have run the request.
        """
        if self.req.key:
            return combine((self.progress.verdict, Verdict.MAY_HAVE_RUN))
        return self.progress.verdict

    def refuse(self, refusal: RefusalError) -> None:
        """Cancels the request; its caller gets this refusal."""
        self.refusal = refusal
        self.scope.cancel()


class TokenWriter:
    """Writes the tokens of a streamed answer as server-sent events."""

    __slots__ = ("_components", "_exchange", "_req", "_index", "_last_at")

    def __init__(
        self, components: Components, exchange: Exchange, req: Request
    ) -> None:
        self._components = components
        self._exchange = exchange
        self._req = req
        self._index = 0
        self._last_at = req.arrived_at

    async def emit(self, texts: Sequence[str]) -> None:
        """Sends one event per token, in one write, and observes the gap.

        The gap is the time since the previous write, or since the arrival of
        the request for the first one.
        """
        now = self._components.clock()
        metrics = self._components.metrics
        histogram = (
            metrics.token_gap_s if self._index else metrics.first_token_s
        )
        histogram.observe(now - self._last_at, self._req.pipeline)
        self._last_at = now
        first = self._index
        self._index += len(texts)
        await self._exchange.send_events(
            "token",
            (
                {"index": index, "text": text}
                for index, text in enumerate(texts, first)
            ),
        )

    async def finish(self, answer: Answer) -> None:
        """Sends the `end` event, after the output if none has been sent."""
        if self._index == 0:
            await self.emit([_output_text(answer)])
        await self._exchange.send_event(
            "end",
            {
                "request_id": answer.request_id,
                "tokens": self._index,
                "digest": digest(_output_text(answer)),
                "verdict": answer.verdict.label,
            },
        )
        await self._exchange.end_events()


def _output_text(answer: Answer) -> str:
    """Returns a text output as it is, any other as canonical JSON."""
    if isinstance(answer.output, str):
        return answer.output
    return canonical_json(answer.output).decode()


def describe_answer(answer: Answer) -> dict[str, Any]:
    """Returns the JSON document of a complete answer."""
    return {
        "request_id": answer.request_id,
        "pipeline": answer.pipeline,
        "output": answer.output,
        "verdict": answer.verdict.label,
    }


def _parse_count(body: bytes) -> int:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise reject(f"the body is not JSON: {exc}") from exc
    count = document.get("count") if isinstance(document, dict) else None
    if type(count) is not int or not 1 <= count <= KEYS_PER_CALL_MAX:
        raise reject(
            f"the field 'count' must be a whole number from 1 to"
            f" {KEYS_PER_CALL_MAX}"
        )
    return count


async def _serve_lifespan(
    receive: Callable[[], Awaitable[dict[str, Any]]],
    send: Callable[[dict[str, Any]], Awaitable[None]],
) -> None:
    """Acknowledges the start-up and shutdown messages of the server."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return
