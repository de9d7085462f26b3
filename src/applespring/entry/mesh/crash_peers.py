"""Exchange of upstream crashes between entry instances."""

import random
from collections.abc import Awaitable, Callable, Sequence

from applespring.core import gossip
from applespring.entry.mesh.peers import PeerService
from applespring.peer import message
from applespring.quarantine.crash_messages import split_crashes

# A peer replies within milliseconds.
TRIAL_TIMEOUT_S = 0.4

GrantTrial = Callable[[message.Trial], Awaitable[message.Message]]


class CrashPeers:
    """The other entry instances, as `CrashWatch` needs them.

    Attributes:
        name: Name of this instance.
        grant_trial: Answers requests for trials.
    """

    __slots__ = ("name", "grant_trial", "_peers", "_rng")

    def __init__(self, peers: PeerService, rng: random.Random) -> None:
        self.name = peers.name
        self.grant_trial: GrantTrial | None = None
        self._peers = peers
        self._rng = rng

    def reachable_names(self) -> list[str]:
        """Returns the names of the listed instances.

        In a large fleet an instance gets heartbeats of a few others only.
        """
        return self._peers.listed_names()

    async def request_trial(
        self, decider: str, trial: message.Trial
    ) -> message.Message:
        """Asks an instance, which may be this one, for a trial.

        Raises:
            PeerUnreachableError: Nothing was sent.
            PeerLostError: There is no reply.
            MessageError: The reply cannot be decoded.
        """
        if decider == self.name and self.grant_trial is not None:
            return await self.grant_trial(trial)
        return await self._peers.request(decider, trial, TRIAL_TIMEOUT_S)

    async def send_crashes(
        self,
        crashes: Sequence[message.UpstreamCrash],
        histories: Sequence[message.CandidateHistory],
        *,
        to_all: bool,
    ) -> None:
        """Sends crashes to all instances, or to a few random ones."""
        names = self._peers.listed_names()
        if not to_all:
            names = self._rng.sample(names, min(gossip.FANOUT, len(names)))
        for data in split_crashes(message.CrashReport, crashes, histories):
            for name in names:
                await self._peers.send_data(name, data)
