"""Progress of the stages of one request.

Stages form a directed acyclic graph: a stage starts when all stages that it
depends on are done. A stage without inputs whose large result only the request
itself reads starts last, so that the result does not occupy memory while the
other stages run.
"""

from collections.abc import Mapping, Sequence

from applespring.core.piece import LARGE_RESULT_BYTES
from applespring.core.route import StageStep


class Chain:
    """Results of the stages of one request, and which stages start next.

    Attributes:
        steps: Stages of the route that have pieces in this request, by index.
        counts: Number of pieces of each of these stages.
    """

    __slots__ = ("steps", "counts", "_handles", "_started", "_released")

    def __init__(
        self, steps: Sequence[StageStep], counts: Sequence[int]
    ) -> None:
        self.steps: dict[int, StageStep] = {
            step.index: step
            for step in steps
            if step.index < len(counts) and counts[step.index] > 0
        }
        self.counts = {index: counts[index] for index in self.steps}
        self._handles: dict[int, dict[int, str]] = {i: {} for i in self.steps}
        self._started: set[int] = set()
        self._released: set[int] = set()

    def start(self, index: int) -> None:
        """Records that the pieces of a stage were submitted."""
        self._started.add(index)

    def restart(self, index: int) -> None:
        """Discards the results of a stage and of all stages made from them.

        The stages count as not started, so that `due` returns them again.
        """
        self._started.discard(index)
        self._released.discard(index)
        self._handles[index] = {}
        for step in self.steps.values():
            if index in step.after and step.index in self._started:
                self.restart(step.index)

    def restart_all(self) -> None:
        """Discards the results of all stages."""
        for index in self.steps:
            self.restart(index)

    def record_result(self, index: int, segment: int, handle: str) -> None:
        """Records the handle of a piece's result."""
        self._handles[index][segment] = handle

    def is_done(self, index: int) -> bool:
        """Returns whether all pieces of a stage have a result."""
        return len(self._handles[index]) == self.counts[index]

    @property
    def done(self) -> bool:
        """Whether all stages are done."""
        return all(self.is_done(index) for index in self.steps)

    @property
    def started(self) -> bool:
        """Whether the pieces of any stage were submitted."""
        return bool(self._started)

    def is_started(self, index: int) -> bool:
        """Returns whether the pieces of this stage were submitted."""
        return index in self._started

    def started_stages(self) -> set[int]:
        """Returns the indices of the stages whose pieces were submitted."""
        return set(self._started)

    def missing(self, index: int) -> list[int]:
        """Returns the segment numbers of a stage that have no result yet."""
        results = self._handles[index]
        return [n for n in range(self.counts[index]) if n not in results]

    def handles(self, index: int) -> list[str]:
        """Returns the handles of a stage's results, ordered by segment."""
        results = self._handles[index]
        return [results[number] for number in sorted(results)]

    def inputs(self, index: int) -> list[str]:
        """Returns the handles that every piece of a stage gets as inputs."""
        return [
            handle
            for predecessor in self.steps[index].after
            if predecessor in self.steps
            for handle in self.handles(predecessor)
        ]

    def due(self) -> list[int]:
        """Returns the indices of the stages to submit now."""
        ready = [
            index
            for index, step in self.steps.items()
            if index not in self._started and self._inputs_done(step)
        ]
        deferred = [i for i in ready if self._is_deferred(self.steps[i])]
        others = [i for i in ready if i not in deferred]
        waiting = [i for i in self.steps if i not in self._started]
        # A deferred stage starts together with the last of the other stages.
        if deferred and all(i in ready for i in waiting):
            return ready
        return others

    def _inputs_done(self, step: StageStep) -> bool:
        return all(
            self.is_done(index) for index in step.after if index in self.steps
        )

    def _is_deferred(self, step: StageStep) -> bool:
        return (
            step.result_bytes >= LARGE_RESULT_BYTES
            and not step.after
            and self.is_final(step.index)
        )

    def is_final(self, index: int) -> bool:
        """Returns whether no other stage reads the results of this one."""
        return not any(index in step.after for step in self.steps.values())

    def final_stages(self) -> list[int]:
        """Returns the stages that no other stage depends on, by index.

        The request itself reads their results.
        """
        return [index for index in sorted(self.steps) if self.is_final(index)]

    def final_handles(self) -> list[str]:
        """Returns the handles that the request itself reads, in order."""
        return [
            handle
            for index in self.final_stages()
            for handle in self.handles(index)
        ]

    def take_unneeded(self) -> dict[int, list[str]]:
        """Returns handles that no stage needs any more, by stage.

        Each handle is returned once, to be released.
        """
        unneeded = {}
        for index in self.steps:
            if self.is_final(index) or index in self._released:
                continue
            dependents = [s for s in self.steps.values() if index in s.after]
            if all(self.is_done(step.index) for step in dependents):
                self._released.add(index)
                unneeded[index] = self.handles(index)
        return unneeded

    @property
    def final_released(self) -> bool:
        """Whether a result that the request itself reads was released."""
        return any(index in self._released for index in self.final_stages())

    def take_remaining(self) -> dict[int, list[str]]:
        """Returns all handles that were not taken for release yet, by stage.

        They count as released afterwards.
        """
        remaining = {
            index: self.handles(index)
            for index in self.steps
            if index not in self._released and self._handles[index]
        }
        self._released.update(remaining)
        return remaining

    def depth_after(self, index: int) -> int:
        """Returns the length of the longest path of stages after a stage."""
        dependents = [s.index for s in self.steps.values() if index in s.after]
        return max((1 + self.depth_after(i) for i in dependents), default=0)


def remaining_s(
    chain: Chain, index: int, call_s: Mapping[int, float], run_s: float
) -> float:
    """Returns the expected time from the end of a stage to the first event.

    The event is the first one of the answer's stream. The time is that of the
    longest path of later stages, without waits in their queues.

    Args:
        chain: The stages of the request.
        index: The stage that ends.
        call_s: Expected time of a call of each stage, by index.
        run_s: Expected time from the end of the last stage to the first event.
    """
    dependents = [s.index for s in chain.steps.values() if index in s.after]
    return max(
        (
            call_s.get(i, 0.0) + remaining_s(chain, i, call_s, run_s)
            for i in dependents
        ),
        default=run_s,
    )
