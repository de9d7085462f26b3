"""Steps about the service level report."""

import contextlib
import io
import json
import os
import pathlib
import re
import shlex
import tempfile

import httpx
from behave import given, then, when

from applespring.report.main import run_report
from applespring.report.scrape import fetch, fetch_config, read_file, save

DOCUMENT = """
site = "s"
region = "r"
failure_domains = ["d"]
[[pool]]
name = "finder"
kind = "retrieve"
upstream = [{ name = "u", address = "127.0.0.1:9", failure_domain = "d", slots = 1 }]
[[account]]
name = "web"
[[rule]]
name = "all"
then = { priority = 5 }
"""  # noqa: E501
PIPELINE = """
[[pipeline]]
name = "{name}"
objective = {objective}
stages = [{{ name = "find", pool = "finder" }}]
"""


def directory(context):
    """Returns a directory that is removed after the scenario."""
    if not hasattr(context, "report_directory"):
        temporary = tempfile.TemporaryDirectory()
        context.add_cleanup(temporary.cleanup)
        context.report_directory = pathlib.Path(temporary.name)
        context.report_files = []
    return context.report_directory


@given("the report's document with the pipelines")
def given_document(context):
    text = DOCUMENT + "".join(
        PIPELINE.format(**row.as_dict()) for row in context.table
    )
    (directory(context) / "fleet.toml").write_text(text)


@given('the saved scrapes "{name}"')
def given_scrapes(context, name):
    (directory(context) / name).write_text(context.text)
    context.report_files.append(name)


def run(context, arguments):
    out, err = io.StringIO(), io.StringIO()
    previous_directory = pathlib.Path.cwd()
    os.chdir(directory(context))
    try:
        with (
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(err),
        ):
            context.report_code = run_report(arguments, {})
    finally:
        os.chdir(previous_directory)
    context.report_text = out.getvalue()
    context.report_errors = err.getvalue().splitlines()


@when('the report is made with "{flags}"')
def when_report(context, flags):
    words = shlex.split(flags)
    files = [*context.report_files, "--config", "fleet.toml"]
    run(
        context,
        [*words, *files] if words[:1] == ["lost.prom"] else files + words,
    )


@when('the report is made with ""')
def when_plain_report(context):
    when_report(context, "")


@when('the report is made without files with "{flags}"')
def when_bare_report(context, flags):
    run(context, shlex.split(flags))


@when('the report is made without files with ""')
def when_empty_report(context):
    run(context, [])


@then("the report ends with code {code:d}")
def then_code(context, code):
    assert context.report_code == code, (
        context.report_code,
        context.report_errors,
    )


@then('the report\'s row "{name}" in "{title}" is')
def then_row(context, name, title):
    lines = context.report_text.split(f"\n{title}\n")[1].split("\n\n")[0]
    headings, *rows = (
        re.split(r" {2,}", line.strip()) for line in lines.splitlines()
    )
    row = next(row for row in rows if row[0] == name)
    found = dict(zip(headings, row, strict=True))
    wanted = context.table[0].as_dict()
    assert {key: found.get(key) for key in wanted} == wanted, found


@then('the report notes "{text}"')
def then_note(context, text):
    notes = [
        line for line in context.report_text.splitlines() if "note: " in line
    ]
    assert any(f"note: {text}" in note for note in notes), notes


@then('the report does not note "{text}"')
def then_no_note(context, text):
    assert f"note: {text}" not in context.report_text, context.report_text


@then('the report\'s errors are "{errors}"')
def then_errors(context, errors):
    assert context.report_errors == errors.split(" / "), context.report_errors


@then('the report\'s errors contain "{text}"')
def then_errors_contain(context, text):
    assert text in "\n".join(context.report_errors), context.report_errors


@then('the report\'s JSON has for pipeline "{name}" the values')
def then_json(context, name):
    document = json.loads(context.report_text)
    found = next(p for p in document["pipelines"] if p["name"] == name)
    for key, value in context.table[0].as_dict().items():
        assert found[key] == json.loads(value), found


@then(
    'the report\'s page "{name}" embeds {count:d} plots and no other resource'
)
def then_page(context, name, count):
    page = (directory(context) / name).read_text()
    sources = re.findall(r'(?:src|href)="([^"]*)', page)
    assert len(sources) == count, len(sources)
    for source in sources:
        assert source.startswith("data:image/svg+xml;base64,"), source[:60]
    assert "url(" not in page
    assert "@import" not in page


@then('the report\'s page "{name}" contains "{text}"')
def then_page_contains(context, name, text):
    assert text in (directory(context) / name).read_text()


@then(
    'the report reads instance "{name}" at {time_s:g} s with the label'
    " '{text}' and a new line"
)
def then_reads(context, name, time_s, text):
    path = directory(context) / context.report_files[0]
    scrapes, errors = read_file(path)
    assert not errors, [str(error) for error in errors]
    assert (scrapes[0].instance, scrapes[0].time_s) == (name, time_s)
    assert scrapes[0].find_label("a_total", "text") == f"{text}\n"


@given('an instance for the report at "{address}" with the metrics')
def given_instance(context, address):
    text = context.text + "\n"

    def answer(request):
        if request.url.netloc.decode() != address:
            raise httpx.ConnectError("unreachable")
        assert request.url.path == "/metrics", request.url
        return httpx.Response(200, text=text)

    context.report_client = httpx.Client(transport=httpx.MockTransport(answer))
    context.add_cleanup(context.report_client.close)


@when(
    'the report scrapes "{url}" at {first:g} s and at {second:g} s and saves'
    " the scrapes"
)
def when_scrapes(context, url, first, second):
    for time_s in (first, second):
        scrapes, errors, text = fetch(
            url, context.report_client, lambda at=time_s: at
        )
        assert not errors, str(errors[0])
        save(directory(context), scrapes[0], text)


@then(
    'the file of the report has 2 scrapes of "{name}" at {first:g} s'
    " and {second:g} s"
)
def then_saved(context, name, first, second):
    scrapes, errors = read_file(directory(context) / f"{name}.prom")
    assert not errors, str(errors[0])
    times = [(scrape.instance, scrape.time_s) for scrape in scrapes]
    assert times == [(name, first), (name, second)], times


@then('the report\'s scrape of "{url}" fails with "{error}"')
def then_scrape_fails(context, url, error):
    _, errors, _ = fetch(url, context.report_client)
    assert [str(found) for found in errors] == [error], errors


@given(
    "instances for the report that have no document, an invalid one and"
    " revision 7"
)
def given_documents(context):
    text = (directory(context) / "fleet.toml").read_text()
    replies = {
        "127.0.0.1:1": httpx.Response(
            200, text="", headers={"applespring-revision": "0"}
        ),
        "127.0.0.1:2": httpx.Response(200, text="<html>"),
        "127.0.0.1:3": httpx.Response(
            200, text=text, headers={"applespring-revision": "7"}
        ),
    }

    def answer(request):
        assert request.url.path == "/v1/config", request.url
        return replies[request.url.netloc.decode()]

    context.report_client = httpx.Client(transport=httpx.MockTransport(answer))
    context.add_cleanup(context.report_client.close)


@then(
    'the report fetches the objective {objective:g} of "{name}" at revision'
    " {revision:d}"
)
def then_fetched(context, objective, name, revision):
    urls = ["127.0.0.1:1", "http://127.0.0.1:2/", "127.0.0.1:3/metrics"]
    fleet = fetch_config(urls, context.report_client)
    assert fleet.revision == revision, fleet.revision
    assert fleet.pipelines[name].objective == objective
