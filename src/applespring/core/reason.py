"""The one list of reason codes with which a request can be refused."""

from collections.abc import Iterator


class Reason:
    """A reason code as callers and operators see it.

    Attributes:
        code: Stable identifier on the wire and in metrics.
        status: HTTP status of the refusal.
        title: One sentence for the problem document.
        retryable: Whether the same request can succeed later unchanged.
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

        Such refusals are left out of the service level. The reasons with
        status 409 are lost keys and answers, which are faults of the service.
        """
        return self.status < 500 and self.status != 409

    def __repr__(self) -> str:
        return f"Reason({self.code})"


_REASONS: dict[str, Reason] = {}


def _reason(code: str, status: int, title: str, *, retry: bool) -> Reason:
    reason = Reason(code, status, title, retry)
    _REASONS[code] = reason
    return reason


def find_reason(code: str) -> Reason:
    """Returns the reason with this code.

    Raises:
        KeyError: The code is not in the list.
    """
    return _REASONS[code]


def all_reasons() -> Iterator[Reason]:
    """Yields every reason in the order of the list."""
    yield from _REASONS.values()


INVALID_REQUEST = _reason(
    "invalid_request", 400, "The request is malformed.", retry=False
)
UNKNOWN_ACCOUNT = _reason(
    "unknown_account", 403, "No such client account.", retry=False
)
UNKNOWN_PIPELINE = _reason(
    "unknown_pipeline", 404, "No such pipeline.", retry=False
)
BODY_TOO_LARGE = _reason(
    "body_too_large", 413, "The request body is too large.", retry=False
)
REFUSED_BY_RULE = _reason(
    "refused_by_rule", 403, "A rule refuses this request.", retry=False
)
DEADLINE_UNREACHABLE = _reason(
    "deadline_unreachable",
    503,
    "The pipeline cannot finish before the deadline.",
    retry=True,
)
DEADLINE_EXCEEDED = _reason(
    "deadline_exceeded", 504, "The deadline has passed.", retry=True
)
OVERLOADED = _reason(
    "overloaded", 503, "A stage has no capacity for this request.", retry=True
)
NO_UPSTREAM = _reason(
    "no_upstream", 503, "A stage has no usable upstream.", retry=True
)
UPSTREAM_FAILED = _reason(
    "upstream_failed", 502, "An upstream failed during the call.", retry=True
)
BAD_RESULT = _reason(
    "bad_result",
    502,
    "An upstream's result was incomplete or of another call.",
    retry=True,
)
KEY_REQUIRED = _reason(
    "key_required",
    400,
    "This pipeline needs an Idempotency-Key.",
    retry=False,
)
KEY_MISMATCH = _reason(
    "key_mismatch",
    422,
    "The key was used before with a different request.",
    retry=False,
)
KEY_EXPIRED = _reason(
    "key_expired",
    409,
    "The key is older than the memory of keys.",
    retry=False,
)
KEY_OWNER_GONE = _reason(
    "key_owner_gone",
    409,
    "The instance that owned the key is gone.",
    retry=False,
)
KEY_OWNER_UNREACHABLE = _reason(
    "key_owner_unreachable",
    503,
    "The instance that owns the key cannot be reached.",
    retry=True,
)
KEY_OWNER_RECENT = _reason(
    "key_owner_recent",
    503,
    "The owner of the key changed too recently.",
    retry=True,
)
KEY_TABLE_FULL = _reason(
    "key_table_full", 503, "The key table is full.", retry=True
)
KEY_ANSWER_DROPPED = _reason(
    "key_answer_dropped",
    409,
    "The request ran, but its answer is no longer recorded.",
    retry=False,
)
SHUTTING_DOWN = _reason(
    "shutting_down", 503, "The instance is shutting down.", retry=True
)
NOT_READY = _reason(
    "not_ready", 503, "The instance has no configuration yet.", retry=True
)
INTERNAL_ERROR = _reason(
    "internal_error", 500, "The instance failed internally.", retry=False
)
UNKNOWN_ROUTE = _reason(
    "unknown_route", 404, "No route serves this host and path.", retry=False
)
UNKNOWN_KEY = _reason(
    "unknown_key", 401, "No client account has this key.", retry=False
)
HEAD_TOO_LARGE = _reason(
    "head_too_large", 431, "The request head is too large.", retry=False
)
STAGE_FAILED = _reason(
    "stage_failed", 503, "A stage could not be executed.", retry=True
)
