"""At-most-once execution of keyed requests across entry instances."""

from collections.abc import Awaitable, Callable, Mapping, Sequence

import anyio
from anyio.abc import TaskStatus

from applespring.core import reason
from applespring.core.errors import MessageError, RefusalError
from applespring.core.fleet import Fleet
from applespring.core.key import Key, issue_key, parse_key
from applespring.core.key_table import KeyTable, Outcome
from applespring.core.owner import Echo, Ownership
from applespring.core.request import Answer, Request
from applespring.core.verdict import Verdict
from applespring.entry.mesh import key_messages
from applespring.entry.mesh.handover import HandoverReceiver, send_handover
from applespring.entry.mesh.key_run import (
    Execute,
    Guard,
    KeyRunner,
    make_refusal,
    request_fingerprint,
)
from applespring.entry.mesh.peers import KeyGroupView, PeerService
from applespring.peer.codec import MESSAGE_BYTES_MAX
from applespring.peer.message import (
    Ack,
    Forward,
    Heartbeat,
    HeartbeatEcho,
    KeyHandover,
    KeyQuery,
    KeyReply,
    Message,
)
from applespring.peer.transport import PeerLostError, PeerUnreachableError

ISSUED_KEYS_MAX = 100
QUERY_TIMEOUT_S = 2.0
# The remaining 64 KB of a message are for the costs and the encoding.
OUTPUT_BYTES_MAX = MESSAGE_BYTES_MAX - 64 * 1024
REMAINING_MAX_S = 3600.0
OWNER_EXPIRY_S = 10.0
OWNER_POLL_S = 0.5
DRAIN_POLL_S = 0.1

ExecuteForwarded = Callable[[Request, Guard], Awaitable[Answer]]


class KeyStatus:
    """State of a key at its owner.

    Attributes:
        state: `unknown` (not in the key table), `in_flight` or `finished`.
        verdict: Whether the request may have run.
        reason: Code of the recorded refusal, or "" if there is none.
        owner: Name of the instance that answered.
    """

    __slots__ = ("state", "verdict", "reason", "owner")

    def __init__(
        self, state: str, verdict: Verdict, reason: str, owner: str
    ) -> None:
        self.state = state
        self.verdict = verdict
        self.reason = reason
        self.owner = owner


class KeyService:
    """Runs each keyed request at most once, locally or at the key's owner."""

    def __init__(
        self,
        peers: PeerService,
        ownership: Ownership,
        table: KeyTable,
        *,
        clock: Callable[[], float],
        unix_clock: Callable[[], float],
        random_bytes: Callable[[int], bytes],
        execute_forwarded: ExecuteForwarded,
    ) -> None:
        """Creates the service and registers its message handlers.

        Args:
            peers: Exchanges messages; run by the composition root, not here.
            ownership: Ownership of caller-chosen keys of this incarnation.
            table: The key table of this incarnation.
            clock: Returns monotonic seconds, also counted while the process
                is paused.
            unix_clock: Returns Unix seconds, which are compared with the issue
                times of keys from accounts with a trusted clock.
            random_bytes: Source of the random part of issued keys.
            execute_forwarded: Runs the pipeline of a request that a peer
                forwarded.
        """
        self._peers = peers
        self._ownership = ownership
        self._table = table
        self._clock = clock
        self._started_at = clock()
        self._random_bytes = random_bytes
        self._execute_forwarded = execute_forwarded
        self._runner = KeyRunner(ownership, table, clock, unix_clock)
        self._handover_receiver = HandoverReceiver(ownership, table, clock)
        peers.key_group_view = self._key_group_view
        peers.before_heartbeat = self._before_heartbeat
        peers.register(Heartbeat, self._on_heartbeat)
        peers.register(HeartbeatEcho, self._on_echo)
        peers.register(Forward, self._on_forward)
        peers.register(KeyQuery, self._on_query)
        peers.register(KeyHandover, self._handover_receiver.receive)

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs the tasks of all local executions until cancelled."""
        await self._runner.run(task_status=task_status)

    def configure(self, fleet: Fleet) -> None:
        """Applies the failure domains, client accounts and key memory."""
        homes = {a.name: a.home for a in fleet.accounts.values() if a.home}
        self._table.memory_s = fleet.key_memory_s
        self._ownership.memory_s = fleet.key_memory_s
        self._runner.trusted_accounts = frozenset(
            a.name for a in fleet.accounts.values() if a.trusted_clock
        )
        self._ownership.configure(fleet.failure_domains, homes, self._clock())

    def update_instances(self, names: Mapping[str, Sequence[str]]) -> None:
        """Applies the live entry instances; ownership of keys follows them.

        Args:
            names: Instance names by failure domain.
        """
        self._ownership.update_instances(names, self._clock())

    def issue_keys(self, count: int) -> list[str]:
        """Returns new keys that name this incarnation as their owner.

        Raises:
            RefusalError: INVALID_REQUEST, the count is not within 1 and
                `ISSUED_KEYS_MAX`.
        """
        if not 1 <= count <= ISSUED_KEYS_MAX:
            raise RefusalError(
                reason.INVALID_REQUEST,
                Verdict.NOT_RUN,
                f"count is {count}; allowed are 1 to {ISSUED_KEYS_MAX}.",
            )
        name, incarnation = self._peers.name, self._peers.incarnation
        return [
            issue_key(name, incarnation, self._clock(), self._random_bytes)
            for _ in range(count)
        ]

    async def run_keyed(self, request: Request, execute: Execute) -> Answer:
        """Runs a request locally or at its owner, or returns its outcome.

        Args:
            request: A request with a key.
            execute: Runs the pipeline locally. It must call the guard directly
                before it writes a call of a non-idempotent stage.

        Raises:
            RefusalError: Its verdicts are those of the key and of this
                submission.
        """
        key = _parse_key(request.key)
        owner = self._find_owner(key, request.account)
        entry = self._table.match(
            key.text, request_fingerprint(request), self._clock()
        )
        if owner == self._peers.name or (entry and not entry.repeatable):
            return await self._runner.run_local(key, request, execute)
        return await self._forward(key, owner, request)

    async def query(self, text: str, account: str = "") -> KeyStatus:
        """Returns the state of a key at its owner.

        Args:
            text: The key.
            account: Name of the client account, on which the owner of a
                caller-chosen key depends.

        Raises:
            RefusalError: The key is malformed or its owner does not answer.
        """
        key = _parse_key(text)
        owner = self._find_owner(key, account)
        if owner == self._peers.name:
            return self._find_status(key, account)
        message = KeyQuery(key=text, account=account)
        try:
            reply = await self._peers.request(owner, message, QUERY_TIMEOUT_S)
            if not isinstance(reply, KeyReply):
                raise MessageError(
                    f"{owner} answered a key query with {type(reply).__name__}"
                )
            verdict = Verdict.from_label(reply.verdict)
        except PeerUnreachableError as exc:
            raise self._refuse_unreachable(key, owner, str(exc)) from exc
        except (PeerLostError, MessageError, ValueError) as exc:
            raise make_refusal(reason.KEY_OWNER_UNREACHABLE, str(exc)) from exc
        return KeyStatus(reply.state, verdict, reply.reason, reply.owner)

    async def drain(self, limit_s: float) -> bool:
        """Waits for caller-chosen keys in flight, then hands over the table.

        New caller-chosen keys are refused from now on. The instance should
        announce that it leaves only after this call, so that its lease lasts
        until the table is handed over.

        Args:
            limit_s: Maximum seconds to wait. Keys still in flight after that
                get no further calls, and the successors record that they may
                have run.

        Returns:
            Whether every successor accepted the table.
        """
        self._runner.draining = True
        with anyio.move_on_after(limit_s):
            while self._runner.has_claimed_runs():
                await anyio.sleep(DRAIN_POLL_S)
        now = self._clock()
        owned_for_s = self._ownership.retire(now)
        entries = [
            entry
            for entry in self._table.export_entries(now)
            if not parse_key(entry.key).names_owner
        ]
        return await send_handover(
            self._peers,
            self._ownership.find_successors(),
            entries,
            view_changes=self._ownership.view_changes,
            owned_for_s=owned_for_s,
        )

    def _find_owner(self, key: Key, account: str) -> str:
        """Returns the name of the instance that owns a key.

        Raises:
            RefusalError: KEY_OWNER_GONE, an earlier process of this instance
                issued the key; or KEY_OWNER_UNREACHABLE, no instance is listed
                in the key's failure domain.
        """
        if key.names_owner:
            is_local = key.instance == self._peers.name
            if is_local and key.incarnation != self._peers.incarnation:
                raise make_refusal(reason.KEY_OWNER_GONE)
            return key.instance
        domain, owner = self._ownership.locate(key.text, account)
        if not owner:
            detail = f"No instance is listed in {domain or 'any domain'}."
            raise make_refusal(reason.KEY_OWNER_UNREACHABLE, detail)
        return owner

    def _find_status(self, key: Key, account: str) -> KeyStatus:
        name = self._peers.name
        now = self._clock()
        entry = self._table.find(key.text, now)
        if entry is not None and entry.outcome is None:
            return KeyStatus("in_flight", Verdict.MAY_HAVE_RUN, "", name)
        if entry is not None and not entry.repeatable:
            refused = isinstance(entry.outcome, RefusalError)
            code = entry.outcome.reason.code if refused else ""
            return KeyStatus("finished", entry.verdict, code, name)
        verdict = Verdict.NOT_RUN
        code = ""
        try:
            if not key.names_owner:
                self._runner.claim(key, account, now)
        except RefusalError as exc:
            verdict, code = exc.verdict, exc.reason.code
        if entry is None and self._table.has_expired_keys:
            verdict = Verdict.MAY_HAVE_RUN
        return KeyStatus("unknown", verdict, code, name)

    async def _forward(self, key: Key, owner: str, request: Request) -> Answer:
        remaining_s = request.deadline_at - self._clock()
        if remaining_s <= 0:
            raise make_refusal(reason.DEADLINE_EXCEEDED)
        message = key_messages.to_forward(owner, request, remaining_s)
        try:
            reply = await self._request_owner(owner, message, remaining_s)
            if isinstance(reply, Ack):
                raise PeerUnreachableError(f"{owner}: {reply.detail}")
            outcome = _parse_reply(reply)
        except PeerUnreachableError as exc:
            raise make_refusal(
                self._find_no_reply_reason(key, owner), str(exc)
            ) from exc
        except (PeerLostError, MessageError) as exc:
            raise make_refusal(
                self._find_no_reply_reason(key, owner),
                f"There is no reply of the owner {owner}: {exc}",
                submission=Verdict.MAY_HAVE_RUN,
            ) from exc
        if isinstance(outcome, RefusalError):
            raise outcome
        return outcome

    async def _request_owner(
        self, owner: str, message: Message, remaining_s: float
    ) -> Message:
        """Returns the owner's reply; gives up if the owner has stopped.

        Raises:
            PeerUnreachableError: Nothing was sent.
            PeerLostError: The owner may have received the request.
            MessageError: The reply cannot be decoded.
        """
        reply: Message | None = None
        failure: Exception = PeerLostError(
            f"{owner} left the instance list and has sent no heartbeat"
            f" for {OWNER_EXPIRY_S:g} s"
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                self._cancel_when_stopped, owner, tasks.cancel_scope
            )
            try:
                reply = await self._peers.request(owner, message, remaining_s)
            except (PeerUnreachableError, PeerLostError, MessageError) as exc:
                failure = exc
            tasks.cancel_scope.cancel()
        if reply is None:
            raise failure
        return reply

    async def _cancel_when_stopped(
        self, owner: str, scope: anyio.CancelScope
    ) -> None:
        while not self._has_stopped(owner):
            await anyio.sleep(OWNER_POLL_S)
        scope.cancel()

    def _has_stopped(self, owner: str) -> bool:
        """Whether an instance counts as stopped.

        That is one that is not listed and has sent no heartbeat for
        `OWNER_EXPIRY_S`.
        """
        if self._peers.is_listed(owner):
            return False
        received = self._peers.received_heartbeats.get(owner)
        # Before the first heartbeat the time counts from the local start: a
        # local restart doesn't mean that the owner has stopped.
        last_received_at = (
            received.received_at if received else self._started_at
        )
        return self._clock() - last_received_at > OWNER_EXPIRY_S

    def _find_no_reply_reason(self, key: Key, owner: str) -> reason.Reason:
        """Returns the reason for refusing a submission that got no reply.

        A caller-chosen key gets a new owner when its owner stops, so only an
        issued key is refused for good.
        """
        if key.names_owner and self._has_stopped(owner):
            return reason.KEY_OWNER_GONE
        return reason.KEY_OWNER_UNREACHABLE

    async def _on_forward(self, message: Forward) -> Message:
        try:
            reply = key_messages.to_reply(await self._serve_forward(message))
            if len(reply.output) > OUTPUT_BYTES_MAX:
                raise make_refusal(
                    reason.KEY_ANSWER_DROPPED,
                    f"The request ran. Its answer of {len(reply.output)} bytes"
                    f" exceeds the {OUTPUT_BYTES_MAX} bytes that the owner of"
                    " the key can return.",
                    verdict=Verdict.RAN,
                    submission=Verdict.RAN,
                )
            return reply
        except RefusalError as exc:
            return key_messages.to_reply(exc)
        except MessageError as exc:
            return Ack(accepted=False, detail=str(exc))

    async def _serve_forward(self, message: Forward) -> Answer:
        if message.target != self._peers.name:
            raise make_refusal(
                reason.KEY_OWNER_UNREACHABLE,
                f"The request was forwarded to {message.target}, but"
                f" {self._peers.name} received it.",
            )
        if not 0 < message.remaining_s <= REMAINING_MAX_S:
            raise MessageError(
                f"remaining_s is {message.remaining_s}; allowed: above 0, at"
                f" most {REMAINING_MAX_S:g}"
            )
        request = key_messages.from_forward(message, self._clock())
        key = _parse_key(request.key)
        if key.names_owner:
            self._check_incarnation(key)

        async def execute(guard: Guard) -> Answer:
            return await self._execute_forwarded(request, guard)

        return await self._runner.run_local(key, request, execute)

    def _check_incarnation(self, key: Key) -> None:
        local = (self._peers.name, self._peers.incarnation)
        if (key.instance, key.incarnation) != local:
            raise make_refusal(reason.KEY_OWNER_GONE)

    async def _on_query(self, message: KeyQuery) -> Message:
        try:
            key = _parse_key(message.key)
            if key.names_owner:
                self._check_incarnation(key)
        except RefusalError as exc:
            status = KeyStatus(
                "unknown", exc.verdict, exc.reason.code, self._peers.name
            )
        else:
            status = self._find_status(key, message.account)
        return KeyReply(
            state=status.state,
            verdict=status.verdict.label,
            reason=status.reason,
            owner=status.owner,
        )

    def _key_group_view(self) -> KeyGroupView:
        return KeyGroupView(self._ownership.digest, self._ownership.group)

    def _before_heartbeat(self, sequence: int) -> None:
        self._ownership.record_heartbeat(sequence, self._clock())

    async def _on_heartbeat(self, message: Heartbeat) -> Message | None:
        echo = self._ownership.echo_heartbeat(
            message.name, message.view_digest, message.sequence, self._clock()
        )
        if echo is None:
            return None
        return HeartbeatEcho(
            name=self._peers.name,
            incarnation=echo.incarnation,
            view_digest=echo.digest,
            moves=echo.view_changes,
            sequence=echo.sequence,
        )

    async def _on_echo(self, message: HeartbeatEcho) -> None:
        echo = Echo(
            message.incarnation,
            message.view_digest,
            message.moves,
            message.sequence,
        )
        self._ownership.accept_echo(message.name, echo, self._clock())


def _parse_key(text: str) -> Key:
    try:
        return parse_key(text)
    except ValueError as exc:
        raise RefusalError(
            reason.INVALID_REQUEST, Verdict.NOT_RUN, f"Idempotency-Key: {exc}."
        ) from exc


def _parse_reply(reply: Message) -> Outcome:
    try:
        return key_messages.from_reply(reply)
    except AttributeError as exc:
        raise MessageError(
            f"{type(reply).__name__} is not a reply to a forwarded request"
        ) from exc
