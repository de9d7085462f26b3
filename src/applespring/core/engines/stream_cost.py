"""What a stream costs its engine, as estimated before it is sent."""

from applespring.core.engines.answer_lengths import AnswerLength


class StreamCost:
    """Estimated cost of one stream.

    What the engine has to read depends on what it has cached, see
    `EngineSelector.unread_prompt_tokens`.

    Attributes:
        pool: Name of the pool.
        route: Name of the route.
        tokens_max: Largest number of output tokens, or 0 if not named.
        tokens_hint: The caller's estimate of it, or 0 if it gave none.
        answer: Estimated length of the answer, in events.
        memory_tokens: Tokens that its prompt and answer occupy at the end.
        cache_tokens: Tokens that fit into an engine's memory, or 0 if unknown.
        slots: Requests that an engine runs at once, or 0 if unknown.
    """

    __slots__ = (
        "pool",
        "route",
        "tokens_max",
        "tokens_hint",
        "answer",
        "memory_tokens",
        "cache_tokens",
        "slots",
    )

    def __init__(
        self,
        pool: str,
        route: str,
        *,
        tokens_in: int,
        tokens_max: int,
        tokens_hint: int,
        answer: AnswerLength,
        cache_tokens: int = 0,
        slots: int = 0,
    ) -> None:
        self.pool = pool
        self.route = route
        self.tokens_max = tokens_max
        self.tokens_hint = tokens_hint
        self.answer = answer
        self.memory_tokens = tokens_in + tokens_max
        self.cache_tokens = cache_tokens
        self.slots = slots


class SentStream:
    """A stream that this instance has sent to an engine.

    Attributes:
        engine: Name of the engine.
        identity: Name and start time of the engine.
        cost: Its estimated cost.
        unread_tokens: Prompt tokens that the engine has not read yet.
        sent_at: When it was sent.
        ahead_tokens: Prompt tokens that the engine was to read before its
            first event, its own included.
        running: Other requests that the engine had.
        first_event_at: When its first event arrived, or -1.
        events: Number of events so far.
    """

    __slots__ = (
        "engine",
        "identity",
        "cost",
        "unread_tokens",
        "sent_at",
        "ahead_tokens",
        "running",
        "first_event_at",
        "events",
        "outstanding",
        "gap_from",
        "gap_events",
    )

    def __init__(
        self,
        engine: str,
        identity: tuple[str, int],
        cost: StreamCost,
        unread_tokens: int,
        sent_at: float,
        ahead_tokens: float,
        running: float,
    ) -> None:
        self.engine = engine
        self.identity = identity
        self.cost = cost
        self.unread_tokens = unread_tokens
        self.sent_at = sent_at
        self.ahead_tokens = ahead_tokens
        self.running = running
        self.first_event_at = -1.0
        self.events = 0
        # Measurement of its first event, while that is to come.
        self.outstanding = None
        # Start of the events that are measured next, and their number.
        self.gap_from = -1.0
        self.gap_events = 0

    @property
    def remaining_share(self) -> float:
        """Share of its events that are still to come, 1 if not known."""
        expected = self.cost.answer.events
        if expected <= 0.0:
            return 1.0
        return max(0.0, 1.0 - self.events / expected)
