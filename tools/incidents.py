"""Reproduces the incidents of docs/OPERATIONS.md in virtual time.

`python tools/incidents.py NAME` runs the fleet of examples/obalne.toml, with 2
slots for each upstream that has 16, for 90 s of virtual time: 30 s without a
fault, 30 s of the incident and 30 s after it. It saves the metrics of every
instance every 10 s to out/incidents/NAME, which applespring-report reads.
"""

import logging
import pathlib
import random
import shutil
import sys
from collections.abc import Awaitable, Callable

import anyio
from loguru import logger
from trio.testing import MockClock

from applespring.report.exposition import parse_exposition
from applespring.report.scrape import INSTANCE_INFO_METRIC, save
from standins.fleet import CALLERS_DOMAIN, VirtualFleet, run_fleet

DOCUMENT = pathlib.Path("examples/obalne.toml")
OUT = pathlib.Path("out/incidents")
PHASE_S = 30.0
SCRAPE_S = 10.0
RATE_PER_S = 6.0
BURST_RATE_PER_S = 40.0
SEED = 7
ACCOUNTS = {
    "web": 5,
    "tourist-board": 3,
    "kiosks-koper": 1,
    "kiosks-piran": 1,
}

Incident = Callable[[VirtualFleet], Awaitable[None]]
INCIDENTS: dict[str, tuple[Incident, Incident]] = {}


async def _do_nothing(fleet: VirtualFleet) -> None:
    del fleet


def _register_incident(name: str, end: Incident = _do_nothing) -> Callable:
    def register(start: Incident) -> Incident:
        INCIDENTS[name] = (start, end)
        return start

    return register


def _set_slow(fleet: VirtualFleet, pool: str, factor: float) -> None:
    for upstream in fleet.fleet.pools[pool].upstreams:
        fleet.upstreams[upstream.name].apply_faults({"slow": factor})


async def _speed_up(fleet: VirtualFleet) -> None:
    _set_slow(fleet, "reranker", 1.0)


@_register_incident("stage-slow", _speed_up)
async def slow_stage(fleet: VirtualFleet) -> None:
    """All rerankers take 30 times as long."""
    _set_slow(fleet, "reranker", 30.0)


@_register_incident("account-burst")
async def submit_burst(fleet: VirtualFleet) -> None:
    """One account submits 40 requests a second more than usual."""
    rng = random.Random(SEED + 1)
    async with anyio.create_task_group() as tasks:
        with anyio.move_on_after(PHASE_S):
            while True:
                await anyio.sleep(rng.expovariate(BURST_RATE_PER_S))
                tasks.start_soon(_submit_question, fleet, rng, "tourist-board")


async def _heal(fleet: VirtualFleet) -> None:
    fleet.heal()


@_register_incident("domain-cut", _heal)
async def cut_off_domain(fleet: VirtualFleet) -> None:
    """The domain piran is cut off from the other domains and the platform."""
    fleet.cut_domain("piran")


async def _restore_platform(fleet: VirtualFleet) -> None:
    fleet.platform.apply_faults({"staleness": 0, "outage": False})


@_register_incident("platform-stale", _restore_platform)
async def make_platform_stale(fleet: VirtualFleet) -> None:
    """The platform serves an old revision for 15 s, then it is down."""
    fleet.platform.apply_faults({"staleness": 1})
    await fleet.publish(fleet.document + "\n# A second revision.\n")
    await anyio.sleep(PHASE_S / 2)
    fleet.platform.apply_faults({"outage": True})


async def _publish_valid(fleet: VirtualFleet) -> None:
    await fleet.publish(fleet.document)


@_register_incident("bad-config", _publish_valid)
async def publish_invalid(fleet: VirtualFleet) -> None:
    """An operator publishes a rule that names an unknown pool."""
    await fleet.publish(
        fleet.document.replace('pool = "language-model" },', 'pool = "llm" },')
    )


async def _submit_question(
    fleet: VirtualFleet, rng: random.Random, account: str
) -> None:
    await fleet.submit(
        rng.choice(list(fleet.entries)),
        "assistant",
        account,
        f"question {rng.getrandbits(32)}",
        stream=rng.random() < 0.5,
    )


async def _submit_booking(
    fleet: VirtualFleet, rng: random.Random, account: str
) -> None:
    """Submits a booking with a key that possibly another instance issued."""
    names = list(fleet.entries)
    key = await fleet.issue_key(rng.choice(names))
    await fleet.submit(
        rng.choice(names),
        "booking",
        account,
        f"hut {rng.getrandbits(32)}",
        key=key,
    )


async def _submit_load(fleet: VirtualFleet) -> None:
    """Submits requests as a Poisson process until cancelled."""
    rng = random.Random(SEED)
    names, weights = list(ACCOUNTS), list(ACCOUNTS.values())
    async with anyio.create_task_group() as tasks:
        while True:
            await anyio.sleep(rng.expovariate(RATE_PER_S))
            account = rng.choices(names, weights)[0]
            submit = _submit_booking if rng.random() < 0.2 else _submit_question
            tasks.start_soon(submit, fleet, rng, account)


async def _scrape(fleet: VirtualFleet, directory: pathlib.Path) -> None:
    """Saves the metrics of every instance until cancelled."""
    async with fleet.network.client(CALLERS_DOMAIN) as client:
        while True:
            for host in fleet.entries.values():
                resp = await client.get(f"http://{host.address}/metrics")
                scrape = parse_exposition(resp.text, host.name)[0][0]
                scrape.instance = scrape.find_label(
                    INSTANCE_INFO_METRIC, "name"
                )
                scrape.time_s = round(anyio.current_time(), 3)
                save(directory, scrape, resp.text)
            await anyio.sleep(SCRAPE_S)


async def _run(name: str) -> None:
    start, end = INCIDENTS[name]
    directory = OUT / name
    shutil.rmtree(directory, ignore_errors=True)

    async def scenario(fleet: VirtualFleet) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_submit_load, fleet)
            tasks.start_soon(_scrape, fleet, directory)
            started_at = anyio.current_time()
            await anyio.sleep(PHASE_S)
            await start(fleet)
            await anyio.sleep_until(started_at + 2 * PHASE_S)
            await end(fleet)
            await anyio.sleep_until(started_at + 3 * PHASE_S + 1)
            tasks.cancel_scope.cancel()

    document = DOCUMENT.read_text().replace("slots = 16 }", "slots = 2 }")
    await run_fleet(document, scenario, seed=SEED)


def main() -> int:
    """Runs the incident named on the command line."""
    if len(sys.argv) != 2 or sys.argv[1] not in INCIDENTS:
        print(f"usage: incidents.py {' | '.join(INCIDENTS)}", file=sys.stderr)
        return 2
    logger.remove()
    logging.getLogger("httpx").setLevel(logging.WARNING)
    anyio.run(
        _run,
        sys.argv[1],
        backend="trio",
        backend_options={"clock": MockClock(autojump_threshold=0)},
    )
    print(f"saved to {OUT / sys.argv[1]}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
