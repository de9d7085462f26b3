"""The queue of one stage pool: which pieces share the next call, and where.

A call has a fixed cost that its pieces share, each upstream works on one call
at a time, and results take up memory at their maker until they are released.
The queue therefore fills calls as soon as an upstream is idle, never sends a
piece whose result has no room, and orders pieces by what can still be met.
"""

import itertools
import math
from collections.abc import Container, Iterable, Iterator, Mapping, Sequence

from applespring.core.catalog import ListedUpstream
from applespring.core.piece import Call, Piece
from applespring.core.route import BatchSpec
from applespring.core.stage_upstream import FAILED_PAUSE_S, StageUpstream

# Time for which a large piece waits for an upstream in its own failure
# domain before another one may take it; about one call of a stage pool.
LARGE_RESULT_DOMAIN_WAIT_S = 0.25
# The same for a piece with small results, which moves fewer bytes.
SMALL_RESULT_DOMAIN_WAIT_S = 0.03
# Most attempts of a piece after failures of its upstream.
PIECE_ATTEMPTS_MAX = 4
# Share of a request's remaining time that waiting may take.
ADMISSION_WAIT_SHARE = 0.65
# Part of a full call that an arriving piece waits for an upstream to come idle.
RESIDUAL_SHARE = 0.5
# Window of the estimate of arrivals.
ARRIVAL_WINDOW_S = 2.0
# Least share of the capacity that is taken to be left for late pieces.
LATE_CAPACITY_SHARE_MIN = 0.4
# The class of a piece, and its place in the class; the least goes first.
_Urgency = tuple[tuple[int, int], tuple[float, float]]
# A stage of a request, by the request's id and the stage's index.
_StageId = tuple[str, int]


class BatchQueue:
    """Pieces that wait for the upstreams of one pool.

    Attributes:
        spec: How an upstream of the pool works.
    """

    __slots__ = (
        "spec",
        "_pieces",
        "_upstreams",
        "_call_numbers",
        "_arrival_times",
        "_abandoned_requests",
    )

    def __init__(self, spec: BatchSpec) -> None:
        self.spec = spec
        self._pieces: list[Piece] = []
        self._upstreams: dict[str, StageUpstream] = {}
        self._call_numbers = itertools.count(1)
        self._arrival_times: list[float] = []
        self._abandoned_requests: set[str] = set()

    def __len__(self) -> int:
        return len(self._pieces)

    def set_upstreams(self, upstreams: Iterable[ListedUpstream]) -> None:
        """Takes the upstreams that may be called from now on."""
        listed = {u.name: u for u in upstreams}
        for name, upstream in listed.items():
            stage_upstream = self._upstreams.get(name)
            if (
                stage_upstream is None
                or stage_upstream.upstream.identity != upstream.identity
            ):
                self._upstreams[name] = StageUpstream(upstream)
        for name in list(self._upstreams):
            if name not in listed:
                del self._upstreams[name]

    def calls_in_progress(self) -> int:
        """Returns the number of calls in progress."""
        return sum(
            len(stage_upstream.calls)
            for stage_upstream in self._upstreams.values()
        )

    def offer(self, pieces: Iterable[Piece], now: float) -> None:
        """Adds pieces to the queue."""
        for piece in pieces:
            self._pieces.append(piece)
            self._arrival_times.append(now)

    def withdraw(self, request: str) -> None:
        """Removes the waiting pieces of a request.

        Results of its calls in progress are released when they end.
        """
        self._pieces = [p for p in self._pieces if p.request != request]
        for stage_upstream in self._upstreams.values():
            for call in stage_upstream.calls.values():
                if any(p.request == request for p in call.pieces):
                    self._abandoned_requests.add(request)

    def release(self, handles: Iterable[str]) -> None:
        """Frees the room of results."""
        released = list(handles)
        for stage_upstream in self._upstreams.values():
            stage_upstream.release(released)

    def take_overdue(self, now: float) -> list[Piece]:
        """Removes and returns the pieces that cannot be done in time."""
        min_call_s = self.spec.call_s + self.spec.piece_s
        overdue = [p for p in self._pieces if p.deadline_at < now + min_call_s]
        if overdue:
            taken_ids = set(map(id, overdue))
            self._pieces = [p for p in self._pieces if id(p) not in taken_ids]
        return overdue

    def take_all(self) -> list[Piece]:
        """Removes and returns every waiting piece."""
        pieces, self._pieces = self._pieces, []
        return pieces

    def next_calls(self, now: float) -> list[Call]:
        """Returns the calls to make now."""
        calls: list[Call] = []
        available = [
            stage_upstream
            for stage_upstream in self._upstreams.values()
            if len(stage_upstream.calls) < self.spec.slots
            and stage_upstream.pause.until <= now
        ]
        if not available:
            return calls
        ranked = [(self._urgency(p, now), p) for p in self._pieces]
        ranked.sort(key=lambda pair: pair[0])
        stages: dict[_StageId, list[Piece]] = {}
        for piece in self._pieces:
            stages.setdefault((piece.request, piece.stage), []).append(piece)
        # The fastest idle upstream gets the most urgent pieces.
        available.sort(
            key=lambda stage_upstream: (
                stage_upstream.slowdown,
                stage_upstream.upstream.name,
            )
        )
        idle_domains = [
            stage_upstream.failure_domain for stage_upstream in available
        ]
        for stage_upstream in available:
            if not self._pieces:
                break
            # Pieces for the domain of another idle upstream are left to it.
            idle_domains.remove(stage_upstream.failure_domain)
            call = self._fill_call(
                stage_upstream, ranked, stages, now, set(idle_domains)
            )
            if call is not None:
                calls.append(call)
                taken_ids = set(map(id, call.pieces))
                ranked = [
                    pair for pair in ranked if id(pair[1]) not in taken_ids
                ]
        return calls

    def _urgency(self, piece: Piece, now: float) -> _Urgency:
        """Returns the class of a piece and its place in the class."""
        if piece.opened or self._can_be_on_time(piece, now):
            tier = 0 if piece.opened or piece.started else 1
            return (tier, piece.priority), (piece.target_at, piece.arrived_at)
        # Late requests are served as capacity is left, begun ones first since
        # their results expire.
        tier = 2 if piece.started else 3
        return (tier, piece.priority), (piece.deadline_at, piece.arrived_at)

    def _fill_call(
        self,
        stage_upstream: StageUpstream,
        ranked: Sequence[tuple[_Urgency, Piece]],
        stages: Mapping[_StageId, Sequence[Piece]],
        now: float,
        idle_domains: Container[str],
    ) -> Call | None:
        """Takes the pieces of the next call of an idle upstream.

        Among equally urgent pieces those for its own failure domain go first:
        what others would move between domains takes time and links.

        Args:
            stage_upstream: The upstream.
            ranked: The queued pieces, most urgent first.
            stages: The queued pieces by stage.
            now: Current time.
            idle_domains: Failure domains of the upstreams asked after it.
        """
        free_bytes = self.spec.result_memory_bytes - stage_upstream.used_bytes(
            now
        )
        domain = stage_upstream.failure_domain
        callable_domains = {
            other.failure_domain
            for other in self._upstreams.values()
            if other.pause.until <= now
        }
        taken: list[Piece] = []
        unreserved = self._unreserved_bytes(now)
        for piece in _order_for_domain(domain, ranked):
            if len(taken) >= self.spec.batch:
                break
            if piece.result_bytes > free_bytes:
                continue
            siblings = stages[piece.request, piece.stage]
            needed = 0.0 if piece.opened else _sum_result_bytes(siblings)
            if needed > max(0.0, unreserved) and not self._is_unused(now):
                continue
            preferred = piece.failure_domain
            if preferred != domain and preferred in callable_domains:
                wait_s = (
                    LARGE_RESULT_DOMAIN_WAIT_S
                    if piece.large
                    else SMALL_RESULT_DOMAIN_WAIT_S
                )
                if preferred in idle_domains or now < piece.arrived_at + wait_s:
                    continue
            if not piece.opened:
                unreserved -= needed
                for sibling in siblings:
                    sibling.opened = True
                    sibling.started = True
            taken.append(piece)
            free_bytes -= piece.result_bytes
        if not taken:
            return None
        taken_ids = set(map(id, taken))
        self._pieces = [p for p in self._pieces if id(p) not in taken_ids]
        for piece in taken:
            piece.attempts += 1
        expected = stage_upstream.slowdown * self._nominal_call_s(len(taken))
        call = Call(
            next(self._call_numbers),
            stage_upstream.upstream,
            taken,
            now,
            expected,
        )
        stage_upstream.start_call(call)
        return call

    def _unreserved_bytes(self, now: float) -> float:
        """Returns the room that stages not opened may take.

        The results of a stage are of use only together. A stage is opened
        only if all of them fit beside what opened ones still need, so that
        opened stages never wait for each other's room.
        """
        free = sum(
            self.spec.result_memory_bytes - stage_upstream.used_bytes(now)
            for stage_upstream in self._upstreams.values()
        )
        return free - sum(p.result_bytes for p in self._pieces if p.opened)

    def _is_unused(self, now: float) -> bool:
        """Returns whether no room is taken, so that waiting cannot help."""
        return not any(
            stage_upstream.used_bytes(now)
            for stage_upstream in self._upstreams.values()
        ) and not any(p.opened for p in self._pieces)

    def _nominal_call_s(self, pieces: int) -> float:
        return self.spec.call_s + pieces * self.spec.piece_s

    def _end_call(self, call: Call) -> StageUpstream | None:
        """Ends a call; returns its lane if the upstream is still listed."""
        stage_upstream = self._upstreams.get(call.upstream.name)
        return (
            stage_upstream
            if stage_upstream is not None and stage_upstream.end_call(call)
            else None
        )

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
        stage_upstream = self._end_call(call)
        unneeded = []
        until = now + self.spec.result_ttl_s
        for piece, handle in zip(call.pieces, handles, strict=True):
            if not handle:
                continue
            if piece.request in self._abandoned_requests:
                unneeded.append(handle)
            elif stage_upstream is not None:
                stage_upstream.reserve(handle, piece.result_bytes, until)
        if stage_upstream is not None:
            took_s = now - call.started_at
            stage_upstream.record_success(
                took_s / self._nominal_call_s(len(call.pieces))
            )
        self._prune_abandoned_requests()
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
        stage_upstream = self._end_call(call)
        if stage_upstream is not None:
            stage_upstream.record_failure(now, refused=refused)
        exhausted = []
        for piece in call.pieces:
            if piece.request in self._abandoned_requests:
                continue
            if refused:
                piece.attempts -= 1
            if not repeat or piece.attempts >= PIECE_ATTEMPTS_MAX:
                exhausted.append(piece)
            else:
                self._pieces.append(piece)
        self._prune_abandoned_requests()
        return exhausted

    def requeue(self, piece: Piece, call: Call, now: float) -> bool:
        """Queues a piece again that its upstream had no room for.

        Returns:
            Whether the piece may be tried again.
        """
        stage_upstream = self._upstreams.get(call.upstream.name)
        if stage_upstream is not None:
            stage_upstream.record_memory_full(now)
        piece.opened = False
        if piece.attempts >= PIECE_ATTEMPTS_MAX:
            return False
        self._pieces.append(piece)
        return True

    def set_free_bytes(self, name: str, free_bytes: float, now: float) -> None:
        """Takes the room that an upstream reports to be free."""
        stage_upstream = self._upstreams.get(name)
        if stage_upstream is not None:
            stage_upstream.set_used_bytes(
                self.spec.result_memory_bytes - free_bytes, now
            )

    def _prune_abandoned_requests(self) -> None:
        if self._abandoned_requests:
            self._abandoned_requests &= {
                piece.request
                for stage_upstream in self._upstreams.values()
                for call in stage_upstream.calls.values()
                for piece in call.pieces
            }

    def next_wake_at(self, now: float) -> float:
        """Returns when the queue should be looked at again."""
        if not self._pieces:
            return math.inf
        times = [
            stage_upstream.pause.until
            for stage_upstream in self._upstreams.values()
            if stage_upstream.pause.until > now
        ]
        for piece in self._pieces:
            if piece.failure_domain:
                times += [
                    piece.arrived_at + wait_s
                    for wait_s in (
                        LARGE_RESULT_DOMAIN_WAIT_S,
                        SMALL_RESULT_DOMAIN_WAIT_S,
                    )
                    if piece.arrived_at + wait_s > now
                ]
        return min(times, default=math.inf)

    def capacity_pieces_per_s(self, now: float) -> float:
        """Returns the pieces a second that full calls would get done."""
        full_s = self._nominal_call_s(self.spec.batch)
        return sum(
            self.spec.slots
            * self.spec.batch
            / (full_s * max(stage_upstream.slowdown, 0.1))
            for stage_upstream in self._upstreams.values()
            if stage_upstream.pause.until <= now + FAILED_PAUSE_S
        )

    def wait_s(self, now: float, *, on_time: bool = False) -> float:
        """Returns how long a new piece waits until its call begins.

        Args:
            now: Current time.
            on_time: Count only the pieces that can be on time, which go before
                late ones. Otherwise the piece waits behind all that is queued
                and behind later pieces that can be on time.
        """
        capacity = self.capacity_pieces_per_s(now)
        if capacity <= 0.0:
            return math.inf
        has_idle = any(
            not stage_upstream.calls and stage_upstream.pause.until <= now
            for stage_upstream in self._upstreams.values()
        )
        residual_s = 0.0 if has_idle else RESIDUAL_SHARE * self.full_call_s
        if on_time:
            pieces_ahead = sum(
                1 for p in self._pieces if self._can_be_on_time(p, now)
            )
            return residual_s + pieces_ahead / capacity
        self._arrival_times = [
            at for at in self._arrival_times if at > now - ARRIVAL_WINDOW_S
        ]
        arrivals_per_s = len(self._arrival_times) / ARRIVAL_WINDOW_S
        late_capacity = max(
            LATE_CAPACITY_SHARE_MIN * capacity, capacity - arrivals_per_s
        )
        pieces_ahead = len(self._pieces)
        return residual_s + pieces_ahead / (
            capacity if pieces_ahead <= self.spec.batch else late_capacity
        )

    @property
    def full_call_s(self) -> float:
        """Time of a full call at the configured speed."""
        return self._nominal_call_s(self.spec.batch)

    def _can_be_on_time(self, piece: Piece, now: float) -> bool:
        return now + self.spec.call_s <= piece.target_at

    def admits(self, remaining_s: float, now: float) -> bool:
        """Returns whether a request with this time left should be begun."""
        return self.wait_s(now) <= ADMISSION_WAIT_SHARE * remaining_s


def _order_for_domain(
    domain: str, ranked: Sequence[tuple[_Urgency, Piece]]
) -> Iterator[Piece]:
    """Yields ranked pieces; in each class those for the domain come first."""
    for _, group in itertools.groupby(ranked, key=lambda pair: pair[0][0]):
        others = []
        for _, piece in group:
            if piece.failure_domain in ("", domain):
                yield piece
            else:
                others.append(piece)
        yield from others


def _sum_result_bytes(pieces: Iterable[Piece]) -> float:
    return sum(piece.result_bytes for piece in pieces)
