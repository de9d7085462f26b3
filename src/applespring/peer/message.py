"""Messages between entry instances.

The slots of a class are the fields of the struct of the same name in
`peer.capnp`. `DEFAULTS` holds the value of each field that a sender may leave
out, and `NESTED` the class of each field that holds messages.
"""

from collections.abc import Mapping
from typing import Any, ClassVar


class Message:
    """Base of the messages and of their parts.

    Raises:
        TypeError: A field is unknown, or missing without a default.
    """

    __slots__ = ()
    DEFAULTS: ClassVar[Mapping[str, Any]] = {}
    NESTED: ClassVar[Mapping[str, type["Message"]]] = {}

    def __init__(self, **fields: Any) -> None:
        for name in self.__slots__:
            if name in fields:
                value = fields.pop(name)
            elif name in self.DEFAULTS:
                value = self.DEFAULTS[name]
            else:
                raise TypeError(f"{type(self).__name__} needs {name}")
            setattr(self, name, value)
        if fields:
            raise TypeError(f"{type(self).__name__} has no {min(fields)}")

    def __eq__(self, other: object) -> bool:
        if type(other) is not type(self):
            return NotImplemented
        return all(
            getattr(self, name) == getattr(other, name)
            for name in self.__slots__
        )

    __hash__ = None

    def __repr__(self) -> str:
        field_texts = (f"{n}={getattr(self, n)!r}" for n in self.__slots__)
        return f"{type(self).__name__}({', '.join(field_texts)})"


class PoolLoad(Message):
    """Load of one pool as seen by the sender; demand in slots."""

    __slots__ = ("pool", "running", "waiting", "demand")


class AccountLoad(Message):
    """Demand of one of the busiest client accounts, in slots."""

    __slots__ = ("account", "demand")


class Leaving(Message):
    """Notice that one incarnation of an instance is leaving.

    The age is in seconds since the notice was last heard at its origin.
    """

    __slots__ = ("name", "incarnation", "age_s")
    DEFAULTS = {"age_s": 0.0}


class Heartbeat(Message):
    """State and load of the sender, sent as a datagram."""

    __slots__ = (
        "name",
        "incarnation",
        "failure_domain",
        "state",
        "config_revision",
        "list_revision",
        "view_digest",
        "sequence",
        "pools",
        "accounts",
        "leaving",
    )
    DEFAULTS = {"pools": (), "accounts": (), "leaving": ()}
    NESTED = {"pools": PoolLoad, "accounts": AccountLoad, "leaving": Leaving}


class HeartbeatEcho(Message):
    """Promise of a key group member in answer to one heartbeat."""

    __slots__ = ("name", "incarnation", "view_digest", "moves", "sequence")


class FetchConfig(Message):
    """Asks for a configuration of at least this revision."""

    __slots__ = ("revision",)


class ConfigDocument(Message):
    """A configuration document; revision 0 when the sender has none."""

    __slots__ = ("revision", "document")


class Forward(Message):
    """A keyed request to the owner of its key; payload is JSON."""

    __slots__ = (
        "target",
        "request_id",
        "pipeline",
        "account",
        "key",
        "label",
        "payload",
        "remaining_s",
    )


class Cost(Message):
    """Cost units spent on one attempt of one stage."""

    __slots__ = ("stage", "pool", "cost", "attempt")


class ForwardReply(Message):
    """An answer (`reason` is empty) or a refusal.

    `output` is JSON. `retry_after_s` is negative when there is none.
    """

    __slots__ = (
        "request_id",
        "pipeline",
        "output",
        "costs",
        "reason",
        "verdict",
        "submission_verdict",
        "stage",
        "retry_after_s",
        "detail",
    )
    DEFAULTS = {
        "request_id": "",
        "pipeline": "",
        "output": b"null",
        "costs": (),
        "reason": "",
        "stage": "",
        "retry_after_s": -1.0,
        "detail": "",
    }
    NESTED = {"costs": Cost}


class KeyQuery(Message):
    """Asks the owner what it knows about a key."""

    __slots__ = ("key", "account")


class KeyReply(Message):
    """State `unknown`, `in_flight` or `finished`; reason of a refusal."""

    __slots__ = ("state", "verdict", "reason", "owner")


class HandedKey(Message):
    """One entry of a key table."""

    __slots__ = ("key", "fingerprint", "in_flight", "outcome")
    NESTED = {"outcome": ForwardReply}


class KeyHandover(Message):
    """Part of the key table of an instance that has retired."""

    __slots__ = (
        "name",
        "incarnation",
        "moves",
        "owned_for_s",
        "part",
        "last",
        "entries",
    )
    NESTED = {"entries": HandedKey}


class ListedInstance(Message):
    """One line of the instance list."""

    __slots__ = ("name", "role", "address", "failure_domain", "state")


class ListUpdate(Message):
    """An instance list with its revision."""

    __slots__ = ("revision", "instances")
    NESTED = {"instances": ListedInstance}


class Ack(Message):
    """Whether the receiver accepted a message, and if not, why."""

    __slots__ = ("accepted", "detail")
    DEFAULTS = {"accepted": True, "detail": ""}


class PeerRow(Message):
    """One instance as the sender of a gossip message knows it."""

    __slots__ = (
        "name",
        "incarnation",
        "address",
        "failure_domain",
        "state",
        "sequence",
        "document_version",
        "link_mbps",
        "entries_revision",
    )


class UpstreamLoad(Message):
    """Requests and tokens that the sender has at one upstream."""

    __slots__ = ("upstream", "requests", "tokens")


class PoolWait(Message):
    """Waiting time of a queue that the sender keeps, in seconds.

    `on_time_s` counts the pieces that can be on time, `whole_s` all of them.
    """

    __slots__ = ("pool", "on_time_s", "whole_s")


class Gossip(Message):
    """What a relay instance tells others, sent as a datagram."""

    __slots__ = ("sender", "peers", "loads", "waits")
    DEFAULTS = {"peers": (), "loads": (), "waits": ()}
    NESTED = {
        "waits": PoolWait,
        "sender": PeerRow,
        "peers": PeerRow,
        "loads": UpstreamLoad,
    }


class FetchUpstreams(Message):
    """Asks for entries of upstreams that are newer than a revision."""

    __slots__ = ("revision",)


class UpstreamEntry(Message):
    """Entry of one upstream as the sender last heard of it."""

    __slots__ = (
        "name",
        "born_ms",
        "pool",
        "address",
        "failure_domain",
        "slots",
        "state",
        "revision",
    )


class UpstreamList(Message):
    """Entries of upstreams; `revision` is the newest that the sender knows."""

    __slots__ = ("revision", "upstreams")
    DEFAULTS = {"upstreams": ()}
    NESTED = {"upstreams": UpstreamEntry}


class FetchPeers(Message):
    """Asks a peer for every instance that it hears."""

    __slots__ = ("sender",)
    NESTED = {"sender": PeerRow}


class PeerList(Message):
    """Instances that the sender hears, and itself."""

    __slots__ = ("peers",)
    DEFAULTS = {"peers": ()}
    NESTED = {"peers": PeerRow}


class InputHandle(Message):
    """Where a result of a stage is kept."""

    __slots__ = ("handle",)


class PieceOrder(Message):
    """One piece of a submitted stage."""

    __slots__ = ("segment", "key")


class StageSubmit(Message):
    """Pieces of a stage of one request, for the keeper of the pool's queue.

    `deadline_s` and `aim_s` are the time left until this stage must be done
    at all, and for an answer on time; `aim_s` is negative for a late request.
    `run_s` is how long the request takes after the stage.
    """

    __slots__ = (
        "origin",
        "origin_address",
        "ticket",
        "pool",
        "request",
        "stage",
        "deadline_s",
        "aim_s",
        "run_s",
        "priority",
        "failure_domain",
        "result_bytes",
        "begun",
        "inputs",
        "pieces",
    )
    NESTED = {"inputs": InputHandle, "pieces": PieceOrder}


class StageAck(Message):
    """Whether the keeper queued the pieces; nothing has run if not."""

    __slots__ = ("accepted", "reason", "retry_after_s")
    DEFAULTS = {"accepted": True, "reason": "", "retry_after_s": 0.0}


class PieceResult(Message):
    """Result of a piece, or why there is none."""

    __slots__ = ("segment", "handle", "failure", "failure_domain")
    DEFAULTS = {"handle": "", "failure": "", "failure_domain": ""}


class StageDone(Message):
    """Results of pieces, delivered to the instance that submitted them."""

    __slots__ = ("ticket", "results")
    NESTED = {"results": PieceResult}


class StageCancel(Message):
    """Withdraws the waiting pieces of a request."""

    __slots__ = ("request",)


class StageRelease(Message):
    """Results that nobody needs any more."""

    __slots__ = ("pool", "handles")
    NESTED = {"handles": InputHandle}


MESSAGES = {
    "heartbeat": Heartbeat,
    "heartbeatEcho": HeartbeatEcho,
    "fetchConfig": FetchConfig,
    "configDocument": ConfigDocument,
    "forward": Forward,
    "forwardReply": ForwardReply,
    "keyQuery": KeyQuery,
    "keyReply": KeyReply,
    "keyHandover": KeyHandover,
    "listUpdate": ListUpdate,
    "ack": Ack,
    "gossip": Gossip,
    "stageSubmit": StageSubmit,
    "stageAck": StageAck,
    "stageDone": StageDone,
    "stageCancel": StageCancel,
    "stageRelease": StageRelease,
    "fetchUpstreams": FetchUpstreams,
    "upstreamList": UpstreamList,
    "fetchPeers": FetchPeers,
    "peerList": PeerList,
}
