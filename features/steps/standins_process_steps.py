"""Steps for the stand-ins as processes."""

import concurrent.futures
import subprocess
import sys

import httpx
import orjson
from behave import given, then, when

from applespring import __version__

TIMEOUT_S = 60


@given('the process "{module}"')
def given_process(context, module):
    argv = [sys.executable, "-m", module]
    process = subprocess.Popen(
        argv, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    )
    context.process = process
    context.add_cleanup(process.kill)
    ready, port = process.stdout.readline().split()
    assert ready == "ready"
    context.url = f"http://127.0.0.1:{port}"
    context.client = httpx.Client(timeout=TIMEOUT_S, trust_env=False)
    context.add_cleanup(context.client.close)


@when('it answers "{path}" and gets SIGTERM')
def when_answers(context, path):
    assert context.client.get(context.url + path).status_code == 200
    context.process.terminate()


@when("a watch of 60 s is waiting and it gets SIGTERM")
def when_watch_waits(context):
    watch = f"{context.url}/v1/config?after=0&wait_s=60"
    with concurrent.futures.ThreadPoolExecutor() as pool:
        answer = pool.submit(context.client.get, watch)
        calls = {"/v1/config": 0}
        while calls["/v1/config"] == 0:
            calls = context.client.get(f"{context.url}/admin/calls").json()
        context.process.terminate()
        context.answer = answer.result(TIMEOUT_S)


@then("the watch ends with {status:d}")
def then_watch_ends(context, status):
    assert context.answer.status_code == status


@when("the fault {fault} meets a call")
def when_fault_meets(context, fault):
    spec = {"faults": [orjson.loads(fault)]}
    context.client.put(f"{context.url}/admin/faults", json=spec)
    call = {"request_id": "a", "stage": "s", "attempt": 1, "input": 1}
    context.error = None
    try:
        context.client.post(f"{context.url}/v1/call", json=call)
    except httpx.TransportError as exc:
        context.error = exc


@then("the caller sees a broken connection")
def then_broken(context):
    kinds = (httpx.ReadError, httpx.RemoteProtocolError)
    assert isinstance(context.error, kinds), context.error


@then("it ends with code {code:d} and logs nothing")
def then_ends(context, code):
    _, logged = context.process.communicate(timeout=TIMEOUT_S)
    assert context.process.returncode == code, context.process.returncode
    assert logged == "", logged


@then("after SIGTERM it ends with code {code:d} and logs nothing")
def then_terminated(context, code):
    context.process.terminate()
    then_ends(context, code)


@when('"{module}" is run with --version')
def when_version(context, module):
    argv = [sys.executable, "-m", module, "--version"]
    context.done = subprocess.run(
        argv, capture_output=True, text=True, timeout=TIMEOUT_S
    )


@then("it prints the version of applespring")
def then_version(context):
    assert context.done.returncode == 0, context.done.stderr
    assert context.done.stdout == f"{__version__}\n", context.done.stdout
