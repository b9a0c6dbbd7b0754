"""The turns on disk: one row for each program that holds a turn, bodies stored once.

All functions run on the storage thread, inside its transaction, and raise sqlite3.Error. A turn outlives its own expiry
for as long as there is a turn that continues it: expired turns are purged from the ends of the histories.
"""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Sequence
from dataclasses import dataclass

from dewpin.cluster.store_messages import HistoryPage, TurnRecord

TurnKey = tuple[str, str]
"""Id of a turn and the program that holds it."""

_MAX_SCANNED_ROWS_PER_KEY = 4
"""Rows of a range of keys that are read at most for each key that is looked up in it."""


@dataclass(frozen=True, slots=True)
class IndexEntry:
    """One turn of a program, without its bodies.

    `turn`, `program`: the key.
    `remaining_ms`: how much longer the turn is kept; negative once expired.
    """

    turn: str
    program: str
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class FoundTurns:
    """Turns that were read by their keys.

    `records`: those that are here, in the order of the keys.
    `unread_keys`: the keys that were left out for the size of the bodies; those in neither are not here.
    """

    records: Sequence[TurnRecord]
    unread_keys: Sequence[TurnKey]


def put(connection: sqlite3.Connection, records: Sequence[TurnRecord], now_ms: int, margin_ms: int) -> None:
    """Store turns, each for its `retain_ms` and `margin_ms` from now on; one that is here is kept at least as long."""
    _insert(connection, records, now_ms, [margin_ms] * len(records))


def put_copies(
    connection: sqlite3.Connection, records: Sequence[TurnRecord], remaining_ms: Sequence[int], now_ms: int
) -> None:
    """Store copies of other stores' turns, each for as long as the source keeps it."""
    margins_ms = [remaining - record.retain_ms for record, remaining in zip(records, remaining_ms, strict=True)]
    _insert(connection, records, now_ms, margins_ms)


def _insert(
    connection: sqlite3.Connection, records: Sequence[TurnRecord], now_ms: int, margins_ms: Sequence[int]
) -> None:
    """Write turns, each to be kept for its `retain_ms` and its margin from now on."""
    connection.executemany(
        "INSERT OR IGNORE INTO turn_bodies (turn, input, output) VALUES (?, ?, ?)",
        [(record.turn, record.input, record.output) for record in records],
    )
    connection.executemany(
        "INSERT INTO turns (turn, program, previous, retain_ms, expires_ms) VALUES (?, ?, ?, ?, ?)"
        " ON CONFLICT (turn, program) DO UPDATE SET expires_ms = max(expires_ms, excluded.expires_ms)",
        [
            (record.turn, record.program, record.previous, record.retain_ms, now_ms + record.retain_ms + margin_ms)
            for record, margin_ms in zip(records, margins_ms, strict=True)
        ],
    )


def read_history(connection: sqlite3.Connection, program: str, last_turn: str, max_bytes: int) -> HistoryPage:
    """Return the history that ends with `last_turn`, newest turn first, as far as it is here.

    The page ends with the turn whose bodies bring their sum to `max_bytes`.
    """
    turns: list[TurnRecord] = []
    other_program_turns: set[str] = set()
    size = 0
    next_turn: str | None = last_turn
    while next_turn is not None and size < max_bytes:
        record = _read_for_any_program(connection, program, next_turn)
        if record is None:
            return HistoryPage(tuple(turns), next_turn, True, frozenset(other_program_turns))
        turns.append(record)
        size += len(record.input) + len(record.output)
        if record.program != program:
            other_program_turns.add(record.turn)
        next_turn = record.previous
    return HistoryPage(tuple(turns), next_turn, False, frozenset(other_program_turns))


def _read_for_any_program(connection: sqlite3.Connection, program: str, turn: str) -> TurnRecord | None:
    """Return a turn, as kept for `program` if it is, else as kept for any other."""
    row = connection.execute(
        "SELECT turns.program, turns.previous, turns.retain_ms, turn_bodies.input, turn_bodies.output"
        " FROM turns JOIN turn_bodies USING (turn) WHERE turns.turn = ? ORDER BY turns.program <> ? LIMIT 1",
        (turn, program),
    ).fetchone()
    if row is None:
        return None
    return TurnRecord(turn, row[0], row[1], row[2], bytes(row[3]), bytes(row[4]))


def read_index_page(connection: sqlite3.Connection, after: TurnKey, limit: int, now_ms: int) -> list[IndexEntry]:
    """Return up to `limit` turns whose key sorts after `after`, in the order of keys."""
    rows = connection.execute(
        "SELECT turn, program, expires_ms FROM turns WHERE (turn, program) > (?, ?) ORDER BY turn, program LIMIT ?",
        (*after, limit),
    )
    return [IndexEntry(turn, program, expires_ms - now_ms) for turn, program, expires_ms in rows]


def find_missing(connection: sqlite3.Connection, entries: Sequence[IndexEntry]) -> list[IndexEntry]:
    """Return those of `entries` that are not here."""
    keys = json.dumps([[entry.turn, entry.program] for entry in entries])
    rows = connection.execute(
        "SELECT asked.key FROM json_each(?) AS asked WHERE NOT EXISTS (SELECT 1 FROM turns"
        " WHERE turn = asked.value ->> 0 AND program = asked.value ->> 1)",
        (keys,),
    )
    return [entries[position] for (position,) in rows]


def find_missing_of_page(connection: sqlite3.Connection, entries: Sequence[IndexEntry]) -> list[IndexEntry]:
    """Return those of `entries` that are not here, like `find_missing`.

    Cheaper for entries whose keys are close together: the range of keys that they span is read in one scan, unless it
    holds far more turns than `entries`.
    """
    if not entries:
        return []
    keys = [(entry.turn, entry.program) for entry in entries]
    max_rows = len(entries) * _MAX_SCANNED_ROWS_PER_KEY
    rows = connection.execute(
        "SELECT turn, program FROM turns WHERE (turn, program) >= (?, ?) AND (turn, program) <= (?, ?) LIMIT ?",
        (*min(keys), *max(keys), max_rows),
    ).fetchall()
    if len(rows) == max_rows:
        return find_missing(connection, entries)
    present = set(rows)
    return [entry for entry, key in zip(entries, keys, strict=True) if key not in present]


def read_turns(connection: sqlite3.Connection, keys: Sequence[TurnKey], max_bytes: int) -> FoundTurns:
    """Return the turns of `keys` that are here, until the sum of their bodies reaches `max_bytes`."""
    records: list[TurnRecord] = []
    size = 0
    for position, (turn, program) in enumerate(keys):
        if size >= max_bytes:
            return FoundTurns(records, keys[position:])
        record = _read_for_program(connection, turn, program)
        if record is None:
            continue
        records.append(record)
        size += len(record.input) + len(record.output)
    return FoundTurns(records, ())


def _read_for_program(connection: sqlite3.Connection, turn: str, program: str) -> TurnRecord | None:
    """Return a turn as kept for `program`."""
    row = connection.execute(
        "SELECT turns.previous, turns.retain_ms, turn_bodies.input, turn_bodies.output"
        " FROM turns JOIN turn_bodies USING (turn) WHERE turns.turn = ? AND turns.program = ?",
        (turn, program),
    ).fetchone()
    return None if row is None else TurnRecord(turn, program, row[0], row[1], bytes(row[2]), bytes(row[3]))


def purge(connection: sqlite3.Connection, now_ms: int, limit: int) -> int:
    """Delete up to `limit` expired turns that no turn continues; return how many."""
    rows = connection.execute(
        "DELETE FROM turns WHERE (turn, program) IN (SELECT turn, program FROM turns AS old WHERE expires_ms < ?"
        " AND NOT EXISTS (SELECT 1 FROM turns AS child WHERE child.previous = old.turn)"
        " ORDER BY expires_ms LIMIT ?) RETURNING turn",
        (now_ms, limit),
    ).fetchall()
    for (turn,) in rows:
        connection.execute(
            "DELETE FROM turn_bodies WHERE turn = ? AND NOT EXISTS (SELECT 1 FROM turns WHERE turns.turn = ?)",
            (turn, turn),
        )
    return len(rows)
