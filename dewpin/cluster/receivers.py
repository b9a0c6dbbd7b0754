"""The receivers as the platform's list shows them, merged so that nothing known about an end is ever taken back."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, TypedDict

MOST_REMEMBERED_ENDS = 4096


class ReceiverRecord(TypedDict):
    """One receiver on the wire between dewpin's processes."""

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
    """One incarnation of a receiver. `cold_left_ms`: how much longer it stays slow, as of the reading of the list."""

    id: str
    backend: str
    address: str
    zone: str
    capacity: int
    draining: bool = False
    cold_left_ms: float = 0.0
    generation: str = ""

    def record(self) -> ReceiverRecord:
        """The form on the wire."""
        return ReceiverRecord(
            id=self.id,
            backend=self.backend,
            address=self.address,
            zone=self.zone,
            capacity=self.capacity,
            draining=self.draining,
            cold_left_ms=self.cold_left_ms,
            generation=self.generation,
        )


def receiver_from_record(record: Mapping[str, Any]) -> Receiver:
    """The receiver of a wire record. KeyError, TypeError or ValueError if it is none."""
    return Receiver(
        id=str(record["id"]),
        backend=str(record["backend"]),
        address=str(record["address"]),
        zone=str(record["zone"]),
        capacity=int(record["capacity"]),
        draining=bool(record["draining"]),
        cold_left_ms=float(record["cold_left_ms"]),
        generation=str(record["generation"]),
    )


def receiver_from_platform(entry: Mapping[str, Any]) -> Receiver:
    """The receiver of an entry of the platform's list. KeyError, TypeError or ValueError if it is none."""
    return Receiver(
        id=str(entry["id"]),
        backend=str(entry["backend"]),
        address=str(entry["address"]),
        zone=str(entry.get("zone", "")),
        capacity=int(entry.get("capacity") or 1),
        draining=entry.get("state") == "draining",
        cold_left_ms=float(entry.get("cold_left_ms") or 0.0),
        generation=str(entry.get("generation", "")),
    )


class DirectoryVersion(NamedTuple):
    """Orders the directory's states: a counter and, between equal ones, the id of whoever read the list."""

    counter: int
    reader: str


NO_VERSION = DirectoryVersion(0, "")


class ReceiverDirectory:
    """All receivers known, as one process holds them.

    An id once seen draining stays so, and one that left the list after it drained stays away, whatever an older reading
    of the list says that comes later.
    """

    def __init__(self) -> None:
        self.version = NO_VERSION
        self.receivers: dict[str, Receiver] = {}
        self._ended: dict[str, None] = {}
        self._seen = NO_VERSION
        self._differs_from_version = False

    def note_version(self, version: DirectoryVersion) -> None:
        """Notes a version that somebody has: the next reading of the list is to be newer than it."""
        self._seen = max(self._seen, version)

    def take_reading(self, receivers: Iterable[Receiver], reader: str) -> bool:
        """Takes a whole list just read from the platform for everybody; true if a new version was made of it."""
        overtaken = self._seen > self.version or self.version == NO_VERSION or self._differs_from_version
        if not self.take_private_reading(receivers) and not overtaken:
            return False
        self._differs_from_version = False
        self.version = DirectoryVersion(max(self.version.counter, self._seen.counter) + 1, reader)
        return True

    def take_private_reading(self, receivers: Iterable[Receiver]) -> bool:
        """Takes a list just read that nobody else gets, under the version as it is; true if anything changed."""
        merged = self._merge(receivers)
        changed = _without_warmth(merged) != _without_warmth(self.receivers)
        self.receivers = merged
        return changed

    def take_copy(self, version: DirectoryVersion, receivers: Iterable[Receiver]) -> bool:
        """Takes another process's directory; true if it is newer than this one.

        Where an end is known here that the copy doesn't show, the next reading makes a new version, so that the others
        hear of it too.
        """
        if version <= self.version:
            return False
        copied = {receiver.id: receiver for receiver in receivers}
        self.receivers = self._merge(copied.values())
        self._differs_from_version = _without_warmth(self.receivers) != _without_warmth(copied)
        self.version = version
        return True

    def records(self) -> list[ReceiverRecord]:
        """The wire form of all receivers."""
        return [receiver.record() for receiver in self.receivers.values()]

    def by_service(self) -> dict[str, tuple[Receiver, ...]]:
        """Receivers by the name of their service."""
        services: dict[str, list[Receiver]] = {}
        for receiver in self.receivers.values():
            services.setdefault(receiver.backend, []).append(receiver)
        return {name: tuple(found) for name, found in services.items()}

    def _merge(self, receivers: Iterable[Receiver]) -> dict[str, Receiver]:
        merged: dict[str, Receiver] = {}
        for receiver in receivers:
            if receiver.id in self._ended and receiver.id not in self.receivers:
                continue
            known = self.receivers.get(receiver.id)
            if known is not None and known.draining and not receiver.draining:
                receiver = known
            if receiver.draining:
                self._remember_end(receiver.id)
            merged[receiver.id] = receiver
        return merged

    def _remember_end(self, receiver_id: str) -> None:
        self._ended[receiver_id] = None
        if len(self._ended) > MOST_REMEMBERED_ENDS:
            del self._ended[next(iter(self._ended))]


def _without_warmth(receivers: Mapping[str, Receiver]) -> dict[str, tuple[object, ...]]:
    return {
        one.id: (one.backend, one.address, one.zone, one.capacity, one.draining, one.generation)
        for one in receivers.values()
    }
