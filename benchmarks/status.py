"""What a question at the control socket costs a sender that knows many destinations.

    .venv/bin/python benchmarks/status.py

It builds the facts for a made-up sender in one process and prints the whole time and the longest stretch in which
nothing else had its turn. It opens no socket and judges nothing.
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


async def once(destinations, told):
    facade = Facade(SETTINGS, 1)
    facade.endpoints.update(
        [
            (b"r%d" % at, at, model.ReceiverState.READY, ("127.0.0.1", 9000), None, None, 1.0)
            for at in range(destinations)
        ],
        True,
    )
    for at in range(destinations):
        facade.add_message(MessageRecord(b"m%d" % at, b"status", b"", b"", b"%d" % at, b"", b"", 0.0, 16000.0), 0.0)
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
    stretches, began = [], time.perf_counter()

    async def pause():
        nonlocal began
        stretches.append(time.perf_counter() - began)
        await asyncio.sleep(0)
        began = time.perf_counter()

    start = began
    await collect_status(application, told, pause)
    stretches.append(time.perf_counter() - began)
    return (time.perf_counter() - start) * 1000.0, max(stretches) * 1000.0


@click.command()
@click.option("--told", default=50, show_default=True, help="Destinations told of.")
def main(told):
    click.echo(f"{'destinations':>12} {'whole ms':>9} {'longest ms':>10}")
    for destinations in (10, 100, 1000, 10_000):
        whole, longest = min(asyncio.run(once(destinations, told)) for _ in range(5))
        click.echo(f"{destinations:12} {whole:9.2f} {longest:10.2f}")


if __name__ == "__main__":
    main()
