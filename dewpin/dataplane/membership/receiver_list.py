"""The receiver list of a sender: copies received through the relay tree, and direct reads of the platform's list if no
recent copy is available."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Iterable

from dewpin.cluster.platform_list import PlatformReader, PlatformUnavailableError
from dewpin.cluster.receivers import DirectoryVersion, Receiver, ReceiverDirectory
from dewpin.cluster.settings import Settings

log = logging.getLogger(__name__)

STALE_SHARE_OF_DRAIN = 0.6
"""A list is stale once its age exceeds this share of the drain time of a receiver."""
DIRECT_READ_PERIOD_SHARE_OF_DRAIN = 0.4
"""Minimum period of direct reads, as a share of the drain time of a receiver."""
DIRECT_READS_SHARE_OF_RATE = 0.5
"""Share of the platform's rate limit available to the direct reads of all senders together."""
ASSUMED_SENDERS = 8
"""Number of senders to assume if it is unknown."""
UNKNOWN_AGE_S = 1e9


class ReceiverList:
    """The directory of receivers and the age of the list it was made from.

    directory: the receivers and the version of the shared list.
    on_receivers: called with the directory after each change.
    clock: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        platform: PlatformReader,
        rng: random.Random,
        on_receivers: Callable[[ReceiverDirectory], None],
        clock: Callable[[], float],
    ) -> None:
        self.directory = ReceiverDirectory()
        self._platform = platform
        self._rng = rng
        self._on_receivers = on_receivers
        self._clock = clock
        self._shared_read_s = float("-inf")
        self._direct_read_s = float("-inf")
        self._direct_read_started_s = float("-inf")

    def age_s(self) -> float:
        """Return the time since the receiver list was read from the platform, by this sender or another process."""
        return min(self._clock() - max(self._shared_read_s, self._direct_read_s), UNKNOWN_AGE_S)

    def shared_age_s(self) -> float:
        """Return the time since the shared version of the list was read; direct reads do not count."""
        return min(self._clock() - self._shared_read_s, UNKNOWN_AGE_S)

    def apply_copy(self, version: DirectoryVersion, receivers: Iterable[Receiver], read_s: float) -> bool:
        """Adopt a list that another process read at `read_s` if it is newer; return whether it was adopted."""
        if not self.directory.apply_update(version, receivers):
            return False
        self._shared_read_s = read_s
        self._direct_read_s = float("-inf")  # the copy replaced the result of the direct read
        self._on_receivers(self.directory)
        return True

    def record_read_time(self, version: DirectoryVersion, read_s: float) -> None:
        """Record when a list was read if it has the version held here: the content of another version may differ."""
        if version == self.directory.version:
            self._shared_read_s = max(self._shared_read_s, read_s)

    async def wait_for_next_check(self, settings: Settings) -> None:
        """Wait until the next check of the list's age, with jitter."""
        await asyncio.sleep(settings.bounds.drain_ms / 1000 / 10 * (0.8 + 0.4 * self._rng.random()))

    async def read_if_stale(self, settings: Settings, sender_count: int) -> None:
        """Read the platform's list if the list is stale and a direct read is due for this number of senders."""
        if self.age_s() < STALE_SHARE_OF_DRAIN * settings.bounds.drain_ms / 1000:
            return
        if self._clock() - self._direct_read_started_s >= _direct_read_period_s(settings, sender_count):
            self._direct_read_started_s = self._clock()
            await self._read(settings)

    async def _read(self, settings: Settings) -> None:
        cloud = settings.cloud
        if cloud is None:
            return
        started_s = self._clock()
        try:
            receivers = await self._platform.read(cloud.address)
        except PlatformUnavailableError as error:
            log.info("receivers.list_unavailable", extra={"why": str(error)})
            return
        self._direct_read_s = max(self._direct_read_s, started_s)
        if self.directory.apply_private_listing(receivers):
            self._on_receivers(self.directory)


def _direct_read_period_s(settings: Settings, sender_count: int) -> float:
    """Return the period with which the direct reads of all senders together respect the platform's rate limit."""
    period_s = DIRECT_READ_PERIOD_SHARE_OF_DRAIN * settings.bounds.drain_ms / 1000
    cloud = settings.cloud
    if cloud is None or cloud.rate_per_s <= 0:
        return period_s
    return max(period_s, (sender_count or ASSUMED_SENDERS) / (DIRECT_READS_SHARE_OF_RATE * cloud.rate_per_s))
