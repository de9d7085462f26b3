"""Plots of the report as SVG text."""

import io
import math

import matplotlib
from matplotlib.figure import Figure

from applespring.report.burn import REQUEST_LABELS, REQUESTS, ServiceLevel
from applespring.report.series import History, sum_by
from applespring.report.summary import Summary

matplotlib.use("Agg")

SIZE_IN = (9.0, 3.2)
# The fixed salt makes the ids in the SVG reproducible, and thus the page.
STYLE = {"svg.hashsalt": "applespring", "font.size": 9}
STEPS_MAX = 120


def plot_attainment(summary: Summary) -> str:
    """Returns a plot of attainment against the objective by pipeline."""
    shown = [s for s in summary.service_levels.pipelines if s.overall.counted]
    figure = Figure(figsize=SIZE_IN, layout="constrained")
    axes = figure.add_subplot()
    names = [subject.name for subject in shown]
    axes.bar(
        names,
        [100 * (s.overall.attainment or 0.0) for s in shown],
        color="#4878a8",
        label="attainment",
    )
    for index, subject in enumerate(shown):
        if subject.overall.objective is not None:
            objective_percent = 100 * subject.overall.objective
            axes.hlines(
                objective_percent, index - 0.4, index + 0.4, colors="#c03030"
            )
    axes.set_ylabel("attainment, % (line: objective)")
    axes.set_ylim(0, 105)
    return _render(figure)


def plot_burn(summary: Summary) -> str:
    """Returns a plot of the burn rate by pipeline over time."""
    figure = Figure(figsize=SIZE_IN, layout="constrained")
    axes = figure.add_subplot()
    times = _step_bounds(summary.history)
    for subject in summary.service_levels.pipelines:
        objective = subject.overall.objective
        if objective is None:
            continue
        points = [
            (
                (end - times[0]) / 60,
                _burn_between(
                    summary.history, subject.name, objective, start, end
                ),
            )
            for start, end in zip(times, times[1:], strict=False)
        ]
        if points:
            minutes, rates = zip(*points, strict=True)
            axes.plot(minutes, rates, marker=".", label=subject.name)
    axes.axhline(1.0, color="#888888", linewidth=0.8)
    axes.set_xlabel("minutes since the first scrape")
    axes.set_ylabel("burn rate")
    if axes.get_legend_handles_labels()[1]:
        axes.legend(fontsize=8)
    return _render(figure)


def plot_cost(summary: Summary) -> str:
    """Returns a plot of the useful and the wasted cost by stage."""
    figure = Figure(figsize=SIZE_IN, layout="constrained")
    axes = figure.add_subplot()
    shown = summary.costs[:20]
    names = [f"{cost.pipeline}\n{cost.stage}" for cost in shown]
    useful = [cost.cost - cost.wasted for cost in shown]
    axes.bar(names, useful, color="#4878a8", label="useful")
    axes.bar(
        names,
        [cost.wasted for cost in shown],
        bottom=useful,
        color="#d08030",
        label="wasted",
    )
    axes.set_ylabel("cost units")
    if shown:
        axes.legend(fontsize=8)
        axes.tick_params(axis="x", labelsize=7)
    return _render(figure)


def _step_bounds(history: History) -> list[float]:
    """Returns the bounds of equal time steps, at most `STEPS_MAX`.

    There is one step between two rounds of scrapes. The instances of a round
    are scraped one after the other, so a step for each scrape would show one
    instance at a time instead of the sum of all.
    """
    rounds = max(len(group) for group in history.instances.values())
    steps = min(STEPS_MAX, rounds - 1)
    span_s = history.end_s - history.start_s
    return (
        [history.start_s + span_s * step / steps for step in range(steps + 1)]
        if steps
        else []
    )


def _burn_between(
    history: History, pipeline: str, objective: float, start: float, end: float
) -> float:
    level = ServiceLevel()
    counts = sum_by(
        history.increase_between(REQUESTS, start, end), *REQUEST_LABELS
    )
    for labels, value in counts.items():
        if labels[0] == pipeline:
            level.add(labels[2], value, objective)
    burn = level.burn_rate
    return math.nan if burn is None else burn


def _render(figure: Figure) -> str:
    with matplotlib.rc_context(STYLE):
        buffer = io.StringIO()
        figure.savefig(buffer, format="svg", metadata={"Date": None})
    return buffer.getvalue()
