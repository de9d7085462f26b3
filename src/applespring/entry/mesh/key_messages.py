"""Conversion between keyed requests or outcomes and peer messages."""

import orjson

from applespring.core import reason
from applespring.core.errors import MessageError, RefusalError
from applespring.core.key_table import KeyEntry, Outcome
from applespring.core.request import Answer, Request, StageCost
from applespring.core.verdict import Verdict
from applespring.peer.message import Cost, Forward, ForwardReply, HandedKey


def to_forward(target: str, request: Request, remaining_s: float) -> Forward:
    """Returns the message that forwards a request to its key's owner.

    It carries the remaining time, since the clocks of two instances differ.
    """
    return Forward(
        target=target,
        request_id=request.request_id,
        pipeline=request.pipeline,
        account=request.account,
        key=request.key,
        label=request.label,
        payload=orjson.dumps(request.payload),
        remaining_s=remaining_s,
    )


def from_forward(message: Forward, now: float) -> Request:
    """Returns the forwarded request, with its deadline on the local clock.

    Raises:
        MessageError: The payload is not JSON.
    """
    try:
        payload = orjson.loads(message.payload)
    except orjson.JSONDecodeError as exc:
        raise MessageError(
            f"the payload of request {message.request_id} is not JSON: {exc}"
        ) from exc
    return Request(
        message.request_id,
        message.pipeline,
        message.account,
        payload,
        arrived_at=now,
        deadline_at=now + message.remaining_s,
        key=message.key,
        label=message.label,
    )


def to_reply(outcome: Outcome) -> ForwardReply:
    """Returns the reply for an answer or a refusal.

    A negative `retry_after_s` stands for none, an empty `reason` for an answer.
    """
    if isinstance(outcome, Answer):
        return ForwardReply(
            request_id=outcome.request_id,
            pipeline=outcome.pipeline,
            output=orjson.dumps(outcome.output),
            costs=[
                Cost(stage=c.stage, pool=c.pool, cost=c.cost, attempt=c.attempt)
                for c in outcome.costs
            ],
            verdict=outcome.verdict.label,
            submission_verdict=outcome.verdict.label,
        )
    retry_after_s = outcome.retry_after_s
    return ForwardReply(
        reason=outcome.reason.code,
        verdict=outcome.verdict.label,
        submission_verdict=outcome.submission_verdict.label,
        stage=outcome.stage,
        retry_after_s=-1.0 if retry_after_s is None else retry_after_s,
        detail=outcome.detail,
    )


def from_reply(message: ForwardReply) -> Outcome:
    """Returns the answer or refusal that a reply carries.

    Raises:
        MessageError: A reason or verdict is unknown, or the output is not JSON.
    """
    try:
        if not message.reason:
            costs = [
                StageCost(c.stage, c.pool, c.cost, c.attempt)
                for c in message.costs
            ]
            output = orjson.loads(message.output)
            return Answer(message.request_id, message.pipeline, output, costs)
        after_s = message.retry_after_s
        return RefusalError(
            reason.find_reason(message.reason),
            Verdict.from_label(message.verdict),
            message.detail,
            stage=message.stage,
            retry_after_s=None if after_s < 0 else after_s,
            submission_verdict=Verdict.from_label(message.submission_verdict),
        )
    except (KeyError, ValueError) as exc:
        raise MessageError(f"an outcome cannot be decoded: {exc!r}") from exc


def to_handed(entry: KeyEntry) -> HandedKey:
    """Returns the message part for one key table entry.

    An entry in flight has no outcome yet and carries an empty reply.
    """
    in_flight = entry.outcome is None
    empty = ForwardReply(verdict="", submission_verdict="")
    return HandedKey(
        key=entry.key,
        fingerprint=entry.fingerprint,
        in_flight=in_flight,
        outcome=empty if in_flight else to_reply(entry.outcome),
    )


def from_handed(message: HandedKey) -> KeyEntry:
    """Returns the key table entry that a message part carries.

    Raises:
        MessageError: The outcome cannot be decoded.
    """
    entry = KeyEntry(message.key, bytes(message.fingerprint))
    if not message.in_flight:
        entry.outcome = from_reply(message.outcome)
    return entry
