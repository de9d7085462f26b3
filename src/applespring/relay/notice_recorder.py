"""Records and logs what the answers of upstreams say of them."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from loguru import logger

from applespring.core.catalog import ListedUpstream
from applespring.core.notices import Notice
from applespring.core.self_report import LoadReport, SelfReport
from applespring.relay.cold_recorder import ColdRecorder
from applespring.relay.metrics import RelayMetrics
from applespring.relay.state import RelayState

if TYPE_CHECKING:
    from loguru import Logger


class NoticeRecorder:
    """Passes each answer's self-report to the notices of the instance.

    Attributes:
        cold: Records which upstreams are cold.
    """

    __slots__ = (
        "_state",
        "_metrics",
        "_announce_limits",
        "_record_load",
        "cold",
    )

    def __init__(
        self,
        state: RelayState,
        metrics: RelayMetrics,
        announce_limits: Callable[[], None],
        record_load: Callable[[ListedUpstream, LoadReport, float], None],
        cold: ColdRecorder,
    ) -> None:
        """Sets the state and the callbacks.

        Args:
            state: State of the instance.
            metrics: Metrics that count what answers say.
            announce_limits: Called when an answer changes a rate limit.
            record_load: Called with each load that an answer tells, and when.
            cold: Records which upstreams are cold.
        """
        self._state = state
        self._metrics = metrics
        self._announce_limits = announce_limits
        self._record_load = record_load
        self.cold = cold

    def record(
        self,
        upstream: ListedUpstream,
        report: SelfReport,
        *,
        request: str,
        target: str,
        status: int,
        sent_at: float,
    ) -> None:
        """Records what an answer says of its upstream.

        Args:
            upstream: The upstream as it was listed when it was called.
            report: What the answer says.
            request: Id of the request, or "".
            target: Path of the request.
            status: HTTP status of the answer.
            sent_at: When the request was sent.
        """
        if report.load is not None:
            self._record_load(upstream, report.load, self._state.clock())
        self.cold.record_answer(upstream, sent_at)
        if not report and not self._state.notices.limits:
            return
        if report.cold_s is not None:
            self.cold.record_report(upstream, report.cold_s, sent_at)
        log = logger.bind(
            upstream=upstream.name,
            born_ms=upstream.born_ms,
            request=request,
            target=target,
            status=status,
        )
        for detail in report.rejected:
            self._metrics.state_changes.inc("notice_rejected")
            log.bind(event="notice_rejected").warning(
                "upstream {}: {}", upstream.name, detail
            )
        for notice in self._state.notices.record(
            upstream.identity,
            report,
            self._state.clock(),
            self._state.catalog.all(),
        ):
            self._metrics.state_changes.inc(f"upstream_{notice.value}")
            log = log.bind(event="upstream_notice", notice=notice.value)
            if notice is Notice.PAUSED:
                log.bind(pause_s=report.pause_s).info(
                    "upstream {} asks for no requests for {:g} s",
                    upstream.name,
                    report.pause_s,
                )
            else:
                log.info("upstream {} says that it leaves", upstream.name)

        self._record_limit(upstream, report, log, sent_at)

    def _record_limit(
        self,
        upstream: ListedUpstream,
        report: SelfReport,
        log: "Logger",
        sent_at: float,
    ) -> None:
        limits, now = self._state.notices.limits, self._state.clock()
        if not report.rate_limit_known or not limits.record(
            upstream.identity, report.rate_limit, sent_at, now
        ):
            return
        limits.trim(self._state.catalog.all(), now)
        self._announce_limits()
        log = log.bind(event="rate_limit", limit_per_s=report.rate_limit)
        if report.rate_limit is None:
            self._metrics.state_changes.inc("rate_limit_ended")
            log.info("upstream {} names no rate limit any more", upstream.name)
            return
        self._metrics.state_changes.inc("rate_limit")
        log.info(
            "upstream {} takes {:g} requests a second from all instances",
            upstream.name,
            report.rate_limit,
        )

    def find(self, upstream: ListedUpstream) -> Notice | None:
        """Returns why an upstream gets no requests now, or None.

        The caller of an evacuated one is about to send it something.
        """
        if self._state.is_evacuated(upstream):
            self._metrics.state_changes.inc("evacuation_withheld")
            return Notice.EVACUATED
        return self._state.notices.find(upstream.identity, self._state.clock())
