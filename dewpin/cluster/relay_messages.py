"""Messages of the relay tree, which distributes state changes to senders: lease renewals and watches.

Every `decode` raises KeyError, TypeError or ValueError if the message is invalid.
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
"""A system state as a JSON object; see `dewpin.controlplane.register.system_state`."""


@dataclass(frozen=True, slots=True)
class RenewRequest:
    """Requests or renews the lease of a sender.

    `sender`, `address`, `zone`: id of the sender, `ip:port` at which its children in the relay tree reach it, and its
        zone.
    `receivers_version`: version of the sender's receiver directory.
    """

    sender: str
    address: str
    zone: str
    receivers_version: DirectoryVersion

    def encode(self) -> Message:
        """Return the message to send."""
        return {
            "type": LEASE_RENEW,
            "sender": self.sender,
            "address": self.address,
            "zone": self.zone,
            "receivers_version": self.receivers_version,
        }

    @classmethod
    def decode(cls, message: Message) -> RenewRequest:
        """Decode a request."""
        return cls(
            sender=str(message["sender"]),
            address=str(message["address"]),
            zone=str(message["zone"]),
            receivers_version=directory_version(message["receivers_version"]),
        )


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """Grants a lease.

    `duration_s`: duration of the lease, counted from the request.
    `state_version`, `receivers_version`: versions of the system state and of the receivers at the control server that
        grants the lease.
    `list_age_s`: time since the platform's list that the receivers come from was read.
    `parents`: addresses of the sender's parents in the relay tree, the nearest first.
    `control_addresses`: addresses of the control servers; field `keepers` on the wire.
    `senders`: number of live senders.
    `knowledge_age_s`: time since a majority confirmed the control server's state as the newest, when it replied;
        earlier releases omit it and are treated as current.
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
        """Return the message to send."""
        return {
            "type": "lease.granted",
            "duration_s": self.duration_s,
            "state_version": self.state_version,
            "receivers_version": self.receivers_version,
            "list_age_s": self.list_age_s,
            "parents": self.parents,
            "keepers": self.control_addresses,  # the key that earlier releases use
            "senders": self.senders,
            "knowledge_age_s": self.knowledge_age_s,
        }

    @classmethod
    def decode(cls, message: Message) -> LeaseGrant:
        """Decode a grant."""
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
    """Requests the state and the receivers if they are newer than the caller's.

    `state_version`, `receivers_version`: the caller's versions.
    `is_long_poll`: whether to delay the reply until there is an update; field `wait` on the wire.
    `body_generation`: generation of the configuration whose body the caller has, 0 for none; field `held` on the wire.
        Earlier releases omit it, since they do not support states without a body.
    """

    state_version: int
    receivers_version: DirectoryVersion
    is_long_poll: bool
    body_generation: int | None = None

    def encode(self) -> Message:
        """Return the message to send."""
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
        """Decode a request."""
        return cls(
            state_version=int(message["state_version"]),
            receivers_version=directory_version(message["receivers_version"]),
            is_long_poll=bool(message.get("wait", True)),
            body_generation=None if message.get("held") is None else int(message["held"]),
        )


@dataclass(frozen=True, slots=True)
class RelayUpdate:
    """The reply to a watch; its type on the wire is `relay.news`.

    `receivers_version`, `list_age_s`, `knowledge_age_s`: those of the replying process, as in `LeaseGrant`; earlier
        releases omit `knowledge_age_s`, and their replies confirm nothing.
    `state`: the system state if it is newer than the caller's, else None. It omits the body of its configuration if the
        caller has the body already or has to fetch it in pages.
    `receivers`: all receivers if they are newer than the caller's, else None.
    """

    receivers_version: DirectoryVersion
    list_age_s: float
    knowledge_age_s: float = math.inf
    state: StateJson | None = None
    receivers: tuple[Receiver, ...] | None = None

    def encode(self) -> Message:
        """Return the message to send."""
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
        """Decode an update."""
        receivers = message.get("receivers")
        return cls(
            receivers_version=directory_version(message["receivers_version"]),
            list_age_s=float(message["list_age_s"]),
            knowledge_age_s=float(message.get("knowledge_age_s", math.inf)),
            state=message.get("state"),
            receivers=None if receivers is None else tuple(receiver_from_record(record) for record in receivers),
        )


def has_body(state: StateJson) -> bool:
    """Return whether the state includes the body of its configuration, or has no configuration."""
    configuration = state.get("configuration")
    return configuration is None or "body" in configuration


def without_body(state: StateJson) -> StateJson:
    """Return the state without the body of its configuration."""
    configuration = {name: field for name, field in state["configuration"].items() if name != "body"}
    return {**state, "configuration": configuration}


def generation_of(state: StateJson | None) -> int:
    """Return the generation of the configuration of a state; 0 if there is none."""
    configuration = state.get("configuration") if state is not None else None
    return int(configuration["generation"]) if configuration is not None else 0


def directory_version(pair: object) -> DirectoryVersion:
    """Decode the version of a receiver directory from a message. Raises TypeError or ValueError if it is invalid."""
    counter, reader = cast(tuple[int, str], pair)
    return DirectoryVersion(int(counter), str(reader))


def rounded_up_s(age_s: float) -> float:
    """Round an age up to milliseconds, which keeps messages short."""
    return math.ceil(age_s * 1000) / 1000
