"""Measures the time of a status request at the control socket of a sender, by its number of destinations.

    .venv/bin/python benchmarks/status.py

Collects the status of a synthetic sender in one process. Prints the total time and the longest time without a pause, in
which no other task of the event loop could run. Opens no socket; does not check the results against limits.
"""

import asyncio
import time
from types import SimpleNamespace

import click

from dewpin.config.sections import Deployment
from dewpin.core import model
from dewpin.daemon.status import collect_status
from dewpin.relay.facade import Facade
from dewpin.relay.notice_barrier import NoticeBarrier
from dewpin.spool.records import MessageRecord

SETTINGS = {
    "Allowed": {"MaxAttempts": 6, "MaxOpen": 10**6},
    "FamilyInfo": {"CallSlots": 8},
    "FleetSize": 2,
    "Tick": 5.0,
    "Az": 0,
    "Rules": {"DrainGrace": 1000.0, "ColdFrom": 0.2, "WarmAfter": 9000.0, "FallMultiple": 2.0, "OverloadFor": 2000.0},
    "Services": [
        {"Name": "status", "Effect": "safe", "GoalTime": 2000.0, "Deadline": 16000.0, "Value": 1.0, "LateWorth": 0.4}
    ],
}


async def measure(destinations, listed_destinations):
    facade = Facade(SETTINGS, 1)
    facade.endpoints.update(
        [
            (b"r%d" % number, number, model.ReceiverState.READY, ("127.0.0.1", 9000), None, None, 1.0)
            for number in range(destinations)
        ],
        True,
    )
    for number in range(destinations):
        facade.add_message(
            MessageRecord(b"m%d" % number, b"status", b"", b"", b"%d" % number, b"", b"", 0.0, 16000.0), 0.0
        )
    application = SimpleNamespace(
        configuration=SimpleNamespace(deployment=Deployment(), module=SETTINGS),
        started_ms=0.0,
        relay=SimpleNamespace(
            facade=facade,
            clock=SimpleNamespace(now_ms=lambda: 0.0),
            is_draining=False,
            notices=SimpleNamespace(unacknowledged={}),
            notice_barrier=NoticeBarrier(),
        ),
        journal=SimpleNamespace(pending={}, size_bytes=0, live_bytes=0, capacity_bytes=1.0),
        server=SimpleNamespace(
            clients={},
            limits=SimpleNamespace(max_connections=1, max_buffered_bytes=1.0),
            connections=SimpleNamespace(buffered_bytes=0),
        ),
        pool=SimpleNamespace(connecting_calls=set(), idle_count=0, max_idle=1),
    )
    slices_s, slice_start_s = [], time.perf_counter()

    async def pause():
        nonlocal slice_start_s
        slices_s.append(time.perf_counter() - slice_start_s)
        await asyncio.sleep(0)
        slice_start_s = time.perf_counter()

    start_s = slice_start_s
    await collect_status(application, listed_destinations, pause)
    slices_s.append(time.perf_counter() - slice_start_s)
    return (time.perf_counter() - start_s) * 1000.0, max(slices_s) * 1000.0


@click.command()
@click.option("--told", default=50, show_default=True, help="Destinations listed.")
def main(told):
    click.echo(f"{'destinations':>12} {'total ms':>9} {'longest ms':>10}")
    for destinations in (10, 100, 1000, 10_000):
        total_ms, longest_ms = min(asyncio.run(measure(destinations, told)) for _ in range(5))
        click.echo(f"{destinations:12} {total_ms:9.2f} {longest_ms:10.2f}")


if __name__ == "__main__":
    main()
