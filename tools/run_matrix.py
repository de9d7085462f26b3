"""Writes docs/fault-matrix.md from a run of its features, or checks it.

Without arguments it runs the features of the matrix and writes the table. With
`--check` it runs no scenario: it compares the cells of the committed table and
the scenarios in the feature files with `matrix_table`.

Exit codes: 0 success; 1 a scenario failed, or table and scenarios differ; 2
wrong usage.
"""

import concurrent.futures
import pathlib
import re
import sys

sys.path[:0] = [str(pathlib.Path(__file__).parent), "."]

from run_tests import run_feature  # noqa: E402

from features.fixtures.matrix_table import (  # noqa: E402
    FAULTS,
    KINDS,
    STEPS,
    find_exclusion,
)

TABLE = pathlib.Path("docs/fault-matrix.md")
# Heading of the part of the page that is kept by hand.
SILENCE = "## Silence\n"
HELD, RED = "held", "red"
_ROW = re.compile(r"^ +\| (?P<fault>[a-z ]+?) +\| (?P<step>[a-z ]+?) +\|$")
_NAME = re.compile(r": (?P<fault>[a-z ]+) at (?P<step>[a-z ]+?) -- @")

Cell = tuple[str, str, str]


def feature_path(kind: str) -> pathlib.Path:
    """Returns the feature file of a kind of stage."""
    return pathlib.Path(f"features/fault_matrix_{kind}.feature")


def read_scenarios(kind: str) -> set[Cell]:
    """Returns the cells that a feature file has a row for."""
    cells = set()
    for line in feature_path(kind).read_text().splitlines():
        found = _ROW.match(line)
        if found and found["fault"] != "fault":
            cells.add((kind, found["fault"], found["step"]))
    return cells


def find_differences() -> list[str]:
    """Returns applicable cells without a scenario, and the reverse."""
    found = []
    for kind in KINDS:
        scenarios = read_scenarios(kind)
        cells = {(kind, fault, step) for fault in FAULTS for step in STEPS}
        found += [f"unknown cell {cell}" for cell in scenarios - cells]
        for cell in sorted(cells):
            reason = find_exclusion(cell[1], cell[2], kind)
            if (cell in scenarios) == bool(reason):
                found.append(
                    f"{cell}: scenario exists: {cell in scenarios},"
                    f" reason why not applicable: {reason!r}"
                )
    return found


def run_cells() -> dict[Cell, str]:
    """Runs the features, one process for each; returns the results by cell."""
    with concurrent.futures.ThreadPoolExecutor(len(KINDS)) as pool:
        runs = list(pool.map(run_feature, map(feature_path, KINDS)))
    results = {}
    for kind, run in zip(KINDS, runs, strict=True):
        for names, result in ((run.passed, HELD), (run.failed, RED)):
            for name in names:
                found = _NAME.search(name)
                if found:
                    results[kind, found["fault"], found["step"]] = result
    return results


def render(results: dict[Cell, str]) -> str:
    """Returns the page; an applicable cell without a result counts as red."""
    reasons: list[str] = []
    counts = dict.fromkeys((HELD, "n/a", RED), 0)
    lines = []
    for kind in KINDS:
        lines += [f"## {kind}", "", "| fault | " + " | ".join(STEPS) + " |"]
        lines.append("|---" * (len(STEPS) + 1) + "|")
        for fault in FAULTS:
            row = []
            for step in STEPS:
                reason = find_exclusion(fault, step, kind)
                if reason and reason not in reasons:
                    reasons.append(reason)
                text = results.get((kind, fault, step), RED)
                counts["n/a" if reason else text] += 1
                if reason:
                    text = f"n/a {reasons.index(reason) + 1}"
                row.append(text)
            lines.append(f"| {fault} | " + " | ".join(row) + " |")
        lines.append("")
    total = ", ".join(f"{count} {name}" for name, count in counts.items())
    head = [
        "# Fault matrix",
        "",
        "Written by `tools/run_matrix.py` from a run, except the part on",
        "silence; do not edit. A cell is one scenario of",
        "features/fault_matrix_*.feature: the fault strikes at the step of a",
        "request, and P1 to P7 are checked afterwards.",
        "",
        f"Cells: {total}.",
        "",
        "Not applicable:",
        "",
    ]
    head += [f"{n}. {reason}" for n, reason in enumerate(reasons, 1)]
    return "\n".join([*head, "", *lines]).rstrip() + "\n"


def read_silence() -> str:
    """Returns the part of the committed page that is kept by hand."""
    text = TABLE.read_text() if TABLE.exists() else ""
    _, heading, rest = text.partition(SILENCE)
    return heading + rest


def check_table() -> list[str]:
    """Compares the committed page with the cells, whatever their results."""
    text = TABLE.read_text() if TABLE.exists() else ""
    all_held = {
        (kind, fault, step): HELD
        for kind in KINDS
        for fault in FAULTS
        for step in STEPS
    }
    expected = f"{render(all_held)}\n{read_silence()}".splitlines()
    committed = text.replace(f" {RED} ", f" {HELD} ").splitlines()
    skip = "Cells: "
    if [line for line in expected if not line.startswith(skip)] != [
        line for line in committed if not line.startswith(skip)
    ]:
        return [
            f"{TABLE} differs from the cells of the matrix; run {sys.argv[0]}"
        ]
    return []


def main(argv: list[str]) -> int:
    """Runs the tool; returns its exit code."""
    if argv not in ([], ["--check"]):
        print(__doc__)
        return 0 if argv == ["--help"] else 2
    found = find_differences()
    if argv:
        found += check_table()
    elif not found:
        results = run_cells()
        text = f"{render(results)}\n{read_silence()}"
        TABLE.write_text(text)
        found += [f"red: {c}" for c, r in results.items() if r is RED]
        print(next(line for line in text.splitlines() if "Cells:" in line))
    print("\n".join(found))
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
