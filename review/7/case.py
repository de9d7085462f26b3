"""A worker's entry is removed after a silent watch; see claim.txt."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib2"))

import world as w  # noqa: E402

DRAIN_S = 2.0
CONTACT_S = 3.0
# In each round the channels go silent, the entry is removed so long after that,
# and the worker serves for `drainMs` and a little longer, and then exits. It is
# back for the next round.
ROUNDS = 4
SILENT_AT_S = 3.0
REMOVED_AFTER_S = 0.4
EXITS_AFTER_S = 3.4
ROUND_S = 10.0
WORK_S = 0.3


class SilentStore(w.Store):
    """A store whose open channels may go silent, while new ones work."""

    def __init__(self, host: str) -> None:
        super().__init__(host)
        self._silent: set[asyncio.StreamWriter] = set()

    def silence(self) -> None:
        """Lets all channels that are open now go silent for good."""
        self._silent = set(self._writers)

    async def handle(
        self, req: w.Request, writer: asyncio.StreamWriter
    ) -> bool:
        """See `Store.handle`."""
        answer = asyncio.ensure_future(super().handle(req, _Held(self, writer)))
        try:
            return await answer
        finally:
            answer.cancel()

    def is_silent(self, writer: asyncio.StreamWriter) -> bool:
        """Returns whether a channel is silent."""
        return writer in self._silent


class _Held:
    """A writer that holds back what is written to a silent channel."""

    def __init__(
        self, store: SilentStore, writer: asyncio.StreamWriter
    ) -> None:
        self._store = store
        self._writer = writer
        self._data = b""

    def write(self, data: bytes) -> None:
        """Takes bytes to be written."""
        self._data += data

    async def drain(self) -> None:
        """Writes them, or waits for ever on a silent channel."""
        while self._store.is_silent(self._writer):
            await asyncio.sleep(1.0)
        self._writer.write(self._data)
        await self._writer.drain()


async def book(
    world: w.World, relay: w.Relay, stop: asyncio.Event, failed: list[str]
) -> None:
    """Sends bookings on a kept channel, one after the other."""
    channel = w.Channel(relay)
    while not stop.is_set():
        if not channel.is_open and not await channel.open():
            await asyncio.sleep(0.1)
            continue
        request = world.new_id()
        headers = w.make_headers(request, 3000)
        answer = await channel.request("POST", "/book/1", headers, b"hut 7")
        ran = world.runs.get(request, [])
        if ran and answer.status != 200:
            failed.append(request)
            world.record.add(
                f"booking {request} at {relay.name}: {answer.describe()}, "
                f"ran {ran}"
            )
        await asyncio.sleep(0.02)


async def play(world: w.World) -> str:
    """Plays the case; returns how the rule was broken."""
    store = world.store = SilentStore(world.address(2))
    zones = ("koper-hall", "izola-hall", "piran-hall")
    world.add_relays(zones)
    for number in range(3):
        world.workers.append(
            w.PlainWorker(
                world,
                f"i-book{number}",
                "bookings",
                world.address(50 + number),
                zones[number],
                slots=6,
                work_s=WORK_S,
            )
        )
    await world.start(
        w.make_document(
            7,
            [w.make_route("book", "unsafe", "bookings", 3000)],
            [w.make_service("bookings")],
        )
    )
    stop, failed = asyncio.Event(), []
    clients = [
        world.spawn(book(world, relay, stop, failed))
        for relay in world.relays
        for _ in range(4)
    ]
    leaving = world.workers[0]
    late: dict[str, float] = {}
    for _ in range(ROUNDS):
        late |= await play_round(world, store, leaving)
    stop.set()
    await asyncio.wait(clients, timeout=4.0)
    lost = [request for request in failed if request in late]
    world.record.add(
        f"{len(late)} requests ran at {leaving.name} later than drainMs after "
        f"the ack, sent by machines in touch; {len(lost)} of them got no "
        "answer of it"
    )
    if not late:
        return ""
    return (
        f"DRAIN: {len(late)} requests reached a removed worker up to "
        f"{max(late.values()):.2f} s after the ack (drainMs {DRAIN_S:g} s); "
        f"{len(lost)} bookings of these were cut off by its exit"
    )


async def play_round(
    world: w.World, store: SilentStore, leaving: w.Worker
) -> dict[str, float]:
    """Has the worker leave; returns its late requests, and how late each is."""
    started_at = world.record.now()
    await asyncio.sleep(SILENT_AT_S)
    if world.trouble:
        store.silence()
        world.record.add("the open channels of the store go silent")
    silent_at = world.record.now()
    await asyncio.sleep(REMOVED_AFTER_S)
    store.delete(f"servers/{leaving.name}")
    acked_at = world.record.now()
    world.record.add(f"the entry of {leaving.name} is removed")
    await asyncio.sleep(EXITS_AFTER_S)
    world.record.add(f"worker {leaving.name} exits")
    leaving.abort()
    # Machines are in touch from `contactMs` after the channels went silent.
    late_from = max(acked_at + DRAIN_S, silent_at + CONTACT_S)
    late = {
        request: at - acked_at
        for request, (name, at) in world.run_times.items()
        if name == leaving.name and at > late_from
    }
    await asyncio.sleep(started_at + ROUND_S - 1.0 - world.record.now())
    await leaving.start()
    await asyncio.sleep(started_at + ROUND_S - world.record.now())
    return late


if __name__ == "__main__":
    sys.exit(w.run_case(CASE, play))
