"""Calls to upstreams over HTTP connections.

An upstream that restarts under the same name is another incarnation and gets
new connections.
"""

import math
import socket
import ssl
from collections import OrderedDict
from collections.abc import (
    AsyncIterator,
    Callable,
    Iterator,
    Sequence,
)
from contextlib import asynccontextmanager, contextmanager
from functools import partial

import anyio
import httpx
from loguru import logger

from applespring.core.catalog import ListedUpstream
from applespring.core.errors import FailureKind, StageError
from applespring.core.reachability import DomainReachability
from applespring.core.self_report import FINAL_STATUSES
from applespring.core.verdict import Verdict
from applespring.permits.broker import Permit, PermitBroker
from applespring.quarantine.port_check import is_refused
from applespring.relay.http_transport import HttpTransport
from applespring.relay.notice_recorder import NoticeRecorder
from applespring.relay.protocol import Headers, Protocol, UpstreamReply
from applespring.relay.upstream_connections import (
    CLOSE_TIMEOUT_S,
    KEEPALIVE_EXPIRY_S,
    Connection,
    ConnectionPool,
)
from applespring.serving.listener import RECEIVE_BUFFER_BYTES

# Second answers to earlier requests that are read before an answer.
SECOND_ANSWERS_MAX = 2
# Longest body of one.
SECOND_ANSWER_BYTES_MAX = 1024 * 1024
# A connection is set up in about a millisecond, while a machine without power
# never answers.
CONNECT_TIMEOUT_S = 0.4
# The kernel closes a connection whose bytes stay unacknowledged for this time.
TCP_USER_TIMEOUT_MS = 3000
# Connection pools that are kept open, one for each incarnation of an upstream.
# The least recently used one is closed first, so those of removed upstreams go
# before those in use.
CONNECTION_POOLS_MAX = 1200
# Bounds of the body of an answer that says that a request did not run. The next
# upstream is asked without it.
REFUSAL_BODY_TIMEOUT_S = 0.1
REFUSAL_BODY_BYTES_MAX = 64 * 1024

_SOCKET_OPTIONS = [
    # The event loop reads all that the kernel holds of an answer at once,
    # before anything can bound it.
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
]


def make_transport_factory(
    tls: ssl.SSLContext,
) -> Callable[[ListedUpstream], httpx.AsyncBaseTransport]:
    """Returns a factory of transports that share a TLS context.

    Each transport opens one connection at a time.
    """
    limits = httpx.Limits(
        max_connections=1,
        max_keepalive_connections=1,
        keepalive_expiry=KEEPALIVE_EXPIRY_S,
    )

    def make_transport(upstream: ListedUpstream) -> httpx.AsyncBaseTransport:
        del upstream
        return HttpTransport(
            verify=tls, limits=limits, socket_options=_SOCKET_OPTIONS
        )

    return make_transport


class Answer:
    """The answer of an upstream whose body has not been read yet.

    Whatever goes wrong while the body is read is a StageError.

    Attributes:
        status: HTTP status.
        headers: Raw headers, names and values.
        reply: Decoded headers.
        is_new: Whether it is known that it was not sent before. If the request
            has no id, the connection is closed unless the caller finds this.
        needs_end_mark: Whether the connection failed while the request was
            written. Its end then does not show that the body is complete.
    """

    __slots__ = (
        "status",
        "headers",
        "reply",
        "is_new",
        "needs_end_mark",
        "_response",
        "_upstream",
        "_connection",
    )

    def __init__(
        self,
        resp: httpx.Response,
        headers: Headers,
        reply: UpstreamReply,
        upstream: str,
        connection: Connection,
        *,
        is_new: bool,
    ) -> None:
        self.status = resp.status_code
        self._upstream = upstream
        self.headers = headers
        self.reply = reply
        self.is_new = is_new
        self.needs_end_mark = False
        self._response = resp
        self._connection = connection

    def check_new(self, marks: Sequence[str]) -> None:
        """Checks that it is no second answer to an earlier request.

        It is known to be new if it has a mark.

        Args:
            marks: What only one answer of the upstream can contain.

        Raises:
            StageError: An earlier answer on the connection had one of them.
        """
        if self._connection.has_carried(marks):
            raise StageError(
                FailureKind.MISMATCH,
                Verdict.MAY_HAVE_RUN,
                self._upstream,
                "second answer to an earlier request: one of "
                f"{', '.join(marks)} came before on connection "
                f"{self._connection.number}",
            )
        self._connection.record(marks)
        self.is_new = bool(marks)

    @property
    def is_first(self) -> bool:
        """Whether it is the first on its connection, so to no other request."""
        return self._connection.requests == 1

    @property
    def is_unsigned(self) -> bool:
        """Whether it is a success that its upstream has not signed.

        No caller gets one, whatever its status is.
        """
        return 200 <= self.status < 300 and not self.reply.signed

    def make_unsigned_error(self) -> StageError:
        """Returns the error for one; the request may have run."""
        return StageError(
            FailureKind.MISMATCH,
            Verdict.MAY_HAVE_RUN,
            self._upstream,
            f"the answer (status {self.status}) has no signature",
        )

    @property
    def has_end_mark(self) -> bool:
        """Whether the body has a length or chunks.

        Without, it ends with its connection, which may also end early.
        """
        names = {name.lower() for name, _ in self.headers}
        return not names.isdisjoint((b"content-length", b"transfer-encoding"))

    @property
    def stated_length(self) -> int | None:
        """Length of the body in bytes, or None if the head states none."""
        for name, value in self.headers:
            if name.lower() == b"content-length":
                # The HTTP library has checked that it is a number.
                return int(value)
        return None

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives, without decoding its encoding.

        Raises:
            StageError: The connection was closed before the end of the body.
        """
        try:
            async for chunk in self._response.aiter_raw():
                yield chunk
        except (httpx.HTTPError, OSError) as exc:
            raise StageError(
                FailureKind.TRUNCATED,
                Verdict.MAY_HAVE_RUN,
                self._upstream,
                type(exc).__name__,
            ) from exc
        if self.needs_end_mark and not self.has_end_mark:
            # The error of a reset is reported once, here to the writer.
            raise StageError(
                FailureKind.TRUNCATED,
                Verdict.MAY_HAVE_RUN,
                self._upstream,
                "the connection failed while the request was written, and the "
                "answer has no mark of its end",
            )

    async def read(
        self, bytes_max: int, hold: Callable[[int], None] = lambda _: None
    ) -> bytes:
        """Returns the complete body.

        Args:
            bytes_max: Longest body.
            hold: Called with the size of each part; what it raises ends this.

        Raises:
            StageError: The connection was closed before its end, or the body is
                longer than `bytes_max`.
        """
        received, size = [], 0
        try:
            async for chunk in self.chunks():
                size += len(chunk)
                if size > bytes_max:
                    raise StageError(
                        FailureKind.MISMATCH,
                        Verdict.MAY_HAVE_RUN,
                        self._upstream,
                        f"the body is longer than {bytes_max} bytes",
                    )
                hold(len(chunk))
                received.append(chunk)
            return b"".join(received)
        finally:
            # The traceback of an error refers to this list.
            received.clear()

    async def read_refusal(self) -> bytes:
        """Returns the body of an answer to a request that did not run.

        Raises:
            StageError: It is too long or does not end in time.
        """
        detail = f"status {self.status}, its body has no end"
        try:
            with anyio.move_on_after(REFUSAL_BODY_TIMEOUT_S):
                return await self.read(REFUSAL_BODY_BYTES_MAX)
        except StageError as exc:
            detail = f"status {self.status}, its body: {exc.detail}"
        raise StageError(
            FailureKind.REFUSED, Verdict.NOT_RUN, self._upstream, detail
        )


@contextmanager
def enforce_timeout(
    timeout_s: float, upstream: ListedUpstream
) -> Iterator[None]:
    """Cancels a call that is made in the block after a time.

    Raises:
        StageError: The block was cancelled.
    """
    try:
        with anyio.fail_after(timeout_s):
            yield
    except TimeoutError as exc:
        raise StageError(
            FailureKind.TIMEOUT,
            Verdict.MAY_HAVE_RUN,
            upstream.name,
            f"no answer in {timeout_s:.3f} s",
        ) from exc


class UpstreamClient:
    """Makes calls to upstreams; an error states whether a call may have run.

    A call may have run as soon as its first byte may have been sent.
    """

    def __init__(
        self,
        protocol: Protocol,
        reachability: DomainReachability,
        notices: NoticeRecorder,
        permits: PermitBroker,
        clock: Callable[[], float],
        make_transport: Callable[[ListedUpstream], httpx.AsyncBaseTransport],
    ) -> None:
        """Opens no connection before the first call.

        Args:
            protocol: Decoder of the headers of answers.
            reachability: Records which failure domains answer.
            notices: Records what answers say of their upstreams.
            permits: Permits for upstreams with a rate limit.
            clock: Clock in seconds.
            make_transport: Creates a transport that opens one connection at a
                time to an upstream.
        """
        self._protocol = protocol
        self._make_transport = make_transport
        self._reachability = reachability
        self._notices = notices
        self._permits = permits
        self._clock = clock
        self._connection_pools: OrderedDict[tuple[str, int], ConnectionPool] = (
            OrderedDict()
        )

    @asynccontextmanager
    async def call(
        self,
        upstream: ListedUpstream,
        method: str,
        target: bytes,
        headers: Sequence[tuple[bytes, bytes]],
        body: bytes,
        *,
        request_id: str = "",
        marks: Sequence[str] = (),
        connections_max: int = 100,
        permit: Permit | None = None,
    ) -> AsyncIterator[Answer]:
        """Sends a request and passes its answer to the block.

        If the block doesn't finish, the connection is closed. Nothing is sent
        to an upstream that leaves or is paused, and to one with a rate limit
        only with a permit.

        Args:
            upstream: The upstream.
            method: HTTP method.
            target: Path and query.
            headers: Headers; `Host` is added if it is missing.
            body: The body.
            request_id: Id that the answer has to carry, or "" if it must have
                none.
            marks: Ids of pieces, or handles, in a request without an id. It
                goes on no connection that has carried one of them.
            connections_max: Most connections to the upstream; used when the
                first call to it creates its connection pool.
            permit: Permit for the call; without one it is acquired if the
                upstream has a rate limit.

        Raises:
            StageError: No answer, or the answer to another request, arrived,
                or nothing was sent (`FailureKind.WITHDRAWN`).
        """
        written = upload_failed = False
        written_at = -math.inf

        def check_notice() -> None:
            """Raises a StageError if the upstream takes no requests now."""
            notice = self._notices.find(upstream)
            if notice is not None:
                raise make_withdrawal(f"the upstream is {notice.value}")

        def make_withdrawal(detail: str) -> StageError:
            nonlocal withdrawn
            withdrawn = True
            return make_error(FailureKind.WITHDRAWN, detail)

        async def trace(name: str, info: dict) -> None:
            nonlocal written, written_at, upload_failed
            del info
            if name == "http11.send_request_body.failed":
                # The HTTP library reads an answer nevertheless.
                upload_failed = True
            if name == "http11.send_request_headers.started":
                # An answer may have arrived while a connection was opened.
                check_notice()
                if not self._permits.is_valid(upstream, permit):
                    raise make_withdrawal(
                        "the upstream has a rate limit, and the call has no "
                        "permit or one that has ended"
                    )
                written, written_at = True, self._clock()

        def make_error(kind: FailureKind, detail: object) -> StageError:
            verdict = Verdict.MAY_HAVE_RUN if written else Verdict.NOT_RUN
            return StageError(kind, verdict, upstream.name, str(detail))

        try:
            request = httpx.Request(
                method,
                f"http://{upstream.address}/",
                headers=[(b"Host", upstream.address.encode()), *headers]
                if not any(name.lower() == b"host" for name, _ in headers)
                else headers,
                content=body if body else None,
                extensions={
                    "target": target,
                    "trace": trace,
                    "timeout": {
                        "connect": CONNECT_TIMEOUT_S,
                        "pool": CONNECT_TIMEOUT_S,
                    },
                },
            )
        except httpx.InvalidURL as exc:
            raise make_error(FailureKind.CONNECT, exc) from exc
        answered = withdrawn = False
        check_notice()
        if permit is None and self._permits.is_limited(upstream):
            permit = await self._permits.acquire(upstream)
            if permit is None:
                raise make_withdrawal(
                    "the upstream has a rate limit, and no permit is left"
                )
        connection_pool = await self._connection_pool(upstream, connections_max)
        started_at = self._clock()
        connection: Connection | None = None
        keep = False
        try:
            try:
                connection = await connection_pool.acquire(
                    "" if request_id else target.decode("latin-1"),
                    (request_id,) if request_id else marks,
                    CONNECT_TIMEOUT_S,
                )
                resp = await connection.transport.handle_async_request(request)
                answered = True
                resp = await self._skip_second_answers(
                    resp, connection, request, upstream, request_id
                )
            except TimeoutError as exc:
                raise make_error(
                    FailureKind.RESET,
                    f"all connections were in use for {CONNECT_TIMEOUT_S} s",
                ) from exc
            except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
                if is_refused(exc):
                    self._notices.cold.record_refusal(upstream)
                else:
                    self._notices.cold.record_timeout(upstream, started_at)
                raise make_error(
                    FailureKind.CONNECT, type(exc).__name__
                ) from exc
            except (httpx.HTTPError, OSError) as exc:
                raise make_error(FailureKind.RESET, type(exc).__name__) from exc
            finally:
                if not withdrawn:
                    self._reachability.record_call(
                        upstream.failure_domain, answered, self._clock()
                    )
            answer = self._open_answer(
                resp, connection, upstream, request_id, target, written_at
            )
            answer.needs_end_mark = upload_failed
            try:
                yield answer
                keep = answer.is_new
            finally:
                # Closing a response with an unread body closes its connection.
                with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
                    await resp.aclose()
                transport = connection.transport
                if (
                    isinstance(transport, HttpTransport)
                    and transport.has_unread_bytes()
                ):
                    # They would be taken for the answer to the next request.
                    keep = False
        finally:
            if connection is not None:
                await connection_pool.release(connection, keep=keep)

    async def _skip_second_answers(
        self,
        resp: httpx.Response,
        connection: Connection,
        request: httpx.Request,
        upstream: ListedUpstream,
        request_id: str,
    ) -> httpx.Response:
        """Returns the answer behind second answers to earlier requests.

        Without this, the answer would be lost with its connection.

        Raises:
            httpx.HTTPError: No further answer could be read.
        """
        transport = connection.transport
        for _ in range(SECOND_ANSWERS_MAX):
            answered_id = self._protocol.decode_reply(
                resp.status_code, resp.headers.raw
            ).request_id
            if (
                not request_id
                or answered_id == request_id
                or not connection.has_carried((answered_id,))
                or not isinstance(transport, HttpTransport)
            ):
                break
            logger.bind(
                event="second_answer",
                request=request_id,
                upstream=upstream.name,
            ).debug(
                "upstream {} answered request {} again on connection {}, where "
                "the answer to {} was due",
                upstream.name,
                answered_id,
                connection.number,
                request_id,
            )
            resp = await transport.read_next(
                resp, request, SECOND_ANSWER_BYTES_MAX
            )
        return resp

    def _open_answer(
        self,
        resp: httpx.Response,
        connection: Connection,
        upstream: ListedUpstream,
        request_id: str,
        target: bytes,
        sent_at: float,
    ) -> Answer:
        """Returns the answer to a request, given its head.

        Raises:
            StageError: It is the answer to another request, or none.
        """
        if resp.status_code not in FINAL_STATUSES:
            raise StageError(
                FailureKind.MISMATCH,
                Verdict.MAY_HAVE_RUN,
                upstream.name,
                f"the status is {resp.status_code}; statuses of answers are "
                f"{FINAL_STATUSES.start} to {FINAL_STATUSES.stop - 1}",
            )
        raw_headers = resp.headers.raw
        reply = self._protocol.decode_reply(resp.status_code, raw_headers)
        if reply.request_id != request_id:
            # An upstream may send a late second answer to an earlier request on
            # this connection. If that request had no id, neither has its
            # answer, so a missing id is a mismatch too.
            raise StageError(
                FailureKind.MISMATCH,
                Verdict.MAY_HAVE_RUN,
                upstream.name,
                f'the answer has the request id "{reply.request_id}", not '
                f'"{request_id}", after {connection.requests} requests on '
                f"connection {connection.number}",
            )
        self._notices.record(
            upstream,
            reply.self_report,
            request=request_id,
            target=target.decode("latin-1"),
            status=resp.status_code,
            sent_at=sent_at,
        )
        return Answer(
            resp,
            raw_headers,
            reply,
            upstream.name,
            connection,
            is_new=bool(request_id),
        )

    async def _connection_pool(
        self, upstream: ListedUpstream, connections_max: int
    ) -> ConnectionPool:
        pool = self._connection_pools.get(upstream.identity)
        if pool is None:
            pool = ConnectionPool(
                partial(self._make_transport, upstream),
                connections_max,
                self._clock,
            )
            self._connection_pools[upstream.identity] = pool
            if len(self._connection_pools) > CONNECTION_POOLS_MAX:
                _, oldest = self._connection_pools.popitem(last=False)
                await oldest.aclose()
        self._connection_pools.move_to_end(upstream.identity)
        return pool
