"""Tracks the time as of which a majority has confirmed the sender's system state as the newest."""

from __future__ import annotations

_NEVER_S = float("-inf")


class StateConfirmation:
    """The times of confirmations, in seconds of the monotonic clock; `started_s` is the start of this sender.

    The newest state may lack its body for some time. Its confirmation applies to the complete state only if both states
    are the same.

    Invariant: the confirmation time of the complete state is never later than that of the newest state.
    """

    def __init__(self, started_s: float) -> None:
        self._started_s = started_s
        self._newest_confirmed_s = _NEVER_S
        self._complete_confirmed_s = _NEVER_S
        self._is_complete = True

    def confirm(self, as_of_s: float) -> None:
        """Record that no state newer than this sender's newest one was chosen before `as_of_s`."""
        self._newest_confirmed_s = max(self._newest_confirmed_s, as_of_s)
        self.set_complete(self._is_complete)

    def set_complete(self, is_complete: bool) -> None:
        """Record whether the newest state is complete, that is, has its body."""
        self._is_complete = is_complete
        if is_complete:
            self._complete_confirmed_s = self._newest_confirmed_s

    @property
    def is_confirmed(self) -> bool:
        """Whether a majority has confirmed the complete state since this sender started."""
        return self._complete_confirmed_s >= self._started_s

    def age_s(self, now_s: float) -> float:
        """Return the time since the complete state was last confirmed as the newest; infinite before that."""
        return now_s - self._complete_confirmed_s

    def newest_age_s(self, now_s: float) -> float:
        """Return the time since the newest state, which may be incomplete, was last confirmed; infinite before that."""
        return now_s - self._newest_confirmed_s
