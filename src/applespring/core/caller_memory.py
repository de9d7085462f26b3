"""Memory that a process holds for its callers, and who yields when it is full.

Each request, and each answer that waits to be sent, has a holding. The holdings
together never exceed the capacity:

- A quarter of the capacity is for holdings of up to `SMALL_BYTES`, so that
  large ones never shut out ordinary requests.
- The holdings of one client account may take up to twice what is left free, and
  its large ones up to twice what is free for large ones. So one account alone
  gets two thirds, and there is always room for another one.
- What still grows, or waits for a client to read it, yields if it must: the
  holding with the most bytes times seconds goes first, as long as it has more
  than the one that asks. So a client that stops short of the end of its body
  yields to one that sends on, and a large holding to a small one. A small one
  never yields to a large one.
- What is complete does not yield, since its request may be running. If only
  that is left, the one that asks is refused.
"""

import enum
from collections import Counter
from collections.abc import Callable

from applespring.core.errors import ApplespringError

# An ordinary request, with what the process needs to forward it.
SMALL_BYTES = 160 * 1024
# Share of the capacity that only small holdings may use.
SMALL_SHARE = 0.25
# Multiple of the free capacity that the large holdings of an account may take.
ACCOUNT_MULTIPLE = 2.0


class MemoryFullError(ApplespringError):
    """A holding cannot grow."""


class HoldingState(enum.Enum):
    """Whether a holding can be taken back.

    OPEN: it may have to yield. COMPLETE: it stays until it is closed. YIELDED:
    it had to yield. CLOSED: it was closed.
    """

    OPEN = "open"
    COMPLETE = "complete"
    YIELDED = "yielded"
    CLOSED = "closed"


class Holding:
    """What is held for one request or answer.

    Attributes:
        account: Name of the client account, "" if it is not known, or None if
            the share of an account does not apply.
        size: Bytes held.
        largest: Most bytes that were held at a time.
        since: When it was opened.
        state: Whether it can be taken back.
    """

    __slots__ = (
        "account",
        "size",
        "largest",
        "since",
        "state",
        "_memory",
        "_on_yield",
    )

    def __init__(
        self,
        memory: "CallerMemory",
        account: str | None,
        now: float,
        on_yield: Callable[[], None],
    ) -> None:
        self.account = account
        self.size = self.largest = 0
        self.since = now
        self.state = HoldingState.OPEN
        self._memory = memory
        self._on_yield = on_yield

    @property
    def has_yielded(self) -> bool:
        """Whether it had to yield."""
        return self.state is HoldingState.YIELDED

    def grow(self, size: int, now: float) -> None:
        """Adds bytes; others may have to yield.

        Raises:
            MemoryFullError: There is no room, or it has yielded itself.
        """
        self._memory.grow(self, size, now)

    def shrink(self, size: int) -> None:
        """Takes bytes off that are held no more."""
        self._memory.shrink(self, size)

    def complete(self) -> None:
        """Records that it does not yield from now on."""
        if self.state is HoldingState.OPEN:
            self.state = HoldingState.COMPLETE

    def reopen(self, since: float, on_yield: Callable[[], None]) -> None:
        """Records that it may have to yield again.

        Args:
            since: From when on its time counts; it may lie ahead.
            on_yield: Called when it has to yield; see `CallerMemory.open`.
        """
        if self.state is HoldingState.COMPLETE:
            self.state = HoldingState.OPEN
            self.since = since
            self._on_yield = on_yield

    def close(self) -> None:
        """Gives all of it back."""
        self._memory.close(self)
        if not self.has_yielded:
            self.state = HoldingState.CLOSED

    def give_up(self) -> None:
        """Gives all of it back, since another holding needs the room."""
        self._memory.close(self)
        self.state = HoldingState.YIELDED
        self._on_yield()

    def cost(self, now: float, added: int = 0) -> tuple[float, int]:
        """Returns bytes times seconds, and bytes, with some added."""
        size = self.size + added
        return size * max(0.0, now - self.since), size


class CallerMemory:
    """The holdings of a process.

    Attributes:
        capacity: Most bytes that they hold together.
        used: Bytes that they hold.
        yielded: Number of holdings that had to yield.
        refused: Number of times that there was no room.
    """

    __slots__ = (
        "capacity",
        "used",
        "yielded",
        "refused",
        "_holdings",
        "_by_account",
        "_large_by_account",
    )

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.used = 0
        self.yielded = 0
        self.refused = 0
        self._holdings: set[Holding] = set()
        self._by_account: Counter[str] = Counter()
        self._large_by_account: Counter[str] = Counter()

    def open(
        self,
        account: str | None,
        now: float,
        on_yield: Callable[[], None],
    ) -> Holding:
        """Returns a new, empty holding.

        Args:
            account: Name of the client account, "" if it is not known, or None
                if the share of an account does not apply.
            now: Current time.
            on_yield: Called when it has to yield; must free what it stands for.
        """
        holding = Holding(self, account, now, on_yield)
        self._holdings.add(holding)
        return holding

    def grow(self, holding: Holding, size: int, now: float) -> None:
        """See `Holding.grow`."""
        if holding not in self._holdings:
            raise MemoryFullError("the memory was needed for other requests")
        while (shortage := self._find_shortage(holding, size)) is not None:
            victim = self._find_victim(
                holding, size, now, of_account=shortage.of_account
            )
            if victim is None:
                self.refused += 1
                raise MemoryFullError(shortage.detail)
            self.yielded += 1
            victim.give_up()
        self._resize(holding, holding.size + size)

    def shrink(self, holding: Holding, size: int) -> None:
        """See `Holding.shrink`."""
        if holding in self._holdings:
            self._resize(holding, max(0, holding.size - size))

    def close(self, holding: Holding) -> None:
        """See `Holding.close`."""
        if holding in self._holdings:
            self._resize(holding, 0)
            self._holdings.discard(holding)

    @property
    def _large_capacity(self) -> int:
        return int(self.capacity * (1.0 - SMALL_SHARE))

    def _find_shortage(self, holding: Holding, size: int) -> "_Shortage | None":
        """Returns what has no room for a growing holding, or None."""
        after = self.used + size
        grown = holding.size + size
        kind, limit, held_by = "", self.capacity, self._by_account
        added = size
        if grown > SMALL_BYTES:
            kind = f" above {SMALL_BYTES} bytes"
            limit, held_by = self._large_capacity, self._large_by_account
            added = grown - _large_part(holding.size)
        if after > limit:
            return _Shortage(
                f"{after} bytes would be held for callers; the limit for "
                f"requests{kind} is {limit}",
                of_account=False,
            )
        if holding.account is None:
            return None
        held = held_by[holding.account]
        share = int(ACCOUNT_MULTIPLE * (limit - after))
        if held + added <= share or not held:
            return None
        return _Shortage(
            f"{held + added} bytes would be held for requests{kind} of the "
            f'account "{holding.account}"; the limit is {share}',
            of_account=True,
        )

    def _find_victim(
        self, holding: Holding, size: int, now: float, *, of_account: bool
    ) -> Holding | None:
        """Returns the holding that yields, or None if it is the growing one.

        Args:
            holding: The growing one.
            size: Bytes by which it grows.
            now: Current time.
            of_account: Whether it has to be one of the same account.
        """
        worst, worst_cost = None, holding.cost(now, size)
        if holding.state is HoldingState.COMPLETE:
            # It grows by an answer, which is new.
            worst_cost = 0.0, holding.size + size
        is_large = holding.size + size > SMALL_BYTES
        for other in self._holdings:
            if other is holding or other.state is not HoldingState.OPEN:
                continue
            if is_large and other.size <= SMALL_BYTES:
                continue
            if of_account and other.account != holding.account:
                continue
            cost = other.cost(now)
            if cost > worst_cost:
                worst, worst_cost = other, cost
        return worst

    def _resize(self, holding: Holding, size: int) -> None:
        self.used += size - holding.size
        account = holding.account
        if account is not None:
            large = _large_part(size) - _large_part(holding.size)
            for held, change in (
                (self._by_account, size - holding.size),
                (self._large_by_account, large),
            ):
                held[account] += change
                if not held[account]:
                    del held[account]
        holding.size = size
        holding.largest = max(holding.largest, size)


class _Shortage:
    """Why a holding cannot grow.

    Attributes:
        detail: The limit and what would be held.
        of_account: Whether it is the share of the account.
    """

    __slots__ = ("detail", "of_account")

    def __init__(self, detail: str, *, of_account: bool) -> None:
        self.detail = detail
        self.of_account = of_account


def _large_part(size: int) -> int:
    return size if size > SMALL_BYTES else 0
