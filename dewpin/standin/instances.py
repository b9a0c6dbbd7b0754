"""The platform's list of receivers: paginated, with a delay until changes are visible. Free of I/O."""

from collections import deque
from dataclasses import dataclass, replace
from typing import TypedDict

from .errors import UnknownPageTokenError

PAGE_SIZE = 50
MAX_SNAPSHOTS = 1000


class InstanceEntry(TypedDict):
    """An entry of the list in JSON."""

    id: str
    backend: str
    address: str
    zone: str
    generation: str
    capacity: int
    state: str
    cold_left_ms: float


class InstancePage(TypedDict):
    """A page of the list; `next_token` is None on the last page."""

    instances: list[InstanceEntry]
    next_token: str | None


@dataclass(frozen=True, slots=True)
class Instance:
    """A receiver.

    warm_at_s: end of its warm-up on the monotonic clock.
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
    """The list of receivers; changes become visible after `lag_s`."""

    def __init__(self, lag_s: float = 0.0, page_size: int = PAGE_SIZE) -> None:
        self._lag_s = lag_s
        self._page_size = page_size
        self._snapshots = deque([_Snapshot(0, float("-inf"), ())], MAX_SNAPSHOTS)

    def put(self, instance: Instance, now_s: float) -> None:
        """Add a receiver, or replace the receiver with the same id."""
        others = [other for other in self._latest if other.id != instance.id]
        self._append((*others, instance), now_s)

    def drain(self, instance_id: str, now_s: float) -> None:
        """Mark a receiver as draining. Raises KeyError if the id is unknown."""
        if all(instance.id != instance_id for instance in self._latest):
            raise KeyError(instance_id)
        drained = (
            replace(instance, is_draining=True) if instance.id == instance_id else instance for instance in self._latest
        )
        self._append(tuple(drained), now_s)

    def remove(self, instance_id: str, now_s: float) -> None:
        """Remove a receiver from the list."""
        self._append(tuple(instance for instance in self._latest if instance.id != instance_id), now_s)

    def page(self, now_s: float, token: str | None = None, zone: str | None = None) -> InstancePage:
        """Return the page of a token, or the first page without one; all pages show the list as of the first page.

        Raises UnknownPageTokenError.
        """
        snapshot, start = (self._visible_snapshot(now_s), 0) if token is None else self._find_page(token)
        matching = [instance for instance in snapshot.instances if zone is None or instance.zone == zone]
        end = start + self._page_size
        next_token = f"p-{snapshot.number}-{end}" if end < len(matching) else None
        return InstancePage(
            instances=[instance.to_entry(now_s) for instance in matching[start:end]], next_token=next_token
        )

    @property
    def _latest(self) -> tuple[Instance, ...]:
        return self._snapshots[-1].instances

    def _append(self, instances: tuple[Instance, ...], now_s: float) -> None:
        self._snapshots.append(_Snapshot(self._snapshots[-1].number + 1, now_s, instances))

    def _visible_snapshot(self, now_s: float) -> _Snapshot:
        visible = (snapshot for snapshot in reversed(self._snapshots) if snapshot.changed_at_s <= now_s - self._lag_s)
        return next(visible, self._snapshots[0])

    def _find_page(self, token: str) -> tuple[_Snapshot, int]:
        try:
            prefix, number, start = token.split("-")
            snapshot = next(snapshot for snapshot in self._snapshots if snapshot.number == int(number))
        except (ValueError, StopIteration):
            raise UnknownPageTokenError(token) from None
        if prefix != "p":
            raise UnknownPageTokenError(token)
        return snapshot, int(start)
