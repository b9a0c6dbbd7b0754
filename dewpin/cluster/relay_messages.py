"""Messages of the relay tree, by which senders learn of changes: renewals of leases, and watches.

Every `decode` raises KeyError, TypeError or ValueError for a message that is not of its kind.
"""

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
"""A system state as JSON: `dewpin.controlplane.register.system_state`."""


@dataclass(frozen=True, slots=True)
class RenewRequest:
    """Requests a sender's lease, or its renewal.

    `sender`, `address`, `zone`: id of the sender, `ip:port` at which its children in the relay tree reach it, its zone.
    `receivers_version`: of the receivers that the sender knows.
    """

    sender: str
    address: str
    zone: str
    receivers_version: DirectoryVersion

    def encode(self) -> Message:
        """Return the message."""
        return {
            "type": LEASE_RENEW,
            "sender": self.sender,
            "address": self.address,
            "zone": self.zone,
            "receivers_version": self.receivers_version,
        }

    @classmethod
    def decode(cls, message: Message) -> RenewRequest:
        """Return the request of a message."""
        return cls(
            sender=str(message["sender"]),
            address=str(message["address"]),
            zone=str(message["zone"]),
            receivers_version=directory_version(message["receivers_version"]),
        )


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """Grants a lease.

    `duration_s`: of the lease, from the request on.
    `state_version`, `receivers_version`: what the control server that grants it knows.
    `list_age_s`: how long ago the platform's list was read that the receivers are from.
    `parents`: addresses of the sender's parents in the relay tree, the nearest first.
    `control_addresses`: addresses of the control servers; field `keepers` on the wire.
    `senders`: number of live senders.
    `knowledge_age_s`: how long ago a majority confirmed the control server's state as the newest, as of the reply;
        earlier releases omit it and count as current.
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
        """Return the message."""
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
        """Return the grant of a message."""
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
    """Requests what is newer than these versions.

    `state_version`, `receivers_version`: what the caller knows.
    `is_long_poll`: whether the reply is to wait until something is newer; field `wait` on the wire.
    `body_generation`: generation of the configuration whose body the caller has, 0 for none; field `held`. Earlier
        releases omit it: they don't know states without a body.
    """

    state_version: int
    receivers_version: DirectoryVersion
    is_long_poll: bool
    body_generation: int | None = None

    def encode(self) -> Message:
        """Return the message."""
        message: Message = {
            "type": RELAY_WATCH,
            "state_version": self.state_version,
            "receivers_version": self.receivers_version,
            "wait": self.is_long_poll,
        }
        if self.body_generation is not None:
            message["held"] = self.body_generation
        return message

    @classmethod
    def decode(cls, message: Message) -> WatchRequest:
        """Return the request of a message."""
        return cls(
            state_version=int(message["state_version"]),
            receivers_version=directory_version(message["receivers_version"]),
            is_long_poll=bool(message.get("wait", True)),
            body_generation=None if message.get("held") is None else int(message["held"]),
        )


@dataclass(frozen=True, slots=True)
class RelayUpdate:
    """The reply to a watch; its type on the wire is `relay.news`.

    `receivers_version`, `list_age_s`, `knowledge_age_s`: of the process that replies, as in `LeaseGrant`; earlier
        releases omit `knowledge_age_s` and confirm nothing.
    `state`: the system state if it is newer than the caller's, else None; without the body of its configuration if the
        caller has that or is to fetch it by pages.
    `receivers`: all receivers if they are newer than the caller's, else None.
    """

    receivers_version: DirectoryVersion
    list_age_s: float
    knowledge_age_s: float = math.inf
    state: StateJson | None = None
    receivers: tuple[Receiver, ...] | None = None

    def encode(self) -> Message:
        """Return the message."""
        message: Message = {
            "type": "relay.news",
            "receivers_version": self.receivers_version,
            "list_age_s": self.list_age_s,
            "knowledge_age_s": self.knowledge_age_s,
        }
        if self.state is not None:
            message["state"] = self.state
        if self.receivers is not None:
            message["receivers"] = [receiver.to_record() for receiver in self.receivers]
        return message

    @classmethod
    def decode(cls, message: Message) -> RelayUpdate:
        """Return the update of a message."""
        receivers = message.get("receivers")
        return cls(
            receivers_version=directory_version(message["receivers_version"]),
            list_age_s=float(message["list_age_s"]),
            knowledge_age_s=float(message.get("knowledge_age_s", math.inf)),
            state=message.get("state"),
            receivers=None if receivers is None else tuple(receiver_from_record(record) for record in receivers),
        )


def has_body(state: StateJson) -> bool:
    """Return whether the state has no configuration, or one with its body."""
    configuration = state.get("configuration")
    return configuration is None or "body" in configuration


def without_body(state: StateJson) -> StateJson:
    """Return the state without its configuration's body."""
    configuration = {name: field for name, field in state["configuration"].items() if name != "body"}
    return {**state, "configuration": configuration}


def generation_of(state: StateJson | None) -> int:
    """Return the generation of the state's configuration; 0 if there is none."""
    configuration = state.get("configuration") if state is not None else None
    return int(configuration["generation"]) if configuration is not None else 0


def directory_version(pair: object) -> DirectoryVersion:
    """Return the version of a directory of a message. Raises TypeError or ValueError if it is none."""
    counter, reader = cast(tuple[int, str], pair)
    return DirectoryVersion(int(counter), str(reader))


def rounded_up_s(age_s: float) -> float:
    """Return an age as messages hold it: rounded up to milliseconds, which keeps messages short."""
    return math.ceil(age_s * 1000) / 1000
