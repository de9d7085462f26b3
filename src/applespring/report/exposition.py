"""Parser of the Prometheus text format, for saved and live scrapes.

A file contains one or more scrapes. A line `# scrape NAME SECONDS` starts the
scrape of instance NAME at that Unix time. A line `# scraped_at_unix_s SECONDS`
starts a scrape whose instance is named in its metrics or by the file name.
"""

import math
import re
from collections.abc import Mapping

from applespring.config import Diagnostic

SCRAPE_MARKERS = ("# scrape ", "# scraped_at_unix_s ")

_LINE = re.compile(
    r"(?P<name>[a-zA-Z_:][a-zA-Z0-9_:]*)"
    r"(?:\{(?P<labels>.*)\})?"
    r"[ \t]+(?P<value>[^ \t]+)"
    r"(?:[ \t]+(?P<time>-?[0-9]+))?[ \t]*"
)
_LABEL = re.compile(
    r'[ \t]*([a-zA-Z_][a-zA-Z0-9_]*)[ \t]*=[ \t]*"((?:[^"\\]|\\.)*)"[ \t]*'
)
_SCRAPE_MARKER = re.compile(
    r"(?:# scrape ([A-Za-z0-9_.:-]{1,128})|# scraped_at_unix_s)"
    r" ([0-9]+(?:\.[0-9]+)?)"
)
_ESCAPES = {"\\\\": "\\", '\\"': '"', "\\n": "\n"}

Labels = tuple[tuple[str, str], ...]


class Scrape:
    """The samples of one instance at one time.

    Attributes:
        instance: Name of the instance, or "" if the text does not state it.
        time_s: Unix time in seconds, or None if the text does not state it.
        samples: Values by metric name and label set.
    """

    __slots__ = ("instance", "time_s", "samples")

    def __init__(self, instance: str = "", time_s: float | None = None) -> None:
        self.instance = instance
        self.time_s = time_s
        self.samples: dict[str, dict[Labels, float]] = {}

    def add(self, name: str, labels: Mapping[str, str], value: float) -> bool:
        """Adds a sample; returns False if one with these labels exists."""
        series = self.samples.setdefault(name, {})
        key = tuple(sorted(labels.items()))
        if key in series:
            return False
        series[key] = value
        return True

    def find_label(self, name: str, label: str) -> str:
        """Returns the value of a label of a metric's first sample, or ""."""
        for labels in self.samples.get(name, {}):
            return dict(labels).get(label, "")
        return ""


def parse_exposition(
    text: str, file: str
) -> tuple[list[Scrape], list[Diagnostic]]:
    """Returns the scrapes of a text, and an error for each faulty line."""
    scrapes: list[Scrape] = []
    errors: list[Diagnostic] = []
    current: Scrape | None = None
    for number, line in enumerate(text.splitlines(), 1):
        if line.startswith(SCRAPE_MARKERS):
            marker = _SCRAPE_MARKER.fullmatch(line.rstrip())
            if marker is None:
                problem = (
                    "expected '# scrape NAME UNIX-SECONDS' or"
                    " '# scraped_at_unix_s UNIX-SECONDS'"
                )
                errors.append(Diagnostic(file, number, problem))
                continue
            current = Scrape(marker[1] or "", float(marker[2]))
            scrapes.append(current)
            continue
        if not line.strip() or line.startswith("#"):
            continue
        if current is None:
            current = Scrape()
            scrapes.append(current)
        problem = _add_line(current, line)
        if problem:
            errors.append(Diagnostic(file, number, problem))
    return scrapes, errors


def _add_line(scrape: Scrape, line: str) -> str:
    """Adds the sample of a line; returns an error message, or ""."""
    match = _LINE.fullmatch(line)
    if match is None:
        return f"not a sample: {line[:60]!r}"
    labels = _parse_labels(match["labels"] or "")
    if labels is None:
        return f"malformed labels: {match['labels'][:60]!r}"
    try:
        value = float(match["value"])
    except ValueError:
        return f"not a number: {match['value'][:60]!r}"
    if math.isnan(value):
        return ""
    if not scrape.add(match["name"], labels, value):
        return f"{match['name']} occurs twice with the same labels"
    return ""


def _parse_labels(text: str) -> dict[str, str] | None:
    labels: dict[str, str] = {}
    position = 0
    while position < len(text):
        match = _LABEL.match(text, position)
        if match is None:
            return None
        labels[match[1]] = re.sub(
            r"\\.", lambda m: _ESCAPES.get(m[0], m[0]), match[2]
        )
        position = match.end()
        if position < len(text):
            if text[position] != ",":
                return None
            position += 1
    return labels
