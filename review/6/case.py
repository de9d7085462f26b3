"""Full stage workers turn requests away for a time; see claim.txt."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib2"))

import world as w  # noqa: E402

ZONES = ("koper-hall", "izola-hall", "piran-hall")
# Route and its stage service.
REVIEWS = (("review", "permits"), ("chat", "notices"))
# Workers of each stage service.
STAGE_WORKERS = 3
# Requests a second of each route at each machine, and in the burst.
PER_S = 6.0
BURST_X = 2.4
BURST_S = 6.5
# A burst of each route, at the same time, and the time from one to the next.
BURSTS = 12
FIRST_AT_S = 2.0
EVERY_S = 7.5
LENGTH_S = FIRST_AT_S + BURSTS * EVERY_S
# Fault: so many machines' processes end by themselves so many times.
MACHINES_MIN = 2
ENDS_MIN = 3


class FullWorker(w.StageWorker):
    """A worker that is full while it makes a call, in a burst.

    It turns other requests away until the end of the call.
    """

    def reset_state(self) -> None:
        """See `Worker.reset_state`."""
        super().reset_state()
        self._busy_until = 0.0

    async def run(
        self, req: w.Request, echo: w.Headers, writer: asyncio.StreamWriter
    ) -> bool:
        """See `Worker.run`."""
        left_s = self._busy_until - self.world.record.now()
        if self.world.pressed and left_s > 0.0:
            self.world.turned_away += 1
            retry_after = ("Retry-After", f"{left_s:.3f}")
            writer.write(w.make_answer(503, [*echo, w.NOT_RUN, retry_after]))
            return True
        if req.target == "/stage-run":
            self._busy_until = self.world.record.now() + self.call_s
        return await super().run(req, echo, writer)


class PressedWorld(w.World):
    """A world whose clients press beyond the usual at times."""

    def __init__(self, case: pathlib.Path) -> None:
        super().__init__(case)
        self.pressed = False
        self.turned_away = 0
        self.cut = 0


async def review(
    world: PressedWorld,
    relay: w.Relay,
    route: str,
    stop: asyncio.Event,
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
        if request in world.runs and not answer.complete:
            world.cut += 1

    while not stop.is_set():
        world.spawn(send())
        factor = BURST_X if world.pressed else 1.0
        await asyncio.sleep(1 / PER_S / factor)


def make_configuration() -> dict:
    """Returns the configuration."""
    routes, services = [], []
    engine = {"slots": 64, "kvCapacityTokens": 635275}
    services.append(w.make_service("pool", engine=engine))
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
    for route, service in REVIEWS:
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


async def play(world: PressedWorld) -> str:
    """Plays the case; returns how the rule was broken."""
    world.add_relays(ZONES)
    for number, zone in enumerate(ZONES):
        world.workers.append(
            w.EngineWorker(
                world,
                f"i-llm{number}",
                "pool",
                world.address(60 + number),
                zone,
            )
        )
    for kind, (_, service) in enumerate(REVIEWS):
        for number in range(STAGE_WORKERS):
            world.workers.append(
                FullWorker(
                    world,
                    f"i-{service}{number}",
                    service,
                    world.address(70 + 10 * kind + number),
                    ZONES[number],
                    slots=1,
                    call_s=0.15,
                    item_s=0.0085,
                    free_mb=31.0,
                    handle_s=4.0,
                )
            )
    await world.start(make_configuration())
    stop = asyncio.Event()
    clients = [
        world.spawn(review(world, relay, route, stop))
        for relay in world.relays
        for route, _ in REVIEWS
    ]
    started_at = world.record.now()
    for number in range(BURSTS):
        at_s = FIRST_AT_S + number * EVERY_S
        await asyncio.sleep(started_at + at_s - world.record.now())
        if world.trouble:
            world.record.add(f"burst: {BURST_X} times the requests")
            world.pressed = True
            await asyncio.sleep(BURST_S)
            world.pressed = False
    await asyncio.sleep(started_at + LENGTH_S - world.record.now())
    stop.set()
    await asyncio.wait(clients, timeout=3.0)
    await asyncio.sleep(1.0)
    ended = {r.name: len(r.ended) for r in world.relays if r.ended}
    for relay in world.relays:
        for line in sorted(set(world.faults_logged(relay))):
            world.record.add(f"log of {relay.name}: {line}")
    world.record.add(
        f"processes that ended by themselves: {ended}; {world.turned_away} "
        f"requests were turned away; {world.cut} answers were cut"
    )
    often = [name for name, count in ended.items() if count >= ENDS_MIN]
    if len(often) < MACHINES_MIN:
        return ""
    return (
        f"Fault: processes ended by themselves {ended}, with no disturbance on "
        f"their machines; {world.cut} answers were cut"
    )


if __name__ == "__main__":
    sys.exit(w.run_case(CASE, play, PressedWorld))
