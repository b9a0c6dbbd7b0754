"""The list of receivers as a sender has it: copies that come down the relay tree, and its own readings where none come
in time."""

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
OWN_READING_SHARE_OF_DRAIN = 0.4
OWN_READINGS_SHARE_OF_RATE = 0.5
ASSUMED_SENDERS = 8
UNKNOWN_AGE_S = 1e9


class ReceiverList:
    """`on_receivers` is called with the directory whenever it has changed."""

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
        self._own_read_s = float("-inf")
        self._own_reading_began_s = float("-inf")

    def age_s(self) -> float:
        """How long ago the list that the receivers come from was read, by anybody."""
        return min(self._clock() - max(self._shared_read_s, self._own_read_s), UNKNOWN_AGE_S)

    def shared_age_s(self) -> float:
        """The same of the version that is shared with others, without the own readings."""
        return min(self._clock() - self._shared_read_s, UNKNOWN_AGE_S)

    def take_copy(self, version: DirectoryVersion, receivers: Iterable[Receiver], read_s: float) -> bool:
        """Takes another's list, read at `read_s`; whether it is newer than the one here."""
        if not self.directory.take_copy(version, receivers):
            return False
        self._shared_read_s = read_s
        self._own_read_s = float("-inf")  # the copy took the place of what was read here
        self._on_receivers(self.directory)
        return True

    def note_age(self, version: DirectoryVersion, read_s: float) -> None:
        """Takes when another's list was read, if that is of the version held here: else its content may be missing."""
        if version == self.directory.version:
            self._shared_read_s = max(self._shared_read_s, read_s)

    async def pause(self, settings: Settings) -> None:
        """Waits until the list's age is to be looked at again."""
        await asyncio.sleep(settings.bounds.drain_ms / 1000 / 10 * (0.8 + 0.4 * self._rng.random()))

    async def read_if_stale(self, settings: Settings, senders: int) -> None:
        """Reads the platform's list if the one here is too old and an own reading is due among so many senders."""
        if self.age_s() < STALE_SHARE_OF_DRAIN * settings.bounds.drain_ms / 1000:
            return
        if self._clock() - self._own_reading_began_s >= _own_reading_period_s(settings, senders):
            self._own_reading_began_s = self._clock()
            await self._read(settings)

    async def _read(self, settings: Settings) -> None:
        cloud = settings.cloud
        if cloud is None:
            return
        began_s = self._clock()
        try:
            receivers = await self._platform.read(cloud.address)
        except PlatformUnavailableError as fault:
            log.info("receivers.list_unavailable", extra={"why": str(fault)})
            return
        self._own_read_s = max(self._own_read_s, began_s)
        if self.directory.take_private_reading(receivers):
            self._on_receivers(self.directory)


def _own_reading_period_s(settings: Settings, senders: int) -> float:
    """So long that all senders together, each reading for itself, stay within the platform's rate."""
    period_s = OWN_READING_SHARE_OF_DRAIN * settings.bounds.drain_ms / 1000
    cloud = settings.cloud
    if cloud is None or cloud.rate_per_s <= 0:
        return period_s
    return max(period_s, (senders or ASSUMED_SENDERS) / (OWN_READINGS_SHARE_OF_RATE * cloud.rate_per_s))
