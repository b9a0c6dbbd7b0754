"""The relay's clock."""

import asyncio
import time


class UnixClock:
    """Unix time in ms that never goes backwards while the process runs.

    `offset_seconds`: difference between Unix time and the clock of the event loop, taken at the start."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.offset_seconds = time.time() - loop.time()

    def now_ms(self) -> float:
        """Return the current time in ms."""
        return (self._loop.time() + self.offset_seconds) * 1000.0
