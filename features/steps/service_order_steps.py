"""Steps of service_order.feature: a batch queue under load, in virtual time."""

import heapq
import itertools

from behave import given, then, when

from applespring.core.batch import BatchQueue
from applespring.core.catalog import ListedUpstream, UpstreamState
from applespring.core.first_event import FirstEventEstimate
from applespring.core.piece import Piece
from applespring.core.queueing.account_usage import AccountUsage
from applespring.core.queueing.service_order import ORDERS, QueueView
from applespring.core.route import BatchSpec

# Time after its target at which a caller has left.
PATIENCE_S = 1.0
RESULT_TTL_S = 4.0


@given(
    "a stage pool of {count:d} upstreams with {batch:d} pieces a call, "
    "{call_ms:d} ms a call, {piece_ms:d} ms a piece"
)
def set_pool(context, count, batch, call_ms, piece_ms):
    context.spec = BatchSpec(
        1, batch, call_ms / 1000, piece_ms / 1000, 1e9, RESULT_TTL_S
    )
    context.upstreams = [
        ListedUpstream(
            name=f"s{n}",
            born_ms=1,
            pool="stage",
            address=f"10.0.0.{n + 1}:80",
            failure_domain="a",
            slots=1,
            state=UpstreamState.READY,
            revision=1,
        )
        for n in range(count)
    ]


@given("the order of service {order}")
def set_order(context, order):
    context.queue = BatchQueue(context.spec, order=order)
    context.queue.set_upstreams(context.upstreams)


@given("a queue without an order of service")
def set_default_order(context):
    context.queue = BatchQueue(context.spec)
    context.queue.set_upstreams(context.upstreams)


@when("requests arrive for {length_s:d} s")
def play(context, length_s):
    """Plays arrivals and calls as events, ordered by time."""
    context.rows, context.length_s = context.table.rows, length_s
    _play(context)


@when("the same requests arrive at a queue that orders by priority")
def play_again(context):
    context.former_calls = context.calls
    set_order(context, "priority")
    _play(context)


@then("both make the same calls")
def check_calls(context):
    assert context.calls == context.former_calls


def _play(context):
    numbers = itertools.count()
    events = []
    context.pieces = []
    context.calls = []
    length_s = context.length_s
    for row in context.rows:
        fields = dict(zip(row.headings, row.cells, strict=True))
        per_s = float(fields["per_s"])
        for n in range(int(length_s * per_s)):
            # The offset keeps the routes from arriving at the same moments.
            at = (n + 0.5) / per_s
            heapq.heappush(events, (at, next(numbers), "arrive", fields))
    queue, now = context.queue, 0.0
    context.called = 0
    while events:
        now, _, kind, item = heapq.heappop(events)
        if kind == "arrive":
            request = f"{item['route']}-{next(numbers)}"
            pieces = [
                Piece(
                    request=request,
                    stage=0,
                    segment=segment,
                    priority=int(item["priority"]),
                    account=item.get("account", item["route"]),
                    target_at=now + float(item["target_s"]),
                    deadline_at=now + float(item["target_s"]) + PATIENCE_S,
                    result_bytes=1.0,
                    arrived_at=now,
                )
                for segment in range(int(item["pieces"]))
            ]
            for piece in pieces:
                context.pieces.append((item["route"], piece, []))
            queue.offer(pieces, now)
        else:
            handles = [f"h{next(numbers)}" for _ in item.pieces]
            queue.succeed(item, handles, now)
            queue.release(handles)
            for piece in item.pieces:
                _done_times(context, piece).append(now)
        queue.take_overdue(now)
        for call in queue.next_calls(now):
            context.calls.append(
                (now, call.upstream.name, [p.request for p in call.pieces])
            )
            if now < length_s:
                context.called += len(call.pieces)
            ends_at = now + call.expected_s
            heapq.heappush(events, (ends_at, next(numbers), "end", call))


def _done_times(context, piece):
    if not hasattr(context, "by_piece") or context.by_piece[0] is not (
        context.pieces
    ):
        context.by_piece = (context.pieces, {})
    by_id = context.by_piece[1]
    if id(piece) not in by_id:
        by_id.update({id(p): done for _, p, done in context.pieces})
    return by_id[id(piece)]


def _share_on_time(entries):
    on_time = sum(bool(d) and d[0] <= p.target_at for _, p, d in entries)
    return on_time / len(entries)


@then("at least {share:g} of the pieces of route {route} are on time")
def check_route(context, share, route):
    got = _share_on_time([e for e in context.pieces if e[0] == route])
    assert got >= share, f"route {route}: {got:.3f} on time, bound {share}"


@then("at least {share:g} of the pieces of account {account} are on time")
def check_account(context, share, account):
    got = _share_on_time([e for e in context.pieces if e[1].account == account])
    assert got >= share, f"account {account}: {got:.3f}, bound {share}"


@then("the pool serves at least {share:g} of its room")
def check_room(context, share):
    spec = context.spec
    full_s = spec.call_s + spec.batch * spec.piece_s
    room = spec.batch * len(context.upstreams) * context.length_s / full_s
    served = context.called / room
    assert served >= share, f"{served:.3f} of the room, bound {share}"


@then(
    "each of {count:d} accounts is served within {bound:g} of an equal share "
    "of the room"
)
def check_shares(context, count, bound):
    served = {}
    for _, piece, done in context.pieces:
        served[piece.account] = served.get(piece.account, 0) + bool(done)
    total = sum(served.values())
    assert len(served) == count
    for account, number in served.items():
        share = number / total
        assert abs(share - 1 / count) <= bound, f"account {account}: {share}"


@then("route {route} is on time at least half as often as all")
def check_large(context, route):
    got = _share_on_time([e for e in context.pieces if e[0] == route])
    total = _share_on_time(context.pieces)
    assert got >= total / 2, f"route {route}: {got:.3f}, all {total:.3f}"


@when("an opened stage, a late piece and two that can be on time are ranked")
def rank_four(context):
    def piece(name, target_at):
        return Piece(request=name, stage=0, segment=0, target_at=target_at)

    opened = piece("opened", -1.0)
    opened.opened = True
    pieces = [piece("late", 0.1), piece("spare", 5.0), piece("due", 0.5)]
    view = QueueView(0.0, 0.3, 8, [0.0], 1.0, AccountUsage())
    context.ranked = ORDERS["deadline"]([*pieces, opened], view)


@when(
    "urgent pieces with time, less urgent ones that are due and a piece with "
    "minutes are ranked"
)
def rank_distant(context):
    pieces = [
        Piece(
            request=f"{name} {n}",
            stage=0,
            segment=0,
            priority=priority,
            target_at=target_at,
        )
        for name, priority, target_at, count in (
            ("urgent", 10, 1.3, 8),
            ("due", 11, 0.45, 8),
            ("distant", 12, 300.0, 1),
        )
        for n in range(count)
    ]
    view = QueueView(0.0, 0.3, 8, [0.0, 0.1], 1.0, AccountUsage())
    context.ranked = ORDERS["deadline"](pieces, view)


@then("their first {count:d} are {name}")
def check_first(context, count, name):
    got = [piece.request for _, piece in context.ranked[:count]]
    assert all(request.startswith(name) for request in got), got


@then("their order is {names}")
def check_order(context, names):
    got = [piece.request for _, piece in context.ranked]
    assert got == names.split(", "), got


@given("a pool whose first events have come after {took_s:g} s")
def set_estimate(context, took_s):
    context.estimate = FirstEventEstimate()
    for _ in range(50):
        context.estimate.record(1000, took_s, "large")


@when("{count:d} first events of route chat come after {took_s:g} s")
def record_events(context, count, took_s):
    for _ in range(count):
        context.estimate.record(1000, took_s, "chat")


@then("the first event of route chat is expected within {low:g} to {high:g} s")
def check_expected(context, low, high):
    got = context.estimate.route_run_s("chat")
    assert low <= got <= high, got


@when("a call of account a is refused {count:d} times")
def refuse_calls(context, count):
    queue = context.queue
    piece = Piece(request="r", stage=0, segment=0, account="a")
    queue.offer([piece], 0.0)
    for number in range(count):
        (call,) = queue.next_calls(float(number))
        queue.fail(call, float(number), refused=True)


@then("account a has used at most {pieces:d} piece of the pool")
def check_usage(context, pieces):
    used = context.queue._usage.get("a", 5.0)
    assert used <= pieces, used
