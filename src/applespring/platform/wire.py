"""Encoding and decoding of the headers and bodies of the platform's calls."""

import re
from collections.abc import Mapping, Sequence
from typing import Any

import orjson

from applespring.core.errors import MessageError
from applespring.core.fingerprint import shorten_name
from applespring.core.piece import Piece
from applespring.core.self_report import SelfReport, make_self_report
from applespring.relay.protocol import (
    CallerRequest,
    Headers,
    PieceReply,
    PromptPart,
    Protocol,
    UpstreamReply,
)

# Headers that concern one connection only (RFC 9110, 7.6.1).
_HOP_BY_HOP_HEADERS = frozenset(
    [
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    ]
)
# Headers of the system. Those of a caller are not forwarded: the relay may read
# them, but only the relay may set them for an upstream.
_SYSTEM_HEADERS = frozenset(
    [
        b"tenant",
        b"inputs",
        b"hold",
        b"pin-ms",
        b"kv-backup",
        b"kv-from",
        b"kv-fetch",
        b"target-instance",
        b"request-priority",
        b"request-deadline",
        b"x-api-key",
        b"segments",
        b"segment-key",
    ]
)
_DROPPED_REQUEST_HEADERS = (
    _HOP_BY_HOP_HEADERS | _SYSTEM_HEADERS | {b"content-length"}
)
_DROPPED_REPLY_HEADERS = _HOP_BY_HOP_HEADERS | {b"date", b"server"}
_JSON_HEADERS = [(b"Content-Type", b"application/json")]
_PRIORITY_MAX = 9
# Largest number in a request: milliseconds, or tokens.
_NUMBER_MAX = 1_000_000_000
# Most pieces of all stages of a request. An engine gets the handles of those
# of the last stages in one header.
_PIECES_MAX = 4096
# Digits of a length hint, beyond which it is no estimate.
_HINT_DIGITS = 9
_BYTES_PER_MB = 1_000_000
# Largest free memory that a report may state; above any worker's memory.
_FREE_MB_MAX = 1_000_000_000
# Lowest status of a failure.
_FAILURE_STATUS_MIN = 400
# Handles are sent to engines as a list in a header.
_HANDLE = re.compile(r"[\x21-\x2b\x2d-\x7e]{1,255}")
_PIECE_FAILURES = frozenset(
    [
        PieceReply.LATE,
        PieceReply.INPUT_LOST,
        PieceReply.NO_MEMORY,
        PieceReply.ERROR,
    ]
)


class PlatformProtocol(Protocol):
    """Protocol that the platform's clients and workers speak."""

    # `freeMb` is in whole MB, rounded down.
    report_resolution_bytes = _BYTES_PER_MB

    def decode_request(
        self, method: str, target: bytes, headers: Headers
    ) -> CallerRequest:
        """See `Protocol.decode_request`."""
        by_name = {name.lower(): value for name, value in headers}

        def text(name: bytes) -> str:
            return by_name.get(name, b"").decode("latin-1").strip()

        try:
            deadline = text(b"request-deadline")
            tokens = _decode_numbers(text(b"token-count"))
            counts = _decode_numbers(text(b"segments"))
            if sum(counts) > _PIECES_MAX:
                raise MessageError(
                    f"the request has {sum(counts)} pieces; the limit is "
                    f"{_PIECES_MAX}"
                )
            return CallerRequest(
                request_id=text(b"request-id"),
                method=method,
                target=target,
                host=text(b"host"),
                headers=[
                    (name, value)
                    for name, value in headers
                    if name.lower() not in _DROPPED_REQUEST_HEADERS
                ],
                deadline_s=_bound_number(int(deadline)) / 1000
                if deadline
                else None,
                api_key=text(b"x-api-key"),
                tokens_in=tokens[0] if tokens else 0,
                tokens_out=tokens[1] if len(tokens) > 1 else 0,
                tokens_hint=_decode_hint(text(b"length-hint")),
                prompt_parts=_decode_prompt_parts(text(b"prompt-prefix")),
                # `segments` has the number of pieces of each stage.
                piece_counts=counts,
                piece_key=text(b"segment-key"),
                after_event=text(b"last-event-id"),
            )
        except ValueError as exc:
            raise MessageError(
                f"a number in a request header is malformed: {exc}"
            ) from exc

    def encode_request(
        self,
        req: CallerRequest,
        *,
        upstream: str,
        account: str,
        remaining_s: float,
        priority: int | None,
        inputs: Sequence[str],
        after_event: str,
        fetch_from: str,
    ) -> list[tuple[bytes, bytes]]:
        """See `Protocol.encode_request`."""
        headers = req.headers
        if after_event:
            headers = [h for h in headers if h[0].lower() != b"last-event-id"]
            headers.append((b"Last-Event-Id", after_event.encode()))
        headers = [
            *headers,
            (b"Request-Deadline", b"%d" % max(1, int(remaining_s * 1000))),
            (b"Target-Instance", upstream.encode()),
        ]
        if account:
            headers.append((b"Tenant", account.encode()))
        if priority is not None:
            bounded_priority = min(_PRIORITY_MAX, max(0, priority))
            headers.append((b"Request-Priority", b"%d" % bounded_priority))
        if fetch_from:
            headers.append((b"Kv-Fetch", fetch_from.encode()))
        if inputs:
            headers.append((b"Inputs", ",".join(inputs).encode()))
        return headers

    def decode_reply(self, status: int, headers: Headers) -> UpstreamReply:
        """See `Protocol.decode_reply`."""
        by_name = {name.lower(): value for name, value in headers}
        # 421: another upstream than `Target-Instance` has the address.
        is_other = status == 421
        return UpstreamReply(
            request_id=by_name.get(b"request-id", b"").decode("latin-1"),
            # Only failures say that nothing was run. A success that says so too
            # is spoiled, and its request may have run.
            not_run=status >= _FAILURE_STATUS_MIN
            and (b"not-executed" in by_name or is_other),
            signed=bool(by_name.get(b"response-signature", b"").strip()),
            self_report=SelfReport()
            if is_other
            else _decode_self_report(status, headers, by_name),
        )

    def reply_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """See `Protocol.reply_headers`."""
        return [
            (name, value)
            for name, value in headers
            if name.lower() not in _DROPPED_REPLY_HEADERS
        ]

    def refusal_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> list[tuple[bytes, bytes]]:
        """See `Protocol.refusal_headers`."""
        headers = [(b"content-type", b"application/problem+json")]
        if request_id:
            headers.append((b"request-id", request_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((b"retry-after", b"%.2f" % retry_after_s))
        return headers

    def encode_call(
        self, pieces: Sequence[Piece], upstream: str, now: float
    ) -> tuple[str, list[tuple[bytes, bytes]], bytes]:
        """See `Protocol.encode_call`."""
        items = []
        for piece in pieces:
            item: dict[str, object] = {
                "id": piece.request,
                "stage": piece.stage,
                "segment": piece.segment,
                "remainingMs": max(1, int((piece.deadline_at - now) * 1000)),
            }
            if piece.inputs:
                item["inputs"] = list(piece.inputs)
            else:
                item["key"] = piece.key
            items.append(item)
        headers = [*_JSON_HEADERS, (b"Target-Instance", upstream.encode())]
        return "/stage-run", headers, orjson.dumps({"items": items})

    def decode_call(
        self, body: bytes, pieces: Sequence[Piece]
    ) -> list[PieceReply]:
        """See `Protocol.decode_call`."""
        try:
            items = orjson.loads(body)["items"]
            replies = [
                PieceReply(_read_handle(item), _read_reason(item))
                for item in items
            ]
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            raise MessageError(
                f"the answer of a stage call is malformed: {exc!r}"
            ) from exc
        if len(replies) != len(pieces):
            raise MessageError(
                f"the answer of a stage call has {len(replies)} items for "
                f"{len(pieces)} pieces"
            )
        for reply in replies:
            if not reply.handle and reply.failure not in _PIECE_FAILURES:
                reply.failure = PieceReply.ERROR
        return replies

    def encode_release(
        self, handles: Sequence[str]
    ) -> tuple[str, list[tuple[bytes, bytes]], bytes]:
        """See `Protocol.encode_release`."""
        body = orjson.dumps({"handles": list(handles)})
        return "/stage-free", list(_JSON_HEADERS), body

    def encode_report_request(self) -> tuple[str, list[tuple[bytes, bytes]]]:
        """See `Protocol.encode_report_request`."""
        return "/report", []

    def decode_report(self, body: bytes) -> float:
        """See `Protocol.decode_report`."""
        try:
            free_mb = orjson.loads(body)["freeMb"]
        except (ValueError, KeyError, TypeError) as exc:
            raise MessageError(
                f"the report of free memory is malformed: {exc!r}"
            ) from exc
        # True and False are instances of int.
        if (
            type(free_mb) not in (int, float)
            or not 0 <= free_mb <= _FREE_MB_MAX
        ):
            raise MessageError(
                "the report of free memory is malformed: freeMb is "
                f"{free_mb!r:.80}, not a number from 0 to {_FREE_MB_MAX}"
            )
        return free_mb * _BYTES_PER_MB

    def handle_address(self, handle: str) -> str:
        """See `Protocol.handle_address`."""
        return handle.partition("/")[0]


def _read_handle(item: dict[str, Any]) -> str:
    """Returns the handle in an item of a call's answer, or "".

    Raises:
        ValueError: It is no text that fits into a list in a header.
    """
    handle = item.get("handle")
    if handle is None or handle == "":
        return ""
    if not isinstance(handle, str) or not _HANDLE.fullmatch(handle):
        raise ValueError(
            f"handle {handle!r:.80} is not 1 to 255 printable ASCII characters "
            "without a space or comma"
        )
    return handle


def _read_reason(item: dict[str, Any]) -> str:
    """Returns why an item of a call's answer has no handle, or "".

    Raises:
        ValueError: It is no text.
    """
    reason = item.get("reason")
    if reason is not None and not isinstance(reason, str):
        raise ValueError(f"reason {reason!r:.80} is not a text")
    return reason or ""


def _decode_self_report(
    status: int, headers: Headers, by_name: Mapping[bytes, bytes]
) -> SelfReport:
    retry_after = by_name.get(b"retry-after")
    cold_ms = by_name.get(b"cold-remaining-ms")
    return make_self_report(
        status,
        leaving=by_name.get(b"server-leaving", b"").strip() == b"1",
        retry_after=None
        if retry_after is None
        else retry_after.decode("latin-1").strip(),
        rate_limits=[
            value.strip()
            for name, values in headers
            if name.lower() == b"server-limit"
            for value in values.decode("latin-1").split(",")
        ]
        if b"server-limit" in by_name
        else (),
        load=by_name[b"server-load"].decode("latin-1")
        if b"server-load" in by_name
        else None,
        cold_ms=None if cold_ms is None else cold_ms.decode("latin-1").strip(),
    )


def _decode_hint(text: str) -> int:
    """Returns a caller's estimate in tokens, 0 if it gave no usable one."""
    digits = text.isascii() and text.isdecimal() and len(text) <= _HINT_DIGITS
    return int(text) if digits else 0


def _decode_prompt_parts(text: str) -> list[PromptPart]:
    parts = []
    for entry in text.split(","):
        if entry:
            name, _, tokens = entry.partition(":")
            parts.append(
                PromptPart(shorten_name(name), _bound_number(int(tokens)))
            )
    return parts


def _decode_numbers(text: str) -> list[int]:
    """Returns the numbers of a list, each from 0 to `_NUMBER_MAX`.

    Raises:
        ValueError: One is not a whole number.
    """
    return [_bound_number(int(n)) for n in text.split(",") if n]


def _bound_number(number: int) -> int:
    return min(_NUMBER_MAX, max(0, number))
