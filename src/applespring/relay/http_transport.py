"""HTTP/1.1 transport of one connection to an upstream.

It works on attributes of httpcore that are private, since httpcore knows only
one answer to each request. The version of httpcore is pinned.
"""

from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from typing import Any

import h11
import httpcore
import httpx


class HttpTransport(httpx.AsyncHTTPTransport):
    """Transport that survives a reset during connection setup.

    httpcore sets socket options on a connection that may already be closed. It
    then raises an AttributeError, which no handler of HTTP errors catches.
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
            raise httpx.ConnectError(
                "the connection was reset while it was set up", request=request
            ) from exc

    def has_unread_bytes(self) -> bool:
        """Returns whether bytes were read that follow the last answer.

        httpcore looks for bytes in the socket alone before it uses a connection
        again.
        """
        http11 = self._find_connection()
        return http11 is not None and bool(http11._h11_state.trailing_data[0])

    async def read_next(
        self, resp: httpx.Response, request: httpx.Request, bytes_max: int
    ) -> httpx.Response:
        """Reads an answer to its end, and returns the one behind it.

        Args:
            resp: An answer whose body was not read.
            request: The last request on the connection.
            bytes_max: Longest body of the answer that is read.

        Raises:
            httpx.HTTPError: The connection ended, or the body is too long.
        """
        http11 = self._find_connection()
        size = 0
        async for chunk in resp.stream:
            size += len(chunk)
            if size > bytes_max:
                raise httpx.RemoteProtocolError(
                    f"the body is longer than {bytes_max} bytes"
                )
        state = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=http11.MAX_INCOMPLETE_EVENT_SIZE,
        )
        # The request was sent before; its bytes are not sent again.
        state.send(
            h11.Request(
                method=request.method,
                target=request.extensions["target"],
                headers=[(b"Host", b"x")],
            )
        )
        state.send(h11.EndOfMessage())
        data, ended = http11._h11_state.trailing_data
        if data:
            state.receive_data(data)
        if ended:
            # Empty data means the end of the connection.
            state.receive_data(b"")
        http11._h11_state = state
        with _raise_httpx_errors():
            _, status, _, headers, _ = await http11._receive_response_headers(
                httpcore.Request(request.method, str(request.url))
            )
        return httpx.Response(
            status,
            headers=headers,
            stream=_NextBody(http11, resp),
            extensions=resp.extensions,
        )

    def _find_connection(self) -> Any:
        for connection in self._pool.connections:
            return connection._connection
        return None


class _NextBody(httpx.AsyncByteStream):
    """Body of the answer behind another one to the same request."""

    def __init__(self, http11: Any, first: httpx.Response) -> None:
        self._http11 = http11
        self._first = first

    async def __aiter__(self) -> AsyncIterator[bytes]:
        request = httpcore.Request("GET", str(self._http11._origin))
        with _raise_httpx_errors():
            async for chunk in self._http11._receive_response_body(request):
                yield chunk

    async def aclose(self) -> None:
        # The first answer holds the connection.
        await self._first.stream.aclose()


@contextmanager
def _raise_httpx_errors() -> Iterator[None]:
    try:
        yield
    except (httpcore.NetworkError, httpcore.TimeoutException) as exc:
        raise httpx.ReadError(str(exc)) from exc
    except (httpcore.ProtocolError, h11.ProtocolError) as exc:
        raise httpx.RemoteProtocolError(str(exc)) from exc
