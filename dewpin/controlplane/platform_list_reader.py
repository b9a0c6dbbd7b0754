"""The control plane's readings of the platform's list: when one is due, and how old the directory is.

A single process has the duty to read; the others stand in once the list has grown older than its readings should let
it. The age belongs to the directory's present version: another process's age counts only where it holds that version.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from dewpin.cluster.platform_list import PlatformReader, PlatformUnavailableError, ThreadedPlatformReader
from dewpin.cluster.receivers import DirectoryVersion, Receiver, ReceiverDirectory
from dewpin.cluster.settings import Cloud

log = logging.getLogger(__name__)

READINGS_IN_DRAIN = 4
STALE_READINGS = 2.5
LOOKS_IN_PERIOD = 4
SHORTEST_WAIT_S = 0.01
UNKNOWN_AGE_S = 1e9


class ListReader:
    """Fills a directory from the platform's list. `drain_s`: for how long a receiver that is leaving goes on."""

    def __init__(
        self, member: str, drain_s: float, clock: Callable[[], float], platform: PlatformReader | None = None
    ) -> None:
        self.directory = ReceiverDirectory()
        self.period_s = drain_s / READINGS_IN_DRAIN
        self._member = member
        self._clock = clock
        self._read_s = float("-inf")
        self.has_failed = False
        self._platform = platform or ThreadedPlatformReader()

    def age_s(self) -> float:
        """How long ago the list was read last that the directory shows; UNKNOWN_AGE_S before the first time."""
        return min(self._clock() - self._read_s, UNKNOWN_AGE_S)

    def is_due(self, has_duty: bool) -> bool:
        """Whether this process is to read the list now."""
        return self.age_s() >= self._due_age_s(has_duty)

    def wait_s(self, has_duty: bool) -> float:
        """How long to wait until the next look whether a reading is due."""
        longest_s = self.period_s / LOOKS_IN_PERIOD
        if self.has_failed:
            return longest_s
        return min(max(self._due_age_s(has_duty) - self.age_s(), SHORTEST_WAIT_S), longest_s)

    def _due_age_s(self, has_duty: bool) -> float:
        return self.period_s if has_duty else STALE_READINGS * self.period_s

    def take_copy(self, version: DirectoryVersion, receivers: Iterable[Receiver], read_s: float) -> bool:
        """Takes another process's directory, from a list read at `read_s`; true if it is newer than this one."""
        if not self.directory.apply_update(version, receivers):
            return False
        self._read_s = read_s
        return True

    def note_read(self, version: DirectoryVersion, read_s: float) -> None:
        """Takes when another process's directory was read, if that is of the same version."""
        if version == self.directory.version:
            self._read_s = max(self._read_s, read_s)

    def take_reading(self, receivers: Iterable[Receiver], began_s: float) -> bool:
        """Takes a list whose reading began at `began_s`; true if the directory has a new version."""
        self.has_failed = False
        self._read_s = max(self._read_s, began_s)
        return self.directory.apply_listing(receivers, self._member)

    async def read(self, cloud: Cloud) -> bool:
        """Reads the list; true if the directory has a new version. A failed reading changes nothing."""
        began_s = self._clock()
        try:
            receivers = await self._platform.read(cloud.address)
        except PlatformUnavailableError as fault:
            self.has_failed = True
            log.info("list_reader.unavailable", extra={"why": str(fault)})
            return False
        return self.take_reading(receivers, began_s)
