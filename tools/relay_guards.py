"""The guards of the relay, for `tools/run_guards.py`."""

from guard import Guard

FORWARD = "relay_forward"
STAGING = "relay_staging"
BATCH = "relay_batch"
DECISIONS = "relay_decisions"

RELAY_GUARDS = (
    Guard(
        "relay: retry of a request that may have run",
        "relay/plain.py",
        "route.idempotent and attempts_run + 1 <",
        "True or attempts_run + 1 <",
        (FORWARD, "Which requests are retried"),
    ),
    Guard(
        "relay: request id of an answer",
        "relay/client.py",
        "if request_id and reply.request_id != request_id:",
        "if False:",
        (FORWARD, "Which requests are retried"),
    ),
    Guard(
        "relay: signature of a success",
        "relay/plain.py",
        "if answer.status < 300 and not answer.reply.signed:",
        "if False:",
        (FORWARD, "Which requests are retried"),
    ),
    Guard(
        "relay: complete events only",
        "relay/streams.py",
        "splitter.drop_partial()",
        "pass",
        (FORWARD, "A stream that is cut off is resumed"),
    ),
    Guard(
        "relay: time-out of a stream without new events",
        "relay/streams.py",
        "timeout_s = min(timeout_s, EVENT_TIMEOUT_S)",
        "pass",
        (FORWARD, "A stream without new events"),
    ),
    Guard(
        "relay: cancel when the caller disconnects",
        "relay/application.py",
        "disconnected = True\n"
        "                            tasks.cancel_scope.cancel()",
        "disconnected = True",
        (FORWARD, "The attempt for a caller that"),
    ),
    Guard(
        "relay: maximum age of the document",
        "relay/application.py",
        "if age_s > DOCUMENT_AGE_MAX_S:",
        "if False:",
        (FORWARD, "An unknown key is not rejected"),
    ),
    Guard(
        "relay: pieces resubmitted after the loss of a scheduler",
        "relay/stage_submitter.py",
        "lost.setdefault(submission.stage, set()).update(\n"
        "                    submission.missing\n"
        "                )",
        "pass",
        (STAGING, "The scheduler of a pool is lost -- @1.1"),
    ),
    Guard(
        "relay: stages end before the caller leaves",
        "relay/stage_submitter.py",
        "with anyio.move_on_after(max(0.0, limit_s)):",
        "if True:",
        (STAGING, "Stage upstreams fall silent for ever -- @1.1"),
        (STAGING, "Stage upstreams fall silent for ever -- @1.2"),
    ),
    Guard(
        "relay: queued pieces returned",
        "relay/stage_scheduler.py",
        "await self._send_failures(pieces, MOVED)",
        "pass",
        (STAGING, "A scheduler that shuts down returns"),
    ),
    Guard(
        "relay: calls go on while a submitter is silent",
        "relay/stage_scheduler.py",
        "self._tasks.start_soon(\n"
        "                    self._send_failures, overdue, PieceReply.LATE\n"
        "                )",
        "await self._send_failures(overdue, PieceReply.LATE)",
        (STAGING, "A submitter is silent when its pieces"),
    ),
    Guard(
        "relay: withdrawal of pieces",
        "relay/stage_scheduler.py",
        "queue.withdraw(msg.request)",
        "pass",
        (STAGING, "The caller disconnects before"),
    ),
    Guard(
        "relay: admission by deadline",
        "relay/stage_scheduler.py",
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
        "relay/peer_sync.py",
        "self._watcher.apply_document(reply.document, peer.name)",
        "pass",
        (STAGING, "cut off from the registry"),
    ),
    Guard(
        "relay: result memory of a complete stage",
        "core/batch.py",
        "if needed > max(0.0, unreserved) and not self._is_unused(now):",
        "if False:",
        (BATCH, "A stage is opened only when"),
        (BATCH, "A later stage opens no more"),
    ),
    Guard(
        "relay: pieces of the local failure domain first",
        "core/batch.py",
        'if piece.failure_domain in ("", domain):',
        "if True:",
        (BATCH, "pieces of its own failure domain first"),
    ),
    Guard(
        "relay: results released before the answer",
        "relay/streams.py",
        "self._submitter.release_after_fetch(run)",
        "nullcontext()",
        (STAGING, "Results are released while"),
    ),
    Guard(
        "relay: results of a resumable stream released at its first event",
        "relay/streams.py",
        "                    self._submitter.release_remaining(run)\n"
        "                    await self._forward_events(",
        "                    await self._forward_events(",
        (STAGING, "The results of a resumable stream"),
    ),
    Guard(
        "relay: results made again before a stream is resumed",
        "relay/streams.py",
        "if run.chain.final_released:",
        "if False:",
        (STAGING, "A stream is resumed after its inputs"),
    ),
    Guard(
        "relay: pieces with little time go to any failure domain",
        "core/batch.py",
        "self.full_call_s, max(0.0, DOMAIN_WAIT_SLACK_SHARE * spare_s)",
        "self.full_call_s, self.full_call_s",
        (BATCH, "A piece with little time to spare"),
    ),
    Guard(
        "relay: stages wait for the other instances after a start",
        "relay/stage_submitter.py",
        "await self._peers.wait_joined()",
        "pass",
        (STAGING, "Instances that start at once"),
    ),
    Guard(
        "relay: memory reports after a takeover",
        "relay/stage_scheduler.py",
        "if spec.batch.result_memory_bytes > 2 * resolution:",
        "if False:",
        (STAGING, "A new scheduler waits for memory"),
    ),
    Guard(
        "relay: pause of an upstream that accepts no connection",
        "core/stage_upstream.py",
        "if refused and not unreachable:",
        "if refused:",
        (BATCH, "An upstream that accepts no connection"),
    ),
    Guard(
        "relay: measured throughput of a pool with a backlog",
        "core/batch.py",
        "if backlog_s < BACKLOG_MIN_S:",
        "if True:",
        (BATCH, "The wait follows what the pool achieves"),
    ),
    Guard(
        "relay: connection on which other replies arrive",
        "peer/link.py",
        "and connection.received_at < sent_at",
        "and True",
        ("keys_link", "A slow reply does not fail"),
    ),
    Guard(
        "relay: stage results that an engine lacks",
        "relay/streams.py",
        "answer.status in INPUTS_LOST_STATUSES and run.chain.steps",
        "False",
        (STAGING, "An engine lacks a result"),
    ),
    Guard(
        "relay: opened stages first",
        "core/batch.py",
        "        if piece.opened or done_at <= piece.target_at:",
        "        if done_at <= piece.target_at:",
        (BATCH, "A late request that is opened"),
    ),
    Guard(
        "relay: no removal during a registry outage",
        "core/catalog.py",
        "if self._unreachable or now < self._regained_at + SETTLE_S:",
        "if False:",
        ("relay_catalog", "lapse during an outage"),
    ),
    Guard(
        "relay: queue waits of later stages",
        "core/queue_waits.py",
        "if critical_path_s(chain, call_s, on_time, run_s) <= target_in_s:",
        "if True:",
        (DECISIONS, "because of a long queue at a later stage"),
    ),
    Guard(
        "relay: detection of a domain that is cut off",
        "core/reachability.py",
        "return unanswered > self._answered_at.get(failure_domain, -math.inf)",
        "return False",
        (DECISIONS, "When a failure domain counts as cut off -- @1.1"),
    ),
    Guard(
        "relay: headers that only the system sets",
        "platform/wire.py",
        "_HOP_BY_HOP_HEADERS | _SYSTEM_HEADERS |",
        "_HOP_BY_HOP_HEADERS |",
        ("platform", "Headers that only the system"),
    ),
    Guard(
        "relay: upstreams from peers during a registry outage",
        "relay/peer_sync.py",
        "if self._watcher.registry_unreachable:",
        "if False:",
        (STAGING, "gets the upstreams from its peers"),
    ),
    Guard(
        "relay: renewal of a watch on a dead connection",
        "relay/watch.py",
        "self._watch_scope.cancel()",
        "pass",
        (STAGING, "is renewed when peers are ahead"),
    ),
    Guard(
        "relay: minimum Retry-After after an overload",
        "core/queue_waits.py",
        "excess, RETRY_AFTER_SHARE * leaves_in_s)",
        "excess)",
        (DECISIONS, "lasts until the overload may end -- @1.1"),
    ),
    Guard(
        "relay: no prefix from an engine that fails",
        "core/engine_selector.py",
        "return home if home in available else None",
        "return upstreams[0]",
        (
            DECISIONS,
            "one of a failed engine, is not fetched -- @1.2",
        ),
    ),
)
