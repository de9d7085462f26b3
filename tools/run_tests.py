"""Runs the behave features in parallel and prints `N passed, N failed`.

Each feature file runs in its own process, and those with the tag `@alone` run
one after the other when the others have ended. A scenario listed in
KNOWN-RED.txt may fail: it is printed as known red and counted as failed, but
the run does not fail.
"""

import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import tempfile

FEATURES = pathlib.Path("features")
KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
FEATURE_TIMEOUT_S = 900
ALONE_TAG = "@alone"
WORKERS = max(2, (os.cpu_count() or 2) // 2)


class FeatureRun:
    """Result of one feature file.

    Attributes:
        path: The feature file.
        passed: Names of the scenarios that passed, with the path.
        failed: Names of the others.
        output: Output of behave.
        crashed: Whether behave failed although no scenario did.
    """

    __slots__ = ("path", "passed", "failed", "output", "crashed")

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.passed: list[str] = []
        self.failed: list[str] = []
        self.output = ""
        self.crashed = False


def run_feature(path: pathlib.Path) -> FeatureRun:
    """Runs one feature file and reads behave's JSON report."""
    run = FeatureRun(path)
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        argv = [sys.executable, "-m", "behave", "--no-capture"]
        argv += ["-f", "json", "-o", report.name]
        argv += ["-f", "progress", str(path)]
        try:
            done = subprocess.run(
                argv, capture_output=True, text=True, timeout=FEATURE_TIMEOUT_S
            )
            run.output = done.stdout + done.stderr
            status = done.returncode
        except subprocess.TimeoutExpired as exc:
            run.output = f"timed out: {exc}"
            status = 1
        read_report(run, pathlib.Path(report.name).read_text())
    # For example, an error in a step file or a time-out of the whole feature
    # fails no scenario, but must fail the run.
    run.crashed = status != 0 and not run.failed
    return run


def read_report(run: FeatureRun, text: str) -> None:
    """Adds the scenarios of behave's JSON report to the run."""
    try:
        features = json.loads(text) if text.strip() else []
    except json.JSONDecodeError:
        features = []
    for feature in features:
        for element in feature.get("elements", ()):
            if element.get("type") == "background":
                continue
            # behave ends the name of a row of examples with a space.
            name = f"{run.path}: {element['name'].strip()}"
            if element.get("status") == "passed":
                run.passed.append(name)
            else:
                run.failed.append(name)
                run.output += _describe_failure(name, element)


def _describe_failure(name: str, element: dict) -> str:
    """Returns the steps that failed, which the progress format leaves out."""
    lines = [name]
    for step in element.get("steps", ()):
        message = step.get("result", {}).get("error_message")
        if message:
            text = message if isinstance(message, str) else "\n".join(message)
            lines.append(f"  {step['name']}: {text}")
    return "\n".join([*lines, ""])


def read_known_red() -> list[str]:
    """Returns the scenario names listed in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line[6:].strip() for line in lines if line.startswith("test: ")]


def main() -> int:
    """Runs everything; returns 1 on any failure not in KNOWN-RED.txt."""
    paths = sorted(FEATURES.glob("*.feature"))
    alone = [p for p in paths if p.read_text().startswith(ALONE_TAG)]
    known = read_known_red()
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        runs = list(pool.map(run_feature, [p for p in paths if p not in alone]))
    runs += map(run_feature, alone)
    passed = sum(len(run.passed) for run in runs)
    failed = [name for run in runs for name in run.failed]
    crashed = [str(run.path) for run in runs if run.crashed]
    unexpected = [name for name in failed if name not in known]
    for run in runs:
        if run.crashed or any(name in unexpected for name in run.failed):
            print(run.output)
    for name in failed:
        print(f"{'known red' if name in known else 'FAILED'}: {name}")
    for name in crashed:
        print(f"CRASHED: {name}")
    for name in known:
        if name not in failed:
            print(f"listed in {KNOWN_RED} but passed: {name}")
    print(f"{passed} passed, {len(failed) + len(crashed)} failed")
    return 1 if unexpected or crashed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
