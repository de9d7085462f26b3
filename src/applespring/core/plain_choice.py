"""The choices of an upstream of a plain pool, by name.

A choice is made for each request, and hears when the request is sent and how
it ends.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import TypeVar

from applespring.core.catalog import ListedUpstream
from applespring.core.choice.cost import RequestFeatures
from applespring.core.choice.plain import LearnedChoice, SentRequest
from applespring.core.plain_selector import PlainSelector
from applespring.core.self_report import LoadReport


class PlainChoice(ABC):
    """Chooses upstreams of plain pools."""

    @abstractmethod
    def choose(
        self,
        upstreams: Sequence[ListedUpstream],
        failure_domain: str,
        tried: Iterable[str],
        now: float,
        features: RequestFeatures,
        instances: int,
    ) -> ListedUpstream | None:
        """Returns the upstream to try next, or None without any.

        Args:
            upstreams: Upstreams that accept new work.
            failure_domain: Failure domain of this instance.
            tried: Names of upstreams to avoid, unless all have been tried.
            now: Current time.
            features: What is known of the request.
            instances: Number of reachable instances, this one included.
        """

    @abstractmethod
    def mean_s(
        self,
        upstreams: Sequence[ListedUpstream],
        features: RequestFeatures,
        now: float,
    ) -> float:
        """Returns the expected time of a request at the fastest of these."""

    @abstractmethod
    def start(
        self, upstream: ListedUpstream, features: RequestFeatures, now: float
    ) -> SentRequest:
        """Records that a request is sent to an upstream."""

    @abstractmethod
    def end(self, sent: SentRequest, now: float, failed: bool) -> None:
        """Records that a request has ended.

        Args:
            sent: The request.
            now: Current time.
            failed: Whether it failed by a fault of the upstream, which is then
                paused.
        """

    @abstractmethod
    def cancel(self, sent: SentRequest) -> None:
        """Removes a request that its upstream did not take."""

    @abstractmethod
    def remove(self, name: str) -> None:
        """Discards the state of a removed upstream unless it has requests."""

    @abstractmethod
    def restart(self, name: str) -> None:
        """Discards what was learned of an upstream before it was restarted."""

    def local_work(self, now: float) -> Mapping[str, tuple[int, float]]:
        """Returns requests and work in seconds by upstream, to tell peers."""
        del now
        return {}

    def record_peer_work(
        self, sender: str, work_s: Mapping[str, float], now: float
    ) -> None:
        """Records the work in seconds that another instance has told."""
        del sender, work_s, now

    def peaks(self, now: float) -> dict[str, float]:
        """Returns the largest recent share of an upstream by pool, 1 if even.

        Empty if it is not known.
        """
        del now
        return {}

    def record_load(
        self, upstream: ListedUpstream, load: LoadReport, now: float
    ) -> None:
        """Records what an upstream says of its load."""
        del upstream, load, now


# Counts a choice, by pool and reason.
Count = Callable[[str, str], None]

_CHOICES: dict[str, Callable[[str, Count], PlainChoice]] = {}


_Choice = TypeVar("_Choice", bound=Callable[[str, Count], PlainChoice])


def plain_choice(name: str) -> Callable[[_Choice], _Choice]:
    """Registers the decorated class under the name of a setting."""

    def register(choice: _Choice) -> _Choice:
        _CHOICES[name] = choice
        return choice

    return register


def make_plain_choice(name: str, instance: str, count: Count) -> PlainChoice:
    """Returns a new choice.

    Args:
        name: Name of the choice in the settings.
        instance: Name of this instance.
        count: Counts a choice.

    Raises:
        ValueError: No choice has this name.
    """
    found = _CHOICES.get(name)
    if found is None:
        known = ", ".join(sorted(_CHOICES))
        raise ValueError(f"unknown choice {name!r}, known: {known}")
    return found(instance, count)


@plain_choice("fixed")
class FixedPlainChoice(PlainChoice):
    """By mean call times and requests of this instance, see `PlainSelector`."""

    def __init__(self, instance: str, count: Count) -> None:
        del instance, count
        self._selector = PlainSelector()

    def choose(
        self,
        upstreams: Sequence[ListedUpstream],
        failure_domain: str,
        tried: Iterable[str],
        now: float,
        features: RequestFeatures,
        instances: int,
    ) -> ListedUpstream | None:
        """See `PlainChoice.choose`."""
        del features, instances
        return self._selector.choose(upstreams, failure_domain, tried, now)

    def mean_s(
        self,
        upstreams: Sequence[ListedUpstream],
        features: RequestFeatures,
        now: float,
    ) -> float:
        """See `PlainChoice.mean_s`."""
        del features, now
        return self._selector.mean_s(upstreams)

    def start(
        self, upstream: ListedUpstream, features: RequestFeatures, now: float
    ) -> SentRequest:
        """See `PlainChoice.start`."""
        self._selector.start_request(upstream.name)
        return SentRequest(upstream.name, features, now)

    def end(self, sent: SentRequest, now: float, failed: bool) -> None:
        """See `PlainChoice.end`."""
        took_s = now - sent.sent_at
        self._selector.end_request(sent.upstream, now, took_s, failed)

    def cancel(self, sent: SentRequest) -> None:
        """See `PlainChoice.cancel`."""
        self._selector.cancel_request(sent.upstream)

    def remove(self, name: str) -> None:
        """See `PlainChoice.remove`."""
        self._selector.remove(name)

    def restart(self, name: str) -> None:
        """See `PlainChoice.restart`."""
        self._selector.restart(name)


@plain_choice("learned")
class LearnedPlainChoice(LearnedChoice, PlainChoice):
    """By expected cost, remaining work and speed, see `LearnedChoice`."""
