"""Heartbeats between control servers: liveness and the exchange of newer states and receiver lists."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from dewpin.cluster.receivers import DirectoryVersion
from dewpin.cluster.rpc import Message, RpcClient, RpcError
from dewpin.cluster.running_tasks import forget_current_task
from dewpin.controlplane.membership.heartbeat_messages import ChosenState, Heartbeat, HeartbeatReply
from dewpin.controlplane.membership.local_peer import LocalPeer
from dewpin.controlplane.membership.majority_contact import StateFreshness
from dewpin.controlplane.membership.peers import Peer, PeerTable
from dewpin.controlplane.platform_list_reader import PlatformListReader
from dewpin.controlplane.register.register import SystemRegister

log = logging.getLogger(__name__)

HEARTBEAT_PERIOD_S = 0.25
HEARTBEAT_TIMEOUT_S = 0.6
FORGET_ADDRESS_AFTER_S = 20.0
"""Peers silent for longer than this get no heartbeats, unless they are seeds, members or stores."""


class HeartbeatExchange:
    """Sends this process's heartbeats and replies to those of peers.

    `peers` contains all peers heard from. `on_receivers` is called when a reply contains a newer receiver list.
    """

    def __init__(
        self,
        local_peer: LocalPeer,
        register: SystemRegister,
        freshness: StateFreshness,
        list_reader: PlatformListReader,
        client: RpcClient,
        clock: Callable[[], float],
        on_receivers: Callable[[], None],
    ) -> None:
        self.peers = PeerTable()
        self._local_peer = local_peer
        self._register = register
        self._freshness = freshness
        self._list_reader = list_reader
        self._client = client
        self._clock = clock
        self._on_receivers = on_receivers
        self._calls: set[asyncio.Task[None]] = set()

    def send_to_all(self) -> None:
        """Send a heartbeat to all peers now. A peer that lacks newer data requests it with a heartbeat of its own."""
        self._freshness.update()
        for address in self._addresses():
            self._start_call(address)

    async def stop(self) -> None:
        """Cancel the calls in flight."""
        calls = list(self._calls)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)

    async def handle(self, message: Message) -> Message:
        """Reply to a heartbeat from a peer."""
        heartbeat = Heartbeat.decode(message)
        peer = self.peers.record_received(heartbeat.sender, self._clock())
        if self._is_behind(peer, heartbeat.receivers_version):
            self._start_call(peer.address)
        return self._reply(peer, heartbeat).encode()

    def _start_call(self, address: str) -> None:
        self._calls.add(asyncio.ensure_future(self._call(address)))

    def _addresses(self) -> set[str]:
        """Return the heartbeat recipients: seeds, members, stores and recently heard peers."""
        addresses = set(self._local_peer.seed_addresses())
        now_s = self._clock()
        peers = self.peers.peers.values()
        addresses |= {peer.address for peer in peers if peer.since_last_received_s(now_s) < FORGET_ADDRESS_AFTER_S}
        state = self._register.newest
        if state is not None:
            addresses.update(state["members"].values())
            addresses.update(state["former_members"].values())
            addresses.update(state["stores"]["stable"].values())
            addresses.update((state["stores"]["next"] or {}).values())
        return addresses - {self._register.address}

    async def _call(self, address: str) -> None:
        heartbeat = Heartbeat(
            self._local_peer.description(), self._list_reader.directory.version, self._register.body_digests()
        )
        sent_at_s = self._clock()
        try:
            reply = await self._client.call(address, heartbeat.encode(), HEARTBEAT_TIMEOUT_S)
            await self._process_reply(HeartbeatReply.decode(reply), sent_at_s, address)
        except (RpcError, KeyError, TypeError, ValueError) as error:
            log.debug("heartbeat.failed", extra={"address": address, "why": repr(error)})
        finally:
            forget_current_task(self._calls)

    def _reply(self, peer: Peer, heartbeat: Heartbeat) -> HeartbeatReply:
        directory, state = self._list_reader.directory, self._register.chosen
        chosen = None
        if state is not None and state["version"] > peer.version:
            wire_state = self._register.to_wire(state, heartbeat.body_digests)
            chosen = ChosenState(wire_state, self._register.chosen_ballot)
        has_newer_list = directory.version > heartbeat.receivers_version
        return HeartbeatReply(
            sender=self._local_peer.description(),
            receivers_version=directory.version,
            list_age_s=self._list_reader.age_s(),
            accepted_version=self._register.durable_version,
            chosen=chosen,
            receivers=tuple(directory.receivers.values()) if has_newer_list else None,
        )

    def _is_behind(self, peer: Peer, receivers_version: DirectoryVersion) -> bool:
        """Return whether the peer has a newer state or receiver list than this process."""
        state = self._register.chosen
        version = state["version"] if state is not None else -1
        return peer.version > version or receivers_version > self._list_reader.directory.version

    async def _process_reply(self, reply: HeartbeatReply, sent_at_s: float, address: str) -> None:
        """Adopt newer data from a reply. The state is adopted last, since its body may have to be fetched.

        The age of the receiver list is measured from when the heartbeat was sent. If it were measured from the arrival
        of the reply, each exchange between two processes would make the list appear younger by the network latency.
        """
        peer = self.peers.record_received(reply.sender, self._clock())
        self._freshness.record_acknowledgement(peer.id, sent_at_s, reply.accepted_version)
        version, read_at_s = reply.receivers_version, sent_at_s - reply.list_age_s
        if reply.receivers is not None and self._list_reader.apply_update(version, reply.receivers, read_at_s):
            self._on_receivers()
        self._list_reader.record_read_time(version, read_at_s)
        if reply.chosen is not None:
            await self._register.adopt_chosen(reply.chosen.ballot, reply.chosen.state, address)
