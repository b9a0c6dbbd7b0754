"""As of when a majority has confirmed the system state that this sender holds."""

from __future__ import annotations


class StateConfirmation:
    """Times are of the steady clock. `started_s`: when this sender did.

    The newest state that this sender was told of may lack its body for a while. What confirms that one confirms what is
    held only where that is the same: what is held whole is never confirmed behind the version told.
    """

    def __init__(self, started_s: float) -> None:
        self._started_s = started_s
        self._told_s = float("-inf")
        self._held_s = float("-inf")
        self._is_whole = True

    def confirm(self, as_of_s: float) -> None:
        """Notes that nothing newer than the newest state told of here was chosen before `as_of_s`."""
        self._told_s = max(self._told_s, as_of_s)
        self.note_held(self._is_whole)

    def note_held(self, is_whole: bool) -> None:
        """Notes whether the newest state told of is held whole."""
        self._is_whole = is_whole
        if is_whole:
            self._held_s = self._told_s

    @property
    def is_confirmed(self) -> bool:
        """Whether a majority has confirmed the state held since this sender started."""
        return self._held_s >= self._started_s

    def age_s(self, now_s: float) -> float:
        """How long ago the state held was the newest for sure; infinite before the first word."""
        return now_s - self._held_s

    def told_age_s(self, now_s: float) -> float:
        """The same of the newest state told of."""
        return now_s - self._told_s
