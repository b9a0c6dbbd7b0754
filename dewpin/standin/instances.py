"""The platform's list of receivers: paged, and with a lag behind changes. Free of I/O."""

from collections import deque
from dataclasses import dataclass, replace
from typing import TypedDict

from .errors import UnknownPageTokenError

PAGE_SIZE = 50
MAX_SNAPSHOTS = 1000


class InstanceEntry(TypedDict):
    """A receiver as the list's JSON has it."""

    id: str
    backend: str
    address: str
    zone: str
    generation: str
    capacity: int
    state: str
    cold_left_ms: float


class InstancePage(TypedDict):
    """One page of the list; `next_token` is None on the last one."""

    instances: list[InstanceEntry]
    next_token: str | None


@dataclass(frozen=True, slots=True)
class Instance:
    """One receiver.

    warm_at_s: end of its warm-up, by the monotonic clock.
    """

    id: str
    backend: str
    address: str
    zone: str
    capacity: int
    generation: str = "v1"
    is_draining: bool = False
    warm_at_s: float = 0.0

    def to_entry(self, now_s: float) -> InstanceEntry:
        """Return the receiver's entry in the list."""
        return InstanceEntry(
            id=self.id,
            backend=self.backend,
            address=self.address,
            zone=self.zone,
            generation=self.generation,
            capacity=self.capacity,
            state="draining" if self.is_draining else "ready",
            cold_left_ms=max(0.0, (self.warm_at_s - now_s) * 1000),
        )


@dataclass(frozen=True, slots=True)
class _Snapshot:
    number: int
    changed_at_s: float
    instances: tuple[Instance, ...]


class InstanceList:
    """The list; a change becomes visible `lag_s` after it was made."""

    def __init__(self, lag_s: float = 0.0, page_size: int = PAGE_SIZE) -> None:
        self._lag_s = lag_s
        self._page_size = page_size
        self._snapshots = deque([_Snapshot(0, float("-inf"), ())], MAX_SNAPSHOTS)

    def put(self, instance: Instance, now_s: float) -> None:
        """Add a receiver, or replace the one with its id."""
        others = [one for one in self._latest if one.id != instance.id]
        self._append((*others, instance), now_s)

    def drain(self, instance_id: str, now_s: float) -> None:
        """Mark a receiver as draining; raises KeyError if there is none of this id."""
        if all(one.id != instance_id for one in self._latest):
            raise KeyError(instance_id)
        drained = (replace(one, is_draining=True) if one.id == instance_id else one for one in self._latest)
        self._append(tuple(drained), now_s)

    def remove(self, instance_id: str, now_s: float) -> None:
        """Remove a receiver from the list."""
        self._append(tuple(one for one in self._latest if one.id != instance_id), now_s)

    def page(self, now_s: float, token: str | None = None, zone: str | None = None) -> InstancePage:
        """Return a page, the first one without a token; later pages are of the same state as the first.

        Raises UnknownPageTokenError.
        """
        snapshot, start = (self._visible_snapshot(now_s), 0) if token is None else self._find_page(token)
        matching = [one for one in snapshot.instances if zone is None or one.zone == zone]
        end = start + self._page_size
        next_token = f"p-{snapshot.number}-{end}" if end < len(matching) else None
        return InstancePage(instances=[one.to_entry(now_s) for one in matching[start:end]], next_token=next_token)

    @property
    def _latest(self) -> tuple[Instance, ...]:
        return self._snapshots[-1].instances

    def _append(self, instances: tuple[Instance, ...], now_s: float) -> None:
        self._snapshots.append(_Snapshot(self._snapshots[-1].number + 1, now_s, instances))

    def _visible_snapshot(self, now_s: float) -> _Snapshot:
        old_enough = (one for one in reversed(self._snapshots) if one.changed_at_s <= now_s - self._lag_s)
        return next(old_enough, self._snapshots[0])

    def _find_page(self, token: str) -> tuple[_Snapshot, int]:
        try:
            prefix, number, start = token.split("-")
            snapshot = next(one for one in self._snapshots if one.number == int(number))
        except (ValueError, StopIteration):
            raise UnknownPageTokenError(token) from None
        if prefix != "p":
            raise UnknownPageTokenError(token)
        return snapshot, int(start)
