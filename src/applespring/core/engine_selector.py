"""Choice of an engine by what it holds, its load and where its inputs are."""

import math
from collections import OrderedDict
from collections.abc import Mapping, Sequence

from applespring.core.catalog import ListedUpstream
from applespring.core.pause import FailurePause
from applespring.core.placement import rank

# Prompt tokens that an engine reads in a second; the engines of the two sites
# read 54,600 and 63,900 (users' sheets).
PREFILL_TOKENS_PER_S = 55_000.0
# What a running request adds to the time of a step, relative to a first token.
RUNNING_REQUEST_S = 0.004
# What it is worth to keep a byte of results in its failure domain, as time:
# a result of 3 MB counts like 60 ms.
CROSS_DOMAIN_S_PER_BYTE = 2e-8
# What reading a shared token again costs beside its time: engines that read
# what another one holds have less memory and time for everyone else.
CACHE_MISS_S_PER_TOKEN = 3e-5
# Shared tokens that an engine lacks from which on it fetches them: reading a
# thousand takes 18 ms, and a transfer has to be set up.
FETCH_TOKENS_MIN = 1000
# Gossip about load older than this is ignored.
LOAD_MAX_AGE_S = 1.5
# Prompt parts remembered for each engine.
PROMPT_PARTS_MAX = 4000
# An engine with requests but without any progress for this time is avoided.
NO_PROGRESS_S = 1.5
# Pause after a failure, doubled with each further one.
FAILED_PAUSE_S = 0.5
FAILED_PAUSE_MAX_S = 8.0


class _EngineState:
    """What this instance knows of one engine."""

    __slots__ = (
        "requests",
        "unread_tokens",
        "last_progress_at",
        "pause",
        "parts",
    )

    def __init__(self, now: float) -> None:
        self.requests = 0
        self.unread_tokens = 0
        self.last_progress_at = now
        self.pause = FailurePause(FAILED_PAUSE_S, FAILED_PAUSE_MAX_S)
        self.parts: OrderedDict[str, None] = OrderedDict()


class EngineSelector:
    """Load, health and cached prompt parts of the engines."""

    __slots__ = ("_engines", "_peer_loads")

    def __init__(self) -> None:
        self._engines: dict[str, _EngineState] = {}
        self._peer_loads: dict[
            str, tuple[float, dict[str, tuple[int, int]]]
        ] = {}

    def record_peer_loads(
        self, sender: str, loads: Mapping[str, tuple[int, int]], now: float
    ) -> None:
        """Takes what another instance has at the engines.

        Args:
            sender: Name of the instance.
            loads: Requests and unread prompt tokens by engine.
            now: Current time.
        """
        self._peer_loads[sender] = (now, dict(loads))

    def local_loads(self) -> dict[str, tuple[int, int]]:
        """Returns this instance's requests and unread tokens by engine."""
        return {
            name: (engine.requests, engine.unread_tokens)
            for name, engine in self._engines.items()
            if engine.requests
        }

    def remove(self, name: str) -> None:
        """Drops an engine that is gone."""
        engine = self._engines.get(name)
        if engine is not None and not engine.requests:
            del self._engines[name]

    def start_request(
        self, name: str, parts: Sequence[str], unread: int, now: float
    ) -> None:
        """Notes a request sent to an engine."""
        engine = self._engine_state(name, now)
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
        """Notes that the prompt of a request has been read."""
        engine = self._engine_state(name, now)
        engine.unread_tokens = max(0, engine.unread_tokens - unread)
        engine.last_progress_at = now

    def record_progress(self, name: str, now: float) -> None:
        """Notes an event of a stream."""
        self._engine_state(name, now).last_progress_at = now

    def end_request(self, name: str, now: float, *, failed: bool) -> None:
        """Notes the end of a request; `failed` is the engine's fault."""
        engine = self._engine_state(name, now)
        engine.requests = max(0, engine.requests - 1)
        if not engine.requests:
            engine.unread_tokens = 0
        if failed:
            engine.pause.fail(now)
        else:
            engine.pause.succeed()
            engine.last_progress_at = now

    def home(
        self, upstreams: Sequence[ListedUpstream], subject: str, now: float
    ) -> ListedUpstream | None:
        """Returns the engine that should hold a prompt prefix."""
        usable = [u for u in upstreams if self._is_available(u.name, now)]
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
        now: float,
    ) -> ListedUpstream | None:
        """Returns the engine to send a request to, or None without any.

        Args:
            upstreams: Engines that take new work.
            subject: What names the shared prefix.
            parts: Parts of the prompt with their tokens, in order.
            inputs: Bytes of stage results by failure domain.
            now: Current time.
        """
        available = [u for u in upstreams if self._is_available(u.name, now)]
        home = self.home(upstreams, subject, now)
        best, best_cost = None, math.inf
        for upstream in available or upstreams:
            cost = self._cost(upstream, home, parts, inputs, now)
            if cost < best_cost:
                best, best_cost = upstream, cost
        return best

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

        That is one to which this instance has sent the prefix, else its home,
        to which other instances have.

        Args:
            upstreams: Engines that take new work.
            target: The engine that gets the request.
            subject: What names the shared prefix.
            parts: Parts of the prompt with their tokens, in order.
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
            and self._is_available(upstream.name, now)
        ]
        unread = {
            u.name: self.unread_prompt_tokens(u.name, parts, now)
            for u in available
        }
        holder = min(available, key=lambda u: unread[u.name], default=None)
        if holder is not None and unread[holder.name] <= fetch_unread_max:
            return holder
        home = self.home(upstreams, subject, now)
        return home if home in available else None

    def unread_prompt_tokens(
        self, name: str, parts: Sequence[tuple[str, int]], now: float
    ) -> int:
        """Returns the prompt tokens that an engine has to read."""
        held = self._engine_state(name, now).parts
        total = 0
        hit = True
        for part, tokens in parts:
            hit = hit and part in held
            if not hit:
                total += tokens
        return total

    def _cost(
        self,
        upstream: ListedUpstream,
        home: ListedUpstream | None,
        parts: Sequence[tuple[str, int]],
        inputs: Mapping[str, float],
        now: float,
    ) -> float:
        name = upstream.name
        unshared_tokens = parts[-1][1] if parts else 0
        if home is not None and name == home.name:
            # Other instances send the same prefix here.
            unread = unshared_tokens
        else:
            unread = self.unread_prompt_tokens(name, parts, now)
        missed_tokens = max(0, unread - unshared_tokens)
        requests, waiting_tokens = self._load(name, now)
        cross_domain_bytes = sum(
            size
            for domain, size in inputs.items()
            if domain != upstream.failure_domain
        )
        return (
            (waiting_tokens + unread) / PREFILL_TOKENS_PER_S
            + missed_tokens * CACHE_MISS_S_PER_TOKEN
            + requests * RUNNING_REQUEST_S
            + cross_domain_bytes * CROSS_DOMAIN_S_PER_BYTE
        )

    def _load(self, name: str, now: float) -> tuple[int, int]:
        engine = self._engines.get(name)
        requests = engine.requests if engine else 0
        unread = engine.unread_tokens if engine else 0
        for received_at, loads in self._peer_loads.values():
            if now - received_at <= LOAD_MAX_AGE_S and name in loads:
                requests += loads[name][0]
                unread += loads[name][1]
        return requests, unread

    def _is_available(self, name: str, now: float) -> bool:
        engine = self._engines.get(name)
        if engine is None:
            return True
        if now < engine.pause.until:
            return False
        stalled = now - engine.last_progress_at > NO_PROGRESS_S
        return not (engine.requests and stalled)

    def _engine_state(self, name: str, now: float) -> _EngineState:
        engine = self._engines.get(name)
        if engine is None:
            engine = self._engines[name] = _EngineState(now)
        return engine
