"""The subcommands of applespring-check."""

import pathlib
import shutil
import sys
import tomllib
from collections.abc import Mapping, Sequence
from typing import Annotated

from applespring.check.explanation import describe_decision, describe_rules
from applespring.cli import EXIT_DONE, EXIT_FAULT, Range
from applespring.config import (
    DOCUMENT_MAX_BYTES,
    Diagnostic,
    LoadResult,
    load_document,
)
from applespring.config.layout import format_text
from applespring.core.condition import DEADLINE_MAX_S
from applespring.core.errors import SettingsError
from applespring.core.fleet import Fleet
from applespring.core.rule import Facts, decide
from applespring.core.rule import explain as explain_rules

REVISION_MAX = 2**53


def check(
    *files: str, revision: Annotated[int | None, Range(1, REVISION_MAX)] = None
) -> int:
    """Checks documents and prints every error with its file and line.

    Args:
        files: The documents.
        revision: Revision under which they will be published; by default the
            revision after `based_on`.
    """
    if not files:
        raise SettingsError("no file is given; allowed: one or more files")
    code = EXIT_DONE
    for file in files:
        result = load_file(file, revision)
        if result.fleet is None:
            _print_errors(result.errors)
            code = EXIT_FAULT
        else:
            print(f"{file}: {_summarize(result.fleet)}")
    return code


def explain(
    file: str,
    *,
    pipeline: str,
    account: str,
    failure_domain: str = "",
    deadline_s: Annotated[float | None, Range(0, DEADLINE_MAX_S)] = None,
    stream: bool = False,
    hour_utc: Annotated[int, Range(0, 23)] = 12,
    label: str = "",
    pool_busy: list[str] | None = None,
) -> int:
    """Explains which rule decides about a request and why.

    Args:
        file: The document.
        pipeline: Pipeline of the request.
        account: Client account of the request.
        failure_domain: Failure domain of the instance; by default the first.
        deadline_s: Seconds until the deadline; by default the pipeline's
            deadline.
        stream: Whether the caller asks for a streamed answer.
        hour_utc: Hour of the day in UTC.
        label: Label that the caller gives to the request.
        pool_busy: Busy fractions of pools, for example `encoder=0.9`; a pool
            that is not listed is idle.
    """
    result = load_file(file, None)
    if result.fleet is None:
        _print_errors(result.errors)
        return EXIT_FAULT
    fleet = result.fleet
    failure_domain = failure_domain or fleet.failure_domains[0]
    _require_known("--pipeline", pipeline, fleet.pipelines)
    _require_known("--account", account, fleet.accounts)
    _require_known("--failure-domain", failure_domain, fleet.failure_domains)
    if deadline_s is None:
        deadline_s = fleet.pipelines[pipeline].deadline_s
    facts = Facts(
        pipeline,
        account,
        failure_domain=failure_domain,
        deadline_s=deadline_s,
        stream=stream,
        hour_utc=hour_utc,
        label=label,
        pool_busy=_parse_pool_busy(pool_busy or [], fleet),
    )
    print("\n".join(describe_rules(explain_rules(fleet, facts))))
    print("\n".join(describe_decision(decide(fleet, facts))))
    return EXIT_DONE


def format_file(file: str, *, write: bool = False) -> int:
    """Prints a document in the standard layout.

    Args:
        file: The document.
        write: Replace the file instead of printing the document.
    """
    try:
        formatted = format_text(read_file(file).decode())
    except (ValueError, RecursionError) as exc:
        errors = load_file(file, None).errors
        _print_errors(errors or [Diagnostic(file, 1, str(exc))])
        return EXIT_FAULT
    if write:
        _replace_file(pathlib.Path(file).resolve(), formatted)
    else:
        sys.stdout.write(formatted)
    return EXIT_DONE


def read_file(file: str, bytes_max: int = DOCUMENT_MAX_BYTES) -> bytes:
    """Returns the bytes of a file.

    Args:
        file: Path of the file.
        bytes_max: Most bytes allowed. Of a larger file, one byte more than
            this is returned, so that the caller can tell.

    Raises:
        SettingsError: The file cannot be read.
    """
    try:
        with pathlib.Path(file).open("rb") as stream:
            return stream.read(bytes_max + 1)
    except OSError as exc:
        raise SettingsError(
            f"cannot read {file}: {exc.strerror}; allowed: a readable file"
        ) from exc


def _replace_file(path: pathlib.Path, text: str) -> None:
    """Replaces a file atomically, so that a full disk leaves the old one."""
    temporary = path.with_name(f".{path.name}.new")
    try:
        temporary.write_text(text, encoding="utf-8", newline="")
        shutil.copymode(path, temporary)
        temporary.replace(path)
    except OSError as exc:
        temporary.unlink(missing_ok=True)
        raise SettingsError(
            f"cannot write {path}: {exc.strerror}; allowed: a writable file"
        ) from exc


def load_file(file: str, revision: int | None) -> LoadResult:
    """Loads a document.

    Without a revision, it is loaded under the one that follows `based_on`.

    Raises:
        SettingsError: The file cannot be read.
    """
    raw = read_file(file)
    return load_document(raw, revision or infer_revision(raw), file)


def infer_revision(raw: bytes) -> int:
    """Returns the revision after the document's `based_on`, by default 1."""
    try:
        based_on = tomllib.loads(raw.decode()).get("based_on")
    except (ValueError, RecursionError):
        return 1
    return based_on + 1 if isinstance(based_on, int) else 1


def _require_known(
    option: str, value: str, names: Sequence[str] | Mapping
) -> None:
    if value not in names:
        raise SettingsError(
            f"{option}={value} is not allowed; allowed: {', '.join(names)}"
        )


def _parse_pool_busy(texts: Sequence[str], fleet: Fleet) -> dict[str, float]:
    busy = {}
    for text in texts:
        pool, _, fraction = text.partition("=")
        _require_known("--pool-busy", pool, fleet.pools)
        try:
            busy[pool] = float(fraction)
        except ValueError:
            busy[pool] = -1.0
        if not 0 <= busy[pool] <= 1:
            raise SettingsError(
                f"--pool-busy={text} is not allowed; "
                "allowed: a pool, '=' and 0 to 1"
            )
    return busy


def _print_errors(errors: Sequence[Diagnostic]) -> None:
    for error in errors:
        print(error, file=sys.stderr)


def _summarize(fleet: Fleet) -> str:
    upstreams = sum(len(pool.upstreams) for pool in fleet.pools.values())
    return (
        f"valid: {len(fleet.pools)} pools, {upstreams} upstreams, "
        f"{len(fleet.pipelines)} pipelines, {len(fleet.accounts)} accounts, "
        f"{len(fleet.rules)} rules"
    )
