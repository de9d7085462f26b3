"""Splits a stream of server-sent events into complete events."""

import re

from applespring.core.errors import ApplespringError

# Longest event.
EVENT_BYTES_MAX = 64 * 1024
# Length of the longest mark of the end of an event, which may arrive in parts.
_END_BYTES_MAX = 4

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)


class EventTooLongError(ApplespringError):
    """A stream sent more bytes than an event may have, without its end."""


class EventSplitter:
    """Buffers the bytes of a stream and returns complete events.

    Attributes:
        last_id: Id of the newest complete event that has one, or "".
        count: Number of complete events so far.
    """

    __slots__ = ("last_id", "count", "_buffer", "_searched")

    def __init__(self) -> None:
        self.last_id = ""
        self.count = 0
        self._buffer = b""
        # Where the search for the end of the buffered event goes on.
        self._searched = 0

    def feed(self, data: bytes) -> bytes:
        """Adds bytes; returns the events that they complete, unchanged.

        Raises:
            EventTooLongError: The unfinished event exceeds `EVENT_BYTES_MAX`.
        """
        self._buffer += data
        end = 0
        for found in _END.finditer(self._buffer, self._searched):
            event = self._buffer[end : found.end()]
            end = found.end()
            id_field = _ID.search(event)
            if id_field is not None:
                self.last_id = id_field.group(1).decode("latin-1")
            self.count += 1
        complete, self._buffer = self._buffer[:end], self._buffer[end:]
        if len(self._buffer) > EVENT_BYTES_MAX:
            raise EventTooLongError(
                f"{len(self._buffer)} bytes without the end of an event; the "
                f"limit is {EVENT_BYTES_MAX}"
            )
        self._searched = max(0, len(self._buffer) - _END_BYTES_MAX)
        return complete

    @property
    def partial(self) -> bool:
        """Whether bytes of an incomplete event are buffered."""
        return bool(self._buffer)

    def drop_partial(self) -> None:
        """Discards an incomplete event before another engine takes over."""
        self._buffer = b""
        self._searched = 0
