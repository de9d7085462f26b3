"""Scrapes from files and over HTTP."""

import pathlib
import time
from collections.abc import Callable, Sequence

import httpx

from applespring.config import Diagnostic, load_document
from applespring.core.fleet import Fleet
from applespring.report.exposition import Scrape, parse_exposition

INSTANCE_INFO_METRIC = "applespring_instance_info"
REVISION_HEADER = "Applespring-Revision"
FETCH_TIMEOUT_S = 5.0
BODY_BYTES_MAX = 16 * 1024 * 1024


def read_file(path: pathlib.Path) -> tuple[list[Scrape], list[Diagnostic]]:
    """Returns the scrapes of a file and the errors found in it.

    The instance of a scrape that does not state it is the one in its metrics,
    else the part of the file name before `@`. The time of a scrape that does
    not state it is the number after `@`, else the modification time of the
    file.
    """
    try:
        text = path.read_text("utf-8")
    except UnicodeDecodeError:
        return [], [Diagnostic(str(path), 1, "the file is not UTF-8")]
    except OSError as exc:
        problem = f"cannot be read: {exc.strerror}"
        return [], [Diagnostic(str(path), 1, problem)]
    scrapes, errors = parse_exposition(text, str(path))
    if not scrapes and not errors:
        errors.append(Diagnostic(str(path), 1, "the file has no samples"))
    stem, _, suffix = path.stem.partition("@")
    for scrape in scrapes:
        if scrape.time_s is None:
            scrape.time_s = _parse_time(suffix) or path.stat().st_mtime
        scrape.instance = (
            scrape.instance
            or scrape.find_label(INSTANCE_INFO_METRIC, "name")
            or stem
        )
    return scrapes, errors


def fetch(
    url: str, client: httpx.Client, clock: Callable[[], float] = time.time
) -> tuple[list[Scrape], list[Diagnostic], str]:
    """Scrapes one instance.

    Args:
        url: Address of the instance, with or without `/metrics`.
        client: HTTP client.
        clock: Returns the Unix time in seconds.

    Returns:
        The scrapes in the answer, the errors in it, and its text. There is also
        an error if the instance does not answer.
    """
    target = f"{_base_url(url)}/metrics"
    try:
        resp = client.get(target, timeout=FETCH_TIMEOUT_S)
    except (httpx.HTTPError, httpx.InvalidURL) as exc:
        problem = f"no answer: {exc or type(exc).__name__}"
        return [], [Diagnostic(target, 1, problem)], ""
    if resp.status_code != 200 or len(resp.content) > BODY_BYTES_MAX:
        problem = (
            f"status {resp.status_code}, {len(resp.content)} bytes; allowed:"
            f" status 200 and at most {BODY_BYTES_MAX} bytes"
        )
        return [], [Diagnostic(target, 1, problem)], ""
    scrapes, errors = parse_exposition(resp.text, target)
    for scrape in scrapes:
        scrape.time_s = clock()
        scrape.instance = (
            scrape.find_label(INSTANCE_INFO_METRIC, "name")
            or resp.url.netloc.decode()
        )
    return scrapes, errors, resp.text


def fetch_config(urls: Sequence[str], client: httpx.Client) -> Fleet | None:
    """Returns the document in force at the first instance with a valid one."""
    for url in urls:
        target = f"{_base_url(url)}/v1/config"
        try:
            resp = client.get(target, timeout=FETCH_TIMEOUT_S)
        except (httpx.HTTPError, httpx.InvalidURL):
            continue
        revision = resp.headers.get(REVISION_HEADER, "")
        if resp.status_code == 200 and revision.isdigit():
            fleet = load_document(resp.text, int(revision), target).fleet
            if fleet is not None:
                return fleet
    return None


def save(directory: pathlib.Path, scrape: Scrape, text: str) -> None:
    """Appends a scrape to the file of its instance.

    Raises:
        OSError: The file cannot be written.
    """
    directory.mkdir(parents=True, exist_ok=True)
    name = scrape.instance.replace(":", "-")
    with (directory / f"{name}.prom").open("a", encoding="utf-8") as file:
        file.write(f"# scrape {scrape.instance} {scrape.time_s:.3f}\n{text}")


def find_missing(
    expected: Sequence[str], scrapes: Sequence[Scrape]
) -> list[str]:
    """Returns the expected instances without a scrape."""
    seen = {scrape.instance for scrape in scrapes}
    return sorted(set(expected) - seen)


def _base_url(url: str) -> str:
    """Returns the base URL of an instance, without `/metrics`."""
    base = url.removesuffix("/metrics").rstrip("/")
    return base if "://" in base else f"http://{base}"


def _parse_time(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None
