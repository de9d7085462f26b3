"""Replies that a caller of a virtual fleet receives."""

from collections.abc import Mapping
from typing import Any

import orjson


class CallerReply:
    """The reply to one request.

    Attributes:
        status: HTTP status, or 0 when the connection broke.
        document: JSON body, or the data of a stream's last event.
        events: Names and data of the server-sent events, in order.
        elapsed_s: Seconds from sending the request to the end of the reply.
        headers: Header fields by name.
    """

    __slots__ = ("status", "document", "events", "elapsed_s", "headers")

    def __init__(
        self,
        status: int,
        document: Any,
        events: list[tuple[str, Any]],
        elapsed_s: float,
        headers: Mapping[str, str],
    ) -> None:
        self.status = status
        self.document = document
        self.events = events
        self.elapsed_s = elapsed_s
        self.headers = headers

    @property
    def answered(self) -> bool:
        """Whether the request succeeded and its answer is complete."""
        if self.events:
            return self.events[-1][0] == "end"
        return self.status == 200


def parse_events(text: str) -> list[tuple[str, Any]]:
    """Returns the name and the decoded data of each server-sent event."""
    events = []
    for block in text.split("\n\n"):
        fields = dict(
            line.split(": ", 1) for line in block.splitlines() if ": " in line
        )
        if "event" in fields:
            events.append((fields["event"], orjson.loads(fields["data"])))
    return events
