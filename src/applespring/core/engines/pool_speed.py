"""How long an ordinary engine of a pool takes for its work.

The time to the first event of a stream is taken as the sum of a fixed time, the
time to read all prompt tokens that the engine has not read yet, and a part for
each running request. The time between two events is the sum of a fixed time and
a part for each running request.
"""

import math

from applespring.core.engines.regression import DecayedRegression

# Estimates before the first measurement, which count as this many of them.
INITIAL_FIRST_S = 0.05
INITIAL_TOKENS_PER_S = 55_000.0
INITIAL_RUNNING_S = 0.004
INITIAL_EVENT_S = 0.03
INITIAL_EVENT_RUNNING_S = 0.0005
INITIAL_STREAM_S = 1.0
PRIOR_WEIGHT = 2.0
# Share of its weight that a measurement loses with each further one.
FIRST_DECAY = 0.01
EVENT_DECAY = 0.01
# The relative spread of a time is the same at short and long ones, so that
# times are weighed by the inverse square of their estimate. A measurement is
# bounded by this multiple of it.
RATIO_MAX = 5.0
# Share of a measurement in the mean length of a stream and in the error.
SHARE = 0.05
# Relative error of estimates of the first event before the first measurement.
INITIAL_ERROR = 1.0
# Measurements from which on the estimates can be compared with an engine.
MEASURED_MIN = 5


class PoolSpeed:
    """Times of an ordinary engine of one pool, in seconds.

    Attributes:
        first_s: Mean time from sending a stream to its first event.
        stream_s: Mean time from the first event of a stream to its end.
        error: Mean absolute error of the estimates of the first event, relative
            to the estimate.
    """

    __slots__ = ("first_s", "stream_s", "error", "_first", "_gap")

    def __init__(self) -> None:
        self.first_s = INITIAL_FIRST_S
        self.stream_s = INITIAL_STREAM_S
        self.error = INITIAL_ERROR
        self._first = DecayedRegression(
            (INITIAL_FIRST_S, 1.0 / INITIAL_TOKENS_PER_S, INITIAL_RUNNING_S),
            (PRIOR_WEIGHT,) * 3,
            FIRST_DECAY,
        )
        self._gap = DecayedRegression(
            (INITIAL_EVENT_S, INITIAL_EVENT_RUNNING_S),
            (PRIOR_WEIGHT,) * 2,
            EVENT_DECAY,
        )

    @property
    def read_s(self) -> float:
        """Time to read one prompt token."""
        return self._first.coefficients[1]

    @property
    def running_s(self) -> float:
        """Time that a running request adds to the first event of another."""
        return self._first.coefficients[2]

    @property
    def event_running_s(self) -> float:
        """Time that a running request adds to an event of another one."""
        return self._gap.coefficients[1]

    @property
    def is_measured(self) -> bool:
        """Whether the estimates of the first event rest on measurements."""
        return self._first.count >= MEASURED_MIN

    @property
    def is_gap_measured(self) -> bool:
        """Whether the estimates of the time between events do."""
        return self._gap.count >= MEASURED_MIN

    def first_event_s(self, unread_tokens: float, running: float) -> float:
        """Returns the expected time from sending to the first event.

        Args:
            unread_tokens: Prompt tokens that the engine reads until then.
            running: Other requests that it runs.
        """
        # Written out, since it is computed for each engine of a choice.
        fixed_s, read_s, running_s = self._first.coefficients
        return fixed_s + unread_tokens * read_s + running * running_s

    def event_s(self, running: float) -> float:
        """Returns the expected time between two events of a stream.

        Args:
            running: Other requests that the engine runs.
        """
        fixed_s, running_s = self._gap.coefficients
        return fixed_s + running * running_s

    def record_first_event(
        self, unread_tokens: float, running: float, took_s: float
    ) -> None:
        """Adds a measurement; see `first_event_s` for the arguments."""
        expected_s = max(1e-4, self.first_event_s(unread_tokens, running))
        self.first_s += SHARE * (took_s - self.first_s)
        ratio = took_s / expected_s
        self.error += SHARE * (abs(ratio - 1.0) - self.error)
        took_s = min(ratio, RATIO_MAX) * expected_s
        self._first.record(
            (1.0, unread_tokens, running), took_s, expected_s**-2
        )

    def record_events(self, running: float, event_s: float) -> None:
        """Adds a measured time between events; see `event_s`."""
        expected_s = max(1e-4, self.event_s(running))
        event_s = min(event_s, RATIO_MAX * expected_s)
        self._gap.record((1.0, running), event_s, expected_s**-2)

    def record_end(self, stream_s: float) -> None:
        """Adds the time from the first event of a stream to its end."""
        if 0.0 <= stream_s < math.inf:
            self.stream_s += SHARE * (stream_s - self.stream_s)
