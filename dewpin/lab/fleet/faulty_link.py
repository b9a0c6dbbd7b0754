"""The link between one sender and another party, with its faults: bytes are held, late or lost with the connection."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any

from .scenario import CutDirection

TO, FROM = CutDirection.TO, CutDirection.FROM


class FaultyLink:
    """The faults of a link; one object for both directions, changed while it is in use.

    Attributes:
        lag_ms: delay each way.
        cut_directions: the directions (to our side, from it) in which nothing gets through until `heal`.
        reset_share: share of the calls whose connection is reset.
    """

    __slots__ = ("lag_ms", "cut_directions", "reset_share", "_held_steps")

    def __init__(self) -> None:
        self.lag_ms = 0.0
        self.cut_directions: set[CutDirection] = set()
        self.reset_share = 0.0
        self._held_steps: list[Callable[[], Any]] = []

    def carry(self, direction: CutDirection, step: Callable[[], Any]) -> None:
        """Call `step` once its bytes are over: at once, late, or when the link is healed."""
        if direction in self.cut_directions:
            self._held_steps.append(partial(self.carry, direction, step))
        elif self.lag_ms:
            asyncio.get_running_loop().call_later(self.lag_ms / 1000.0, step)
        else:
            step()

    def heal(self) -> None:
        """End a cut: what it held gets through now."""
        self.cut_directions.clear()
        held_steps, self._held_steps = self._held_steps, []
        for step in held_steps:
            step()
