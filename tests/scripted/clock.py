"""An event loop with a virtual clock that advances to the next timer, so that nothing waits in real time."""

import asyncio
import selectors

START_S = 1000.0


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the clock to the next timer instead of waiting for it."""

    now_s = START_S

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("deadlock: no timer is pending")
        self.now_s += max(timeout, 0.0)
        return super().select(0)


def run(coroutine):
    """Run a coroutine on a loop with a virtual clock, which starts at 1000 s; return its result."""
    selector = _VirtualTimeSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now_s
    try:
        return loop.run_until_complete(coroutine)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        for _ in range(5):  # a task that awaits other tasks ends after them
            loop.run_until_complete(asyncio.sleep(0))
        loop.close()
