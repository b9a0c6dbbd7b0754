"""The clock of a load test."""

import asyncio


class LoadClock:
    """Counts the ms since the load began, by the event loop's clock."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()

    def start(self) -> None:
        """Count from now on: the load begins."""
        self._started_at = self._loop.time()

    def now_ms(self) -> float:
        """Return the time since the start."""
        return (self._loop.time() - self._started_at) * 1000.0
