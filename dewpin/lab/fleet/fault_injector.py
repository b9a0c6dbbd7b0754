"""Fault injection: the effects of each kind of fault on senders, receivers, links and discovery, and their end."""

import asyncio
import random
import shutil
import signal
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager
from typing import TypeVar

from .environment import Environment
from .faulty_link import FROM, TO, FaultyLink
from .load_clock import LoadClock
from .receiver_model import FULLY_WARM_SINCE_MS, ReceiverStatus
from .receivers import Receiver, ReceiverPhase
from .records import SenderEvent
from .result_collector import ResultCollector
from .scenario import CutDirection, Fault, FaultKind, Scenario
from .sender_process import SenderProcess

DRAIN_SECONDS = 1.0  # from phase LEAVING to LEFT

TargetT = TypeVar("TargetT")
StartSender = Callable[[SenderProcess], Awaitable[None]]


class FaultInjector:
    """Injects faults."""

    def __init__(
        self,
        scenario: Scenario,
        environment: Environment,
        collector: ResultCollector,
        clock: LoadClock,
        senders: Sequence[SenderProcess],
        start_sender: StartSender,
        random_source: random.Random,
    ) -> None:
        """Create an injector; `start_sender` starts a sender's process and waits until it is ready."""
        self._discovery_delay_seconds = scenario.senders.discovery_delay_ms / 1000.0
        self._environment = environment
        self._collector = collector
        self._clock = clock
        self._senders = senders
        self._start_sender = start_sender
        self._random = random_source
        self._process_locks = {sender.number: asyncio.Lock() for sender in senders}

    async def inject(self, fault: Fault) -> None:
        """Inject a fault, and end it after its duration."""
        senders = self._sample_share(self._senders, fault.senders)
        if fault.kind in (FaultKind.KILL, FaultKind.TERM):
            await asyncio.gather(*(self._end_process(sender, fault) for sender in senders))
        elif fault.kind == FaultKind.STOP:
            await self._suspend(senders, fault.seconds)
        elif fault.kind == FaultKind.JOIN:
            await self._add_receivers(max(1, round(fault.times)))
        elif fault.kind == FaultKind.REFUSE:
            await self._reject_list_requests(fault.seconds)
        elif fault.kind == FaultKind.LEAVE:
            await self._remove_receivers(self._choose_receivers(fault))
        else:
            receivers = self._choose_receivers(fault)
            await self._fail_receivers(fault, receivers, self._links_between(senders, receivers))

    # -- selection of targets -----------------------------------------------------------------------------------------

    def _sample_share(self, targets: Sequence[TargetT], share: float) -> list[TargetT]:
        if not share:
            return []
        return self._random.sample(targets, min(len(targets), max(1, round(share * len(targets)))))

    def _choose_receivers(self, fault: Fault) -> list[Receiver]:
        active = self._environment.receivers.active()
        if fault.zone:
            return [receiver for receiver in active if receiver.zone == fault.zone]
        if fault.destinations:
            destinations = range(len(self._environment.receivers.quotas))
            chosen = self._sample_share(destinations, fault.destinations)
            return [receiver for receiver in active if receiver.destination in chosen]
        return self._sample_share(active, fault.receivers)

    def _links_between(self, senders: list[SenderProcess], receivers: list[Receiver]) -> list[FaultyLink]:
        """Return the links between these parties; an empty list stands for all senders or receivers."""
        all_receivers = self._environment.receivers
        groups = sorted({all_receivers.group_of(sender.number) for sender in senders or self._senders})
        return [receiver.links[group] for receiver in receivers or all_receivers.receivers for group in groups]

    # -- senders ------------------------------------------------------------------------------------------------------

    async def _suspend(self, senders: list[SenderProcess], seconds: float) -> None:
        for sender in senders:
            sender.send_signal(signal.SIGSTOP)
            self._record_event(sender, SenderEvent.KILLED)
        await asyncio.sleep(seconds)
        for sender in senders:
            sender.send_signal(signal.SIGCONT)
            self._record_event(sender, SenderEvent.READY)

    async def _end_process(self, sender: SenderProcess, fault: Fault) -> None:
        """End a sender's process, and start it again after the fault's duration.

        A sender that an earlier fault has ended is only ended again once it is ready: a starting process has no SIGTERM
        handler yet, and a second process started beside it would take over from it.
        """
        async with self._process_locks[sender.number]:
            await self._end_ready_process(sender, fault)

    async def _end_ready_process(self, sender: SenderProcess, fault: Fault) -> None:
        loop = asyncio.get_running_loop()
        sender.send_signal(signal.SIGTERM if fault.kind == FaultKind.TERM else signal.SIGKILL)
        self._record_event(sender, SenderEvent.KILLED)
        if not fault.keeps_folder or not fault.seconds:
            self._record_event(sender, SenderEvent.FOLDER_LOST)
        delisted_at = loop.time() + self._discovery_delay_seconds
        assert sender.process
        await asyncio.to_thread(sender.process.wait)
        restart_at = loop.time() + fault.seconds
        if not fault.seconds or restart_at > delisted_at:
            await asyncio.sleep(max(0.0, delisted_at - loop.time()))
            sender.is_listed = False
        if not fault.seconds:
            return
        await asyncio.sleep(max(0.0, restart_at - loop.time()))
        if not fault.keeps_folder:
            await asyncio.to_thread(shutil.rmtree, sender.state_folder, True)
        await self._start_sender(sender)

    def _record_event(self, sender: SenderProcess, event: SenderEvent) -> None:
        self._collector.record_sender_event(sender.number, self._clock.now_ms(), event)

    # -- the endpoint list --------------------------------------------------------------------------------------------

    async def _add_receivers(self, count_per_destination: int) -> None:
        receivers, agents = self._environment.receivers, self._environment.agents
        for destination in range(len(receivers.quotas)):
            for _ in range(count_per_destination):
                receiver = await receivers.add(destination, self._clock.now_ms())
                agents.update_phase(receiver, ReceiverPhase.ACTIVE)

    async def _remove_receivers(self, receivers: list[Receiver]) -> None:
        for receiver in receivers:
            self._environment.agents.update_phase(receiver, ReceiverPhase.LEAVING)
        await asyncio.sleep(DRAIN_SECONDS)
        for receiver in receivers:
            self._environment.agents.update_phase(receiver, ReceiverPhase.LEFT)

    async def _reject_list_requests(self, seconds: float) -> None:
        self._environment.agents.rejects_list_requests = True
        await asyncio.sleep(seconds)
        self._environment.agents.rejects_list_requests = False

    # -- receivers and links ------------------------------------------------------------------------------------------

    async def _fail_receivers(self, fault: Fault, receivers: list[Receiver], links: list[FaultyLink]) -> None:
        for receiver in receivers:
            self._fail_receiver(fault, receiver)
        with self._scaled_rate_limits(fault, receivers):
            for link in links:
                _fail_link(fault, link)
            await asyncio.sleep(fault.seconds)
            for receiver in receivers:
                await self._recover_receiver(fault, receiver)
        for link in links:
            link.lag_ms = link.reset_share = 0.0
            link.heal()

    def _fail_receiver(self, fault: Fault, receiver: Receiver) -> None:
        if fault.kind in (FaultKind.DOWN, FaultKind.COLD):
            receiver.model.fail(ReceiverStatus.DOWN)
            self._environment.receivers.close_ports(receiver)
        elif fault.kind == FaultKind.HANG:
            receiver.model.fail(ReceiverStatus.HANGING)
        elif fault.kind == FaultKind.SLOW:
            receiver.model.slowdown = fault.times

    async def _recover_receiver(self, fault: Fault, receiver: Receiver) -> None:
        if fault.kind in (FaultKind.DOWN, FaultKind.COLD, FaultKind.HANG):
            is_warm = fault.kind == FaultKind.DOWN
            receiver.model.recover(FULLY_WARM_SINCE_MS if is_warm else self._clock.now_ms())
            if fault.kind != FaultKind.HANG:
                await self._environment.receivers.open_ports(receiver)
        receiver.model.slowdown = 1.0

    @contextmanager
    def _scaled_rate_limits(self, fault: Fault, receivers: list[Receiver]) -> Iterator[None]:
        destinations = {receiver.destination for receiver in receivers} if fault.kind == FaultKind.LIMIT else set()
        quotas = [self._environment.receivers.quotas[destination] for destination in destinations]
        for quota in quotas:
            quota.rate_limit *= fault.times
        yield
        for quota in quotas:
            quota.rate_limit /= fault.times


def _fail_link(fault: Fault, link: FaultyLink) -> None:
    if fault.kind == FaultKind.CUT:
        link.cut_directions |= {TO, FROM} if fault.direction == CutDirection.BOTH else {fault.direction}
    elif fault.kind == FaultKind.RESET:
        link.reset_share = fault.share
    elif fault.kind == FaultKind.LAG:
        link.lag_ms = fault.lag_ms
