"""Silence of the workers of a host, whose connections stay open."""

import anyio

# Phases of an answer: up to the head of the answer to a request or a stage
# call, after that head, and the whole answer to a release or a report.
HEAD, BODY, CONTROL = "head", "body", "control"
PHASES = (HEAD, BODY, CONTROL)
CONTROL_TARGETS = frozenset(["/stage-free", "/report"])
POLL_S = 0.01


class Silence:
    """Phases in which the workers of a host send nothing.

    Attributes:
        pausing: Number of active faults that delay an answer, by phase.
        ending: Number of active faults after which an answer that they met
            never goes on, by phase.
    """

    __slots__ = ("pausing", "ending")

    def __init__(self) -> None:
        self.pausing = dict.fromkeys(PHASES, 0)
        self.ending = dict.fromkeys(PHASES, 0)

    async def wait(self, phase: str) -> None:
        """Returns when the next bytes of an answer may be sent."""
        while self.pausing[phase] or self.ending[phase]:
            if self.ending[phase]:
                await anyio.sleep_forever()
            await anyio.sleep(POLL_S)
