"""Steps about routes that split their requests between pools."""

import json
import os
import subprocess
import sys

from behave import then, when

from features.fixtures.split_run import COUNT


@when(
    "two processes with different hash seeds get the same {count:d} requests "
    "of a route split 3 to 1"
)
def when_split(context, count):
    assert count == COUNT
    context.pools = []
    for seed in ("1", "2"):
        done = subprocess.run(
            [sys.executable, "-m", "features.fixtures.split_run"],
            env=os.environ | {"PYTHONHASHSEED": seed},
            capture_output=True,
            check=True,
            timeout=60,
        )
        context.pools.append(json.loads(done.stdout))


@then("each request went to the same pool in both")
def then_same(context):
    first, second = context.pools
    assert len(first) == COUNT
    assert first == second


@then("between {low:g} and {high:g} of them went to the first pool")
def then_share(context, low, high):
    pools = list(context.pools[0].values())
    assert low <= pools.count("plain") / COUNT <= high, pools.count("plain")
