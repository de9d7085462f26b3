"""The verdict that every outcome carries.

A verdict states whether a call, or a request as a whole, was executed, may have
been, or was not. The members are ordered by the evidence of execution: the
outcome of several calls has the highest of their verdicts.
"""

import enum
from collections.abc import Iterable


class Verdict(enum.IntEnum):
    """Whether a call or a request may have been executed."""

    NOT_RUN = 0
    MAY_HAVE_RUN = 1
    RAN = 2

    @property
    def label(self) -> str:
        """The name in messages and labels, for example `may_have_run`."""
        return self.name.lower()

    @classmethod
    def from_label(cls, label: str) -> "Verdict":
        """Returns the verdict with this label.

        Raises:
            ValueError: No verdict has this label.
        """
        try:
            return cls[label.upper()]
        except KeyError as exc:
            raise ValueError(
                f"unknown verdict {label!r}; "
                "allowed: not_run, may_have_run, ran"
            ) from exc


def combine(verdicts: Iterable[Verdict]) -> Verdict:
    """Returns the highest verdict, or NOT_RUN when there are none."""
    return max(verdicts, default=Verdict.NOT_RUN)
