"""Text report of a run of the demo."""

from collections import Counter

from applespring.load.check import Outcome
from applespring.load.summary import Summary
from demo.drive import Drive
from demo.scrape import COST, WASTED_COST, Scraper

VIOLATIONS = ("lost", "doubled", "cut", "swapped", "false_not_run")


def is_faulty(summary: Summary) -> bool:
    """Returns whether a run had violations or not one complete answer."""
    return summary.faulty or not summary.outcomes[Outcome.WHOLE.value]


def describe_run(drive: Drive, scraper: Scraper) -> str:
    """Returns the report of a run as text."""
    lines = [
        *_describe_requests(drive),
        *_describe_verdicts(drive.summary),
        *_describe_cost(scraper),
        *_describe_violations(drive.summary),
    ]
    return "\n".join(lines)


def _describe_requests(drive: Drive) -> list[str]:
    summary = drive.summary
    figures = summary.to_json()
    lines = ["", "attainment (complete answers within the deadline)"]
    shares = {"all": figures} | figures["pipelines"]
    for name, share in shares.items():
        lines.append(
            f"  {name:<10} {share['attained']:>4} of {share['requests']:>4}"
            f"  {share['attainment']:.4f}"
        )
    for name, label in (
        ("whole_ms", "complete answer"),
        ("first_token_ms", "first token"),
        ("token_gap_ms", "token gap"),
        ("send_lag_ms", "generator's own lag"),
    ):
        times = figures[name]
        if times["count"]:
            lines.append(
                f"  {label}: p50 {times['p50']} ms, p99 {times['p99']} ms"
            )
    outcomes = ", ".join(
        f"{n} {c}" for n, c in figures["outcomes"].items() if c
    )
    lines += [
        "",
        f"submissions {len(summary.submissions)}: {outcomes}",
        f"killed {drive.killed_entry} and {drive.killed_engine};"
        f" {summary.outcomes[Outcome.BROKEN.value]} connections broken,"
        f" {drive.resubmitted} requests sent again elsewhere,"
        f" {summary.keys_failed} without a key",
    ]
    return lines


def _describe_verdicts(summary: Summary) -> list[str]:
    verdicts: Counter[str] = Counter()
    verdicts["ran"] = summary.outcomes[Outcome.WHOLE.value]
    lines = ["", "refusals by reason, verdict of request and of submission"]
    for (reason, verdict, submission_verdict), count in sorted(
        summary.refusals.items()
    ):
        verdicts[verdict] += count
        lines.append(
            f"  {reason:<22} {verdict:<13} {submission_verdict:<13} {count:>4}"
        )
    if not summary.refusals:
        lines.append("  none")
    counts = ", ".join(f"{name} {count}" for name, count in verdicts.items())
    return [*lines, f"verdicts: {counts}"]


def _describe_cost(scraper: Scraper) -> list[str]:
    wasted = scraper.sum_by_stage(WASTED_COST)
    lines = ["", "cost by stage (from /metrics), of it wasted"]
    for stage, cost in scraper.sum_by_stage(COST).items():
        lines.append(f"  {stage:<20} {cost:>9.2f} {wasted.get(stage, 0):>9.2f}")
    return lines


def _describe_violations(summary: Summary) -> list[str]:
    counts = dict.fromkeys(VIOLATIONS, 0) | dict(summary.violations)
    text = ", ".join(f"{name} {count}" for name, count in counts.items())
    return ["", f"violations: {text}", *summary.examples]
