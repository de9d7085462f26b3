"""What an instance believes of the outside, shared by its parts."""

from collections.abc import Callable

from applespring.core.catalog import Catalog
from applespring.core.engineboard import EngineBoard
from applespring.core.route import RoutingDocument
from applespring.core.waits import WaitTable
from applespring.core.window import AttemptWindow
from applespring.relay.settings import RelaySettings


class State:
    """Beliefs of one instance; each part updates what it learns.

    Attributes:
        settings: Settings in force.
        document: The routing document in force, or None before the first.
        document_data: Its bytes, for peers.
        document_read_at: When the registry last confirmed it.
        catalog: Upstreams of the registry.
        entries_read_at: When the registry last confirmed them, or -1.
        engines: Load and health of engines.
        waits: Waiting times of stage pools, by pool.
        leaving: Whether this instance is shutting down.
        requests: Requests being handled.
        clock: Steady clock in seconds that counts suspended time.
    """

    __slots__ = (
        "settings",
        "document",
        "document_data",
        "document_read_at",
        "catalog",
        "entries_read_at",
        "engines",
        "waits",
        "leaving",
        "requests",
        "clock",
        "_windows",
    )

    def __init__(
        self, settings: RelaySettings, clock: Callable[[], float]
    ) -> None:
        self.settings = settings
        self.document: RoutingDocument | None = None
        self.document_data = b""
        self.document_read_at = -1.0
        self.catalog = Catalog()
        self.entries_read_at = -1.0
        self.engines = EngineBoard()
        self.waits = WaitTable()
        self.leaving = False
        self.requests = 0
        self.clock = clock
        self._windows: dict[str, AttemptWindow] = {}

    def window(self, pool: str) -> AttemptWindow:
        """Returns the allowance of added attempts at a pool."""
        window = self._windows.get(pool)
        if window is None:
            cfg = self.settings
            window = self._windows[pool] = AttemptWindow(
                cfg.retry_ratio, cfg.retry_window_s, cfg.retry_extra
            )
        return window

    @property
    def ready(self) -> bool:
        """Whether new callers should come here."""
        return (
            not self.leaving
            and self.document is not None
            and self.entries_read_at >= 0
        )
