"""Steps about the adapter to the platform."""

import base64
import json
import math
import subprocess
import sys

import anyio
import h11
import httpx
import orjson
from behave import given, then, when
from hypothesis import given as generate
from hypothesis import settings
from hypothesis import strategies as st

from applespring.core.errors import MessageError, SettingsError
from applespring.core.piece import Piece
from applespring.peer import codec, message
from applespring.platform.document import decode_document, decode_entry
from applespring.platform.registry import PlatformRegistry
from applespring.platform.settings import decode_settings, parse_lines
from applespring.platform.store import Store, StoreError
from applespring.platform.wire import PlatformProtocol
from applespring.relay.upstream_messages import (
    NOT_KNOWN,
    decode_upstreams,
    encode_upstream,
)
from features.fixtures.platform_text import SETTINGS, make_configuration
from features.fixtures.virtual import run_virtual

PROTOCOL = PlatformProtocol()
# A field that an entry lacks.
GONE = object()


def expect_error(call, kind=MessageError):
    """Returns the message of the error that a call raises."""
    try:
        call()
    except kind as exc:
        return str(exc)
    raise AssertionError(f"no {kind.__name__}")


@given("the platform's configuration of version {version:d}")
def given_configuration(context, version):
    context.document = decode_document(make_configuration(version))


@given("the configuration {text}")
def given_raw(context, text):
    context.raw = text.encode()


@then('it is refused with "{words}"')
def then_refused(context, words):
    assert words in expect_error(lambda: decode_document(context.raw))


@then("the document has version {version:d}")
def then_version(context, version):
    assert context.document.version == version


def find_route(context, url):
    host, _, path = url.partition("/")
    return context.document.match(host, "/" + path)


@then(
    "the route of {url} is {name}, streaming, {timeout:d} s, "
    "target {target:g} s"
)
def then_route_details(context, url, name, timeout, target):
    route = context.route = find_route(context, url)
    assert route.name == name
    assert route.kind.value == "streaming"
    assert (route.timeout_s, route.target_s) == (timeout, target)


@then("the route of {url} is {name:w}")
def then_route(context, url, name):
    route = find_route(context, url)
    assert (route.name if route else "none") == name


@then("the route of {url} is r-{number:d}")
def then_route_number(context, url, number):
    assert find_route(context, url).name == f"r-{number}"


@then("its stages are {pool} of {size:d} bytes")
def then_stages(context, pool, size):
    (step,) = context.route.stages
    assert (step.pool, step.result_bytes) == (pool, size)


@then(
    "pool {name} has {batch:d} pieces a call, {call:d} ms a call, "
    "{memory_mb:d} MB"
)
def then_pool(context, name, batch, call, memory_mb):
    spec = context.document.pools[name].batch
    assert (spec.batch, spec.call_s) == (batch, call / 1e3)
    assert spec.result_memory_bytes == memory_mb * 1e6


@then("the client account of key {key} is {name} with priority {priority:d}")
def then_client(context, key, name, priority):
    client = context.document.accounts_by_key[key]
    assert (client.name, client.priority) == (name, priority)


@then("the limits are {head:d}, {body:d}, {header_s:d} s, {idle_s:d} s")
def then_limits(context, head, body, header_s, idle_s):
    limits = context.document.limits
    assert (limits.header_bytes, limits.body_bytes) == (head, body)
    assert (limits.header_s, limits.idle_s) == (header_s, idle_s)


@given("the registry entry {text}")
def given_entry(context, text):
    context.raw = text.encode()


def make_sound_entry(**changes):
    """Returns a registry entry with some fields changed; GONE removes one."""
    fields = {
        "service": "a",
        "address": "1.2.3.4:5",
        "zone": "z",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 4,
        "born": 12,
        **changes,
    }
    return {name: value for name, value in fields.items() if value is not GONE}


@given("a sound registry entry but for {field}: {value}")
def given_unsound_entry(context, field, value):
    decode_entry("servers/i-1", orjson.dumps(make_sound_entry()), 3)
    value = GONE if value == "missing" else json.loads(value)
    context.raw = orjson.dumps(make_sound_entry(**{field: value}))


@given("a sound registry entry under the key {key}")
def given_key(context, key):
    context.key = json.loads(key)
    context.raw = orjson.dumps(make_sound_entry())


@then("it names no upstream")
def then_no_upstream(context):
    key = getattr(context, "key", "servers/i-1")
    expect_error(lambda: decode_entry(key, context.raw, 3))


@then(
    "an upstream of any of {count:d} generated entries can be called and is "
    "read by a peer as it was sent"
)
def then_usable(context, count):
    del context
    hosts = st.ip_addresses(v=4).map(str) | st.text(max_size=12)
    ports = st.integers(-1, 70_000).map(str) | st.text(max_size=5)
    values = (
        st.tuples(hosts, ports).map(":".join)
        | st.integers(-2, 2**65)
        | st.floats(allow_nan=False)
        | st.text(max_size=300)
        | st.none()
        | st.booleans()
        | st.lists(st.text(max_size=3), max_size=2)
        | st.just(GONE)
    )
    changed = st.sampled_from(sorted(make_sound_entry()))
    accepted = []

    @settings(
        max_examples=count, deadline=None, derandomize=True, database=None
    )
    @generate(
        st.just("i-1") | st.text(max_size=260),
        st.dictionaries(changed, values, max_size=2),
    )
    def run(name, changes):
        data = json.dumps(make_sound_entry(**changes)).encode()
        try:
            upstream = decode_entry(f"servers/{name}", data, 3)
        except MessageError:
            return
        accepted.append(upstream)
        httpx.Request("GET", f"http://{upstream.address}/")
        conn = h11.Connection(h11.CLIENT)
        headers = [("Host", "a"), ("Target-Instance", upstream.name)]
        conn.send(h11.Request(method="GET", target="/", headers=headers))
        entry = encode_upstream(upstream, NOT_KNOWN)
        sent = message.UpstreamList(revision=3, upstreams=[entry])
        received = codec.decode(codec.encode(sent))
        (read,), _ = decode_upstreams(received.upstreams)
        assert read.identity == upstream.identity
        assert read.address == upstream.address

    run()
    assert len(accepted) > count // 10, len(accepted)


@then(
    "it names an upstream of pool {pool} at {address} in {domain} that is "
    "leaving, born {born:d}"
)
def then_upstream(context, pool, address, domain, born):
    entry = decode_entry("servers/i-1", context.raw, 3)
    assert (entry.name, entry.pool, entry.address) == ("i-1", pool, address)
    assert (entry.failure_domain, entry.born_ms) == (domain, born)
    assert entry.state.value == "leaving"
    assert entry.revision == 3


@given("a caller's request with the header {name}: {value}")
def given_request(context, name, value):
    context.headers = [
        (b"Host", b"pule25.example"),
        (b"Request-Id", b"9c41"),
        (name.encode(), value.encode()),
    ]


def forwarded_headers(context, **changes):
    """Returns the headers that an upstream gets for the caller's request."""
    req = PROTOCOL.decode_request("POST", b"/p/", context.headers)
    options = {
        "upstream": "i-1",
        "account": "bozi300",
        "remaining_s": 1.5,
        "priority": 2,
        "inputs": ["1.2.3.4:5/a", "1.2.3.4:5/b"],
        "after_event": "",
        "fetch_from": "1.2.3.4:6",
        **changes,
    }
    return PROTOCOL.encode_request(req, **options)


@then("{name} does not reach an upstream")
def then_not_passed(context, name):
    sent = forwarded_headers(context)
    assert not any(value == b"forged" for _, value in sent), sent
    names = [n.lower() for n, _ in sent]
    assert names.count(name.lower().encode()) <= 1


@then("an upstream gets {name}: {value}")
def then_gets(context, name, value):
    assert (name.encode(), value.encode()) in forwarded_headers(context)


@then(
    "the upstream that resumes after {event:d} gets Last-Event-Id {sent:d} once"
)
def then_resumes(context, event, sent):
    headers = forwarded_headers(context, after_event=str(event))
    found = [v for n, v in headers if n.lower() == b"last-event-id"]
    assert found == [str(sent).encode()]


@then("its parts are {first} of {a:d} and {second} of {b:d} tokens")
def then_parts(context, first, a, second, b):
    req = PROTOCOL.decode_request("POST", b"/p/", context.headers)
    parts = [(p.name, p.tokens) for p in req.prompt_parts]
    assert parts == [(first, a), (second, b)]


@then("the request is refused as malformed")
def then_malformed(context):
    expect_error(lambda: PROTOCOL.decode_request("GET", b"/", context.headers))


@given("an answer of status {status:d} with the header {name}: {value}")
def given_answer(context, status, name, value):
    headers = [(name.encode(), value.encode())]
    context.reply = PROTOCOL.decode_reply(status, headers)


@then("it states that the request did not run")
def then_not_run(context):
    assert context.reply.not_run


@then("it states that the request may have run")
def then_may_have_run(context):
    assert not context.reply.not_run


@given("a stage call with {count:d} pieces")
def given_call(context, count):
    context.pieces = [
        Piece(request="r", stage=0, segment=n, key="k", deadline_at=2.0)
        for n in range(count)
    ]
    _, _, body = PROTOCOL.encode_call(context.pieces, "i-1", 1.0)
    assert json.loads(body)["items"][1] == {
        "id": "r",
        "stage": 0,
        "segment": 1,
        "key": "k",
        "remainingMs": 1000,
    }


@then("the answer {text} gives {handle} and {failure}")
def then_answer(context, text, handle, failure):
    replies = PROTOCOL.decode_call(text.encode(), context.pieces)
    assert [(r.handle, r.failure) for r in replies] == [
        (handle, ""),
        ("", failure),
    ]


@then("the answer {text} is refused")
def then_answer_refused(context, text):
    expect_error(lambda: PROTOCOL.decode_call(text.encode(), context.pieces))


@given("the platform's settings")
def given_settings(context):
    context.values = dict(SETTINGS)


@given("the platform's settings with {name}=")
def given_settings_without(context, name):
    context.values = {**SETTINGS, name: ""}


@given("the platform's settings with {name}={value}")
def given_settings_with(context, name, value):
    context.values = {**SETTINGS, name: value}


def decode_values(context):
    text = "\n".join(f"{n}={v}" for n, v in context.values.items())
    return decode_settings(parse_lines("# comment\nno value\n" + text))


@then("the instance is called {name} in {domain}")
def then_instance(context, name, domain):
    settings = decode_values(context)
    assert (settings.name, settings.failure_domain) == (name, domain)


@then("its seeds are {seeds}")
def then_seeds(context, seeds):
    assert decode_values(context).seeds == tuple(seeds.split(","))


@then("its drain limit is {limit:d} s")
def then_drain_limit(context, limit):
    assert decode_values(context).drain_limit_s == limit


@then("they are refused naming {name}")
def then_settings_refused(context, name):
    assert name in expect_error(lambda: decode_values(context), SettingsError)


@then("the launcher ignores SIGHUP before it imports the program")
def then_ignores(context):
    del context
    code = (
        "import signal, sys\n"
        "sys.modules['applespring.platform.main'] = None\n"
        "try:\n"
        "    import applespring_relay\n"
        "except ImportError:\n"
        "    pass\n"
        "handler = signal.getsignal(signal.SIGHUP)\n"
        "sys.exit(handler is not signal.SIG_IGN)\n"
    )
    subprocess.run([sys.executable, "-c", code], check=True)


@given(
    "a store at revision {revision:d} with a configuration of version "
    "{version:d} and an item of another writer"
)
def given_store(context, revision, version):
    value = base64.b64encode(make_configuration(version)).decode()
    items = [
        {"key": "op/another", "revision": 3, "value": "AAAA"},
        {"key": "op/config", "revision": 4, "value": value},
    ]
    context.store_calls = []

    def answer(request):
        context.store_calls.append(request.url.path)
        page = {"items": items, "hasMore": False, "at": revision}
        return httpx.Response(200, json=page)

    transport = httpx.MockTransport(answer)
    context.registry = PlatformRegistry(Store(transport, "127.0.0.1:1"))


@when("the document is read from the store")
def when_document_read(context):
    async def read_document():
        context.read = await context.registry.read()

    run_virtual(read_document)


@then(
    "it has version {version:d}, the watch starts at {revision:d}, and "
    "{calls:d} call was made"
)
def then_document_read(context, version, revision, calls):
    reading = context.read
    assert decode_document(reading.document).version == version
    assert reading.revision == revision
    assert reading.changes == []
    assert len(context.store_calls) == calls, context.store_calls


class SlowStore:
    """A store that answers each call after a time.

    Attributes:
        pages: Pages of a read, which answers the configuration on the last.
        delay_s: Time from a call to its answer.
    """

    def __init__(self, pages, delay_s):
        self.pages = pages
        self.delay_s = delay_s

    async def answer(self, request):
        """Returns a page of a read.

        Raises:
            httpx.ReadTimeout: The answer takes longer than the call allows.
        """
        limit_s = request.extensions["timeout"]["read"]
        await anyio.sleep(min(limit_s, self.delay_s))
        if limit_s < self.delay_s:
            raise httpx.ReadTimeout("no answer")
        number = int(request.url.params.get("after", 0)) + 1
        last = number == self.pages
        item = {"key": str(number), "revision": 3, "value": "AAAA"}
        if last:
            value = base64.b64encode(make_configuration(7)).decode()
            item = {"key": "op/config", "revision": 4, "value": value}
        page = {"items": [item], "hasMore": not last, "at": 12}
        return httpx.Response(200, json=page)


@given(
    "a store that answers each of the {pages:d} pages of a read after "
    "{seconds:g} s"
)
def given_slow_store(context, pages, seconds):
    context.store = SlowStore(pages, seconds)
    transport = httpx.MockTransport(context.store.answer)
    context.registry = PlatformRegistry(Store(transport, "127.0.0.1:1"))
    context.read = None


@when("the store is read, again after each failure, at most {count:d} times")
def when_read_with_retries(context, count):
    async def read():
        for _ in range(count):
            try:
                context.read = await context.registry.read()
                return
            except StoreError:
                await anyio.sleep(0.5)

    run_virtual(read)


@when("it answers at once in one read, and not at all in the next one")
def when_fast_then_silent(context):
    async def read():
        context.store.delay_s = 0.0
        await context.registry.read()
        context.store.delay_s = math.inf
        started_at = anyio.current_time()
        try:
            await context.registry.read()
        except StoreError:
            context.failed_after_s = anyio.current_time() - started_at

    run_virtual(read)


@then("the store's document has version {version:d}")
def then_document_version(context, version):
    assert context.read is not None, "every read failed"
    assert decode_document(context.read.document).version == version


@then("that read has failed after {seconds:g} s")
def then_failed_after(context, seconds):
    assert context.failed_after_s <= seconds + 0.01, context.failed_after_s
