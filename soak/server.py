"""HTTP/1.1 server whose handlers can send malformed or truncated answers."""

import contextlib
from collections.abc import Awaitable, Callable, Sequence

import anyio
import h11
from anyio.abc import TaskGroup, TaskStatus

from soak.net import Address, Conn, ConnError, serve
from soak.record import SentAnswer
from soak.silence import BODY, CONTROL, HEAD, Silence

# What is sent again and again as an answer without end, and the pause between.
ENDLESS_CHUNK = b"x" * 4096
ENDLESS_PAUSE_S = 0.01


class Request:
    """A completely received request.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: Headers, names in lower case.
        body: Complete body.
    """

    __slots__ = ("method", "target", "headers", "body")

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


class SecondAnswers:
    """Second answers on a connection, which never interrupt another answer.

    Attributes:
        in_progress: Whether an answer has begun and not ended.
    """

    __slots__ = ("in_progress", "_conn", "_due")

    def __init__(self, conn: Conn) -> None:
        self.in_progress = False
        self._conn = conn
        self._due = b""

    def add(self, data: bytes) -> None:
        """Adds an answer that is sent before the next one."""
        self._due += data

    async def send_later(self, data: bytes, delay_s: float) -> None:
        """Sends an answer after a delay, or before the next one after it."""
        await anyio.sleep(delay_s)
        self.add(data)
        if not self.in_progress:
            # The client may have closed the connection.
            with contextlib.suppress(ConnError):
                await self.send_due()

    async def send_due(self) -> None:
        """Sends the answers that are due."""
        data, self._due = self._due, b""
        await self._conn.send(data)


class Reply:
    """Writes the answer to one request.

    Attributes:
        silence: Silence that delays the answer, or None.
        is_control: Whether it answers a release or a report.
        unframed: Whether the answer has neither a length nor chunks and ends
            with its connection.
        said: Headers in which the worker says something of itself.
        on_said: Called when they are sent, or None.
        answer: What has been sent.
        is_doubled: Whether the answer is sent a second time if it is complete.
        second_after_s: Time until then, or None for just before the answer to
            the next request on the connection.
    """

    __slots__ = (
        "silence",
        "is_control",
        "unframed",
        "said",
        "on_said",
        "answer",
        "is_doubled",
        "second_after_s",
        "_conn",
        "_state",
        "_seconds",
        "_sent",
    )

    def __init__(
        self, conn: Conn, state: h11.Connection, seconds: SecondAnswers
    ) -> None:
        self.silence: Silence | None = None
        self.is_control = False
        self.unframed = False
        self.said: list[tuple[str, str]] = []
        self.on_said: Callable[[], None] | None = None
        self.answer = SentAnswer()
        self.is_doubled = False
        self.second_after_s: float | None = None
        self._conn = conn
        self._state = state
        self._seconds = seconds
        self._sent = b""

    def add_second(self, tasks: TaskGroup) -> None:
        """Has the answer sent a second time if it is to be.

        Args:
            tasks: Tasks of the connection.
        """
        if not self.is_doubled:
            return
        if self.second_after_s is None:
            self._seconds.add(self._sent)
        else:
            tasks.start_soon(
                self._seconds.send_later, self._sent, self.second_after_s
            )

    async def _send(self, data: bytes) -> None:
        if self.is_doubled:
            self._sent += data
        await self._conn.send(data)

    async def _wait(self, phase: str) -> None:
        if self.silence is not None:
            await self.silence.wait(CONTROL if self.is_control else phase)

    async def send_head(
        self, status: int, headers: Sequence[tuple[str, str]]
    ) -> None:
        """Sends status and headers."""
        await self._wait(HEAD)
        self._seconds.in_progress = True
        await self._seconds.send_due()
        self.answer.status = status
        headers = [*headers, *self.said]
        if self.on_said is not None:
            self.on_said()
        if self.unframed:
            lines = [f"HTTP/1.1 {status} x"]
            lines += [
                f"{name}: {value}"
                for name, value in headers
                if name != "Content-Length"
            ]
            await self._conn.send("\r\n".join([*lines, "", ""]).encode())
            return
        event = h11.Response(status_code=status, headers=list(headers))
        await self._send(self._state.send(event))

    async def send_part(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self._wait(BODY)
        self.answer.body += data
        if not self.unframed:
            data = self._state.send(h11.Data(data=data))
        await self._send(data)

    async def send_end(self) -> None:
        """Sends the end of the answer."""
        await self._wait(BODY)
        self.answer.complete = True
        if self.unframed:
            self._conn.close()
            return
        await self._send(self._state.send(h11.EndOfMessage()))
        self._seconds.in_progress = False

    async def send_endless(self, *, with_head: bool) -> None:
        """Sends bytes that are no answer until the client closes."""
        if with_head:
            await self.send_head(200, [("Content-Type", "text/plain")])
        while True:
            await self._conn.send(ENDLESS_CHUNK)
            await anyio.sleep(ENDLESS_PAUSE_S)

    async def send_complete(
        self,
        status: int,
        body: bytes = b"",
        headers: Sequence[tuple[str, str]] = (),
    ) -> None:
        """Sends a complete answer with its `Content-Length`."""
        length = ("Content-Length", str(len(body)))
        await self.send_head(status, [*headers, length])
        if body:
            await self.send_part(body)
        await self.send_end()

    async def send_raw(self, data: bytes) -> None:
        """Sends bytes outside of the HTTP framing of the answer."""
        await self._conn.send(data)

    def reset(self) -> None:
        """Resets the connection without a FIN."""
        self._conn.reset()


Handler = Callable[[Request, Reply], Awaitable[None]]


class HttpServer:
    """Runs a handler for each request; cancels it if the client disconnects."""

    __slots__ = ("_address", "_handler", "_conns")

    def __init__(self, address: Address, handler: Handler) -> None:
        self._address = address
        self._handler = handler
        self._conns: set[Conn] = set()

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled."""
        await serve(self._address, self._serve, task_status=task_status)

    def reset_all(self) -> None:
        """Resets every connection, as if the process had been killed."""
        for conn in list(self._conns):
            conn.reset()

    async def _serve(self, conn: Conn) -> None:
        self._conns.add(conn)
        try:
            async with anyio.create_task_group() as tasks:
                await self._serve_requests(conn, tasks)
                tasks.cancel_scope.cancel()
        finally:
            self._conns.discard(conn)

    async def _serve_requests(self, conn: Conn, tasks: TaskGroup) -> None:
        state = h11.Connection(h11.SERVER)
        seconds = SecondAnswers(conn)
        try:
            while (req := await _read(conn, state)) is not None:
                reply = Reply(conn, state, seconds)
                if not await self._answer(req, conn, state, reply):
                    return
                reply.add_second(tasks)
                state.start_next_cycle()
        except (h11.RemoteProtocolError, ConnError):
            conn.reset()

    async def _answer(
        self, req: Request, conn: Conn, state: h11.Connection, reply: Reply
    ) -> bool:
        """Answers a request; returns whether the connection can be reused."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    _cancel_on_disconnect, conn, state, tasks.cancel_scope
                )
                await self._handler(req, reply)
                tasks.cancel_scope.cancel()
        except* ConnError:
            # The client disconnected.
            conn.reset()
        return state.our_state is h11.DONE


async def _read(conn: Conn, state: h11.Connection) -> Request | None:
    """Returns the next request, or None after the client's FIN."""
    head, parts = None, []
    while True:
        event = state.next_event()
        if event is h11.NEED_DATA:
            state.receive_data(await conn.receive())
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return Request(
                head.method.decode(),
                head.target.decode("latin-1"),
                {
                    name.decode("latin-1").lower(): value.decode("latin-1")
                    for name, value in head.headers
                },
                b"".join(parts),
            )
        else:
            return None


async def _cancel_on_disconnect(
    conn: Conn, state: h11.Connection, scope: anyio.CancelScope
) -> None:
    """Cancels a scope when the client closes its connection."""
    try:
        while data := await conn.receive():
            state.receive_data(data)
    except ConnError:
        pass
    scope.cancel()
