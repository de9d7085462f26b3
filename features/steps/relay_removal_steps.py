"""Steps about entries that are removed while contact is lost."""

import anyio
from behave import given, then, when

from applespring.platform.store import StoreError
from features.fixtures.crash_world import make_rng
from features.fixtures.notice_world import NoticeWorld
from features.fixtures.relay_world import FakeRegistry
from features.steps.relay_crash_steps import run_in_world
from features.steps.relay_notice_steps import send

# A watch is taken for dead so long after it should have been answered, and a
# connection that is not set up after this time.
WATCH_MARGIN_S = 0.6
CONNECT_TIMEOUT_S = 0.5
ANSWER_S = 0.005
# The users' bounds: when a removal counts, and when an instance is in touch.
DRAIN_S = 2.0
CONTACT_S = 3.0
LOST_AT_S = 2.0
REMOVED_AFTER_S = 0.4
# How long a removed upstream goes on serving, beyond all bounds of the rule.
LENGTH_S = 12.0


class LossyRegistry(FakeRegistry):
    """A registry whose connections go silent, are reset, or do not open."""

    async def read(self):
        """See `Registry.read`.

        Raises:
            StoreError: No connection is set up.
        """
        await self.connect()
        return self.read_all()

    async def wait_for_changes(self, after, wait_s):
        """See `Registry.wait_for_changes`.

        Raises:
            StoreError: The connection was lost, or none is set up.
        """
        opened_at = anyio.current_time()
        await self.connect()
        while True:
            now = anyio.current_time()
            if self.world.was_lost_since(opened_at):
                if not self.world.resets:
                    ends_at = opened_at + wait_s + WATCH_MARGIN_S
                    await anyio.sleep(max(0.0, ends_at - now))
                raise StoreError("the connection is dead")
            if self.world.revision > after or now >= opened_at + wait_s:
                return self.read_all()
            await anyio.sleep(0.02)

    async def connect(self):
        """Sets up a connection.

        Raises:
            StoreError: The registry can't be reached.
        """
        await anyio.sleep(ANSWER_S)
        if self.world.is_away():
            await anyio.sleep(CONNECT_TIMEOUT_S)
            raise StoreError("no connection")


class RemovalWorld(NoticeWorld):
    """Instances whose connections to the registry are lost.

    Attributes:
        lost_at: When open connections are lost.
        back_at: When new ones can be set up again.
        resets: Whether they are reset, and do not go silent.
    """

    def __init__(self, engine_count):
        super().__init__(engine_count)
        self.lost_at = self.back_at = float("inf")
        self.resets = False

    def make_registry(self):
        """Returns the registry of an instance."""
        return LossyRegistry(self)

    def is_away(self):
        """Returns whether no connection can be set up now."""
        return self.lost_at <= anyio.current_time() < self.back_at

    def was_lost_since(self, opened_at):
        """Returns whether a connection that was opened then is lost."""
        return opened_at <= self.lost_at <= anyio.current_time()

    def unlist(self, name):
        """Removes an entry, and returns it."""
        self.revision += 1
        self.removed.append(name)
        return self.listed.pop(name)

    def list_again(self, entry):
        """Lists an upstream again."""
        self.revision += 1
        entry.revision = self.revision
        self.removed.remove(entry.name)
        self.listed[entry.name] = entry


@given(
    "{instances:d} instances that watch a registry, with {count:d} upstreams "
    "of each kind"
)
def given_world(context, instances, count):
    context.world = RemovalWorld(count)
    context.world.add_services(count)
    context.instance_count = instances
    context.rng = make_rng(7)


def run_traffic(context, rate, route, disturb):
    """Sends requests at a rate beside a disturbance."""

    async def scenario(world):
        async with anyio.create_task_group() as callers:
            callers.start_soon(disturb, world)
            for number in range(int(rate * LENGTH_S)):
                await send(context, callers, f"r{number}", route)
                await anyio.sleep(1 / rate)

    run_in_world(context, scenario)


@when(
    "{rate:d} requests a second come on the route {route}, {contact} at 2 s, "
    "and {name} is removed 0.4 s later"
)
def when_removed(context, rate, route, contact, name):
    context.name = name

    async def disturb(world):
        await anyio.sleep(LOST_AT_S)
        world.lost_at = world.back_at = anyio.current_time()
        world.resets = contact.endswith("are reset")
        if contact.startswith("the instances are cut off"):
            world.back_at += float(contact.split()[-2])
        await anyio.sleep(REMOVED_AFTER_S)
        world.unlist(name)
        context.late_from = max(
            anyio.current_time() + DRAIN_S, world.back_at + CONTACT_S
        )

    run_traffic(context, rate, route, disturb)


@when(
    "{rate:d} requests a second come on the route {route}, the registry is "
    "away for {away:g} s at 2 s, and all entries lapse and are back 1.9 s "
    "after it"
)
def when_lapsed(context, rate, route, away):
    async def disturb(world):
        await anyio.sleep(LOST_AT_S)
        world.lost_at = anyio.current_time()
        world.back_at = world.lost_at + away
        entries = [world.unlist(name) for name in list(world.listed)]
        await anyio.sleep(away + 1.9)
        for entry in entries:
            world.list_again(entry)

    run_traffic(context, rate, route, disturb)


@then("no request reaches it later than allowed")
def then_not_late(context):
    late = [
        d.at - context.late_from
        for d in context.world.deliveries
        if d.start[0] == context.name and d.at > context.late_from
    ]
    assert not late, (len(late), max(late))
    before = [d for d in context.world.deliveries if d.start[0] == context.name]
    assert before
