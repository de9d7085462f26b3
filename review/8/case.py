"""A stage worker crashes between a result and its use; see claim.txt."""

import asyncio
import itertools
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib2"))

import world as w  # noqa: E402

ROUNDS = 1
# From the first request of a round: the crash of the worker of stage 0, how
# long it is down, and the second request.
CRASH_AFTER_S = 0.6
DOWN_S = 2.0
SECOND_AFTER_S = 2.9
ROUND_S = 12.0


class NumberingWorker(w.StageWorker):
    """A worker that numbers its results, from 1 after each start."""

    def reset_state(self) -> None:
        """See `Worker.reset_state`."""
        super().reset_state()
        self._numbers = itertools.count(1)

    def make_handle(self) -> str:
        """See `StageWorker.make_handle`."""
        return f"{self.address}/{next(self._numbers):x}"


async def send(world: w.World, relay: w.Relay) -> None:
    """Sends a request with one piece of stage 0 and eight of stage 1."""
    channel = w.Channel(relay)
    if not await channel.open():
        raise w.CannotRunError("a channel was not accepted")
    request = world.new_id()
    world.record.add(f"client sends {request} to {relay.name}")
    headers = w.make_headers(
        request,
        15000,
        Model="m",
        Token_Count="1460,30",
        Prompt_Prefix=f"5c1e07a2:800,{request[:8]}:410",
        Segments="1,8",
        Segment_Key=request[:12],
    )
    answer = await channel.request("POST", "/chat/1", headers, b"hut 7")
    channel.close()
    world.record.add(f"client of {request}: {answer.describe()}")


def make_configuration() -> dict:
    """Returns the configuration."""
    stages = [
        {"service": "permits", "after": [], "length": 60000},
        {"service": "notices", "after": [], "length": 6000},
    ]
    permits = {
        "slots": 1,
        "queue": 2,
        "batch": 15,
        "callMs": 150,
        "itemMs": 8.5,
        "headroomMb": 31,
        "handleTtlS": 8,
        "linkMbps": 1000,
    }
    notices = {**permits, "batch": 4, "callMs": 1500, "itemMs": 50}
    return w.make_document(
        7,
        [
            w.make_route(
                "chat",
                "streaming",
                "pool",
                15000,
                targetLatencyMs=2000,
                stages=stages,
            )
        ],
        [
            w.make_service(
                "pool", engine={"slots": 64, "kvCapacityTokens": 635275}
            ),
            w.make_service("permits", segments=permits),
            w.make_service("notices", segments=notices),
        ],
    )


async def play(world: w.World) -> str:
    """Plays the case; returns how the rule was broken."""
    world.add_relays(("koper-hall", "izola-hall"))
    common = {"slots": 1, "free_mb": 31.0, "handle_s": 8.0}
    permits = NumberingWorker(
        world,
        "i-permits",
        "permits",
        world.address(70),
        "koper-hall",
        call_s=0.15,
        item_s=0.0085,
        **common,
    )
    world.workers += [
        permits,
        NumberingWorker(
            world,
            "i-notices",
            "notices",
            world.address(71),
            "koper-hall",
            call_s=1.5,
            item_s=0.05,
            **common,
        ),
        w.EngineWorker(
            world, "i-llm0", "pool", world.address(60), "koper-hall"
        ),
    ]
    await world.start(make_configuration())
    relay = world.relays[0]
    for _ in range(ROUNDS):
        started_at = world.record.now()
        world.spawn(send(world, relay))
        await asyncio.sleep(CRASH_AFTER_S)
        if world.trouble:
            world.spawn(permits.crash(DOWN_S))
        await asyncio.sleep(started_at + SECOND_AFTER_S - world.record.now())
        world.spawn(send(world, relay))
        await asyncio.sleep(started_at + ROUND_S - world.record.now())
    mixed = []
    for request, inputs in world.inputs.items():
        foreign = sorted({i["id"] for i in inputs if i["id"] != request})
        if foreign:
            mixed.append(request)
            world.record.add(f"MIXED {request} ran with inputs of {foreign}")
    if not mixed:
        return ""
    return f"MIXED: {len(mixed)} requests ran with inputs of another request"


if __name__ == "__main__":
    sys.exit(w.run_case(CASE, play))
