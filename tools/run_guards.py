"""Removes each guard from a copy of the tree; its scenarios must then fail.

A guard is a check in the source whose absence the tests must detect. For each
guard the tool copies the tree, runs the scenarios of the guard, which must
pass, removes the guard and runs them again: now some must fail. Words given as
arguments select the guards whose names contain one of them.

Exit codes: 0 if the scenarios detect the removal of every selected guard; 1 if
they miss one, fail with it, or its code was not found, or none was selected.
"""

import concurrent.futures
import json
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).parent))

from guard import Guard  # noqa: E402
from guards import GUARDS  # noqa: E402

COPIED = (
    "src",
    "standins",
    "features",
    "examples",
    "bench",
    "demo",
    "soak",
    "docs",
    "tools",
    "behave.ini",
)
TIMEOUT_S = 300
WORKERS = max(1, (os.cpu_count() or 2) // 4)


def copy_tree(target: pathlib.Path) -> None:
    """Copies the directories that the scenarios need."""
    ignore = shutil.ignore_patterns("__pycache__")
    for name in COPIED:
        source = pathlib.Path(name)
        if source.is_dir():
            shutil.copytree(source, target / name, ignore=ignore)
        else:
            shutil.copy(source, target / name)


def run_scenarios(root: pathlib.Path, feature: str, names: str) -> list[bool]:
    """Returns whether each selected scenario passed.

    A time-out counts as one failure.
    """
    report = root / "report.json"
    report.unlink(missing_ok=True)
    argv = [sys.executable, "-m", "behave", "--no-capture", "--no-summary"]
    argv += ["-f", "json", "-o", report.name, "-n", names]
    argv.append(f"features/{feature}.feature")
    env = os.environ | {
        "PYTHONPATH": "src:.",
        "PYTHONHASHSEED": "0",
        # Python uses a compiled file whose recorded time and size match the
        # source: one written in the second of the removal could hide it.
        "PYTHONDONTWRITEBYTECODE": "1",
    }
    try:
        subprocess.run(
            argv, cwd=root, env=env, capture_output=True, timeout=TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        return [False]
    text = report.read_text() if report.exists() else ""
    return [
        element["status"] == "passed"
        for found in (json.loads(text) if text.strip() else [])
        for element in found.get("elements", ())
        if element.get("status", "untested") not in ("skipped", "untested")
    ]


def check_guard(guard: Guard) -> list[str]:
    """Returns the problems of a guard; none if its removal is detected."""
    with tempfile.TemporaryDirectory() as directory:
        root = pathlib.Path(directory)
        copy_tree(root)
        source = root / guard.path
        text = source.read_text()
        if text.count(guard.snippet) != 1:
            return [
                f"code found {text.count(guard.snippet)} times in"
                f" {guard.path}, expected once"
            ]
        problems = []
        for feature, names in guard.scenarios:
            before = run_scenarios(root, feature, names)
            if not before or not all(before):
                problems.append(f"{feature}: {names!r} fails with the guard")
        source.write_text(text.replace(guard.snippet, guard.replacement))
        for feature, names in guard.scenarios:
            after = run_scenarios(root, feature, names)
            if not after or all(after):
                problems.append(f"{feature}: {names!r} passes without it")
        return problems


def main(argv: list[str]) -> int:
    """Checks the selected guards; returns the exit code."""
    if "--help" in argv:
        print(__doc__)
        return 0
    chosen = [
        guard
        for guard in GUARDS
        if not argv or any(word in guard.name for word in argv)
    ]
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        results = list(pool.map(check_guard, chosen))
    for guard, problems in zip(chosen, results, strict=True):
        print(f"{'UNNOTICED' if problems else 'shown'}: {guard.name}")
        for problem in problems:
            print(f"  {problem}")
    shown = sum(not problems for problems in results)
    print(f"{shown} of {len(chosen)} guards shown")
    return 0 if shown == len(chosen) and chosen else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
