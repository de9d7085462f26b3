"""A relay gets SIGTERM while requests wait at a worker; see claim.txt."""

import asyncio
import math
import pathlib
import signal
import sys

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lib2"))

import world as w  # noqa: E402

GRACE_S = 8.0
# The route's deadline, and its latency objective. The client leaves after four
# times the objective without an event.
TIMEOUT_MS = 15000
AIM_MS = 1500
LEAVES_S = 6.0
# Each stream takes 57 events, and the worker runs four at a time.
EVENTS = 57
STREAM_S = 2.9
SLOTS = 4
# When requests are sent, from SIGTERM, on channels opened before it.
OPENED_AT_S = -0.5
SENT_AT_S = (2.1,) * 4 + (2.15,) * 4 + (2.25,) * 4
LENGTH_S = 12.0
# Least time that a worker was at work on a request when its channel ended.
BEGUN_S = 0.1


class QueueingEngine(w.EngineWorker):
    """An engine that runs a few requests and queues the others in order."""

    def reset_state(self) -> None:
        """See `Worker.reset_state`."""
        self._free = asyncio.Semaphore(SLOTS)

    async def run(
        self, req: w.Request, echo: w.Headers, writer: asyncio.StreamWriter
    ) -> bool:
        """See `Worker.run`."""
        request = req.headers["request-id"]
        self.world.record.add(f"worker {self.name} queues {request}")
        async with self._free:
            going_on = await super().run(req, echo, writer)
        self.world.record.add(f"worker {self.name} has finished {request}")
        return going_on


class Sent:
    """A request, what its client got, and when it was sent."""

    def __init__(self, request: str, at_s: float) -> None:
        self.request = request
        self.at_s = at_s
        self.answer: w.Answer | None = None
        self.gave_up = False
        self.ended_at = 0.0


async def send(
    world: w.World, channel: w.Channel, relay: w.Relay, sent: Sent
) -> None:
    """Sends a request, and waits as long as a client does."""
    world.record.add(f"client sends {sent.request} to {relay.name}")
    headers = w.make_headers(
        sent.request,
        TIMEOUT_MS,
        Model="m",
        Token_Count="1460,120",
        Prompt_Prefix=f"5c1e07a2:800,{sent.request[:8]}:410",
    )
    answering = asyncio.ensure_future(
        channel.request("POST", "/chat/1", headers, b"when does it open")
    )
    try:
        # Without a first event the client leaves; with one it reads on.
        await asyncio.wait_for(asyncio.shield(answering), LEAVES_S)
    except TimeoutError:
        if sent.request not in world.runs:
            sent.gave_up = True
            channel.close()
    sent.answer = await answering
    sent.ended_at = world.record.now()
    world.record.add(
        f"client of {sent.request}: {sent.answer.describe()}"
        f"{' (it gave up)' if sent.gave_up else ''}"
    )


async def play(world: w.World) -> str:
    """Plays the case; returns how the rule was broken."""
    world.add_relays(("koper-hall", "izola-hall"))
    world.workers.append(
        QueueingEngine(
            world,
            "i-llm0",
            "pool",
            world.address(60),
            "koper-hall",
            events=EVENTS,
            gap_s=STREAM_S / EVENTS,
            slots=SLOTS,
        )
    )
    await world.start(
        w.make_document(
            7,
            [
                w.make_route(
                    "chat",
                    "streaming",
                    "pool",
                    TIMEOUT_MS,
                    targetLatencyMs=AIM_MS,
                )
            ],
            [
                w.make_service(
                    "pool", engine={"slots": SLOTS, "kvCapacityTokens": 635275}
                )
            ],
        )
    )
    relay = world.relays[0]
    relay.restart = False
    sent_requests, tasks = [], []
    term_at = world.record.now() + 3.0
    await asyncio.sleep(term_at + OPENED_AT_S - world.record.now())
    channels = [w.Channel(relay) for _ in SENT_AT_S]
    for channel in channels:
        if not await channel.open():
            raise w.CannotRunError("a channel was not accepted")
    await asyncio.sleep(term_at - world.record.now())
    if world.trouble:
        relay.send(signal.SIGTERM)
    for channel, at_s in zip(channels, SENT_AT_S, strict=True):
        await asyncio.sleep(max(0.0, term_at + at_s - world.record.now()))
        sent = Sent(world.new_id(), at_s)
        sent_requests.append(sent)
        tasks.append(world.spawn(send(world, channel, relay, sent)))
    await asyncio.sleep(term_at + LENGTH_S - world.record.now())
    await asyncio.wait(tasks, timeout=5.0)
    lost = []
    for sent in sent_requests:
        answer = sent.answer
        if answer is None or answer.complete or sent.gave_up:
            continue
        # A worker that was at work on it in the last sixth excuses it. One that
        # turned to it when the process ended, before it saw the close, was not.
        _, ran_at = world.run_times.get(sent.request, ("", math.inf))
        if ran_at > sent.ended_at - BEGUN_S:
            lost.append(sent)
    for sent in lost:
        world.record.add(
            f"LOST {sent.request}, sent {sent.at_s:+.1f} s from the SIGTERM: "
            "no answer, and no worker had begun to work on it"
        )
    if not lost:
        return ""
    return (
        f"LOST: {len(lost)} requests were read and passed on, and their "
        "channels ended without an answer; no worker was at work on them"
    )


if __name__ == "__main__":
    sys.exit(w.run_case(CASE, play))
