"""Batch queue of one stage pool: which pieces share a call to which upstream.

A call has a fixed cost that its pieces share, an upstream runs only a few calls
at a time (`BatchSpec.slots`), and a result occupies memory at the upstream that
made it until it is released. The queue therefore fills calls as soon as an
upstream is idle, never sends a piece whose result does not fit into the free
result memory, and orders pieces by the targets and deadlines that can still be
met.
"""

import itertools
import math
from collections import deque
from collections.abc import Container, Iterable, Iterator, Mapping, Sequence

from applespring.core.catalog import ListedUpstream
from applespring.core.homes import DomainRegions, Regions
from applespring.core.piece import Call, Piece
from applespring.core.queueing.account_usage import AccountUsage
from applespring.core.queueing.service_order import (
    DEFAULT_ORDER,
    ORDERS,
    QueueView,
    Urgency,
)
from applespring.core.route import BatchSpec
from applespring.core.stage_upstream import FAILED_PAUSE_S, StageUpstream

# Share of the time to spare until its target that a piece may spend on waiting
# for the upstreams of its preferred failure domain. The remainder covers queue
# waits of later stages.
DOMAIN_WAIT_SLACK_SHARE = 0.5
# Most calls of a piece, the first included. When the last of them fails, the
# piece is given up. Calls that an upstream refused do not count.
PIECE_ATTEMPTS_MAX = 4
# A request is admitted if its expected wait is at most this share of the time
# that it has left.
ADMISSION_WAIT_SHARE = 0.65
# Window over which the arrival rate is estimated.
ARRIVAL_WINDOW_S = 2.0
# Shortest backlog after which its throughput counts, and the window over which
# the throughput is measured.
BACKLOG_MIN_S = 1.0
BACKLOG_WINDOW_S = 2.0
# Least throughput that is assumed with a backlog, as a share of that of full
# calls; a pool whose calls all failed for a moment is not given up.
MEASURED_CAPACITY_SHARE_MIN = 0.1
# Share of the memory that results without a record may fill unnoticed.
UNKNOWN_MEMORY_SHARE = 0.25
# Late pieces get the capacity that new arrivals leave over. The estimate of
# their wait takes it to be at least this share of the total capacity.
LATE_CAPACITY_SHARE_MIN = 0.4
# A call that takes this many times as long as expected may never end.
HUNG_CALL_FACTOR = 2.0
# Least time of a call, where a document names none.
CALL_MIN_S = 0.001
# Request id and index of the stage.
_StageId = tuple[str, int]


class BatchQueue:
    """Queued pieces of one stage pool and the state of its upstreams.

    Attributes:
        spec: Batch size, timing and result memory of an upstream of the pool.
    """

    __slots__ = (
        "spec",
        "_pieces",
        "_upstreams",
        "_call_numbers",
        "_arrival_times",
        "_backlog_since",
        "_called",
        "_homes",
        "_rank",
        "_usage",
    )

    def __init__(
        self,
        spec: BatchSpec,
        homes: DomainRegions | None = None,
        order: str = DEFAULT_ORDER,
    ) -> None:
        """Creates a queue without upstreams.

        Args:
            spec: Batch size, timing and result memory of an upstream.
            homes: Regions of failure domains; all of unknown region if None.
            order: Name of the order of service in `ORDERS`.
        """
        self.spec = spec
        self._homes = homes or DomainRegions()
        self._rank = ORDERS[order]
        self._usage = AccountUsage()
        self._pieces: list[Piece] = []
        self._upstreams: dict[str, StageUpstream] = {}
        self._call_numbers = itertools.count(1)
        self._arrival_times: list[float] = []
        # Since when pieces have been left over after calls were filled.
        self._backlog_since = math.inf
        # Time and number of pieces of the calls since then.
        self._called: deque[tuple[float, int]] = deque()

    def __len__(self) -> int:
        return len(self._pieces)

    def set_upstreams(
        self,
        upstreams: Iterable[ListedUpstream],
        closed_until: Mapping[str, float] | None = None,
        rates: Mapping[str, float] | None = None,
    ) -> None:
        """Replaces the upstreams that may be called.

        The state of an upstream is kept unless it was restarted, which gives it
        a new identity.

        Args:
            upstreams: The upstreams, paused ones included.
            closed_until: When the pauses end that upstreams have asked for, or
                when their rate limits leave room for a call.
            rates: Calls a second that the rate limits of upstreams allow.
        """
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
        for name, stage_upstream in self._upstreams.items():
            stage_upstream.closed_until = (closed_until or {}).get(
                name, -math.inf
            )
            stage_upstream.calls_per_s = (rates or {}).get(name, math.inf)

    def calls_in_progress(self) -> int:
        """Counts the calls in progress at the listed upstreams."""
        return sum(
            len(stage_upstream.calls)
            for stage_upstream in self._upstreams.values()
        )

    def offer(self, pieces: Iterable[Piece], now: float) -> None:
        """Queues pieces and counts them in the arrival rate."""
        for piece in pieces:
            self._pieces.append(piece)
            self._arrival_times.append(now)

    def withdraw(self, request: str, origin: object = None) -> None:
        """Removes the queued pieces of a request.

        When its calls in progress end, `succeed` returns their results for
        release.

        Args:
            request: Id of the request.
            origin: Submission whose pieces are removed; None removes all.
        """

        def matches(piece: Piece) -> bool:
            return piece.request == request and origin in (None, piece.origin)

        self._pieces = [p for p in self._pieces if not matches(p)]
        for piece in self._pieces_in_progress():
            piece.withdrawn = piece.withdrawn or matches(piece)

    def _pieces_in_progress(self) -> Iterator[Piece]:
        for stage_upstream in self._upstreams.values():
            for call in stage_upstream.calls.values():
                yield from call.pieces

    def release(self, handles: Iterable[str]) -> None:
        """Frees the memory of results, whichever upstream holds them."""
        released = list(handles)
        for stage_upstream in self._upstreams.values():
            stage_upstream.release(released)

    def take_overdue(self, now: float) -> list[Piece]:
        """Removes and returns the pieces that cannot meet their deadline.

        Even a call of a single piece that starts now, or when the first pause
        ends, would end too late.
        """
        min_call_s = self.opens_in_s(now) + self.spec.call_s + self.spec.piece_s
        overdue = [p for p in self._pieces if p.deadline_at < now + min_call_s]
        if overdue:
            taken_ids = set(map(id, overdue))
            self._pieces = [p for p in self._pieces if id(p) not in taken_ids]
        return overdue

    def take_quarantined(self, fingerprints: Container[str]) -> list[Piece]:
        """Removes and returns the pieces of requests with these fingerprints.

        Those of trials stay.
        """
        taken = [
            p
            for p in self._pieces
            if p.fingerprint in fingerprints and not p.is_trial
        ]
        taken_ids = set(map(id, taken))
        self._pieces = [p for p in self._pieces if id(p) not in taken_ids]
        return taken

    def take_outside_homes(self) -> list[Piece]:
        """Removes and returns pieces whose homes have no listed upstream."""
        taken = [
            p
            for p in self._pieces
            if p.regions is not None and not self.has_upstream_in(p.regions)
        ]
        if taken:
            taken_ids = set(map(id, taken))
            self._pieces = [p for p in self._pieces if id(p) not in taken_ids]
        return taken

    def has_upstream_in(self, regions: Regions) -> bool:
        """Returns whether an upstream is listed in these regions."""
        return bool(self._upstreams_in(regions))

    def _upstreams_in(self, regions: Regions) -> list[StageUpstream]:
        if regions is None:
            return list(self._upstreams.values())
        return [
            stage_upstream
            for stage_upstream in self._upstreams.values()
            if self._homes.allows(stage_upstream.failure_domain, regions)
        ]

    def take_all(self) -> list[Piece]:
        """Removes and returns every queued piece."""
        pieces, self._pieces = self._pieces, []
        return pieces

    def next_calls(self, now: float) -> list[Call]:
        """Starts calls at idle upstreams and returns them, to be sent now."""
        calls: list[Call] = []
        available = [
            stage_upstream
            for stage_upstream in self._upstreams.values()
            if len(stage_upstream.calls) < self.spec.slots
            and stage_upstream.callable_at <= now
        ]
        if not available:
            return calls
        ranked = self._rank(
            self._pieces,
            QueueView(
                now,
                self._expected_call_s(),
                self.spec.batch,
                self._idle_in_s(now),
                self.capacity_pieces_per_s(now)
                / max(self._nominal_pieces_per_s(now), 1e-9),
                self._usage,
            ),
        )
        stages: dict[_StageId, list[Piece]] = {}
        for piece in self._pieces:
            stages.setdefault((piece.request, piece.stage), []).append(piece)
        # The fastest upstream gets the most urgent pieces.
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
            # Pieces that prefer the domain of an upstream further down this
            # list are left for that upstream.
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
        self._record_calls(calls, now)
        return calls

    def _idle_in_s(self, now: float) -> list[float]:
        """Returns when each slot of an upstream is free, from now.

        A call that takes a little longer than expected is taken to end at once,
        and one that takes `HUNG_CALL_FACTOR` times as long not at all.
        """
        times = []
        for stage_upstream in self._upstreams.values():
            callable_s = max(0.0, stage_upstream.callable_at - now)
            ends = [
                max(callable_s, call.started_at + call.expected_s - now)
                for call in stage_upstream.calls.values()
                if now - call.started_at <= HUNG_CALL_FACTOR * call.expected_s
            ]
            free = self.spec.slots - len(stage_upstream.calls)
            times += ends + [callable_s] * max(0, free)
        return times

    def _record_calls(self, calls: Iterable[Call], now: float) -> None:
        """Measures the throughput while the pool has a backlog."""
        if not self._pieces:
            self._backlog_since = math.inf
            self._called.clear()
            return
        self._backlog_since = min(self._backlog_since, now)
        self._called.extend((now, len(call.pieces)) for call in calls)
        while self._called and self._called[0][0] <= now - BACKLOG_WINDOW_S:
            self._called.popleft()

    def _fill_call(
        self,
        stage_upstream: StageUpstream,
        ranked: Sequence[tuple[Urgency, Piece]],
        stages: Mapping[_StageId, Sequence[Piece]],
        now: float,
        idle_domains: Container[str],
    ) -> Call | None:
        """Starts the next call of an idle upstream, unless no piece fits.

        Within a class, pieces that prefer the upstream's failure domain go
        first: others would move their inputs or results between domains, which
        takes time and link capacity.

        Args:
            stage_upstream: The upstream.
            ranked: The queued pieces, most urgent first.
            stages: The queued pieces by stage.
            now: Current time.
            idle_domains: Failure domains of the idle upstreams whose turn comes
                after this one.
        """
        free_bytes = self.spec.result_memory_bytes - stage_upstream.used_bytes(
            now
        )
        domain = stage_upstream.failure_domain
        callable_domains = {
            other.failure_domain
            for other in self._upstreams.values()
            if other.callable_at <= now
        }
        taken: list[Piece] = []
        unreserved = self._unreserved_bytes(now)
        for piece in _order_for_domain(domain, ranked):
            if len(taken) >= self.spec.batch:
                break
            if piece.regions is not None and not self._homes.allows(
                domain, piece.regions
            ):
                continue
            if piece.result_bytes > free_bytes:
                continue
            if not self._may_share(taken, piece):
                continue
            siblings = stages[piece.request, piece.stage]
            needed = 0.0 if piece.opened else _sum_result_bytes(siblings)
            left = unreserved
            if needed and piece.regions is not None:
                left = min(left, self._unreserved_bytes(now, piece.regions))
            if needed > max(0.0, left) and not self._is_unused(
                now, piece.regions
            ):
                continue
            preferred = piece.failure_domain
            if preferred != domain and preferred in callable_domains:
                reserved = now < self._reserved_until(piece)
                if preferred in idle_domains or reserved:
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
            self._usage.add(piece.account, 1.0, now)
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

    def _may_share(self, taken: Sequence[Piece], piece: Piece) -> bool:
        """Returns whether a piece may be added to a call.

        A piece under which an upstream ended may end the next one. Apart from
        others it harms none of them, and shows whether it was the cause.
        """
        if taken:
            is_isolated = piece.isolated or taken[0].isolated
            return not is_isolated or piece.request == taken[0].request
        return not piece.isolated or not any(
            other.isolated and other.fingerprint == piece.fingerprint
            for other in self._pieces_in_progress()
        )

    def _reserved_until(self, piece: Piece) -> float:
        """Returns until when only its preferred failure domain may get a piece.

        An upstream there is idle again within the time of a call. A piece that
        cannot spare that time waits for less, and a late piece not at all.
        """
        spare_s = piece.target_at - self.full_call_s - piece.arrived_at
        return piece.arrived_at + min(
            self.full_call_s, max(0.0, DOMAIN_WAIT_SLACK_SHARE * spare_s)
        )

    def _unreserved_bytes(self, now: float, regions: Regions = None) -> float:
        """Returns the result memory that is left for unopened stages.

        The results of a stage are usable only together. A stage is opened only
        if all of its results fit beside those that opened stages still have to
        produce; otherwise opened stages could wait for each other's memory
        forever.

        Args:
            now: Current time.
            regions: If given, only memory in these regions counts, and only
                opened stages that depend on it.
        """
        free = sum(
            self.spec.result_memory_bytes - stage_upstream.used_bytes(now)
            for stage_upstream in self._upstreams_in(regions)
        )
        return free - sum(
            p.result_bytes
            for p in self._pieces
            if p.opened
            and (regions is None or (p.regions and p.regions & regions))
        )

    def _is_unused(self, now: float, regions: Regions = None) -> bool:
        """Returns whether no result memory is used or reserved there.

        Then a stage that is too large for `_unreserved_bytes` is opened all the
        same, since waiting would not free any memory.
        """
        return not any(
            stage_upstream.used_bytes(now)
            for stage_upstream in self._upstreams_in(regions)
        ) and not any(
            p.opened and _may_meet(p.regions, regions) for p in self._pieces
        )

    def _nominal_call_s(self, pieces: int) -> float:
        call_s = self.spec.call_s + pieces * self.spec.piece_s
        return max(CALL_MIN_S, call_s)

    def _end_call(self, call: Call) -> StageUpstream | None:
        """Ends a call; returns its upstream if that is still listed.

        An upstream that was restarted since the call began counts as another
        one.
        """
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
            handles: Handle of each piece's result, or "" for a failed piece.
            now: Current time.

        Returns:
            Handles of results of withdrawn requests, which are to be released.
        """
        stage_upstream = self._end_call(call)
        unneeded = []
        until = now + self.spec.result_ttl_s
        for piece, handle in zip(call.pieces, handles, strict=True):
            if not handle:
                continue
            if piece.withdrawn:
                unneeded.append(handle)
            elif stage_upstream is not None:
                stage_upstream.reserve(handle, piece.result_bytes, until)
        if stage_upstream is not None:
            took_s = now - call.started_at
            stage_upstream.record_success(
                took_s / self._nominal_call_s(len(call.pieces))
            )
        return unneeded

    def fail(
        self,
        call: Call,
        now: float,
        *,
        refused: bool = False,
        unreachable: bool = False,
        turned_away: bool = False,
        repeat: bool = True,
        isolate: bool = False,
    ) -> list[Piece]:
        """Ends a call that failed and queues its pieces again.

        Args:
            call: The call.
            now: Current time.
            refused: Whether the upstream did not run the call; then it does not
                count as an attempt of its pieces.
            unreachable: Whether it accepted no connection.
            turned_away: Whether it said why it takes no calls, which is no
                failure.
            repeat: Whether its pieces may be sent again.
            isolate: Whether each request is to be called apart from others.

        Returns:
            The pieces that are given up instead.
        """
        stage_upstream = self._end_call(call)
        if stage_upstream is not None and not turned_away:
            stage_upstream.record_failure(
                now, refused=refused, unreachable=unreachable
            )
        exhausted = []
        for piece in call.pieces:
            if piece.withdrawn:
                continue
            piece.isolated |= isolate
            if refused:
                piece.attempts -= 1
                self._usage.add(piece.account, -1.0, now)
            is_failed_trial = piece.is_trial and isolate
            if (
                not repeat
                or is_failed_trial
                or piece.attempts >= PIECE_ATTEMPTS_MAX
            ):
                exhausted.append(piece)
            else:
                self._pieces.append(piece)
        return exhausted

    def requeue(self, piece: Piece, call: Call, now: float) -> bool:
        """Queues a piece again that got no result in an answered call.

        The upstream is paused for a short time, since it may be out of result
        memory.

        Returns:
            False if the piece was not queued, since it was withdrawn or has
            used up its attempts.
        """
        stage_upstream = self._upstreams.get(call.upstream.name)
        if stage_upstream is not None:
            stage_upstream.record_memory_full(now)
        piece.opened = False
        if piece.withdrawn or piece.attempts >= PIECE_ATTEMPTS_MAX:
            return False
        self._pieces.append(piece)
        return True

    def lacks_record(self, name: str, now: float) -> bool:
        """Whether results that are not on record fill an upstream's memory.

        A share is allowed for, since reports are rounded and lag behind.
        """
        stage_upstream = self._upstreams.get(name)
        return stage_upstream is not None and (
            stage_upstream.unknown_bytes(now)
            > UNKNOWN_MEMORY_SHARE * self.spec.result_memory_bytes
        )

    def set_free_bytes(self, name: str, free_bytes: float, now: float) -> None:
        """Records the free result memory that an upstream reports."""
        stage_upstream = self._upstreams.get(name)
        if stage_upstream is not None:
            stage_upstream.set_used_bytes(
                self.spec.result_memory_bytes - free_bytes, now
            )

    def next_wake_at(self, now: float) -> float:
        """Returns when a pause or the wait for a failure domain ends next.

        Until then only new pieces, ended calls or released results can allow a
        call; infinite if nothing is queued.
        """
        if not self._pieces:
            return math.inf
        times = [
            stage_upstream.callable_at
            for stage_upstream in self._upstreams.values()
            if stage_upstream.callable_at > now
        ]
        reserved_until = (
            self._reserved_until(piece)
            for piece in self._pieces
            if piece.failure_domain
        )
        times += [at for at in reserved_until if at > now]
        return min(times, default=math.inf)

    def capacity_pieces_per_s(self, now: float) -> float:
        """Returns the expected throughput, in pieces a second.

        With a backlog it is what was measured, since calls are not full while
        result memory is short. Otherwise it is the throughput of full calls.
        """
        nominal = self._nominal_pieces_per_s(now)
        backlog_s = now - self._backlog_since
        if backlog_s < BACKLOG_MIN_S:
            return nominal
        window_s = min(backlog_s, BACKLOG_WINDOW_S)
        called = sum(n for at, n in self._called if at > now - window_s)
        return max(
            MEASURED_CAPACITY_SHARE_MIN * nominal,
            min(nominal, called / window_s),
        )

    def _nominal_pieces_per_s(
        self, now: float, upstreams: Iterable[StageUpstream] | None = None
    ) -> float:
        """Returns the throughput of full calls, in pieces a second.

        An upstream whose pause lasts longer than `FAILED_PAUSE_S` from now, as
        after several failures in a row, does not count.
        """
        full_s = self._nominal_call_s(self.spec.batch)
        return self.spec.batch * sum(
            min(
                self.spec.slots / (full_s * max(stage_upstream.slowdown, 0.1)),
                stage_upstream.calls_per_s,
            )
            for stage_upstream in (
                self._upstreams.values() if upstreams is None else upstreams
            )
            if stage_upstream.callable_at <= now + FAILED_PAUSE_S
        )

    def opens_in_s(self, now: float, regions: Regions = None) -> float:
        """Returns the time until the first upstream may be called.

        It is 0 unless all have asked for a pause, or have a rate limit that
        leaves no room for a call.
        """
        ends = [u.closed_until for u in self._upstreams_in(regions)]
        return max(0.0, min(ends, default=now) - now)

    def _callable_in_s(self, now: float, regions: Regions = None) -> float:
        """Returns the time until the first upstream may be called.

        One that failed may be paused for longer than it asked for, so this may
        be later than `opens_in_s`.
        """
        times = [u.callable_at for u in self._upstreams_in(regions)]
        return max(0.0, min(times, default=now) - now)

    def wait_s(
        self, now: float, *, on_time: bool = False, regions: Regions = None
    ) -> float:
        """Returns how long a new piece is expected to wait for its call.

        The wait is infinite while no upstream can be called.

        Args:
            now: Current time.
            on_time: Whether the new piece can be on time. Then it waits only
                behind queued pieces that can be on time too. A late piece waits
                behind the whole queue and behind later pieces that can be on
                time.
            regions: Regions whose upstreams may execute it; None for all.
        """
        if regions is not None:
            return self._wait_in_regions_s(now, regions)
        if self.opens_in_s(now) > 0.0:
            callable_in_s = self._callable_in_s(now)
            capacity = self._nominal_pieces_per_s(now + callable_in_s)
            if capacity <= 0.0:
                return math.inf
            return callable_in_s + len(self._pieces) / capacity
        capacity = self.capacity_pieces_per_s(now)
        if capacity <= 0.0:
            return math.inf
        residual_s = self._residual_s(now)
        if on_time:
            done_at = now + self._expected_call_s()
            pieces_ahead = sum(
                1 for p in self._pieces if done_at <= p.target_at
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

    def _wait_in_regions_s(self, now: float, regions: Regions) -> float:
        """Returns how long a new piece is expected to wait in its homes.

        Their upstreams have the share of the pool's throughput that they have
        of its capacity. They execute the queued pieces with a home in common,
        and this share of the pieces that any upstream may execute.
        """
        upstreams = self._upstreams_in(regions)
        is_open = self.opens_in_s(now, regions) <= 0.0
        starts_in_s = 0.0 if is_open else self._callable_in_s(now, regions)
        at = now + starts_in_s
        nominal = self._nominal_pieces_per_s(at, upstreams)
        if nominal <= 0.0:
            return math.inf
        share = nominal / self._nominal_pieces_per_s(at)
        capacity = nominal
        if is_open:
            capacity = share * self.capacity_pieces_per_s(now)
            starts_in_s = self._residual_s(now, upstreams)
        pieces_ahead = sum(
            share if p.regions is None else 1.0
            for p in self._pieces
            if _may_meet(p.regions, regions)
        )
        return starts_in_s + pieces_ahead / capacity

    def _residual_s(
        self, now: float, upstreams: Iterable[StageUpstream] | None = None
    ) -> float:
        """Returns the expected time until the first upstream is idle.

        Calls of several upstreams end at different times, so one of n ends
        after 1 / (n + 1) of a call on average.
        """
        callable_upstreams = [
            stage_upstream
            for stage_upstream in (
                self._upstreams.values() if upstreams is None else upstreams
            )
            if stage_upstream.callable_at <= now
        ]
        if any(not upstream.calls for upstream in callable_upstreams):
            return 0.0
        return self.full_call_s / (len(callable_upstreams) + 1)

    @property
    def full_call_s(self) -> float:
        """Configured time of a call with the maximum number of pieces."""
        return self._nominal_call_s(self.spec.batch)

    def _expected_call_s(self) -> float:
        """Returns the time of a call with the pieces that are queued.

        A piece that is called now can be on time if such a call ends by its
        target. With the time of a call of its own, an overloaded pool would
        spend its calls on pieces that miss their targets by little.
        """
        pieces = max(1, min(self.spec.batch, len(self._pieces)))
        slowdowns = [u.slowdown for u in self._upstreams.values()] or [1.0]
        mean_slowdown = sum(slowdowns) / len(slowdowns)
        return mean_slowdown * self._nominal_call_s(pieces)

    def admits(
        self, remaining_s: float, now: float, regions: Regions = None
    ) -> bool:
        """Returns whether a request with this time left should be started."""
        wait_s = self.wait_s(now, regions=regions)
        return wait_s <= ADMISSION_WAIT_SHARE * remaining_s


def _order_for_domain(
    domain: str, ranked: Sequence[tuple[Urgency, Piece]]
) -> Iterator[Piece]:
    """Yields ranked pieces; within a class, those of other domains last.

    A piece that prefers no failure domain counts as one of this domain.

    Args:
        domain: Failure domain of the upstream that is to be called.
        ranked: Pieces, most urgent first.
    """
    for _, group in itertools.groupby(ranked, key=lambda pair: pair[0][0]):
        others = []
        for _, piece in group:
            if piece.failure_domain in ("", domain):
                yield piece
            else:
                others.append(piece)
        yield from others


def _may_meet(first: Regions, second: Regions) -> bool:
    """Returns whether an upstream may exist that both regions allow."""
    return first is None or second is None or bool(first & second)


def _sum_result_bytes(pieces: Iterable[Piece]) -> float:
    return sum(piece.result_bytes for piece in pieces)
