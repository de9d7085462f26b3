"""Steps on the metrics of an instance and their documentation."""

import pathlib
import re
from collections import defaultdict

import anyio
from behave import given, then, when

from applespring.config import load_document
from applespring.core.errors import RefusalError
from applespring.core.reason import OVERLOADED, all_reasons
from applespring.core.verdict import Verdict
from applespring.entry.front.outcome import OUTCOMES, SubmissionRecord
from applespring.entry.monitoring.metrics import Metrics
from applespring.metric_family import HistogramFamily
from applespring.report.exposition import parse_exposition
from features.fixtures.fleet import run_site
from features.fixtures.pages import read_rows
from standins.fleet import CALLERS_DOMAIN

DISCONNECT_AFTER_S = 0.15
SUFFIXES = re.compile(r"_(bucket|sum|count)$")
IDENTITY = "applespring_instance_info"

VALID_SUBMISSION = {"pipeline": "assistant", "account": "web", "payload": "q"}
SUBMISSIONS = {
    "a valid request": {},
    "a valid stream": {"stream": True},
    "a request of an unknown account": {"account": "nobody"},
    "a request for an unknown pipeline": {"pipeline": "lost"},
    "a request without its key": {"pipeline": "payment"},
    "a request with a short deadline": {"deadline_s": 0.2},
}


async def scrape(context, fleet):
    """Sums the samples of all entry instances into `context.samples`."""
    context.samples = defaultdict(lambda: defaultdict(float))
    async with fleet.network.client(CALLERS_DOMAIN) as client:
        for host in fleet.entries.values():
            resp = await client.get(f"http://{host.address}/metrics")
            scrapes, errors = parse_exposition(resp.text, host.name)
            assert not errors, str(errors[0])
            for name, series in scrapes[0].samples.items():
                for labels, value in series.items():
                    context.samples[name][labels] += value
    context.families = set(
        fleet.entries["entry-koper-1"].instance.metrics.families
    )
    context.fleet_document = fleet.fleet


async def submit_one(fleet, submission):
    via = "entry-koper-1"
    if submission == "a request whose caller disconnects":
        # Disconnects after the encode stage, before the last stage answers.
        with anyio.move_on_after(DISCONNECT_AFTER_S):
            await fleet.submit(via, **VALID_SUBMISSION)
        return
    wanted = VALID_SUBMISSION | SUBMISSIONS.get(submission, {})
    if submission == "a request with a key of another owner":
        wanted["pipeline"] = "booking"
        wanted["key"] = await fleet.issue_key("entry-izola-1")
    await fleet.submit(via, **wanted)


@when('{submission} is submitted to the "{site}" fleet and it is scraped')
def when_submitted(context, submission, site):
    async def scenario(fleet):
        await submit_one(fleet, submission)
        await scrape(context, fleet)

    run_site(site, scenario)


@when('the "{site}" fleet serves every kind of request and is scraped')
def when_all(context, site):
    async def scenario(fleet):
        for submission in (
            *SUBMISSIONS,
            "a request whose caller disconnects",
            "a request with a key of another owner",
        ):
            await submit_one(fleet, submission)
        await fleet.publish("not a document")
        fleet.platform.apply_faults({"outage": True})
        await anyio.sleep(5)
        await scrape(context, fleet)

    run_site(site, scenario)


@when(
    'the rerankers of the "{site}" fleet answer with the id of another request'
)
def when_mismatch(context, site):
    async def scenario(fleet):
        for upstream in fleet.fleet.pools["reranker"].upstreams:
            fleet.upstreams[upstream.name].apply_faults(
                {"faults": [{"kind": "wrong_id", "path": "/v1/call"}]}
            )
        await fleet.submit("entry-koper-1", **VALID_SUBMISSION)
        await scrape(context, fleet)

    run_site(site, scenario)


@then("every scraped metric is in docs/OPERATIONS.md with its labels")
def then_documented(context):
    rows = read_rows("Metrics")
    for name, series in context.samples.items():
        row = rows.get(name) or rows.get(SUFFIXES.sub("", name))
        assert row, f"{name} is not documented"
        used = {label for labels in series for label, _ in labels} - {"le"}
        documented = set(re.findall(r"`([a-z_]+)`", row[2]))
        assert used == documented, (name, used, documented)


@then("every metric in docs/OPERATIONS.md is declared by an instance")
def then_declared(context):
    assert set(read_rows("Metrics")) == context.families, (
        set(read_rows("Metrics")) ^ context.families
    )


@then("every scraped label value comes from the document or the documentation")
def then_bounded(context):
    fleet = context.fleet_document
    names = set(fleet.pipelines) | set(fleet.pools) | set(fleet.accounts)
    names |= {s.name for p in fleet.pipelines.values() for s in p.stages}
    names |= {reason.code for reason in all_reasons()}
    rows = read_rows("Metrics")
    for name, series in context.samples.items():
        if name == IDENTITY:
            assert len(series) == len(fleet.failure_domains) * 2, series
            continue
        row = rows.get(name) or rows[SUFFIXES.sub("", name)]
        listed = set(re.findall(r"`([a-z_]+)`", row[3]))
        for labels in series:
            values = {value for label, value in labels if label != "le"}
            assert values <= names | listed, (name, values - names - listed)


def totals_by_labels(context, name):
    """Returns the samples of a metric by their label values, space-separated.

    The values are in the order of the label names, unless the scenarios name
    them in another order.
    """
    order = {
        "applespring_requests_total": ("pipeline", "account", "outcome"),
        "applespring_refusals_total": ("reason", "verdict"),
    }
    found = {}
    for labels, value in context.samples[name].items():
        known = dict(labels)
        names = order.get(name, sorted(known))
        found[" ".join(known[label] for label in names)] = value
    return found


@then('the scraped "{name}" is 1 for "{labels}" and 0 otherwise')
def then_one(context, name, labels):
    found = totals_by_labels(context, name)
    assert found == {labels: 1}, found


@then('the scraped "{name}" is 1 for "" and 0 otherwise')
def then_none(context, name):
    assert not totals_by_labels(context, name), totals_by_labels(context, name)


@then('the scraped "{name}" is 1 for "{labels}"')
def then_at(context, name, labels):
    found = totals_by_labels(context, name)
    assert found[labels] == 1, found


@then('the scraped attempts of "{pool}" are all "{outcome}" and more than 1')
def then_attempts(context, pool, outcome):
    found = totals_by_labels(context, "applespring_stage_attempts_total")
    of_pool = {key: n for key, n in found.items() if key.split()[1] == pool}
    assert set(of_pool) == {f"{outcome} {pool}"}, of_pool
    assert of_pool[f"{outcome} {pool}"] > 1, of_pool


@then('all but one of the scraped attempts of "{pool}" are added for "{cause}"')
def then_added(context, pool, cause):
    attempts = totals_by_labels(context, "applespring_stage_attempts_total")
    of_pool = sum(n for key, n in attempts.items() if key.split()[1] == pool)
    added = totals_by_labels(context, "applespring_stage_added_attempts_total")
    assert added == {f"{cause} {pool}": of_pool - 1}, (added, of_pool)


@then('the scraped cost of stage "{stage}" is entirely wasted')
def then_wasted(context, stage):
    spent = totals_by_labels(context, "applespring_stage_cost_total")
    wasted = totals_by_labels(context, "applespring_stage_cost_wasted_total")
    key = f"assistant {stage}"
    assert spent[key] > 0, spent
    assert wasted[key] == spent[key], wasted


@given("a document with {count:d} accounts of falling weight for the metrics")
def given_accounts(context, count):
    text = pathlib.Path("examples/obalne.toml").read_text()
    head, rest = text.split("[[account]]", 1)
    rules = rest[rest.index("[[rule]]") :]
    accounts = "".join(
        f'[[account]]\nname = "a{index}"\nweight = {100 - index}.0\n'
        for index in range(count)
    )
    rules = rules.replace('account = "back-office"', 'account = "a1"')
    result = load_document(head + accounts + rules, 1)
    assert result.fleet, [str(error) for error in result.errors]
    context.metrics = Metrics()
    context.metrics.set_fleet(result.fleet)
    context.account_count = count


@then(
    "the {count:d} accounts with the largest weights have labels of their own"
)
def then_labels(context, count):
    for index in range(context.account_count):
        label = context.metrics.account_label(f"a{index}")
        assert label == (f"a{index}" if index < count else "other"), label


@then('the label of an account outside the document is "{label}"')
def then_outside(context, label):
    assert context.metrics.account_label("stranger") == label


@when("a counter of the metrics gets {count:d} different labels")
def when_many_labels(context, count):
    context.counter = Metrics().counter("x_total", "X.", "who")
    context.labels = [str(index) for index in range(count)]
    for label in context.labels:
        context.counter.inc(label)


@then("it has at most {most:d} series and a total of {total:d}")
def then_series(context, most, total):
    counts = {
        label: context.counter.total(label)
        for label in (*context.labels, "other")
        if context.counter.total(label)
    }
    assert len(counts) <= most, len(counts)
    assert sum(counts.values()) == total, sum(counts.values())


@when("a counter of the metrics is set to {first:d} and then to {second:d}")
def when_set(context, first, second):
    context.counter = Metrics().counter("x_total", "X.")
    context.counter.set(first)
    context.counter.set(second)


@then("its total in the metrics is {total:d}")
def then_total(context, total):
    assert context.counter.total() == total


@when(
    "a histogram of the metrics with bounds 0.1 and 1 observes 0.05, 0.1, 0.5"
    " and 7"
)
def when_observed(context):
    family = HistogramFamily("x_seconds", "X.", ("pipeline",), (0.1, 1))
    for value in (0.05, 0.1, 0.5, 7):
        family.observe(value, "p")
    context.metric_lines = [line for part in family.render() for line in part]


@then("its lines in the metrics are")
def then_lines(context):
    assert context.metric_lines == context.text.splitlines(), (
        context.metric_lines
    )


@when("a counter of the metrics with {count:d} series is rendered")
def when_rendered(context, count):
    counter = Metrics().counter("x_total", "X.", "who")
    for index in range(count):
        counter.inc(str(index))
    context.metric_parts = list(counter.render())


@then(
    "it has {parts:d} parts with {total:d} lines and {n:d} of them are comments"
)
def then_parts(context, parts, total, n):
    lines = [line for part in context.metric_parts for line in part]
    assert (len(context.metric_parts), len(lines)) == (parts, total)
    assert sum(line.startswith("#") for line in lines) == n


@when("one submission counts a disconnected caller and then a refusal")
def when_two_outcomes(context):
    context.metrics = Metrics()
    record = SubmissionRecord(context.metrics, lambda: 0.0, "p", "a")
    record.count_disconnect()
    record.count_refusal(RefusalError(OVERLOADED, Verdict.NOT_RUN))


@then('the metrics have one request, "{outcome}", and no refusal')
def then_one_outcome(context, outcome):
    metrics = context.metrics
    for name in OUTCOMES:
        counted = metrics.requests.total("unknown", "unknown", name)
        assert counted == (name == outcome), (name, counted)
    refused = metrics.refusals.total("unknown", "overloaded", "not_run")
    assert refused == 0, refused
