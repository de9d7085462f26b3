"""Steps for membership, which run scripts of timed events."""

import re

from behave import given, then, when
from hypothesis import given as generated
from hypothesis import settings
from hypothesis import strategies as st

from applespring.core.instances import (
    InstanceEntry,
    InstanceList,
    InstanceState,
    ListedEntries,
)
from applespring.core.membership import Membership
from features.fixtures.documents import make_fleet, make_pool

ENTRY = re.compile(
    r"(?P<name>\w+)(:(?P<role>\w+))?(@(?P<domain>\w+))?"
    r"(/(?P<state>\w+))?(/(?P<incarnation>\d+))?$"
)


class ScriptedMembership:
    """A membership to which a script of events happens at given times."""

    def __init__(self, pools):
        self.membership = Membership()
        self.roles = {}
        self.set_pools(pools)

    def set_pools(self, pools):
        """Puts a configuration with these pools in force."""
        members = []
        for name, upstreams in pools.items():
            members.append(
                make_pool(name, upstreams, reports_load=name == "llm")
            )
            self.roles.update(dict.fromkeys(upstreams.split(), name))
        self.membership.set_fleet(make_fleet(1, members))
        self.now = 0.0

    def make_list(self, revision, words):
        """Makes a list of the entries named by `words`.

        A first word `all` stands for all upstreams that no later word names.
        """
        entries = []
        if words and words[0] == "all":
            overridden = {ENTRY.match(w)["name"] for w in words[1:]}
            remaining = [n for n in self.roles if n not in overridden]
            words = remaining + words[1:]
        for word in words:
            part = ENTRY.match(word)
            entries.append(
                InstanceEntry(
                    part["name"],
                    part["role"] or self.roles[part["name"]],
                    "127.0.0.1:1",
                    part["domain"] or "koper",
                    InstanceState(part["state"] or "live"),
                    int(part["incarnation"] or 0),
                )
            )
        return InstanceList(int(revision), entries)

    def run(self, script):
        """Runs events separated by commas.

        The first word of each selects a method; the options `asked`, `aged`,
        `by` and `confirmed` have one argument each.
        """
        for line in script.split(", "):
            words = line.split()
            options = {}
            for option in ("asked", "aged", "by", "confirmed"):
                if option in words:
                    i = words.index(option)
                    options[option] = words[i + 1]
                    del words[i : i + 2]
            getattr(self, "_do_" + words[0])(options, *words[1:])

    def _asked(self, options):
        return float(options.get("asked", self.now))

    def _do_pool(self, _options, name, *upstreams):
        self.set_pools({name: " ".join(upstreams)})

    def _do_at(self, _options, now):
        self.now = float(now)

    def _do_tick(self, _options):
        self.membership.tick(self.now)

    def _do_pause(self, _options):
        self.membership.note_pause(self.now)

    def _do_fail(self, options):
        self.membership.fail_read(self._asked(options))

    def _do_confirm(self, options, revision):
        self.membership.confirm_list(
            int(revision), self._asked(options), self.now
        )

    def _do_list(self, options, revision, _of, *words):
        words = [] if words == ("-",) else list(words)
        self.membership.offer_list(
            self.make_list(revision, words),
            "platform",
            self._asked(options),
            self.now,
        )

    def _do_peer(self, options, _kind, revision, _of, *words):
        confirmed = options.get("confirmed")
        self.membership.offer_list(
            self.make_list(revision, list(words)),
            "koper-2",
            self.now,
            self.now,
            confirmed_at=float(confirmed) if confirmed else None,
        )

    def _do_answer(self, options, name):
        self.membership.note_answer(name, self._asked(options), self.now)

    def _do_report(self, options, name):
        self.membership.note_report(
            name, self._asked(options), float(options.get("aged", 0))
        )

    def _do_leaving(self, options, name):
        name, _, incarnation = name.partition("/")
        self.membership.note_leaving(
            name,
            int(incarnation or 0),
            options["by"],
            self.now,
            float(options.get("aged", 0)),
        )


def split_pools(*texts):
    return dict(text.split(": ") for text in texts)


@given('a membership of "{one}" and "{two}" without a list')
def given_membership_unlisted(context, one, two):
    context.scripted = ScriptedMembership(split_pools(one, two))


@given('a membership of "{one}" and "{two}"')
def given_membership(context, one, two):
    context.scripted = ScriptedMembership(split_pools(one, two))
    context.scripted.run("list 5 of all")


@when('the events "{script}" happen')
def when_script(context, script):
    context.scripted.run(script)


@when("{count:d} notices about unknown names arrive")
def when_unknown_notices(context, count):
    for number in range(count):
        context.scripted.membership.note_leaving(
            f"x{number}", 0, "koper-2", context.scripted.now + 1
        )


@then('the usable upstreams of "{pool}" are "{names}"')
def then_usable(context, pool, names):
    scripted = context.scripted
    usable = scripted.membership.usable(pool, scripted.now)
    assert usable == set(names.split()), usable


@then('the usable upstreams of "{pool}" are ""')
def then_none_usable(context, pool):
    then_usable(context, pool, "")


@then('a write to "{upstream}" is "{check}"')
def then_write(context, upstream, check):
    scripted = context.scripted
    found = scripted.membership.check_dispatch(upstream, scripted.now)
    assert found.value == check, found


@then('the upstreams to probe are "{names}"')
def then_probe(context, names):
    scripted = context.scripted
    found = scripted.membership.find_upstreams_to_probe(scripted.now)
    assert sorted(found) == names.split(), found


@then("{count:d} notices are forwarded to peers")
def then_forwarded(context, count):
    scripted = context.scripted
    assert len(scripted.membership.recent_notices(scripted.now)) == count


@then("the table has {count:d} leaving notices")
def then_notices(context, count):
    assert len(context.scripted.membership.leaving) == count


@then('the entry instances in "{failure_domain}" are "{names}"')
def then_entries(context, failure_domain, names):
    found = context.scripted.membership.entries(failure_domain)
    assert [e.name for e in found] == names.split(), found


@then('the entry instances in "" are "{names}"')
def then_all_entries(context, names):
    then_entries(context, "", names)


@then(
    "the accepted lists agree and no revision decreases in every generated case"
)
def then_lists_agree(context):
    # The platform publishes one list under each revision.
    revisions = st.lists(st.integers(0, 6), min_size=1, max_size=10)

    @settings(derandomize=True, deadline=None, database=None)
    @generated(revisions, st.randoms(use_true_random=False))
    def check(offers, rng):
        shuffled = list(offers)
        rng.shuffle(shuffled)
        ends = []
        for sequence in (offers, shuffled):
            listed = ListedEntries()
            for revision in sequence:
                before = listed.revision
                entry = InstanceEntry(f"s{revision}", "svc", "a:1", "koper")
                listed.offer(InstanceList(revision, [entry]), 0.0)
                assert listed.revision >= before
            names = [e.name for e in listed.all_entries()]
            ends.append((listed.revision, names))
        assert ends[0] == ends[1], (offers, shuffled)

    check()
