"""Bounds the processor time that requests which arrive in many small parts take from all others."""

MIN_COSTLY_SECONDS = 0.0005  # parsing that takes less time is not delayed
MAX_COSTLY_SECONDS = 0.05  # parsing that seems to take longer was interrupted: the process did not run
PAUSE_FACTOR = 3.0  # pauses per second of parsing, so that such requests take a quarter of the time together


class ParsingPacer:
    """Tells the connections whose incomplete requests are costly to parse how long to pause, one after the other.

    Times are in seconds of the event loop's clock.
    """

    def __init__(self) -> None:
        self._free_at = 0.0

    def pause_seconds(self, now: float, parsing_seconds: float) -> float:
        """Return how long a connection pauses after its received bytes were parsed; 0 if that was not costly."""
        if parsing_seconds < MIN_COSTLY_SECONDS:
            return 0.0
        self._free_at = max(now, self._free_at) + PAUSE_FACTOR * min(parsing_seconds, MAX_COSTLY_SECONDS)
        return self._free_at - now
