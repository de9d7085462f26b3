"""State of a request while its stages are executed."""

from collections.abc import Callable, Iterable, Sequence

import anyio

from applespring.core.chain import Chain
from applespring.core.homes import Regions
from applespring.core.route import RoutingDocument
from applespring.relay.protocol import CallerRequest

# A stage whose inputs, or whose results for the engine, have at least this many
# bytes gets a preferred failure domain.
LOCALITY_BYTES_MIN = 100_000
# Expected time of a stage call as a multiple of the nominal time of a full one.
CALL_TIME_FACTOR = 1.1


class StageRun:
    """Progress of the stages of one request.

    Attributes:
        req: The request.
        chain: Its stages, with their results so far.
        call_s: Expected time of a call of each stage, by index.
        priority: Priority in the queues of stage pools; 0 is the most urgent.
        target_at: When the first event of its answer is due.
        leaves_at: Until when its caller waits for the first event or a refusal.
        run_s: Expected time from the end of the last stage to the first event.
        preferred_domain: Failure domain for large results, which is that of
            the engine that is expected to read them, or "" for any.
        result_bytes_by_domain: Bytes of results by stage and failure domain.
        results_arrived: Set when results or failures have arrived.
        failures: Failed pieces that are not handled yet, as stage, segment
            (number of the piece in its stage) and reason: a failure of
            `PieceReply` or "moved".
        submission_numbers: Numbers of the submissions that are not complete.
        resubmits: How many times pieces were submitted again.
        repeated: Whether all stages were executed a second time.
        fingerprint: Fingerprint of the request.
        is_trial: Whether the request is a trial of what is quarantined.
        read_regions: Returns the regions that the homes of the request allow
            now.
        regions: Regions for which its pieces were submitted.
    """

    __slots__ = (
        "req",
        "chain",
        "call_s",
        "priority",
        "target_at",
        "leaves_at",
        "run_s",
        "preferred_domain",
        "result_bytes_by_domain",
        "results_arrived",
        "failures",
        "submission_numbers",
        "resubmits",
        "repeated",
        "fingerprint",
        "is_trial",
        "read_regions",
        "regions",
        "account",
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
        run_s: float,
        fingerprint: str = "",
        is_trial: bool = False,
        read_regions: Callable[[], Regions] = lambda: None,
        account: str = "",
    ) -> None:
        self.req = req
        self.chain = chain
        self.call_s = expected_call_times(chain, document)
        self.priority = priority
        self.target_at = target_at
        self.leaves_at = leaves_at
        self.run_s = run_s
        self.preferred_domain = ""
        self.result_bytes_by_domain: dict[int, dict[str, float]] = {}
        self.results_arrived = anyio.Event()
        self.failures: list[tuple[int, int, str]] = []
        self.submission_numbers: set[int] = set()
        self.resubmits = 0
        self.repeated = False
        self.fingerprint = fingerprint
        self.is_trial = is_trial
        self.read_regions = read_regions
        self.regions = read_regions()
        self.account = account

    def input_bytes_by_domain(self, stages: Iterable[int]) -> dict[str, float]:
        """Returns the bytes of results of these stages by failure domain."""
        total: dict[str, float] = {}
        for stage in stages:
            for domain, size in self.result_bytes_by_domain.get(
                stage, {}
            ).items():
                total[domain] = total.get(domain, 0.0) + size
        return total

    def final_input_bytes_by_domain(self) -> dict[str, float]:
        """Returns the bytes that the engine has to read, by failure domain."""
        return self.input_bytes_by_domain(self.chain.final_stages())

    def choose_domain(self, index: int) -> str:
        """Returns the preferred failure domain of a stage, or "" for any.

        Each piece of a stage fetches all results of the stages before it, so a
        stage follows its inputs. A stage without large inputs is executed
        wherever an upstream is idle, unless the engine reads its results.
        """
        step = self.chain.steps[index]
        inputs = self.input_bytes_by_domain(step.after)
        if sum(inputs.values()) >= LOCALITY_BYTES_MIN:
            return max(inputs, key=lambda domain: (inputs[domain], domain))
        stage_bytes = step.result_bytes * self.chain.counts[index]
        if self.chain.is_final(index) and stage_bytes >= LOCALITY_BYTES_MIN:
            return self.preferred_domain
        return ""


class StageSubmission:
    """Pieces of a stage that were submitted to a scheduler.

    Attributes:
        number: Number of the submission, unique in this instance.
        stage: Index of the stage.
        scheduler: Name of the scheduling instance.
        incarnation: Incarnation of that instance when it got the pieces.
        missing: Segments of the pieces without a result or failure so far.
        withdrawn: Whether another scheduler has the pieces since. Results that
            come all the same are used, and failures are not.
        run: The request that they belong to.
    """

    __slots__ = (
        "number",
        "stage",
        "scheduler",
        "incarnation",
        "missing",
        "withdrawn",
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
        self.withdrawn = False
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
