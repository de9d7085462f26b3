"""Queue of a gate, ordered by fair share of accounts, priority and due time."""

import bisect
import heapq
import math

from applespring.core.ticket import PRIORITIES, Ticket

MAX_IDLE_ACCOUNTS = 1024

_Key = tuple[int, float, int]
_Entry = tuple[int, float, int, Ticket]
_SubQueueKey = tuple[str, frozenset[str]]


class _Account:
    """Queued tickets of one account, sorted by priority, then due time."""

    __slots__ = ("name", "weight", "virtual_start", "entries")

    def __init__(self, name: str) -> None:
        self.name = name
        self.weight = 1.0
        # Start tag of the account's next ticket, in virtual time. Each ticket
        # served advances it by 1 / weight.
        self.virtual_start = 0.0
        self.entries: list[_Entry] = []

    @property
    def virtual_finish(self) -> float:
        """Finish tag of the account's next ticket, in virtual time."""
        return self.virtual_start + 1.0 / self.weight


class _SubQueue:
    """Queued tickets with the same set of eligible upstreams."""

    __slots__ = ("by_account", "by_rank", "by_finish")

    def __init__(self) -> None:
        self.by_account: dict[str, list[_Entry]] = {}
        # Heap of (virtual finish, account). An entry that is lower than the
        # account's current value is replaced when it becomes the least one. An
        # entry that is higher, because the account's weight has grown, has a
        # newer one beside it.
        self.by_finish: list[tuple[float, str]] = []
        # Heap of (priority of the account's first ticket, virtual start,
        # account). An account's entry may be lower than its current rank but
        # never higher, so the least entry that is current is served next.
        self.by_rank: list[tuple[int, float, str]] = []


class FairQueue:
    """Tickets that wait for an upstream of a pool.

    The lowest priority number goes first. Within a priority, accounts are
    served by start-time fair queueing with their weights, and the tickets of
    an account in the order of their due times. An account whose next virtual
    finish has been reached, which means that it is behind its fair share over
    all priorities, is served before every priority: urgent tickets of other
    accounts can delay it by the tickets of one round only. The queue does not
    enforce its bound; the gate does with `pick_victim`.
    """

    __slots__ = (
        "_accounts",
        "_subqueues",
        "_by_due",
        "_count_by_priority",
        "_active_weight",
        "_active_count",
        "_virtual_time",
        "_last_seq",
    )

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._subqueues: dict[_SubQueueKey, _SubQueue] = {}
        self._by_due: list[tuple[float, int, Ticket]] = []
        self._count_by_priority = [0] * PRIORITIES
        self._active_weight = 0.0
        self._active_count = 0
        self._virtual_time = 0.0
        self._last_seq = 0

    def __len__(self) -> int:
        return len(self._by_due)

    def __contains__(self, ticket: Ticket) -> bool:
        key = ticket.queue_key
        if key is None:
            return False
        index = bisect.bisect_left(self._by_due, (key[1], key[2]))
        return index < len(self._by_due) and self._by_due[index][2] is ticket

    def push(self, ticket: Ticket) -> None:
        """Adds a ticket.

        Raises:
            ValueError: The ticket is in a queue already.
        """
        if ticket.queue_key is not None:
            raise ValueError(f"ticket {ticket.request_id} is queued already")
        self._last_seq += 1
        key = (ticket.priority, ticket.due_at, self._last_seq)
        ticket.queue_key = key
        account = self._activate(ticket)
        weight_grew = ticket.weight > account.weight
        account.weight = ticket.weight
        self._active_weight += account.weight
        entry = (*key, ticket)
        bisect.insort(account.entries, entry)
        bisect.insort(self._by_due, (ticket.due_at, self._last_seq, ticket))
        self._count_by_priority[ticket.priority] += 1
        subqueue = self._subqueues.get(ticket.subqueue_key)
        if subqueue is None:
            subqueue = self._subqueues[ticket.subqueue_key] = _SubQueue()
        entries = subqueue.by_account.setdefault(ticket.account, [])
        bisect.insort(entries, entry)
        if entries[0] is entry:
            self._push_rank(subqueue, account, ticket.priority)
        if weight_grew:
            for other in self._subqueues.values():
                if account.name in other.by_account:
                    self._push_finish(other, account)
        elif len(entries) == 1:
            self._push_finish(subqueue, account)

    def remove(self, ticket: Ticket) -> bool:
        """Removes a ticket; returns whether it was queued."""
        if ticket not in self:
            return False
        key = ticket.queue_key
        ticket.queue_key = None
        account = self._accounts[ticket.account]
        del account.entries[bisect.bisect_left(account.entries, key)]
        index = bisect.bisect_left(self._by_due, (key[1], key[2]))
        del self._by_due[index]
        self._count_by_priority[ticket.priority] -= 1
        subqueue = self._subqueues[ticket.subqueue_key]
        entries = subqueue.by_account[ticket.account]
        del entries[bisect.bisect_left(entries, key)]
        if not entries:
            del subqueue.by_account[ticket.account]
            if not subqueue.by_account:
                del self._subqueues[ticket.subqueue_key]
        if not account.entries:
            self._deactivate(account)
        return True

    def serve(self, ticket: Ticket) -> None:
        """Removes a ticket and advances the virtual start of its account.

        Raises:
            ValueError: The ticket is not queued.
        """
        account = self._accounts[ticket.account]
        if not self.remove(ticket):
            raise ValueError(f"ticket {ticket.request_id} is not queued")
        self._virtual_time = max(self._virtual_time, account.virtual_start)
        account.virtual_start += 1.0 / ticket.weight

    def head(self, blocked: set[_SubQueueKey]) -> Ticket | None:
        """Returns the next ticket to serve, without the blocked subqueues."""
        subqueues = [v for k, v in self._subqueues.items() if k not in blocked]
        if not subqueues:
            return None
        (virtual_finish, name), subqueue = min(
            (
                (self._least_finish(subqueue), subqueue)
                for subqueue in subqueues
            ),
            key=lambda pair: pair[0],
        )
        if virtual_finish > self._virtual_time:
            (_, _, name), subqueue = min(
                (
                    (self._least_rank(subqueue), subqueue)
                    for subqueue in subqueues
                ),
                key=lambda pair: pair[0],
            )
        return subqueue.by_account[name][0][3]

    def expire(self, due_before: float) -> list[Ticket]:
        """Removes and returns the tickets that are due before this time."""
        expired = []
        while self._by_due and self._by_due[0][0] < due_before:
            ticket = self._by_due[0][2]
            self.remove(ticket)
            expired.append(ticket)
        return expired

    def one_per_subqueue(self) -> list[Ticket]:
        """Returns one ticket of each subqueue.

        It stands for the others of its subqueue, which have the same eligible
        upstreams.
        """
        return [
            next(iter(subqueue.by_account.values()))[0][3]
            for subqueue in self._subqueues.values()
        ]

    def remove_subqueue(self, key: _SubQueueKey) -> list[Ticket]:
        """Removes and returns all tickets of a subqueue, none if unknown."""
        subqueue = self._subqueues.get(key)
        if subqueue is None:
            return []
        tickets = [
            entry[3]
            for entries in subqueue.by_account.values()
            for entry in entries
        ]
        for ticket in tickets:
            self.remove(ticket)
        return tickets

    def next_due_at(self) -> float | None:
        """Returns the earliest due time, None for an empty queue."""
        return self._by_due[0][0] if self._by_due else None

    def count_ahead(self, ticket: Ticket) -> float:
        """Estimates how many queued tickets are served before a new one.

        It assumes that accounts are served by their weights, so it is not an
        integer.
        """
        urgent = sum(self._count_by_priority[: ticket.priority])
        equal = float(self._count_by_priority[ticket.priority])
        account = self._accounts.get(ticket.account)
        weights = self._active_weight
        account_ahead = account_equal = 0
        if account is None or not account.entries:
            weights += ticket.weight
        else:
            before_equal = (ticket.priority, -math.inf, 0)
            key = (ticket.priority, ticket.due_at, self._last_seq + 1)
            account_ahead = bisect.bisect_left(account.entries, key)
            account_equal = account_ahead - bisect.bisect_left(
                account.entries, before_equal
            )
        round_size = weights / ticket.weight
        by_priority = (account_equal + 1) * round_size - 1.0
        # An account behind its fair share is served before all priorities.
        by_fair_share = (account_ahead + 1) * round_size
        return min(urgent + max(0.0, min(equal, by_priority)), by_fair_share)

    def pick_victim(self, newcomer: Ticket) -> Ticket | None:
        """Returns the ticket that a full queue sheds for a new one.

        It is the last ticket of the account with the most tickets per weight,
        counting the newcomer. None means that the newcomer itself is refused.
        """
        newcomer_account = self._accounts.get(newcomer.account)
        queued = len(newcomer_account.entries) if newcomer_account else 0
        worst = newcomer_account
        worst_load = (queued + 1) / newcomer.weight
        for account in self._accounts.values():
            if account is newcomer_account or not account.entries:
                continue
            load = len(account.entries) / account.weight
            if load > worst_load:
                worst, worst_load = account, load
        if worst is None or not worst.entries:
            return None
        last = worst.entries[-1]
        if worst is newcomer_account and last[:2] <= (
            newcomer.priority,
            newcomer.due_at,
        ):
            return None
        return last[3]

    def _activate(self, ticket: Ticket) -> _Account:
        """Returns the ticket's account, ready for one more ticket.

        The account's old weight is taken out of the sum of active weights; the
        caller sets the new weight and adds it.
        """
        account = self._accounts.get(ticket.account)
        if account is None:
            self._drop_idle()
            account = self._accounts[ticket.account] = _Account(ticket.account)
        if account.entries:
            self._active_weight -= account.weight
        else:
            self._active_count += 1
            account.virtual_start = max(
                account.virtual_start, self._virtual_time
            )
        return account

    def _deactivate(self, account: _Account) -> None:
        self._active_count -= 1
        self._active_weight -= account.weight
        if self._active_count == 0:
            # Discards the rounding errors that additions have accumulated.
            self._active_weight = 0.0

    def _drop_idle(self) -> None:
        if len(self._accounts) - self._active_count < MAX_IDLE_ACCOUNTS:
            return
        # An idle account whose virtual start is in the past would start at the
        # current virtual time anyway. The others lose the record of service
        # that they have received in advance; this bounds the table.
        self._accounts = {
            name: account
            for name, account in self._accounts.items()
            if account.entries
        }

    def _push_rank(
        self, subqueue: _SubQueue, account: _Account, head_priority: int
    ) -> None:
        heapq.heappush(
            subqueue.by_rank,
            (head_priority, account.virtual_start, account.name),
        )
        if len(subqueue.by_rank) > 64 + 4 * len(subqueue.by_account):
            subqueue.by_rank = [
                (entries[0][0], self._accounts[name].virtual_start, name)
                for name, entries in subqueue.by_account.items()
            ]
            heapq.heapify(subqueue.by_rank)

    def _push_finish(self, subqueue: _SubQueue, account: _Account) -> None:
        heapq.heappush(
            subqueue.by_finish, (account.virtual_finish, account.name)
        )
        if len(subqueue.by_finish) > 64 + 4 * len(subqueue.by_account):
            subqueue.by_finish = [
                (self._accounts[name].virtual_finish, name)
                for name in subqueue.by_account
            ]
            heapq.heapify(subqueue.by_finish)

    def _least_finish(self, subqueue: _SubQueue) -> tuple[float, str]:
        heap = subqueue.by_finish
        while True:
            finish = heap[0]
            if finish[1] not in subqueue.by_account:
                heapq.heappop(heap)
                continue
            current = (self._accounts[finish[1]].virtual_finish, finish[1])
            if current == finish:
                return finish
            heapq.heapreplace(heap, current)

    def _least_rank(self, subqueue: _SubQueue) -> tuple[int, float, str]:
        heap = subqueue.by_rank
        while True:
            rank = heap[0]
            entries = subqueue.by_account.get(rank[2])
            if entries is None:
                heapq.heappop(heap)
                continue
            virtual_start = self._accounts[rank[2]].virtual_start
            current = (entries[0][0], virtual_start, rank[2])
            if current == rank:
                return rank
            # The entry is outdated: lower than the current rank, or left from
            # before the account was idle. The current rank replaces it.
            heapq.heapreplace(heap, current)
