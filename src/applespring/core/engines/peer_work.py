"""What other instances have told of their requests at engines."""

import math
from collections.abc import Mapping

# Older news is ignored.
NEWS_MAX_AGE_S = 1.5
# Rows of one message; an instance with more of them sends them in turn.
ROWS_MAX = 8
# Instances whose news is held, above the design scale; the one that was heard
# longest ago is forgotten.
SENDERS_MAX = 1024


class EngineTotals:
    """What instances have at one engine.

    Attributes:
        requests: Requests that it runs or has waiting.
        tokens: Prompt tokens that it has not read yet.
        work_s: Time that they add to the first event of another request.
    """

    __slots__ = ("requests", "tokens", "work_s")

    def __init__(
        self, requests: float = 0.0, tokens: float = 0.0, work_s: float = 0.0
    ) -> None:
        self.requests = requests
        self.tokens = tokens
        self.work_s = work_s


class PeerWork:
    """Requests of other instances at engines, by the age of the news."""

    __slots__ = ("_senders",)

    def __init__(self) -> None:
        # Rows of each sender: requests, tokens, work and time of the news.
        self._senders: dict[str, dict[str, tuple[int, int, float, float]]] = {}

    def record(
        self,
        sender: str,
        loads: Mapping[str, tuple[int, int, float, float]],
        now: float,
    ) -> None:
        """Records the news of another instance.

        A message that is not full has all that the sender knows. Engines that a
        full one lacks keep their earlier news.

        Args:
            sender: Name of the instance.
            loads: Requests, unread prompt tokens, work in seconds and observed
                slowness by engine.
            now: Current time.
        """
        held = self._senders.pop(sender, None)
        if held is None or len(loads) < ROWS_MAX:
            held = {}
        for name, (requests, tokens, work_s, _) in loads.items():
            held[name] = (requests, tokens, work_s, now)
        self._senders[sender] = held
        while len(self._senders) > SENDERS_MAX:
            del self._senders[next(iter(self._senders))]

    def totals(
        self, now: float, read_after_s: float, ends_after_s: float
    ) -> dict[str, EngineTotals]:
        """Returns what the other instances have at each engine now.

        A request of the news is still there with a probability that falls
        exponentially with the age of the news. Those that came since are alike
        at all engines on the mean, and left out.

        Args:
            now: Current time.
            read_after_s: Mean time until a prompt is read.
            ends_after_s: Mean time until a request ends.
        """
        totals: dict[str, EngineTotals] = {}
        for sender, rows in list(self._senders.items()):
            heard, counted_at = False, math.nan
            for name, (requests, tokens, work_s, told_at) in rows.items():
                age_s = max(0.0, now - told_at)
                if age_s > NEWS_MAX_AGE_S:
                    continue
                heard = True
                if told_at != counted_at:
                    # Rows of one message have the same age.
                    counted_at = told_at
                    unread = math.exp(-age_s / read_after_s)
                    running = math.exp(-age_s / ends_after_s)
                total = totals.get(name)
                if total is None:
                    total = totals[name] = EngineTotals()
                total.requests += requests * running
                total.tokens += tokens * unread
                total.work_s += work_s * unread
            if rows and not heard:
                del self._senders[sender]
        return totals
