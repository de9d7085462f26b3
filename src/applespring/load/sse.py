"""Incremental parser of server-sent events."""

EVENT_MAX_BYTES = 1024 * 1024


class EventReader:
    """Splits a stream of bytes into events."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[tuple[str, bytes]]:
        """Returns the name and data of each event that is now complete.

        Raises:
            ValueError: An event exceeds `EVENT_MAX_BYTES`.
        """
        # A carriage return at the end may belong to a line feed still to come.
        self._buffer = (self._buffer + data).replace(b"\r\n", b"\n")
        *blocks, self._buffer = self._buffer.split(b"\n\n")
        if len(self._buffer) > EVENT_MAX_BYTES:
            raise ValueError(
                f"an event has {len(self._buffer)} bytes; at most "
                f"{EVENT_MAX_BYTES} are allowed"
            )
        return [_parse_event(block) for block in blocks if block]

    @property
    def pending(self) -> bool:
        """Whether part of an event has arrived."""
        return bool(self._buffer.strip())


def _parse_event(block: bytes) -> tuple[str, bytes]:
    name, data = "message", []
    for line in block.split(b"\n"):
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"event":
            name = value.decode("utf-8", "replace")
        elif field == b"data":
            data.append(value)
    return name, b"\n".join(data)
