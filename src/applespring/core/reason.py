"""The reason codes with which a request can be refused."""

from collections.abc import Iterator


class Reason:
    """A reason for a refusal, as answers and metrics state it.

    Attributes:
        code: Stable identifier in answers, messages of peers and metrics.
        status: HTTP status of the refusal.
        title: One sentence for the answer, a problem document (RFC 9457).
        retryable: Whether the same request, unchanged, can succeed later.
    """

    __slots__ = ("code", "status", "title", "retryable")

    def __init__(
        self, code: str, status: int, title: str, retryable: bool
    ) -> None:
        self.code = code
        self.status = status
        self.title = title
        self.retryable = retryable

    @property
    def is_caller_error(self) -> bool:
        """Whether the caller, or a rule, caused the refusal.

        Such refusals don't count against the service level. The reasons with
        status 409 do: the service lost the key or its answer.
        """
        return self.status < 500 and self.status != 409

    def __repr__(self) -> str:
        return f"Reason({self.code})"


_REASONS: dict[str, Reason] = {}


def _define(code: str, status: int, title: str, *, retryable: bool) -> Reason:
    reason = Reason(code, status, title, retryable)
    _REASONS[code] = reason
    return reason


def find_reason(code: str) -> Reason:
    """Returns the reason with this code.

    Raises:
        KeyError: No reason has this code.
    """
    return _REASONS[code]


def all_reasons() -> Iterator[Reason]:
    """Yields every reason in the order of definition."""
    yield from _REASONS.values()


INVALID_REQUEST = _define(
    "invalid_request", 400, "The request is malformed.", retryable=False
)
UNKNOWN_ACCOUNT = _define(
    "unknown_account", 403, "No such client account.", retryable=False
)
UNKNOWN_PIPELINE = _define(
    "unknown_pipeline", 404, "No such pipeline.", retryable=False
)
BODY_TOO_LARGE = _define(
    "body_too_large", 413, "The request body is too large.", retryable=False
)
BODY_TIMEOUT = _define(
    "body_timeout",
    408,
    "The request body did not arrive in time.",
    retryable=True,
)
MEMORY_FULL = _define(
    "memory_full",
    503,
    "The instance has no memory for this request.",
    retryable=True,
)
REFUSED_BY_RULE = _define(
    "refused_by_rule", 403, "A rule refuses this request.", retryable=False
)
DEADLINE_UNREACHABLE = _define(
    "deadline_unreachable",
    503,
    "The pipeline cannot finish before the deadline.",
    retryable=True,
)
DEADLINE_EXCEEDED = _define(
    "deadline_exceeded", 504, "The deadline has passed.", retryable=True
)
OVERLOADED = _define(
    "overloaded",
    503,
    "A stage has no capacity for this request.",
    retryable=True,
)
NO_UPSTREAM = _define(
    "no_upstream", 503, "A stage has no usable upstream.", retryable=True
)
UPSTREAM_FAILED = _define(
    "upstream_failed",
    502,
    "An upstream failed during the call.",
    retryable=True,
)
BAD_RESULT = _define(
    "bad_result",
    502,
    "An upstream's result was incomplete or of another call.",
    retryable=True,
)
KEY_REQUIRED = _define(
    "key_required",
    400,
    "This pipeline needs an Idempotency-Key.",
    retryable=False,
)
KEY_MISMATCH = _define(
    "key_mismatch",
    422,
    "The key was used before with a different request.",
    retryable=False,
)
KEY_EXPIRED = _define(
    "key_expired",
    409,
    "The key is older than the memory of keys.",
    retryable=False,
)
KEY_OWNER_GONE = _define(
    "key_owner_gone",
    409,
    "The instance that owned the key is gone.",
    retryable=False,
)
KEY_OWNER_UNREACHABLE = _define(
    "key_owner_unreachable",
    503,
    "The instance that owns the key cannot be reached.",
    retryable=True,
)
KEY_OWNER_RECENT = _define(
    "key_owner_recent",
    503,
    "The owner of the key changed too recently.",
    retryable=True,
)
KEY_TABLE_FULL = _define(
    "key_table_full", 503, "The key table is full.", retryable=True
)
KEY_ANSWER_DROPPED = _define(
    "key_answer_dropped",
    409,
    "The request ran, but its answer is no longer recorded.",
    retryable=False,
)
SHUTTING_DOWN = _define(
    "shutting_down", 503, "The instance is shutting down.", retryable=True
)
NOT_READY = _define(
    "not_ready", 503, "The instance has no configuration yet.", retryable=True
)
INTERNAL_ERROR = _define(
    "internal_error", 500, "The instance failed internally.", retryable=False
)
UNKNOWN_ROUTE = _define(
    "unknown_route", 404, "No route serves this host and path.", retryable=False
)
UNKNOWN_KEY = _define(
    "unknown_key", 401, "No client account has this key.", retryable=False
)
HEAD_TOO_LARGE = _define(
    "head_too_large", 431, "The request head is too large.", retryable=False
)
PROMPT_QUARANTINED = _define(
    "prompt_quarantined",
    503,
    "Engines have crashed on a part of the prompt.",
    retryable=True,
)
REQUEST_QUARANTINED = _define(
    "request_quarantined",
    503,
    "Upstreams have crashed on this request.",
    retryable=True,
)
STAGE_FAILED = _define(
    "stage_failed", 503, "A stage could not be executed.", retryable=True
)
