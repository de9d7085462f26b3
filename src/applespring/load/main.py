"""Entry point of applespring-load."""

import contextlib
import pathlib
import ssl
import sys
import time
from collections.abc import Mapping, Sequence
from typing import Annotated, Literal

import anyio
import httpx
import orjson

from applespring.cli import EXIT_DONE, EXIT_FAULT, Range, run_program
from applespring.load.arrival import plan_arrivals
from applespring.load.caller import Caller
from applespring.load.expect import parse_chains
from applespring.load.record import (
    RecordError,
    fetch_records,
    find_after_leaving,
    find_doubled,
    find_false_refusals,
    find_lost,
    read_executions,
)
from applespring.load.run import Runner
from applespring.load.summary import Summary
from applespring.load.workload import (
    DURATION_MAX_S,
    RATE_MAX_PER_S,
    Workload,
    parse_choice,
    parse_range,
)

# Least rate, duration and deadline: they must be above zero.
POSITIVE_MIN = 0.001
TIMEOUT_MAX_S = 3600.0
IN_FLIGHT_LIMIT = 1_000_000

Fraction = Annotated[float, Range(0, 1)]

CLIENT_COUNT = 16
KEEPALIVE_CONNECTIONS_PER_CLIENT = 32


def generate_load(
    *,
    targets: str,
    pipelines: str,
    accounts: str,
    chains: str,
    rate: Annotated[float, Range(POSITIVE_MIN, RATE_MAX_PER_S)] = 10.0,
    duration: Annotated[float, Range(POSITIVE_MIN, DURATION_MAX_S)] = 10.0,
    seed: int = 0,
    deadline: Annotated[float, Range(POSITIVE_MIN, TIMEOUT_MAX_S)] = 10.0,
    grace: Annotated[float, Range(0, TIMEOUT_MAX_S)] = 2.0,
    tokens: str = "16-64",
    input_bytes: str = "0-200",
    stream_share: Fraction = 0.0,
    key_share: Fraction = 0.0,
    resubmit_share: Fraction = 0.0,
    resubmit_mode: Literal["same_time", "after_failure", "both"] = "both",
    issued_keys: bool = False,
    random_targets: bool = False,
    http2: bool = False,
    in_flight_max: Annotated[int, Range(1, IN_FLIGHT_LIMIT)] = 20_000,
    records: str = "",
    leaving_allowance: Annotated[float, Range(0, TIMEOUT_MAX_S)] = 5.0,
    tolerate_broken: bool = False,
    resubmit_broken: bool = False,
    output: str = "",
) -> int:
    """Generates an open-loop load and checks every answer.

    Args:
        targets: Base URLs of entry instances, separated by commas.
        pipelines: Pipelines with weights, as `name=weight,name=weight`.
        accounts: Client accounts with weights, in the same form.
        chains: Stages of each pipeline, as
            `pipeline=kind:stage/kind:stage@max_tokens;...`; kinds are encode,
            retrieve, rerank, generate and service.
        rate: Mean arrivals per second.
        duration: Seconds during which requests arrive.
        seed: Seed of all random choices.
        deadline: Deadline that each request states, in seconds.
        grace: Seconds to wait for an answer beyond the deadline.
        tokens: Tokens that a request asks for, as `low-high`.
        input_bytes: Bytes of filler text, as `low-high`.
        stream_share: Share of streamed requests, 0 to 1.
        key_share: Share of requests with an idempotency key, 0 to 1.
        resubmit_share: Share of requests submitted again with the same key, 0
            to 1.
        resubmit_mode: When to submit them again.
        issued_keys: Use keys that the targets issue instead of chosen ones.
        random_targets: Choose targets at random, not in turn.
        http2: Speak HTTP/2.
        in_flight_max: Requests in flight at which no more are sent.
        records: Base URLs of stand-ins whose execution records to compare
            with, separated by commas.
        leaving_allowance: Seconds for which a leaving upstream may still
            receive work.
        tolerate_broken: Do not count broken connections as faults.
        resubmit_broken: Submit a request again to another target if its
            connection broke, as clients behind a load balancer do.
        output: File for the result as JSON.

    Raises:
        SettingsError: A setting is malformed or out of bounds.
    """
    workload = Workload(
        _split_urls(targets),
        parse_choice("pipelines", pipelines),
        parse_choice("accounts", accounts),
        parse_chains(chains),
        rate_per_s=rate,
        duration_s=duration,
        seed=seed,
        deadline_s=deadline,
        tokens=parse_range("tokens", tokens),
        input_bytes=parse_range("input-bytes", input_bytes),
        stream_share=stream_share,
        key_share=key_share,
        resubmit_share=resubmit_share,
        resubmit_mode=resubmit_mode,
        issued_keys=issued_keys,
        random_targets=random_targets,
    )
    summary = Summary(deadline)
    anyio.run(
        _run_load,
        workload,
        summary,
        grace,
        http2,
        in_flight_max,
        _split_urls(records),
        leaving_allowance,
        resubmit_broken,
    )
    if not tolerate_broken:
        summary.add_broken()
    _write_summary(summary, output)
    return EXIT_FAULT if summary.faulty else EXIT_DONE


def _split_urls(text: str) -> list[str]:
    return [url.strip().rstrip("/") for url in text.split(",") if url.strip()]


async def _run_load(
    workload: Workload,
    summary: Summary,
    grace_s: float,
    http2: bool,
    in_flight_max: int,
    records: list[str],
    leaving_allowance_s: float,
    resubmit_broken: bool,
) -> None:
    tls = httpx.create_ssl_context(trust_env=False)
    async with contextlib.AsyncExitStack() as exit_stack:
        clients = [
            await exit_stack.enter_async_context(_create_client(http2, tls))
            for _ in range(CLIENT_COUNT)
        ]
        caller = Caller(clients, workload.deadline_s, grace_s)
        runner = Runner(
            workload,
            caller,
            summary,
            in_flight_max,
            resubmit_broken=resubmit_broken,
        )
        arrivals = plan_arrivals(workload, time.time_ns() // 1_000_000)
        await runner.run(arrivals, _print_progress)
        if not records:
            return
        try:
            found = await fetch_records(clients[0], records)
            compare_records(workload, summary, found, leaving_allowance_s)
        except RecordError as exc:
            summary.add_violations("no_record", [str(exc)])


def _create_client(http2: bool, tls: ssl.SSLContext) -> httpx.AsyncClient:
    # The clients share one TLS context, since loading the trusted certificates
    # takes tens of milliseconds.
    limits = httpx.Limits(
        max_connections=None,
        max_keepalive_connections=KEEPALIVE_CONNECTIONS_PER_CLIENT,
    )
    return httpx.AsyncClient(
        limits=limits,
        http1=not http2,
        http2=http2,
        verify=tls,
        trust_env=False,
    )


def compare_records(
    workload: Workload,
    summary: Summary,
    records: list[dict],
    leaving_allowance_s: float,
) -> None:
    """Adds the faults that the execution records reveal to the summary.

    Raises:
        RecordError: A record is incomplete or malformed.
    """
    submissions = summary.submissions
    executions = read_executions(records, submissions)
    summary.add_violations(
        "lost", find_lost(submissions, executions, workload.chains)
    )
    summary.add_violations("doubled", find_doubled(executions))
    summary.add_violations(
        "false_not_run", find_false_refusals(submissions, executions)
    )
    summary.add_violations(
        "after_leaving", find_after_leaving(executions, leaving_allowance_s)
    )


def _print_progress(line: str) -> None:
    print(line, file=sys.stderr, flush=True)


def _write_summary(summary: Summary, output: str) -> None:
    text = orjson.dumps(summary.to_json(), option=orjson.OPT_INDENT_2)
    if output:
        pathlib.Path(output).write_bytes(text + b"\n")
    else:
        sys.stdout.write(text.decode() + "\n")


def main(
    argv: Sequence[str] | None = None,
    environ: Mapping[str, str] | None = None,
) -> int:
    """Runs the program and returns its exit code."""
    return run_program(
        "applespring-load", generate_load, argv=argv, environ=environ
    )


if __name__ == "__main__":
    sys.exit(main())
