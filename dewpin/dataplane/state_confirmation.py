"""As of when a majority has confirmed the system state that this sender holds."""

from __future__ import annotations


class StateConfirmation:
    """Times are of the steady clock. `started_s`: when this sender did."""

    def __init__(self, started_s: float) -> None:
        self._started_s = started_s
        self._confirmed_s = float("-inf")

    def confirm(self, as_of_s: float) -> None:
        """Notes that nothing newer than the state held here was chosen before `as_of_s`."""
        self._confirmed_s = max(self._confirmed_s, as_of_s)

    @property
    def is_confirmed(self) -> bool:
        """Whether a majority has confirmed the state since this sender started."""
        return self._confirmed_s >= self._started_s

    def age_s(self, now_s: float) -> float:
        """How long ago the state was the newest for sure; infinite before the first word."""
        return now_s - self._confirmed_s
