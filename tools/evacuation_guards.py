"""The guards of evacuated failure domains, for `tools/run_guards.py`."""

from guard import Guard

EVACUATION = "evacuation"

EVACUATION_GUARDS = (
    Guard(
        "evacuation: no upstream of an evacuated domain is listed",
        "relay/state.py",
        "return [u for u in ready if not self.is_evacuated(u)]",
        "return ready",
        (EVACUATION, "All upstreams are evacuated"),
    ),
    Guard(
        "evacuation: check before the write",
        "relay/notice_recorder.py",
        "if self._state.is_evacuated(upstream):",
        "if False:",
        (EVACUATION, "Calls that are under way when the order arrives"),
    ),
    Guard(
        "evacuation: stages are not spent for an evacuated pool",
        "relay/streams.py",
        "        check_evacuations(\n"
        "            self._state, "
        "{step.pool for step in run.chain.steps.values()}\n"
        "        )\n",
        "",
        (EVACUATION, "All upstreams are evacuated -- @1.5"),
    ),
    Guard(
        "evacuation: no Retry-After that nothing supports",
        "relay/availability.py",
        "    if state.is_pool_evacuated(pool):\n"
        "        return _make_evacuation_refusal(state, pool)\n",
        "",
        (EVACUATION, "All upstreams are evacuated -- @1.1"),
    ),
    Guard(
        "evacuation: pieces that wait for an evacuated pool are returned",
        "relay/stage_scheduler.py",
        "if len(queue) and self._state.is_pool_evacuated(pool):",
        "if False:",
        (EVACUATION, "Pieces that wait when the last upstream is evacuated"),
    ),
    Guard(
        "evacuation: orders are fetched from peers",
        "relay/peer_sync.py",
        "            await self._fetch_evacuations(reachable)\n",
        "",
        (EVACUATION, "The store has trouble -- @1.2"),
    ),
    Guard(
        "evacuation: an instance that holds orders asks for their end",
        "relay/peer_sync.py",
        "is_unsure = bool(held) and self._watcher.registry_unreachable",
        "is_unsure = False",
        (EVACUATION, "The end of an order that no other instance remembers"),
    ),
    Guard(
        "evacuation: a change is told at once",
        "relay/evacuation.py",
        "        self._peers.hasten_heartbeat()\n",
        "",
        (EVACUATION, "An order spreads -- @1.7"),
    ),
    Guard(
        "evacuation: an older change is ignored",
        "core/evacuations.py",
        "if changed_at <= self.complete_at:",
        "if False:",
        (EVACUATION, "Which orders are in force"),
    ),
    Guard(
        "evacuation: an older set is ignored",
        "core/evacuations.py",
        "if revision < self.complete_at:",
        "if False:",
        (EVACUATION, "Which orders are in force"),
    ),
    Guard(
        "evacuation: an order newer than a set stays",
        "core/evacuations.py",
        "if domain in orders or given_at > revision:",
        "if domain in orders:",
        (EVACUATION, "Which orders are in force"),
    ),
    Guard(
        "evacuation: a copy does not end an order at once",
        "core/evacuations.py",
        "            if settling:\n                self._missing.add(domain)",
        "            if False:\n                self._missing.add(domain)",
        (EVACUATION, "A registry that comes back from a copy"),
    ),
    Guard(
        "evacuation: a copy does not bring an order back at once",
        "core/evacuations.py",
        "if settling and domain in self._ended:",
        "if False:",
        (EVACUATION, "A registry that comes back from a copy"),
    ),
    Guard(
        "evacuation: a bound on the orders",
        "core/evacuations.py",
        "if excess <= 0:",
        "if True:",
        (EVACUATION, "Orders are bounded in number"),
    ),
    Guard(
        "evacuation: orders are ordered by the era of the registry",
        "platform/registry.py",
        '        revision = join_era(era, int(item.get("revision", 0)))\n'
        "        yield EvacuationChange",
        '        revision = int(item.get("revision", 0))\n'
        "        yield EvacuationChange",
        (EVACUATION, "The store has trouble -- @1.8"),
    ),
)
