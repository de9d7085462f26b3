"""The subcommand that reviews a configuration before it is sent."""

import json
import pathlib
import sys
from collections.abc import Iterator, Mapping
from typing import Annotated, Any

from applespring.check.commands import (
    REVISION_MAX,
    infer_revision,
    read_file,
)
from applespring.check.difference import Difference, compare
from applespring.check.published import PUBLISHED_MAX_BYTES
from applespring.cli import EXIT_DONE, EXIT_FAULT, Range
from applespring.config import Diagnostic, load_document
from applespring.config.advice import find_advice
from applespring.config.parse import Document, parse_text
from applespring.core.errors import SettingsError
from applespring.platform.document_check import (
    CheckedDocument,
    check_configuration,
)
from applespring.platform.settings import read_regions


def review(
    file: str,
    *,
    in_force: str = "",
    settings: str = "",
    revision: Annotated[int | None, Range(1, REVISION_MAX)] = None,
) -> int:
    """Reviews a configuration before it is sent, and compares it.

    Finds every error, entries that never match, and limits that contradict each
    other, in a document of the product (TOML) or of the platform (JSON). Prints
    findings as errors, and differences from the version in force as output.
    Differences alone are no findings; a version that does not rise is one.

    Args:
        file: The configuration.
        in_force: The configuration in force, to compare with.
        settings: Settings of an instance on the platform, which name the
            regions of failure domains.
        revision: Revision under which a TOML document will be published; by
            default the revision after `based_on`.
    """
    raw = read_file(file, PUBLISHED_MAX_BYTES)
    old = read_file(in_force, PUBLISHED_MAX_BYTES) if in_force else None
    if _is_json(file, raw):
        if revision is not None:
            raise SettingsError(
                f"--revision={revision} is not allowed; allowed: only with a "
                "TOML document"
            )
        regions = read_regions(pathlib.Path(settings)) if settings else None
        found, changes = _review_json(file, raw, in_force, old, regions)
    else:
        if settings:
            raise SettingsError(
                f"--settings={settings} is not allowed; allowed: only with a "
                "JSON document"
            )
        found, changes = _review_toml(file, raw, in_force, old, revision)
    for line in found:
        print(line, file=sys.stderr)
    for line in changes:
        print(line)
    summary = f"{file}: {len(found)} findings"
    if in_force:
        summary += f", {len(changes)} differences from {in_force}"
    print(summary)
    return EXIT_FAULT if found else EXIT_DONE


def _is_json(file: str, raw: bytes) -> bool:
    """Returns whether a file is JSON, which no TOML document begins like."""
    return file.endswith(".json") or raw.lstrip()[:1] == b"{"


def _review_json(
    file: str,
    raw: bytes,
    old_file: str,
    old_raw: bytes | None,
    regions: Mapping[str, str] | None,
) -> tuple[list[str], list[str]]:
    checked = check_configuration(raw, regions)
    found = _describe_findings(file, checked)
    if old_raw is None or checked.tree is None:
        return found, []
    old = check_configuration(old_raw)
    if old.tree is None:
        return found + _describe_findings(old_file, old), []
    found += _check_rise(
        f"{file}: version", checked.tree, old.tree, "version", old_file
    )
    changes = [
        f"{old_file if change.is_removed else file}: {change.place}: "
        f"{change.text}"
        for change in compare(old.tree, checked.tree)
    ]
    return found, changes


def _describe_findings(file: str, checked: CheckedDocument) -> list[str]:
    return [
        f"{file}: {finding.place}: {finding.message}"
        if finding.place
        else f"{file}: {finding.message}"
        for finding in checked.findings
    ]


def _review_toml(
    file: str,
    raw: bytes,
    old_file: str,
    old_raw: bytes | None,
    revision: int | None,
) -> tuple[list[str], list[str]]:
    result = load_document(raw, revision or infer_revision(raw), file)
    document = parse_text(raw, file)
    if isinstance(document, Diagnostic):
        return [str(error) for error in result.errors], []
    diagnostics = [*result.errors, *find_advice(document)]
    diagnostics.sort(key=lambda found: (found.line, found.message))
    found = list(dict.fromkeys(map(str, diagnostics)))
    if old_raw is None:
        return found, []
    old = parse_text(old_raw, old_file)
    if isinstance(old, Diagnostic):
        return [*found, str(old)], []
    line = document.lines.find(("based_on",))
    found += _check_rise(
        f"{file}:{line}: the document",
        document.tree,
        old.tree,
        "based_on",
        old_file,
    )
    changes = [
        _describe_change(change, document, old)
        for change in compare(old.tree, document.tree)
    ]
    return found, changes


def _check_rise(
    place: str,
    new: Mapping[str, Any],
    old: Mapping[str, Any],
    field: str,
    old_file: str,
) -> Iterator[str]:
    """Yields a finding if a version does not rise."""
    number, before = new.get(field), old.get(field)
    if isinstance(number, int) and isinstance(before, int) and number <= before:
        yield (
            f"{place}: {field} = {json.dumps(number)}; allowed: above "
            f"{before}, that of {old_file}"
        )


def _describe_change(change: Difference, new: Document, old: Document) -> str:
    document = old if change.is_removed else new
    line = document.lines.find(change.path)
    return f"{document.file}:{line}: {change.place}: {change.text}"
