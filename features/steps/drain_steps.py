"""Steps for the graceful shutdown of an instance."""

import anyio
from behave import given, then, when

from applespring.core.drain import Drain, WorkKind
from applespring.core.errors import RefusalError, SettingsError
from applespring.core.verdict import Verdict
from applespring.entry.drain import DrainService, TrackedWork
from features.fixtures.virtual import run_virtual


class Caller:
    """Work that arrives at a given time and records its outcome."""

    def __init__(self, kind, at, takes, verdict, ignores_refusal):
        self.kind = WorkKind(kind)
        self.at = at
        self.takes = takes
        self.verdict = verdict
        self.ignores_refusal = ignores_refusal
        self.outcome = ""

    async def run(self, service):
        """Waits for the arrival, then runs as work in flight of the service."""
        await anyio.sleep_until(self.at)
        scope = anyio.CancelScope()

        def refuse(exc):
            self.outcome = f"refused {exc.verdict.label}"
            assert (exc.retry_after_s is None) == (
                exc.verdict is not Verdict.NOT_RUN
            )
            if not self.ignores_refusal:
                scope.cancel()

        work = TrackedWork(self.kind, lambda: self.verdict, refuse)
        try:
            with service.track(work), scope:
                await anyio.sleep(self.takes)
                self.outcome = "answered"
        except RefusalError as exc:
            self.outcome = f"refused {exc.verdict.label}"


@given("a drain with {grace:g} s grace and a limit of {limit:g} s")
def given_drain(context, grace, limit):
    context.service = DrainService(Drain(grace, limit))
    context.signals = []
    context.callers = []
    context.calls = []
    context.ready_until = None
    service = context.service

    def note(name):
        context.calls.append(f"{name} at {anyio.current_time():g}")

    async def note_idle():
        note("idle")

    service.on_leaving(lambda: note("leaving"))
    service.on_closing(lambda: note("closing"))
    service.on_idle(note_idle)


@given("a leaving callback and an idle callback that fail")
def given_failing(context):
    def fail():
        raise RuntimeError("failed on purpose")

    async def fail_later():
        fail()

    # Inserted before the recording callbacks, which must still be called.
    context.service._leaving_callbacks.insert(0, fail)
    context.service._idle_callbacks.insert(0, fail_later)


@given("an idle callback that hangs")
def given_hanging(context):
    context.service.on_idle(anyio.sleep_forever)


@when("SIGTERM arrives at {at:g} s")
def when_signal(context, at):
    context.signals.append(at)


@when("a {kind:w} arrives at {at:g} s and takes {takes:g} s")
def when_work(
    context, kind, at, takes, verdict="not_run", ignores_refusal=False
):
    verdict = Verdict.from_label(verdict)
    context.callers.append(Caller(kind, at, takes, verdict, ignores_refusal))


@when(
    "a {kind:w} arrives at {at:g} s and takes {takes:g} s"
    ' with verdict "{verdict}"'
)
def when_work_verdict(context, kind, at, takes, verdict):
    when_work(context, kind, at, takes, verdict)


@when(
    "a {kind:w} that ignores its refusal arrives at {at:g} s and takes"
    " {takes:g} s"
)
def when_work_ignores_refusal(context, kind, at, takes):
    when_work(context, kind, at, takes, ignores_refusal=True)


@when("the drain runs to its end")
def when_runs(context):
    async def send_signals():
        for at in context.signals:
            await anyio.sleep_until(at)
            assert context.service.drain.is_ready is (at == context.signals[0])
            context.service.start()
            if context.ready_until is None:
                assert not context.service.drain.is_ready
                context.ready_until = at

    async def main():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_signals)
            for caller in context.callers:
                tasks.start_soon(caller.run, context.service)
            with anyio.fail_after(1000):
                await context.service.run()
            context.ended_at = anyio.current_time()
            tasks.cancel_scope.cancel()

    run_virtual(main)


@then('the outcomes of the requests are "{outcomes}"')
def then_outcomes(context, outcomes):
    found = [caller.outcome for caller in context.callers]
    assert found == outcomes.split(", "), found


@then("the drain ended at {at:g} s")
def then_ended(context, at):
    assert round(context.ended_at, 6) == at, context.ended_at


@then("it was ready until {at:g} s")
def then_ready_until(context, at):
    assert context.ready_until == at


@then('the drain callbacks ran as "{calls}"')
def then_calls(context, calls):
    assert context.calls == calls.split(", "), context.calls


@then("{count:d} signals were counted")
def then_signals(context, count):
    assert context.service.drain.signals == count


@then("{count:d} requests were abandoned")
def then_abandoned(context, count):
    assert context.service.abandoned == count


@then("a drain with {grace:g} s grace and a limit of {limit:g} s is refused")
def then_refused(context, grace, limit):
    try:
        Drain(grace, limit)
    except SettingsError as exc:
        assert "drain_grace_s" in str(exc)
    else:
        raise AssertionError("the settings were accepted")
