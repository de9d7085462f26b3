"""Calls to upstreams over connections of their own incarnation."""

import socket
import ssl
from collections import OrderedDict
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager

import anyio
import httpx

from applespring.core.catalog import ListedUpstream
from applespring.core.errors import FailureKind, StageError
from applespring.core.reachability import DomainReachability
from applespring.core.verdict import Verdict
from applespring.relay.protocol import Headers, Protocol, UpstreamReply

# A new connection takes about a millisecond; a machine without power never
# answers.
CONNECT_TIMEOUT_S = 0.4
# Unacknowledged bytes end a connection after this time.
TCP_USER_TIMEOUT_MS = 3000
# An idle connection is not used again after this time, well before the
# upstream closes it itself, so that a request does not cross its close.
KEEPALIVE_EXPIRY_S = 1.5
# Connection pools kept; those of upstreams that are gone are closed first.
CONNECTION_POOLS_MAX = 1200
# Time for an abandoned connection to close.
CLOSE_TIMEOUT_S = 1.0

_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
]


class HttpTransport(httpx.AsyncHTTPTransport):
    """HTTP/1.1 connections, also to servers that reset new ones at once.

    httpcore sets socket options on a connection that may have ended already,
    and then fails with an error that is none of its own.
    """

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """See `httpx.AsyncBaseTransport.handle_async_request`.

        Raises:
            httpx.ConnectError: The connection was reset while it was set up.
        """
        try:
            return await super().handle_async_request(request)
        except AttributeError as exc:
            if exc.obj is not None or exc.name != "setsockopt":
                raise
            raise httpx.ConnectError("reset", request=request) from exc


def make_http_pool_factory(
    tls: ssl.SSLContext,
) -> Callable[[ListedUpstream, int], httpx.AsyncBaseTransport]:
    """Returns a maker of HTTP/1.1 connections that share a TLS context."""

    def make_pool(
        upstream: ListedUpstream, connections_max: int
    ) -> httpx.AsyncBaseTransport:
        del upstream
        return HttpTransport(
            verify=tls,
            limits=httpx.Limits(
                max_connections=connections_max,
                max_keepalive_connections=connections_max,
                keepalive_expiry=KEEPALIVE_EXPIRY_S,
            ),
            socket_options=_SOCKET_OPTIONS,
        )

    return make_pool


class Answer:
    """The answer of an upstream, its body not yet read.

    Attributes:
        status: HTTP status.
        headers: Headers as sent.
        reply: What they say.
    """

    __slots__ = ("status", "headers", "reply", "_response")

    def __init__(
        self, resp: httpx.Response, headers: Headers, reply: UpstreamReply
    ) -> None:
        self.status = resp.status_code
        self.headers = headers
        self.reply = reply
        self._response = resp

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives."""
        return self._response.aiter_raw()

    async def read(self, bytes_max: int) -> bytes:
        """Returns the whole body.

        Raises:
            httpx.HTTPError: It ended early.
            ValueError: It is longer than `bytes_max`.
        """
        received, size = [], 0
        async for chunk in self.chunks():
            size += len(chunk)
            if size > bytes_max:
                raise ValueError(f"the body is longer than {bytes_max} bytes")
            received.append(chunk)
        return b"".join(received)


class UpstreamClient:
    """Opens calls to upstreams and says whether they may have run."""

    def __init__(
        self,
        protocol: Protocol,
        reachability: DomainReachability,
        clock: Callable[[], float],
        make_pool: Callable[[ListedUpstream, int], httpx.AsyncBaseTransport],
    ) -> None:
        """Takes what calls need.

        Args:
            protocol: How upstreams name things.
            reachability: Is told which failure domains answer.
            clock: Clock in seconds.
            make_pool: Makes the connections to an upstream, given their bound.
        """
        self._protocol = protocol
        self._make_pool = make_pool
        self._reachability = reachability
        self._clock = clock
        self._pools: OrderedDict[tuple[str, int], httpx.AsyncBaseTransport] = (
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
        connections_max: int = 100,
    ) -> AsyncIterator[Answer]:
        """Sends a request; the block gets its answer.

        Raises:
            StageError: No answer to this request came.
        """
        written = False

        async def trace(name: str, info: dict) -> None:
            nonlocal written
            del info
            if name == "http11.send_request_headers.started":
                written = True

        def make_error(kind: FailureKind, detail: object) -> StageError:
            verdict = Verdict.MAY_HAVE_RUN if written else Verdict.NOT_RUN
            return StageError(kind, verdict, upstream.name, str(detail))

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
        pool = await self._connection_pool(upstream, connections_max)
        answered = False
        try:
            resp = await pool.handle_async_request(request)
            answered = True
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            raise make_error(FailureKind.CONNECT, type(exc).__name__) from exc
        except (httpx.HTTPError, OSError) as exc:
            raise make_error(FailureKind.RESET, type(exc).__name__) from exc
        finally:
            self._reachability.record_call(
                upstream.failure_domain, answered, self._clock()
            )
        completed = False
        try:
            raw_headers = resp.headers.raw
            reply = self._protocol.decode_reply(resp.status_code, raw_headers)
            if request_id and reply.request_id != request_id:
                # A late second answer to a request without an id has none.
                raise make_error(
                    FailureKind.MISMATCH,
                    f'the answer belongs to request "{reply.request_id}"',
                )
            yield Answer(resp, raw_headers, reply)
            completed = True
        finally:
            if completed:
                await resp.aclose()
            else:
                # Closing an unread body closes its connection.
                with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
                    await resp.aclose()

    async def _connection_pool(
        self, upstream: ListedUpstream, connections_max: int
    ) -> httpx.AsyncBaseTransport:
        pool = self._pools.get(upstream.identity)
        if pool is None:
            pool = self._make_pool(upstream, connections_max)
            self._pools[upstream.identity] = pool
            if len(self._pools) > CONNECTION_POOLS_MAX:
                _, oldest = self._pools.popitem(last=False)
                await oldest.aclose()
        self._pools.move_to_end(upstream.identity)
        return pool
