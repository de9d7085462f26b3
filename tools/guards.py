"""The guards that `tools/run_guards.py` removes, one at a time."""

from answer_guards import ANSWER_GUARDS
from caller_guards import CALLER_GUARDS
from engine_guards import ENGINE_GUARDS
from evacuation_guards import EVACUATION_GUARDS
from guard import Guard
from home_guards import HOME_GUARDS
from queueing_guards import QUEUEING_GUARDS
from relay_guards import RELAY_GUARDS

PAYMENT = "fault_matrix_payment"
STREAM = "fault_matrix_stream"
PAIRS = "fault_pairs"

GUARDS = (
    Guard(
        "return of a stalled stream that others refuse",
        "entry/execution/stage.py",
        "if exc.kind is FailureKind.REFUSED and work.stalled_upstream:",
        "if False:",
        ("stalled_stream", "the other one refuses -- @1.1"),
    ),
    Guard(
        "echo check of the request",
        "core/integrity.py",
        'document.get("request_id"),\n            document',
        "self.request_id,\n            document",
        ("results", "another request_id"),
    ),
    Guard(
        "echo check of the stage",
        "core/integrity.py",
        'document.get("stage")',
        "self.stage",
        ("results", "another stage"),
    ),
    Guard(
        "echo check of the attempt",
        "core/integrity.py",
        'document.get("attempt")',
        "self.attempt",
        ("results", "another attempt"),
    ),
    Guard(
        "digest check",
        "core/integrity.py",
        'if document.get("digest") != digest(output):',
        "if False:",
        ("results", "another digest"),
    ),
    Guard(
        "no tokens beyond a gap in a stream",
        "core/integrity.py",
        "while self.next_index in self._out_of_order:\n"
        "            text = self._out_of_order.pop(self.next_index)",
        "while self._out_of_order:\n"
        "            text = self._out_of_order.pop(min(self._out_of_order))",
        ("results", "tokens 0 2 1 3! ends"),
        (STREAM, "reorder at answering"),
    ),
    Guard(
        "duplicate tokens in a stream",
        "core/integrity.py",
        "if index < self.next_index or index in self._out_of_order:",
        "if False:",
        ("results", "Duplicate tokens are not held back"),
    ),
    Guard(
        "end marker of a stream",
        "entry/execution/calls.py",
        "                tokens.end()\n",
        "",
        (STREAM, "truncate at answering"),
    ),
    Guard(
        "record that a call was written",
        "entry/execution/calls.py",
        "            self.written = True",
        "            pass",
        (PAYMENT, "reset at answering"),
    ),
    Guard(
        "no retry of a non-idempotent call",
        "entry/execution/stage.py",
        "if not work.pool.idempotent and exc.verdict is not Verdict.NOT_RUN:",
        "if False:",
        (PAYMENT, "reset at answering"),
    ),
    Guard(
        "key guard called before the write",
        "entry/execution/stage.py",
        "                work.guard()",
        "                pass",
        (PAIRS, "ownership ends between connect and write"),
    ),
    Guard(
        "lease check before the write",
        "core/owner.py",
        "if self._retired or not owned or not self.holds_lease(now):",
        "if self._retired or not owned:",
        ("keys", "The owner is paused before the write"),
    ),
    Guard(
        "leaving check before the write",
        "entry/execution/stage.py",
        "if check is not DispatchCheck.OK:",
        "if False:",
        (PAIRS, "upstream leaves between connect and write"),
    ),
    Guard(
        "maximum age of evidence",
        "core/membership.py",
        "evidence is not None and evidence.at >= now - EVIDENCE_S",
        "evidence is not None",
        ("membership", "Only upstreams shown to be serving"),
    ),
    Guard(
        "revision never decreases",
        "core/revision.py",
        "if revision < self.revision:",
        "if False:",
        ("revision", "Only a higher valid revision"),
    ),
    Guard(
        "based_on check",
        "config/limits.py",
        'if "based_on" in root.values and root["based_on"] != revision - 1:',
        "if False:",
        ("fault_matrix_encode", "two operators at accepted"),
    ),
    Guard(
        "drain waits for work in flight",
        "entry/drain.py",
        "        with anyio.move_on_after(remaining_s):\n"
        "            await self._idle.wait()",
        "        del remaining_s",
        ("drain", "Work in flight runs to completion"),
    ),
    Guard(
        "refusal of remaining work at the drain limit",
        "entry/drain.py",
        "            self._refuse_remaining()\n",
        "",
        ("drain", "At the limit remaining work"),
    ),
    Guard(
        "retry budget",
        "core/retry.py",
        "if self._tokens - reserve < 1.0 - 1e-9:",
        "if False:",
        ("policy_parts", "Added attempts stay within the budget"),
    ),
    Guard(
        "deadline check before the write",
        "entry/execution/stage.py",
        "if self._clock() >= work.req.deadline_at:",
        "if False:",
        (PAIRS, "event loop is late past the deadline"),
    ),
    Guard(
        "suspect removals from the instance list",
        "core/instances.py",
        "if len(dropped) * 2 > len(live):",
        "if False:",
        ("membership", "Only upstreams shown to be serving"),
        ("fault_matrix_encode", "list wrong at accepted"),
    ),
    Guard(
        "confirmed list is evidence for a later document",
        "core/membership.py",
        "        self._record_listed_evidence()\n\n    def offer_list",
        "\n    def offer_list",
        ("fault_matrix_encode", "two operators at draining"),
    ),
    Guard(
        "Retry-After of a refusal for lack of upstreams",
        "core/deadline.py",
        "                retry_after_s=NO_UPSTREAM_RETRY_S,\n",
        "",
        ("fleet", "A pool without upstreams"),
    ),
    Guard(
        "wait for the instance list after a pause",
        "entry/compose.py",
        "        await self.members.wait_evidence()\n",
        "",
        ("fleet", "An instance resumes after a pause"),
    ),
    Guard(
        "wait for probes after a pause",
        "entry/external/members.py",
        "or self._probed_pauses == self.membership.pauses",
        "or True",
        ("membership_service", "A request after a pause without"),
    ),
    Guard(
        "maximum age of a key",
        "entry/mesh/key_run.py",
        "if age_s > self._table.memory_s:",
        "if False:",
        ("keys", "An issued key that its owner may have removed"),
    ),
    Guard(
        "one refused connection ejects",
        "core/pool_upstreams.py",
        "            upstream.health.record_unreachable()\n",
        "            pass\n",
        ("policy", "One refused connection ejects"),
    ),
    *RELAY_GUARDS,
    *CALLER_GUARDS,
    *HOME_GUARDS,
    *QUEUEING_GUARDS,
    *EVACUATION_GUARDS,
    *ENGINE_GUARDS,
    *ANSWER_GUARDS,
)
