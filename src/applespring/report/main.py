"""Entry point of applespring-report."""

import pathlib
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Annotated, Literal

import httpx
import orjson

from applespring.check.commands import load_file
from applespring.cli import EXIT_DONE, EXIT_FAULT, Range, run_program
from applespring.config import Diagnostic
from applespring.core.errors import SettingsError
from applespring.core.fleet import Fleet
from applespring.report.exposition import Scrape
from applespring.report.html import format_html
from applespring.report.relay import RELAY_NOTE, add_common_counters
from applespring.report.scrape import (
    fetch,
    fetch_config,
    find_missing,
    read_file,
    save,
)
from applespring.report.series import History
from applespring.report.summary import Summary, describe_summary
from applespring.report.text import format_text

DAY_S = 86400


def report(
    *files: str,
    urls: Sequence[str] = (),
    rounds: Annotated[int, Range(1, 100000)] = 1,
    interval_s: Annotated[float, Range(0.1, 3600)] = 15.0,
    save_dir: str = "",
    config: str = "",
    instances: Sequence[str] = (),
    windows_s: Annotated[list[float] | None, Range(1, 30 * DAY_S)] = None,
    output: Literal["text", "json"] = "text",
    html: str = "",
) -> int:
    """Reports the service level from scraped metrics.

    Args:
        files: Saved scrapes in the Prometheus text format. A line `# scrape
            NAME SECONDS` starts the scrape of an instance at a Unix time.
        urls: Instances to scrape, each as IP:port or URL, separated by
            spaces or commas.
        rounds: Number of times to scrape each of them.
        interval_s: Seconds between two rounds.
        save_dir: Directory to which scrapes are saved, in one file for each
            instance.
        config: Configuration document with the objectives; by default, the
            document is fetched from the first instance in `urls` that has one.
        instances: Expected instances; one without a scrape is reported as
            missing.
        windows_s: Lengths of the windows of the burn rates in seconds; by
            default 300, 3600 and 21600.
        output: Format of the report on standard output.
        html: File to write the report to as an HTML page.

    Returns:
        0, or 1 if an input had a fault.
    """
    urls, instances = _split_names(urls), _split_names(instances)
    if not files and not urls:
        raise SettingsError("no file and no URL; allowed: one or more of them")
    scrapes: list[Scrape] = []
    errors: list[Diagnostic] = []
    for file in files:
        found, found_errors = read_file(pathlib.Path(file))
        scrapes += found
        errors += found_errors
    fleet: Fleet | None = None
    if config:
        result = load_file(config, None)
        fleet = result.fleet
        errors += result.errors
    if urls:
        with httpx.Client(trust_env=False) as client:
            found, found_errors = _scrape_rounds(
                client, urls, rounds, interval_s, save_dir
            )
            scrapes += found
            errors += found_errors
            if not config:
                fleet = fetch_config(urls, client)
    for error in errors:
        print(error, file=sys.stderr)
    if not scrapes:
        print("no scrape could be read", file=sys.stderr)
        return EXIT_FAULT
    relay_found = [add_common_counters(scrape) for scrape in scrapes]
    summary = Summary(
        History(scrapes),
        fleet,
        windows_s or [300.0, 3600.0, 21600.0],
        find_missing(instances, scrapes),
    )
    if any(relay_found):
        summary.notes.append(RELAY_NOTE)
    _note_errors(summary, errors)
    _write_report(summary, output, html)
    return EXIT_FAULT if errors else EXIT_DONE


def _split_names(values: Sequence[str]) -> list[str]:
    """Returns the names in values that may contain commas."""
    return [name for value in values for name in value.split(",") if name]


def _note_errors(summary: Summary, errors: Sequence[Diagnostic]) -> None:
    """Adds a note to the report that its input had faults."""
    if errors:
        summary.notes.insert(
            0, f"{len(errors)} faults in the input, the first: {errors[0]}"
        )


def _write_report(summary: Summary, output: str, html: str) -> None:
    if output == "json":
        document = describe_summary(summary)
        options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
        print(orjson.dumps(document, option=options).decode())
    else:
        print(format_text(summary), end="")
    if html:
        try:
            pathlib.Path(html).write_text(format_html(summary), "utf-8")
        except OSError as exc:
            raise SettingsError(f"--html={html}: {exc.strerror}") from exc


def _scrape_rounds(
    client: httpx.Client,
    urls: Sequence[str],
    rounds: int,
    interval_s: float,
    save_dir: str,
    sleep: Callable[[float], None] = time.sleep,
) -> tuple[list[Scrape], list[Diagnostic]]:
    scrapes: list[Scrape] = []
    errors: list[Diagnostic] = []
    for number in range(rounds):
        if number:
            sleep(interval_s)
        for url in urls:
            found, found_errors, text = fetch(url, client)
            scrapes += found
            errors += found_errors
            if save_dir and found:
                _save_scrape(save_dir, found[0], text)
    return scrapes, errors


def _save_scrape(save_dir: str, scrape: Scrape, text: str) -> None:
    try:
        save(pathlib.Path(save_dir), scrape, text)
    except OSError as exc:
        raise SettingsError(f"--save-dir={save_dir}: {exc.strerror}") from exc


def run_report(
    argv: Sequence[str] | None = None,
    environ: Mapping[str, str] | None = None,
) -> int:
    """Runs the program and returns its exit code."""
    return run_program(
        "applespring-report",
        report,
        argv=argv,
        environ=environ,
        fault_meaning="an input had a fault; the report shows the rest",
    )


def main() -> None:
    """Runs the program and exits with its code."""
    sys.exit(run_report())


if __name__ == "__main__":
    main()
