"""Steps about rate limits that upstreams name, without network."""

from behave import then, when

from applespring.core.rate_limits import RateLimitTable
from applespring.core.self_report import make_self_report
from applespring.platform.wire import PlatformProtocol

UPSTREAM = ("a", 1)


def rate_of(text):
    return None if text == "none" else float(text)


@when("an answer names the rate limits {values}")
def when_named(context, values):
    named = [] if values == "none" else values.split(" and ")
    headers = [(b"Server-Limit", value.encode()) for value in named]
    context.report = PlatformProtocol().decode_reply(200, headers).self_report
    # The JSON interface has the same rules.
    other = make_self_report(
        200,
        leaving=False,
        retry_after=None,
        rate_limits=[v.strip() for n in named for v in n.split(",")],
    )
    assert other.rate_limit == context.report.rate_limit


@then("it shows the limit {limit}, with {count:d} values rejected")
def then_shown(context, limit, count):
    report = context.report
    assert report.rate_limit_known == (limit != "unknown")
    expected = None if limit == "unknown" else rate_of(limit)
    assert report.rate_limit == expected, report.rate_limit
    assert len(report.rejected) == count, report.rejected


@when("an upstream has named {history}")
def when_history(context, history):
    context.limits = RateLimitTable()
    for part in history.split(", "):
        words = part.split()
        if words[0] == "peer":
            context.limits.merge(UPSTREAM, rate_of(words[1]), float(words[3]))
        else:
            context.limits.record(
                UPSTREAM, rate_of(words[0]), float(words[2]), float(words[4])
            )


@then("its limit is {limit}")
def then_limit(context, limit):
    held = context.limits.per_s(UPSTREAM)
    assert held == rate_of(limit), held
    assert context.limits.per_s(("a", 2)) is None


@when("{count:d} upstreams name a limit")
def when_many(context, count):
    context.limits = RateLimitTable()
    context.listed = {f"u{n}" for n in range(100)}
    for number in range(count):
        context.limits.record((f"u{number}", 1), 1.0, number, number)
        context.limits.trim(context.listed, number)


@then("at most {count:d} limits are held, those of listed upstreams among them")
def then_bounded(context, count):
    assert len(context.limits) <= count
    assert all(context.limits.per_s((n, 1)) for n in context.listed)
