"""Settings of the load to generate, and parsers of their text."""

from collections.abc import Sequence

from applespring.core.errors import SettingsError
from applespring.load.expect import ChainStage

RATE_MAX_PER_S = 100_000.0
DURATION_MAX_S = 86_400.0


class Choice:
    """Names with weights, for a random choice.

    Attributes:
        names: Names to choose from.
        weights: Relative frequency of each name.
    """

    __slots__ = ("names", "weights")

    def __init__(self, names: Sequence[str], weights: Sequence[float]) -> None:
        self.names = list(names)
        self.weights = list(weights)


def parse_choice(flag: str, text: str) -> Choice:
    """Parses `name=weight,name=weight`; the weight defaults to 1.

    Raises:
        SettingsError: The text is malformed.
    """
    names, weights = [], []
    for part in filter(None, text.split(",")):
        name, _, weight = part.strip().partition("=")
        try:
            weights.append(float(weight or 1))
        except ValueError as exc:
            raise SettingsError(f"{flag}: {part!r}: {exc}") from exc
        if not 0 < weights[-1] < float("inf"):
            raise SettingsError(
                f"{flag}: {part!r}: the weight is not over 0 and finite"
            )
        names.append(name)
    if not names:
        raise SettingsError(f"{flag}: {text!r} contains no name")
    return Choice(names, weights)


def parse_range(flag: str, text: str) -> tuple[int, int]:
    """Parses `n` or `low-high`.

    Raises:
        SettingsError: The text is malformed or out of bounds.
    """
    low, _, high = text.partition("-")
    try:
        bounds = int(low), int(high or low)
    except ValueError as exc:
        raise SettingsError(f"{flag}: {text!r}: {exc}") from exc
    if not 0 <= bounds[0] <= bounds[1] <= 1_000_000:
        raise SettingsError(
            f"{flag}: {text!r} is not an ascending range within 0 to 1000000"
        )
    return bounds


class Workload:
    """Settings of the load of one run.

    Attributes:
        targets: Base URLs of the entry instances.
        pipelines: Names and weights of the pipelines.
        accounts: Names and weights of the client accounts.
        chains: The stages of each pipeline.
        rate_per_s: Mean arrivals per second.
        duration_s: Seconds during which requests arrive.
        seed: Seed of all random choices.
        deadline_s: Deadline that each request states.
        tokens: Least and most tokens that a request asks for.
        input_bytes: Least and most bytes of filler text.
        stream_share: Share of streamed requests among those of pipelines that
            end in a generation.
        key_share: Share of requests with an idempotency key.
        resubmit_share: Share of requests that are submitted again with the
            same key.
        resubmit_mode: `same_time`, `after_failure` or `both`.
        issued_keys: Whether the instances issue the keys.
        random_targets: Whether targets are chosen at random, not in turn.
    """

    __slots__ = (
        "targets",
        "pipelines",
        "accounts",
        "chains",
        "rate_per_s",
        "duration_s",
        "seed",
        "deadline_s",
        "tokens",
        "input_bytes",
        "stream_share",
        "key_share",
        "resubmit_share",
        "resubmit_mode",
        "issued_keys",
        "random_targets",
    )

    def __init__(
        self,
        targets: Sequence[str],
        pipelines: Choice,
        accounts: Choice,
        chains: dict[str, list[ChainStage]],
        *,
        rate_per_s: float = 10.0,
        duration_s: float = 10.0,
        seed: int = 0,
        deadline_s: float = 10.0,
        tokens: tuple[int, int] = (16, 64),
        input_bytes: tuple[int, int] = (0, 200),
        stream_share: float = 0.0,
        key_share: float = 0.0,
        resubmit_share: float = 0.0,
        resubmit_mode: str = "both",
        issued_keys: bool = False,
        random_targets: bool = False,
    ) -> None:
        self.targets = list(targets)
        self.pipelines = pipelines
        self.accounts = accounts
        self.chains = chains
        self.rate_per_s = rate_per_s
        self.duration_s = duration_s
        self.seed = seed
        self.deadline_s = deadline_s
        self.tokens = tokens
        self.input_bytes = input_bytes
        self.stream_share = stream_share
        self.key_share = key_share
        self.resubmit_share = resubmit_share
        self.resubmit_mode = resubmit_mode
        self.issued_keys = issued_keys
        self.random_targets = random_targets
        self._check()

    def _check(self) -> None:
        if not self.targets:
            raise SettingsError("targets: at least one base URL is needed")
        for name in self.pipelines.names:
            if not self.chains.get(name):
                raise SettingsError(f"chains: no chain for pipeline {name!r}")
        check_range("rate", self.rate_per_s, 0.001, RATE_MAX_PER_S)
        check_range("duration", self.duration_s, 0.001, DURATION_MAX_S)
        check_range("deadline", self.deadline_s, 0.001, 3600)
        for name in ("stream_share", "key_share", "resubmit_share"):
            check_range(name, getattr(self, name), 0, 1)


def check_range(flag: str, value: float, low: float, high: float) -> None:
    """Checks that a value is within its allowed range.

    Raises:
        SettingsError: The value is out of range.
    """
    if not low <= value <= high:
        raise SettingsError(f"{flag}: {value} is not within {low} to {high}")
