"""Stage workers with a `Server-Limit` crash; see claim.txt."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib2"))

import world as w  # noqa: E402

ZONES = ("koper-hall", "izola-hall", "piran-hall")
# Route, its stage service, and the zone of that service's only worker.
REVIEWS = (
    ("review", "permits", "koper-hall"),
    ("chat", "notices", "piran-hall"),
)
SERVER_LIMIT = "1.5"
# Pause between two requests of a route at a relay.
PAUSE_S = 0.25
# When the stage workers crash, after the start of the load, and for how long.
CRASH_AT_S = (6.0, 18.0, 30.0, 42.0)
DOWN_S = 3.5
LENGTH_S = 52.0
# Fault: so many machines' processes end by themselves so many times.
MACHINES_MIN = 2
ENDS_MIN = 3


class Bookings:
    """Bookings that ran, and were answered by the relay with a failure."""

    def __init__(self) -> None:
        self.failed = 0


async def book(
    world: w.World, relay: w.Relay, stop: asyncio.Event, bookings: Bookings
) -> None:
    """Sends bookings on a kept channel, one after the other."""
    channel = w.Channel(relay)
    while not stop.is_set():
        if not channel.is_open and not await channel.open():
            await asyncio.sleep(0.2)
            continue
        request = world.new_id()
        headers = w.make_headers(request, 5000)
        answer = await channel.request("POST", "/book/1", headers, b"hut 7")
        ran = world.runs.get(request, [])
        world.record.add(
            f"booking {request} at {relay.name}: {answer.describe()}, ran {ran}"
        )
        if ran and answer.status != 200:
            bookings.failed += 1
        await asyncio.sleep(0.02)


async def review(
    world: w.World, relay: w.Relay, route: str, stop: asyncio.Event
) -> None:
    """Sends requests with stages, each on a channel of its own."""

    async def send() -> None:
        channel = w.Channel(relay)
        if not await channel.open():
            return
        request = world.new_id()
        headers = w.make_headers(
            request,
            12000,
            Model="m",
            Token_Count="1460,30",
            Prompt_Prefix="5c1e07a2:800,91bd3f06:410",
            Segments="2",
            Segment_Key=request[:12],
        )
        answer = await channel.request("POST", f"/{route}/1", headers, b"case")
        channel.close()
        world.record.add(
            f"{route} {request} at {relay.name}: {answer.describe()}"
        )

    while not stop.is_set():
        world.spawn(send())
        await asyncio.sleep(PAUSE_S)


def make_configuration() -> dict:
    """Returns the configuration."""
    routes = [w.make_route("book", "unsafe", "bookings", 5000)]
    services = [
        w.make_service("bookings"),
        w.make_service(
            "pool", engine={"slots": 64, "kvCapacityTokens": 635275}
        ),
    ]
    segments = {
        "slots": 1,
        "queue": 2,
        "batch": 15,
        "callMs": 150,
        "itemMs": 8.5,
        "headroomMb": 31,
        "handleTtlS": 4,
        "linkMbps": 1000,
    }
    for route, service, _ in REVIEWS:
        stages = [{"service": service, "after": [], "length": 60000}]
        routes.append(
            w.make_route(
                route,
                "streaming",
                "pool",
                12000,
                targetLatencyMs=1300,
                stages=stages,
            )
        )
        services.append(w.make_service(service, segments=segments))
    return w.make_document(7, routes, services)


def add_workers(world: w.World) -> list[w.StageWorker]:
    """Adds all workers, and returns those of the stages."""
    for number in range(2):
        zone = ZONES[number]
        world.workers += [
            w.PlainWorker(
                world,
                f"i-book{number}",
                "bookings",
                world.address(50 + number),
                zone,
                work_s=0.6,
            ),
            w.EngineWorker(
                world,
                f"i-llm{number}",
                "pool",
                world.address(60 + number),
                zone,
            ),
        ]
    stage_workers = [
        w.StageWorker(
            world,
            f"i-{service}",
            service,
            world.address(70 + number),
            zone,
            slots=1,
            call_s=0.15,
            item_s=0.0085,
            free_mb=31.0,
            handle_s=4.0,
        )
        for number, (_, service, zone) in enumerate(REVIEWS)
    ]
    for worker in stage_workers:
        worker.said = [("Server-Limit", SERVER_LIMIT)]
    world.workers += stage_workers
    return stage_workers


async def play(world: w.World) -> str:
    """Plays the case; returns how the rule was broken."""
    world.add_relays(ZONES)
    stage_workers = add_workers(world)
    await world.start(make_configuration())
    stop, bookings = asyncio.Event(), Bookings()
    clients = []
    for relay in world.relays:
        clients += [
            world.spawn(book(world, relay, stop, bookings)) for _ in range(4)
        ]
        for route, _, _ in REVIEWS:
            world.spawn(review(world, relay, route, stop))
    started_at = world.record.now()
    for at in (*CRASH_AT_S, LENGTH_S):
        await asyncio.sleep(started_at + at - world.record.now())
        if world.trouble and at < LENGTH_S:
            for worker in stage_workers:
                world.spawn(worker.crash(DOWN_S))
    stop.set()
    await asyncio.wait(clients, timeout=6.0)
    ended = {r.name: len(r.ended) for r in world.relays if r.ended}
    for relay in world.relays:
        for line in sorted(set(world.faults_logged(relay))):
            world.record.add(f"log of {relay.name}: {line}")
    world.record.add(
        f"processes that ended by themselves: {ended}; bookings that ran and "
        f"were not answered with their worker's answer: {bookings.failed}"
    )
    often = [name for name, count in ended.items() if count >= ENDS_MIN]
    if len(often) < MACHINES_MIN:
        return ""
    return (
        f"Fault: processes ended by themselves {ended}, with no disturbance on "
        f"their machines; {bookings.failed} bookings that had run failed"
    )


if __name__ == "__main__":
    sys.exit(w.run_case(CASE, play))
