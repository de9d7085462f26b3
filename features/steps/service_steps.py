"""Steps about reading configuration and instance lists from the platform.

Each step before `the instances run` adds a timed event; that step runs all of
them in virtual time.
"""

import anyio
from behave import given, register_type, then, when

from applespring.core.membership import DispatchCheck
from applespring.core.revision import Acceptance
from features.fixtures.documents import make_pool
from features.fixtures.platform_fake import (
    FakeNetwork,
    FakePlatform,
    Instance,
)
from features.fixtures.virtual import run_virtual

ALL = ("s1", "s2", "s3", "m1", "m2", "m3")


class World:
    """Instances, platform and timed events of one scenario."""

    def __init__(self, pools):
        self.pools = pools
        self.network = FakeNetwork()
        self.platform = FakePlatform()
        self.instances = {}
        self.start_times = {}
        self.events = []
        self.tasks = []
        self.ready_at = {}
        self.unready_low = []
        self.written_calls = []
        self.first_check = None

    def add(self, name, platform=None, start=0.0):
        """Adds an instance that starts at `start` seconds."""
        platform = platform or self.platform
        instance = Instance(name, platform, self.network, self.pools)
        self.instances[name] = instance
        self.start_times[name] = start
        return instance

    def at(self, now, action):
        """Adds an event at `now` seconds of virtual time."""
        self.events.append((now, action))

    async def run(self, until):
        """Runs all instances and events until `until` seconds."""
        async with anyio.create_task_group() as tasks:
            for name, instance in self.instances.items():
                tasks.start_soon(self._start_instance, name, instance)
            for now, action in self.events:
                tasks.start_soon(self._run_event, now, action)
            for task in self.tasks:
                tasks.start_soon(task)
            if len(self.instances) < 10:
                tasks.start_soon(self._watch_ready)
            await anyio.sleep_until(until)
            for name in ("koper-1", "koper-2"):
                if name in self.instances:
                    self._record_end_state(self.instances[name])
            tasks.cancel_scope.cancel()

    def _record_end_state(self, instance):
        view = instance.members.membership
        now = instance.clock()
        instance.ready_at_end = instance.config.is_ready
        instance.usable_at_end = {
            name for pool in self.pools for name in view.usable(pool.name, now)
        }

    async def _start_instance(self, name, instance):
        await anyio.sleep_until(self.start_times[name])
        await instance.run()

    async def _run_event(self, now, action):
        await anyio.sleep_until(now)
        action()

    async def _watch_ready(self):
        for _ in range(1000):
            for name, instance in self.instances.items():
                if instance.config.is_ready and name not in self.ready_at:
                    now = anyio.current_time()
                    self.ready_at[name] = (now, instance.tracker.revision)
            await anyio.sleep(0.1)


def parse_event(text):
    """Returns a function that applies an event of a scenario to the world."""
    words = text.replace('"', "").split()
    quoted = text.split('"')[1] if '"' in text else ""
    if text.startswith("the platform publishes"):
        revision = int(words[3])
        return lambda w: w.platform.publish(revision, quoted)
    if text.startswith("the platform goes"):
        return lambda w: w.platform.set_mode(words[3])
    if text.startswith("the list becomes"):
        entries = parse_list(quoted)
        return lambda w: w.platform.publish_list(int(words[3]), entries)
    if " notices that " in text:
        name, peer, revision = words[0], words[3], int(words[-1])
        return lambda w: w.instances[name].config.record_peer_revision(
            peer, revision
        )
    if " becomes " in text:
        name, state = words[0], words[2]
        return lambda w: w.instances["koper-1"].probe.states.update(
            {name: state}
        )
    assert text == "nothing happens", text
    return lambda _: None


def parse_list(text):
    """Returns list entries for `all` or for names, each with optional state."""
    states = dict.fromkeys(ALL if "all" in text.split() else ())
    for word in text.split():
        if word != "all":
            name, _, state = word.partition(":")
            states[name] = state
    roles = {"s": "svc", "m": "llm", "e": "entry"}
    return [
        f"{name}:{roles[name[0]]}" + (f":{state}" if state else "")
        for name, state in states.items()
    ]


def parse_name(text):
    """Returns the text; the pattern below limits what a name is."""
    return text


parse_name.pattern = r"[\w-]+"
# Narrow enough that no step text of another feature matches.
parse_event.pattern = (
    r"the platform publishes .+|the platform goes \w+|nothing happens"
    r"|the list becomes .+|\"[\w-]+\" (?:notices that|becomes) .+"
)
register_type(Event=parse_event, Name=parse_name)


@given('a platform with revision {revision:d} "{text}"')
def given_platform(context, revision, text):
    pools = [
        make_pool("svc", "s1 s2 s3"),
        make_pool("llm", "m1 m2 m3", reports_load=True),
    ]
    context.world = World(pools)
    context.world.platform.publish(revision, text)


@given(
    'a platform with revision {revision:d} "{text}"'
    " and {count:d} reporting upstreams"
)
def given_platform_reporting(context, revision, text, count):
    names = " ".join(f"m{i}" for i in range(count))
    context.world = World([make_pool("llm", names, reports_load=True)])
    context.world.platform.publish(revision, text)
    context.count = count


@given('the list {revision:d} "{text}"')
def given_list(context, revision, text):
    context.world.platform.publish_list(revision, parse_list(text))


@given('an instance "{name:Name}"')
def given_instance(context, name):
    context.world.add(name)


@given('an instance "{name:Name}" with a subscriber that fails')
def given_instance_failing(context, name):
    def fail(fleet):
        raise RuntimeError("failed on purpose")

    instance = context.world.add(name)
    instance.config._subscribers.insert(0, fail)


@given(
    'an instance "{name:Name}" with a platform that goes {mode:w} at {at:g} s'
)
def given_instance_cut_off(context, name, mode, at, start=0.0):
    platform = FakePlatform()
    platform.publish(*context.world.platform.documents["/v1/config"])
    context.world.at(at, lambda: platform.set_mode(mode))
    if at == 0:
        platform.set_mode(mode)
    context.world.add(name, platform, start)


@given(
    'an instance "{name:Name}" that starts at {start:g} s'
    " with a platform that goes {mode:w} at {at:g} s"
)
def given_instance_later(context, name, start, mode, at):
    given_instance_cut_off(context, name, mode, at, start)


@given(
    'an instance "{name:Name}" that starts at {start:g} s'
    ' with a platform that has revision {revision:d} "{text}"'
)
def given_instance_stale(context, name, start, revision, text):
    platform = FakePlatform()
    platform.publish(revision, text)
    context.world.add(name, platform, start)


@given("{count:d} instances")
def given_instances(context, count):
    for number in range(count):
        context.world.add(f"koper-{number}")


@given('a peer "{name:Name}" that does not answer')
def given_unanswering(context, name):
    context.world.network.services[name] = None
    context.world.network.not_answering.add(name)


@given('messages to "{name:Name}" are lost until {at:g} s')
def given_lost(context, name, at):
    not_answering = context.world.network.not_answering
    not_answering.add(name)
    context.world.at(at, lambda: not_answering.discard(name))


@given(
    '{count:d} calls are queued on "{name:Name}" from {start:g} s to {end:g} s'
)
def given_calls(context, count, name, start, end):
    world = context.world

    def write():
        instance = world.instances[name]
        view = instance.members.membership
        for upstream in ("s1", "s2"):
            check = view.check_dispatch(upstream, instance.clock())
            if check is DispatchCheck.OK:
                world.written_calls.append((anyio.current_time(), upstream))
                return

    for number in range(count):
        world.at(start + (end - start) * number / count, write)
    context.queued = count


@given("the first {count:d} reporting upstreams are dead")
def given_dead(context, count):
    states = context.world.instances["koper-1"].probe.states
    states.update({f"m{i}": "dead" for i in range(count)})


@when(
    'at {at:g} s "{name:Name}" is paused for {duration:g} s while {event:Event}'
)
def when_paused(context, at, name, duration, event):
    world = context.world

    def pause():
        instance = world.instances[name]
        instance.skew += duration
        event(world)
        # After a pause, a call that was due can run before any timer of the
        # process.
        view = instance.members.membership
        world.first_check = {
            view.check_dispatch(upstream, instance.clock()) for upstream in ALL
        }

    world.at(at, pause)


@given("each probe takes {seconds:g} s")
def given_probe_delay(context, seconds):
    context.world.instances["koper-1"].probe.delay_s = seconds


@when('a request arrives at "{name:Name}" at {at:g} s')
def when_request(context, name, at):
    world = context.world

    async def wait():
        await anyio.sleep_until(at)
        instance = world.instances[name]
        await instance.members.wait_evidence()
        view, now = instance.members.membership, instance.clock()
        context.request_usable = {
            n for pool in world.pools for n in view.usable(pool.name, now)
        }
        context.request_waited_s = anyio.current_time() - at

    world.tasks.append(wait)


@then('the request may use "{names}" within {seconds:g} s')
def then_request_usable(context, names, seconds):
    assert context.request_usable == set(names.split()), context.request_usable
    assert context.request_waited_s <= seconds, context.request_waited_s


@when("at {at:g} s {event:Event}")
def when_event(context, at, event):
    context.world.at(at, lambda: event(context.world))


@when("the platform is {mode:w} at first")
def when_mode(context, mode):
    context.world.platform.set_mode(mode)


@when("the list changes {rate:d} times a second from {start:d} s to {end:d} s")
def when_list_changes(context, rate, start, end):
    entries = parse_list("all")
    for number in range((end - start) * rate):
        context.world.at(
            start + number / rate,
            lambda n=number: context.world.platform.publish_list(
                n + 1, entries
            ),
        )


@when("the instances run for {until:g} s")
def when_run(context, until):
    run_virtual(lambda: context.world.run(until))


@then('"{name:Name}" has revision {revision:d} in force, never an older one')
def then_in_force(context, name, revision):
    instance = context.world.instances[name]
    assert instance.tracker.revision == revision, instance.tracker.revision
    revisions = [r for _, r in instance.in_force]
    assert revisions == sorted(set(revisions)), revisions
    assert revisions[-1] == revision


@then('"{name:Name}" was ready')
def then_was_ready(context, name):
    assert context.world.instances[name].ready_at_end


@then('"{name:Name}" is not ready')
def then_not_ready(context, name):
    assert not context.world.instances[name].ready_at_end


@then('"{name:Name}" was not ready with a revision below {revision:d}')
def then_not_ready_below(context, name, revision):
    assert context.world.ready_at[name][1] >= revision


@then('"{name:Name}" was ready between {start:g} s and {end:g} s')
def then_ready_between(context, name, start, end):
    assert start <= context.world.ready_at[name][0] <= end


@then('"{name:Name}" validated {count:d} documents')
def then_validated(context, name, count):
    assert context.world.instances[name].validator.calls == count


@then('"{name:Name}" offered {count:d} invalid document to its tracker')
def then_offered(context, name, count):
    counts = context.world.instances[name].tracker.counts
    assert counts[Acceptance.INVALID] == count, counts


@then("each instance sent it to at most {count:d} peers")
def then_passed_on(context, count):
    world = context.world
    revisions = [r for _, r in world.network.forwarded]
    assert 0 < revisions.count(6) <= count * len(world.instances), revisions


@then(
    'the configuration of "{name:Name}" was last confirmed'
    " between {start:g} s and {end:g} s"
)
def then_confirmed(context, name, start, end):
    confirmed_at = context.world.instances[name].config.confirmed_at
    assert start <= confirmed_at <= end, confirmed_at


@then("the platform got at most {count:d} calls in any second")
def then_calls(context, count):
    most = context.world.platform.max_calls_per_s()
    print(f"most calls in any second: {most}")
    assert 0 < most <= count, most


@then("no watch had more than one call waiting")
def then_waiting(context):
    assert context.world.platform.waiting_max == 1


@then('"{name:Name}" may use "{upstreams}"')
def then_may_use(context, name, upstreams):
    found = context.world.instances[name].usable_at_end
    assert found == set(upstreams.split()), found


@then(
    'calls were written to "{upstream}" until {before:g} s'
    " and not after {after:g} s"
)
def then_written(context, upstream, before, after):
    times = [at for at, name in context.world.written_calls if name == upstream]
    assert before - 1 <= max(times) <= after, times[-3:]


@then("every call was written")
def then_all_written(context):
    assert len(context.world.written_calls) == context.queued


@then("the first check after the pause allowed no call")
def then_first_check(context):
    assert context.world.first_check == {DispatchCheck.STALE}


@then("each reporting upstream was probed in the last {age:g} s")
def then_probed(context, age):
    probed = context.world.instances["koper-1"].probe.probed
    last = probed[-1][0]
    recent = {name for at, name in probed if at > last - age}
    assert len(recent) == context.count, len(recent)


@then("at most {count:d} probes were made in any round")
def then_rounds(context, count):
    times = [at for at, _ in context.world.instances["koper-1"].probe.probed]
    assert max(times.count(at) for at in set(times)) <= count
