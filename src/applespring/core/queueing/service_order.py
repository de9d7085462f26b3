"""Orders in which the pieces of a stage pool are called.

An order is registered by name; the settings of an instance name the one in
force. Each ranks the queued pieces by urgency, most urgent first. Pieces of the
same class may change places, for example for a failure domain.
"""

from collections.abc import Callable, Iterable, Sequence

from applespring.core.piece import Piece
from applespring.core.queueing.account_usage import AccountUsage

# Sort key of a piece: its class and its position in the class. Lower keys are
# called first.
Urgency = tuple[tuple[int, int], tuple[float, ...]]
RankedPieces = list[tuple[Urgency, Piece]]
# Late pieces that fit go before those that can spare this many calls.
LATE_STEP = 2
# Parts into which the time until the latest target is divided to find out
# which pieces can be on time together.
SLOTS = 16
DEFAULT_ORDER = "priority"


class QueueView:
    """What an order needs to know of its queue.

    Attributes:
        now: Current time.
        call_s: Expected time of a call that starts now.
        batch: Most pieces in a call.
        idle_in_s: When each upstream can start its next call, from now.
        filled_share: Share of full calls that are filled, as measured while
            result memory is short.
        usage: What each account has used of the pool.
    """

    __slots__ = (
        "now",
        "call_s",
        "batch",
        "idle_in_s",
        "filled_share",
        "usage",
    )

    def __init__(
        self,
        now: float,
        call_s: float,
        batch: int,
        idle_in_s: Sequence[float],
        filled_share: float,
        usage: AccountUsage,
    ) -> None:
        self.now = now
        self.call_s = call_s
        self.batch = batch
        self.idle_in_s = tuple(idle_in_s)
        self.filled_share = filled_share
        self.usage = usage

    def room(self, within_s: float) -> float:
        """Returns how many pieces can start within a time from now.

        Calls that start now count as full: what they can't hold is seen when
        they are filled.
        """
        idle = sum(idle_s <= 0.0 for idle_s in self.idle_in_s)
        calls = sum(
            1 + int((within_s - idle_s) / self.call_s)
            for idle_s in self.idle_in_s
            if idle_s <= within_s
        )
        return self.batch * (idle + self.filled_share * (calls - idle))


Order = Callable[[Sequence[Piece], QueueView], RankedPieces]
ORDERS: dict[str, Order] = {}


def register_order(name: str) -> Callable[[Order], Order]:
    """Registers an order under the name by which settings select it."""

    def register(order: Order) -> Order:
        ORDERS[name] = order
        return order

    return register


@register_order(DEFAULT_ORDER)
def rank_by_priority(pieces: Sequence[Piece], view: QueueView) -> RankedPieces:
    """Ranks by tier, then by priority, then by target or deadline.

    Tiers, most urgent first: started requests that can be on time and opened
    stages (`Piece.opened`), on time or not; other requests that can be on time;
    late requests that are started; other late requests.
    """
    done_at = view.now + view.call_s

    def urgency(piece: Piece) -> Urgency:
        if piece.opened or done_at <= piece.target_at:
            tier = 0 if piece.opened or piece.started else 1
            return (tier, piece.priority), (piece.target_at, piece.arrived_at)
        return _late_urgency(piece, 2)

    return _sort(pieces, urgency)


@register_order("deadline")
def rank_by_deadline(pieces: Sequence[Piece], view: QueueView) -> RankedPieces:
    """Ranks by target as long as all pieces can be on time together.

    Pieces of an urgent route with time to spare then do not make those late
    whose target comes sooner. If the pool cannot serve all of them on time, the
    most urgent by priority keep their place, and of one priority those of the
    accounts that have used least of the pool. The others get what is left, in
    the same order. Late pieces go before those on time that can spare the time.

    Tiers, most urgent first: opened stages; pieces that can be on time
    together, and late ones that delay none of these beyond their targets; other
    pieces that could be on time alone; late requests that are started; other
    late requests.
    """
    done_at = view.now + view.call_s
    fitting = _find_fitting(pieces, view)

    def urgency(piece: Piece) -> Urgency:
        spare_s = piece.target_at - done_at
        # Pieces whose targets are less than a call apart are equally urgent.
        step = int(min(spare_s / view.call_s, 1e6))
        if piece.opened:
            return (0, step), (piece.target_at, piece.arrived_at)
        if spare_s < 0.0:
            step = LATE_STEP
        if id(piece) in fitting:
            return (1, step), (piece.target_at, piece.arrived_at)
        if done_at <= piece.target_at:
            used = view.usage.get(piece.account, view.now)
            return (2, piece.priority), (used, piece.target_at)
        return _late_urgency(piece, 3)

    return _sort(pieces, urgency)


def _late_urgency(piece: Piece, first_tier: int) -> Urgency:
    # Late requests get the remaining capacity, started ones first since their
    # results expire.
    tier = first_tier if piece.started else first_tier + 1
    return (tier, piece.priority), (piece.deadline_at, piece.arrived_at)


def _sort(
    pieces: Iterable[Piece], urgency: Callable[[Piece], Urgency]
) -> RankedPieces:
    ranked = [(urgency(piece), piece) for piece in pieces]
    ranked.sort(key=lambda pair: pair[0])
    return ranked


def _find_fitting(pieces: Sequence[Piece], view: QueueView) -> set[int]:
    """Returns the ids of pieces that can be on time together.

    The time until the latest target is divided into slots. By the begin of a
    slot the pool can start a number of pieces; the stages whose latest start
    lies in it or before take from that number. Stages are added by priority,
    then by the use of their accounts, then by target, as long as they fit.
    """
    stages: dict[tuple[str, int], list[Piece]] = {}
    for piece in pieces:
        stages.setdefault((piece.request, piece.stage), []).append(piece)
    start_s = {
        stage: siblings[0].target_at - view.call_s - view.now
        for stage, siblings in stages.items()
    }
    latest = max((t for t in start_s.values() if t < 1e9), default=0.0)
    # A target that is far away must not make the slots of the others too wide.
    slot_s = min(view.call_s, max(view.call_s, latest) / SLOTS)
    room = [view.room(number * slot_s) for number in range(SLOTS + 1)]
    usage: dict[str, float] = {}

    def precedence(stage: tuple[str, int]) -> tuple:
        piece = stages[stage][0]
        if piece.account not in usage:
            usage[piece.account] = view.usage.get(piece.account, view.now)
        # Opened stages are called in any case.
        return (
            not piece.opened,
            start_s[stage] < 0.0,
            piece.priority,
            usage[piece.account],
            piece.target_at,
        )

    fitting: set[int] = set()
    for stage in sorted(stages, key=precedence):
        siblings = stages[stage]
        slot = min(SLOTS, max(0, int(min(start_s[stage], 1e9) / slot_s)))
        count = len(siblings)
        if min(room[slot:]) < count and not siblings[0].opened:
            continue
        for number in range(slot, SLOTS + 1):
            room[number] -= count
        fitting.update(map(id, siblings))
    return fitting
