"""One request while its stages are executed."""

from collections.abc import Iterable, Sequence

import anyio

from applespring.core.chain import Chain
from applespring.core.route import RoutingDocument
from applespring.relay.protocol import CallerRequest

# Bytes of results or inputs of a stage that are worth a preferred domain.
LOCALITY_BYTES_MIN = 100_000
# Part of a full call that a stage is expected to take.
CALL_TIME_FACTOR = 1.1


class StageRun:
    """The stages of one request while they are executed.

    Attributes:
        req: The request.
        chain: Progress of its stages.
        call_s: Expected time of a call of each stage, by index.
        priority: Rank of the request.
        target_at: When its answer should begin.
        leaves_at: When its caller leaves.
        preferred_domain: Failure domain where large results should be, or "".
        result_bytes: Bytes of results of each stage by failure domain.
        results_arrived: Set when results have arrived.
        failures: Failed pieces that arrived since the last look, as stage,
            piece and reason.
        submission_numbers: Numbers of the submissions that are not complete.
        resubmits: Times that pieces were submitted anew.
        repeated: Whether all stages were executed again.
    """

    __slots__ = (
        "req",
        "chain",
        "call_s",
        "priority",
        "target_at",
        "leaves_at",
        "preferred_domain",
        "result_bytes",
        "results_arrived",
        "failures",
        "submission_numbers",
        "resubmits",
        "repeated",
    )

    def __init__(
        self,
        req: CallerRequest,
        chain: Chain,
        document: RoutingDocument,
        *,
        priority: int,
        target_at: float,
        leaves_at: float,
    ) -> None:
        self.req = req
        self.chain = chain
        self.call_s = expected_call_times(chain, document)
        self.priority = priority
        self.target_at = target_at
        self.leaves_at = leaves_at
        self.preferred_domain = ""
        self.result_bytes: dict[int, dict[str, float]] = {}
        self.results_arrived = anyio.Event()
        self.failures: list[tuple[int, int, str]] = []
        self.submission_numbers: set[int] = set()
        self.resubmits = 0
        self.repeated = False

    def input_bytes_by_domain(self, stages: Iterable[int]) -> dict[str, float]:
        """Returns the bytes of results of some stages by failure domain."""
        total: dict[str, float] = {}
        for stage in stages:
            for domain, size in self.result_bytes.get(stage, {}).items():
                total[domain] = total.get(domain, 0.0) + size
        return total

    def final_input_bytes_by_domain(self) -> dict[str, float]:
        """Returns the bytes that the request itself takes, by domain."""
        return self.input_bytes_by_domain(self.chain.final_stages())

    def choose_domain(self, index: int) -> str:
        """Returns where a stage should be executed, or "" for anywhere."""
        step = self.chain.steps[index]
        inputs = self.input_bytes_by_domain(step.after)
        if sum(inputs.values()) >= LOCALITY_BYTES_MIN:
            return max(inputs, key=lambda domain: (inputs[domain], domain))
        stage_bytes = step.result_bytes * self.chain.counts[index]
        return (
            self.preferred_domain if stage_bytes >= LOCALITY_BYTES_MIN else ""
        )


class StageSubmission:
    """Pieces of a stage that a keeper has."""

    __slots__ = (
        "number",
        "stage",
        "scheduler",
        "incarnation",
        "missing",
        "run",
    )

    def __init__(
        self,
        number: int,
        stage: int,
        scheduler: str,
        incarnation: int,
        missing: Sequence[int],
        run: StageRun,
    ) -> None:
        self.number = number
        self.stage = stage
        self.scheduler = scheduler
        self.incarnation = incarnation
        self.missing = set(missing)
        self.run = run


def expected_call_times(
    chain: Chain, document: RoutingDocument
) -> dict[int, float]:
    """Returns the expected time of a call of each stage, by index."""
    times = {}
    for index, step in chain.steps.items():
        spec = document.pools.get(step.pool)
        if spec is not None and spec.batch is not None:
            batch = spec.batch
            full_s = batch.call_s + batch.batch * batch.piece_s
            times[index] = CALL_TIME_FACTOR * full_s
    return times
