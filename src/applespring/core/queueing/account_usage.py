"""What client accounts have used of a pool in the last seconds."""

import math
from collections import OrderedDict

# Time in which use loses half of its weight. An account that has sent many
# times its usual for some seconds is behind the others for as long.
USAGE_HALF_LIFE_S = 5.0
# The account that was served longest ago is forgotten beyond it; above the
# 1,800 accounts of the design scale.
ACCOUNTS_MAX = 2048


class AccountUsage:
    """Decayed use of one pool by client account."""

    __slots__ = ("_used",)

    def __init__(self) -> None:
        # Use and the time to which it has been decayed; served last is last.
        self._used: OrderedDict[str, tuple[float, float]] = OrderedDict()

    def add(self, account: str, cost: float, now: float) -> None:
        """Adds work that an account has got.

        Args:
            account: Name of the account.
            cost: The work, in the unit of `get`, such as pieces.
            now: Current time.
        """
        self._used[account] = (self.get(account, now) + cost, now)
        self._used.move_to_end(account)
        if len(self._used) > ACCOUNTS_MAX:
            self._used.popitem(last=False)

    def get(self, account: str, now: float) -> float:
        """Returns the decayed use of an account, 0 for an unknown one."""
        used, at = self._used.get(account, (0.0, now))
        return used * math.exp2(-(now - at) / USAGE_HALF_LIFE_S)
