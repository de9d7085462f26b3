"""The content of the report, and its form as JSON."""

import math
from collections.abc import Mapping, Sequence
from typing import Any

from applespring.core.fleet import Fleet
from applespring.report.burn import (
    ServiceLevel,
    ServiceLevels,
    Subject,
    measure_service_levels,
)
from applespring.report.cost import (
    PoolAttempts,
    ReasonCount,
    StageCost,
    measure_costs,
    measure_pools,
    rank_reasons,
)
from applespring.report.series import History, Window

REASONS_MAX = 10


class Summary:
    """The content of the report.

    Attributes:
        site: Name of the site, or "" without a document.
        revision: Revision of the document, 0 if unknown.
        history: The scrapes.
        service_levels: Service levels by pipeline and by client account.
        costs: Cost by stage.
        pools: Attempts by pool.
        reasons: Most frequent reasons for refusals.
        notes: Gaps and other defects of the data, for readers of the report.
    """

    __slots__ = (
        "site",
        "revision",
        "history",
        "service_levels",
        "costs",
        "pools",
        "reasons",
        "notes",
    )

    def __init__(
        self,
        history: History,
        fleet: Fleet | None,
        windows_s: Sequence[float],
        missing: Sequence[str],
    ) -> None:
        """Computes the content of the report.

        Args:
            history: The scrapes, at least one.
            fleet: The document with the objectives, or None.
            windows_s: Lengths in seconds of the windows of burn rates.
            missing: Expected instances without any scrape.
        """
        objectives: Mapping[str, float] = {}
        accounts: Sequence[str] = ()
        if fleet is not None:
            objectives = {
                pipeline.name: pipeline.objective
                for pipeline in fleet.pipelines.values()
            }
            accounts = tuple(fleet.accounts)
        self.site = fleet.site if fleet else ""
        self.revision = fleet.revision if fleet else 0
        self.history = history
        self.service_levels: ServiceLevels = measure_service_levels(
            history, objectives, accounts, windows_s
        )
        self.costs: list[StageCost] = measure_costs(history)
        self.pools: list[PoolAttempts] = measure_pools(history)
        self.reasons: list[ReasonCount] = rank_reasons(history, REASONS_MAX)
        self.notes = [f"{name}: missing, no scrape" for name in missing]
        self.notes += history.notes
        self._note_data()

    def _note_data(self) -> None:
        for window in self.service_levels.windows:
            if window.partial:
                self.notes.append(
                    f"window {format_span(window.requested_s)}"
                    f": the scrapes cover {format_span(window.covered_s)} of it"
                )
        for name in self.service_levels.without_objective:
            self.notes.append(
                f"pipeline {name}: no objective in the document, so no burn"
                " rate"
            )
        if not any(
            subject.overall.counted for subject in self.service_levels.pipelines
        ):
            self.notes.append("no request was counted")


def format_span(seconds: float | None) -> str:
    """Returns a duration with its unit, for example `5 min`."""
    if seconds is None:
        return "all"
    for unit, size in (("h", 3600), ("min", 60)):
        if seconds >= size:
            return f"{seconds / size:.3g} {unit}"
    return f"{seconds:.3g} s"


def describe_summary(summary: Summary) -> dict[str, Any]:
    """Returns the report as a JSON document, with null for a missing value."""
    levels = summary.service_levels
    return {
        "site": summary.site,
        "config_revision": summary.revision,
        "start_s": summary.history.start_s,
        "end_s": summary.history.end_s,
        "instances": {
            name: len(group)
            for name, group in summary.history.instances.items()
        },
        "notes": summary.notes,
        "windows": [_describe_window(window) for window in levels.windows],
        "pipelines": [_describe_subject(s, levels) for s in levels.pipelines],
        "accounts": [_describe_subject(s, levels) for s in levels.accounts],
        "costs": [
            {
                "pipeline": cost.pipeline,
                "stage": cost.stage,
                "cost": cost.cost,
                "wasted": cost.wasted,
                "wasted_share": cost.wasted_share,
            }
            for cost in summary.costs
        ],
        "pools": [
            {
                "pool": pool.pool,
                "calls": pool.calls,
                "added": pool.added,
                "added_share": pool.added_share,
                "failed": pool.failed,
            }
            for pool in summary.pools
        ],
        "reasons": [
            {
                "code": reason.code,
                "count": reason.count,
                "meaning": reason.meaning,
                "excluded": reason.excluded,
            }
            for reason in summary.reasons
        ],
    }


def _describe_window(window: Window) -> dict[str, Any]:
    return {
        "seconds": window.requested_s,
        "covered_s": window.covered_s,
        "partial": window.partial,
    }


def _describe_subject(
    subject: Subject, levels: ServiceLevels
) -> dict[str, Any]:
    burn_levels = zip(levels.windows, subject.windows, strict=True)
    return {
        "name": subject.name,
        **_describe_level(subject.overall),
        "burn": {
            f"{window.requested_s:g}": _finite(level.burn_rate)
            for window, level in burn_levels
        },
    }


def _describe_level(level: ServiceLevel) -> dict[str, Any]:
    return {
        "answered": level.answered,
        "counted": level.counted,
        "excluded": level.excluded,
        "objective": level.objective,
        "attainment": level.attainment,
        "budget_left": _finite(level.budget_left),
    }


def _finite(value: float | None) -> float | None:
    """Returns None for an infinite value, which JSON cannot express."""
    return value if value is None or math.isfinite(value) else None
