"""HTTP transport that shows to which sending an answer belongs.

An upstream, or a proxy before it, may answer a request twice. The second answer
may arrive where the answer to the next request on the connection is due. So
each request carries a value that no other request has, and each answer repeats
it, a refusal too. A connection whose answer does not repeat it is not used
again: the first answer on a connection can only be that to the first request.
"""

import itertools
from collections.abc import AsyncIterator
from typing import Any
from weakref import WeakSet

import anyio
import httpx

SENDING_HEADER = "applespring-sending"
# Time allowed for closing a connection.
CLOSE_TIMEOUT_S = 1.0


class ForeignAnswerError(httpx.RemoteProtocolError):
    """An answer that can't be shown to belong to its request."""


class MatchingTransport(httpx.AsyncBaseTransport):
    """Passes on only answers that belong to their requests."""

    __slots__ = ("_transport", "_prefix", "_numbers", "_kept")

    def __init__(
        self, transport: httpx.AsyncBaseTransport, prefix: str
    ) -> None:
        """Initializes the transport.

        Args:
            transport: Sends the requests.
            prefix: Start of the values of all requests, which those of other
                processes don't have.
        """
        self._transport = transport
        self._prefix = prefix
        self._numbers = itertools.count(1)
        # Connections that may have carried an earlier request.
        self._kept: WeakSet[Any] = WeakSet()

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Sends a request and returns its answer.

        Raises:
            ForeignAnswerError: The answer may belong to an earlier request.
        """
        sending = f"{self._prefix}-{next(self._numbers):x}"
        request.headers[SENDING_HEADER] = sending
        resp = await self._transport.handle_async_request(request)
        connection = resp.extensions["network_stream"]
        repeated = resp.headers.get(SENDING_HEADER)
        if repeated == sending:
            self._kept.add(connection)
        elif repeated is not None or connection in self._kept:
            # This closes the connection, since the body is unread.
            with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
                await resp.aclose()
            raise ForeignAnswerError(
                f"the answer to request {sending} names {repeated}",
                request=request,
            )
        else:
            resp.stream = _LastBody(resp.stream, connection)
        return resp

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._transport.aclose()


class _LastBody(httpx.AsyncByteStream):
    """Body of an answer after which its connection is closed."""

    __slots__ = ("_body", "_connection")

    def __init__(self, body: httpx.AsyncByteStream, connection: Any) -> None:
        self._body = body
        self._connection = connection

    async def __aiter__(self) -> AsyncIterator[bytes]:
        async for chunk in self._body:
            yield chunk

    async def aclose(self) -> None:
        # First the connection, or the pool would give it to a request that
        # waits for one.
        try:
            with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
                await self._connection.aclose()
        finally:
            await self._body.aclose()
