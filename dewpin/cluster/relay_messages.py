"""Messages between senders and those that tell them what is new: renewals of leases, and watches of the relay tree."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any, cast

from .receivers import DirectoryVersion, Receiver, receiver_from_record
from .rpc import Message

LEASE_RENEW = "lease.renew"
LEASE_RELEASE = "lease.release"
RELAY_WATCH = "relay.watch"

StateJson = dict[str, Any]


@dataclass(frozen=True, slots=True)
class RenewRequest:
    """A sender asks for its lease. `receivers_version`: of the list of receivers that it holds."""

    sender: str
    address: str
    zone: str
    receivers_version: DirectoryVersion

    def encode(self) -> Message:
        """The form on the wire."""
        return {
            "type": LEASE_RENEW,
            "sender": self.sender,
            "address": self.address,
            "zone": self.zone,
            "receivers_version": self.receivers_version,
        }

    @classmethod
    def decode(cls, message: Message) -> RenewRequest:
        """The request of a message. KeyError, TypeError or ValueError if it is none."""
        return cls(
            sender=str(message["sender"]),
            address=str(message["address"]),
            zone=str(message["zone"]),
            receivers_version=directory_version(message["receivers_version"]),
        )


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """A lease for `duration_s`, with the versions that the grantor holds, the sender's parents in the relay tree (the
    nearest first), the addresses of the control processes and the number of live senders.

    `knowledge_age_s`: how long ago a majority has confirmed the grantor's state as the newest, as of the answer;
    earlier releases tell none and count as current.
    """

    duration_s: float
    state_version: int
    receivers_version: DirectoryVersion
    list_age_s: float
    parents: tuple[str, ...]
    control_addresses: tuple[str, ...]
    senders: int
    knowledge_age_s: float = 0.0

    def encode(self) -> Message:
        """The form on the wire."""
        return {
            "type": "lease.granted",
            "duration_s": self.duration_s,
            "state_version": self.state_version,
            "receivers_version": self.receivers_version,
            "list_age_s": self.list_age_s,
            "parents": self.parents,
            "keepers": self.control_addresses,  # the key of earlier releases
            "senders": self.senders,
            "knowledge_age_s": self.knowledge_age_s,
        }

    @classmethod
    def decode(cls, message: Message) -> LeaseGrant:
        """The grant of a message. KeyError, TypeError or ValueError if it is none."""
        return cls(
            duration_s=float(message["duration_s"]),
            state_version=int(message["state_version"]),
            receivers_version=directory_version(message["receivers_version"]),
            list_age_s=float(message["list_age_s"]),
            parents=tuple(str(parent) for parent in message["parents"]),
            control_addresses=tuple(str(address) for address in message["keepers"]),
            senders=int(message["senders"]),
            knowledge_age_s=float(message.get("knowledge_age_s", 0.0)),
        )


@dataclass(frozen=True, slots=True)
class WatchRequest:
    """Asks for what is newer than these versions. `waits`: without news, the answer comes with the next one.

    `held_generation`: of the configuration whose body the caller holds, 0 for none. Earlier releases tell none: they
    don't know states without a body."""

    state_version: int
    receivers_version: DirectoryVersion
    waits: bool
    held_generation: int | None = None

    def encode(self) -> Message:
        """The form on the wire."""
        message: Message = {
            "type": RELAY_WATCH,
            "state_version": self.state_version,
            "receivers_version": self.receivers_version,
            "wait": self.waits,
        }
        if self.held_generation is not None:
            message["held"] = self.held_generation
        return message

    @classmethod
    def decode(cls, message: Message) -> WatchRequest:
        """The request of a message. KeyError, TypeError or ValueError if it is none."""
        return cls(
            state_version=int(message["state_version"]),
            receivers_version=directory_version(message["receivers_version"]),
            waits=bool(message.get("wait", True)),
            held_generation=None if message.get("held") is None else int(message["held"]),
        )


@dataclass(frozen=True, slots=True)
class RelayUpdate:
    """The answer to a watch. `state` and `receivers` are there if newer than asked for, the state without its
    configuration's body where the caller has that or is to fetch it by pages; `receivers_version`,
    `list_age_s` and `knowledge_age_s` (as in a grant) are those of whoever answers; earlier releases don't tell the
    latter, and confirm nothing."""

    receivers_version: DirectoryVersion
    list_age_s: float
    knowledge_age_s: float = math.inf
    state: StateJson | None = None
    receivers: tuple[Receiver, ...] | None = None

    def encode(self) -> Message:
        """The form on the wire."""
        message: Message = {
            "type": "relay.news",
            "receivers_version": self.receivers_version,
            "list_age_s": self.list_age_s,
            "knowledge_age_s": self.knowledge_age_s,
        }
        if self.state is not None:
            message["state"] = self.state
        if self.receivers is not None:
            message["receivers"] = [receiver.record() for receiver in self.receivers]
        return message

    @classmethod
    def decode(cls, message: Message) -> RelayUpdate:
        """The news of a message. KeyError, TypeError or ValueError if it is none."""
        receivers = message.get("receivers")
        return cls(
            receivers_version=directory_version(message["receivers_version"]),
            list_age_s=float(message["list_age_s"]),
            knowledge_age_s=float(message.get("knowledge_age_s", math.inf)),
            state=message.get("state"),
            receivers=None if receivers is None else tuple(receiver_from_record(record) for record in receivers),
        )


def has_body(state: StateJson) -> bool:
    """Whether the state's configuration, if there is one, is there with its body."""
    configuration = state.get("configuration")
    return configuration is None or "body" in configuration


def without_body(state: StateJson) -> StateJson:
    """The state without its configuration's body."""
    configuration = {name: field for name, field in state["configuration"].items() if name != "body"}
    return {**state, "configuration": configuration}


def generation_of(state: StateJson | None) -> int:
    """The generation of the state's configuration; 0 where there is none."""
    configuration = state.get("configuration") if state is not None else None
    return int(configuration["generation"]) if configuration is not None else 0


def directory_version(pair: object) -> DirectoryVersion:
    """The version of a directory from its form on the wire. TypeError or ValueError if it is none."""
    counter, reader = cast(tuple[int, str], pair)
    return DirectoryVersion(int(counter), str(reader))


def rounded_up_s(age_s: float) -> float:
    """An age as it is told: in whole milliseconds, which keeps messages short, and never too young."""
    return math.ceil(age_s * 1000) / 1000
