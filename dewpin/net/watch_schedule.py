"""When a sender requests the endpoint list: time-outs, and pauses that spread the requests of many senders."""

import random

# All times of the watch are parts of this one; docs/rare-moments.md adds them up.
MAX_STALENESS_SECONDS = 6.0  # after which an update counts as known, whatever became of the requests for it
WATCH_SECONDS = MAX_STALENESS_SECONDS / 4.0  # that the agent holds a watch open for an update
RESPONSE_TIMEOUT_SECONDS = MAX_STALENESS_SECONDS / 6.0  # beyond a watch's time, and where there is nothing to wait for
CONNECT_TIMEOUT_SECONDS = MAX_STALENESS_SECONDS / 6.0
MAX_RETRY_PAUSE_SECONDS = MAX_STALENESS_SECONDS / 6.0  # after a failed exchange
MAX_REJECTED_PAUSE_SECONDS = MAX_STALENESS_SECONDS / 2.0  # after one that discovery rejected
MIN_RETRY_PAUSE_SECONDS = 0.1
SECONDS_PER_SENDER = 0.1  # that a fleet leaves for each sender's request for the list
MAX_BACKOFF_DOUBLINGS = 6


class WatchSchedule:
    """The pauses before requests for the list, drawn at random.

    A fleet's senders would otherwise all request the list at once, at a start or after a fault: discovery rejects most
    of them, and those that come again at once are rejected again. Each pause leaves time for the response before the
    update counts as known.
    """

    def __init__(self, fleet_size: int, drain_grace_ms: float, seed: object, is_list_pushed: bool = True) -> None:
        """Make a schedule.

        Args:
            fleet_size: how many senders there are.
            drain_grace_ms: the time for which messages may still go to a draining receiver.
            seed: of the random source.
            is_list_pushed: the agent has the list by itself, so that a request costs nobody else anything.
        """
        self._random = random.Random(seed)  # type: ignore[arg-type]
        self._is_list_pushed = is_list_pushed
        self._spread_seconds = SECONDS_PER_SENDER * fleet_size
        self._max_extra_pause_seconds = min(
            self._spread_seconds, drain_grace_ms / 2000.0, MAX_RETRY_PAUSE_SECONDS - MIN_RETRY_PAUSE_SECONDS
        )
        self._rejections = 0

    def first_pause_seconds(self, is_first_process: bool) -> float:
        """Return the pause before the first request.

        `is_first_process`: no process before this one can know an update. Where lists are pushed, what the agent has
        counts as known from the first moment on.
        """
        if self._is_list_pushed:
            return 0.0
        if is_first_process:
            return self._random.uniform(0.0, min(self._spread_seconds, MAX_REJECTED_PAUSE_SECONDS))
        return self._random.uniform(0.0, self._max_extra_pause_seconds)

    def retry_pause_seconds(self) -> float:
        """Return the pause after a failed exchange."""
        return MIN_RETRY_PAUSE_SECONDS + self._random.uniform(0.0, self._max_extra_pause_seconds)

    def rejected_pause_seconds(self) -> float:
        """Return the pause after a request that discovery rejected; it grows with each one in a row."""
        self._rejections += 1
        doublings = min(self._rejections - 1, MAX_BACKOFF_DOUBLINGS)
        longest = min(MAX_REJECTED_PAUSE_SECONDS, max(MIN_RETRY_PAUSE_SECONDS, self._spread_seconds) * 2.0**doublings)
        return self._random.uniform(0.5, 1.0) * longest

    def reset_backoff(self) -> None:
        """Begin with the shortest pauses again: a request was answered."""
        self._rejections = 0
