"""Steps about requests that crash upstreams of the JSON interface."""

from behave import given, then, when

from features.fixtures.entry_crash import CrashFleet

CRASHES = 3


@given(
    "entry instances whose upstreams of the pool {pool} crash on one request"
)
def given_fleet(context, pool):
    context.crash_fleet = CrashFleet(pool)


@when(
    "it comes every {gap:d} s for {seconds:d} s on the pipeline {pipeline}, "
    "beside {rate:d} sound requests a second"
)
def when_repeated(context, gap, seconds, pipeline, rate):
    context.crash_fleet.run(
        pipeline, seconds=seconds, gap_s=gap, sound_per_s=rate
    )


def known_at(fleet, seconds):
    assert len(fleet.crash_times) >= 2, fleet.crash_times
    return fleet.crash_times[:CRASHES][-1] + seconds


@then(
    "at most {count:d} arrivals of it follow later than {seconds:d} s after "
    "its third crash there"
)
def then_few(context, count, seconds):
    fleet = context.crash_fleet
    after = known_at(fleet, seconds)
    late = [at for at in fleet.arrival_times if at > after]
    assert len(late) <= count, (len(late), len(fleet.crash_times))


@then("at least half of the sound requests sent later than that are served")
def then_served(context):
    fleet = context.crash_fleet
    after = known_at(fleet, 3.0)
    statuses = [status for at, status in fleet.sound if at > after]
    assert len(statuses) >= 20, len(statuses)
    assert 2 * statuses.count(200) >= len(statuses), statuses
