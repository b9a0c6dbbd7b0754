"""Timing of short calls, and measurements in a separate process."""

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
    """Return the mean processor time of a call in microseconds, of all threads; repeats it for about `seconds`."""
    call()
    end_s = time.perf_counter() + seconds
    calls = 0
    processor_start_s = time.process_time()
    while time.perf_counter() < end_s:
        call()
        calls += 1
    return (time.process_time() - processor_start_s) * MICROSECONDS / max(calls, 1)


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def in_fresh_process(function: Callable[P, R], *args: P.args, **kwargs: P.kwargs) -> R:
    """Return the result of a module-level function that is run in a new interpreter process."""
    with ProcessPoolExecutor(1, multiprocessing.get_context("spawn")) as pool:
        return pool.submit(function, *args, **kwargs).result()


def free_port() -> int:
    """Return an unused TCP port of the loopback address."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return int(listener.getsockname()[1])
