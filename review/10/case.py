"""A worker spoils answers to streaming requests; see claim.txt."""

import asyncio
import pathlib
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib2"))

import world as w  # noqa: E402

REQUESTS = 60
PAUSE_S = 0.1
# One of the two workers spoils one in twenty of its answers.
SPOILED_EVERY = 20
SPOILED_STATUS = 202


class SpoilingEngine(w.EngineWorker):
    """An engine that spoils some of its answers."""

    def reset_state(self) -> None:
        """See `Worker.reset_state`."""
        self._answers = 0

    async def run(
        self, req: w.Request, echo: w.Headers, writer: asyncio.StreamWriter
    ) -> bool:
        """See `Worker.run`."""
        self._answers += 1
        if not self.world.trouble or self._answers % SPOILED_EVERY != 10:
            return await super().run(req, echo, writer)
        request = req.headers["request-id"]
        self.world.note_run(request, self, req)
        self.world.record.add(f"worker {self.name} spoils {request}")
        body = b"\x00" * 40
        writer.write(w.make_answer(SPOILED_STATUS, echo, body))
        return True


async def send(world: w.World, relay: w.Relay, wrong: list[str]) -> None:
    """Sends a request and checks its answer."""
    channel = w.Channel(relay)
    if not await channel.open():
        raise w.CannotRunError("a channel was not accepted")
    request = world.new_id()
    headers = w.make_headers(
        request,
        8000,
        Model="m",
        Token_Count="1460,30",
        Prompt_Prefix=f"5c1e07a2:800,{request[:8]}:410",
    )
    answer = await channel.request("POST", "/chat/1", headers, b"hut 7")
    channel.close()
    signed = "response-signature" in answer.headers
    world.record.add(
        f"client of {request}: {answer.describe()}, "
        f"{'signed' if signed else 'NOT SIGNED'}, {answer.body[:24]!r}"
    )
    if 200 <= answer.status < 300 and answer.complete and not signed:
        wrong.append(request)


async def play(world: w.World) -> str:
    """Plays the case; returns how the rule was broken."""
    world.add_relays(("koper-hall", "izola-hall"))
    world.workers += [
        SpoilingEngine(
            world, "i-llm0", "pool", world.address(60), "koper-hall"
        ),
        w.EngineWorker(
            world, "i-llm1", "pool", world.address(61), "izola-hall"
        ),
    ]
    engine = {"slots": 64, "kvCapacityTokens": 635275}
    await world.start(
        w.make_document(
            7,
            [
                w.make_route(
                    "chat", "streaming", "pool", 8000, targetLatencyMs=1500
                )
            ],
            [w.make_service("pool", engine=engine)],
        )
    )
    wrong: list[str] = []
    tasks = []
    for number in range(REQUESTS):
        relay = world.relays[number % 2]
        tasks.append(world.spawn(send(world, relay, wrong)))
        await asyncio.sleep(PAUSE_S)
    await asyncio.wait(tasks, timeout=10.0)
    if not wrong:
        return ""
    return (
        f"MIXED: {len(wrong)} clients got a success without the worker's "
        "Response-Signature"
    )


if __name__ == "__main__":
    sys.exit(w.run_case(CASE, play))
