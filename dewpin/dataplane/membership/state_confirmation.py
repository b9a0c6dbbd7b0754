"""As of when a majority has confirmed the system state that this sender has."""

from __future__ import annotations

_NEVER_S = float("-inf")


class StateConfirmation:
    """The times of confirmations, in seconds of the monotonic clock; `started_s` is when this sender started.

    The newest state may lack its body for a while. A confirmation of it confirms the complete state only where the two
    are the same.

    Invariant: the complete state is never confirmed later than the newest one.
    """

    def __init__(self, started_s: float) -> None:
        self._started_s = started_s
        self._newest_confirmed_s = _NEVER_S
        self._complete_confirmed_s = _NEVER_S
        self._is_complete = True

    def confirm(self, as_of_s: float) -> None:
        """Record that no state newer than the newest one here was chosen before `as_of_s`."""
        self._newest_confirmed_s = max(self._newest_confirmed_s, as_of_s)
        self.set_complete(self._is_complete)

    def set_complete(self, is_complete: bool) -> None:
        """Record whether the newest state is complete."""
        self._is_complete = is_complete
        if is_complete:
            self._complete_confirmed_s = self._newest_confirmed_s

    @property
    def is_confirmed(self) -> bool:
        """Whether a majority has confirmed the complete state since this sender started."""
        return self._complete_confirmed_s >= self._started_s

    def age_s(self, now_s: float) -> float:
        """Return how long ago the complete state was certainly the newest; infinite before the first confirmation."""
        return now_s - self._complete_confirmed_s

    def newest_age_s(self, now_s: float) -> float:
        """Return the same of the newest state, which may be incomplete."""
        return now_s - self._newest_confirmed_s
