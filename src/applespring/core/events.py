"""Splits a stream of server-sent events into complete events."""

import re

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)


class EventSplitter:
    """Buffers the bytes of a stream and returns complete events.

    Attributes:
        last_id: Id of the newest complete event that has one, or "".
        count: Number of complete events so far.
    """

    __slots__ = ("last_id", "count", "_buffer")

    def __init__(self) -> None:
        self.last_id = ""
        self.count = 0
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Adds bytes; returns the events that they complete, unchanged."""
        self._buffer += data
        end = 0
        for found in _END.finditer(self._buffer):
            event = self._buffer[end : found.end()]
            end = found.end()
            id_field = _ID.search(event)
            if id_field is not None:
                self.last_id = id_field.group(1).decode("latin-1")
            self.count += 1
        complete, self._buffer = self._buffer[:end], self._buffer[end:]
        return complete

    @property
    def partial(self) -> bool:
        """Whether bytes of an incomplete event are buffered."""
        return bool(self._buffer)

    def drop_partial(self) -> None:
        """Discards an incomplete event before another engine takes over."""
        self._buffer = b""
