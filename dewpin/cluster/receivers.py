"""The receivers of the platform's list, merged so that a receiver that was seen to leave never comes back."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, TypedDict

MAX_REMEMBERED_DRAINING = 4096


class ReceiverRecord(TypedDict):
    """One receiver on the wire between dewpin's processes; fields as in `Receiver`."""

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

    `id`: unique; never used again.
    `backend`: name of its service.
    `address`: `ip:port`.
    `zone`: zone of its machine; empty if the platform does not say.
    `capacity`: requests that it serves at the same time.
    `draining`: whether it is leaving and gets no new requests.
    `warm_up_left_ms`: how much longer it stays slow, as of the reading of the list; `cold_left_ms` on the wire.
    `generation`: version of its software, as the platform names it.
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
        """Return the receiver on the wire between dewpin's processes."""
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
    """Return the receiver of a wire record. Raises KeyError, TypeError or ValueError if it is none."""
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
    """Return the receiver of an entry of the platform's list. Raises KeyError, TypeError or ValueError if it is
    none."""
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
    """Version of a directory; a greater one is newer.

    `counter`: one more than the greatest that the reader knew.
    `reader`: id of the process that read the list; decides between equal counters.
    """

    counter: int
    reader: str


NO_VERSION = DirectoryVersion(0, "")


class ReceiverDirectory:
    """The receivers that one process knows.

    A receiver that was seen draining stays so, and one that left the list after that stays away, whatever an older
    listing says that arrives later.

    `version`: of the listing that the receivers are from.
    `receivers`: by id.
    """

    def __init__(self) -> None:
        """Create a directory without receivers."""
        self.version = NO_VERSION
        self.receivers: dict[str, Receiver] = {}
        self._draining_ids: dict[str, None] = {}
        self._greatest_seen = NO_VERSION
        self._differs_from_source = False

    def observe_version(self, version: DirectoryVersion) -> None:
        """Remember a version that another process has: the next listing gets a newer one."""
        self._greatest_seen = max(self._greatest_seen, version)

    def apply_listing(self, receivers: Iterable[Receiver], reader: str) -> bool:
        """Apply the complete list as `reader` has just read it for all processes; return whether it is a new
        version."""
        needs_version = self._greatest_seen > self.version or self.version == NO_VERSION or self._differs_from_source
        if not self.apply_private_listing(receivers) and not needs_version:
            return False
        self._differs_from_source = False
        self.version = DirectoryVersion(max(self.version.counter, self._greatest_seen.counter) + 1, reader)
        return True

    def apply_private_listing(self, receivers: Iterable[Receiver]) -> bool:
        """Apply a list that no other process gets, under the version as it is; return whether anything changed."""
        merged = self._merge(receivers)
        changed = _without_warm_up(merged) != _without_warm_up(self.receivers)
        self.receivers = merged
        return changed

    def apply_update(self, version: DirectoryVersion, receivers: Iterable[Receiver]) -> bool:
        """Apply another process's directory; return whether it is newer than this one.

        If a receiver is known to be draining here that the update shows as ready, the next listing makes a new version,
        so that the others learn of it too.
        """
        if version <= self.version:
            return False
        sent = {receiver.id: receiver for receiver in receivers}
        self.receivers = self._merge(sent.values())
        self._differs_from_source = _without_warm_up(self.receivers) != _without_warm_up(sent)
        self.version = version
        return True

    def to_records(self) -> list[ReceiverRecord]:
        """Return all receivers on the wire."""
        return [receiver.to_record() for receiver in self.receivers.values()]

    def by_service(self) -> dict[str, tuple[Receiver, ...]]:
        """Return the receivers by the name of their service."""
        services: dict[str, list[Receiver]] = {}
        for receiver in self.receivers.values():
            services.setdefault(receiver.backend, []).append(receiver)
        return {name: tuple(found) for name, found in services.items()}

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
        one.id: (one.backend, one.address, one.zone, one.capacity, one.draining, one.generation)
        for one in receivers.values()
    }
