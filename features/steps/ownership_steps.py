"""Steps on the ownership of caller-chosen keys, without a network."""

from behave import then, when
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from applespring.core.errors import RefusalError
from applespring.core.key_table import KEY_MEMORY_S
from applespring.core.owner import Ownership

NAMES = "abcd"
KEYS = tuple(f"k{i}" for i in range(8))
CLOCK_RATES = {"a": 1.0, "b": 1.0099, "c": 1.005, "d": 1.0}
# A member of every list, since two views need a member in common for the
# property to hold.
COMMON_MEMBER = "d"


class Model:
    """Ownerships on clocks of different rates, and the executions of each key.

    The clock rates differ by less than `CLOCK_DRIFT_MAX`.
    """

    def __init__(self):
        self.real_s = 1000.0
        self.incarnations = 0
        self.sequence = 0
        self.ownerships = {}
        self.recorded_keys = {}
        self.echoes = []
        self.executions = {}
        self.retired = set()
        self.claims = []
        for name in NAMES:
            self.restart(name)

    def clock(self, name):
        """Returns the time on an instance's clock."""
        return self.real_s * CLOCK_RATES[name]

    def restart(self, name):
        """Starts a new incarnation without any recorded key."""
        self.incarnations += 1
        ownership = Ownership(
            name, self.incarnations, "koper", self.clock(name)
        )
        ownership.configure(["koper"], {}, self.clock(name))
        self.ownerships[name] = ownership
        self.recorded_keys[name] = set()
        self.retired.discard(name)
        self.apply_list(name, NAMES)

    def apply_list(self, name, instances):
        """Applies an instance list to one instance."""
        names = {"koper": sorted(instances)}
        self.ownerships[name].update_instances(names, self.clock(name))

    def apply_list_except(self, excepted, instances):
        """Applies an instance list to all instances but one."""
        for name in set(NAMES) - {excepted}:
            self.apply_list(name, instances)

    def claim(self, name):
        """Claims the keys that an instance may run, without running them."""
        now = self.clock(name)
        for key in KEYS:
            if self.may_run(name, key):
                claim = self.ownerships[name].claim(key, "x", now)
                self.claims.append((name, claim))

    def run_claimed(self):
        """Runs the claimed keys for which the check before the write passes."""
        for claimant, claim in self.claims:
            try:
                self.ownerships[claimant].check(claim, self.clock(claimant))
            except RefusalError:
                continue
            self.record(claimant, claim.key)

    def send_heartbeat(self, source):
        """Sends a heartbeat to all others; `deliver` delivers their echoes."""
        self.sequence += 1
        ownership = self.ownerships[source]
        ownership.record_heartbeat(self.sequence, self.clock(source))
        for name in sorted(set(NAMES) - {source}):
            echo = self.ownerships[name].echo_heartbeat(
                source, ownership.digest, self.sequence, self.clock(name)
            )
            if echo is not None:
                self.echoes.append((source, ownership, name, echo))

    def deliver(self):
        """Delivers the echoes in flight, except to incarnations that ended."""
        for source, ownership, name, echo in self.echoes:
            if self.ownerships[source] is ownership:
                ownership.accept_echo(name, echo, self.clock(source))
        self.echoes.clear()

    def exchange(self):
        """Exchanges heartbeats and echoes between all instances."""
        for name in NAMES:
            self.send_heartbeat(name)
        self.deliver()

    def retire(self, name):
        """Retires an instance and hands its keys over to its successors."""
        ownership = self.ownerships[name]
        if name in self.retired:
            return
        self.retired.add(name)
        owned_for_s = ownership.retire(self.clock(name))
        for other in ownership.find_successors():
            self.recorded_keys[other] |= self.recorded_keys[name]
            self.ownerships[other].accept_handover(
                name,
                ownership._incarnation,
                ownership.view_changes,
                owned_for_s,
                self.clock(other),
            )

    def execute(self, names=NAMES):
        """Runs each key wherever it may run; at most one owner has a lease."""
        for key in KEYS:
            leased = [n for n in names if self.owns_under_lease(n, key)]
            assert len(leased) <= 1, (key, leased)
            for name in [n for n in names if self.may_run(n, key)]:
                self.record(name, key)

    def record(self, name, key):
        """Records an execution and checks that no other is within the memory.

        The clocks of the instances run up to 1 % fast, so `KEY_MEMORY_S` on one
        of them is shorter in real time.
        """
        self.recorded_keys[name].add(key)
        last = self.executions.get(key, -KEY_MEMORY_S)
        assert self.real_s - last > KEY_MEMORY_S * 0.98, (key, name)
        self.executions[key] = self.real_s

    def owns_under_lease(self, name, key):
        """Whether an instance owns a key, holds a lease and is not retired."""
        ownership = self.ownerships[name]
        owner = ownership.locate(key, "x") == ("koper", name)
        alive = name not in self.retired
        return owner and alive and ownership.holds_lease(self.clock(name))

    def may_run(self, name, key):
        """Whether an instance has no record of a key and can claim it."""
        ownership, now = self.ownerships[name], self.clock(name)
        if key in self.recorded_keys[name]:
            return False
        try:
            ownership.check(ownership.claim(key, "x", now), now)
        except RefusalError:
            return False
        return True


INSTANCE_LISTS = st.sets(st.sampled_from(NAMES)).map(
    lambda s: s | {COMMON_MEMBER}
)
STEPS = st.one_of(
    st.tuples(st.just("exchange")),
    st.tuples(st.just("execute")),
    st.tuples(st.just("pass"), st.sampled_from([0.6, 1.0, 2.95, 3.05, 650.0])),
    st.tuples(st.just("apply_list"), st.sampled_from(NAMES), INSTANCE_LISTS),
    st.tuples(
        st.just("apply_list_except"), st.sampled_from(NAMES), INSTANCE_LISTS
    ),
    st.tuples(
        st.sampled_from(["send_heartbeat", "restart", "retire"]),
        st.sampled_from(NAMES),
    ),
    st.tuples(st.just("deliver")),
)


def apply(model, step):
    """Applies one step of a history, a method of the model and its arguments.

    The step `pass` advances the real time by some seconds.
    """
    verb, *args = step
    if verb == "pass":
        model.real_s += args[0]
    else:
        getattr(model, verb)(*args)


def make_model():
    """Returns a model in which every instance has owned its keys for 650 s."""
    model = Model()
    model.real_s += 4
    model.exchange()
    model.real_s += 650
    model.exchange()
    return model


@then('no key runs twice in the history "{history}"')
def then_history(context, history):
    model = make_model()
    for text in history.split(";"):
        verb, *args = text.split()
        args = [float(a) for a in args] if verb == "pass" else args
        apply(model, (verb, *args))


@then("{count:d} generated histories of leases have one owner at a time")
def then_one_owner(context, count):
    ran = []

    @settings(
        max_examples=count,
        deadline=None,
        derandomize=True,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.lists(STEPS, min_size=6, max_size=40))
    def run(steps):
        model = make_model()
        for step in steps:
            apply(model, step)
            if step[0] in ("exchange", "deliver"):
                model.execute()
        ran.append(len(model.executions))

    run()
    # The test would also pass if no history executed anything.
    assert sum(ran) > count


@when(
    "the echoes of a heartbeat come {seconds:g} s later, after the next "
    "heartbeat"
)
def when_late_echoes(context, seconds):
    model = context.model = make_model()
    context.sent_at = model.real_s
    model.send_heartbeat("a")
    late = list(model.echoes)
    assert len(late) == len(NAMES) - 1
    model.real_s += seconds
    model.send_heartbeat("a")
    # Those of the next heartbeat are lost.
    model.echoes = late
    model.deliver()


@then("the lease ends {seconds:g} s after the first of the two")
def then_lease_ends(context, seconds):
    model, held = context.model, []
    for after_s in (seconds - 0.1, seconds + 0.1):
        model.real_s = context.sent_at + after_s
        held.append(model.ownerships["a"].holds_lease(model.clock("a")))
    assert held == [True, False], held


@then("the owner in the new home refuses the account's keys for 600 s")
def then_home(context):
    ownership = Ownership("a", 1, "koper", 0.0)
    ownership.configure(["koper", "izola"], {"x": "izola"}, 0.0)
    ownership.update_instances({"koper": ["a"]}, 0.0)
    assert ownership.holds_lease(10.0)
    ownership.configure(["koper", "izola"], {"x": "koper"}, 1000.0)
    try:
        ownership.claim("k", "x", 1599.0)
        raise AssertionError("the claim was granted 599 s after the change")
    except RefusalError as exc:
        assert exc.reason.code == "key_owner_recent", exc
    ownership.claim("k", "x", 1600.0)
