"""Reading the platform's list of receivers: when a reading is due, and how old the directory is.

A single control server is the assigned reader; the others read as well once the list is older than its readings should
let it become. The age belongs to the directory's present version: another process's age counts only for that version.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from dewpin.cluster.platform_list import PlatformReader, PlatformUnavailableError, ThreadedPlatformReader
from dewpin.cluster.receivers import DirectoryVersion, Receiver, ReceiverDirectory
from dewpin.cluster.settings import Cloud

log = logging.getLogger(__name__)

READINGS_IN_DRAIN = 4
"""Readings within the time for which a receiver that is draining goes on."""
STALE_READINGS = 2.5
"""Periods after which a process that is not the assigned reader reads."""
CHECKS_PER_PERIOD = 4
SHORTEST_WAIT_S = 0.01
UNKNOWN_AGE_S = 1e9


class PlatformListReader:
    """Fills a directory of receivers from the platform's list.

    Attributes:
        directory: the receivers.
        period_s: the time between two readings of the assigned reader.
        has_failed: whether the last reading failed.
    """

    def __init__(
        self, member: str, drain_s: float, clock: Callable[[], float], platform: PlatformReader | None = None
    ) -> None:
        """`drain_s`: for how long a receiver that is draining goes on."""
        self.directory = ReceiverDirectory()
        self.period_s = drain_s / READINGS_IN_DRAIN
        self._member = member
        self._clock = clock
        self._read_at_s = float("-inf")
        self.has_failed = False
        self._platform = platform or ThreadedPlatformReader()

    def age_s(self) -> float:
        """How long ago the list was read last that the directory shows; UNKNOWN_AGE_S before the first time."""
        return min(self._clock() - self._read_at_s, UNKNOWN_AGE_S)

    def is_due(self, is_assigned: bool) -> bool:
        """Whether this process is to read the list now."""
        return self.age_s() >= self._due_age_s(is_assigned)

    def wait_s(self, is_assigned: bool) -> float:
        """How long to wait before the next check whether a reading is due."""
        longest_s = self.period_s / CHECKS_PER_PERIOD
        if self.has_failed:
            return longest_s
        return min(max(self._due_age_s(is_assigned) - self.age_s(), SHORTEST_WAIT_S), longest_s)

    def _due_age_s(self, is_assigned: bool) -> float:
        return self.period_s if is_assigned else STALE_READINGS * self.period_s

    def apply_update(self, version: DirectoryVersion, receivers: Iterable[Receiver], read_at_s: float) -> bool:
        """Merges another process's directory, from a list read at `read_at_s`; true if it is newer than this one."""
        if not self.directory.apply_update(version, receivers):
            return False
        self._read_at_s = read_at_s
        return True

    def record_read_time(self, version: DirectoryVersion, read_at_s: float) -> None:
        """Records when another process's directory was read, if that is of the same version."""
        if version == self.directory.version:
            self._read_at_s = max(self._read_at_s, read_at_s)

    def apply_listing(self, receivers: Iterable[Receiver], began_at_s: float) -> bool:
        """Stores a list whose reading began at `began_at_s`; true if the directory has a new version."""
        self.has_failed = False
        self._read_at_s = max(self._read_at_s, began_at_s)
        return self.directory.apply_listing(receivers, self._member)

    async def read(self, cloud: Cloud) -> bool:
        """Reads the list; true if the directory has a new version. A failed reading changes nothing."""
        began_at_s = self._clock()
        try:
            receivers = await self._platform.read(cloud.address)
        except PlatformUnavailableError as error:
            self.has_failed = True
            log.info("list_reader.unavailable", extra={"why": str(error)})
            return False
        return self.apply_listing(receivers, began_at_s)
