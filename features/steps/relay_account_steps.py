"""Steps about the keys of client accounts."""

import json

import anyio
from behave import given, then, when

from features.steps.relay_staging_steps import run_instances

PATHS = ("/safe/x", "/unsafe/x", "/stream/x", "/resume/x", "/staged/x")
KEYS = ("k1", "k2", "k3", "")
STAGE_HEADERS = [(b"segments", b"1,1"), (b"segment-key", b"k")]


@given("a document with the accounts {accounts}")
def given_accounts(context, accounts):
    world = context.world
    world.add_upstream("plain", "plain")
    world.document_changes["tenants"] = json.loads(accounts)
    world.publish()


@given("a document with public routes and the accounts {accounts}")
def given_public(context, accounts):
    for route in context.world.routes:
        route["public"] = True
    given_accounts(context, accounts)


async def send_requests(context, paths, keys):
    """Returns the replies by path and key, at the first instance."""
    replies = {}

    async def send(path, key):
        headers = STAGE_HEADERS if path.startswith("/staged") else ()
        replies[path, key] = await context.world.request(
            context.names[0], path, request=path + key, key=key, headers=headers
        )

    async with anyio.create_task_group() as tasks:
        for path in paths:
            for key in keys:
                tasks.start_soon(send, path, key)
    return replies


@when("callers with the keys k1, k2 and none send requests of every kind")
def when_all(context):
    async def actions(tasks):
        del tasks
        context.replies = await send_requests(context, PATHS, ("k1", "k2", ""))

    run_instances(context, actions, 1.0)


@then("every one is refused with 401 and reaches no upstream")
def then_refused(context):
    assert len(context.replies) == 3 * len(PATHS)
    for sent, reply in context.replies.items():
        assert reply.status == 401, (sent, reply.status, reply.body)
    assert not context.world.arrivals and not context.world.calls


@then(
    "every one is answered with 200 and reaches an upstream without an account"
)
def then_answered(context):
    assert len(context.replies) == 3 * len(PATHS)
    for sent, reply in context.replies.items():
        assert reply.status == 200, (sent, reply.status, reply.body)
    for arrival in context.world.arrivals:
        assert "Tenant" not in arrival.headers, arrival.headers


@when("the accounts become {second} and then {third}")
def when_changed(context, second, third):
    context.statuses = []

    async def actions(tasks):
        del tasks
        for accounts in (None, second, third):
            if accounts is not None:
                context.world.document_changes["tenants"] = json.loads(accounts)
                context.world.publish()
                await anyio.sleep(1.0)
            replies = await send_requests(context, ["/unsafe/x"], KEYS)
            context.statuses.append(
                [replies["/unsafe/x", key].status for key in KEYS]
            )

    run_instances(context, actions, 1.0)


@then("callers with the keys k1, k2, k3 and none got these answers")
def then_statuses(context):
    expected = [[int(cell) for cell in row.cells[1:]] for row in context.table]
    assert context.statuses == expected, context.statuses
