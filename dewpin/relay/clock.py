"""The relay's clock."""

import asyncio
import time


class UnixClock:
    """Unix time in ms that never steps back while the process runs.

    `offset_seconds`: between the loop's clock and Unix time, as it was at the start."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.offset_seconds = time.time() - loop.time()

    def now_ms(self) -> float:
        """The time now."""
        return (self._loop.time() + self.offset_seconds) * 1000.0
