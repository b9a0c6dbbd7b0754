"""The way between one sender and one other party, as the side that is ours sees it: bytes held, late or broken.

It owns what is wrong on a way and the timers of bytes that are late. It reads no byte.
"""
import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any


class Way:
    """What is wrong between two parties; one object for both directions, changed while it is in use.

    `lag`: ms each way; `held`: directions ("to" our side, "from" it) in which nothing gets through until `heal`;
    `resets`: the share of calls that break under way."""
    __slots__ = ("lag", "held", "resets", "waiting")

    def __init__(self) -> None:
        self.lag, self.held, self.resets = 0.0, set[str](), 0.0
        self.waiting: list[Callable[[], Any]] = []

    def carry(self, direction: str, step: Callable[[], Any]) -> None:
        """Does a step once its bytes are over: at once, late, or when the way is whole again."""
        if direction in self.held:
            self.waiting.append(partial(self.carry, direction, step))
        elif self.lag:
            asyncio.get_running_loop().call_later(self.lag / 1000.0, step)
        else:
            step()

    def heal(self) -> None:
        self.held.clear()
        waiting, self.waiting = self.waiting, []
        for step in waiting:
            step()
