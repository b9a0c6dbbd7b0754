"""Awaiting with a time limit."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from dewpin.dataplane.programs.errors import StoreUnavailableError

Result = TypeVar("Result")


async def run_with_timeout(work: Coroutine[Any, Any, Result], timeout_s: float) -> Result:
    """Return what `work` returns; it is cancelled and StoreUnavailableError raised after `timeout_s`."""
    try:
        async with asyncio.timeout(timeout_s):
            return await work
    except TimeoutError:
        raise StoreUnavailableError(f"no majority of the replicas answered within {timeout_s:.3f} s") from None
