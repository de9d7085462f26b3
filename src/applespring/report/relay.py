"""Conversion of the counters of relays to those of entry instances."""

from applespring.core.reason import find_reason
from applespring.report.burn import ANSWERED, REQUESTS
from applespring.report.cost import ATTEMPTS, CALLS, REFUSALS
from applespring.report.exposition import Scrape

RELAY_REQUESTS = "applespring_relay_requests_total"
RELAY_STAGE_CALLS = "applespring_relay_stage_calls_total"
# Outcomes of entry instances: a refused request counts for the service level, a
# rejected or cancelled one does not.
REFUSED = "refused"
REJECTED = "rejected"
CANCELLED = "cancelled"
# Account label of all requests of a relay.
NO_ACCOUNT = "-"
RELAY_NOTE = (
    "relays count no late answers, so each of their complete answers counts as"
    " answered"
)


def add_common_counters(scrape: Scrape) -> bool:
    """Adds a relay's counters to its scrape under the names of entry instances.

    Its routes are counted as pipelines. A relay does not count by account.

    Returns:
        Whether the scrape is of a relay.
    """
    requests = scrape.samples.get(RELAY_REQUESTS)
    if requests is None:
        return False
    for labels, value in requests.items():
        names = dict(labels)
        code = names.get("outcome", "")
        outcome = _classify(code)
        _count(
            scrape,
            REQUESTS,
            {
                "pipeline": names.get("route", ""),
                "account": NO_ACCOUNT,
                "outcome": outcome,
            },
            value,
        )
        if outcome in (REFUSED, REJECTED) and not code.startswith("status_"):
            reason = code.removeprefix("cut_")
            _count(scrape, REFUSALS, {"reason": reason}, value)
    for labels, value in scrape.samples.get(RELAY_STAGE_CALLS, {}).items():
        names = dict(labels)
        pool = names.get("pool", "")
        attempt_outcome = "ok" if names.get("outcome") == "done" else "failed"
        _count(scrape, CALLS, {"pool": pool}, value)
        _count(
            scrape, ATTEMPTS, {"pool": pool, "outcome": attempt_outcome}, value
        )
    return True


def _classify(code: str) -> str:
    """Returns the outcome of an entry instance for one of a relay."""
    if code == "done" or code.startswith("status_2"):
        return ANSWERED
    if code == "caller_gone":
        return CANCELLED
    if code.startswith("status_"):
        # An error response of the upstream, passed on unchanged.
        return REFUSED if code.startswith("status_5") else REJECTED
    try:
        reason = find_reason(code.removeprefix("cut_"))
    except KeyError:
        return REFUSED
    return REJECTED if reason.is_caller_error else REFUSED


def _count(
    scrape: Scrape, name: str, labels: dict[str, str], value: float
) -> None:
    series = scrape.samples.setdefault(name, {})
    key = tuple(sorted(labels.items()))
    series[key] = series.get(key, 0.0) + value
