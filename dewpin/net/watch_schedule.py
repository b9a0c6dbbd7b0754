"""The times of a sender's requests for the endpoint list: time-outs, and pauses that spread many senders' requests."""

import random

# Most times of the watch are fractions of MAX_STALENESS_SECONDS; docs/rare-moments.md adds them up.
MAX_STALENESS_SECONDS = 6.0  # time after which a sender is assumed to know an update, even if its requests failed
WATCH_SECONDS = MAX_STALENESS_SECONDS / 4.0  # time for which the agent keeps a watch request open
RESPONSE_TIMEOUT_SECONDS = MAX_STALENESS_SECONDS / 6.0  # after the watch time, or for a request that does not watch
CONNECT_TIMEOUT_SECONDS = MAX_STALENESS_SECONDS / 6.0
MAX_RETRY_PAUSE_SECONDS = MAX_STALENESS_SECONDS / 6.0  # after a failed exchange
MAX_REJECTED_PAUSE_SECONDS = MAX_STALENESS_SECONDS / 2.0  # after a request that discovery rejected
MIN_RETRY_PAUSE_SECONDS = 0.1
SECONDS_PER_SENDER = 0.1  # share of each sender in the time over which a fleet spreads its requests
MAX_BACKOFF_DOUBLINGS = 6


class WatchSchedule:
    """Random pauses before requests for the endpoint list.

    Without them all senders of a fleet would request the list at the same time after a start or a failure. Discovery
    would reject most of the requests, and would reject them again if they were retried immediately. Each pause leaves
    enough time to receive a response before `MAX_STALENESS_SECONDS` are over.
    """

    def __init__(self, fleet_size: int, drain_grace_ms: float, seed: object, is_list_pushed: bool = True) -> None:
        """Create a schedule.

        Args:
            fleet_size: number of senders in the fleet.
            drain_grace_ms: time for which messages may still be sent to a draining receiver.
            seed: seed of the random number generator.
            is_list_pushed: whether the agent always has the list, so that requests put no load on discovery.
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

        `is_first_process`: whether no earlier process can have received an update. There is no pause if lists are
        pushed, as the sender is then assumed to know the agent's list from its start.
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
        """Return the pause after a request that discovery rejected; it grows with consecutive rejections."""
        self._rejections += 1
        doublings = min(self._rejections - 1, MAX_BACKOFF_DOUBLINGS)
        max_pause = min(MAX_REJECTED_PAUSE_SECONDS, max(MIN_RETRY_PAUSE_SECONDS, self._spread_seconds) * 2.0**doublings)
        return self._random.uniform(0.5, 1.0) * max_pause

    def reset_backoff(self) -> None:
        """Return to the shortest pauses after a request was answered."""
        self._rejections = 0
