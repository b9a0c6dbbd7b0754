"""Availability of senders for new connections, from the results of readiness probes. Free of I/O."""

from collections.abc import Iterable

MAX_CONSECUTIVE_FAILURES = 1
"""After more consecutive failures a sender gets no new connections until it responds with 200 again."""


class SenderHealth:
    """Counts consecutive failed readiness probes of each sender; a sender is unavailable until its first success."""

    def __init__(self, addresses: Iterable[str]) -> None:
        self._failures = dict.fromkeys(addresses, MAX_CONSECUTIVE_FAILURES + 1)

    @property
    def addresses(self) -> list[str]:
        """Return the addresses to probe."""
        return list(self._failures)

    def record(self, address: str, is_ready: bool) -> None:
        """Record the result of a probe; a missing response counts as not ready."""
        self._failures[address] = 0 if is_ready else self._failures[address] + 1

    def availability(self) -> dict[str, bool]:
        """Return whether each sender gets new connections, by address."""
        return {address: failures <= MAX_CONSECUTIVE_FAILURES for address, failures in self._failures.items()}
