"""Heartbeats between control processes, and their answers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import cast

from dewpin.cluster.receivers import DirectoryVersion, Receiver, receiver_from_record
from dewpin.cluster.relay_messages import directory_version
from dewpin.cluster.rpc import Message
from dewpin.consensus import Ballot
from dewpin.consensus.messages import ballot_from_json
from dewpin.controlplane.membership.peers import PeerRecord
from dewpin.controlplane.register.messages import WireState, digests

HEARTBEAT = "keeper.hello"
"""The type on the wire, as earlier releases have it."""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A process tells who it is, which list of receivers it holds, and the digests of the configurations' bodies."""

    sender: PeerRecord
    receivers_version: DirectoryVersion
    held: tuple[str, ...] = ()

    def encode(self) -> Message:
        """The form on the wire."""
        return {
            "type": HEARTBEAT,
            "from": self.sender,
            "receivers": self.receivers_version,
            "held": list(self.held),
        }

    @classmethod
    def decode(cls, message: Message) -> Heartbeat:
        """The heartbeat of a message. KeyError, TypeError or ValueError if it is none."""
        version = directory_version(message["receivers"])
        return cls(cast(PeerRecord, message["from"]), version, digests(message.get("held", ())))


@dataclass(frozen=True, slots=True)
class ChosenState:
    """A system state that is chosen, and a ballot that it was chosen under or before."""

    state: WireState
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class HeartbeatAnswer:
    """The other process's own record, and what the caller lacks: `chosen` and `receivers` are there if newer.

    `accepted_version`: of the newest value that its replica holds durably, chosen or not; earlier releases tell none.
    """

    sender: PeerRecord
    receivers_version: DirectoryVersion
    list_age_s: float
    accepted_version: int | None = None
    chosen: ChosenState | None = None
    receivers: tuple[Receiver, ...] | None = None

    def encode(self) -> Message:
        """The form on the wire."""
        message: Message = {
            "type": HEARTBEAT,
            "from": self.sender,
            "receivers_version": self.receivers_version,
            "list_age_s": self.list_age_s,
            "accepted_version": self.accepted_version,
        }
        if self.chosen is not None:
            message["state"] = self.chosen.state
            message["ballot"] = self.chosen.ballot
        if self.receivers is not None:
            message["receivers"] = [receiver.to_record() for receiver in self.receivers]
        return message

    @classmethod
    def decode(cls, message: Message) -> HeartbeatAnswer:
        """The answer of a message. KeyError, TypeError or ValueError if it is none."""
        chosen = None
        if "state" in message:
            chosen = ChosenState(message["state"], ballot_from_json(message["ballot"]))
        receivers, accepted = message.get("receivers"), message.get("accepted_version")
        return cls(
            sender=cast(PeerRecord, message["from"]),
            receivers_version=directory_version(message["receivers_version"]),
            list_age_s=float(message["list_age_s"]),
            accepted_version=None if accepted is None else int(accepted),
            chosen=chosen,
            receivers=None if receivers is None else tuple(receiver_from_record(record) for record in receivers),
        )
