"""Deterministic outputs of the stand-ins.

`applespring.load.expect` implements the same outputs independently, so that a
fault in one of the two shows as a difference. Change both together.
"""

import re
from typing import Any

import orjson
import xxhash

DOCUMENTS_RETRIEVED = 4
DOCUMENTS_RERANKED = 2
VECTOR_SIZE = 8
TOKENS_MIN = 16
TOKENS_SPREAD = 48
# Differs from the seeds of the tokens, which are their indexes.
_COUNT_SEED = 1 << 32
_TOKENS = re.compile(r"tokens=(\d{1,6})")

KINDS = ("encode", "retrieve", "rerank", "service")


def canonical_json(value: Any) -> bytes:
    """Returns a value as JSON with sorted keys."""
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def input_text(value: Any) -> str:
    """Returns the text that a stage works on.

    This is the input itself if it is a string, the `text` member of an object,
    or else the canonical JSON of the input.
    """
    if isinstance(value, str):
        return value
    if isinstance(value, dict) and isinstance(value.get("text"), str):
        return value["text"]
    return canonical_json(value).decode()


def stage_output(kind: str, stage: str, value: Any) -> Any:
    """Returns the output of an encoder, retriever, reranker or service.

    Args:
        kind: One of `KINDS`.
        stage: Name of the stage; it changes the output of a service only.
        value: Input of the call, a JSON value.
    """
    text = input_text(value)
    data = text.encode()
    if kind == "encode":
        seeds = range(VECTOR_SIZE)
        vector = [xxhash.xxh64_intdigest(data, i) % 1000 for i in seeds]
        return {"text": text, "vector": vector}
    if kind == "retrieve":
        return {"text": text, "documents": _retrieve(data)}
    if kind == "rerank":
        return {"text": text, "documents": _rerank(data, value)}
    receipt = xxhash.xxh64_hexdigest(stage.encode() + canonical_json(value))
    return {"text": text, "stage": stage, "receipt": receipt}


def _retrieve(data: bytes) -> list[str]:
    hashes = [
        xxhash.xxh64_intdigest(data, 100 + i)
        for i in range(DOCUMENTS_RETRIEVED)
    ]
    return [f"doc-{value % 100_000}" for value in hashes]


def _rerank(data: bytes, value: Any) -> list[str]:
    documents = value.get("documents", []) if isinstance(value, dict) else []
    scored = [
        (xxhash.xxh64_hexdigest(str(doc).encode() + data), str(doc))
        for doc in documents
    ]
    return [doc for _, doc in sorted(scored)[:DOCUMENTS_RERANKED]]


def input_prompt(value: Any) -> str:
    """Returns a string input as it is, and any other as canonical JSON."""
    return value if isinstance(value, str) else canonical_json(value).decode()


def token_count(prompt: str, max_tokens: int) -> int:
    """Returns the number of tokens that are generated for a prompt.

    `tokens=<n>` in the prompt sets the number; otherwise the prompt's hash
    does. The result is limited to the range from 1 to `max_tokens`.
    """
    requested = _TOKENS.search(prompt)
    if requested:
        count = int(requested.group(1))
    else:
        hash_value = xxhash.xxh64_intdigest(prompt.encode(), _COUNT_SEED)
        count = TOKENS_MIN + hash_value % TOKENS_SPREAD
    return max(1, min(count, max_tokens))


def token(prompt: str, index: int) -> str:
    """Returns the text of a token: a space and four hex digits."""
    return f" {xxhash.xxh64_intdigest(prompt.encode(), index) % 65536:04x}"
