"""Expected outputs of the stand-ins, computed from the input of a request.

This shares no code with the stand-ins, so that a fault on either side shows as
a difference.
"""

from collections.abc import Sequence
from typing import Any

import orjson
import xxhash

from applespring.core.errors import SettingsError
from applespring.core.fleet import StageKind

MAX_TOKENS_DEFAULT = 256


class ChainStage:
    """One stage of a chain.

    Attributes:
        kind: What the stage does.
        name: Name of the stage.
        max_tokens: Most tokens that a generation yields.
    """

    __slots__ = ("kind", "name", "max_tokens")

    def __init__(
        self, kind: StageKind, name: str, max_tokens: int = MAX_TOKENS_DEFAULT
    ) -> None:
        self.kind = kind
        self.name = name
        self.max_tokens = max_tokens


def parse_chains(text: str) -> dict[str, list[ChainStage]]:
    """Parses `pipeline=kind:stage/kind:stage@max_tokens;...`.

    Raises:
        SettingsError: The text is malformed.
    """
    chains = {}
    for part in filter(None, text.split(";")):
        name, separator, stages = part.strip().partition("=")
        if not separator or not name or not stages:
            raise SettingsError(f"chains: {part!r} is not <pipeline>=<chain>")
        chains[name] = [_parse_stage(stage) for stage in stages.split("/")]
    return chains


def _parse_stage(text: str) -> ChainStage:
    head, _, limit = text.partition("@")
    kind, _, name = head.partition(":")
    try:
        tokens = int(limit) if limit else MAX_TOKENS_DEFAULT
        return ChainStage(StageKind(kind), name or kind, tokens)
    except ValueError as exc:
        raise SettingsError(f"chains: {text!r}: {exc}") from exc


def expected_output(chain: Sequence[ChainStage], payload: Any) -> Any:
    """Returns the output of a chain for an input.

    The output of a stage is the input of the next. The prompt of a generation
    is its input if that is a string, else the input as JSON with sorted keys.
    Its output is the joined text of its tokens.
    """
    value = payload
    for stage in chain:
        value = _STAGES[stage.kind](stage, value)
    return value


def _dump(value: Any) -> bytes:
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def _text(value: Any) -> str:
    match value:
        case str():
            return value
        case {"text": str(text)}:
            return text
    return _dump(value).decode()


def _hash(text: str, seed: int = 0) -> xxhash.xxh64:
    return xxhash.xxh64(text.encode(), seed=seed)


def _encode(_stage: ChainStage, value: Any) -> Any:
    text = _text(value)
    numbers = [_hash(text, n).intdigest() for n in range(8)]
    return {"text": text, "vector": [number % 1000 for number in numbers]}


def _retrieve(_stage: ChainStage, value: Any) -> Any:
    text = _text(value)
    found = []
    for seed in (100, 101, 102, 103):
        number = _hash(text, seed).intdigest()
        found.append(f"doc-{number % 100000}")
    return {"text": text, "documents": found}


def _rerank(_stage: ChainStage, value: Any) -> Any:
    text = _text(value)
    found = value.get("documents", []) if isinstance(value, dict) else []

    def score(document: str) -> tuple[str, str]:
        return _hash(document + text).hexdigest(), document

    ranked = sorted((str(document) for document in found), key=score)
    return {"text": text, "documents": ranked[:2]}


def _serve(stage: ChainStage, value: Any) -> Any:
    receipt = xxhash.xxh64(stage.name.encode() + _dump(value)).hexdigest()
    return {"text": _text(value), "stage": stage.name, "receipt": receipt}


def expected_tokens(stage: ChainStage, value: Any) -> list[str]:
    """Returns the tokens that a generation yields for an input."""
    prompt = value if isinstance(value, str) else _dump(value).decode()
    count = _requested_tokens(prompt)
    if count is None:
        spread = _hash(prompt, 2**32).intdigest() % 48
        count = 16 + spread
    count = min(max(count, 1), max(stage.max_tokens, 1))
    return [
        f" {_hash(prompt, index).intdigest() & 0xFFFF:04x}"
        for index in range(count)
    ]


def _requested_tokens(prompt: str) -> int | None:
    # Reads the number after the first `tokens=` that a digit follows.
    for part in prompt.split("tokens=")[1:]:
        digits = ""
        for char in part[:6]:
            if not char.isdecimal():
                break
            digits += char
        if digits:
            return int(digits)
    return None


def _generate(stage: ChainStage, value: Any) -> Any:
    return "".join(expected_tokens(stage, value))


_STAGES = {
    StageKind.ENCODE: _encode,
    StageKind.RETRIEVE: _retrieve,
    StageKind.RERANK: _rerank,
    StageKind.SERVICE: _serve,
    StageKind.GENERATE: _generate,
}
