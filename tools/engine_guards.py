"""The guards of the choice of engines, for `tools/run_guards.py`."""

from guard import Guard

COST = "engine_cost"

ENGINE_GUARDS = (
    Guard(
        "engines: a fixed choice stays as it was",
        "core/engine_selector.py",
        "RUNNING_REQUEST_S = 0.004",
        "RUNNING_REQUEST_S = 0.008",
        (COST, "The fixed choice decides as before"),
    ),
    Guard(
        "engines: the figure that tells the length of an answer is found out",
        "core/engines/answer_lengths.py",
        "if value and figure.count > 1 and figure.error < best.error:",
        "if value and figure.count > 1:",
        (COST, "The length of an answer is learned"),
    ),
    Guard(
        "engines: the speed of a pool is learned without that of its engines",
        "core/engines/learned.py",
        "(now - stream.sent_at) / self.slowness(stream.identity, now),",
        "now - stream.sent_at,",
        (COST, "The speed of a pool is learned"),
    ),
    Guard(
        "engines: expected times count what the engine had to read",
        "core/engines/learned.py",
        "work.left_tokens(now, token_s) + peers.tokens + unread,",
        "1_000,",
        (COST, "A slow engine is told from one"),
    ),
    Guard(
        "engines: memory that a request does not find costs time",
        "core/engines/learned.py",
        "if excess > 0.0:",
        "if False:",
        (COST, "memory would not hold the request"),
    ),
    Guard(
        "engines: rows of a message go to all engines in turn",
        "core/engines/learned.py",
        "        self._messages += 1\n",
        "",
        (COST, "told in turn"),
    ),
    Guard(
        "engines: news loses its weight with its age",
        "core/engines/peer_work.py",
        "unread = math.exp(-age_s / read_after_s)",
        "unread = 1.0",
        (COST, "counts less with its age"),
    ),
    Guard(
        "engines: a slow engine is not the source of a prefix",
        "core/engines/learned.py",
        "if self.slowness(u.identity, now) <= SOURCE_SLOWNESS_MAX",
        "if True",
        (COST, "is not the source of a prefix"),
    ),
    Guard(
        "engines: a request that can't begin in time is refused at once",
        "relay/engine_costs.py",
        "if excess_s <= 0.0:",
        "if True:",
        (COST, "is refused at once"),
    ),
    Guard(
        "engines: the slowness of an engine counts in the choice",
        "core/engines/learned.py",
        "        own = self._own.slowness(identity, now)\n",
        "        own = 1.0\n",
        (COST, "A slowed engine gets fewer requests"),
    ),
)
