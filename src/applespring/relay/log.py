"""Structured logging to standard output that never blocks the event loop.

Each line is a JSON object. Lines are kept in a bounded buffer and written when
the pipe accepts them. When the buffer is full, lines are dropped, those below
WARNING first. Long texts in a line, which callers and upstreams may have sent,
are shortened. The number of dropped lines is logged once the buffer is less
than half full.
"""

import os
from collections import deque

import anyio
import orjson
from loguru import logger

# About a second of lines at the heaviest load of one instance.
BUFFER_LINES_MAX = 2000
# Lines of the buffer that are reserved for warnings and errors.
RESERVED_LINES = 500
# Bytes of the buffer, and of what the pipe has not accepted yet.
BUFFER_BYTES_MAX = 2 * 1024 * 1024
RESERVED_BYTES = 512 * 1024
# Characters of a text in a line. The ids of the platform have under 100.
TEXT_CHARS_MAX = 512
# Interval between writes, so that lines share a system call.
FLUSH_INTERVAL_S = 0.05
# Interval between writes while the pipe is full.
RETRY_INTERVAL_S = 0.2
_WARNING_LEVEL = 30


class LogWriter:
    """Buffers log lines and writes them without blocking.

    Attributes:
        dropped: Lines dropped since the last log line about dropped lines.
        dropped_total: Lines dropped since the start.
    """

    __slots__ = (
        "dropped",
        "dropped_total",
        "_fd",
        "_lines",
        "_lines_bytes",
        "_partial",
        "_lines_added",
    )

    def __init__(self, fd: int = 1) -> None:
        self.dropped = 0
        self.dropped_total = 0
        self._fd = fd
        self._lines: deque[bytes] = deque()
        self._lines_bytes = 0
        self._partial = b""
        self._lines_added = anyio.Event()

    def install(self, level: str) -> None:
        """Replaces all other loguru sinks with this one.

        Args:
            level: Lowest level of lines that are logged.
        """
        os.set_blocking(self._fd, False)
        logger.remove()
        logger.add(self.put, level=level, format="{message}")

    def put(self, message: object) -> None:
        """Buffers a loguru record, or drops it when the buffer is full."""
        record = message.record
        level = record["level"]
        lines_max, bytes_max = BUFFER_LINES_MAX, BUFFER_BYTES_MAX
        if level.no < _WARNING_LEVEL:
            lines_max -= RESERVED_LINES
            bytes_max -= RESERVED_BYTES
        held = self._lines_bytes + len(self._partial)
        if len(self._lines) >= lines_max or held >= bytes_max:
            self.dropped += 1
            self.dropped_total += 1
            return
        line = {
            "time": record["time"].timestamp(),
            "level": level.name,
            "message": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            line["exception"] = repr(record["exception"].value)
        for name, value in line.items():
            if isinstance(value, str) and len(value) > TEXT_CHARS_MAX:
                line[name] = shorten(value)
        data = orjson.dumps(line, default=str) + b"\n"
        self._lines.append(data)
        self._lines_bytes += len(data)
        self._lines_added.set()

    def flush(self) -> bool:
        """Writes what the pipe accepts; returns whether all was written.

        Lines are discarded if the pipe is broken.
        """
        if self.dropped and len(self._lines) < BUFFER_LINES_MAX // 2:
            line = {"message": "log lines left out", "count": self.dropped}
            self.dropped = 0
            self._lines.append(orjson.dumps(line) + b"\n")
        if self._lines:
            self._partial += b"".join(self._lines)
            self._lines.clear()
            self._lines_bytes = 0
        while self._partial:
            try:
                written = os.write(self._fd, self._partial)
            except BlockingIOError:
                return False
            except OSError:
                # The reader has closed the pipe.
                self._partial = b""
                return True
            self._partial = self._partial[written:]
        return True

    async def run(self) -> None:
        """Writes buffered lines until cancelled; without any, it waits."""
        while True:
            if not self._lines and not self._partial:
                self._lines_added = anyio.Event()
                await self._lines_added.wait()
            complete = self.flush()
            await anyio.sleep(
                FLUSH_INTERVAL_S if complete else RETRY_INTERVAL_S
            )


def shorten(text: str) -> str:
    """Returns the first characters of a text and its length."""
    return f"{text[:TEXT_CHARS_MAX]}... ({len(text)} characters)"
