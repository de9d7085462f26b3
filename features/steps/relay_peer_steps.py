"""Steps for the table of the other instances."""

from behave import given, then, when

from applespring.core.peer_table import Peer, PeerTable


def record_heartbeat(context, incarnation, now, sequence=1, state="live"):
    peer = Peer("two", incarnation, "a:1", "koper", state, sequence)
    return context.peer_table.record_heartbeat(peer, now, direct=True)


@given(
    "a peer with incarnation {incarnation:d} that sent a heartbeat at {now:g}"
)
def given_peer(context, incarnation, now):
    context.peer_table = PeerTable("one")
    assert record_heartbeat(context, incarnation, now)


@when("the peer sends a heartbeat with incarnation {incarnation:d} at {now:g}")
def when_heartbeat(context, incarnation, now):
    assert record_heartbeat(context, incarnation, now)


@when("its heartbeat reports that it is leaving at {now:g}")
def when_leaving(context, now):
    record_heartbeat(context, 1, now, 2, "leaving")


@then("incarnation 1 is unreachable and incarnation 2 is reachable")
def then_reachable_incarnation(context):
    assert not context.peer_table.is_reachable("two", 1, 0.6)
    assert context.peer_table.is_reachable("two", 2, 0.6)


@then("a late heartbeat of incarnation 1 changes nothing")
def then_unchanged(context):
    assert not record_heartbeat(context, 1, 0.7, 99)
    assert context.peer_table.get("two").incarnation == 2


@then(
    "state of incarnation {incarnation:d} forwarded by others at {now:g} "
    "changes nothing"
)
def then_forwarded_unchanged(context, incarnation, now):
    row = Peer("two", incarnation, "a:1", "koper", "live", 99)
    assert not context.peer_table.record_heartbeat(row, now, direct=False)


@then("incarnation {incarnation:d} is reachable at {now:g}")
def then_reachable_at(context, incarnation, now):
    assert context.peer_table.is_reachable("two", incarnation, now)


@then("it may schedule a pool at {now:g}")
def then_may_schedule(context, now):
    ranked = context.peer_table.rank_schedulers("p", now, self_link_mbps=1000.0)
    assert set(ranked) == {"one", "two"}


@then("it may not schedule a pool at {now:g}")
def then_may_not_schedule(context, now):
    ranked = context.peer_table.rank_schedulers("p", now, self_link_mbps=1000.0)
    assert ranked == ["one"]


@given("a table of {count:d} peers with state forwarded by others at {now:g}")
def given_table(context, count, now):
    context.peer_table = PeerTable("one")
    for n in range(count):
        for sequence in (1, 2):
            peer = Peer(f"p{n}", 1, f"a{n}:1", "koper", "live", sequence)
            context.peer_table.record_heartbeat(peer, now, direct=False)


@when(
    "{count:d} of them have a link of {slow:d} Mbit/s and the others "
    "{fast:d} Mbit/s"
)
def when_links(context, count, slow, fast):
    for n, peer in enumerate(context.peer_table.all_peers()):
        peer.link_mbps = slow if n < count else fast


@then("{count:d} of them are reachable at {now:g}")
def then_count_reachable(context, count, now):
    assert len(context.peer_table.reachable(now)) == count


@then("the first {count:d} schedulers of every pool have fast links")
def then_fast(context, count):
    for pool in ("a", "b", "c"):
        ranked = context.peer_table.rank_schedulers(
            pool, 0.5, self_link_mbps=None
        )
        links = [context.peer_table.get(n).link_mbps for n in ranked]
        assert links[:count] == [100] * count


@when("it does not answer at {now:g}")
def when_unanswered(context, now):
    context.peer_table.suspect("two", now)


@then("after it answers at {now:g} it may schedule a pool")
def then_confirmed(context, now):
    context.peer_table.confirm("two", now)
    then_may_schedule(context, now)
