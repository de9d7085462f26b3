"""Seeded random arrivals of an open-loop load."""

import random
import uuid
from collections.abc import Iterator
from typing import Any

from applespring.core.fleet import StageKind
from applespring.load.workload import Workload

ONCE = ""
SAME_TIME = "same_time"
AFTER_FAILURE = "after_failure"
_FILLER_CHARACTERS = "abcdefghijklmnopqrstuvwxyz "


class Arrival:
    """One request, which the load generator may submit twice.

    Attributes:
        number: Position in the run, from 0.
        at_s: Seconds after the start of the run.
        request_id: Id of the first submission.
        pipeline: Name of the pipeline.
        account: Name of the client account.
        payload: Input of the pipeline.
        stream: Whether the answer is streamed.
        keyed: Whether it carries an idempotency key.
        key: Key chosen here, or "" if it has none or an instance issues it.
        resubmit: When it is submitted again: `ONCE` (never), `SAME_TIME` or
            `AFTER_FAILURE`.
        targets: Base URLs for the first and the second submission.
    """

    __slots__ = (
        "number",
        "at_s",
        "request_id",
        "pipeline",
        "account",
        "payload",
        "stream",
        "keyed",
        "key",
        "resubmit",
        "targets",
    )

    def __init__(self, **fields: Any) -> None:
        for name in self.__slots__:
            setattr(self, name, fields[name])


class _ArrivalGenerator:
    """Draws arrivals at random, the same ones for the same seed."""

    def __init__(self, workload: Workload, unix_ms: int) -> None:
        self._workload = workload
        self._unix_ms = unix_ms
        self._rng = random.Random(workload.seed)

    def draw_interval_s(self) -> float:
        return self._rng.expovariate(self._workload.rate_per_s)

    def generate(self, number: int, at_s: float) -> Arrival:
        workload, rng = self._workload, self._rng
        request_id = f"{rng.getrandbits(64):016x}-{number}"
        pipeline = _choose(rng, workload.pipelines)
        resubmitted = rng.random() < workload.resubmit_share
        keyed = rng.random() < workload.key_share or resubmitted
        streams = rng.random() < workload.stream_share
        last_kind = workload.chains[pipeline][-1].kind
        return Arrival(
            number=number,
            at_s=at_s,
            request_id=request_id,
            pipeline=pipeline,
            account=_choose(rng, workload.accounts),
            payload=self._payload(request_id),
            stream=streams and last_kind is StageKind.GENERATE,
            keyed=keyed,
            key=self._key(at_s) if keyed and not workload.issued_keys else "",
            resubmit=self._resubmit() if resubmitted else ONCE,
            targets=self._targets(number),
        )

    def _payload(self, request_id: str) -> dict[str, str]:
        tokens = self._rng.randint(*self._workload.tokens)
        size = self._rng.randint(*self._workload.input_bytes)
        # The id makes each input unique, and thus each output.
        prefix = f"request={request_id} tokens={tokens} "
        return {
            "text": prefix
            + "".join(self._rng.choices(_FILLER_CHARACTERS, k=size))
        }

    def _key(self, at_s: float) -> str:
        # A UUIDv7 (RFC 9562): milliseconds, version, variant, random bits.
        value = (self._unix_ms + int(at_s * 1000)) << 80
        value |= 0x7 << 76 | self._rng.getrandbits(12) << 64
        value |= 0x2 << 62 | self._rng.getrandbits(62)
        return str(uuid.UUID(int=value))

    def _resubmit(self) -> str:
        if self._workload.resubmit_mode == "both":
            return self._rng.choice((SAME_TIME, AFTER_FAILURE))
        return self._workload.resubmit_mode

    def _targets(self, number: int) -> tuple[str, str]:
        targets = self._workload.targets
        first = number % len(targets)
        if self._workload.random_targets:
            first = self._rng.randrange(len(targets))
        step = self._rng.randrange(1, max(2, len(targets)))
        return targets[first], targets[(first + step) % len(targets)]


def _choose(rng: random.Random, choice: Any) -> str:
    return rng.choices(choice.names, choice.weights)[0]


def plan_arrivals(workload: Workload, unix_ms: int) -> Iterator[Arrival]:
    """Yields the arrivals of a Poisson process.

    Args:
        workload: The load to generate.
        unix_ms: Start of the run in Unix time, which the issue times in keys
            count from.
    """
    generator = _ArrivalGenerator(workload, unix_ms)
    at_s, number = generator.draw_interval_s(), 0
    while at_s < workload.duration_s:
        yield generator.generate(number, at_s)
        at_s, number = at_s + generator.draw_interval_s(), number + 1
