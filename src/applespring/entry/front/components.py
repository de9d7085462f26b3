"""The components that the HTTP application uses."""

from collections.abc import Callable, Mapping
from typing import Any

from applespring.core.caller_memory import CallerMemory
from applespring.core.fleet import Fleet
from applespring.entry.drain import DrainService
from applespring.entry.execution.gates import Clock, Gates
from applespring.entry.execution.runner import PipelineRunner
from applespring.entry.mesh.keys import KeyService
from applespring.entry.mesh.sharing import Sharing
from applespring.entry.monitoring.metrics import Metrics


class Components:
    """The components of an instance that serve callers and operators.

    Attributes:
        metrics: The metrics of the instance.
        drain: Tracks the work in flight.
        runner: Runs pipelines.
        keys: Runs keyed requests at most once.
        gates: The gates of all pools.
        sharing: Counts the demand of client accounts.
        fleet: Returns the configuration in force, or None.
        document: Returns the revision and the text of that configuration.
        readiness: Returns whether the instance is ready, and why.
        describe: Returns the status for operators.
        read_state: Updates the metrics that other components count.
        new_id: Returns a new request id.
        clock: Seconds on the monotonic clock.
        memory: What is held in memory for callers.
    """

    __slots__ = (
        "metrics",
        "drain",
        "runner",
        "keys",
        "gates",
        "sharing",
        "fleet",
        "document",
        "readiness",
        "describe",
        "read_state",
        "new_id",
        "clock",
        "memory",
    )

    def __init__(
        self,
        *,
        metrics: Metrics,
        drain: DrainService,
        runner: PipelineRunner,
        keys: KeyService,
        gates: Gates,
        sharing: Sharing,
        fleet: Callable[[], Fleet | None],
        document: Callable[[], tuple[int, str]],
        readiness: Callable[[], tuple[bool, str]],
        describe: Callable[[], Mapping[str, Any]],
        read_state: Callable[[], None],
        new_id: Callable[[], str],
        clock: Clock,
        memory: CallerMemory,
    ) -> None:
        self.metrics = metrics
        self.drain = drain
        self.runner = runner
        self.keys = keys
        self.gates = gates
        self.sharing = sharing
        self.fleet = fleet
        self.document = document
        self.readiness = readiness
        self.describe = describe
        self.read_state = read_state
        self.new_id = new_id
        self.clock = clock
        self.memory = memory
