"""The receiver directory: merges the platform's listings so that a receiver seen draining never becomes ready again."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, TypedDict

MAX_REMEMBERED_DRAINING = 4096


class ReceiverRecord(TypedDict):
    """A receiver in messages between dewpin processes; fields as in `Receiver`."""

    id: str
    backend: str
    address: str
    zone: str
    capacity: int
    draining: bool
    cold_left_ms: float
    generation: str


@dataclass(frozen=True, slots=True)
class Receiver:
    """One incarnation of a receiver.

    `id`: unique and never reused.
    `backend`: name of its service.
    `address`: `ip:port`.
    `zone`: zone of its machine; empty if the platform does not report it.
    `capacity`: number of requests that it serves concurrently.
    `draining`: whether it is shutting down and gets no new requests.
    `warm_up_left_ms`: remaining warm-up time when the list was read; `cold_left_ms` on the wire.
    `generation`: its software version as reported by the platform.
    """

    id: str
    backend: str
    address: str
    zone: str
    capacity: int
    draining: bool = False
    warm_up_left_ms: float = 0.0
    generation: str = ""

    def to_record(self) -> ReceiverRecord:
        """Return the receiver as a record for messages between dewpin processes."""
        return ReceiverRecord(
            id=self.id,
            backend=self.backend,
            address=self.address,
            zone=self.zone,
            capacity=self.capacity,
            draining=self.draining,
            cold_left_ms=self.warm_up_left_ms,
            generation=self.generation,
        )


def receiver_from_record(record: Mapping[str, Any]) -> Receiver:
    """Decode a receiver from a record. Raises KeyError, TypeError or ValueError if the record is invalid."""
    return Receiver(
        id=str(record["id"]),
        backend=str(record["backend"]),
        address=str(record["address"]),
        zone=str(record["zone"]),
        capacity=int(record["capacity"]),
        draining=bool(record["draining"]),
        warm_up_left_ms=float(record["cold_left_ms"]),
        generation=str(record["generation"]),
    )


def receiver_from_platform(entry: Mapping[str, Any]) -> Receiver:
    """Decode a receiver from an entry of the platform's list. Raises KeyError, TypeError or ValueError if the entry is
    invalid."""
    return Receiver(
        id=str(entry["id"]),
        backend=str(entry["backend"]),
        address=str(entry["address"]),
        zone=str(entry.get("zone", "")),
        capacity=int(entry.get("capacity") or 1),
        draining=entry.get("state") == "draining",
        warm_up_left_ms=float(entry.get("cold_left_ms") or 0.0),
        generation=str(entry.get("generation", "")),
    )


class DirectoryVersion(NamedTuple):
    """Version of a directory; versions are ordered, and a greater one is newer.

    `counter`: one more than the greatest that the reader had seen.
    `reader`: id of the process that read the list; breaks ties between equal counters.
    """

    counter: int
    reader: str


NO_VERSION = DirectoryVersion(0, "")


class ReceiverDirectory:
    """The receivers known to one process.

    Draining is never reverted: a receiver seen draining remains so, and one that was removed from the list after that
    is not added again, even if an older listing that contains it arrives later.

    `version`: version of the listing that the receivers come from.
    `receivers`: the receivers by id.
    """

    def __init__(self) -> None:
        """Create a directory without receivers."""
        self.version = NO_VERSION
        self.receivers: dict[str, Receiver] = {}
        self._draining_ids: dict[str, None] = {}
        self._max_seen_version = NO_VERSION
        self._differs_from_source = False

    def observe_version(self, version: DirectoryVersion) -> None:
        """Record a version held by another process, so that the next listing gets a newer one."""
        self._max_seen_version = max(self._max_seen_version, version)

    def apply_listing(self, receivers: Iterable[Receiver], reader: str) -> bool:
        """Apply the complete list that `reader` has just read, to be published to all processes; return whether it made
        a new version."""
        needs_version = self._max_seen_version > self.version or self.version == NO_VERSION or self._differs_from_source
        if not self.apply_private_listing(receivers) and not needs_version:
            return False
        self._differs_from_source = False
        self.version = DirectoryVersion(max(self.version.counter, self._max_seen_version.counter) + 1, reader)
        return True

    def apply_private_listing(self, receivers: Iterable[Receiver]) -> bool:
        """Apply a list that is not published to others, without a new version; return whether anything changed."""
        merged = self._merge(receivers)
        changed = _without_warm_up(merged) != _without_warm_up(self.receivers)
        self.receivers = merged
        return changed

    def apply_update(self, version: DirectoryVersion, receivers: Iterable[Receiver]) -> bool:
        """Apply the directory of another process; return whether it is newer than this one.

        If a receiver is known to be draining here but is ready in the update, the next listing makes a new version, so
        that the draining is published to the other processes.
        """
        if version <= self.version:
            return False
        received = {receiver.id: receiver for receiver in receivers}
        self.receivers = self._merge(received.values())
        self._differs_from_source = _without_warm_up(self.receivers) != _without_warm_up(received)
        self.version = version
        return True

    def to_records(self) -> list[ReceiverRecord]:
        """Return the records of all receivers."""
        return [receiver.to_record() for receiver in self.receivers.values()]

    def by_service(self) -> dict[str, tuple[Receiver, ...]]:
        """Return the receivers grouped by the name of their service."""
        services: dict[str, list[Receiver]] = {}
        for receiver in self.receivers.values():
            services.setdefault(receiver.backend, []).append(receiver)
        return {name: tuple(members) for name, members in services.items()}

    def _merge(self, receivers: Iterable[Receiver]) -> dict[str, Receiver]:
        merged: dict[str, Receiver] = {}
        for receiver in receivers:
            if receiver.id in self._draining_ids and receiver.id not in self.receivers:
                continue
            known = self.receivers.get(receiver.id)
            if known is not None and known.draining and not receiver.draining:
                receiver = known
            if receiver.draining:
                self._remember_draining(receiver.id)
            merged[receiver.id] = receiver
        return merged

    def _remember_draining(self, receiver_id: str) -> None:
        self._draining_ids[receiver_id] = None
        if len(self._draining_ids) > MAX_REMEMBERED_DRAINING:
            del self._draining_ids[next(iter(self._draining_ids))]


def _without_warm_up(receivers: Mapping[str, Receiver]) -> dict[str, tuple[object, ...]]:
    return {
        receiver.id: (
            receiver.backend,
            receiver.address,
            receiver.zone,
            receiver.capacity,
            receiver.draining,
            receiver.generation,
        )
        for receiver in receivers.values()
    }
