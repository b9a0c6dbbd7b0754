"""The link between a sender and another party, with faults: data is held or delayed, or connections are reset."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any

from .scenario import CutDirection

TO, FROM = CutDirection.TO, CutDirection.FROM


class FaultyLink:
    """The faults of a link, for both directions; may be changed while in use.

    Attributes:
        lag_ms: delay each way.
        cut_directions: the directions (to the simulated party, from it) in which all data is held until `heal`.
        reset_share: share of the calls that end with a reset of their connection.
    """

    __slots__ = ("lag_ms", "cut_directions", "reset_share", "_held_deliveries")

    def __init__(self) -> None:
        self.lag_ms = 0.0
        self.cut_directions: set[CutDirection] = set()
        self.reset_share = 0.0
        self._held_deliveries: list[Callable[[], Any]] = []

    def transmit(self, direction: CutDirection, deliver: Callable[[], Any]) -> None:
        """Call `deliver` when its data arrives: at once, after the delay, or when the link is healed."""
        if direction in self.cut_directions:
            self._held_deliveries.append(partial(self.transmit, direction, deliver))
        elif self.lag_ms:
            asyncio.get_running_loop().call_later(self.lag_ms / 1000.0, deliver)
        else:
            deliver()

    def heal(self) -> None:
        """End a cut and deliver what it held."""
        self.cut_directions.clear()
        held_deliveries, self._held_deliveries = self._held_deliveries, []
        for deliver in held_deliveries:
            deliver()
