"""Heartbeats between control servers and their replies.

`encode` and `decode` map attributes to wire fields, which are compatible with earlier releases.
"""

from __future__ import annotations

from dataclasses import dataclass

from dewpin.cluster.receivers import DirectoryVersion, Receiver, receiver_from_record
from dewpin.cluster.relay_messages import directory_version
from dewpin.cluster.rpc import Message
from dewpin.consensus import Ballot
from dewpin.consensus.messages import ballot_from_json
from dewpin.controlplane.membership.peers import PeerDescription
from dewpin.controlplane.register.messages import WireState, digests_from_json

HEARTBEAT = "keeper.hello"
"""The message type on the wire, unchanged from earlier releases."""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """The status that a process reports to its peers.

    Attributes:
        sender: the description of the sending process.
        receivers_version: the version of its receiver list.
        body_digests: digests of the configuration bodies that it has.
    """

    sender: PeerDescription
    receivers_version: DirectoryVersion
    body_digests: tuple[str, ...] = ()

    def encode(self) -> Message:
        """Encode the message for the wire."""
        return {
            "type": HEARTBEAT,
            "from": self.sender.encode(),
            "receivers": self.receivers_version,
            "held": list(self.body_digests),
        }

    @classmethod
    def decode(cls, message: Message) -> Heartbeat:
        """Decode a heartbeat. Raises KeyError, TypeError or ValueError if the message is malformed."""
        version = directory_version(message["receivers"])
        digests = digests_from_json(message.get("held", ()))
        return cls(PeerDescription.decode(message["from"]), version, digests)


@dataclass(frozen=True, slots=True)
class ChosenState:
    """A chosen system state and a ballot under which it was chosen, or a smaller one."""

    state: WireState
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """The reply to a heartbeat.

    Attributes:
        sender: the description of the replying process.
        receivers_version: the version of its receiver list.
        list_age_s: the time since that list was read.
        accepted_version: the version of the newest value on its replica's disk, chosen or not; None from earlier
            releases.
        chosen: its newest chosen state, if newer than the caller's.
        receivers: its receiver list, if newer than the caller's.
    """

    sender: PeerDescription
    receivers_version: DirectoryVersion
    list_age_s: float
    accepted_version: int | None = None
    chosen: ChosenState | None = None
    receivers: tuple[Receiver, ...] | None = None

    def encode(self) -> Message:
        """Encode the message for the wire."""
        message: Message = {
            "type": HEARTBEAT,
            "from": self.sender.encode(),
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
    def decode(cls, message: Message) -> HeartbeatReply:
        """Decode a reply. Raises KeyError, TypeError or ValueError if the message is malformed."""
        chosen = None
        if "state" in message:
            chosen = ChosenState(message["state"], ballot_from_json(message["ballot"]))
        receivers, accepted = message.get("receivers"), message.get("accepted_version")
        return cls(
            sender=PeerDescription.decode(message["from"]),
            receivers_version=directory_version(message["receivers_version"]),
            list_age_s=float(message["list_age_s"]),
            accepted_version=None if accepted is None else int(accepted),
            chosen=chosen,
            receivers=None if receivers is None else tuple(receiver_from_record(record) for record in receivers),
        )
