"""What callers use and what was turned away, for metrics."""

from applespring.core.caller_memory import CallerMemory
from applespring.serving.server import Server


class CallerFigures:
    """Reads the figures of the memory and of the server of callers.

    Attributes:
        server: The server, or None before it is started.
    """

    __slots__ = ("server", "_memory")

    def __init__(self, memory: CallerMemory) -> None:
        self.server: Server | None = None
        self._memory = memory

    def read(self) -> dict[str, float]:
        """Returns the figures by name.

        Bytes and connections are those of now, all others since the start.
        """
        figures = {
            "memory_bytes": self._memory.used,
            "memory_yielded": self._memory.yielded,
            "memory_refused": self._memory.refused,
        }
        if self.server is not None:
            table = self.server.table
            figures |= {
                "connections": len(table),
                "connections_yielded": table.yielded,
                "connections_refused": table.refused,
                "heads_rejected": self.server.heads_rejected,
            }
        return {name: float(value) for name, value in figures.items()}
