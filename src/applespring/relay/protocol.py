"""Interface of the wire protocol spoken with callers and upstreams."""

import abc
from collections.abc import Sequence

from applespring.core.piece import Piece
from applespring.core.self_report import SelfReport

Headers = Sequence[tuple[bytes, bytes]]


class PromptPart:
    """One part of a prompt; requests that give the same name share it.

    Attributes:
        name: Name that identifies the content of the part.
        tokens: Length in tokens.
    """

    __slots__ = ("name", "tokens")

    def __init__(self, name: str, tokens: int) -> None:
        self.name = name
        self.tokens = tokens


class CallerRequest:
    """A decoded request of a caller.

    Attributes:
        request_id: Id that the caller gave this attempt.
        method: HTTP method.
        target: Path and query as sent.
        host: Host header.
        headers: Headers that are forwarded, in order.
        body: Complete body.
        deadline_s: Time from arrival to its deadline, or None if it gave none.
        api_key: API key, or "".
        tokens_in: Length of the prompt in tokens.
        tokens_out: Longest answer in tokens.
        tokens_hint: The caller's estimate of it, 0 if it gave none.
        prompt_parts: Parts of the prompt, in order.
        piece_counts: Number of pieces of each stage.
        piece_key: Key of the data that the first stages read; their pieces
            have no results of other stages as inputs.
        after_event: Id of the last event that the caller has received, or "".
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
        "tokens_hint",
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
        tokens_hint: int = 0,
        prompt_parts: Sequence[PromptPart] = (),
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
        self.tokens_hint = tokens_hint
        self.prompt_parts = tuple(prompt_parts)
        self.piece_counts = tuple(piece_counts)
        self.piece_key = piece_key
        self.after_event = after_event

    @property
    def path(self) -> str:
        """The path of the target, without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class UpstreamReply:
    """Decoded head of an upstream's answer.

    Attributes:
        request_id: Id of the request that it answers, or "".
        not_run: Whether it states that the request was not run.
        signed: Whether it has a signature, which is not verified.
        self_report: What it says of its upstream; nothing if another upstream
            has taken the address.
    """

    __slots__ = ("request_id", "not_run", "signed", "self_report")

    def __init__(
        self,
        request_id: str,
        not_run: bool,
        signed: bool,
        self_report: SelfReport,
    ) -> None:
        self.request_id = request_id
        self.not_run = not_run
        self.signed = signed
        self.self_report = self_report


class PieceReply:
    """Result of one piece of a call.

    Attributes:
        handle: Handle of the result, or "" if none was made.
        failure: Why none was made: one of the constants below, or "".
            LATE: the piece can't be done before its deadline.
            INPUT_LOST: an input is no longer stored.
            NO_MEMORY: the upstream lacks memory for the result.
            ERROR: any other failure.
            DENIED: the call failed and the retry budget is used up.
            QUARANTINED: upstreams crashed on pieces of its request.
    """

    __slots__ = ("handle", "failure")

    # These words are sent to peers; the first four also come from upstreams.
    LATE = "late"
    INPUT_LOST = "gone"
    NO_MEMORY = "room"
    ERROR = "error"
    DENIED = "denied"
    QUARANTINED = "quarantined"

    def __init__(self, handle: str, failure: str = "") -> None:
        self.handle = handle
        self.failure = failure


class Protocol(abc.ABC):
    """Encodes and decodes messages to and from callers and upstreams."""

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
        """Returns the headers of a request to an upstream.

        Args:
            req: The request.
            upstream: Name of the upstream.
            account: Name of the client account, or "".
            remaining_s: Time until its deadline.
            priority: Priority, 0 first, or None if the pool has no priorities.
            inputs: Handles of the stage results that it reads.
            after_event: Id of the last event that the caller has received, or
                "".
            fetch_from: IP:port of an engine that has its prompt prefix cached,
                or "".
        """

    @abc.abstractmethod
    def decode_reply(self, status: int, headers: Headers) -> UpstreamReply:
        """Decodes status and headers of an upstream's answer."""

    @abc.abstractmethod
    def reply_headers(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Returns the headers of an upstream's answer that the caller gets."""

    @abc.abstractmethod
    def refusal_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> list[tuple[bytes, bytes]]:
        """Returns the headers of a refusal by this instance."""

    @abc.abstractmethod
    def encode_call(
        self, pieces: Sequence[Piece], upstream: str, now: float
    ) -> tuple[str, list[tuple[bytes, bytes]], bytes]:
        """Returns path, headers and body of a stage call."""

    @abc.abstractmethod
    def decode_call(
        self, body: bytes, pieces: Sequence[Piece]
    ) -> list[PieceReply]:
        """Decodes the answer of a stage call; one reply for each piece.

        Raises:
            MessageError: It is malformed or has another number of replies.
        """

    @abc.abstractmethod
    def encode_release(
        self, handles: Sequence[str]
    ) -> tuple[str, list[tuple[bytes, bytes]], bytes]:
        """Returns path, headers and body of a call that releases results."""

    @abc.abstractmethod
    def encode_report_request(self) -> tuple[str, list[tuple[bytes, bytes]]]:
        """Returns path and headers of a call that asks for free memory."""

    # Largest amount by which a report understates the free result memory.
    report_resolution_bytes: int

    @abc.abstractmethod
    def decode_report(self, body: bytes) -> float:
        """Returns an upstream's free result memory in bytes.

        Raises:
            MessageError: The report does not state it.
        """

    @abc.abstractmethod
    def handle_address(self, handle: str) -> str:
        """Returns IP:port of the upstream that stores a result."""
