"""What one stream at an engine shows of the engine's load and speed."""

from applespring.core.catalog import ListedUpstream
from applespring.core.engine_selector import EngineSelector
from applespring.core.engines.stream_cost import StreamCost
from applespring.core.first_event import FirstEventEstimate

# A caller that takes longer than this to receive events holds up the next ones,
# so that the time until they arrive does not show the engine's speed.
HELD_UP_S = 0.01


class EngineAttempt:
    """One stream at an engine, from sending to its end.

    Attributes:
        expected_s: Expected time to the first event, or -1 if not estimated.
        first_event_s: Time to the first event, or -1.
    """

    __slots__ = (
        "expected_s",
        "first_event_s",
        "_engines",
        "_estimate",
        "_engine",
        "_unread_tokens",
        "_sent_at",
        "_route",
        "_measured",
        "_stream",
        "_events_at",
    )

    def __init__(
        self,
        engines: EngineSelector,
        estimate: FirstEventEstimate,
        upstream: ListedUpstream,
        unread_tokens: int,
        cost: StreamCost | None,
        now: float,
        fetched_tokens: int = 0,
        route: str = "",
    ) -> None:
        """Records that the stream is sent.

        Args:
            engines: Load of the engines, which has the request already.
            estimate: Time to the first event in the engine's pool.
            upstream: The engine.
            unread_tokens: Prompt tokens that the engine has to read.
            cost: Estimated cost of the stream, or None if costs are not
                learned.
            now: Current time.
            fetched_tokens: Those of them that it gets from another engine.
                What was cached there may be less, so they count as unread in
                the engine's load.
            route: Route of the request.
        """
        self.expected_s = -1.0
        self.first_event_s = -1.0
        self._engines = engines
        self._estimate = estimate
        self._engine = upstream.name
        self._unread_tokens = unread_tokens
        self._sent_at = now
        self._route = route
        self._measured = False
        self._stream = None
        self._events_at = now
        if engines.learned is not None and cost is not None:
            read_tokens = unread_tokens - fetched_tokens
            totals = engines.learned.totals(cost.pool, now)
            self.expected_s = engines.learned.first_event_s(
                upstream, read_tokens, cost, totals, now
            )
            self._stream = engines.learned.start(
                upstream, read_tokens, cost, now
            )

    def record_first_event(self, now: float) -> None:
        """Measures the time to the first event; further calls do nothing."""
        if not self._measured:
            self._measured = True
            self.first_event_s = now - self._sent_at
            self._estimate.record(
                self._unread_tokens, self.first_event_s, self._route
            )

    def record_events(self, count: int, now: float) -> None:
        """Records that complete events arrived.

        Args:
            count: Number of the events.
            now: Current time.
        """
        self.record_first_event(now)
        if self._unread_tokens:
            self._engines.record_prompt_read(
                self._engine, self._unread_tokens, now
            )
            self._unread_tokens = 0
        self._engines.record_progress(self._engine, now)
        self._events_at = now
        if self._stream is not None:
            self._engines.learned.record_events(self._stream, count, now)

    def record_sent_on(self, now: float) -> None:
        """Records that the caller has received the events."""
        if self._stream is not None and now - self._events_at > HELD_UP_S:
            self._engines.learned.skip_gap(self._stream)

    def end(
        self, now: float, *, failed: bool, answered: bool, complete: bool
    ) -> None:
        """Records the end of the stream.

        Args:
            now: Current time.
            failed: See `EngineSelector.end_request`.
            answered: See `EngineSelector.end_request`.
            complete: Whether this engine sent all events of the answer.
        """
        self._engines.discard_unread_prompt(
            self._engine, self._unread_tokens, now
        )
        self._unread_tokens = 0
        self._engines.end_request(
            self._engine, now, failed=failed, answered=answered
        )
        if self._stream is not None:
            self._engines.learned.end(self._stream, now, complete=complete)
