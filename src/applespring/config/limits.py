"""Checks for fields of a document that contradict each other."""

from collections.abc import Iterator

from applespring.config.complete import DocumentTable
from applespring.config.diagnostic import Diagnostic
from applespring.config.validate import Candidate, check
from applespring.core.fleet import Fleet, Pool, StageKind

_ENGINE_FIELDS = (
    "cache_events",
    "resumes",
    "model",
    "adapter",
    "version",
    "role",
    "max_tokens",
)


@check
def check_based_on(candidate: Candidate) -> Iterator[Diagnostic]:
    """If `based_on` is given, it is the revision directly before this one.

    Of two documents published at the same time on the same base, only the
    first one is accepted; the second would undo the changes of the first.
    """
    root, revision = candidate.root, candidate.fleet.revision
    if "based_on" in root.values and root["based_on"] != revision - 1:
        yield root.make_error(
            f"has based_on = {root['based_on']} in revision {revision}; "
            f"allowed: {revision - 1}",
            "based_on",
        )


@check
def check_key_memory(candidate: Candidate) -> Iterator[Diagnostic]:
    """Keys are retained until the last deadline of their submissions."""
    root, fleet = candidate.root, candidate.fleet
    memory_s = fleet.key_memory_s
    for pipeline in fleet.pipelines.values():
        if pipeline.key_required and pipeline.deadline_max_s > memory_s:
            yield root.make_error(
                f"has key_memory_s = {memory_s:g}, below the deadline_max_s"
                f' of pipeline "{pipeline.name}";'
                f" allowed: {pipeline.deadline_max_s:g} to 3600",
                "key_memory_s",
            )


@check
def check_pools(candidate: Candidate) -> Iterator[Diagnostic]:
    """The fields of each pool are consistent with each other."""
    for pool in candidate.root.children["pool"]:
        yield from _check_pool_times(pool)
        yield from _check_pool_effect(pool)
        yield from _check_engine_fields(pool)


@check
def check_deadlines(candidate: Candidate) -> Iterator[Diagnostic]:
    """Each pipeline is expected to finish before its deadline."""
    for pipeline in candidate.root.children["pipeline"]:
        yield from _check_deadline_max(pipeline)
        yield from _check_expected_time(pipeline, candidate)


@check
def check_keys(candidate: Candidate) -> Iterator[Diagnostic]:
    """A pipeline with a non-idempotent stage sets `key_required`.

    Without an idempotency key, a resubmission executes such a stage again,
    so the document has to say whether that is allowed.
    """
    for pipeline in candidate.root.children["pipeline"]:
        if "key_required" in pipeline.given_fields:
            continue
        for pool in _find_pools(pipeline, candidate.fleet):
            if not pool.idempotent:
                yield pipeline.make_error(
                    f'lacks the field key_required, but its pool "{pool.name}"'
                    " is not idempotent; allowed: true, false",
                )
                break


def _find_pools(pipeline: DocumentTable, fleet: Fleet) -> list[Pool]:
    names = [stage["pool"] for stage in pipeline.children["stages"]]
    return [fleet.pools[name] for name in names if name in fleet.pools]


def _check_pool_times(pool: DocumentTable) -> Iterator[Diagnostic]:
    expected_s, timeout_s = pool["expected_s"], pool["timeout_s"]
    if pool.is_valid("expected_s", "timeout_s") and expected_s > timeout_s:
        yield pool.make_error(
            f"has expected_s = {expected_s} above its timeout_s; "
            f"allowed: up to {timeout_s}",
            "expected_s",
        )


def _check_pool_effect(pool: DocumentTable) -> Iterator[Diagnostic]:
    if not pool["idempotent"] and not pool["effect"]:
        yield pool.make_error(
            "has effect = false and idempotent = false; allowed: effect = true",
            "effect",
        )


def _check_engine_fields(pool: DocumentTable) -> Iterator[Diagnostic]:
    if not pool.is_valid("kind"):
        return
    if pool["kind"] == StageKind.GENERATE.value:
        if "model" not in pool.given_fields:
            yield pool.make_error(
                "lacks the field model; allowed: the model of its engines"
            )
        return
    for field in _ENGINE_FIELDS:
        if field in pool.given_fields:
            yield pool.make_error(
                f'has the field {field} with kind = "{pool["kind"]}"; '
                'allowed: only with kind = "generate"',
                field,
            )


def _check_deadline_max(pipeline: DocumentTable) -> Iterator[Diagnostic]:
    deadline_s, max_s = pipeline["deadline_s"], pipeline["deadline_max_s"]
    if pipeline.is_valid("deadline_s", "deadline_max_s") and (
        deadline_s > max_s
    ):
        yield pipeline.make_error(
            f"has deadline_s = {deadline_s} above its deadline_max_s; "
            f"allowed: up to {max_s}",
            "deadline_s",
        )


def _check_expected_time(
    pipeline: DocumentTable, candidate: Candidate
) -> Iterator[Diagnostic]:
    invalid_pools = {
        pool["name"]
        for pool in candidate.root.children["pool"]
        if not pool.is_valid("expected_s")
    }
    pools = _find_pools(pipeline, candidate.fleet)
    if not pipeline.is_valid("deadline_s") or any(
        pool.name in invalid_pools for pool in pools
    ):
        return
    total_s = round(sum(pool.expected_s for pool in pools), 6)
    if total_s > pipeline["deadline_s"]:
        yield pipeline.make_error(
            f"has deadline_s = {pipeline['deadline_s']}, but its stages' "
            f"expected_s add up to {total_s}; allowed: at least {total_s}",
            "deadline_s",
        )
