"""The report as plain text."""

from collections.abc import Iterable, Sequence

from applespring.report.burn import Subject
from applespring.report.series import Window
from applespring.report.summary import Summary, format_span

NO_VALUE = "-"


def format_percent(value: float | None, digits: int = 2) -> str:
    """Returns a fraction in percent, or `-` if there is none."""
    return NO_VALUE if value is None else f"{100 * value:.{digits}f}%"


def format_burn(value: float | None) -> str:
    """Returns a burn rate, or `-` if there is none."""
    return NO_VALUE if value is None else f"{value:.2f}"


def format_window(window: Window) -> str:
    """Returns the heading of a window; `*` marks one not fully covered."""
    return f"burn {format_span(window.requested_s)}{'*' * window.partial}"


def build_tables(
    summary: Summary,
) -> list[tuple[str, list[str], list[list[str]]]]:
    """Returns title, headings and rows of every table of the report."""
    levels = summary.service_levels
    headings = ["requests", "excluded", "attainment", "objective"]
    headings += [format_window(window) for window in levels.windows]
    headings += ["budget left"]
    return [
        (
            "Service level by pipeline",
            ["pipeline", *headings],
            [_level_row(subject) for subject in levels.pipelines],
        ),
        (
            "Service level by client account",
            ["account", *headings],
            [_level_row(subject) for subject in levels.accounts],
        ),
        (
            "Cost by stage",
            ["pipeline", "stage", "cost", "wasted", "share wasted"],
            [
                [
                    cost.pipeline,
                    cost.stage,
                    f"{cost.cost:.2f}",
                    f"{cost.wasted:.2f}",
                    format_percent(cost.wasted_share, 1),
                ]
                for cost in summary.costs
            ],
        ),
        (
            "Attempts by pool",
            ["pool", "calls", "added", "share added", "failed"],
            [
                [
                    pool.pool,
                    f"{pool.calls:.0f}",
                    f"{pool.added:.0f}",
                    format_percent(pool.added_share, 1),
                    f"{pool.failed:.0f}",
                ]
                for pool in summary.pools
            ],
        ),
        (
            "Reasons of refusals",
            ["reason", "count", "in service level", "meaning"],
            [
                [
                    reason.code,
                    f"{reason.count:.0f}",
                    "no" if reason.excluded else "yes",
                    reason.meaning,
                ]
                for reason in summary.reasons
            ],
        ),
    ]


def describe_data(summary: Summary) -> str:
    """Returns one line about the data on which the report is based."""
    history = summary.history
    scrapes = sum(len(group) for group in history.instances.values())
    site = summary.site or "no document"
    return (
        f"{site}: {scrapes} scrapes of {len(history.instances)} instances"
        f" over {format_span(history.end_s - history.start_s)}"
    )


def format_text(summary: Summary) -> str:
    """Returns the text of the report."""
    lines = [describe_data(summary)]
    lines += [f"note: {note}" for note in summary.notes]
    for title, headings, rows in build_tables(summary):
        lines += ["", title]
        lines += _format_table(headings, rows) if rows else ["  none"]
    return "\n".join(lines) + "\n"


def _level_row(subject: Subject) -> list[str]:
    level = subject.overall
    return [
        subject.name,
        f"{level.counted:.0f}",
        f"{level.excluded:.0f}",
        format_percent(level.attainment),
        format_percent(level.objective),
        *(format_burn(window.burn_rate) for window in subject.windows),
        format_percent(level.budget_left, 0),
    ]


def _format_table(
    headings: Sequence[str], rows: Iterable[Sequence[str]]
) -> list[str]:
    table = [headings, *rows]
    widths = [max(len(row[i]) for row in table) for i in range(len(headings))]
    return [
        "  "
        + "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in table
    ]
