"""Heartbeats between the processes of the control plane: who is there, and what one of them knows and another lacks."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from dewpin.cluster.receivers import DirectoryVersion
from dewpin.cluster.rpc import Message, RpcClient, RpcError
from dewpin.cluster.running_tasks import forget_current_task
from dewpin.controlplane.membership.heartbeat_messages import ChosenState, Heartbeat, HeartbeatAnswer
from dewpin.controlplane.membership.majority_contact import RegisterConfirmation
from dewpin.controlplane.membership.peers import Peer, PeerRecord, PeerTable
from dewpin.controlplane.platform_list_reader import ListReader
from dewpin.controlplane.register.register import SystemRegister

log = logging.getLogger(__name__)

HEARTBEAT_PERIOD_S = 0.25
HEARTBEAT_TIMEOUT_S = 0.6
FORGET_ADDRESS_AFTER_S = 20.0


@dataclass(frozen=True)
class LocalProcess:
    """What the heartbeats tell of this process, read anew for each: its record, its seeds' addresses."""

    record: Callable[[], PeerRecord]
    seed_addresses: Callable[[], list[str]]


class HeartbeatExchange:
    """Sends this process's heartbeats and answers those of the others."""

    def __init__(
        self,
        own: LocalProcess,
        register: SystemRegister,
        confirmation: RegisterConfirmation,
        receivers: ListReader,
        client: RpcClient,
        clock: Callable[[], float],
        on_receivers: Callable[[], None],
    ) -> None:
        self.peers = PeerTable()
        self._own = own
        self._register = register
        self._confirmation = confirmation
        self._receivers = receivers
        self._client = client
        self._clock = clock
        self._on_receivers = on_receivers
        self._calls: set[asyncio.Task[None]] = set()

    def send_to_all(self) -> None:
        """Sends a heartbeat to all others now; whoever is behind asks for what it lacks."""
        self._confirmation.update()
        for address in self._addresses():
            self._begin_call(address)

    async def stop(self) -> None:
        """Ends the calls under way."""
        calls = list(self._calls)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    async def handle(self, message: Message) -> Message:
        """Answers another process's heartbeat."""
        heartbeat = Heartbeat.decode(message)
        peer = self.peers.hear(heartbeat.sender, self._clock())
        if self._is_behind(peer, heartbeat.receivers_version):
            self._begin_call(peer.address)
        return self._answer(peer, heartbeat).encode()

    def _begin_call(self, address: str) -> None:
        self._calls.add(asyncio.ensure_future(self._call(address)))

    def _addresses(self) -> set[str]:
        addresses = set(self._own.seed_addresses())
        now_s = self._clock()
        peers = self.peers.peers.values()
        addresses |= {peer.address for peer in peers if peer.silent_s(now_s) < FORGET_ADDRESS_AFTER_S}
        state = self._register.newest
        if state is not None:
            addresses.update(state["members"].values())
            addresses.update(state["former_members"].values())
            addresses.update(state["stores"]["stable"].values())
            addresses.update((state["stores"]["next"] or {}).values())
        return addresses - {self._register.address}

    async def _call(self, address: str) -> None:
        heartbeat = Heartbeat(self._own.record(), self._receivers.directory.version, self._register.held_bodies())
        asked_s = self._clock()
        try:
            answer = await self._client.call(address, heartbeat.encode(), HEARTBEAT_TIMEOUT_S)
            await self._take(HeartbeatAnswer.decode(answer), asked_s, address)
        except (RpcError, KeyError, TypeError, ValueError) as fault:
            log.debug("heartbeat.failed", extra={"address": address, "why": repr(fault)})
        finally:
            forget_current_task(self._calls)

    def _answer(self, peer: Peer, heartbeat: Heartbeat) -> HeartbeatAnswer:
        directory, state = self._receivers.directory, self._register.chosen
        chosen = None
        if state is not None and state["version"] > peer.version:
            chosen = ChosenState(self._register.to_wire(state, heartbeat.held), self._register.chosen_ballot)
        has_newer_list = directory.version > heartbeat.receivers_version
        return HeartbeatAnswer(
            sender=self._own.record(),
            receivers_version=directory.version,
            list_age_s=self._receivers.age_s(),
            accepted_version=self._register.durable_version,
            chosen=chosen,
            receivers=tuple(directory.receivers.values()) if has_newer_list else None,
        )

    def _is_behind(self, peer: Peer, receivers_version: DirectoryVersion) -> bool:
        state = self._register.chosen
        version = state["version"] if state is not None else -1
        return peer.version > version or receivers_version > self._receivers.directory.version

    async def _take(self, answer: HeartbeatAnswer, asked_s: float, address: str) -> None:
        """Takes an answer. The age that it tells counts from when it was asked: counted from its arrival, two processes
        that tell each other would make their lists younger by the time that their answers travel, again and again.
        The state comes last: its body may have to be fetched."""
        peer = self.peers.hear(answer.sender, self._clock())
        self._confirmation.answered(peer.id, asked_s, answer.accepted_version)
        version, read_s = answer.receivers_version, asked_s - answer.list_age_s
        if answer.receivers is not None and self._receivers.take_copy(version, answer.receivers, read_s):
            self._on_receivers()
        self._receivers.note_read(version, read_s)
        if answer.chosen is not None:
            await self._register.take(answer.chosen.ballot, answer.chosen.state, address)
