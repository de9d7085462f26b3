"""Steps about estimates, limits, prefixes, shares and retry budgets."""

from behave import given, then, when

from applespring.core.deadline import StageTime, check_admission
from applespring.core.errors import RefusalError
from applespring.core.latency import LatencyEstimate
from applespring.core.limit import ConcurrencyLimit
from applespring.core.prefix import CacheChange, CacheEvent, PrefixIndex
from applespring.core.retry import RetryBudget
from applespring.core.share import PeerSummary, pool_share


@given("a latency estimate with a prior of {prior:d} s")
def given_latency(context, prior):
    context.estimate = LatencyEstimate(float(prior))


@when(
    "{count:d} samples of {first:d} s and {other:d} of {second:d} s are added"
)
def when_samples(context, count, first, other, second):
    for _ in range(count):
        context.estimate.add(float(first), 0.0)
    for _ in range(other):
        context.estimate.add(float(second), 0.0)


@then("its mean is {mean:f} s at {now:d} s")
def then_mean(context, mean, now):
    assert abs(context.estimate.mean(now) - mean) < 0.05


@then("its mean is {mean:f} s at {now:d} s and its high quantile about {q:d} s")
def then_mean_high(context, mean, now, q):
    assert abs(context.estimate.mean(now) - mean) < 0.05
    assert q * 0.9 <= context.estimate.high_quantile(now) <= q * 1.1


@given("a limit of {slots:d} slots for calls of {expected:d} s")
def given_limit(context, slots, expected):
    context.limit = ConcurrencyLimit(slots, float(expected))
    context.now = 0.0


@when("{count:d} calls of {latency:g} s end 0.1 s apart at full use")
def when_limit_calls(context, count, latency):
    for _ in range(count):
        context.now += 0.1
        in_flight = context.limit.value
        context.limit.on_success(latency, in_flight, context.now)


@when("its share is {share:g}")
def when_limit_share(context, share):
    context.limit.set_share(share)


@then("the limit is {value:d}")
def then_limit(context, value):
    assert context.limit.value == value, context.limit.value


@then("the limit is below {high:d} and at least {low:d}")
def then_limit_between(context, high, low):
    assert low <= context.limit.value < high, context.limit.value


@given("cache events 1 to {last:d} that store blocks 1 to {same:d}")
def given_events(context, last, same):
    context.index = PrefixIndex()
    events = [CacheEvent(i, CacheChange.STORED, i) for i in range(1, last + 1)]
    context.index.apply("u0", events)


@when("event {seq:d} stores block {block:d}")
def when_event(context, seq, block):
    event = CacheEvent(seq, CacheChange.STORED, block)
    context.index.apply("u0", [event])


@when("the upstream's newest event is {seq:d}")
def when_newest(context, seq):
    context.index.apply("u0", [], newest_seq=seq)


@then("the prefix of blocks 1 to {last:d} matches {count:d} blocks")
def then_match(context, last, count):
    prefix = range(1, last + 1)
    assert context.index.match("u0", prefix) == count


@then("the index holds {count:d} blocks and not block {block:d}")
def then_bounded(context, count, block):
    held = [b for b in range(1, 5001) if context.index.match("u0", [b])]
    assert len(held) == count and held[0] == block + 1


@when("{count:d} calls each ask for two retries")
def when_retries(context, count):
    context.budget = RetryBudget()
    for _ in range(count):
        context.budget.on_call()
        context.budget.try_retry()
        context.budget.try_retry()


@then("at most {count:d} retries were granted")
def then_retries(context, count):
    assert count - 1 <= context.budget.granted <= count


@given("a fresh retry budget")
def given_budget(context):
    context.budget = RetryBudget()


@then("it grants {hedges:d} hedges and then {retries:d} retries")
def then_hedges(context, hedges, retries):
    assert sum(context.budget.try_hedge() for _ in range(5)) == hedges
    assert sum(context.budget.try_retry() for _ in range(5)) == retries


@given("stages that take 1, 2 and 3 s and vary by 1 s each")
def given_stages(context):
    context.stages = [
        StageTime(f"s{i}", 0.0, float(i), i + 1.0) for i in (1, 2, 3)
    ]


@when("the second stage has a queue of {wait:d} s")
def when_queue(context, wait):
    context.stages[1].wait_s = float(wait)


@then("{left:f} s are enough")
def then_enough(context, left):
    check_admission(context.stages, 100.0 + left, 100.0)


@then("{left:f} s are refused without a retry time")
def then_chain_refused(context, left):
    assert _refusal(context, left).retry_after_s is None


@then("{left:f} s are refused with {retry:f} s to retry")
def then_chain_refused_retry(context, left, retry):
    assert abs(_refusal(context, left).retry_after_s - retry) < 0.005


def _refusal(context, left):
    try:
        check_admission(context.stages, 100.0 + left, 100.0)
    except RefusalError as exc:
        assert exc.reason.code == "deadline_unreachable"
        return exc
    raise AssertionError("the chain was admitted")


@given("{count:d} listed instances")
def given_listed(context, count):
    context.listed = count


def _share(context, own, demands, age_s=0.0):
    summaries = [
        PeerSummary(f"p{i}", 100.0 - age_s, {"pool": demand}, {})
        for i, demand in enumerate(demands)
    ]
    return pool_share("pool", own, summaries, context.listed, 100.0)


@then("the share is {share:f} when no peer sends summaries")
def then_share_alone(context, share):
    assert _share(context, 9.0, []) == share


@then("the share is {share:f} when the summaries are {age:d} s old")
def then_share_old(context, share, age):
    assert _share(context, 9.0, [1.0, 1.0], float(age)) == share


@then(
    "the share is {share:f} at {own:d} calls a second when two peers send"
    " {first:g} and {second:g}"
)
def then_share(context, share, own, first, second):
    assert _share(context, float(own), [first, second]) == share
