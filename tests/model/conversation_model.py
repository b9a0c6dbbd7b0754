"""Models a conversation on three stores: writes in any order, purges at any moment, stores that lose their disks.

Each store is a real `Store` with its tables in memory; the rules of a write (a store counts once it reports no missing
turn, and gets the missing turns one by one) follow `dewpin.dataplane.programs.turn_write`. Time is reduced to the
number of acknowledged turns: all turns before the newest acknowledged one have expired, which is the worst case.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Coroutine, Iterator
from contextlib import ExitStack
from typing import Any, NamedTuple, TypeVar

from dewpin.cluster.store_messages import TurnRecord
from dewpin.controlplane.storage.schema import migrate
from dewpin.controlplane.store import turn_table
from dewpin.controlplane.store.store import Store
from tests.model.component import Component, Event, Output
from tests.model.explorer import Label

STORES = "abc"
PROGRAM = "p"
MAJORITY = 2
NOT_ASKED, COMPLETE = -1, 0
"""The status of a store in a write; any other value is the number of the newest turn that it lacks."""
NOBODY = -1
Result = TypeVar("Result")


class ModelState(NamedTuple):
    """A state. `stores`: the number of each store's state; `acknowledged`: number of acknowledged turns; `write`: the
    status of each store in the write of the next turn; `copying`: the store that copies, or NOBODY; `uncopied`: the
    turns that it has yet to copy; `wipes`: how many disks may still be lost."""

    stores: tuple[int, ...]
    acknowledged: int
    write: tuple[int, ...]
    copying: int
    uncopied: frozenset[int]
    wipes: int


class ConversationModel:
    """Explores a conversation of `turns` turns while `wipes` disks are lost, one after the other."""

    def __init__(self, turns: int, wipes: int) -> None:
        self._turns = turns
        self._wipes = wipes
        self._store = Component(_StorePart)

    def initial(self) -> ModelState:
        """Three empty stores."""
        return ModelState((0,) * len(STORES), 0, (NOT_ASKED,) * len(STORES), NOBODY, frozenset(), self._wipes)

    def fault(self, state: ModelState) -> str | None:
        """The newest acknowledged turn and its history are on fewer stores than the losses allow."""
        if not state.acknowledged:
            return None
        complete = [name for name, store in zip(STORES, state.stores, strict=True) if self._is_complete(store, state)]
        required = MAJORITY if state.copying == NOBODY else MAJORITY - 1
        if len(complete) >= required:
            return None
        return f"turn {state.acknowledged} has its whole history at {complete} only"

    def steps(self, state: ModelState) -> Iterator[tuple[Label, ModelState]]:
        """A store gets the next turn or what it lacks, purges, loses its disk or copies; the turn is acknowledged."""
        for store, name in enumerate(STORES):
            yield from self._writes(state, store, name)
            yield ("purges", name), self._apply(state, store, ("purge", state.acknowledged))
            if state.wipes and state.copying == NOBODY:
                yield ("loses its disk", name), self._after_wipe(state, store)
        if self._is_stored(state):
            yield (
                ("acknowledged", state.acknowledged + 1),
                state._replace(acknowledged=state.acknowledged + 1, write=(NOT_ASKED,) * len(STORES)),
            )
        if state.copying != NOBODY:
            yield from self._copies(state)

    def _writes(self, state: ModelState, store: int, name: str) -> Iterator[tuple[Label, ModelState]]:
        status = state.write[store]
        if state.acknowledged == self._turns or status == COMPLETE:
            return
        turn = state.acknowledged + 1 if status == NOT_ASKED else status
        number, missing = self._store.step(state.stores[store], ("put", turn))
        write = _replaced(state.write, store, missing)
        yield ("stores", name, turn), state._replace(stores=_replaced(state.stores, store, number), write=write)

    def _is_stored(self, state: ModelState) -> bool:
        """Whether a majority is complete; a store that copies is no member yet, so both others have to be."""
        complete = [store for store, status in enumerate(state.write) if status == COMPLETE and store != state.copying]
        return len(complete) >= MAJORITY

    def _after_wipe(self, state: ModelState, store: int) -> ModelState:
        others = [number for one, number in enumerate(state.stores) if one != store]
        uncopied = frozenset().union(*(self._held(number) for number in others))
        wiped = self._apply(state, store, ("wipe",))
        write = _replaced(state.write, store, NOT_ASKED)
        return wiped._replace(write=write, copying=store, uncopied=uncopied, wipes=state.wipes - 1)

    def _copies(self, state: ModelState) -> Iterator[tuple[Label, ModelState]]:
        name = STORES[state.copying]
        for turn in state.uncopied:
            is_held = any(turn in self._held(number) for one, number in enumerate(state.stores) if one != state.copying)
            after = self._apply(state, state.copying, ("copy", turn)) if is_held else state
            yield ("copies", name, turn), after._replace(uncopied=state.uncopied - {turn})
        if not state.uncopied:
            yield ("has copied", name), self._apply(state, state.copying, ("copied",))._replace(copying=NOBODY)

    def _apply(self, state: ModelState, store: int, event: Event) -> ModelState:
        number, _ = self._store.step(state.stores[store], event)
        return state._replace(stores=_replaced(state.stores, store, number))

    def _held(self, number: int) -> frozenset[int]:
        turns: frozenset[int] = self._store.fingerprint(number)[0]
        return turns

    def _is_complete(self, number: int, state: ModelState) -> bool:
        return self._held(number) >= frozenset(range(1, state.acknowledged + 1))


class _StorePart:
    """A real store and the contents of its disk."""

    def __init__(self) -> None:
        self._now = 0
        self._copy = ExitStack()
        self._start_empty()

    def _start_empty(self) -> None:
        self._storage = _Storage()
        self._store = Store(self._storage, "store", len(STORES), wall_clock_ms=lambda: self._now)

    def apply(self, event: Event) -> Output:
        """Apply a write, a purge, the loss of the disk, or a step of the copy that follows."""
        kind, *values = event
        handlers: dict[str, Callable[..., Output]] = {
            "put": self._put,
            "purge": self._purge,
            "wipe": self._wipe,
            "copy": self._copy_turn,
            "copied": self._copy.close,
        }
        return handlers[kind](*values)

    def fingerprint(self) -> tuple[frozenset[int], bool]:
        """The turns on the disk, and whether the store copies."""
        rows = self._storage.connection.execute("SELECT turn FROM turns").fetchall()
        return frozenset(int(turn) for (turn,) in rows), self._store._copies_in_progress > 0

    def _put(self, number: int) -> int:
        records = [_record(number)]
        turn_table.put(self._storage.connection, records, 0, 0)
        return int(turn_table.newest_missing_turn(self._storage.connection, records) or COMPLETE)

    def _purge(self, now: int) -> None:
        self._now = now
        _run(self._store.purge_batch())

    def _wipe(self) -> None:
        self._start_empty()
        self._copy.enter_context(self._store.turns_kept())

    def _copy_turn(self, number: int) -> None:
        turn_table.put_copies(self._storage.connection, [_record(number)], [number], 0)


class _Storage:
    """Tables in memory; a transaction ends at once."""

    def __init__(self) -> None:
        self.connection = sqlite3.connect(":memory:", isolation_level=None)
        migrate(self.connection)

    async def transact(self, work: Callable[[sqlite3.Connection], Result]) -> Result:
        """Run `work` and return its result."""
        return work(self.connection)


def _record(number: int) -> TurnRecord:
    """A turn that expires once a later one is acknowledged."""
    return TurnRecord(str(number), PROGRAM, str(number - 1) if number > 1 else None, number, b"", b"")


def _replaced(values: tuple[int, ...], position: int, value: Any) -> tuple[int, ...]:
    return (*values[:position], value, *values[position + 1 :])


def _run(coroutine: Coroutine[Any, Any, Result]) -> Result:
    """The result of a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        result: Result = stop.value
        return result
    raise AssertionError("the coroutine waits")
