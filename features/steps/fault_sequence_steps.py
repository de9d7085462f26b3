"""Steps of the generated sequences of faults."""

import anyio
from behave import then
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from features.fixtures.matrix_document import make_document
from features.fixtures.matrix_run import OTHER_ENTRY, TARGET_ENTRY, run_world

PIPELINES = st.sampled_from(("embed", "ask", "pay"))
NAMES = st.sampled_from((TARGET_ENTRY, OTHER_ENTRY))
UPSTREAMS = st.sampled_from(
    ("encoder-1", "reranker-2", "engines-1", "payments-1", "notices-2")
)
SPECS = st.sampled_from(
    (
        {"kind": "refuse", "not_run": True},
        {"kind": "reset", "when": "after_run"},
        {"kind": "truncate", "after": 3, "clean": True},
        {"kind": "wrong_id", "at": 1},
        {"kind": "duplicate", "at": 1},
    )
)
ACTIONS = st.one_of(
    st.tuples(st.just("submit"), NAMES, PIPELINES),
    st.tuples(st.just("break"), UPSTREAMS, SPECS),
    st.tuples(st.just("mend"), UPSTREAMS),
    st.tuples(st.just("restart"), NAMES),
    st.tuples(st.just("cut")),
    st.tuples(st.just("heal")),
    st.tuples(st.just("outage"), st.booleans()),
    st.tuples(st.just("publish")),
    st.tuples(st.just("wait"), st.sampled_from((0.05, 0.3, 2.0))),
)


async def perform(world, action, *args):
    """Performs one action of a sequence."""
    fleet = world.fleet
    if action == "submit":
        world.spawn(world.submit, *args, stream=args[1] == "ask")
    elif action == "break":
        fleet.upstreams[args[0]].apply_faults(
            {"faults": [{"path": "/v1/c", "count": 2} | args[1]]}
        )
    elif action == "mend":
        fleet.upstreams[args[0]].apply_faults({"faults": []})
    elif action == "restart":
        world.kill(args[0])
        world.fleet.run_entry(args[0])
        for down in world.downtimes:
            down.until = min(down.until, anyio.current_time())
    elif action == "cut":
        fleet.cut_domain("north")
    elif action == "heal":
        fleet.heal()
    elif action == "outage":
        fleet.platform.apply_faults({"outage": args[0]})
    elif action == "publish":
        world.expected_revision += 1
        await fleet.publish(make_document(note=str(world.expected_revision)))
    else:
        await anyio.sleep(args[0])
    await anyio.sleep(0.01)


@then(
    "{count:d} generated sequences of submissions and faults"
    " violate no property"
)
def then_sequences(context, count):
    @settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=count,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.lists(ACTIONS, min_size=4, max_size=14))
    def check(actions):
        async def scenario(world):
            for action in actions:
                await perform(world, *action)
            world.fleet.heal()
            world.fleet.platform.apply_faults({"outage": False})
            await world.fleet.wait_ready()

        violations = run_world(scenario)
        assert not violations, violations

    check()
