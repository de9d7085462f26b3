"""Checks that the log of an instance names each request that failed."""

import json
import pathlib

from soak.record import Records


def audit_logs(records: Records, logs: dict[str, pathlib.Path]) -> list[str]:
    """Returns failed requests without a line in the log of their instance.

    A killed process loses its last lines, so requests that end near a fault of
    their instance are not checked. An instance whose buffer was full drops
    lines and logs that it did; its log is not checked at all.

    Args:
        records: Records of the run.
        logs: Log file of each instance.
    """
    violations = []
    for instance, path in logs.items():
        logged_ids, is_complete = _read_log(path)
        if not is_complete:
            continue
        for request in records.requests.values():
            if (
                request.instance == instance
                and request.complete
                and request.status >= 400
                and request.request_id not in logged_ids
                and records.is_undisturbed(
                    request.sent_at,
                    request.ended_at + 1.0,
                    [f"instance:{instance}"],
                )
            ):
                violations.append(
                    f"log: {request.request_id} got {request.status} and has "
                    f"no line in {path.name}"
                )
    return violations


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
