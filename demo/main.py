"""Demonstration of the complete system as separate processes.

`make demo` starts the stand-ins and two entry instances in each failure
domain, sends load through them, kills an entry instance and an engine, and
prints the outcomes of the requests. The exit code is 1 when a request was lost,
executed twice, truncated, swapped with another or falsely reported as not run,
or when no request was answered.
"""

import pathlib
import signal
import sys
import time
from types import FrameType
from typing import Annotated

import anyio

from applespring.cli import EXIT_DONE, EXIT_FAULT, Range, run_program
from demo.cluster import Cluster
from demo.drive import Drive
from demo.process import StartError
from demo.scrape import Scraper
from demo.show import describe_run, is_faulty


def run_demo(
    *,
    document: pathlib.Path = pathlib.Path("examples/obalne.toml"),
    output: pathlib.Path = pathlib.Path("out/demo"),
    seed: Annotated[int, Range(0, 1_000_000)] = 1,
) -> int:
    """Runs the complete system as separate processes under load and faults.

    Args:
        document: Configuration document; its addresses are replaced.
        output: Directory for scraped metrics and logs.
        seed: Seed of the load.
    """
    started = time.monotonic()
    cluster = Cluster(document.read_text(), output)
    # A shell starts background jobs with SIGINT ignored; this undoes it.
    signal.signal(signal.SIGINT, signal.default_int_handler)
    for signum in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(signum, _interrupt)
    code = EXIT_FAULT
    try:
        cluster.start()
        print(
            f"{len(cluster.children)} processes ready after"
            f" {time.monotonic() - started:.1f} s:"
            f" {len(cluster.entries)} entry instances,"
            f" {len(cluster.urls)} stand-ins",
            flush=True,
        )
        code = anyio.run(_run_load, cluster, Scraper(cluster, output), seed)
    except StartError as exc:
        print(exc, file=sys.stderr)
    except KeyboardInterrupt:
        print("interrupted", file=sys.stderr)
    finally:
        # A second signal must not interrupt the cleanup of the processes.
        for signum in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
            signal.signal(signum, signal.SIG_IGN)
        count = len(cluster.children)
        killed = cluster.stop()
    print(
        f"ended {count} processes ({len(killed)} had to be killed"
        f"{': ' + ', '.join(killed) if killed else ''});"
        f" {time.monotonic() - started:.1f} s in all"
    )
    return EXIT_FAULT if killed else code


async def _run_load(cluster: Cluster, scraper: Scraper, seed: int) -> int:
    await scraper.scrape_all("before")
    drive = Drive(cluster, scraper, seed)
    await drive.run()
    await scraper.scrape_all("after")
    print(describe_run(drive, scraper), flush=True)
    return EXIT_FAULT if is_faulty(drive.summary) else EXIT_DONE


def _interrupt(signum: int, frame: FrameType | None) -> None:
    del signum, frame
    signal.raise_signal(signal.SIGINT)


def main() -> int:
    """Runs the program and returns its exit code."""
    return run_program(
        "demo", run_demo, fault_meaning="a request was lost, doubled or cut"
    )


if __name__ == "__main__":
    sys.exit(main())
