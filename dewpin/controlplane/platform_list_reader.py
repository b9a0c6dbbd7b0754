"""Reads the platform's list of receivers: decides when a read is due, and tracks the age of the directory.

One control server is the assigned reader. The others read the list, too, once it is older than it becomes while the
assigned reader reads it periodically. The age refers to the current version of the directory, so an age reported by
another process is used only if it refers to the same version.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from dewpin.cluster.platform_list import PlatformReader, PlatformUnavailableError, ThreadedPlatformReader
from dewpin.cluster.receivers import DirectoryVersion, Receiver, ReceiverDirectory
from dewpin.cluster.settings import Cloud

log = logging.getLogger(__name__)

READS_PER_DRAIN_TIME = 4
"""Reads within the drain time of a receiver."""
STALE_AFTER_PERIODS = 2.5
"""Age of the list, in periods, at which a process that is not the assigned reader reads it."""
CHECKS_PER_PERIOD = 4
MIN_WAIT_S = 0.01
UNKNOWN_AGE_S = 1e9


class PlatformListReader:
    """Maintains a directory of receivers from the platform's list.

    Attributes:
        directory: the known receivers.
        period_s: interval between two reads of the assigned reader.
        has_failed: whether the last read failed.
    """

    def __init__(
        self, member: str, drain_s: float, clock: Callable[[], float], platform: PlatformReader | None = None
    ) -> None:
        """`drain_s`: how long a draining receiver continues to run."""
        self.directory = ReceiverDirectory()
        self.period_s = drain_s / READS_PER_DRAIN_TIME
        self._member = member
        self._clock = clock
        self._read_at_s = float("-inf")
        self.has_failed = False
        self._platform = platform or ThreadedPlatformReader()

    def age_s(self) -> float:
        """Return the time since the list in the directory was read; UNKNOWN_AGE_S before the first read."""
        return min(self._clock() - self._read_at_s, UNKNOWN_AGE_S)

    def is_due(self, is_assigned: bool) -> bool:
        """Return whether this process should read the list now."""
        return self.age_s() >= self._due_age_s(is_assigned)

    def wait_s(self, is_assigned: bool) -> float:
        """Return the delay until the next check whether a read is due."""
        max_wait_s = self.period_s / CHECKS_PER_PERIOD
        if self.has_failed:
            return max_wait_s
        return min(max(self._due_age_s(is_assigned) - self.age_s(), MIN_WAIT_S), max_wait_s)

    def _due_age_s(self, is_assigned: bool) -> float:
        return self.period_s if is_assigned else STALE_AFTER_PERIODS * self.period_s

    def apply_update(self, version: DirectoryVersion, receivers: Iterable[Receiver], read_at_s: float) -> bool:
        """Merge the directory of another process, read at `read_at_s`; return whether it is newer than this one."""
        if not self.directory.apply_update(version, receivers):
            return False
        self._read_at_s = read_at_s
        return True

    def record_read_time(self, version: DirectoryVersion, read_at_s: float) -> None:
        """Record when another process read its directory, if that directory has the same version."""
        if version == self.directory.version:
            self._read_at_s = max(self._read_at_s, read_at_s)

    def apply_listing(self, receivers: Iterable[Receiver], started_at_s: float) -> bool:
        """Store a list whose read started at `started_at_s`; return whether the directory has a new version."""
        self.has_failed = False
        self._read_at_s = max(self._read_at_s, started_at_s)
        return self.directory.apply_listing(receivers, self._member)

    async def read(self, cloud: Cloud) -> bool:
        """Read the list; return whether the directory has a new version. A failed read leaves it unchanged."""
        started_at_s = self._clock()
        try:
            receivers = await self._platform.read(cloud.address)
        except PlatformUnavailableError as error:
            self.has_failed = True
            log.info("list_reader.unavailable", extra={"why": str(error)})
            return False
        return self.apply_listing(receivers, started_at_s)
