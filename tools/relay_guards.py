"""The guards of the relay, for `tools/run_guards.py`."""

from guard import Guard

FORWARD = "relay_forward"
STAGING = "relay_staging"
BATCH = "relay_batch"
PARTS = "relay_parts"

RELAY_GUARDS = (
    Guard(
        "relay: repeat of a request that may have run",
        "relay/plain.py",
        "may_repeat = route.idempotent and",
        "may_repeat = True or",
        (FORWARD, "What may be repeated"),
    ),
    Guard(
        "relay: match of the request id",
        "relay/client.py",
        "if request_id and reply.request_id != request_id:",
        "if False:",
        (FORWARD, "What may be repeated"),
    ),
    Guard(
        "relay: signature of a success",
        "relay/plain.py",
        "if answer.status < 300 and not answer.reply.signed:",
        "if False:",
        (FORWARD, "What may be repeated"),
    ),
    Guard(
        "relay: whole events only",
        "relay/streams.py",
        "splitter.drop_partial()",
        "pass",
        (FORWARD, "A stream that breaks goes on"),
    ),
    Guard(
        "relay: silence of a stream",
        "relay/streams.py",
        "limit_s = min(limit_s, SILENCE_S)",
        "pass",
        (FORWARD, "A silent stream"),
    ),
    Guard(
        "relay: cancel when the caller leaves",
        "relay/front.py",
        "gone = True\n                            tasks.cancel_scope.cancel()",
        "gone = True",
        (FORWARD, "A caller that leaves"),
    ),
    Guard(
        "relay: age of the document",
        "relay/front.py",
        "if age_s > DOCUMENT_SURE_S:",
        "if False:",
        (FORWARD, "A document that may be old"),
    ),
    Guard(
        "relay: loss of a keeper",
        "relay/staging.py",
        "lost.setdefault(ticket.stage, set()).update(ticket.missing)",
        "pass",
        (STAGING, "The keeper of the queue is lost -- @1.1"),
    ),
    Guard(
        "relay: queue handed back",
        "relay/keeper.py",
        "await self._deliver_failures(pieces, GONE_FROM_HERE)",
        "pass",
        (STAGING, "A leaving keeper hands"),
    ),
    Guard(
        "relay: withdrawal of pieces",
        "relay/keeper.py",
        "queue.withdraw(msg.request)",
        "pass",
        (STAGING, "The caller leaves before"),
    ),
    Guard(
        "relay: admission of a queue",
        "relay/keeper.py",
        "if not msg.begun and not queue.admits(msg.deadline_s, now):",
        "if False:",
        (STAGING, "would wait too long are refused at once -- @1.2"),
    ),
    Guard(
        "relay: newer documents only",
        "relay/watch.py",
        "if held is not None and doc.version <= held.version:",
        "if False:",
        (STAGING, "An older document"),
    ),
    Guard(
        "relay: document from a peer",
        "relay/watch.py",
        "self._take_document(reply.document, peer.name)",
        "pass",
        (STAGING, "cut off from the registry"),
    ),
    Guard(
        "relay: room of a whole stage",
        "core/batch.py",
        "if size > max(0.0, spare) and not self._is_empty(now):",
        "if False:",
        (BATCH, "A request begins only when"),
        (BATCH, "A later stage does not open"),
    ),
    Guard(
        "relay: own failure domain first",
        "core/batch.py",
        'if piece.failure_domain in ("", domain):',
        "if True:",
        (BATCH, "pieces of its own failure domain first"),
    ),
    Guard(
        "relay: results released before the answer",
        "relay/streams.py",
        "self._staging.release_when_read(run)",
        "pass",
        (STAGING, "Results are released while"),
    ),
    Guard(
        "relay: results that an engine lacks",
        "relay/streams.py",
        "lost = answer.status in INPUTS_LOST and run.chain.steps",
        "lost = False",
        (STAGING, "An engine lacks a result"),
    ),
    Guard(
        "relay: opened stages first",
        "core/batch.py",
        "        if piece.opened or self._can_be_on_time(piece, now):",
        "        if self._can_be_on_time(piece, now):",
        (BATCH, "A late request that is opened"),
    ),
    Guard(
        "relay: removal during an outage",
        "core/catalog.py",
        "if self._away or now < self._back_at + SETTLE_S:",
        "if False:",
        ("relay_catalog", "lapse during an outage"),
    ),
    Guard(
        "relay: waits of later stages",
        "core/waits.py",
        "if path_s(chain, call_s, on_time, run_s) <= aim_in_s:",
        "if True:",
        (PARTS, "behind a long queue at a later stage"),
    ),
    Guard(
        "relay: domain that a partition cut off",
        "core/reach.py",
        "return unanswered > self._answered_at.get(failure_domain, -math.inf)",
        "return False",
        (PARTS, "When a failure domain counts as cut off -- @1.1"),
    ),
    Guard(
        "relay: headers that only the system sets",
        "platform/wire.py",
        "_DROPPED_REQUEST = _HOP_BY_HOP | _SYSTEM_SET |",
        "_DROPPED_REQUEST = _HOP_BY_HOP |",
        ("platform", "Headers that only the system"),
    ),
)
