"""Runs the four steps that load a configuration document."""

from collections.abc import Sequence

from applespring.config import limits, references, rules
from applespring.config.build import build_fleet
from applespring.config.complete import complete_document
from applespring.config.diagnostic import Diagnostic
from applespring.config.parse import parse_text
from applespring.config.validate import validate_fleet
from applespring.core.fleet import Fleet

# Imported for their checks, which they register with `check` on import.
CHECK_MODULES = (limits, references, rules)


class LoadResult:
    """Outcome of loading a document.

    Attributes:
        fleet: The accepted configuration, or None if there are errors.
        errors: All errors, sorted by line and message.
    """

    __slots__ = ("fleet", "errors")

    def __init__(
        self, fleet: Fleet | None, errors: Sequence[Diagnostic]
    ) -> None:
        self.fleet = fleet
        self.errors = tuple(errors)


def load_document(
    text: str | bytes, revision: int, file: str = "fleet.toml"
) -> LoadResult:
    """Parses, completes, builds and validates a document.

    The outcome depends only on the text and the revision, so that all
    instances accept or reject a document alike.

    Args:
        text: The TOML document as text or as UTF-8 bytes.
        revision: Revision under which the document is published.
        file: Name of the document in error messages.
    """
    document = parse_text(text, file)
    if isinstance(document, Diagnostic):
        return LoadResult(None, [document])
    root, errors = complete_document(document)
    fleet = build_fleet(root, revision)
    errors += validate_fleet(root, fleet)
    errors.sort(key=lambda error: (error.line, error.message))
    return LoadResult(None if errors else fleet, errors)
