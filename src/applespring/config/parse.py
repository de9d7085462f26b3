"""First step of loading: parses the text and indexes its lines."""

import re
from typing import Any

import tomli

from applespring.config.diagnostic import Diagnostic
from applespring.config.lines import LineIndex

# The configuration service stores values of up to 1 MB.
DOCUMENT_MAX_BYTES = 1_000_000

_POSITION_PATTERN = re.compile(
    r" \(at (?:line (\d+), column \d+|end of document)\)"
)


class Document:
    """A parsed document, of which only the syntax has been checked.

    Attributes:
        file: Name of the document in error messages.
        tree: The parsed values as nested dicts and lists.
        lines: Lines of the paths in the tree.
    """

    __slots__ = ("file", "tree", "lines")

    def __init__(
        self, file: str, tree: dict[str, Any], lines: LineIndex
    ) -> None:
        self.file = file
        self.tree = tree
        self.lines = lines


def parse_text(text: str | bytes, file: str) -> Document | Diagnostic:
    """Returns the document, or the error that prevents parsing it."""
    encoded = text.encode(errors="replace") if isinstance(text, str) else text
    if len(encoded) > DOCUMENT_MAX_BYTES:
        message = f"the document has {len(encoded)} bytes; allowed: up to"
        return Diagnostic(file, 1, f"{message} {DOCUMENT_MAX_BYTES}")
    try:
        decoded = text if isinstance(text, str) else text.decode()
    except UnicodeDecodeError as exc:
        line = encoded.count(b"\n", 0, exc.start) + 1
        return Diagnostic(
            file, line, f"the document is not UTF-8: {exc.reason}"
        )
    return _parse_toml(decoded, file)


def _parse_toml(text: str, file: str) -> Document | Diagnostic:
    try:
        tree = tomli.loads(text)
        return Document(file, tree, LineIndex(text))
    except RecursionError:
        return Diagnostic(file, 1, "the document is nested too deeply")
    except ValueError as exc:
        return _describe_syntax_error(text, file, str(exc))


def _describe_syntax_error(text: str, file: str, cause: str) -> Diagnostic:
    position = _POSITION_PATTERN.search(cause)
    line = 1
    if position is not None:
        end = text.rstrip("\n").count("\n") + 1
        line = int(position[1]) if position[1] else end
    reason = _POSITION_PATTERN.sub("", cause)
    return Diagnostic(file, line, f"the document is not TOML: {reason}")
