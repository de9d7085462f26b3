"""The last keys are taken away, and requests with any key run.

The configuration still has tenants, so a request needs a key that one of them
holds, and none does.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common import world as w  # noqa: E402

# No configuration of the case holds it.
STRANGE_KEY = "key-that-nobody-holds"
BEFORE_S, AFTER_S = 3.0, 8.0
# `configApplyMs`, for the record; the rule that is judged has no bound.
APPLY_S = 2.0


async def play(world: w.World) -> None:
    """Plays the case."""
    await w.deploy(world)
    await world.start_relays(3)
    w.start_traffic(world, kept_channels=1)
    strange: set[str] = set()
    world.notes["strange"] = strange

    async def intrude(relay: w.Relay) -> None:
        while True:
            sent = await world.call(
                relay, "/book/b", [], deadline_ms=1000, key=STRANGE_KEY
            )
            strange.add(sent.request_id)
            await asyncio.sleep(0.25)

    for relay in world.relays:
        world.start(intrude(relay))
    await asyncio.sleep(BEFORE_S)
    if w.trouble():
        world.configure(version=8, keys=[])
        world.record.add("version 8 is acknowledged; it holds no key")
    await asyncio.sleep(APPLY_S + AFTER_S)


def judge(world: w.World) -> str:
    """Applies ROUTE: a request runs whose key no configuration ever held."""
    strange = world.notes["strange"]
    ran = [request_id for request_id in world.runs if request_id in strange]
    text = f"{len(ran)} of {len(strange)} requests with a strange key ran"
    world.record.add(text)
    if not any(sent.complete for sent in world.sent) or not strange:
        raise w.SetupError("no request was answered")
    return f"ROUTE: {text}" if ran else ""


if __name__ == "__main__":
    w.run_case(FOLDER, play, judge)
