"""Another writer's entry has an address that is no IP:port."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common import world as w  # noqa: E402

BEFORE_S, AFTER_S = 6.0, 20.0


async def play(world: w.World) -> None:
    """Plays the case."""
    workers = await w.deploy(world)
    await world.start_relays(3)
    w.start_traffic(world)
    await asyncio.sleep(BEFORE_S)
    if w.trouble():
        entry = workers[0].entry() | {"address": "::1:8080"}
        world.store.put("servers/i-other-writer", entry)
        world.record.add(f"another writer's entry: {entry}")
    await asyncio.sleep(AFTER_S)


if __name__ == "__main__":
    w.run_case(FOLDER, play, w.judge_ends)
