"""Splits a stream of server-sent events into whole events."""

import re

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?(.*?)\r?$", re.MULTILINE)


class EventSplitter:
    """Collects bytes and returns whole events.

    Attributes:
        last_id: Id of the newest whole event, or "".
        count: Whole events so far.
    """

    __slots__ = ("last_id", "count", "_buffer")

    def __init__(self) -> None:
        self.last_id = ""
        self.count = 0
        self._buffer = b""

    def feed(self, data: bytes) -> bytes:
        """Adds bytes; returns the whole events among them, as sent."""
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
        """Whether bytes of an unfinished event are held."""
        return bool(self._buffer)

    def drop_partial(self) -> None:
        """Forgets an unfinished event, before the stream goes on elsewhere."""
        self._buffer = b""
