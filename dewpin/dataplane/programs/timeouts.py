"""Time-outs of store operations."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from dewpin.dataplane.programs.errors import StoreUnavailableError

Result = TypeVar("Result")


async def run_with_timeout(operation: Coroutine[Any, Any, Result], timeout_s: float) -> Result:
    """Await `operation`; cancel it and raise StoreUnavailableError after `timeout_s`."""
    try:
        async with asyncio.timeout(timeout_s):
            return await operation
    except TimeoutError:
        raise StoreUnavailableError(f"no majority of the replicas answered within {timeout_s:.3f} s") from None
