"""The platform's list of receivers: it shows changes late, in pages and only so often. Free of I/O."""

from collections import deque
from dataclasses import dataclass, replace
from typing import TypedDict

PAGE_SIZE = 50
MOST_SNAPSHOTS = 1000


class InstanceEntry(TypedDict):
    """A receiver as the list shows it."""

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


class UnknownPage(Exception):
    """A page token that the list did not give out, or that is too old."""


@dataclass(frozen=True, slots=True)
class Instance:
    """One receiver; `warm_at_s` is when it stops being slow from its start, on the steady clock."""

    id: str
    backend: str
    address: str
    zone: str
    capacity: int
    generation: str = "v1"
    draining: bool = False
    warm_at_s: float = 0.0

    def entry(self, now_s: float) -> InstanceEntry:
        """Return the receiver as the list shows it."""
        return InstanceEntry(
            id=self.id,
            backend=self.backend,
            address=self.address,
            zone=self.zone,
            generation=self.generation,
            capacity=self.capacity,
            state="draining" if self.draining else "ready",
            cold_left_ms=max(0.0, (self.warm_at_s - now_s) * 1000),
        )


@dataclass(frozen=True, slots=True)
class _Snapshot:
    number: int
    changed_at_s: float
    instances: tuple[Instance, ...]


class InstanceList:
    """The list; every change is shown `lag_s` after it was made."""

    def __init__(self, lag_s: float = 0.0, page_size: int = PAGE_SIZE) -> None:
        self._lag_s = lag_s
        self._page_size = page_size
        self._snapshots = deque([_Snapshot(0, float("-inf"), ())], MOST_SNAPSHOTS)

    def put(self, instance: Instance, now_s: float) -> None:
        """Add a receiver, or replace the one with its id."""
        others = [one for one in self._newest if one.id != instance.id]
        self._change((*others, instance), now_s)

    def drain(self, instance_id: str, now_s: float) -> None:
        """Mark a receiver as about to end; KeyError if there is none."""
        if all(one.id != instance_id for one in self._newest):
            raise KeyError(instance_id)
        drained = (replace(one, draining=True) if one.id == instance_id else one for one in self._newest)
        self._change(tuple(drained), now_s)

    def remove(self, instance_id: str, now_s: float) -> None:
        """Take a receiver off the list."""
        self._change(tuple(one for one in self._newest if one.id != instance_id), now_s)

    def page(self, now_s: float, token: str | None = None, zone: str | None = None) -> InstancePage:
        """Return a page; the pages that follow a first one show the same state. Raises UnknownPage."""
        snapshot, start = (self._shown(now_s), 0) if token is None else self._find_page(token)
        chosen = [one for one in snapshot.instances if zone is None or one.zone == zone]
        end = start + self._page_size
        following = f"p-{snapshot.number}-{end}" if end < len(chosen) else None
        return InstancePage(instances=[one.entry(now_s) for one in chosen[start:end]], next_token=following)

    @property
    def _newest(self) -> tuple[Instance, ...]:
        return self._snapshots[-1].instances

    def _change(self, instances: tuple[Instance, ...], now_s: float) -> None:
        self._snapshots.append(_Snapshot(self._snapshots[-1].number + 1, now_s, instances))

    def _shown(self, now_s: float) -> _Snapshot:
        old_enough = (one for one in reversed(self._snapshots) if one.changed_at_s <= now_s - self._lag_s)
        return next(old_enough, self._snapshots[0])

    def _find_page(self, token: str) -> tuple[_Snapshot, int]:
        try:
            letter, number, start = token.split("-")
            snapshot = next(one for one in self._snapshots if one.number == int(number))
        except (ValueError, StopIteration):
            raise UnknownPage(token) from None
        if letter != "p":
            raise UnknownPage(token)
        return snapshot, int(start)


class CallRate:
    """Grants so many calls a second, with a second's worth of them at once."""

    def __init__(self, calls_per_s: float) -> None:
        self._calls_per_s = calls_per_s
        self._left = max(1.0, calls_per_s)
        self._counted_at_s: float | None = None

    def grant(self, now_s: float) -> bool:
        """Tell whether a call may be made now, and count it."""
        if self._counted_at_s is not None:
            earned = (now_s - self._counted_at_s) * self._calls_per_s
            self._left = min(max(1.0, self._calls_per_s), self._left + earned)
        self._counted_at_s = now_s
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
