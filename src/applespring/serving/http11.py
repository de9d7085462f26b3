"""HTTP/1.1 on a connection of a caller."""

from collections.abc import Callable

import h11
from hypercorn.protocol import ProtocolWrapper
from hypercorn.protocol.events import Request
from hypercorn.protocol.h11 import STREAM_ID, H11Protocol
from hypercorn.protocol.http_stream import HTTPStream
from hypercorn.typing import H11SendableEvent

_CONNECTION_HEADERS = (b"connection", b"keep-alive")
_SENT_STATES = (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)


class Http11(H11Protocol):
    """HTTP/1.1 that asks for a body only when the application reads it."""

    def __init__(
        self,
        allows_http2: bool,
        is_lost: Callable[[], bool],
        on_rejected: Callable[[], None],
        *args: object,
    ) -> None:
        """Waits for a head.

        Args:
            allows_http2: Whether the client may go on with HTTP/2.
            is_lost: Whether the connection has been closed.
            on_rejected: Called when the server rejects what it can't read.
            *args: Those of `H11Protocol`.
        """
        super().__init__(*args)
        self._allows_http2 = allows_http2
        self._is_lost = is_lost
        self._on_rejected = on_rejected
        self._body_wanted = False
        self._is_chunked = False

    @property
    def head_begun(self) -> bool:
        """Whether a head has begun to arrive and has not ended."""
        conn = self.connection
        return conn.their_state is h11.IDLE and bool(conn.trailing_data[0])

    @property
    def reads_chunks(self) -> bool:
        """Whether what arrives next may be a head or chunks of a body."""
        return self.stream is None or self._is_chunked

    @property
    def is_sent(self) -> bool:
        """Whether the client has sent its whole request."""
        return self.connection.their_state in _SENT_STATES

    async def ask_for_body(self) -> None:
        """Sends "100 Continue" if the client waits for it."""
        self._body_wanted = True
        if self.connection.they_are_waiting_for_100_continue:
            await self._send_h11_event(
                h11.InformationalResponse(status_code=100, headers=[])
            )

    async def reject_head(self) -> None:
        """Answers that the head did not arrive in time."""
        if self.connection.our_state is h11.IDLE:
            await self._send_error_response(408)

    async def _create_stream(self, request: h11.Request) -> None:
        if self._is_lost():
            # It was read before the client closed the connection.
            raise ConnectionResetError("the client has closed the connection")
        # Other than hypercorn's, this one serves no websockets. A server that
        # does not know what a client offers to upgrade to ignores the offer.
        self._body_wanted = False
        self._is_chunked = any(
            name == b"transfer-encoding" for name, _ in request.headers
        )
        self.stream = HTTPStream(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.ssl,
            self.client,
            self.server,
            self.stream_send,
            STREAM_ID,
        )
        await self.stream.handle(
            Request(
                stream_id=STREAM_ID,
                headers=list(request.headers),
                http_version=request.http_version.decode(),
                method=request.method.decode("ascii").upper(),
                raw_path=request.target,
                state=self.connection_state,
            )
        )
        self.keep_alive_requests += 1

    async def _check_protocol(self, event: h11.Request) -> None:
        if self._allows_http2:
            await super()._check_protocol(event)

    async def _send_error_response(self, status_code: int) -> None:
        self._on_rejected()
        await super()._send_error_response(status_code)

    async def _send_h11_event(self, event: H11SendableEvent) -> None:
        # The server offers to send this as soon as it has read the head.
        if (
            isinstance(event, h11.InformationalResponse)
            and event.status_code == 100
            and not self._body_wanted
        ):
            return
        if isinstance(event, h11.Response) and not self.is_sent:
            # The rest of the request is not read as the begin of another one.
            headers = [
                (name, value)
                for name, value in event.headers
                if name not in _CONNECTION_HEADERS
            ]
            event = h11.Response(
                status_code=event.status_code,
                headers=[*headers, (b"connection", b"close")],
            )
        await super()._send_h11_event(event)


class HttpProtocols(ProtocolWrapper):
    """The protocol of a connection, HTTP/1.1 until its client changes it."""

    def __init__(
        self,
        allows_http2: bool,
        is_lost: Callable[[], bool],
        on_rejected: Callable[[], None],
        *args: object,
    ) -> None:
        """Begins with HTTP/1.1.

        Args:
            allows_http2: Whether the client may go on with HTTP/2.
            is_lost: Whether the connection has been closed.
            on_rejected: Called when the server rejects what it can't read.
            *args: Those of `ProtocolWrapper`.
        """
        super().__init__(*args)
        self.protocol = Http11(
            allows_http2,
            is_lost,
            on_rejected,
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.state,
            self.ssl,
            self.client,
            self.server,
            self.send,
        )

    @property
    def http11(self) -> Http11 | None:
        """The protocol if it is HTTP/1.1, else None."""
        return self.protocol if isinstance(self.protocol, Http11) else None
