"""Which senders get new connections, by their responses to readiness probes. Free of I/O."""

from collections.abc import Iterable

MAX_CONSECUTIVE_FAILURES = 1
"""After more failures in a row a sender gets no new connections until it responds with 200 again."""


class SenderHealth:
    """Consecutive failed readiness probes of each sender; a sender is unavailable until its first success."""

    def __init__(self, addresses: Iterable[str]) -> None:
        self._failures = dict.fromkeys(addresses, MAX_CONSECUTIVE_FAILURES + 1)

    @property
    def addresses(self) -> list[str]:
        """Return the addresses to probe."""
        return list(self._failures)

    def record(self, address: str, is_ready: bool) -> None:
        """Record the result of a probe; no response in time counts as not ready."""
        self._failures[address] = 0 if is_ready else self._failures[address] + 1

    def availability(self) -> dict[str, bool]:
        """Return for each sender whether it gets new connections."""
        return {address: failures <= MAX_CONSECUTIVE_FAILURES for address, failures in self._failures.items()}
