"""The queue of one stage pool: which pieces share the next call, and where.

A call has a fixed cost that its pieces share, each upstream works on one call
at a time, and results take up memory at their maker until they are released.
The queue therefore fills calls as soon as an upstream is idle, never sends a
piece whose result has no room, and orders pieces by what can still be met.
"""

import itertools
import math
from collections.abc import Container, Iterable, Sequence

from applespring.core.catalog import ListedUpstream
from applespring.core.route import BatchSpec

# Results above this size are worth keeping in their failure domain.
LARGE_RESULT_BYTES = 500_000
# Time for which a large piece waits for an upstream in its own failure
# domain before another one may take it; about one call of a stage pool.
DOMAIN_WAIT_S = 0.25
# The same for a piece with small results, which moves fewer bytes.
SMALL_DOMAIN_WAIT_S = 0.03
# Most attempts of a piece after failures of its upstream.
PIECE_ATTEMPTS_MAX = 4
# Pause of an upstream that refused a call or failed it.
REFUSED_PAUSE_S = 0.1
FAILED_PAUSE_S = 0.5
FAILED_PAUSE_MAX_S = 4.0
# Pause after an upstream reported that it has no room for results.
ROOM_PAUSE_S = 0.05
# How long a report of foreign results holds. Reports lag some hundred ms, so
# part of what they show is free already; a further refusal asks again.
FOREIGN_S = 0.5
# Weight of the newest call in the estimate of an upstream's speed.
SPEED_WEIGHT = 0.3
# Share of a request's remaining time that waiting may take.
WAIT_SHARE = 0.65
# Part of a full call that an arriving piece waits for an upstream to come idle.
RESIDUAL_SHARE = 0.5
# Window of the estimate of arrivals.
ARRIVAL_WINDOW_S = 2.0
# Least share of the capacity that is taken to be left for late pieces.
LATE_SHARE_MIN = 0.4


# The class of a piece, and its place in the class; the least goes first.
_Urgency = tuple[tuple[int, int], tuple[float, float]]


class Piece:
    """One piece of a stage of a request.

    Attributes:
        request: Id of the request.
        stage: Index of the stage.
        segment: Number of the piece in its stage.
        key: What it is made from, for a stage without inputs.
        inputs: Handles of results that it takes.
        origin: What the submitter needs to deliver the result.
        failure_domain: Where its result should be, or "".
        priority: Rank of the request, 0 first.
        aim_at: Time by which it should be done for an answer on time.
        deadline_at: Time by which it must be done.
        result_bytes: Approximate size of its result.
        begun: Whether work has been spent on its request.
        opened: Whether another piece of its stage has been called, so that
            results of the stage take up room until all are made.
        arrived_at: When it was offered.
        attempts: Calls that it was part of.
    """

    __slots__ = (
        "request",
        "stage",
        "segment",
        "key",
        "inputs",
        "origin",
        "failure_domain",
        "priority",
        "aim_at",
        "deadline_at",
        "result_bytes",
        "begun",
        "opened",
        "arrived_at",
        "attempts",
    )

    def __init__(
        self,
        *,
        request: str,
        stage: int,
        segment: int,
        key: str = "",
        inputs: Sequence[str] = (),
        origin: object = None,
        failure_domain: str = "",
        priority: int = 0,
        aim_at: float = math.inf,
        deadline_at: float = math.inf,
        result_bytes: float = 0.0,
        begun: bool = False,
        arrived_at: float = 0.0,
    ) -> None:
        self.request = request
        self.stage = stage
        self.segment = segment
        self.key = key
        self.inputs = tuple(inputs)
        self.origin = origin
        self.failure_domain = failure_domain
        self.priority = priority
        self.aim_at = aim_at
        self.deadline_at = deadline_at
        self.result_bytes = result_bytes
        self.begun = begun
        self.opened = False
        self.arrived_at = arrived_at
        self.attempts = 0

    @property
    def large(self) -> bool:
        """Whether its result should stay in its failure domain."""
        return self.result_bytes >= LARGE_RESULT_BYTES


class Call:
    """One call to an upstream.

    Attributes:
        number: Number of the call in its queue.
        upstream: The upstream that is called.
        pieces: Its pieces, in order.
        began_at: When it was handed out.
        expected_s: How long it should take.
    """

    __slots__ = ("number", "upstream", "pieces", "began_at", "expected_s")

    def __init__(
        self,
        number: int,
        upstream: ListedUpstream,
        pieces: Sequence[Piece],
        began_at: float,
        expected_s: float,
    ) -> None:
        self.number = number
        self.upstream = upstream
        self.pieces = tuple(pieces)
        self.began_at = began_at
        self.expected_s = expected_s


class _Lane:
    """What the queue knows of one upstream."""

    __slots__ = (
        "upstream",
        "calls",
        "paused_until",
        "pause_s",
        "pace",
        "results",
        "booked",
        "foreign",
    )

    def __init__(self, upstream: ListedUpstream) -> None:
        self.upstream = upstream
        self.calls: dict[int, Call] = {}
        self.paused_until = -math.inf
        self.pause_s = 0.0
        self.pace = 1.0
        self.results: dict[str, tuple[float, float]] = {}
        self.booked = 0.0
        # Bytes of results that this queue did not order, and until when.
        self.foreign = (0.0, -math.inf)

    def used_bytes(self, now: float) -> float:
        """Returns the memory taken by results and by calls in progress."""
        for handle, (_, until) in list(self.results.items()):
            if until <= now:
                del self.results[handle]
        size, until = self.foreign
        foreign = size if now < until else 0.0
        own = sum(size for size, _ in self.results.values())
        return self.booked + own + foreign


class BatchQueue:
    """Pieces that wait for the upstreams of one pool.

    Attributes:
        spec: How an upstream of the pool works.
    """

    __slots__ = (
        "spec",
        "_pieces",
        "_lanes",
        "_numbers",
        "_arrivals",
        "_abandoned",
    )

    def __init__(self, spec: BatchSpec) -> None:
        self.spec = spec
        self._pieces: list[Piece] = []
        self._lanes: dict[str, _Lane] = {}
        self._numbers = itertools.count(1)
        self._arrivals: list[float] = []
        self._abandoned: set[str] = set()

    def __len__(self) -> int:
        return len(self._pieces)

    def set_upstreams(self, upstreams: Iterable[ListedUpstream]) -> None:
        """Takes the upstreams that may be called from now on."""
        listed = {u.name: u for u in upstreams}
        for name, upstream in listed.items():
            lane = self._lanes.get(name)
            if lane is None or lane.upstream.identity != upstream.identity:
                self._lanes[name] = _Lane(upstream)
        for name in list(self._lanes):
            if name not in listed:
                del self._lanes[name]

    def in_progress(self) -> int:
        """Returns the number of calls in progress."""
        return sum(len(lane.calls) for lane in self._lanes.values())

    def offer(self, pieces: Iterable[Piece], now: float) -> None:
        """Adds pieces to the queue."""
        for piece in pieces:
            self._pieces.append(piece)
            self._arrivals.append(now)

    def withdraw(self, request: str) -> None:
        """Removes the waiting pieces of a request.

        Results of its calls in progress are released when they end.
        """
        self._pieces = [p for p in self._pieces if p.request != request]
        for lane in self._lanes.values():
            for call in lane.calls.values():
                if any(p.request == request for p in call.pieces):
                    self._abandoned.add(request)

    def release(self, handles: Iterable[str]) -> None:
        """Frees the room of results."""
        for handle in handles:
            for lane in self._lanes.values():
                lane.results.pop(handle, None)

    def take_overdue(self, now: float) -> list[Piece]:
        """Removes and returns the pieces that cannot be done in time."""
        least = self.spec.call_s + self.spec.piece_s
        late = [p for p in self._pieces if p.deadline_at < now + least]
        if late:
            gone = set(map(id, late))
            self._pieces = [p for p in self._pieces if id(p) not in gone]
        return late

    def take_all(self) -> list[Piece]:
        """Removes and returns every waiting piece."""
        pieces, self._pieces = self._pieces, []
        return pieces

    def next_calls(self, now: float) -> list[Call]:
        """Returns the calls to make now."""
        calls: list[Call] = []
        lanes = [
            lane
            for lane in self._lanes.values()
            if len(lane.calls) < self.spec.slots and lane.paused_until <= now
        ]
        if not lanes:
            return calls
        ranked = [(self._urgency(p, now), p) for p in self._pieces]
        ranked.sort(key=lambda pair: pair[0])
        # The fastest idle upstream gets the most urgent pieces.
        lanes.sort(key=lambda lane: (lane.pace, lane.upstream.name))
        idle = [lane.upstream.failure_domain for lane in lanes]
        for lane in lanes:
            if not self._pieces:
                break
            # Pieces for the domain of another idle upstream are left to it.
            idle.remove(lane.upstream.failure_domain)
            call = self._fill(lane, ranked, now, set(idle))
            if call is not None:
                calls.append(call)
                gone = set(map(id, call.pieces))
                ranked = [pair for pair in ranked if id(pair[1]) not in gone]
        return calls

    def _urgency(self, piece: Piece, now: float) -> _Urgency:
        """Returns the class of a piece and its place in the class."""
        if piece.opened or self._can_be_on_time(piece, now):
            tier = 0 if piece.opened or piece.begun else 1
            return (tier, piece.priority), (piece.aim_at, piece.arrived_at)
        # Late requests are served as capacity is left, begun ones first since
        # their results expire.
        tier = 2 if piece.begun else 3
        return (tier, 0), (piece.deadline_at, piece.arrived_at)

    def _fill(
        self,
        lane: _Lane,
        ranked: Sequence[tuple[_Urgency, Piece]],
        now: float,
        idle: Container[str],
    ) -> Call | None:
        """Takes the pieces of the next call of an idle upstream.

        Among equally urgent pieces those for its own failure domain go first:
        what others would move between domains takes time and links.
        """
        room = self.spec.room_bytes - lane.used_bytes(now)
        domain = lane.upstream.failure_domain
        domains = {
            other.upstream.failure_domain
            for other in self._lanes.values()
            if other.paused_until <= now
        }
        taken: list[Piece] = []
        spare = self._spare_bytes(now)
        for _, piece in sorted(
            ranked,
            key=lambda pair: (
                pair[0][0],
                pair[1].failure_domain not in ("", domain),
            ),
        ):
            if len(taken) >= self.spec.batch:
                break
            if piece.result_bytes > room:
                continue
            if not piece.opened and piece.result_bytes:
                needed = self._queued_bytes(piece)
                if needed > spare and not self._is_empty(now):
                    continue
            wanted = piece.failure_domain
            if wanted != domain and wanted in domains:
                wait_s = DOMAIN_WAIT_S if piece.large else SMALL_DOMAIN_WAIT_S
                if wanted in idle or now < piece.arrived_at + wait_s:
                    continue
            if not piece.opened:
                spare -= self._queued_bytes(piece)
                self._open(piece)
            taken.append(piece)
            room -= piece.result_bytes
        if not taken:
            return None
        chosen = set(map(id, taken))
        self._pieces = [p for p in self._pieces if id(p) not in chosen]
        for piece in taken:
            piece.attempts += 1
            lane.booked += piece.result_bytes
        expected = lane.pace * self._nominal_s(len(taken))
        call = Call(next(self._numbers), lane.upstream, taken, now, expected)
        lane.calls[call.number] = call
        return call

    def _spare_bytes(self, now: float) -> float:
        """Returns the room that stages not opened may take.

        The results of a stage are of use only together. A stage is opened
        only if all of them fit beside what opened ones still need, so that
        opened stages never wait for each other's room.
        """
        free = sum(
            self.spec.room_bytes - lane.used_bytes(now)
            for lane in self._lanes.values()
        )
        return free - sum(p.result_bytes for p in self._pieces if p.opened)

    def _siblings(self, piece: Piece) -> list[Piece]:
        """Returns the queued pieces of the same stage of the same request."""
        return [
            p
            for p in self._pieces
            if p.request == piece.request and p.stage == piece.stage
        ]

    def _queued_bytes(self, piece: Piece) -> float:
        return sum(p.result_bytes for p in self._siblings(piece))

    def _open(self, piece: Piece) -> None:
        for sibling in self._siblings(piece):
            sibling.opened = True
            sibling.begun = True

    def _is_empty(self, now: float) -> bool:
        """Returns whether no room is taken, so that waiting cannot help."""
        return not any(
            lane.used_bytes(now) for lane in self._lanes.values()
        ) and not any(p.opened for p in self._pieces)

    def _nominal_s(self, pieces: int) -> float:
        return self.spec.call_s + pieces * self.spec.piece_s

    def _end(self, call: Call) -> _Lane | None:
        """Ends a call; returns its lane if the upstream is still listed."""
        lane = self._lanes.get(call.upstream.name)
        if lane is None or lane.calls.pop(call.number, None) is None:
            return None
        lane.booked -= sum(p.result_bytes for p in call.pieces)
        return lane

    def succeed(
        self, call: Call, handles: Sequence[str], now: float
    ) -> list[str]:
        """Ends a call that was answered.

        Args:
            call: The call.
            handles: A handle for each piece, "" where none was made.
            now: Current time.

        Returns:
            Handles of results that nobody needs any more.
        """
        lane = self._end(call)
        unneeded = []
        until = now + self.spec.result_ttl_s
        for piece, handle in zip(call.pieces, handles, strict=True):
            if not handle:
                continue
            if piece.request in self._abandoned:
                unneeded.append(handle)
            elif lane is not None:
                lane.results[handle] = (piece.result_bytes, until)
        if lane is not None:
            lane.pause_s = 0.0
            ratio = (now - call.began_at) / self._nominal_s(len(call.pieces))
            lane.pace += SPEED_WEIGHT * (ratio - lane.pace)
        self._forget_abandoned()
        return unneeded

    def fail(
        self,
        call: Call,
        now: float,
        *,
        refused: bool = False,
        repeat: bool = True,
    ) -> list[Piece]:
        """Ends a call that was not answered; its pieces wait again.

        Args:
            call: The call.
            now: Current time.
            refused: Whether the upstream did not run it.
            repeat: Whether its pieces may be sent again.

        Returns:
            The pieces that have had their last attempt.
        """
        lane = self._end(call)
        if lane is not None:
            if refused:
                pause = REFUSED_PAUSE_S
            else:
                lane.pause_s = min(
                    FAILED_PAUSE_MAX_S, max(FAILED_PAUSE_S, 2 * lane.pause_s)
                )
                pause = lane.pause_s
            lane.paused_until = now + pause
        spent = []
        for piece in call.pieces:
            if piece.request in self._abandoned:
                continue
            if refused:
                piece.attempts -= 1
            if not repeat or piece.attempts >= PIECE_ATTEMPTS_MAX:
                spent.append(piece)
            else:
                self._pieces.append(piece)
        self._forget_abandoned()
        return spent

    def put_back(self, piece: Piece, call: Call, now: float) -> bool:
        """Queues a piece again that its upstream had no room for.

        Returns:
            Whether the piece may be tried again.
        """
        lane = self._lanes.get(call.upstream.name)
        if lane is not None:
            lane.paused_until = max(lane.paused_until, now + ROOM_PAUSE_S)
        piece.opened = False
        if piece.attempts >= PIECE_ATTEMPTS_MAX:
            return False
        self._pieces.append(piece)
        return True

    def set_free_bytes(self, name: str, free: float, now: float) -> None:
        """Takes the room that an upstream reports to be free.

        What is taken beyond the queue's own results belongs to a keeper before
        this one, or to calls that were given up; it expires like any result.
        """
        lane = self._lanes.get(name)
        if lane is None:
            return
        lane.foreign = (0.0, -math.inf)
        used = self.spec.room_bytes - free
        foreign = max(0.0, used - lane.used_bytes(now))
        lane.foreign = (foreign, now + FOREIGN_S)

    def _forget_abandoned(self) -> None:
        if self._abandoned:
            self._abandoned &= {
                piece.request
                for lane in self._lanes.values()
                for call in lane.calls.values()
                for piece in call.pieces
            }

    def next_wake(self, now: float) -> float:
        """Returns when the queue should be looked at again."""
        if not self._pieces:
            return math.inf
        times = [
            lane.paused_until
            for lane in self._lanes.values()
            if lane.paused_until > now
        ]
        for piece in self._pieces:
            if piece.failure_domain:
                times += [
                    piece.arrived_at + wait_s
                    for wait_s in (DOMAIN_WAIT_S, SMALL_DOMAIN_WAIT_S)
                    if piece.arrived_at + wait_s > now
                ]
        return min(times, default=math.inf)

    def capacity(self, now: float) -> float:
        """Returns the pieces a second that full calls would get done."""
        full_s = self._nominal_s(self.spec.batch)
        return sum(
            self.spec.slots * self.spec.batch / (full_s * max(lane.pace, 0.1))
            for lane in self._lanes.values()
            if lane.paused_until <= now + FAILED_PAUSE_S
        )

    def wait_s(self, now: float, *, on_time: bool = False) -> float:
        """Returns how long a new piece waits until its call begins.

        Args:
            now: Current time.
            on_time: Count only the pieces that can be on time, which go before
                late ones. Otherwise the piece waits behind all that is queued
                and behind later pieces that can be on time.
        """
        capacity = self.capacity(now)
        if capacity <= 0.0:
            return math.inf
        free = any(
            not lane.calls and lane.paused_until <= now
            for lane in self._lanes.values()
        )
        residual = 0.0 if free else RESIDUAL_SHARE * self.full_call_s
        if on_time:
            ahead = sum(1 for p in self._pieces if self._can_be_on_time(p, now))
            return residual + ahead / capacity
        self._arrivals = [
            at for at in self._arrivals if at > now - ARRIVAL_WINDOW_S
        ]
        rate = len(self._arrivals) / ARRIVAL_WINDOW_S
        left = max(LATE_SHARE_MIN * capacity, capacity - rate)
        ahead = len(self._pieces)
        return residual + ahead / (
            capacity if ahead <= self.spec.batch else left
        )

    @property
    def full_call_s(self) -> float:
        """Time of a full call at the configured speed."""
        return self._nominal_s(self.spec.batch)

    def _can_be_on_time(self, piece: Piece, now: float) -> bool:
        return now + self.spec.call_s <= piece.aim_at

    def admits(self, remaining_s: float, now: float) -> bool:
        """Returns whether a request with this time left should be begun."""
        return self.wait_s(now) <= WAIT_SHARE * remaining_s
