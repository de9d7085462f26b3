"""Client of entry instances that checks and times each answer."""

import itertools
from collections.abc import Sequence

import anyio
import httpx
import orjson

from applespring.load.arrival import Arrival
from applespring.load.check import (
    Expected,
    Outcome,
    Result,
    StreamCheck,
    check_answer,
)
from applespring.load.sse import EventReader

KEYS_PER_CALL = 20


class Timing:
    """Times of one submission on the monotonic clock, in seconds.

    Attributes:
        started: Time at which it was due to be sent.
        ended: Time at which its answer had ended.
        tokens: Arrival time of each token.
    """

    __slots__ = ("started", "ended", "tokens")

    def __init__(self, started: float) -> None:
        self.started = started
        self.ended = started
        self.tokens: list[float] = []


class Caller:
    """Sends submissions to entry instances.

    Attributes:
        deadline_s: Deadline that each submission states.
        grace_s: Seconds to wait for an answer beyond the deadline.
    """

    __slots__ = ("deadline_s", "grace_s", "_clients", "_issued_keys")

    def __init__(
        self,
        clients: Sequence[httpx.AsyncClient],
        deadline_s: float,
        grace_s: float,
    ) -> None:
        self.deadline_s = deadline_s
        self.grace_s = grace_s
        # For each request, an httpx client searches all of its connections, so
        # several clients with few connections each take less time.
        self._clients = itertools.cycle(clients)
        self._issued_keys: dict[str, list[str]] = {}

    async def take_key(self, target: str) -> str:
        """Returns an unused key that a target has issued.

        Keys are requested `KEYS_PER_CALL` at a time.

        Raises:
            httpx.HTTPError: The target issued no keys.
            ValueError: The answer is malformed.
        """
        keys = self._issued_keys.setdefault(target, [])
        if not keys:
            resp = await next(self._clients).post(
                f"{target}/v1/keys",
                json={"count": KEYS_PER_CALL},
                timeout=self.deadline_s,
            )
            resp.raise_for_status()
            value = orjson.loads(resp.content)
            if not isinstance(value, dict) or not value.get("keys"):
                raise ValueError(f"{target}: the answer has no keys")
            keys.extend(value["keys"])
        return keys.pop()

    async def submit(
        self,
        arrival: Arrival,
        *,
        target: str,
        request_id: str,
        key: str,
        expected: Expected,
        timing: Timing,
    ) -> Result:
        """Sends a submission and checks its answer."""
        headers = {
            "Applespring-Account": arrival.account,
            "Applespring-Deadline-Ms": str(round(self.deadline_s * 1000)),
            "Applespring-Request-Id": request_id,
            "Content-Type": "application/json",
        }
        if key:
            headers["Idempotency-Key"] = key
        body = {"input": arrival.payload, "stream": arrival.stream}
        client = next(self._clients)
        request = client.build_request(
            "POST",
            f"{target}/v1/pipelines/{arrival.pipeline}/requests",
            headers=headers,
            content=orjson.dumps(body),
            timeout=None,
        )
        result = Result(Outcome.UNANSWERED, "no answer in time")
        with anyio.move_on_after(self.deadline_s + self.grace_s):
            try:
                result = await _exchange(client, request, expected, timing)
            except httpx.HTTPError as exc:
                detail = f"{type(exc).__name__}: {exc}"
                result = Result(Outcome.BROKEN, detail)
            except ValueError as exc:
                result = Result(Outcome.MALFORMED, str(exc))
        timing.ended = anyio.current_time()
        return result


async def _exchange(
    client: httpx.AsyncClient,
    request: httpx.Request,
    expected: Expected,
    timing: Timing,
) -> Result:
    resp = await client.send(request, stream=True)
    try:
        content_type = resp.headers.get("content-type", "").partition(";")[0]
        if resp.status_code == 200 and content_type == "text/event-stream":
            return await _read_stream(resp, expected, timing)
        body = await resp.aread()
        return check_answer(expected, resp.status_code, content_type, body)
    finally:
        await resp.aclose()


async def _read_stream(
    resp: httpx.Response, expected: Expected, timing: Timing
) -> Result:
    check, reader = StreamCheck(expected), EventReader()
    async for data in resp.aiter_bytes():
        now = anyio.current_time()
        for name, value in reader.feed(data):
            check.add_event(name, value)
            if name == "token":
                timing.tokens.append(now)
    return check.finish()
