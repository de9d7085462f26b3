"""Measures how control plane costs grow with the size of the fleet.

`python -m bench.slopes` (`make slopes`) measures all sections. Arguments select
sections by name: parts, process, data, fleet. With `SLOPES_JSON=path` the
results are also written there as JSON. A run takes about five minutes, and the
section fleet five more.
"""

import os
import pathlib
import sys
from collections.abc import Sequence

import orjson

from bench.slope_data import measure_data
from bench.slope_fit import TABLE_HEADING, Slope
from bench.slope_fleet import measure_fleets
from bench.slope_parts import ACCOUNTS, PEERS, UPSTREAMS, measure_parts
from bench.slope_process import (
    PLAN_SIZE,
    SMALL_SIZE,
    Case,
    Cost,
    make_slopes,
    measure_cases,
)

SECTIONS = ("parts", "process", "data", "fleet")
CASE_HEADING = (
    "| upstreams, peers, accounts | core | MB | KB/s sent | KB/s received "
    "| load polls/s | heartbeats/s received |\n|---|---|---|---|---|---|---|"
)


def measure_process() -> tuple[list[Slope], dict[str, Cost]]:
    """Measures the entry process by each size and at the planned size."""
    upstreams, peers, accounts = SMALL_SIZE
    families = {
        "upstreams": (UPSTREAMS, [Case(n, peers, accounts) for n in UPSTREAMS]),
        "peers": (PEERS, [Case(upstreams, n, accounts) for n in PEERS]),
        "accounts": (ACCOUNTS, [Case(upstreams, peers, n) for n in ACCOUNTS]),
    }
    slopes: list[Slope] = []
    for size, (sizes, cases) in families.items():
        costs = measure_cases(cases)
        slopes += make_slopes(size, sizes, costs, sizes[-1])
    plan_cases = [
        Case(*SMALL_SIZE),
        Case(*PLAN_SIZE),
        Case(*PLAN_SIZE, outage=True),
    ]
    names = ["60, 50, 300", "600, 350, 1800", "600, 350, 1800, platform down"]
    costs = measure_cases(plan_cases)
    return slopes, dict(zip(names, costs, strict=True))


def main(sections: Sequence[str]) -> None:
    """Measures the sections, prints the tables and writes the JSON."""
    unknown = set(sections) - set(SECTIONS)
    if unknown:
        raise SystemExit(
            f"unknown section {min(unknown)!r}; allowed: {', '.join(SECTIONS)}"
        )
    chosen = sections or SECTIONS
    slopes: list[Slope] = []
    cases: dict[str, Cost] = {}
    if "parts" in chosen:
        slopes += measure_parts()
    if "process" in chosen:
        process_slopes, cases = measure_process()
        slopes += process_slopes
    if "data" in chosen:
        slopes += measure_data()
    if "fleet" in chosen:
        slopes += measure_fleets()
    print(TABLE_HEADING)
    for slope in slopes:
        print(slope.to_row())
    if cases:
        print(f"\n{CASE_HEADING}")
    for name, cost in cases.items():
        print(f"| {name} | {cost.to_row()}")
    write_json(slopes, cases)


def write_json(slopes: Sequence[Slope], cases: dict[str, Cost]) -> None:
    """Writes the results to the path in SLOPES_JSON, if it is set."""
    path = os.environ.get("SLOPES_JSON")
    if path:
        document = {
            "slopes": [slope.to_json() for slope in slopes],
            "process": {name: cost.to_json() for name, cost in cases.items()},
        }
        data = orjson.dumps(document, option=orjson.OPT_INDENT_2)
        pathlib.Path(path).write_bytes(data)


if __name__ == "__main__":
    main(sys.argv[1:])
