"""Steps for requests through a fleet of entry instances."""

import anyio
import orjson
from behave import then, when

from applespring.core.fleet import StageKind
from applespring.core.integrity import digest
from applespring.load.expect import ChainStage, expected_output
from features.fixtures.fleet import run_site, submit_many

ASSISTANT = [
    ChainStage(StageKind.ENCODE, "encode"),
    ChainStage(StageKind.RETRIEVE, "retrieve"),
    ChainStage(StageKind.RERANK, "rerank"),
    ChainStage(StageKind.GENERATE, "generate", 256),
]
IDLE_STEP_S = 0.1

MALFORMED_SUBMISSIONS = {
    "an unknown account": ("assistant", "nobody", {"input": 1}, {}),
    "no such pipeline": ("lost", "web", {"input": 1}, {}),
    "a deadline of zero": (
        "assistant",
        "web",
        {"input": 1},
        {"applespring-deadline-ms": "0"},
    ),
    "an unknown field": ("assistant", "web", {"input": 1, "colour": 2}, {}),
    "no input": ("assistant", "web", {"stream": True}, {}),
    "no JSON": ("assistant", "web", None, {}),
    "a missing key": ("payment", "web", {"input": 1}, {}),
}


def count_executions(fleet):
    return sum(len(app.record.executions) for app in fleet.upstreams.values())


@when(
    '{count:d} requests with different inputs pass the "{site}" fleet at once'
)
def when_many(context, count, site):
    async def scenario(fleet):
        names = list(fleet.entries)
        context.replies = await submit_many(
            fleet,
            count,
            0.0,
            lambda index: {
                "via": names[index % len(names)],
                "pipeline": "assistant",
                "account": "web",
                "payload": f"question {index}",
            },
        )

    run_site(site, scenario)


@then("each answer is the expected output of its input")
def then_expected_outputs(context):
    assert context.replies
    for index, reply in enumerate(context.replies):
        assert reply.answered, reply.document
        expected = expected_output(ASSISTANT, f"question {index}")
        assert reply.document["output"] == expected


@when('a streamed request passes the "{site}" fleet')
def when_streamed(context, site):
    async def scenario(fleet):
        context.reply = await fleet.submit(
            "entry-koper-1", "assistant", "web", "hut 7", stream=True
        )

    run_site(site, scenario)


@then("its tokens are numbered without a gap and an end event follows")
def then_tokens(context):
    *tokens, end = context.reply.events
    assert [data["index"] for _, data in tokens] == list(range(len(tokens)))
    assert {name for name, _ in tokens} == {"token"}
    assert end[0] == "end"
    assert end[1]["tokens"] == len(tokens) > 1
    context.joined = "".join(data["text"] for _, data in tokens)
    assert context.joined == expected_output(ASSISTANT, "hut 7")


@then("the digest of the end event is the digest of the joined tokens")
def then_digest(context):
    assert context.reply.events[-1][1]["digest"] == digest(context.joined)


@when('a submission with {error} reaches the "{site}" fleet')
def when_malformed(context, error, site):
    pipeline, account, body, headers = MALFORMED_SUBMISSIONS[error]
    content = b"{" if body is None else orjson.dumps(body)

    async def scenario(fleet):
        async with fleet.network.client("callers") as client:
            address = fleet.entries["entry-koper-1"].address
            resp = await client.post(
                f"http://{address}/v1/pipelines/{pipeline}/requests",
                content=content,
                headers={"applespring-account": account, **headers},
            )
        context.status, context.problem = resp.status_code, resp.json()
        context.executions = count_executions(fleet)

    run_site(site, scenario)


@then('it is refused with status {status:d} and a detail that names "{name}"')
def then_refused(context, status, name):
    assert context.status == status, context.problem
    assert name in context.problem["detail"], context.problem
    assert context.problem["verdict"] == "not_run"


@then("no upstream was called")
def then_no_call(context):
    assert context.executions == 0


@when('the "{site}" fleet runs idle for {seconds:d} seconds')
def when_idle(context, site, seconds):
    context.unusable = []

    async def scenario(fleet):
        for _ in range(round(seconds / IDLE_STEP_S)):
            await anyio.sleep(IDLE_STEP_S)
            now = anyio.current_time()
            for host in fleet.entries.values():
                for name, pool in fleet.fleet.pools.items():
                    usable = host.instance.membership.usable(name, now)
                    if len(usable) < len(pool.upstreams):
                        context.unusable.append((now, host.name, name))

    run_site(site, scenario)


@then("every upstream was usable at every instance")
def then_usable(context):
    assert not context.unusable, context.unusable[:5]


@when('a payment with an issued key reaches every "{site}" instance at once')
def when_payment(context, site):
    async def scenario(fleet):
        key = await fleet.issue_key("entry-izola-1")
        names = list(fleet.entries)
        context.replies = await submit_many(
            fleet,
            len(names),
            0.0,
            lambda index: {
                "via": names[index],
                "pipeline": "payment",
                "account": "web",
                "payload": {"amount": 5},
                "key": key,
            },
        )
        context.counts = [
            fleet.count_executions(pool) for pool in ("bookings", "payments")
        ]

    run_site(site, scenario)


@then("every submission gets the same answer")
def then_same(context):
    outputs = [reply.document.get("output") for reply in context.replies]
    assert outputs[0] is not None, context.replies[0].document
    assert all(output == outputs[0] for output in outputs)


@then("each stage of the payment was executed once")
def then_once(context):
    assert context.counts == [1, 1], context.counts


@when(
    'a streaming caller of the "{site}" fleet disconnects after {count:d}'
    " tokens"
)
def when_disconnects(context, site, count):
    async def scenario(fleet):
        address = fleet.entries["entry-koper-1"].address
        async with (
            fleet.network.client("callers") as client,
            client.stream(
                "POST",
                f"http://{address}/v1/pipelines/assistant/requests",
                json={"input": "a long question", "stream": True},
                headers={"applespring-account": "web"},
            ) as resp,
        ):
            received = 0
            async for chunk in resp.aiter_bytes():
                received += chunk.count(b"event: token")
                if received >= count:
                    break
        context.running_before = count_running(fleet)
        await anyio.sleep(1.0)
        context.running_after = count_running(fleet)

    run_site(site, scenario)


def count_running(fleet):
    return sum(app.slot_queue.running for app in fleet.upstreams.values())


@then("no engine is running a call one second later")
def then_freed(context):
    assert context.running_before == 1, context.running_before
    assert context.running_after == 0


@when('an instance of the "{site}" fleet drains under load')
def when_drains(context, site):
    async def scenario(fleet):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(drain)
            context.replies = await submit_many(
                fleet,
                40,
                0.05,
                lambda index: {
                    "via": "entry-koper-1",
                    "pipeline": "assistant",
                    "account": "web",
                    "payload": f"question {index}",
                    "stream": index % 2 == 0,
                },
            )

    async def drain():
        await anyio.sleep(0.5)
        await context.fleet.drain_entry("entry-koper-1")

    async def record_fleet(fleet):
        context.fleet = fleet
        await scenario(fleet)

    run_site(site, record_fleet)


@then("every request that it had accepted was answered completely")
def then_accepted_answered(context):
    refused = [
        reply
        for reply in context.replies
        if reply.document and reply.document.get("reason") == "shutting_down"
    ]
    refused += [reply for reply in context.replies if reply.status == 0]
    accepted = [reply for reply in context.replies if reply not in refused]
    assert len(accepted) >= 20, len(accepted)
    for reply in accepted:
        assert reply.answered, reply.document
    for reply in refused:
        assert not reply.events, reply.events


@when('an instance of the "{site}" fleet drains and starts again')
def when_restarts(context, site):
    async def scenario(fleet):
        await anyio.sleep(5.0)
        await fleet.drain_entry("entry-koper-1")
        fleet.run_entry("entry-koper-1")
        await anyio.sleep(5.0)
        context.views = [
            [entry.name for entry in host.instance.membership.entries()]
            for host in fleet.entries.values()
        ]

    run_site(site, scenario)


@then("its peers list it as live within 5 seconds")
def then_listed(context):
    assert len(context.views) == 6
    assert all("entry-koper-1" in view for view in context.views)


@when(
    'an upstream of the "{site}" fleet leaves for {leaving_s:d} seconds and'
    " serves again"
)
def when_serves_again(context, site, leaving_s):
    async def scenario(fleet):
        app = fleet.upstreams["payments-1"]
        app.state = "leaving"
        app.state_changed()
        await anyio.sleep(leaving_s)
        context.used_while_leaving = find_instances_using(fleet, "payments-1")
        app.state = "serving"
        app.state_changed()
        await anyio.sleep(60.0)
        context.used_after = find_instances_using(fleet, "payments-1")

    run_site(site, scenario)


def find_instances_using(fleet, upstream):
    now = anyio.current_time()
    return [
        host.name
        for host in fleet.entries.values()
        if upstream in host.instance.membership.usable("payments", now)
    ]


@then("every instance uses it again within 60 seconds")
def then_used_again(context):
    assert context.used_while_leaving == []
    assert len(context.used_after) == 6, context.used_after


@when(
    'an instance of the "{site}" fleet resumes after {pause_s:d} seconds with'
    " requests"
)
def when_resumes(context, site, pause_s):
    async def scenario(fleet):
        await anyio.sleep(2.0)
        fleet.pause_entry("entry-koper-1")
        await anyio.sleep(pause_s)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(resume, fleet)
            context.replies = await submit_many(
                fleet,
                10,
                0.02,
                lambda index: {
                    "via": "entry-koper-1",
                    "pipeline": "assistant",
                    "account": "web",
                    "payload": f"hut {index}",
                },
            )

    async def resume(fleet):
        await anyio.sleep(0.1)
        fleet.resume_entry("entry-koper-1")

    run_site(site, scenario)


@then("every request sent to it was answered completely")
def then_sent_answered(context):
    assert len(context.replies) == 10
    for reply in context.replies:
        assert reply.answered, reply.document


@when('the rules of the "{site}" fleet are explained for a payment')
def when_explained(context, site):
    async def scenario(fleet):
        address = fleet.entries["entry-koper-1"].address
        url = f"http://{address}/v1/explain"
        async with fleet.network.client("callers") as client:
            context.explained = await client.get(
                url, params={"pipeline": "payment", "account": "web"}
            )
            context.rejected = await client.get(
                url, params={"pipeline": "lost", "account": "web"}
            )

    run_site(site, scenario)


@then('the explanation names "{rule}" as the rule that decides')
def then_explained(context, rule):
    document = context.explained.json()
    assert context.explained.status_code == 200, document
    assert document["decision"]["rule"] == rule, document
    decides = [r["rule"] for r in document["rules"] if r["decides"]]
    assert decides == [rule], document


@then("a query with an unknown pipeline is refused with its name")
def then_query_rejected(context):
    assert context.rejected.status_code == 404, context.rejected.text
    assert "lost" in context.rejected.json()["detail"]


@when('every payment upstream of the "{site}" fleet leaves before a payment')
def when_all_leave(context, site):
    async def scenario(fleet):
        for upstream in fleet.fleet.pools["payments"].upstreams:
            app = fleet.upstreams[upstream.name]
            app.state = "leaving"
            app.state_changed()
        await anyio.sleep(10.0)
        key = await fleet.issue_key("entry-koper-1")
        context.reply = await fleet.submit(
            "entry-koper-1", "payment", "web", {"amount": 5}, key=key
        )
        context.executions = count_executions(fleet)

    run_site(site, scenario)


@then('the payment is refused as "{reason}" with a Retry-After')
def then_refused_later(context, reason):
    assert context.reply.document["reason"] == reason, context.reply.document
    assert context.reply.document["verdict"] == "not_run"
    assert int(context.reply.headers["retry-after"]) >= 1
