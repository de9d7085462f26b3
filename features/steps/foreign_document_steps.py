"""Steps about documents with values that no field should have."""

import copy
import json
import re

import anyio
from behave import given, then

from applespring.core.errors import MessageError
from applespring.platform.document import decode_document
from features.fixtures.platform_text import make_configuration
from features.fixtures.relay_world import SIGNED, RelayWorld, events
from features.fixtures.virtual import run_virtual

OTHER_VALUES = (None, True, -1, 0, 7, 1e308, "x", [], {}, [7], ["x"])
STAGE_HEADERS = [(b"segments", b"1,1"), (b"segment-key", b"k")]
PATHS = ("/staged/x", "/unsafe/x", "/stream/x", "/safe/x")


def list_places(value, place=()):
    """Yields the place of each field and each item of a document."""
    if place:
        yield place
    if isinstance(value, dict):
        for name, item in value.items():
            yield from list_places(item, (*place, name))
    elif isinstance(value, list):
        for number, item in enumerate(value):
            yield from list_places(item, (*place, number))


def put(doc, place, value):
    """Returns a copy of a document with another value at a place."""
    changed = copy.deepcopy(doc)
    table = changed
    for part in place[:-1]:
        table = table[part]
    table[place[-1]] = value
    return changed


def serve(document):
    """Returns the statuses of requests after a document has come into force."""
    statuses = {}

    async def run():
        world = RelayWorld()
        for name in ("s0", "s1"):
            world.add_upstream(name, "stage")
        world.add_upstream("plain", "plain")
        engine = world.add_upstream("engine", "engines")
        engine.default = (200, SIGNED, events(1, 2))

        async def send(path):
            headers = STAGE_HEADERS if path.startswith("/staged") else ()
            reply = await world.request(
                "one", path, request=path, headers=headers
            )
            statuses[path] = reply.status

        async with anyio.create_task_group() as tasks:
            await world.start("one", tasks)
            await anyio.sleep(1.0)
            world.document = document
            await anyio.sleep(1.0)
            with anyio.move_on_after(20.0):
                async with anyio.create_task_group() as requests:
                    for path in PATHS:
                        requests.start_soon(send, path)
            await anyio.sleep(1.0)
            tasks.cancel_scope.cancel()

    run_virtual(run)
    return statuses


@then(
    "for each field of a document and each other value the document is "
    "rejected or served without an error"
)
def then_all_serve(context):
    del context
    doc = json.loads(RelayWorld().document)
    doc["version"] = 8
    # One route with stages and one without stand for the others.
    kept = ("unsafe", "staged")
    doc["routes"] = [r for r in doc["routes"] if r["name"] in kept]
    served = rejected = 0
    for place in list_places(doc):
        if place == ("version",):
            continue
        for value in OTHER_VALUES:
            data = json.dumps(put(doc, place, value)).encode()
            try:
                decode_document(data)
            except MessageError:
                rejected += 1
                continue
            served += 1
            statuses = serve(data)
            assert 500 not in statuses.values(), (place, value, statuses)
    assert served > 100 and rejected > 100, (served, rejected)


@given("the configuration with {field} set to {value}")
def given_changed(context, field, value):
    place = [
        int(part) if part.isdecimal() else part
        for part in re.findall(r"[^.\[\]]+", field)
    ]
    doc = json.loads(make_configuration())
    context.raw = json.dumps(put(doc, place, json.loads(value))).encode()


@then("the document is accepted")
def then_accepted(context):
    decode_document(context.raw)
