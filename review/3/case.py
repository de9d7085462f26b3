"""A stage worker's report has no end, and the processes that ask for it end."""

import asyncio
import contextlib
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common import world as w  # noqa: E402

# The trouble begins before the first request, since an instance asks for the
# reports when it begins to schedule a service.
TROUBLE_S, AFTER_S = 6.5, 10.0
# What is sent again and again.
ENDLESS = b"x" * (1 << 20)


class EndlessStageWorker(w.StageWorker):
    """Answers a report with bytes without end while it is in trouble."""

    troubled = False

    async def serve(
        self, req: w.Request, conn: w.Conn, echo: list[tuple[str, str]]
    ) -> None:
        """See `Worker.serve`."""
        if not self.troubled or req.target != "/report":
            await super().serve(req, conn, echo)
            return
        self.world.record.add(f"{self.name} answers a report without end")
        head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
        with contextlib.suppress(OSError):
            await conn.send(head.encode())
            while True:
                await conn.send(ENDLESS)
                await asyncio.sleep(0)
        conn.close()


async def play(world: w.World) -> None:
    """Plays the case."""
    workers = await w.deploy(world, EndlessStageWorker)
    await world.start_relays(3)
    workers[0].troubled = w.trouble()
    w.start_traffic(world)
    await asyncio.sleep(TROUBLE_S)
    workers[0].troubled = False
    world.record.add("the trouble ends")
    await asyncio.sleep(AFTER_S)


if __name__ == "__main__":
    w.run_case(FOLDER, play, w.judge_ends)
