"""The guards of homes, for `tools/run_guards.py`."""

from guard import Guard

HOMES = "relay_homes"
PATHS = "Work stays in the homes"

HOME_GUARDS = (
    Guard(
        "homes: upstreams outside of them",
        "relay/state.py",
        "if self._allows(u.failure_domain, regions)",
        "if True",
        (HOMES, PATHS),
        (HOMES, "A failed attempt is repeated"),
        (HOMES, "A prefix is fetched"),
        (HOMES, "No upstream in the homes"),
    ),
    Guard(
        "homes: those of the account",
        "core/homes.py",
        "return intersect(route.homes or None, account_homes or None)",
        "return route.homes or None",
        (HOMES, PATHS),
    ),
    Guard(
        "homes: those of the route",
        "core/homes.py",
        "return intersect(route.homes or None, account_homes or None)",
        "return account_homes or None",
        (HOMES, PATHS),
    ),
    Guard(
        "homes: instances that get the pieces",
        "relay/state.py",
        "if regions is not None:\n            return self._rank",
        "if False:\n            return self._rank",
        (HOMES, PATHS),
    ),
    Guard(
        "homes: upstreams of a call",
        "core/batch.py",
        "if piece.regions is not None and not self._homes.allows(",
        "if False and not self._homes.allows(",
        (HOMES, "Pieces of requests with different homes"),
        (HOMES, "A document changes the homes"),
    ),
    Guard(
        "homes: memory for the results of a stage",
        "core/batch.py",
        "left = min(left, self._unreserved_bytes(now, piece.regions))",
        "pass",
        (HOMES, "A stage waits until the memory"),
    ),
    Guard(
        "homes: a newer document",
        "relay/exchange.py",
        "if newest is not None and newest is not self.document:",
        "if False:",
        (HOMES, "A document moves the homes"),
    ),
    Guard(
        "homes: pieces that wait when a document changes them",
        "relay/stage_submitter.py",
        "if not is_within(run.regions, run.read_regions()):",
        "if False:",
        (HOMES, "A document moves the homes"),
    ),
    Guard(
        "homes: stages without an upstream there",
        "relay/stage_submitter.py",
        "        self._check_homes(run)\n        self._check_queue_waits(run)",
        "        self._check_queue_waits(run)",
        (HOMES, "No upstream in the homes"),
    ),
    Guard(
        "homes: a failure domain of unknown region",
        "core/homes.py",
        "return region in regions",
        "return region is None or region in regions",
        (HOMES, "The region of a failure domain"),
    ),
    Guard(
        "homes: pieces whose last upstream has left",
        "core/batch.py",
        "if p.regions is not None and not self.has_upstream_in(p.regions)",
        "if False",
        (HOMES, "The last upstream in the homes leaves"),
    ),
)
