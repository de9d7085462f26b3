"""Records the calls that a stand-in executes, for checks of the outcome."""

from typing import Any

import anyio

RECORDS_MAX = 200_000


class Execution:
    """A call that a stand-in has started to execute.

    Times are in seconds on the monotonic clock, which all processes of a
    machine share, so that records of several stand-ins can be compared.
    """

    __slots__ = (
        "request_id",
        "stage",
        "attempt",
        "key",
        "started",
        "finished",
        "completed",
        "digest",
    )

    def __init__(
        self, request_id: str, stage: str, attempt: int, key: str
    ) -> None:
        self.request_id = request_id
        self.stage = stage
        self.attempt = attempt
        self.key = key
        self.started = anyio.current_time()
        self.finished: float | None = None
        self.completed = False
        self.digest = ""

    def finish(self, completed: bool, digest: str = "") -> None:
        """Records the end of the execution."""
        self.finished = anyio.current_time()
        self.completed = completed
        self.digest = digest

    def to_json(self) -> dict[str, Any]:
        """Returns the fields as a JSON object."""
        return {name: getattr(self, name) for name in self.__slots__}


class Record:
    """Executions in the order in which they started.

    Attributes:
        executions: The first `RECORDS_MAX` executions.
        dropped: Number of later executions, which are not stored.
    """

    __slots__ = ("executions", "dropped")

    def __init__(self) -> None:
        self.executions: list[Execution] = []
        self.dropped = 0

    def start(
        self, request_id: str, stage: str, attempt: int, key: str
    ) -> Execution:
        """Adds an execution that starts now, if the record is not full."""
        execution = Execution(request_id, stage, attempt, key)
        if len(self.executions) < RECORDS_MAX:
            self.executions.append(execution)
        else:
            self.dropped += 1
        return execution
