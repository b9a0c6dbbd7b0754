"""Heartbeats between control servers, and the replies to them.

`encode` and `decode` map the names here to the fields on the wire, which earlier releases read as well.
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
"""The type on the wire, as earlier releases have it."""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a process tells the others of itself.

    Attributes:
        sender: its description.
        receivers_version: the version of its list of receivers.
        body_digests: the configurations whose bodies it has.
    """

    sender: PeerDescription
    receivers_version: DirectoryVersion
    body_digests: tuple[str, ...] = ()

    def encode(self) -> Message:
        """The form on the wire."""
        return {
            "type": HEARTBEAT,
            "from": self.sender.encode(),
            "receivers": self.receivers_version,
            "held": list(self.body_digests),
        }

    @classmethod
    def decode(cls, message: Message) -> Heartbeat:
        """The heartbeat in a message. KeyError, TypeError or ValueError if it is none."""
        version = directory_version(message["receivers"])
        digests = digests_from_json(message.get("held", ()))
        return cls(PeerDescription.decode(message["from"]), version, digests)


@dataclass(frozen=True, slots=True)
class ChosenState:
    """A system state that is chosen, and a ballot that it was chosen under or before."""

    state: WireState
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """The reply to a heartbeat.

    Attributes:
        sender: the description of the process that replies.
        receivers_version: the version of its list of receivers.
        list_age_s: how long ago that list was read.
        accepted_version: of the newest value on the disk of its replica, chosen or not; earlier releases tell none.
        chosen: its newest chosen state, if the caller's is older.
        receivers: its list of receivers, if the caller's is older.
    """

    sender: PeerDescription
    receivers_version: DirectoryVersion
    list_age_s: float
    accepted_version: int | None = None
    chosen: ChosenState | None = None
    receivers: tuple[Receiver, ...] | None = None

    def encode(self) -> Message:
        """The form on the wire."""
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
        """The reply in a message. KeyError, TypeError or ValueError if it is none."""
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
