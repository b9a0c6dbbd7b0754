"""Tracks the newest store view that a sender knows."""

from __future__ import annotations

import asyncio

from dewpin.cluster.store_view import StoreView


class StoreViewTracker:
    """Holds the view with the highest epoch received so far; `newest` is None before the first one."""

    def __init__(self) -> None:
        self.newest: StoreView | None = None
        self._is_known = asyncio.Event()

    def adopt(self, view: StoreView) -> None:
        """Adopt a view if it is newer."""
        if self.newest is None or view.epoch > self.newest.epoch:
            self.newest = view
            self._is_known.set()

    async def wait_for_view(self) -> StoreView:
        """Wait until a view is known and return the newest one."""
        await self._is_known.wait()
        assert self.newest is not None
        return self.newest
