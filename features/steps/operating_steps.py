"""Steps on the manual for operators."""

import inspect
import pathlib
import re
import typing

from behave import then

from applespring.check.commands import load_file
from applespring.cli import Range
from applespring.core.action import ACTIONS
from applespring.core.condition import CONDITIONS
from applespring.core.reason import all_reasons
from applespring.core.rule import Facts, decide
from applespring.entry.main import serve
from features.fixtures.pages import read_rows

GLOSSARY = pathlib.Path("docs/glossary.md")


def flags():
    """Yields the option, the type hint and the default of every flag."""
    hints = typing.get_type_hints(serve, include_extras=True)
    for parameter in inspect.signature(serve).parameters.values():
        option = "--" + parameter.name.replace("_", "-")
        yield option, hints[parameter.name], parameter.default


@then(
    "docs/OPERATIONS.md lists every flag of applespring-entry with its default"
)
def then_flags(context):
    rows = read_rows("Settings of applespring-entry")
    assert set(rows) == {option for option, _, _ in flags()}, set(rows)
    words = {inspect.Parameter.empty: "required", (): "none", False: "false"}
    for option, _, default in flags():
        wanted = words.get(default, str(default))
        assert rows[option][1] == wanted, (option, rows[option][1], wanted)


@then("docs/OPERATIONS.md states the bounds of every number in the flags")
def then_bounds(context):
    rows = read_rows("Settings of applespring-entry")
    for option, hint, _ in flags():
        for extra in getattr(hint, "__metadata__", ()):
            if isinstance(extra, Range):
                assert rows[option][0].startswith(str(extra)), (
                    option,
                    rows[option][0],
                    str(extra),
                )


@then("docs/OPERATIONS.md lists every reason code with its status")
def then_reasons(context):
    rows = read_rows("Reason codes")
    wanted = {reason.code: str(reason.status) for reason in all_reasons()}
    found = {code: cells[0] for code, cells in rows.items()}
    assert found == wanted, set(found.items()) ^ set(wanted.items())
    assert all(len(cells) == 5 and all(cells) for cells in rows.values())


@then("docs/OPERATIONS.md says for every reason code whether it counts")
def then_counts(context):
    rows = read_rows("Reason codes")
    for reason in all_reasons():
        wanted = "no" if reason.is_caller_error else "yes"
        assert rows[reason.code][2] == wanted, reason.code


@then("docs/OPERATIONS.md lists exactly the conditions and actions of rules")
def then_rules(context):
    rows = read_rows("Rules")
    assert set(rows) == set(CONDITIONS) | set(ACTIONS), (
        set(rows) ^ set(CONDITIONS) ^ set(ACTIONS)
    )
    assert all(all(cells) for cells in rows.values())


@then('docs/glossary.md explains "{words}"')
def then_glossary(context, words):
    for word in words.split(", "):
        row = rf"^\| {word} \| [^|]{{20,}} \| [^|]{{5,}} \|$"
        assert re.search(row, GLOSSARY.read_text(), re.M), word


@then('"{file}" is valid and rule "{rule}" decides with "{pool}" busy')
def then_first_document(context, file, rule, pool):
    result = load_file(file, None)
    assert result.fleet, [str(error) for error in result.errors]
    facts = Facts("ask", "web", pool_busy={pool: 0.9})
    assert decide(result.fleet, facts).rule == rule
