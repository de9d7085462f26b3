"""Steps about a saved configuration of the platform."""

import pathlib
import shlex
import tempfile

from behave import given, then, when

from features.fixtures.platform_text import make_configuration, make_route


def save(context, data):
    """Writes the file that the command reads."""
    if not hasattr(context, "directory"):
        holder = tempfile.TemporaryDirectory()
        context.add_cleanup(holder.cleanup)
        context.directory = pathlib.Path(holder.name)
    (context.directory / "config.json").write_bytes(data)


@given("a saved configuration of the platform")
def given_saved(context):
    save(context, make_configuration())


@given("a saved configuration whose accounts hold no key")
def given_keyless(context):
    accounts = [{"name": "bozi300", "apiKeys": []}]
    save(context, make_configuration(tenants=accounts))


@given("a saved configuration with faults")
def given_faults(context):
    stage = {"service": "kafi81c", "after": [], "length": 90_000_000}
    routes = [
        make_route(
            "r-1",
            "/puxa400/",
            service="gone",
            stages=[{"service": "huvo11a", "after": [0], "length": 1}],
        ),
        make_route("r-2", "/puxa400/", targetLatencyMs=20_000, stages=[stage]),
        make_route("r-3", "/x"),
        make_route(
            "r-4",
            "/y/",
            kind="safe",
            trafficSplit=[{"service": "huvo11a", "weight": 0}],
        ),
    ]
    save(context, make_configuration(routes=routes))


@given("a saved file with {text}")
def given_file(context, text):
    save(context, text.encode())


@when(
    'the saved configuration is checked with request "{request}" and key '
    '"{key}"'
)
def when_checked(context, request, key):
    words = shlex.join(["--request", request, "--key", key])
    context.execute_steps(
        f"When applespring-check runs with published config.json {words}"
    )


@when('the saved configuration is checked with request "" and key ""')
def when_checked_alone(context):
    context.execute_steps(
        "When applespring-check runs with published config.json"
    )


@then('its output has "{words}"')
def then_output(context, words):
    assert words in context.stdout, context.stdout


@then("its errors are")
def then_errors(context):
    assert context.stderr == context.text + "\n", context.stderr
