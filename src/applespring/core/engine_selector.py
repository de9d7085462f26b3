"""Choice of an engine by cached prompt parts, load and location of inputs.

A prompt prefix has a home engine, chosen by rendezvous hashing, to which all
instances send requests with that prefix as long as its load allows.
"""

import math
from collections import OrderedDict
from collections.abc import Mapping, Sequence

from applespring.core.catalog import ListedUpstream
from applespring.core.choice.even import choice_count, draw
from applespring.core.engines.learned import LearnedEngines
from applespring.core.engines.stream_cost import StreamCost
from applespring.core.pause import FailurePause
from applespring.core.placement import rank

# Cost of each running request at an engine, since it lengthens the decoding
# steps. Like all costs here, it is in seconds of delay of a first token.
RUNNING_REQUEST_S = 0.004
# Cost of moving a byte of results between failure domains, as time: a result of
# 3 MB costs as much as a delay of 60 ms.
CROSS_DOMAIN_S_PER_BYTE = 2e-8
# Cost of each shared token that is not cached, beside the time to read it: an
# engine that reads what another one has cached has less memory and time for
# all other requests.
CACHE_MISS_S_PER_TOKEN = 3e-5
# An engine fetches a prefix from another one if it saves reading at least this
# many tokens. Reading a thousand takes 18 ms, and a transfer has a setup cost.
FETCH_TOKENS_MIN = 1000
# Older loads from gossip are ignored.
LOAD_MAX_AGE_S = 1.5
# Prompt parts that are remembered for each engine; the least recently sent ones
# are evicted.
PROMPT_PARTS_MAX = 4000
# An engine that has requests but made no progress on any of them for this time
# is avoided.
NO_PROGRESS_S = 1.5
# Engines that are compared for a request by learned costs, beside its home.
COMPARED_MAX = 24
# Multiple of the mean error by which an estimate may be too high.
ERROR_MULTIPLE = 3.0
# Pause after a failure, doubled with each further failure in a row.
FAILED_PAUSE_S = 0.5
FAILED_PAUSE_MAX_S = 8.0


class _EngineLoad:
    """Requests of this instance at one engine, its pause and cached parts."""

    __slots__ = (
        "requests",
        "unread_tokens",
        "last_progress_at",
        "event_at",
        "pause",
        "parts",
    )

    def __init__(self, now: float) -> None:
        self.requests = 0
        self.unread_tokens = 0
        self.last_progress_at = now
        self.event_at = -math.inf
        self.pause = FailurePause(FAILED_PAUSE_S, FAILED_PAUSE_MAX_S)
        self.parts: OrderedDict[str, None] = OrderedDict()


class EngineSelector:
    """Tracks load, health and cached prompt parts of engines.

    Attributes:
        learned: Learned costs and speeds, by which engines are then chosen, or
            None.
    """

    __slots__ = ("learned", "_engines", "_peer_loads")

    def __init__(self, learned: LearnedEngines | None = None) -> None:
        self.learned = learned
        self._engines: dict[str, _EngineLoad] = {}
        self._peer_loads: dict[
            str, tuple[float, dict[str, tuple[int, int]]]
        ] = {}

    def record_peer_loads(
        self, sender: str, loads: Mapping[str, tuple[int, int]], now: float
    ) -> None:
        """Replaces the load that another instance puts on the engines.

        Args:
            sender: Name of the instance.
            loads: Requests and unread prompt tokens by engine.
            now: Current time.
        """
        self._peer_loads[sender] = (now, dict(loads))

    def local_loads(self) -> dict[str, tuple[int, int]]:
        """Returns the load that this instance puts on the engines.

        Engines without requests are left out.

        Returns:
            Requests and unread prompt tokens by engine.
        """
        return {
            name: (engine.requests, engine.unread_tokens)
            for name, engine in self._engines.items()
            if engine.requests
        }

    def remove(self, name: str) -> None:
        """Discards the state of a removed engine unless it has requests."""
        if self.learned is not None:
            self.learned.forget(name)
        engine = self._engines.get(name)
        if engine is not None and not engine.requests:
            del self._engines[name]

    def restart(self, name: str, now: float) -> None:
        """Discards what was learned of an engine before it was restarted.

        Its requests end one after the other.
        """
        engine = self._engines.get(name)
        if engine is not None:
            requests = engine.requests
            engine = self._engines[name] = _EngineLoad(now)
            engine.requests = requests

    def start_request(
        self, name: str, parts: Sequence[str], unread: int, now: float
    ) -> None:
        """Counts a request sent to an engine, which caches its prompt.

        Args:
            name: The engine.
            parts: Names of the parts of the prompt, in order.
            unread: Prompt tokens that the engine has to read.
            now: Current time.
        """
        engine = self._find_or_add(name, now)
        if not engine.requests:
            engine.last_progress_at = now
        engine.requests += 1
        engine.unread_tokens += unread
        for part in parts:
            engine.parts[part] = None
            engine.parts.move_to_end(part)
        while len(engine.parts) > PROMPT_PARTS_MAX:
            engine.parts.popitem(last=False)

    def record_prompt_read(self, name: str, unread: int, now: float) -> None:
        """Records that an engine has read the prompt of a request.

        Args:
            name: The engine.
            unread: Prompt tokens given to `start_request`.
            now: Current time.
        """
        engine = self._find_or_add(name, now)
        engine.unread_tokens = max(0, engine.unread_tokens - unread)
        engine.last_progress_at = now

    def record_progress(self, name: str, now: float) -> None:
        """Records that an engine sent an event of a stream."""
        engine = self._find_or_add(name, now)
        engine.last_progress_at = now
        engine.event_at = now

    def discard_unread_prompt(self, name: str, unread: int, now: float) -> None:
        """Removes a prompt that an engine did not read from its load.

        Args:
            name: The engine.
            unread: Prompt tokens given to `start_request`.
            now: Current time.
        """
        engine = self._find_or_add(name, now)
        engine.unread_tokens = max(0, engine.unread_tokens - unread)

    def end_request(
        self, name: str, now: float, *, failed: bool, answered: bool = True
    ) -> None:
        """Removes an ended request from the load of an engine.

        Args:
            name: The engine.
            now: Current time.
            failed: Whether it failed by a fault of the engine, which is then
                paused.
            answered: Whether the engine sent anything. The end of a request
                whose caller left before shows nothing about its engine.
        """
        engine = self._find_or_add(name, now)
        engine.requests = max(0, engine.requests - 1)
        if not engine.requests:
            engine.unread_tokens = 0
        if failed:
            engine.pause.fail(now)
        elif answered:
            engine.pause.succeed()
            engine.last_progress_at = now

    def home(
        self, upstreams: Sequence[ListedUpstream], subject: str, now: float
    ) -> ListedUpstream | None:
        """Returns the home engine of a prompt prefix, or None without any.

        It is the first available engine in the prefix's rendezvous order, which
        is the same for all instances.
        """
        usable = [u for u in upstreams if self.is_available(u.name, now)]
        names = rank(f"prefix\x1f{subject}", [u.name for u in usable])
        by_name = {u.name: u for u in usable}
        return by_name[names[0]] if names else None

    def choose(
        self,
        upstreams: Sequence[ListedUpstream],
        *,
        subject: str,
        parts: Sequence[tuple[str, int]],
        inputs: Mapping[str, float],
        tokens_per_s: float,
        now: float,
        cost: StreamCost | None = None,
        instances: int = 1,
        seed: int = 0,
    ) -> ListedUpstream | None:
        """Returns the engine with the least cost for a request, or None.

        If no engine is available, all are considered. With learned costs, a
        part of them is compared with the home engine, see `choice.even`.

        Args:
            upstreams: Engines that accept new work.
            subject: Name of the shared prefix.
            parts: Names of the parts of the prompt with their number of tokens,
                in order. The last part is not shared with other requests.
            inputs: Bytes of stage results by failure domain.
            tokens_per_s: Prompt tokens that an engine reads in a second.
            now: Current time.
            cost: Estimated cost of the request if it is to be chosen by learned
                costs.
            instances: Number of instances that send requests to the engines.
            seed: Number that differs by instance and request.
        """
        available = [u for u in upstreams if self.is_available(u.name, now)]
        home = self.home(upstreams, subject, now)
        if self.learned is not None and cost is not None:
            available = available or list(upstreams)
            count = choice_count(len(available), instances)
            compared = draw(available, min(count, COMPARED_MAX), seed)
            if home is not None and home not in compared:
                compared.append(home)
            costs = self._learned_costs(compared, home, parts, cost, now)
            return min(
                compared,
                key=lambda u: costs[u.name] + _cross_domain_s(u, inputs),
                default=None,
            )
        best, best_cost = None, math.inf
        for upstream in available or upstreams:
            fixed_cost = self._cost(
                upstream, home, parts, inputs, tokens_per_s, now
            )
            if fixed_cost < best_cost:
                best, best_cost = upstream, fixed_cost
        return best

    def earliest_first_event_s(
        self,
        upstreams: Sequence[ListedUpstream],
        *,
        subject: str,
        parts: Sequence[tuple[str, int]],
        cost: StreamCost,
        now: float,
    ) -> float:
        """Returns the least time to a first event at any engine.

        It is a low estimate: that of `LearnedEngines` less its usual error, and
        0 until that is measured.

        Args:
            upstreams: Engines that accept new work.
            subject: Name of the shared prefix.
            parts: See `choose`.
            cost: Estimated cost of the request.
            now: Current time.
        """
        speed = self.learned.speed(cost.pool)
        if not speed.is_measured or not upstreams:
            return 0.0
        home = self.home(upstreams, subject, now)
        totals = self.learned.totals(cost.pool, now)
        earliest_s = min(
            self.learned.first_event_s(
                upstream,
                self._count_unread(upstream, home, parts, now)[0],
                cost,
                totals,
                now,
            )
            for upstream in upstreams
        )
        return earliest_s / (1.0 + ERROR_MULTIPLE * speed.error)

    def _learned_costs(
        self,
        upstreams: Sequence[ListedUpstream],
        home: ListedUpstream | None,
        parts: Sequence[tuple[str, int]],
        cost: StreamCost,
        now: float,
    ) -> dict[str, float]:
        """Returns learned costs of a request by engine, without its inputs."""
        totals = self.learned.totals(cost.pool, now)
        costs = {}
        for upstream in upstreams:
            unread, missed = self._count_unread(upstream, home, parts, now)
            costs[upstream.name] = (
                self.learned.first_event_s(upstream, unread, cost, totals, now)
                + missed * CACHE_MISS_S_PER_TOKEN
            )
        return costs

    def prefix_source(
        self,
        upstreams: Sequence[ListedUpstream],
        target: ListedUpstream,
        *,
        subject: str,
        parts: Sequence[tuple[str, int]],
        now: float,
    ) -> ListedUpstream | None:
        """Returns the engine from which another one may fetch a prefix.

        That is an engine to which this instance sent the prefix, else the home
        engine of the prefix, to which other instances sent it. None is returned
        if fetching saves too few tokens or no such engine is available.

        Args:
            upstreams: Engines that accept new work.
            target: The engine that gets the request.
            subject: Name of the shared prefix.
            parts: Names of the parts of the prompt with their number of tokens,
                in order.
            now: Current time.
        """
        fetch_unread_max = (
            self.unread_prompt_tokens(target.name, parts, now)
            - FETCH_TOKENS_MIN
        )
        unshared_tokens = parts[-1][1] if parts else 0
        if fetch_unread_max < unshared_tokens:
            return None
        available = [
            upstream
            for upstream in upstreams
            if upstream.name != target.name
            and self.is_available(upstream.name, now)
        ]
        unread = {
            u.name: self.unread_prompt_tokens(u.name, parts, now)
            for u in available
        }
        if self.learned is not None:
            # A fetch is work for its engine, and as slow as the engine.
            available = self.learned.leave_out_busy(available, now)
        holder = min(available, key=lambda u: unread[u.name], default=None)
        if holder is not None and unread[holder.name] <= fetch_unread_max:
            return holder
        home = self.home(upstreams, subject, now)
        return home if home in available else None

    def unread_prompt_tokens(
        self, name: str, parts: Sequence[tuple[str, int]], now: float
    ) -> int:
        """Returns how many tokens of a prompt an engine has not cached.

        An engine can use cached parts only up to the first one that it lacks.
        """
        cached = self._find_or_add(name, now).parts
        total = 0
        hit = True
        for part, tokens in parts:
            hit = hit and part in cached
            if not hit:
                total += tokens
        return total

    def _cost(
        self,
        upstream: ListedUpstream,
        home: ListedUpstream | None,
        parts: Sequence[tuple[str, int]],
        inputs: Mapping[str, float],
        tokens_per_s: float,
        now: float,
    ) -> float:
        unread, missed_tokens = self._count_unread(upstream, home, parts, now)
        requests, engine_unread = self._load(upstream.name, now)
        return (
            (engine_unread + unread) / tokens_per_s
            + missed_tokens * CACHE_MISS_S_PER_TOKEN
            + requests * RUNNING_REQUEST_S
            + _cross_domain_s(upstream, inputs)
        )

    def _count_unread(
        self,
        upstream: ListedUpstream,
        home: ListedUpstream | None,
        parts: Sequence[tuple[str, int]],
        now: float,
    ) -> tuple[int, int]:
        """Returns how many tokens an engine would read of a prompt.

        Returns:
            The tokens that it reads, and the shared ones among them.
        """
        unshared_tokens = parts[-1][1] if parts else 0
        if home is not None and upstream.name == home.name:
            # It has the prefix cached, since other instances send it here too.
            unread = unshared_tokens
        else:
            unread = self.unread_prompt_tokens(upstream.name, parts, now)
        return unread, max(0, unread - unshared_tokens)

    def _load(self, name: str, now: float) -> tuple[int, int]:
        engine = self._engines.get(name)
        requests = engine.requests if engine else 0
        unread = engine.unread_tokens if engine else 0
        for received_at, loads in self._peer_loads.values():
            if now - received_at <= LOAD_MAX_AGE_S and name in loads:
                requests += loads[name][0]
                unread += loads[name][1]
        return requests, unread

    def is_silent(self, name: str, for_s: float, now: float) -> bool:
        """Returns whether an engine made no progress on any request.

        Args:
            name: The engine.
            for_s: For how long, in seconds.
            now: Current time.
        """
        engine = self._engines.get(name)
        return engine is None or now - engine.last_progress_at >= for_s

    def find_least_loaded(
        self, upstreams: Sequence[ListedUpstream], now: float
    ) -> ListedUpstream | None:
        """Returns the available engine with the fewest requests, or None."""
        available = [u for u in upstreams if self.is_available(u.name, now)]
        return min(
            available or upstreams,
            key=lambda upstream: self._load(upstream.name, now),
            default=None,
        )

    def is_available(self, name: str, now: float) -> bool:
        """Returns whether an engine is neither paused nor without progress."""
        engine = self._engines.get(name)
        if engine is None:
            return True
        if now < engine.pause.until:
            return False
        stalled = now - engine.last_progress_at > NO_PROGRESS_S
        return not (engine.requests and stalled)

    def _find_or_add(self, name: str, now: float) -> _EngineLoad:
        engine = self._engines.get(name)
        if engine is None:
            engine = self._engines[name] = _EngineLoad(now)
        return engine


def _cross_domain_s(
    upstream: ListedUpstream, inputs: Mapping[str, float]
) -> float:
    """Returns the cost of moving results to an engine's failure domain."""
    size = sum(
        size
        for domain, size in inputs.items()
        if domain != upstream.failure_domain
    )
    return size * CROSS_DOMAIN_S_PER_BYTE
