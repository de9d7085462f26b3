"""Messages of the server to the application that serves one request."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

Message = dict[str, Any]

# Bytes of a body that wait for the application before the connection is no
# longer read. Small chunks are joined, since each message costs an object.
BUFFER_BYTES_MAX = 64 * 1024


class BodyChannel:
    """Passes the body of a request on, and then the end of its connection.

    After that end, what still arrives of the body is dropped. A queue in its
    place would block the connection for good once the application has answered
    and reads no more.
    """

    __slots__ = (
        "_buffer",
        "_is_whole",
        "_is_told",
        "_disconnected",
        "_changed",
        "_room",
        "_ask_for_body",
        "_on_whole",
    )

    def __init__(
        self,
        ask_for_body: Callable[[], Awaitable[None]],
        on_whole: Callable[[], None],
    ) -> None:
        """Creates an empty channel.

        Args:
            ask_for_body: Called when the application first waits for the body.
            on_whole: Called when the whole body has arrived.
        """
        self._buffer = bytearray()
        self._is_whole = False
        self._is_told = False
        self._disconnected = False
        self._changed = asyncio.Event()
        self._room = asyncio.Event()
        self._on_whole = on_whole
        self._ask_for_body: Callable[[], Awaitable[None]] | None = ask_for_body

    async def put(self, message: Message) -> None:
        """Adds a message of the server; waits while the buffer is full."""
        if message["type"] == "http.disconnect":
            self._disconnected = True
            self._changed.set()
            self._room.set()
            return
        while len(self._buffer) >= BUFFER_BYTES_MAX and not self._disconnected:
            self._room.clear()
            await self._room.wait()
        if self._disconnected:
            return
        self._buffer += message["body"]
        if not message.get("more_body", False):
            self._is_whole = True
            self._on_whole()
        self._changed.set()

    async def receive(self) -> Message:
        """Returns the next message for the application."""
        if self._ask_for_body is not None:
            ask, self._ask_for_body = self._ask_for_body, None
            if not self._is_whole:
                await ask()
        while True:
            if self._buffer or (self._is_whole and not self._is_told):
                body = bytes(self._buffer)
                self._buffer = bytearray()
                self._is_told = self._is_whole
                self._room.set()
                return {
                    "type": "http.request",
                    "body": body,
                    "more_body": not self._is_whole,
                }
            if self._disconnected:
                return {"type": "http.disconnect"}
            self._changed.clear()
            await self._changed.wait()
