"""The interface to how callers and upstreams name things on the wire."""

import abc
from collections.abc import Sequence

from applespring.core.piece import Piece

Headers = Sequence[tuple[bytes, bytes]]


class PromptPart:
    """One part of a prompt, shared with other requests that name it.

    Attributes:
        name: Identity of the part.
        tokens: Tokens that it has.
    """

    __slots__ = ("name", "tokens")

    def __init__(self, name: str, tokens: int) -> None:
        self.name = name
        self.tokens = tokens


class CallerRequest:
    """A request as a caller sent it, decoded.

    Attributes:
        request_id: The caller's id of this attempt.
        method: HTTP method.
        target: Path and query as sent.
        host: Host header.
        headers: Headers that are passed on, in order.
        body: Whole body.
        deadline_s: Time that the caller waits, or None when not told.
        api_key: The key that was sent, or "".
        tokens_in: Tokens of the prompt.
        tokens_out: Most tokens of the answer.
        parts: Parts of the prompt, in order.
        piece_counts: Pieces of each stage.
        piece_key: What first pieces are made from.
        after_event: Id of the last event that the caller has, or "".
    """

    __slots__ = (
        "request_id",
        "method",
        "target",
        "host",
        "headers",
        "body",
        "deadline_s",
        "api_key",
        "tokens_in",
        "tokens_out",
        "prompt_parts",
        "piece_counts",
        "piece_key",
        "after_event",
    )

    def __init__(
        self,
        *,
        request_id: str,
        method: str,
        target: bytes,
        host: str,
        headers: Headers,
        body: bytes = b"",
        deadline_s: float | None = None,
        api_key: str = "",
        tokens_in: int = 0,
        tokens_out: int = 0,
        parts: Sequence[PromptPart] = (),
        piece_counts: Sequence[int] = (),
        piece_key: str = "",
        after_event: str = "",
    ) -> None:
        self.request_id = request_id
        self.method = method
        self.target = target
        self.host = host
        self.headers = list(headers)
        self.body = body
        self.deadline_s = deadline_s
        self.api_key = api_key
        self.tokens_in = tokens_in
        self.tokens_out = tokens_out
        self.prompt_parts = tuple(parts)
        self.piece_counts = tuple(piece_counts)
        self.piece_key = piece_key
        self.after_event = after_event

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class UpstreamReply:
    """What the head of an upstream's answer says.

    Attributes:
        request_id: Id of the request that it answers, or "".
        not_run: Whether it states that the request was not run.
        signed: Whether it carries the upstream's signature.
    """

    __slots__ = ("request_id", "not_run", "signed")

    def __init__(
        self,
        request_id: str,
        not_run: bool,
        signed: bool,
    ) -> None:
        self.request_id = request_id
        self.not_run = not_run
        self.signed = signed


class PieceReply:
    """Result of one piece of a call.

    Attributes:
        handle: Where the result is, or "" when none was made.
        failure: Why not: late, gone, room, error, or denied when a failed call
            may not be repeated; "" when it was made.
    """

    __slots__ = ("handle", "failure")

    LATE = "late"
    INPUT_LOST = "gone"
    NO_MEMORY = "room"
    ERROR = "error"
    DENIED = "denied"

    def __init__(self, handle: str, failure: str = "") -> None:
        self.handle = handle
        self.failure = failure


class Protocol(abc.ABC):
    """Encodes and decodes what is spoken with callers and upstreams."""

    @abc.abstractmethod
    def decode_request(
        self, method: str, target: bytes, headers: Headers
    ) -> CallerRequest:
        """Decodes the head of a caller's request.

        Raises:
            MessageError: A header is malformed.
        """

    @abc.abstractmethod
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
        """Returns the headers with which a request goes to an upstream.

        Args:
            req: The request.
            upstream: Name of the upstream.
            account: Client account, or "".
            remaining_s: Time until its last answer is due.
            priority: Rank, 0 first, or None when the pool knows none.
            inputs: Handles of the results that it takes.
            after_event: Id of the last event that the caller has, or "".
            fetch_from: IP:port of an engine that holds its prefix, or "".
        """

    @abc.abstractmethod
    def decode_reply(self, status: int, headers: Headers) -> UpstreamReply:
        """Decodes the head of an upstream's answer."""

    @abc.abstractmethod
    def reply_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Returns the headers of an answer that the caller gets."""

    @abc.abstractmethod
    def refusal_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> list[tuple[bytes, bytes]]:
        """Returns the headers of an answer of the system's own."""

    @abc.abstractmethod
    def encode_call(
        self, pieces: Sequence[Piece], upstream: str, now: float
    ) -> tuple[str, list[tuple[bytes, bytes]], bytes]:
        """Returns path, headers and body of a stage call."""

    @abc.abstractmethod
    def decode_call(
        self, body: bytes, pieces: Sequence[Piece]
    ) -> list[PieceReply]:
        """Decodes the answer of a stage call.

        Raises:
            MessageError: It does not answer these pieces.
        """

    @abc.abstractmethod
    def encode_release(
        self, handles: Sequence[str]
    ) -> tuple[str, list[tuple[bytes, bytes]], bytes]:
        """Returns path, headers and body of the release of results."""

    @abc.abstractmethod
    def encode_report_request(self) -> tuple[str, list[tuple[bytes, bytes]]]:
        """Returns path and headers of the question for free room."""

    @abc.abstractmethod
    def decode_report(self, body: bytes) -> float:
        """Returns the bytes that an upstream has free for results.

        Raises:
            MessageError: The answer does not say.
        """

    @abc.abstractmethod
    def handle_address(self, handle: str) -> str:
        """Returns IP:port of the upstream that holds a result."""
