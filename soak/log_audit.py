"""Checks of the logs of the instances."""

import json
import pathlib
from collections.abc import Iterator

from soak.audit import describe, was_read, was_sound
from soak.record import CallerRequest, Records


def audit_logs(records: Records, logs: dict[str, pathlib.Path]) -> list[str]:
    """Returns every violation that the logs show, as `NAME: description`.

    Args:
        records: Records of the run.
        logs: Log file of each instance.
    """
    violations = []
    for instance, path in logs.items():
        logged_ids, is_complete = _read_log(path)
        requests = [
            request
            for request in records.requests.values()
            if request.instance == instance
        ]
        violations += _find_unanswered(records, requests, logged_ids)
        if is_complete:
            violations += _find_unlogged(records, requests, logged_ids, path)
    return violations


def _find_unanswered(
    records: Records, requests: list[CallerRequest], logged_ids: set[str]
) -> Iterator[str]:
    """Yields requests that an instance read when it closed their connection.

    Neither caller nor upstream can tell these from requests that crossed the
    end of an idle connection.
    """
    for request in requests:
        if (
            not request.status
            and not request.disconnected
            and request.request_id in logged_ids
            and not was_read(records, request)
            and was_sound(records, request, ["peer:"])
        ):
            yield (
                f"answered: {describe(request)} ended with {request.failure}, "
                "although its instance logged it"
            )


def _find_unlogged(
    records: Records,
    requests: list[CallerRequest],
    logged_ids: set[str],
    path: pathlib.Path,
) -> Iterator[str]:
    """Yields failed requests without a line in the log of their instance.

    A killed process loses its last lines, so requests that end near a fault of
    their instance are not checked. An instance whose buffer was full drops
    lines and logs that it did; its log must not be checked.
    """
    for request in requests:
        if (
            request.complete
            and request.status >= 400
            and request.request_id not in logged_ids
            and records.is_undisturbed(
                request.sent_at,
                request.ended_at + 1.0,
                [f"instance:{request.instance}"],
            )
        ):
            yield (
                f"log: {request.request_id} got {request.status} and has no "
                f"line in {path.name}"
            )


def _read_log(path: pathlib.Path) -> tuple[set[str], bool]:
    """Returns the ids of logged requests, and whether no line was dropped."""
    logged_ids: set[str] = set()
    is_complete = True
    for text in path.read_bytes().splitlines():
        try:
            line = json.loads(text)
        except ValueError:
            # The last line of a killed process may be truncated.
            continue
        is_complete = is_complete and (
            line.get("message") != "log lines left out"
        )
        if line.get("event") == "request":
            logged_ids.add(line["request"])
    return logged_ids, is_complete
