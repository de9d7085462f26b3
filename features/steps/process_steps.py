"""Steps for the system as real processes."""

import os
import random
import signal
import subprocess
import sys
import threading
import time

from behave import given, then, when

from applespring.core.verdict import Verdict
from applespring.load.check import Outcome
from demo.process import PortChooser
from features.fixtures.processes import (
    WAIT_LIMIT_S,
    Call,
    count_executions,
    find_violations,
    make_client,
    request_key,
    set_faults,
    start_fleet,
    wait_until,
)

LOAD_CALLERS = 6
# Factor that lets a payment last until the scenario ends or resets it.
SLOW_FACTOR = 600.0
NORMAL_FACTOR = 1.0
REQUIRED_FLAGS = (
    "--name a --failure-domain koper --platform 127.0.0.1:9 --listen-port 0"
)


@given("a process fleet with {count:d} instances in each failure domain")
def given_fleet(context, count):
    start_fleet(context, entries_per_domain=count)


@given('its "{pool}" processes freeze at token {at:d}')
def given_freeze(context, pool, at):
    fault = {"kind": "freeze", "path": "/v1/completions", "at": at}
    set_faults(context.processes, pool, {"faults": [fault]})


@when('its "{pool}" processes resume')
def when_resume(context, pool):
    set_faults(context.processes, pool, {"faults": []})


@given('its "{pool}" processes are slow')
def given_slow(context, pool):
    set_faults(context.processes, pool, {"slow": SLOW_FACTOR})


@when('its "{pool}" processes are fast')
def when_fast(context, pool):
    set_faults(context.processes, pool, {"slow": NORMAL_FACTOR})


@when(
    "{requests:d} requests, {streams:d} streams and {payments:d} payments"
    " go through each process"
)
def when_all_kinds(context, requests, streams, payments):
    fleet = context.processes
    for via in fleet.entries:
        for _ in range(requests):
            context.calls.append(Call(fleet, via, "ask"))
        for _ in range(streams):
            context.calls.append(Call(fleet, via, "ask", stream=True))
        for _ in range(payments):
            key = request_key(fleet, via)
            context.calls.append(Call(fleet, via, "pay", key=key))


@then("every call to a process was answered completely")
def then_complete(context):
    assert context.calls
    for call in context.calls:
        call.wait()
    failed = [
        call.describe()
        for call in context.calls
        if call.result.outcome is not Outcome.WHOLE
    ]
    assert not failed, failed


@then("the execution records of the processes show no violation")
def then_no_violation(context):
    assert find_violations(context) == {}


@when("{count:d} streams to the processes have their first token")
def when_streams(context, count):
    start_streams(context, count, "entry-koper-1", None)


@when('{count:d} streams over {protocol} to "{via}" have their first token')
def when_streams_over(context, count, protocol, via):
    context.client = make_client(protocol == "HTTP/2")
    start_streams(context, count, via, context.client)


def start_streams(context, count, via, client):
    for _ in range(count):
        call = Call(context.processes, via, "ask", stream=True, client=client)
        context.calls.append(call)
    for call in context.calls:
        assert call.started.wait(WAIT_LIMIT_S)
        assert call.running, call.describe()


@when("{count:d} other requests use the same connection")
def when_other_requests(context, count):
    url = context.processes.entries["entry-koper-1"].url

    async def ask():
        for _ in range(count):
            resp = await context.client.get(f"{url}/livez")
            assert resp.status_code == 200

    context.processes.portal.call(ask)


@when("the engine process that runs a stream is killed")
def when_engine_killed(context):
    counts = count_executions(context.processes, "language-model")
    context.processes.kill(max(counts, key=counts.get))


@when('the process "{name}" is killed')
def when_killed(context, name):
    context.processes.kill(name)


@when('the process "{name}" gets SIGTERM again')
@when('the process "{name}" gets SIGTERM')
def when_sigterm(context, name):
    context.processes.signal(name, signal.SIGTERM)


@when('the process "{name}" gets SIGSTOP')
def when_sigstop(context, name):
    context.processes.signal(name, signal.SIGSTOP)


@when('the process "{name}" gets SIGCONT')
def when_sigcont(context, name):
    context.processes.signal(name, signal.SIGCONT)


@when('the process "{name}" refuses a {protocol} request as not run')
def when_refuses(context, name, protocol):
    """Sends requests over new connections until one is refused."""
    url = f"{context.processes.entries[name].url}/v1/pipelines/ask/requests"
    headers = {"Applespring-Account": "web"}

    body = {"input": "tokens=1"}

    async def ask():
        async with make_client(protocol == "HTTP/2") as client:
            resp = await client.post(url, json=body, headers=headers)
        return resp if resp.status_code != 200 else None

    resp = wait_until(lambda: context.processes.portal.call(ask), "a refusal")
    problem = resp.json()
    assert resp.status_code == 503, problem
    assert problem["reason"] == "shutting_down", problem
    assert problem["verdict"] == "not_run", problem
    context.refusal = resp


@then("its response closes the connection")
def then_closes(context):
    assert context.refusal.headers["connection"] == "close"


@then('the process "{name}" ends with code {code:d}')
def then_process_ends(context, name, code):
    assert context.processes.wait_end(name, WAIT_LIMIT_S) == code


@when("a newer document is published to the processes")
def when_published(context):
    fleet = context.processes
    document = fleet.document.replace('site = "test"', 'site = "changed"')
    context.published_at = time.monotonic()
    context.revision = fleet.publish(document)


@then("every entry process has it in force within {limit:d} s")
def then_in_force(context, limit):
    fleet = context.processes
    for name in fleet.entries:
        wait_until(
            lambda name=name: (
                fleet.get(name, "/v1/status")["config_revision"]
                == context.revision
            ),
            f"revision {context.revision} at {name}",
        )
    assert time.monotonic() - context.published_at < limit


class BalancedLoad:
    """Callers behind a load balancer that only uses ready instances."""

    def __init__(self, context):
        self.context = context
        self.stopped = threading.Event()
        self.ready = list(context.processes.entries)
        self.count = 0
        self.threads = [
            threading.Thread(target=self.run, args=(n,), daemon=True)
            for n in range(LOAD_CALLERS)
        ]
        for thread in self.threads:
            thread.start()

    def run(self, number):
        fleet, request_number, client = (
            self.context.processes,
            number,
            make_client(),
        )
        while not self.stopped.is_set():
            request_number += 1
            via = self.ready[request_number % len(self.ready)]
            options = {"client": client, "stream": request_number % 2 == 0}
            call = Call(fleet, via, "ask", **options)
            call.wait()
            self.context.calls.append(call)

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join(WAIT_LIMIT_S)


@given("a load through the processes that are ready")
def given_load(context):
    context.load = BalancedLoad(context)
    context.add_cleanup(context.load.stop)
    wait_until(lambda: len(context.calls) >= LOAD_CALLERS, "calls of the load")


@when("each entry process is restarted in turn")
def when_restarted(context):
    fleet, load = context.processes, context.load
    context.codes = {}
    for name in fleet.entries:
        fleet.signal(name, signal.SIGTERM)
        wait_until(lambda name=name: not fleet.is_ready(name), "not ready")
        load.ready = [other for other in load.ready if other != name]
        context.codes[name] = fleet.wait_end(name, WAIT_LIMIT_S)
        fleet.spawn_entry(name)
        fleet.wait_ready(name)
        load.ready = [*load.ready, name]
        count = len(context.calls)
        wait_until(
            lambda count=count: len(context.calls) > count + LOAD_CALLERS,
            "calls",
        )
    load.stop()


@then("no call of the load was broken off and the processes ended with code 0")
def then_not_broken_off(context):
    assert set(context.codes.values()) == {0}, context.codes
    failed = [
        call.describe()
        for call in context.calls
        if call.result.outcome is not Outcome.WHOLE
        and (
            call.result.reason != "shutting_down"
            or call.result.verdict is not Verdict.NOT_RUN
        )
    ]
    assert not failed, (len(context.calls), failed)


@when('a payment with a key of "{via}" is being executed')
def when_payment_runs(context, via):
    fleet = context.processes
    context.key = request_key(fleet, via)
    context.second_key = request_key(fleet, via)
    context.payment = Call(fleet, via, "pay", key=context.key)
    context.calls.append(context.payment)
    wait_until(
        lambda: sum(count_executions(fleet, "payments").values()) == 1,
        "the payment's execution",
    )


@when('another payment is sent to the process "{via}"')
def when_another_payment(context, via):
    call = Call(context.processes, via, "pay", key=context.second_key)
    context.calls.append(call)


@when('the instance list drops "{name}"')
def when_dropped(context, name):
    context.processes.set_listed(name, None)


@when('the process "{name}" starts to leave')
def when_leaves(context, name):
    fleet = context.processes
    url = f"{fleet.urls[name]}/admin/state"
    fleet.client.put(url, json={"state": "leaving"}).raise_for_status()
    fleet.set_listed(name, "leaving")


@when(
    'the payment is sent again to "{via}" until it is refused as key_owner_gone'
)
def when_sent_again(context, via):
    """Retries until the owner has not answered for longer than its lease."""
    fleet = context.processes

    def resubmit():
        payload = context.payment.payload
        call = Call(fleet, via, "pay", key=context.key, payload=payload)
        call.wait()
        context.calls.append(call)
        result = call.result
        assert result.outcome is Outcome.REFUSED, call.describe()
        assert result.verdict is Verdict.MAY_HAVE_RUN, call.describe()
        return result if result.reason == "key_owner_gone" else None

    context.refusal_result = wait_until(resubmit, "key_owner_gone")


@then("its verdict is may_have_run and it was executed once")
def then_executed_once(context):
    assert context.refusal_result.verdict is Verdict.MAY_HAVE_RUN
    counts = count_executions(context.processes, "payments")
    assert sum(counts.values()) == 1, counts


@then("every payment was executed at most once")
def then_at_most_once(context):
    for call in context.calls:
        call.wait()
    violations = find_violations(context)
    calls = [call.describe() for call in context.calls]
    assert violations == {}, (violations, calls)
    counts = count_executions(context.processes, "payments")
    assert 1 <= sum(counts.values()) <= 2, counts


@then('the process "{name}" got no work after it started to leave')
def then_no_work(context, name):
    record = context.processes.read_record(name)
    late = [
        entry
        for entry in record["executions"]
        if entry["started"] > record["leaving_since"]
    ]
    assert not late, late


@when('an entry process is started with "{flags}" and "{variable}"')
def when_started_wrong(context, flags, variable):
    run_entry(context, flags, variable)


@when('an entry process is started with "{flags}" and ""')
def when_started_wrong_flag(context, flags):
    run_entry(context, flags, "")


@when('an entry process is started with "" and "{variable}"')
def when_started_wrong_variable(context, variable):
    run_entry(context, "", variable)


def run_entry(context, flags, variable):
    argv = [sys.executable, "-m", "applespring.entry.main"]
    argv += REQUIRED_FLAGS.split() + flags.split()
    name, _, value = variable.partition("=")
    env = os.environ | ({name: value} if name else {})
    context.exited_process = subprocess.run(
        argv, capture_output=True, text=True, env=env, timeout=WAIT_LIMIT_S
    )


@then(
    'it ends with code {code:d} and names "{name}", "{value}" and "{allowed}"'
)
def then_names(context, code, name, value, allowed):
    check_message(context.exited_process, code, (name, value, allowed))


@then('it ends with code {code:d} and names "{name}", "" and "{allowed}"')
def then_names_flag(context, code, name, allowed):
    check_message(context.exited_process, code, (name, allowed))


def check_message(exited_process, code, parts):
    assert exited_process.returncode == code, (
        exited_process.returncode,
        exited_process.stderr,
    )
    for part in parts:
        assert part in exited_process.stderr, (part, exited_process.stderr)


@when(
    "two port choosers with the same seed choose {count:d} ports each",
)
def when_ports(context, count):
    choosers = [PortChooser(random.Random(1)) for _ in range(2)]
    for chooser in choosers:
        context.add_cleanup(chooser.close)
    context.ports = [
        chooser.choose() for chooser in choosers for _ in range(count)
    ]


@then("the {count:d} ports are different")
def then_ports_differ(context, count):
    assert len(set(context.ports)) == count, context.ports
