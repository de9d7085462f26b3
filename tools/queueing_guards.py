"""The guards of the order of service, for `tools/run_guards.py`."""

from guard import Guard

ORDER = "service_order"
PATH = "core/queueing/service_order.py"

QUEUEING_GUARDS = (
    Guard(
        "order: the urgent keep their place without room for all",
        PATH,
        "if min(room[slot:]) < count and not siblings[0].opened:",
        "if count < 0:",
        (ORDER, "Without room for all, the less urgent route yields"),
    ),
    Guard(
        "order: accounts that have used least go first",
        PATH,
        "            usage[piece.account],\n            piece.target_at,",
        "            0.0,\n            piece.target_at,",
        (ORDER, "An account with six times its usual"),
    ),
    Guard(
        "order: targets decide while all can be on time",
        PATH,
        "        if id(piece) in fitting:",
        "        if False:",
        (ORDER, "A route with a short target is on time"),
    ),
    Guard(
        "order: late pieces go before those with time to spare",
        PATH,
        "            step = LATE_STEP",
        "            step = 1000",
        (ORDER, "A late piece waits for those that are due"),
    ),
    Guard(
        "order: by priority unless the settings name another",
        PATH,
        'DEFAULT_ORDER = "priority"',
        'DEFAULT_ORDER = "deadline"',
        (ORDER, "Without a setting pieces are ordered by priority"),
    ),
    Guard(
        "order: a distant target does not widen the slots of the others",
        PATH,
        "slot_s = min(view.call_s, max(view.call_s, latest) / SLOTS)",
        "slot_s = max(view.call_s, latest) / SLOTS",
        (ORDER, "A piece with a distant target"),
    ),
    Guard(
        "order: a route is expected to take no longer than its pool",
        "core/first_event.py",
        "return min(self.run_s, mean_s + ROUTE_DEVIATIONS * deviation_s)",
        "return mean_s + ROUTE_DEVIATIONS * deviation_s",
        (ORDER, "The first event of a route"),
    ),
    Guard(
        "order: refused calls are not charged to an account",
        "core/batch.py",
        "                self._usage.add(piece.account, -1.0, now)",
        "                pass",
        (ORDER, "An upstream that refuses costs"),
    ),
)
