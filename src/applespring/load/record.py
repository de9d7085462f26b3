"""Comparison of answers with the execution records of the stand-ins."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import httpx
import orjson

from applespring.core.errors import ApplespringError
from applespring.core.verdict import Verdict
from applespring.load.check import Outcome, Result
from applespring.load.expect import ChainStage

FETCH_TIMEOUT_S = 30.0


class RecordError(ApplespringError):
    """An execution record that cannot be fetched or is incomplete."""


class Submission:
    """A submission whose answer was checked.

    Attributes:
        request_id: Request id of the submission.
        key: Its idempotency key, or "".
        pipeline: Name of the pipeline.
        result: The checked answer.
        ended: Monotonic seconds at which the answer had ended.
    """

    __slots__ = ("request_id", "key", "pipeline", "result", "ended")

    def __init__(
        self,
        request_id: str,
        key: str,
        pipeline: str,
        result: Result,
        ended: float,
    ) -> None:
        self.request_id = request_id
        self.key = key
        self.pipeline = pipeline
        self.result = result
        self.ended = ended

    @property
    def identity(self) -> str:
        """The key, else the id: the same for all submissions of a request."""
        return self.key or self.request_id


class Execution:
    """One execution of a stage by a stand-in.

    Attributes:
        request_id: Request id that the upstream received, as the caller sent
            it.
        identity: Key of the request, or its id when it has none.
        stage: Name of the stage.
        upstream: Name of the stand-in.
        started: Monotonic seconds at which it started.
        completed: Whether it ran to its end.
        idempotent: Whether the stage may be executed repeatedly.
        effect: Whether the request counts as run because of it.
        leaving_since: Monotonic seconds at which the upstream started to leave,
            or None.
    """

    __slots__ = (
        "request_id",
        "identity",
        "stage",
        "upstream",
        "started",
        "completed",
        "idempotent",
        "effect",
        "leaving_since",
    )

    def __init__(
        self,
        record: Mapping[str, Any],
        entry: Mapping[str, Any],
        keys: Mapping[str, str],
    ) -> None:
        # The entry instance appends `~` and a random number to the caller's
        # id, so that upstreams can distinguish callers that use the same id.
        self.request_id: str = entry["request_id"].partition("~")[0]
        # Upstreams that do not check keys do not receive them.
        key = entry["key"] or keys.get(self.request_id, "")
        self.identity = key or self.request_id
        self.stage: str = entry["stage"]
        self.upstream: str = record["name"]
        self.started: float = entry["started"]
        self.completed: bool = entry["completed"]
        self.idempotent: bool = record["idempotent"]
        self.effect: bool = record["effect"]
        self.leaving_since: float | None = record["leaving_since"]


def read_executions(
    records: Iterable[Mapping[str, Any]], submissions: Sequence[Submission]
) -> list[Execution]:
    """Returns the executions that belong to these submissions.

    Raises:
        RecordError: A record is incomplete or malformed.
    """
    keys = {submission.request_id: submission.key for submission in submissions}
    known_ids = keys.keys() | {
        submission.key for submission in submissions if submission.key
    }
    executions = []
    try:
        for record in records:
            if record["dropped"]:
                raise RecordError(
                    f"{record['name']} dropped {record['dropped']} executions"
                )
            for entry in record["executions"]:
                if (
                    entry["request_id"].partition("~")[0] in known_ids
                    or entry["key"] in known_ids
                ):
                    executions.append(Execution(record, entry, keys))
    except (KeyError, TypeError) as exc:
        raise RecordError(f"an execution record is malformed: {exc!r}") from exc
    return executions


async def fetch_records(
    client: httpx.AsyncClient, urls: Sequence[str]
) -> list[dict[str, Any]]:
    """Fetches the execution records of the stand-ins.

    Raises:
        RecordError: A stand-in does not answer with its record.
    """
    records = []
    for url in urls:
        try:
            resp = await client.get(
                f"{url}/admin/executions", timeout=FETCH_TIMEOUT_S
            )
            resp.raise_for_status()
            records.append(orjson.loads(resp.content))
        except (httpx.HTTPError, ValueError) as exc:
            raise RecordError(f"{url}: {exc!r}") from exc
    return records


def find_lost(
    submissions: Sequence[Submission],
    executions: Sequence[Execution],
    chains: Mapping[str, Sequence[ChainStage]],
) -> list[str]:
    """Finds complete answers of which a stage has no completed execution.

    Stages that do not occur in any record are not checked.
    """
    recorded_stages = {execution.stage for execution in executions}
    completed = {(e.identity, e.stage) for e in executions if e.completed}
    found = []
    for submission in submissions:
        if submission.result.outcome is not Outcome.WHOLE:
            continue
        for stage in chains[submission.pipeline]:
            recorded = stage.name in recorded_stages
            if recorded and (submission.identity, stage.name) not in completed:
                found.append(
                    f"{submission.request_id}: {stage.name} not executed"
                )
    return found


def find_doubled(executions: Sequence[Execution]) -> list[str]:
    """Finds non-idempotent stages that were executed more than once."""
    started: dict[tuple[str, str], list[str]] = defaultdict(list)
    for execution in executions:
        if not execution.idempotent:
            stage_run = execution.identity, execution.stage
            started[stage_run].append(execution.upstream)
    return [
        f"{identity}: {stage} executed by {', '.join(upstreams)}"
        for (identity, stage), upstreams in started.items()
        if len(upstreams) > 1
    ]


def find_false_refusals(
    submissions: Sequence[Submission], executions: Sequence[Execution]
) -> list[str]:
    """Finds refusals with verdict `not_run` of what was executed.

    An execution with the same key contradicts the verdict about the request
    only if it started before the refusal, since a later submission with the
    key may run.
    """
    by_request = defaultdict(list)
    by_identity = defaultdict(list)
    for execution in executions:
        if execution.effect:
            by_request[execution.request_id].append(execution)
            by_identity[execution.identity].append(execution)
    found = []
    for submission in submissions:
        if submission.result.outcome is not Outcome.REFUSED:
            continue
        ran = []
        if submission.result.submission_verdict is Verdict.NOT_RUN:
            ran += by_request[submission.request_id]
        if submission.result.verdict is Verdict.NOT_RUN:
            ran += [
                execution
                for execution in by_identity[submission.identity]
                if execution.started <= submission.ended
            ]
        if ran:
            found.append(
                f"{submission.request_id}: not_run, but {ran[0].stage} ran"
            )
    return found


def find_after_leaving(
    executions: Sequence[Execution], allowed_s: float
) -> list[str]:
    """Finds executions by upstreams that were leaving.

    An execution counts if it started more than `allowed_s` after the upstream
    started to leave.
    """
    return [
        f"{execution.request_id}: executed by {execution.upstream}, which was"
        f" leaving for over {allowed_s:g} s"
        for execution in executions
        if execution.leaving_since is not None
        and execution.started > execution.leaving_since + allowed_s
    ]
