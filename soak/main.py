"""Entry point of the soak: `python -m soak.main`."""

import multiprocessing
import pathlib
import shutil
import sys
import tempfile
import time
from typing import Annotated

from applespring.cli import Range, run_program
from soak.audit import audit, summarize
from soak.faults import KINDS
from soak.log_audit import audit_logs
from soak.testbed import Plan, run_plan


class Outcome:
    """Result of the run of one seed.

    Attributes:
        seed: The seed.
        violations: Violated guarantees, each in one line.
        summary: Counts of the run in one line.
        directory: Directory of the logs; removed if nothing was violated.
    """

    __slots__ = ("seed", "violations", "summary", "directory")

    def __init__(
        self,
        seed: int,
        violations: list[str],
        summary: str,
        directory: pathlib.Path,
    ) -> None:
        self.seed = seed
        self.violations = violations
        self.summary = summary
        self.directory = directory


def run_seed(plan: Plan, parent: pathlib.Path) -> Outcome:
    """Runs and audits one seed; removes the logs if nothing was violated."""
    directory = parent / f"seed-{plan.seed}"
    directory.mkdir(parents=True, exist_ok=True)
    records = run_plan(plan, directory)
    logs = {
        f"relay-{n}": directory / f"relay-{n}.log" for n in range(plan.relays)
    }
    violations = audit(records) + audit_logs(records, logs)
    if violations:
        fault_lines = [
            f"{fault.kind} {sorted(fault.targets)} from {fault.started_at:.3f} "
            f"to {fault.ended_at:.3f}"
            for fault in records.faults
        ]
        text = "\n".join([*violations, "", *fault_lines, ""])
        (directory / "violations.txt").write_text(text)
    else:
        shutil.rmtree(directory)
    return Outcome(plan.seed, violations, summarize(records), directory)


def _run_seed_arguments(arguments: tuple[Plan, pathlib.Path]) -> Outcome:
    return run_seed(*arguments)


def soak(
    *,
    seed: Annotated[int, Range(0, 2**31)] = 0,
    seeds: Annotated[int, Range(1, 10_000)] = 1,
    jobs: Annotated[int, Range(1, 64)] = 1,
    length_s: Annotated[float, Range(1, 3600)] = 15.0,
    faults: Annotated[int, Range(0, 10_000)] = 10,
    relays: Annotated[int, Range(1, 80)] = 4,
    callers: Annotated[int, Range(1, 1000)] = 12,
    only: str = "",
    directory: pathlib.Path | None = None,
) -> int:
    """Runs seeds of random faults against real relay processes.

    Args:
        seed: First seed; 0 takes one from the clock.
        seeds: How many seeds to run.
        jobs: How many seeds to run at a time.
        length_s: Time in which faults start, in seconds.
        faults: Number of faults of each seed; some are repeated.
        relays: Number of relay processes.
        callers: Number of callers.
        only: Kinds of faults to choose from, joined by commas; all if empty.
        directory: Where logs of failed seeds are kept.

    Returns:
        0 if no guarantee was violated, else 1.

    Raises:
        ValueError: A kind of fault in `only` is unknown.
    """
    kinds = [kind for kind in only.split(",") if kind]
    for kind in kinds:
        if kind not in KINDS:
            known = ", ".join(KINDS)
            raise ValueError(f"unknown kind of fault {kind!r}; known: {known}")
    first_seed = seed or time.time_ns() // 1_000_000_000
    parent = directory or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    plans = [
        (
            Plan(
                first_seed + n,
                length_s=length_s,
                faults=faults,
                relays=relays,
                callers=callers,
                only=kinds,
            ),
            parent,
        )
        for n in range(seeds)
    ]
    failed = []
    with multiprocessing.get_context("spawn").Pool(min(jobs, seeds)) as pool:
        for outcome in pool.imap_unordered(_run_seed_arguments, plans):
            print(f"seed {outcome.seed}: {outcome.summary}", flush=True)
            for violation in outcome.violations:
                print(f"  {violation}", flush=True)
            if outcome.violations:
                failed.append(outcome.seed)
                print(f"  logs: {outcome.directory}", flush=True)
    print(f"{seeds} seeds, {len(failed)} failed {sorted(failed)}", flush=True)
    return 1 if failed else 0


def main() -> int:
    """Runs the program and returns its exit code."""
    return run_program("soak", soak, variables=False)


if __name__ == "__main__":
    sys.exit(main())
