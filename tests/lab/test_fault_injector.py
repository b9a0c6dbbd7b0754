"""Fault injection: a second fault of a sender whose earlier fault has not ended yet."""

import asyncio
import random
from pathlib import Path
from types import SimpleNamespace

import pytest

from dewpin.lab.fleet.fault_injector import FaultInjector
from dewpin.lab.fleet.scenario import Fault, FaultKind, make_scenario


class ScriptedSender:
    """Records signals and starts of a sender's process; setting `ready` completes its start."""

    def __init__(self):
        self.number = 0
        self.state_folder = Path("unused")
        self.is_listed = True
        self.history = []
        self.ready = asyncio.Event()
        self.process = SimpleNamespace(wait=lambda: None)

    def send_signal(self, number):
        self.history.append("signal")

    async def start(self, _):
        self.history.append("starting")
        await self.ready.wait()
        self.history.append("ready")


def create_injector(sender):
    collector = SimpleNamespace(record_sender_event=lambda *_: None)
    clock = SimpleNamespace(now_ms=lambda: 0.0)
    scenario = make_scenario({"senders": {"count": 1}})
    return FaultInjector(scenario, None, collector, clock, [sender], sender.start, random.Random(1))


def fault(kind):
    return Fault(kind=kind, at_seconds=0.0, senders=1.0, seconds=0.001)


@pytest.mark.parametrize("first", [FaultKind.KILL, FaultKind.TERM])
@pytest.mark.parametrize("second", [FaultKind.KILL, FaultKind.TERM])
def test_starting_sender_is_only_ended_again_once_it_is_ready(first, second):
    async def scenario():
        sender = ScriptedSender()
        injector = create_injector(sender)
        faults = [asyncio.ensure_future(injector.inject(fault(kind))) for kind in (first, second)]
        while "starting" not in sender.history:
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.01)
        assert sender.history == ["signal", "starting"]
        sender.ready.set()
        await asyncio.gather(*faults)
        return sender.history

    assert asyncio.run(scenario()) == ["signal", "starting", "ready"] * 2
