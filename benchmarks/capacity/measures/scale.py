"""Series of the hollow run: control servers and senders as their number grows."""

from __future__ import annotations

from collections.abc import Callable
from functools import cache

from benchmarks.capacity.hollow import HollowResult, hollow_run
from benchmarks.capacity.series import Effort, Series

AGENT = "dewpin/dataplane/cluster_agent.py, dewpin/controlplane/control_server.py"
SENDERS = (30, 100, 200, 350)
SENDERS_OF_A_TRIAL = (5, 10, 20)
TRIAL_SECONDS = 0.1
CONTROL_SERVERS = 5
WINDOW_FACTOR = 12
CHANGES = 5
ROUTES = 50


@cache
def runs(effort: Effort) -> tuple[tuple[int, HollowResult], ...]:
    """One run at each number of senders, kept for all series of this process."""
    counts = SENDERS if effort.seconds > TRIAL_SECONDS else SENDERS_OF_A_TRIAL
    window_s = effort.seconds * WINDOW_FACTOR
    return tuple((count, hollow_run(count, CONTROL_SERVERS, window_s, CHANGES, ROUTES)) for count in counts)


def series(effort: Effort, name: str, title: str, y_name: str, unit: str, y: Callable[[HollowResult], float]) -> Series:
    """One figure of the runs, by the number of senders."""
    points = tuple((float(count), y(result)) for count, result in runs(effort))
    return Series(name, title, AGENT, "senders", y_name, unit, points)


def control_server_load(effort: Effort) -> Series:
    """Processor time of the busiest control server when nothing changes."""
    return series(
        effort,
        "hollow-control_server",
        f"hollow run, {CONTROL_SERVERS} control servers: the busiest one when nothing changes",
        "processor time a second",
        "µs/s",
        lambda result: result.control_server_us_per_s,
    )


def senders_load(effort: Effort) -> Series:
    """Processor time of all hollow senders when nothing changes; the slope is that of one."""
    return series(
        effort,
        "hollow-senders",
        f"hollow run, {CONTROL_SERVERS} control servers: all senders, in one process, when nothing changes",
        "processor time a second",
        "µs/s",
        lambda result: result.senders_us_per_s,
    )


def half_reached(effort: Effort) -> Series:
    """Time of a change until half of the senders have it."""
    return series(
        effort,
        "hollow-half",
        f"hollow run: a change of {ROUTES} routes at half of the senders, all in one process",
        "time after its order",
        "ms",
        lambda result: result.half_s * 1000,
    )


def all_reached(effort: Effort) -> Series:
    """Time of a change until all senders have it."""
    return series(
        effort,
        "hollow-all",
        f"hollow run: a change of {ROUTES} routes at all senders, all in one process",
        "time after its order",
        "ms",
        lambda result: result.all_s * 1000,
    )
