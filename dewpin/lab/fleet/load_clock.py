"""The clock of a load test."""

import asyncio


class LoadClock:
    """Measures the time since the start of the load, by the clock of the event loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()

    def start(self) -> None:
        """Set the start of the load to now."""
        self._started_at = self._loop.time()

    def now_ms(self) -> float:
        """Return the time since the start, in ms."""
        return (self._loop.time() - self._started_at) * 1000.0
