"""The measured fleet: engines that run at a reduced rate and count tokens."""

from collections import Counter
from collections.abc import AsyncIterator
from typing import Any

import orjson

from applespring.core.fleet import Pool, StageKind, Upstream
from bench.site import FIRST_TOKEN_S, TOKENS_PER_S
from standins.engine import Engine
from standins.fleet import VirtualFleet
from standins.service import Service

KEYS_PER_CALL = 100


class CountingEngine(Engine):
    """An engine that counts the tokens it generates for each request."""

    def __init__(self, name: str, **options: Any) -> None:
        super().__init__(name, **options)
        self.tokens: Counter[str] = Counter()

    async def _generate(
        self, call: dict[str, Any], *args: Any
    ) -> AsyncIterator[dict[str, Any]]:
        async for event in super()._generate(call, *args):
            self.tokens[call["request_id"]] += 1
            yield event


class BenchFleet(VirtualFleet):
    """A virtual fleet with the engines of a scaled site; see `bench.site`."""

    def make_upstream(self, pool: Pool, upstream: Upstream) -> Engine | Service:
        """Returns the stand-in for an upstream of a pool."""
        if pool.kind is not StageKind.GENERATE:
            return super().make_upstream(pool, upstream)
        return CountingEngine(
            upstream.name,
            slots=upstream.slots,
            tokens_per_s=TOKENS_PER_S,
            first_token_s=FIRST_TOKEN_S,
            load_lag_s=self.load_lag_s,
            checks_fence=pool.fencing,
            model=pool.model,
            version=pool.version,
            effect=pool.effect,
        )

    async def issue_keys(self, via: str, count: int) -> list[str]:
        """Returns idempotency keys issued by an entry instance, their owner."""
        keys: list[str] = []
        while len(keys) < count:
            resp = await self.caller.post(
                f"http://{self.entries[via].address}/v1/keys",
                content=orjson.dumps({"count": KEYS_PER_CALL}),
            )
            keys += resp.json()["keys"]
        return keys

    def count_tokens(self) -> Counter[str]:
        """Returns the tokens generated for each caller's request id."""
        total: Counter[str] = Counter()
        for app in self.upstreams.values():
            if isinstance(app, CountingEngine):
                for run_id, count in app.tokens.items():
                    total[caller_request_id(run_id)] += count
        return total


def caller_request_id(run_id: str) -> str:
    """Returns the caller's request id of a stage call's id.

    The latter appends `~` and a suffix.
    """
    return run_id.rpartition("~")[0]
