"""Queue of a gate: deadline order, priorities, fair shares of accounts."""

import bisect
import heapq
import math

from applespring.core.ticket import PRIORITIES, Ticket

MAX_IDLE_ACCOUNTS = 1024

_Key = tuple[int, float, int]
_Entry = tuple[int, float, int, Ticket]
_LaneKey = tuple[str, frozenset[str]]


class _Account:
    """Queued tickets of one account, most urgent first."""

    __slots__ = ("name", "weight", "vtime", "entries")

    def __init__(self, name: str) -> None:
        self.name = name
        self.weight = 1.0
        # Virtual time at which the account's next ticket starts.
        self.vtime = 0.0
        self.entries: list[_Entry] = []

    @property
    def turn_at(self) -> float:
        """Virtual time at which the account's next ticket ends."""
        return self.vtime + 1.0 / self.weight


class _Lane:
    """Queued tickets that may go to the same upstreams."""

    __slots__ = ("by_account", "heap", "turns")

    def __init__(self) -> None:
        self.by_account: dict[str, list[_Entry]] = {}
        # (virtual time at which the account's next ticket ends, account).
        # Entries may be lower than the current time as in `heap`; one that is
        # higher, since the weight grew, has a newer one beside it.
        self.turns: list[tuple[float, str]] = []
        # (head priority, virtual time, account). An account's entry may be
        # lower than its current rank, never higher, so the least valid entry
        # is the next to serve.
        self.heap: list[tuple[int, float, str]] = []


class FairQueue:
    """Tickets that wait for a pool.

    The lowest priority number goes first. Within a priority, accounts take
    turns by start-time fair queueing with their weights, and each account's
    tickets go by the time at which their stage must have ended. An account
    whose next turn is overdue, by its fair share of all priorities together,
    goes before every priority: the urgent tickets of others can delay it by
    the tickets of one round only. The queue does not enforce its bound; the
    gate does with `pick_victim`.
    """

    __slots__ = (
        "_accounts",
        "_lanes",
        "_by_due",
        "_by_priority",
        "_active_weight",
        "_active",
        "_vtime",
        "_seq",
    )

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._lanes: dict[_LaneKey, _Lane] = {}
        self._by_due: list[tuple[float, int, Ticket]] = []
        self._by_priority = [0] * PRIORITIES
        self._active_weight = 0.0
        self._active = 0
        self._vtime = 0.0
        self._seq = 0

    def __len__(self) -> int:
        return len(self._by_due)

    def __contains__(self, ticket: Ticket) -> bool:
        key = ticket.key
        if key is None:
            return False
        index = bisect.bisect_left(self._by_due, (key[1], key[2]))
        return index < len(self._by_due) and self._by_due[index][2] is ticket

    def push(self, ticket: Ticket) -> None:
        """Adds a ticket.

        Raises:
            ValueError: The ticket is in a queue already.
        """
        if ticket.key is not None:
            raise ValueError(f"ticket {ticket.request_id} is queued already")
        self._seq += 1
        key = (ticket.priority, ticket.due_at, self._seq)
        ticket.key = key
        account = self._activate(ticket)
        weight_grew = ticket.weight > account.weight
        account.weight = ticket.weight
        self._active_weight += account.weight
        entry = (*key, ticket)
        bisect.insort(account.entries, entry)
        bisect.insort(self._by_due, (ticket.due_at, self._seq, ticket))
        self._by_priority[ticket.priority] += 1
        lane = self._lanes.get(ticket.lane)
        if lane is None:
            lane = self._lanes[ticket.lane] = _Lane()
        entries = lane.by_account.setdefault(ticket.account, [])
        bisect.insort(entries, entry)
        if entries[0] is entry:
            self._push_rank(lane, account, ticket.priority)
        if weight_grew:
            for other in self._lanes.values():
                if account.name in other.by_account:
                    self._push_turn(other, account)
        elif len(entries) == 1:
            self._push_turn(lane, account)

    def remove(self, ticket: Ticket) -> bool:
        """Removes a ticket; returns whether it was there."""
        if ticket not in self:
            return False
        key = ticket.key
        ticket.key = None
        account = self._accounts[ticket.account]
        del account.entries[bisect.bisect_left(account.entries, key)]
        index = bisect.bisect_left(self._by_due, (key[1], key[2]))
        del self._by_due[index]
        self._by_priority[ticket.priority] -= 1
        lane = self._lanes[ticket.lane]
        entries = lane.by_account[ticket.account]
        del entries[bisect.bisect_left(entries, key)]
        if not entries:
            del lane.by_account[ticket.account]
            if not lane.by_account:
                del self._lanes[ticket.lane]
        if not account.entries:
            self._deactivate(account)
        return True

    def serve(self, ticket: Ticket) -> None:
        """Removes a ticket and charges its account for it."""
        account = self._accounts[ticket.account]
        if not self.remove(ticket):
            raise ValueError(f"ticket {ticket.request_id} is not queued")
        self._vtime = max(self._vtime, account.vtime)
        account.vtime += 1.0 / ticket.weight

    def head(self, blocked: set[_LaneKey]) -> Ticket | None:
        """Returns the next ticket to serve outside the blocked lanes."""
        lanes = [v for k, v in self._lanes.items() if k not in blocked]
        if not lanes:
            return None
        (turn_at, name), lane = min(
            ((self._least_turn(lane), lane) for lane in lanes),
            key=lambda pair: pair[0],
        )
        if turn_at > self._vtime:
            (_, _, name), lane = min(
                ((self._least_rank(lane), lane) for lane in lanes),
                key=lambda pair: pair[0],
            )
        return lane.by_account[name][0][3]

    def expire(self, due_before: float) -> list[Ticket]:
        """Removes and returns the tickets that are due before this time."""
        expired = []
        while self._by_due and self._by_due[0][0] < due_before:
            ticket = self._by_due[0][2]
            self.remove(ticket)
            expired.append(ticket)
        return expired

    def one_per_lane(self) -> list[Ticket]:
        """Returns one ticket of each set that may use the same upstreams."""
        return [
            next(iter(lane.by_account.values()))[0][3]
            for lane in self._lanes.values()
        ]

    def drain_lane(self, lane: _LaneKey) -> list[Ticket]:
        """Removes and returns all tickets of a lane."""
        found = self._lanes.get(lane)
        if found is None:
            return []
        tickets = [
            entry[3] for part in found.by_account.values() for entry in part
        ]
        for ticket in tickets:
            self.remove(ticket)
        return tickets

    def next_due_at(self) -> float | None:
        """Returns the earliest time at which a queued stage must end."""
        return self._by_due[0][0] if self._by_due else None

    def turns_before(self, ticket: Ticket) -> float:
        """Returns how many tickets go before a new one, by its fair share."""
        urgent = sum(self._by_priority[: ticket.priority])
        equal = float(self._by_priority[ticket.priority])
        account = self._accounts.get(ticket.account)
        weights = self._active_weight
        own_ahead = own_equal = 0
        if account is None or not account.entries:
            weights += ticket.weight
        else:
            level = (ticket.priority, -math.inf, 0)
            key = (ticket.priority, ticket.due_at, self._seq + 1)
            own_ahead = bisect.bisect_left(account.entries, key)
            own_equal = own_ahead - bisect.bisect_left(account.entries, level)
        round_size = weights / ticket.weight
        by_priority = (own_equal + 1) * round_size - 1.0
        # An overdue turn goes before all priorities.
        by_turn = (own_ahead + 1) * round_size
        return min(urgent + max(0.0, min(equal, by_priority)), by_turn)

    def pick_victim(self, newcomer: Ticket) -> Ticket | None:
        """Returns whom a full queue sheds, None for the newcomer itself.

        It is the last ticket of the account with the most tickets per weight,
        the newcomer counted.
        """
        own = self._accounts.get(newcomer.account)
        queued = len(own.entries) if own else 0
        worst = own
        worst_load = (queued + 1) / newcomer.weight
        for account in self._accounts.values():
            if account is own or not account.entries:
                continue
            load = len(account.entries) / account.weight
            if load > worst_load:
                worst, worst_load = account, load
        if worst is None or not worst.entries:
            return None
        last = worst.entries[-1]
        if worst is own and last[:2] <= (newcomer.priority, newcomer.due_at):
            return None
        return last[3]

    def _activate(self, ticket: Ticket) -> _Account:
        """Returns the account, whose new weight the caller adds."""
        account = self._accounts.get(ticket.account)
        if account is None:
            self._drop_idle()
            account = self._accounts[ticket.account] = _Account(ticket.account)
        if account.entries:
            self._active_weight -= account.weight
        else:
            self._active += 1
            account.vtime = max(account.vtime, self._vtime)
        return account

    def _deactivate(self, account: _Account) -> None:
        self._active -= 1
        self._active_weight -= account.weight
        if self._active == 0:
            # Removes the rounding errors of the additions.
            self._active_weight = 0.0

    def _drop_idle(self) -> None:
        if len(self._accounts) - self._active < MAX_IDLE_ACCOUNTS:
            return
        # An idle account behind the virtual time has no debt to remember; the
        # debts of the others are dropped for the sake of the bound.
        self._accounts = {
            name: account
            for name, account in self._accounts.items()
            if account.entries
        }

    def _push_rank(self, lane: _Lane, account: _Account, head: int) -> None:
        heapq.heappush(lane.heap, (head, account.vtime, account.name))
        if len(lane.heap) > 64 + 4 * len(lane.by_account):
            lane.heap = [
                (entries[0][0], self._accounts[name].vtime, name)
                for name, entries in lane.by_account.items()
            ]
            heapq.heapify(lane.heap)

    def _push_turn(self, lane: _Lane, account: _Account) -> None:
        heapq.heappush(lane.turns, (account.turn_at, account.name))
        if len(lane.turns) > 64 + 4 * len(lane.by_account):
            lane.turns = [
                (self._accounts[name].turn_at, name) for name in lane.by_account
            ]
            heapq.heapify(lane.turns)

    def _least_turn(self, lane: _Lane) -> tuple[float, str]:
        heap = lane.turns
        while True:
            turn = heap[0]
            if turn[1] not in lane.by_account:
                heapq.heappop(heap)
                continue
            current = (self._accounts[turn[1]].turn_at, turn[1])
            if current == turn:
                return turn
            heapq.heapreplace(heap, current)

    def _least_rank(self, lane: _Lane) -> tuple[int, float, str]:
        heap = lane.heap
        while True:
            rank = heap[0]
            entries = lane.by_account.get(rank[2])
            if entries is None:
                heapq.heappop(heap)
                continue
            vtime = self._accounts[rank[2]].vtime
            current = (entries[0][0], vtime, rank[2])
            if current == rank:
                return rank
            # The entry is lower than the current rank, or a leftover of an
            # account that went idle; the current rank replaces it.
            heapq.heapreplace(heap, current)
