"""Messages between entry instances, and between relay instances.

The slots of a class are the fields of the struct of the same name in
`peer.capnp`. `DEFAULTS` holds the value of each field that a sender may leave
out, and `NESTED` the class of each field that holds one or more structs.
"""

from collections.abc import Mapping
from typing import Any, ClassVar


class Message:
    """Base class of the messages and of the structs nested in them.

    Raises:
        TypeError: A field is unknown, or one without a default is missing.
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
                raise TypeError(
                    f"{type(self).__name__} lacks the required field {name}"
                )
            setattr(self, name, value)
        if fields:
            raise TypeError(f"{type(self).__name__} has no field {min(fields)}")

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
    """Load of one pool at the sender; `demand` in requests per second."""

    __slots__ = ("pool", "running", "waiting", "demand")


class AccountLoad(Message):
    """Demand of one of the busiest client accounts, in requests per second."""

    __slots__ = ("account", "demand")


class Leaving(Message):
    """Notice that one incarnation of an instance is leaving.

    `age_s` is the time since the notice last came from its source, such as the
    instance list or a response of the upstream. It does not include the
    transmission to the receiver.
    """

    __slots__ = ("name", "incarnation", "age_s")
    DEFAULTS = {"age_s": 0.0}


class UpstreamRate(Message):
    """Rate limit of one start of an upstream, for all instances together.

    `per_s` is in requests a second; `ended` says that there is none any more.
    `age_s` is the time since the newest answer that shows it.
    """

    __slots__ = ("upstream", "born_ms", "per_s", "ended", "age_s")
    DEFAULTS = {"per_s": 0.0, "ended": False}


class ColdUpstream(Message):
    """A start of an upstream that its registry entry says is cold.

    `cold_s` is how much longer, and `revision` that of the entry.
    """

    __slots__ = ("upstream", "born_ms", "pool", "cold_s", "revision")


class Heartbeat(Message):
    """State and load of the sender, sent as a datagram.

    `view_digest` is the digest of the sender's key group, and `leaving` lists
    the notices that the sender passes on. `limits` are the rate limits of
    upstreams that it knows.
    """

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
        "limits",
    )
    DEFAULTS = {"pools": (), "accounts": (), "leaving": (), "limits": ()}
    NESTED = {
        "pools": PoolLoad,
        "accounts": AccountLoad,
        "leaving": Leaving,
        "limits": UpstreamRate,
    }


class HeartbeatEcho(Message):
    """Answer of a key group member to one heartbeat.

    For a hold-down period after the echo (see `core.owner`), the member neither
    echoes nor dispatches keys under a view other than that of `view_digest`.
    `moves` is its count of view changes, and `sequence` that of the heartbeat.
    """

    __slots__ = ("name", "incarnation", "view_digest", "moves", "sequence")


class FetchConfig(Message):
    """Requests a configuration document of at least this revision."""

    __slots__ = ("revision",)


class ConfigDocument(Message):
    """A configuration document; `revision` is 0 if the sender has none.

    With a revision and an empty `document`, entry instances offer the document.
    """

    __slots__ = ("revision", "document")


class Forward(Message):
    """A request with an idempotency key, forwarded to the owner of the key.

    `target` is the name of the owner, and `payload` is JSON.
    """

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
    """Outcome of a forwarded request: an answer, or a refusal with a `reason`.

    `output` is JSON. `retry_after_s` is negative if the caller gets no time
    after which to retry.
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
    """Asks the owner of a key for the state of the key."""

    __slots__ = ("key", "account")


class KeyReply(Message):
    """State of a key: `unknown`, `in_flight` or `finished`.

    `reason` is the code of the refusal with which the request finished, or with
    which the owner would refuse the key now; "" if there is none.
    """

    __slots__ = ("state", "verdict", "reason", "owner")


class HandedKey(Message):
    """One entry of the key table that a retired instance hands over.

    `outcome` is empty while the request is `in_flight`.
    """

    __slots__ = ("key", "fingerprint", "in_flight", "outcome")
    NESTED = {"outcome": ForwardReply}


class KeyHandover(Message):
    """Part of the key table of an instance that has retired.

    `moves` is the sender's count of view changes. `owned_for_s` states for how
    long every execution of its keys has been recorded in the table. `part`
    counts the messages from 0.
    """

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
    """One entry of the instance list."""

    __slots__ = ("name", "role", "address", "failure_domain", "state")


class ListUpdate(Message):
    """An instance list; without `instances`, an offer of that revision."""

    __slots__ = ("revision", "instances")
    NESTED = {"instances": ListedInstance}


class Ack(Message):
    """Whether the receiver accepted a message; `detail` says why it did not."""

    __slots__ = ("accepted", "detail")
    DEFAULTS = {"accepted": True, "detail": ""}


class PeerRow(Message):
    """Last known state of one relay instance.

    `sequence` is the number of the instance's newest heartbeat, and
    `entries_revision` the revision up to which it has the upstreams' entries.
    `evacuations_revision` is that of the last change of the evacuated failure
    domains that it knows.
    """

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
        "evacuations_revision",
    )
    DEFAULTS = {"evacuations_revision": 0}


class UpstreamLoad(Message):
    """Requests and tokens that the sender has in flight at one upstream.

    `work_s` is the expected time that they keep the upstream occupied, and
    `slowness` the factor by which the sender has observed it to be slower than
    its pool, 0 if it has not done so lately.
    """

    __slots__ = ("upstream", "requests", "tokens", "work_s", "slowness")
    DEFAULTS = {"work_s": 0.0, "slowness": 0.0}


class PoolWait(Message):
    """Queue waits of a pool that the sender schedules.

    `on_time_s` is the wait of a piece that can be on time, `whole_s` that of a
    late piece, which waits for all that is queued, and `opens_in_s` the time
    until the first pause ends if all upstreams of the pool are paused.
    """

    __slots__ = ("pool", "on_time_s", "whole_s", "opens_in_s")
    DEFAULTS = {"opens_in_s": 0.0}


class CrashCandidate(Message):
    """A prompt part or request that a crashed upstream had not answered.

    `position` is its place in the prompt, `answered_before` says whether a
    request with it had been answered earlier, and `crashes_before` how many
    crashes were held against it when it was sent.
    """

    __slots__ = ("name", "position", "answered_before", "crashes_before")
    DEFAULTS = {"crashes_before": 0}


class UpstreamCrash(Message):
    """The end of the start of an upstream at `born_ms`, `age_s` ago."""

    __slots__ = ("upstream", "born_ms", "age_s", "candidates")
    DEFAULTS = {"candidates": ()}
    NESTED = {"candidates": CrashCandidate}


class CandidateHistory(Message):
    """When a candidate was last answered, and last sent as a trial.

    The ages are in seconds, and negative if that has not happened. `trials`
    counts the trials since the last answer.
    """

    __slots__ = ("name", "answered_age_s", "trial_age_s", "trials")


class PermitRequest(Message):
    """Asks for a permit for one request to an upstream with a rate limit.

    `upstream` and `born_ms` name its start, `limits` is what the sender knows
    of the limit, and `wait_s` how long the request can wait. If the upstream is
    cold for the sender, `cold_per_s` is the rate that holds then; `cold` says
    so if its registry entry does.
    """

    __slots__ = (
        "pool",
        "upstream",
        "born_ms",
        "wait_s",
        "limits",
        "cold_per_s",
        "cold",
    )
    DEFAULTS = {"limits": (), "cold_per_s": 0.0, "cold": ()}
    NESTED = {"limits": UpstreamRate, "cold": ColdUpstream}


class PermitReply(Message):
    """Whether a permit was granted.

    `wait_s` is the time until it begins, or until the next one may be granted.
    `valid_s` is for how long it may be used then, and `limits` what the sender
    knows of the limit, if anything.
    """

    __slots__ = ("granted", "wait_s", "limits", "valid_s")
    DEFAULTS = {"limits": (), "valid_s": 0.0}
    NESTED = {"limits": UpstreamRate}


class Gossip(Message):
    """State of a relay instance and its peers, sent as a datagram."""

    __slots__ = (
        "sender",
        "peers",
        "loads",
        "waits",
        "crashes",
        "histories",
        "limits",
        "cold",
    )
    DEFAULTS = {
        "peers": (),
        "loads": (),
        "waits": (),
        "crashes": (),
        "histories": (),
        "limits": (),
        "cold": (),
    }
    NESTED = {
        "limits": UpstreamRate,
        "cold": ColdUpstream,
        "waits": PoolWait,
        "sender": PeerRow,
        "peers": PeerRow,
        "loads": UpstreamLoad,
        "crashes": UpstreamCrash,
        "histories": CandidateHistory,
    }


class CrashReport(Message):
    """Crashes of upstreams that an entry instance knows of, as a datagram."""

    __slots__ = ("crashes", "histories")
    DEFAULTS = {"crashes": (), "histories": ()}
    NESTED = {"crashes": UpstreamCrash, "histories": CandidateHistory}


class Trial(Message):
    """Asks whether a request with a quarantined candidate may be sent now."""

    __slots__ = ("name",)


class FetchUpstreams(Message):
    """Requests the upstreams' entries that are newer than a revision."""

    __slots__ = ("revision",)


class UpstreamEntry(Message):
    """Last known registry entry of one upstream.

    `born_ms` is the start of the upstream in Unix milliseconds, 0 if unknown.
    """

    __slots__ = (
        "name",
        "born_ms",
        "pool",
        "address",
        "failure_domain",
        "slots",
        "state",
        "revision",
        "cold_s",
    )
    DEFAULTS = {"cold_s": 0.0}


class FetchEvacuations(Message):
    """Requests the evacuated failure domains if they changed after this."""

    __slots__ = ("revision",)


class EvacuatedDomain(Message):
    """A failure domain whose upstreams get nothing."""

    __slots__ = ("name",)


class EvacuationList(Message):
    """The failure domains that are evacuated as of a revision, all of them."""

    __slots__ = ("revision", "domains")
    DEFAULTS = {"domains": ()}
    NESTED = {"domains": EvacuatedDomain}


class UpstreamList(Message):
    """Upstreams' entries; `revision` is the newest one that the sender has."""

    __slots__ = ("revision", "upstreams")
    DEFAULTS = {"upstreams": ()}
    NESTED = {"upstreams": UpstreamEntry}


class FetchPeers(Message):
    """Requests the rows of the instances that a peer considers reachable."""

    __slots__ = ("sender",)
    NESTED = {"sender": PeerRow}


class PeerList(Message):
    """Rows of the sender and of the instances it considers reachable."""

    __slots__ = ("peers",)
    DEFAULTS = {"peers": ()}
    NESTED = {"peers": PeerRow}


class InputHandle(Message):
    """Handle of a stage result, which the upstream that made it stores."""

    __slots__ = ("handle",)


class PieceOrder(Message):
    """One piece of a submitted stage.

    `segment` is the number of the piece in its stage, and `key` names the input
    data of a first stage.
    """

    __slots__ = ("segment", "key")


class HomeRegion(Message):
    """A region in which a request may be executed."""

    __slots__ = ("name",)


class StageSubmit(Message):
    """Pieces of a stage of one request, for the scheduler of the pool.

    `deadline_s` is the time in which the stage must end to be of use before the
    caller disconnects, and `aim_s` the time in which it must end for an answer
    within the latency target; it is negative for a late request. `run_s` is the
    expected time from the end of the stage to the answer. `begun` says that
    another stage of the request has already started, in which case the
    scheduler does not refuse the pieces because of its load. `ticket`
    identifies the submission at `origin`. `is_trial` says that the request is
    a trial of what is quarantined. Only upstreams in `homes` may execute the
    pieces; a sender that knows of no homes, or a request without, names none.
    `account` is the client account of the request.
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
        "fingerprint",
        "is_trial",
        "homes",
        "account",
    )
    DEFAULTS = {
        "fingerprint": "",
        "is_trial": False,
        "homes": (),
        "account": "",
    }
    NESTED = {
        "inputs": InputHandle,
        "pieces": PieceOrder,
        "homes": HomeRegion,
    }


class StageAck(Message):
    """Whether the scheduler queued the pieces; if not, none of them has run.

    `retry_after_known` says that `retry_after_s` is no estimate.
    """

    __slots__ = ("accepted", "reason", "retry_after_s", "retry_after_known")
    DEFAULTS = {
        "accepted": True,
        "reason": "",
        "retry_after_s": 0.0,
        "retry_after_known": False,
    }


class PieceResult(Message):
    """Handle of a piece's result, or the `failure` due to which it has none."""

    __slots__ = ("segment", "handle", "failure", "failure_domain")
    DEFAULTS = {"handle": "", "failure": "", "failure_domain": ""}


class StageDone(Message):
    """Results of pieces, sent to the instance that submitted them."""

    __slots__ = ("ticket", "results")
    NESTED = {"results": PieceResult}


class StageCancel(Message):
    """Withdraws the queued pieces of a request.

    With a `ticket`, only those of that submission of the instance at
    `origin_address`.
    """

    __slots__ = ("request", "origin_address", "ticket")
    DEFAULTS = {"origin_address": "", "ticket": 0}


class StageRelease(Message):
    """Handles of results that no stage needs any more."""

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
    "trial": Trial,
    "crashReport": CrashReport,
    "permitRequest": PermitRequest,
    "permitReply": PermitReply,
    "fetchEvacuations": FetchEvacuations,
    "evacuationList": EvacuationList,
}
