"""Parsing of a caller's submission into a request."""

import math
import re
from typing import Any

import orjson

from applespring.core.errors import RefusalError
from applespring.core.fleet import Fleet
from applespring.core.reason import (
    KEY_REQUIRED,
    NOT_READY,
    UNKNOWN_ACCOUNT,
    UNKNOWN_PIPELINE,
)
from applespring.core.request import Request
from applespring.core.verdict import Verdict
from applespring.entry.front.exchange import Exchange, reject

ACCOUNT_HEADER = "applespring-account"
DEADLINE_HEADER = "applespring-deadline-ms"
REQUEST_ID_HEADER = "applespring-request-id"
LABEL_HEADER = "applespring-label"
KEY_HEADER = "idempotency-key"
DEADLINE_MS_MIN = 1
MILLISECONDS_PER_SECOND = 1000.0

_REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,64}")
_DEADLINE_PATTERN = re.compile(r"[0-9]{1,9}")
_LABEL_PATTERN = re.compile(r"[\x21-\x7e]{0,64}")
_BODY_FIELDS = frozenset(("input", "stream"))


def parse_submission(
    exchange: Exchange,
    body: bytes,
    pipeline_name: str,
    fleet: Fleet | None,
    *,
    new_id: str,
    now: float,
) -> Request:
    """Returns the request that a caller submitted.

    Args:
        exchange: The exchange, for its headers.
        body: The complete body.
        pipeline_name: The pipeline in the path.
        fleet: The configuration in force, or None.
        new_id: Request id to use if the caller sent none.
        now: Seconds on the monotonic clock.

    Raises:
        RefusalError: There is no configuration yet, the submission is
            malformed, or its pipeline or account is not configured.
    """
    if fleet is None:
        raise RefusalError(NOT_READY, Verdict.NOT_RUN, retry_after_s=1.0)
    pipeline = fleet.pipelines.get(pipeline_name)
    if pipeline is None:
        raise RefusalError(
            UNKNOWN_PIPELINE,
            Verdict.NOT_RUN,
            f"there is no pipeline {pipeline_name!r}",
        )
    headers = exchange.headers
    account = headers.get(ACCOUNT_HEADER, "")
    if account not in fleet.accounts:
        raise RefusalError(
            UNKNOWN_ACCOUNT,
            Verdict.NOT_RUN,
            f"{ACCOUNT_HEADER}: there is no client account {account!r}",
        )
    document = _parse_body(body)
    key = headers.get(KEY_HEADER, "")
    if pipeline.key_required and not key:
        raise RefusalError(
            KEY_REQUIRED,
            Verdict.NOT_RUN,
            f"pipeline {pipeline_name!r} needs the header {KEY_HEADER}",
        )
    deadline_s = _parse_deadline(
        headers.get(DEADLINE_HEADER),
        pipeline.deadline_s,
        pipeline.deadline_max_s,
    )
    return Request(
        _parse_request_id(headers.get(REQUEST_ID_HEADER), new_id),
        pipeline_name,
        account,
        document["input"],
        arrived_at=now,
        deadline_at=now + deadline_s,
        stream=document.get("stream", False),
        key=key,
        label=_parse_label(headers.get(LABEL_HEADER, "")),
    )


def _parse_body(body: bytes) -> dict[str, Any]:
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise reject(f"the body is not JSON: {exc}") from exc
    if not isinstance(document, dict):
        raise reject("the body must be a JSON object")
    unknown = sorted(set(document) - _BODY_FIELDS)
    if unknown:
        raise reject(f"unknown field {unknown[0]!r} in the body")
    if "input" not in document:
        raise reject("the body has no field 'input'")
    if not isinstance(document.get("stream", False), bool):
        raise reject("the field 'stream' must be true or false")
    return document


def _parse_deadline(
    text: str | None, default_s: float, maximum_s: float
) -> float:
    if text is None:
        return default_s
    maximum_ms = math.floor(maximum_s * MILLISECONDS_PER_SECOND)
    if not _DEADLINE_PATTERN.fullmatch(text) or not (
        DEADLINE_MS_MIN <= int(text) <= maximum_ms
    ):
        raise reject(
            f"{DEADLINE_HEADER}: {text!r} is not a whole number from"
            f" {DEADLINE_MS_MIN} to {maximum_ms}"
        )
    return int(text) / MILLISECONDS_PER_SECOND


def _parse_request_id(text: str | None, new_id: str) -> str:
    if text is None:
        return new_id
    if not _REQUEST_ID_PATTERN.fullmatch(text):
        raise reject(
            f"{REQUEST_ID_HEADER}: {text!r} is not 1 to 64 characters of"
            " letters, digits, '.', '_', ':' and '-'"
        )
    return text


def _parse_label(text: str) -> str:
    if not _LABEL_PATTERN.fullmatch(text):
        raise reject(
            f"{LABEL_HEADER}: {text!r} is not a label of at most 64 printable"
            " ASCII characters without spaces"
        )
    return text
