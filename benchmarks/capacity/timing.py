"""Timing of short calls, and measuring in a process of its own."""

from __future__ import annotations

import multiprocessing
import resource
import socket
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import ParamSpec, TypeVar

P = ParamSpec("P")
R = TypeVar("R")

MICROSECONDS = 1e6
PAGE_BYTES = resource.getpagesize()


def processor_us_per_call(call: Callable[[], object], seconds: float) -> float:
    """Processor microseconds (this process's, all threads) of one call, repeated for about the given time."""
    call()
    end = time.perf_counter() + seconds
    calls = 0
    start = time.process_time()
    while time.perf_counter() < end:
        call()
        calls += 1
    return (time.process_time() - start) * MICROSECONDS / max(calls, 1)


def resident_bytes() -> int:
    """Resident memory of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def in_fresh_process(function: Callable[P, R], *args: P.args, **kwargs: P.kwargs) -> R:
    """The result of a module-level function, run in a new interpreter that ends with it."""
    with ProcessPoolExecutor(1, multiprocessing.get_context("spawn")) as pool:
        return pool.submit(function, *args, **kwargs).result()


def free_port() -> int:
    """A port of the loopback address that nobody listens at."""
    with socket.create_server(("127.0.0.1", 0)) as held:
        return int(held.getsockname()[1])
