"""Choice of an engine by the expected first event of a stream.

The work that an engine has left is what this instance sent to it, less what the
engine has been seen to do, and what other instances have told of theirs. How
long it takes depends on the pool's speed and on the slowness of the engine,
both learned from the times of first events and between events.
"""

from collections.abc import Mapping, Sequence

from applespring.core.catalog import ListedUpstream
from applespring.core.choice.slowness import SlownessTable
from applespring.core.engines.answer_lengths import AnswerLengths
from applespring.core.engines.peer_work import (
    ROWS_MAX,
    EngineTotals,
    PeerWork,
)
from applespring.core.engines.pool_speed import PoolSpeed
from applespring.core.engines.stream_cost import SentStream, StreamCost
from applespring.core.latency import PRIOR_SAMPLES, DecayedMean

# Rows of a full message that go to engines in turn; the others go to those with
# the most work.
ROWS_IN_TURN = 3
# Events of a stream are measured together for at least this time, so that a
# measurement costs little beside forwarding them.
GAP_MEASURED_S = 0.1
# A slowness that was observed longer ago is not told.
OBSERVED_MAX_AGE_S = 1.0
# An engine that is slower than this multiple of the others, or reads for longer
# than this what it was sent, is not asked for a cached prefix.
SOURCE_SLOWNESS_MAX = 2.0
SOURCE_UNREAD_MAX_S = 1.0
# Engines whose slowness is held as others have told it, as many as in
# `SlownessTable`; the one that was first told is forgotten.
ENGINES_MAX = 2048
# Half-life of what others have told of an engine's slowness.
HEARD_HALF_LIFE_S = 1.0
# Least time constant of news.
NEWS_TIME_MIN_S = 0.01


class _EngineWork:
    """Streams of this instance at one engine, and their sums.

    Attributes:
        streams: The streams, in the order of sending.
        unread_tokens: Prompt tokens that are still to be read.
        memory_tokens: Memory that they occupy at their end.
        remaining: Number of streams, each weighed by its share to come.
        reading_since: Since when the engine reads the oldest unread prompt.
    """

    __slots__ = (
        "streams",
        "unread_tokens",
        "memory_tokens",
        "remaining",
        "reading_since",
    )

    def __init__(self) -> None:
        self.streams: dict[SentStream, None] = {}
        self.remaining = 0.0
        self.reading_since = 0.0
        self.unread_tokens = 0
        self.memory_tokens = 0

    def left_tokens(self, now: float, token_s: float) -> float:
        """Returns the unread tokens less what was read of the oldest prompt.

        Args:
            now: Current time.
            token_s: Time in which the engine reads a token.
        """
        if not self.unread_tokens:
            return 0.0
        oldest = next(
            (s.unread_tokens for s in self.streams if s.unread_tokens), 0
        )
        read = (now - self.reading_since) / max(token_s, 1e-9)
        return self.unread_tokens - min(oldest, max(0.0, read))


class LearnedEngines:
    """Remaining work and speed of engines.

    Attributes:
        lengths: Learned lengths of answers.
    """

    __slots__ = (
        "lengths",
        "_own",
        "_heard",
        "_observed",
        "_speeds",
        "_engines",
        "_peers",
        "_messages",
    )

    def __init__(self) -> None:
        self.lengths = AnswerLengths()
        # What this instance has observed itself, which it tells others, when
        # it last did so, and what others have told.
        self._own = SlownessTable()
        self._heard: dict[str, DecayedMean] = {}
        self._observed: dict[str, tuple[tuple[str, int], float]] = {}
        self._speeds: dict[str, PoolSpeed] = {}
        self._engines: dict[str, _EngineWork] = {}
        self._peers = PeerWork()
        self._messages = 0

    def speed(self, pool: str) -> PoolSpeed:
        """Returns the speed of a pool's engines, created at first use."""
        speed = self._speeds.get(pool)
        if speed is None:
            speed = self._speeds[pool] = PoolSpeed()
        return speed

    def slowness(self, identity: tuple[str, int], now: float) -> float:
        """Returns the factor by which an engine is slower than its pool.

        The mean of what this instance has observed and others have told lately,
        so that an engine to which nobody sends is tried again soon.

        Args:
            identity: Name and start time of the engine.
            now: Current time.
        """
        own = self._own.slowness(identity, now)
        heard = self._heard.get(identity[0])
        if heard is None:
            return own
        weight = heard.weight(now)
        total = PRIOR_SAMPLES * own + weight * heard.sample_mean()
        return total / (PRIOR_SAMPLES + weight)

    def slowness_range(self, now: float) -> tuple[float, float]:
        """Returns the slowness of the fastest and of the slowest engine.

        Of those that this instance has observed lately; 1 if there are none.
        """
        found = [
            self._own.slowness(identity, now)
            for identity, observed_at in self._observed.values()
            if now - observed_at <= OBSERVED_MAX_AGE_S
        ]
        return min(found, default=1.0), max(found, default=1.0)

    def totals(self, pool: str, now: float) -> dict[str, EngineTotals]:
        """Returns what other instances have at each engine; see `PeerWork`."""
        speed = self.speed(pool)
        return self._peers.totals(
            now,
            max(NEWS_TIME_MIN_S, speed.first_s),
            max(NEWS_TIME_MIN_S, speed.first_s + speed.stream_s),
        )

    def record_peer(
        self,
        sender: str,
        loads: Mapping[str, tuple[int, int, float, float]],
        now: float,
    ) -> None:
        """Records what another instance has at engines; see `PeerWork`."""
        self._peers.record(sender, loads, now)
        for name, load in loads.items():
            if load[3] > 0.0:
                heard = self._heard.setdefault(
                    name, DecayedMean(1.0, HEARD_HALF_LIFE_S)
                )
                heard.add(load[3], now)
        while len(self._heard) > ENGINES_MAX:
            del self._heard[next(iter(self._heard))]

    def list_loads(
        self, now: float, rows_max: int = ROWS_MAX
    ) -> dict[str, tuple[int, int, float, float]]:
        """Returns what this instance tells others of its requests.

        Args:
            now: Current time.
            rows_max: Most engines to return, more than `ROWS_IN_TURN`.

        Returns:
            Requests, unread prompt tokens, seconds of work and observed
            slowness (0 if none) by engine: those with the most work first, the
            others in turn.
        """
        loads = {}
        self._observed = {
            name: observed
            for name, observed in self._observed.items()
            if now - observed[1] <= OBSERVED_MAX_AGE_S
        }
        for name in {**self._engines, **self._observed}:
            work = self._engines.get(name)
            slowness = 0.0
            if name in self._observed:
                slowness = self._own.slowness(self._observed[name][0], now)
            loads[name] = (
                len(work.streams) if work else 0,
                work.unread_tokens if work else 0,
                self._work_s(work, now) if work else 0.0,
                slowness,
            )
        if len(loads) <= rows_max:
            return loads
        most_rows = rows_max - ROWS_IN_TURN
        ranked = sorted(loads, key=lambda name: (-loads[name][2], name))
        others = sorted(ranked[most_rows:])
        self._messages += 1
        first = self._messages * ROWS_IN_TURN
        in_turn = [
            others[(first + offset) % len(others)]
            for offset in range(ROWS_IN_TURN)
        ]
        return {name: loads[name] for name in (*ranked[:most_rows], *in_turn)}

    def _work_s(self, work: _EngineWork, now: float) -> float:
        first = next(iter(work.streams))
        speed = self.speed(first.cost.pool)
        return self.slowness(first.identity, now) * (
            work.unread_tokens * speed.read_s + work.remaining * speed.running_s
        )

    def first_event_s(
        self,
        upstream: ListedUpstream,
        unread: int,
        cost: StreamCost,
        totals: Mapping[str, EngineTotals],
        now: float,
    ) -> float:
        """Returns the expected time to the first event of a stream.

        Args:
            upstream: The engine.
            unread: Prompt tokens that it has not cached.
            cost: Estimated cost of the stream.
            totals: Result of `totals`.
            now: Current time.
        """
        speed = self.speed(cost.pool)
        slowness = self.slowness(upstream.identity, now)
        work = self._engines.get(upstream.name)
        ahead_tokens, running = 0.0, 0.0
        if work is not None:
            ahead_tokens = work.left_tokens(now, slowness * speed.read_s)
            running = work.remaining
        expected_s = slowness * speed.first_event_s(
            ahead_tokens + unread, running
        )
        peers = totals.get(upstream.name)
        requests = len(work.streams) if work else 0
        if peers is not None:
            # The sender may know better how slow the engine is.
            expected_s += max(
                peers.work_s,
                slowness
                * (
                    peers.tokens * speed.read_s
                    + peers.requests * speed.running_s
                ),
            )
            requests += peers.requests
        return expected_s + self._room_s(work, requests, cost, speed, slowness)

    def leave_out_busy(
        self, upstreams: Sequence[ListedUpstream], now: float
    ) -> list[ListedUpstream]:
        """Returns the engines that are neither slow nor have much to read.

        Args:
            upstreams: Engines of one pool.
            now: Current time.
        """
        return [
            u
            for u in upstreams
            if self.slowness(u.identity, now) <= SOURCE_SLOWNESS_MAX
            and self._unread_s(u, now) <= SOURCE_UNREAD_MAX_S
        ]

    def _unread_s(self, upstream: ListedUpstream, now: float) -> float:
        """Returns how long an engine reads what this instance sent to it."""
        work = self._engines.get(upstream.name)
        if work is None:
            return 0.0
        speed = self.speed(upstream.pool)
        token_s = speed.read_s * self.slowness(upstream.identity, now)
        return work.left_tokens(now, token_s) * token_s

    def _room_s(
        self,
        work: _EngineWork | None,
        requests: float,
        cost: StreamCost,
        speed: PoolSpeed,
        slowness: float,
    ) -> float:
        """Returns the time lost if an engine's slots or memory are used up.

        What does not fit waits until as much has ended. What is preempted for
        it is read again.
        """
        stream_s = speed.stream_s * slowness
        lost_s = 0.0
        if cost.slots and requests + 1 > cost.slots:
            lost_s = stream_s * (requests + 1 - cost.slots) / cost.slots
        if cost.cache_tokens:
            # Other instances do not tell the memory of their requests.
            own = len(work.streams) if work else 0
            own_tokens = work.memory_tokens if work else 0
            mean_tokens = own_tokens / own if own else cost.memory_tokens
            used = own_tokens + (requests - own) * mean_tokens
            excess = used + cost.memory_tokens - cost.cache_tokens
            if excess > 0.0:
                waits_s = stream_s * min(1.0, excess / cost.cache_tokens)
                preempted_s = min(excess, cost.cache_tokens) * speed.read_s
                lost_s = max(lost_s, waits_s) + preempted_s * slowness
        return lost_s

    def start(
        self,
        upstream: ListedUpstream,
        unread: int,
        cost: StreamCost,
        now: float,
    ) -> SentStream:
        """Records that a stream was sent to an engine.

        Args:
            upstream: The engine.
            unread: Prompt tokens that the engine has to read.
            cost: Estimated cost of the stream.
            now: Current time.
        """
        work = self._engines.get(upstream.name)
        if work is None:
            work = self._engines[upstream.name] = _EngineWork()
        peers = self.totals(cost.pool, now).get(upstream.name, EngineTotals())
        speed = self.speed(cost.pool)
        token_s = speed.read_s * self.slowness(upstream.identity, now)
        stream = SentStream(
            upstream.name,
            upstream.identity,
            cost,
            unread,
            now,
            work.left_tokens(now, token_s) + peers.tokens + unread,
            work.remaining + peers.requests,
        )
        if not work.unread_tokens:
            work.reading_since = now
        work.streams[stream] = None
        work.unread_tokens += unread
        work.memory_tokens += cost.memory_tokens
        work.remaining += stream.remaining_share
        if speed.is_measured:
            stream.outstanding = self._own.start(
                upstream.identity,
                speed.first_event_s(stream.ahead_tokens, stream.running),
                now,
            )
        return stream

    def record_events(self, stream: SentStream, count: int, now: float) -> None:
        """Records that an engine sent events of a stream.

        Args:
            stream: The stream.
            count: Number of complete events.
            now: Current time.
        """
        speed = self.speed(stream.cost.pool)
        work = self._engines.get(stream.engine)
        share = stream.remaining_share
        stream.events += count
        if work is not None:
            work.remaining += stream.remaining_share - share
        if stream.first_event_at < 0.0:
            stream.first_event_at = now
            self._discard_unread(stream, now)
            speed.record_first_event(
                stream.ahead_tokens,
                stream.running,
                (now - stream.sent_at) / self.slowness(stream.identity, now),
            )
            if stream.outstanding is not None:
                self._own.finish(stream.outstanding, now)
                stream.outstanding = None
                self._observed[stream.engine] = (stream.identity, now)
            stream.gap_from, stream.gap_events = now, 0
            return
        if stream.gap_from < 0.0:
            stream.gap_from, stream.gap_events = now, 0
            return
        stream.gap_events += count
        took_s = now - stream.gap_from
        if took_s < GAP_MEASURED_S:
            return
        running = len(work.streams) if work else 1
        event_s = took_s / stream.gap_events
        if speed.is_gap_measured:
            expected_s = speed.event_s(running)
            self._own.record(stream.identity, expected_s, event_s, now)
            self._observed[stream.engine] = (stream.identity, now)
        speed.record_events(
            running, event_s / self.slowness(stream.identity, now)
        )
        stream.gap_from, stream.gap_events = now, 0

    def forget(self, name: str) -> None:
        """Forgets an engine that has ended; its streams end by themselves."""
        self._observed.pop(name, None)
        self._heard.pop(name, None)

    def skip_gap(self, stream: SentStream) -> None:
        """Leaves out the current events, which the caller has held up."""
        stream.gap_from = -1.0

    def end(self, stream: SentStream, now: float, *, complete: bool) -> None:
        """Records that a stream has ended; further calls do nothing.

        Args:
            stream: The stream.
            now: Current time.
            complete: Whether all its events arrived.
        """
        work = self._engines.get(stream.engine)
        if work is None or stream not in work.streams:
            return
        self._discard_unread(stream, now)
        del work.streams[stream]
        work.memory_tokens -= stream.cost.memory_tokens
        work.remaining -= stream.remaining_share
        if not work.streams:
            del self._engines[stream.engine]
        if stream.outstanding is not None:
            self._own.discard(stream.outstanding)
            stream.outstanding = None
        if complete and stream.events:
            cost = stream.cost
            self.lengths.record(
                cost.route, cost.tokens_max, cost.tokens_hint, stream.events
            )
            self.speed(cost.pool).record_end(now - stream.first_event_at)

    def _discard_unread(self, stream: SentStream, now: float) -> None:
        work = self._engines.get(stream.engine)
        if work is not None and stream.unread_tokens:
            work.unread_tokens -= stream.unread_tokens
            work.reading_since = now
        stream.unread_tokens = 0
