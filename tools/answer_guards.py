"""The guards that tie answers to their requests, for `tools/run_guards.py`."""

from guard import Guard

ENTRY = "entry_second_answers"
STORE = "store_answers"
LINK = "keys_link"
STAGING = "relay_staging"

ANSWER_GUARDS = (
    Guard(
        "answers: those that name another sending",
        "entry/answer_match.py",
        "elif repeated is not None or connection in self._kept:",
        "elif connection in self._kept and repeated is None:",
        (ENTRY, "A load report is answered twice -- @1.1"),
        (
            ENTRY,
            "An order follows a load report that is answered twice -- @1.1",
        ),
        (ENTRY, "The platform answers a configuration watch twice -- @1.1"),
    ),
    Guard(
        "answers: those without a sending on a used connection",
        "entry/answer_match.py",
        "elif repeated is not None or connection in self._kept:",
        "elif repeated is not None:",
        (ENTRY, "A call follows one that is answered twice -- @1.3"),
        (ENTRY, "A refusal shows that its call has not run -- @1.4"),
    ),
    Guard(
        "answers: a connection without a sending is not used again",
        "entry/answer_match.py",
        "            resp.stream = _LastBody(resp.stream, connection)\n",
        "            pass\n",
        (ENTRY, "A call follows one that is answered twice -- @1.4"),
        (ENTRY, "A call follows one that is answered twice -- @1.6"),
        (ENTRY, "A load report is answered twice -- @1.2"),
        (
            ENTRY,
            "An order follows a load report that is answered twice -- @1.2",
        ),
        (ENTRY, "The platform answers a configuration watch twice -- @1.2"),
        (
            ENTRY,
            "Each client of an instance matches answers to requests -- @1.5",
        ),
    ),
    Guard(
        "answers: a foreign one may belong to a call that runs",
        "entry/execution/calls.py",
        "        except ForeignAnswerError as exc:\n"
        "            raise call.make_error(FailureKind.MISMATCH,",
        "        except ForeignAnswerError as exc:\n"
        "            raise call.make_error(FailureKind.REFUSED,",
        (ENTRY, "A call follows one that is answered twice -- @1.1"),
    ),
    Guard(
        "answers: the connection is closed before the next request gets it",
        "entry/answer_match.py",
        "                await self._connection.aclose()\n"
        "        finally:\n"
        "            await self._body.aclose()",
        "                await self._body.aclose()\n"
        "        finally:\n"
        "            await self._connection.aclose()",
        (ENTRY, "A request waits for the connection of another one -- @1.2"),
    ),
    Guard(
        "answers: each client of an instance matches them",
        "entry/http_clients.py",
        "transport = MatchingTransport(transport, "
        "os.urandom(PREFIX_BYTES).hex())",
        "pass",
        (
            ENTRY,
            "Each client of an instance matches answers to requests -- @1.5",
        ),
        (
            ENTRY,
            "Each client of an instance matches answers to requests -- @1.6",
        ),
        (
            ENTRY,
            "Each client of an instance matches answers to requests -- @1.7",
        ),
    ),
    Guard(
        "answers: calls that may run once use no connection again",
        "entry/http_clients.py",
        "max_connections=connections_max, max_keepalive_connections=0",
        "max_connections=connections_max, max_keepalive_connections=9",
        (
            ENTRY,
            "Each client of an instance matches answers to requests -- @1.4",
        ),
    ),
    Guard(
        "answers: events of a stream name their call",
        "core/integrity.py",
        "        call_id.check_event(event)\n",
        "",
        ("results", "A token with another"),
    ),
    Guard(
        "answers: the store's answer to a read is none to a watch",
        "platform/store.py",
        'if "items" in page:',
        "if False:",
        (STORE, "An answer that can't be the one to its call -- @1.1"),
    ),
    Guard(
        "answers: the store's answer to a watch is none to a read",
        "platform/store.py",
        'elif "events" in page:',
        "elif False:",
        (STORE, "An answer that can't be the one to its call -- @1.2"),
    ),
    Guard(
        "answers: changes of an earlier watch",
        "platform/store.py",
        "if any(type(r) is int and r <= after for r in revisions) or (",
        "if (",
        (STORE, "An answer that can't be the one to its call -- @1.3"),
    ),
    Guard(
        "answers: revision of an earlier watch",
        "platform/store.py",
        'type(page.get("at")) is int and 0 <= page["at"] < after',
        "False",
        (STORE, "An answer that can't be the one to its call -- @1.4"),
    ),
    Guard(
        "answers: the store's connection after an answer to another call",
        "platform/store.py",
        "                    await _close_connection(resp)\n",
        "",
        (STORE, "An answer that can't be the one to its call -- @1.1"),
    ),
    Guard(
        "answers: replies of peers carry the number of their request",
        "peer/link.py",
        "pending = connection.pending.get(request_number)",
        "pending = next(iter(connection.pending.values()), None)",
        (LINK, "A late or second reply"),
    ),
    Guard(
        "answers: numbers of requests to peers are not used again",
        "peer/link.py",
        "        self._last_request_number += 1\n",
        "",
        (LINK, "A late or second reply"),
    ),
    Guard(
        "answers: echoes name their heartbeat",
        "core/owner.py",
        "self._sent_heartbeats.get(echo.sequence, (0.0, 0))",
        "next(reversed(self._sent_heartbeats.values()), (0.0, 0))",
        ("keys_ownership", "A late echo extends the lease"),
    ),
    Guard(
        "answers: each submission to a scheduler has its own ticket",
        "relay/stage_submitter.py",
        "            msg.ticket = next(self._submission_numbers)\n",
        "            numbers = self._submission_numbers\n"
        "            msg.ticket = msg.ticket or next(numbers)\n",
        (STAGING, "A scheduler whose acknowledgement was lost sends results"),
    ),
    Guard(
        "answers: failures at a scheduler that has the pieces no more",
        "relay/stage_submitter.py",
        "elif not submission.withdrawn:",
        "else:",
        (STAGING, "A scheduler whose acknowledgement was lost sends results"),
    ),
    Guard(
        "answers: a peer's upstreams after the registry was read again",
        "relay/peer_sync.py",
        "                    and self._watcher.registry_unreachable\n"
        "                    and reply.revision > "
        "self._state.entries_revision\n",
        "",
        (STAGING, "arrive after the registry was read again"),
    ),
)
