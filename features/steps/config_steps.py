"""Steps for configuration documents, rules and applespring-check."""

import contextlib
import io
import pathlib
import shlex
import tempfile
import tomllib
from unittest import mock

from behave import given, then, when
from hypothesis import example, settings
from hypothesis import given as generated
from hypothesis import strategies as st

from applespring.check.main import run_check
from applespring.config import DOCUMENT_MAX_BYTES, load_document
from applespring.config.layout import format_text
from applespring.config.lines import LineIndex
from applespring.config.token import scan_tokens
from applespring.core.rule import Facts, decide, explain


@given("the configuration document")
def given_document(context):
    context.document = context.text


@given("the configuration document with Windows line ends")
def given_windows_document(context):
    context.document = context.text.replace("\n", "\r\n")


@given("a configuration document of one byte more than allowed")
def given_large_document(context):
    context.document = "#" * (DOCUMENT_MAX_BYTES + 1)


@given("a configuration document that is not UTF-8 on line 2")
def given_latin1_document(context):
    context.document = b'site = "S"\nregion = "\xe9"\n'


@given("a configuration document of {depth:d} nested lists")
def given_nested_document(context, depth):
    context.document = "site = " + "[" * depth + "]" * depth


@given("the configuration file {path}")
def given_file(context, path):
    context.document = pathlib.Path(path).read_text()


@when("the document is loaded as revision {revision:d}")
def when_loaded(context, revision):
    context.result = load_document(context.document, revision, "fleet.toml")


@then("the document has the errors")
def then_errors(context):
    found = "\n".join(map(str, context.result.errors))
    assert found == context.text, f"found:\n{found}"
    assert context.result.fleet is None


@then("the document has no errors")
def then_no_errors(context):
    assert not context.result.errors, context.result.errors
    assert context.result.fleet is not None


@then("its rules start on the lines {lines}")
def then_rule_lines(context, lines):
    found = [rule.line for rule in context.result.fleet.rules]
    assert found == [int(line) for line in lines.split(",")], found


@then("its pool {name} has {count:d} upstreams")
def then_upstreams(context, name, count):
    upstreams = context.result.fleet.pools[name].upstreams
    assert len(upstreams) == count
    domains = {upstream.failure_domain for upstream in upstreams}
    assert domains == set(context.result.fleet.failure_domains)


@then("its pool {name} has the field {field} = {value}")
def then_pool_field(context, name, field, value):
    found = getattr(context.result.fleet.pools[name], field)
    assert found == tomllib.loads(f"v = {value}")["v"], found


@then("it has {count:d} client accounts")
def then_accounts(context, count):
    assert len(context.result.fleet.accounts) == count


@then("its pools that report load are {names}")
def then_pools_reporting_load(context, names):
    pools = context.result.fleet.pools.values()
    found = sorted(pool.name for pool in pools if pool.reports_load)
    assert found == names.split(", "), found


@then("these keys are on these lines")
def then_key_lines(context):
    index = LineIndex(context.document)
    for row in context.table:
        path = tuple(
            int(key) if key.isdigit() else key for key in row["path"].split("/")
        )
        assert index.find(path) == int(row["line"]), (path, index.find(path))


@given("the TOML text")
def given_toml(context):
    context.document = context.text


@then("it is formatted as")
def then_formatted(context):
    found = format_text(context.document)
    assert found == context.text + "\n", f"found:\n{found}"
    assert format_text(found) == found


@given("a tokenizer that omits the token {text}")
def given_omitting_tokenizer(context, text):
    def scan_all_but_one(document):
        return (t for t in scan_tokens(document) if t.text != text)

    patch = mock.patch(
        "applespring.config.layout.scan_tokens", scan_all_but_one
    )
    patch.start()
    context.add_cleanup(patch.stop)


@then("it is not formatted")
def then_not_formatted(context):
    try:
        format_text(context.document)
    except ValueError as exc:
        assert str(exc) == "formatting would change the document", exc
    else:
        raise AssertionError("formatted")


@then("any text and any bytes give a fleet or an error with a line")
def then_any_text(context):
    fragments = st.sampled_from(
        ["[[rule]]\n", "[[pool]]\n", "[rule.when]\n", "name", " = ", "0", "{"]
        + ["[", "]", "}", '"a"', "\n", "stages", "upstream", "when", ",", "nan"]
    )
    texts = st.lists(fragments, max_size=30).map("".join)

    @settings(derandomize=True, database=None, deadline=None)
    @generated(texts | st.text() | st.binary())
    @example("[[rule]]\nwhen = 3\n")
    @example("x = " + "9" * 5000)
    def check(text):
        result = load_document(text, 1)
        assert result.fleet is not None or result.errors
        assert all(error.line >= 1 for error in result.errors)

    check()


def read_facts(table):
    """Returns facts from a table of their names and TOML values."""
    fields = {
        row["fact"]: tomllib.loads(f"v = {row['value']}")["v"] for row in table
    }
    return Facts(fields.pop("pipeline"), fields.pop("account"), **fields)


@given("a request to the rules with")
def given_facts(context):
    context.facts = read_facts(context.table)


@then("the decision of the rules has")
def then_decision(context):
    decision = decide(context.result.fleet, context.facts)
    for row in context.table:
        found = getattr(decision, row["field"])
        expected = tomllib.loads(f"v = {row['value']}")["v"]
        assert found == expected, (row["field"], found)


@then("every other field of the decision has its default")
def then_defaults(context):
    decision = decide(context.result.fleet, context.facts)
    found = [getattr(decision, name) for name in decision.__slots__[2:]]
    defaults = [None, 5, "full", False, True, None, {}, True]
    assert found == defaults, found


@then("these requests are decided by these rules")
def then_deciding_rules(context):
    for row in context.table:
        facts = tomllib.loads("\n".join(row["request"].split("; ")))
        facts = {"pipeline": "sale", "account": "one", **facts}
        found = decide(context.result.fleet, Facts(**facts)).rule
        assert found == row["rule"], (row["request"], found)


@then("the explanation of the rules is")
def then_explanation(context):
    lines = []
    for outcome in explain(context.result.fleet, context.facts):
        state = "decides" if outcome.decides else f"held {outcome.held}"
        lines.append(f"{outcome.rule.name} {state}")
        for condition in outcome.conditions:
            lines.append(
                f"  {condition.name} held {condition.held}:"
                f" {condition.observation}"
            )
    found = "\n".join(lines)
    assert found == context.text, f"found:\n{found}"


@given("the file {name} for applespring-check")
def given_named_file(context, name):
    if not hasattr(context, "directory"):
        temporary = tempfile.TemporaryDirectory()
        context.add_cleanup(temporary.cleanup)
        context.directory = pathlib.Path(temporary.name)
    (context.directory / name).write_text(context.text + "\n")


@given("the variable {name} = {value} for applespring-check")
def given_variable(context, name, value):
    context.environ = {name: value}


@when("applespring-check runs with {arguments}")
def when_check_runs(context, arguments):
    argv = shlex.split(arguments)
    directory = getattr(context, "directory", pathlib.Path())
    argv = [
        str(directory / word) if (directory / word).is_file() else word
        for word in argv
    ]
    stdout, stderr = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stdout(stdout),
        contextlib.redirect_stderr(stderr),
    ):
        context.code = run_check(argv, getattr(context, "environ", {}))
    prefix = f"{directory}/"
    context.stdout = stdout.getvalue().replace(prefix, "")
    context.stderr = stderr.getvalue().replace(prefix, "")


@then("applespring-check exits with {code:d}")
def then_code(context, code):
    assert context.code == code, (context.code, context.stderr)


@then("applespring-check prints")
def then_stdout(context):
    assert context.stdout == context.text + "\n", context.stdout


@then("applespring-check prints the file {path}")
def then_stdout_file(context, path):
    assert context.stdout == pathlib.Path(path).read_text()


@then("applespring-check prints lines with")
def then_stdout_contains(context):
    for line in context.text.splitlines():
        assert line in context.stdout, (line, context.stdout)


@then("applespring-check prints errors with")
def then_stderr_contains(context):
    for line in context.text.splitlines():
        assert line in context.stderr, (line, context.stderr)


@then("the file {name} now holds")
def then_file(context, name):
    found = (context.directory / name).read_text()
    assert found == context.text + "\n", found
