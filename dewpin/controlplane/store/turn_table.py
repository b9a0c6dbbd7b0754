"""Turns on disk: one row per turn and program that holds it, with the bodies stored only once.

All functions run on the storage thread, inside its transaction, and raise sqlite3.Error. An expired turn is kept while
another turn continues it, so histories are purged starting with their newest turns.
"""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from dewpin.cluster.store_messages import HistoryPage, TurnRecord

TurnKey = tuple[str, str]
"""Turn id and id of the program that holds it."""

_MAX_SCANNED_ROWS_PER_KEY = 4
"""Maximum number of rows scanned in a range of keys, per key looked up in it."""


@dataclass(frozen=True, slots=True)
class IndexEntry:
    """One turn of a program, without its bodies.

    `turn`, `program`: the key.
    `remaining_ms`: remaining retention; negative once expired.
    """

    turn: str
    program: str
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class FoundTurns:
    """The result of reading turns by key.

    `records`: the stored turns, in the order of the keys.
    `unread_keys`: keys omitted because the size limit was reached; keys in neither field are not stored.
    """

    records: Sequence[TurnRecord]
    unread_keys: Sequence[TurnKey]


def put(connection: sqlite3.Connection, records: Sequence[TurnRecord], now_ms: int, margin_ms: int) -> None:
    """Store turns with an expiry of `retain_ms` plus `margin_ms` from now; an existing later expiry is kept."""
    _insert(connection, records, now_ms, [margin_ms] * len(records))


def put_copies(
    connection: sqlite3.Connection, records: Sequence[TurnRecord], remaining_ms: Sequence[int], now_ms: int
) -> None:
    """Store copies of turns from another store with their remaining retention at that store."""
    margins_ms = [remaining - record.retain_ms for record, remaining in zip(records, remaining_ms, strict=True)]
    _insert(connection, records, now_ms, margins_ms)


def _insert(
    connection: sqlite3.Connection, records: Sequence[TurnRecord], now_ms: int, margins_ms: Sequence[int]
) -> None:
    """Write turns, each with an expiry of its `retain_ms` plus its margin from now."""
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


def read_history(
    connection: sqlite3.Connection, program: str, last_turn: str, max_bytes: int, charge: Callable[[int], None]
) -> HistoryPage:
    """Return the stored part of the history that ends with `last_turn`, newest turn first.

    The page ends with the turn at which the total size of the bodies reaches `max_bytes`. `charge` is called with that
    size after each turn, and may raise MemoryBudgetExceededError.
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
        charge(size)
        if record.program != program:
            other_program_turns.add(record.turn)
        next_turn = record.previous
    return HistoryPage(tuple(turns), next_turn, False, frozenset(other_program_turns))


def _read_for_any_program(connection: sqlite3.Connection, program: str, turn: str) -> TurnRecord | None:
    """Return a turn, preferring the row of `program` over the rows of other programs."""
    row = connection.execute(
        "SELECT turns.program, turns.previous, turns.retain_ms, turn_bodies.input, turn_bodies.output"
        " FROM turns JOIN turn_bodies USING (turn) WHERE turns.turn = ? ORDER BY turns.program <> ? LIMIT 1",
        (turn, program),
    ).fetchone()
    if row is None:
        return None
    return TurnRecord(turn, row[0], row[1], row[2], bytes(row[3]), bytes(row[4]))


def read_index_page(connection: sqlite3.Connection, after: TurnKey, limit: int, now_ms: int) -> list[IndexEntry]:
    """Return up to `limit` turns whose key sorts after `after`, ordered by key."""
    rows = connection.execute(
        "SELECT turn, program, expires_ms FROM turns WHERE (turn, program) > (?, ?) ORDER BY turn, program LIMIT ?",
        (*after, limit),
    )
    return [IndexEntry(turn, program, expires_ms - now_ms) for turn, program, expires_ms in rows]


def find_missing(connection: sqlite3.Connection, entries: Sequence[IndexEntry]) -> list[IndexEntry]:
    """Return those `entries` that are not stored."""
    keys = json.dumps([[entry.turn, entry.program] for entry in entries])
    rows = connection.execute(
        "SELECT asked.key FROM json_each(?) AS asked WHERE NOT EXISTS (SELECT 1 FROM turns"
        " WHERE turn = asked.value ->> 0 AND program = asked.value ->> 1)",
        (keys,),
    )
    return [entries[position] for (position,) in rows]


def find_missing_of_page(connection: sqlite3.Connection, entries: Sequence[IndexEntry]) -> list[IndexEntry]:
    """Return those `entries` that are not stored, like `find_missing`.

    Cheaper for entries with adjacent keys: their range of keys is read in one scan, unless it holds far more turns than
    `entries`.
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
    stored = set(rows)
    return [entry for entry, key in zip(entries, keys, strict=True) if key not in stored]


def read_turns(connection: sqlite3.Connection, keys: Sequence[TurnKey], max_bytes: int) -> FoundTurns:
    """Return the stored turns of `keys`, up to the one at which the total size of the bodies reaches `max_bytes`."""
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
    """Return the turn as stored for `program`; None if there is no such row."""
    row = connection.execute(
        "SELECT turns.previous, turns.retain_ms, turn_bodies.input, turn_bodies.output"
        " FROM turns JOIN turn_bodies USING (turn) WHERE turns.turn = ? AND turns.program = ?",
        (turn, program),
    ).fetchone()
    return None if row is None else TurnRecord(turn, program, row[0], row[1], bytes(row[2]), bytes(row[3]))


def newest_missing_turn(connection: sqlite3.Connection, records: Sequence[TurnRecord]) -> str | None:
    """Return the newest turn that stored `records` continue and that their program lacks; None if it has all of them.

    `records` are turns of one conversation.
    """
    continued = {record.previous for record in records}
    for record in records:
        if record.turn not in continued:
            missing = _newest_missing_turn_before(connection, record.program, record.turn)
            if missing is not None:
                return missing
    return None


def _newest_missing_turn_before(connection: sqlite3.Connection, program: str, turn: str) -> str | None:
    """Return the newest turn that is missing in the history of a stored turn of `program`; None if there is none."""
    row = connection.execute(
        "WITH RECURSIVE history (turn, previous, is_stored) AS ("
        " SELECT turn, previous, 1 FROM turns WHERE turn = :turn AND program = :program"
        " UNION SELECT history.previous, turns.previous, turns.turn IS NOT NULL FROM history"
        " LEFT JOIN turns ON turns.turn = history.previous AND turns.program = :program"
        " WHERE history.previous IS NOT NULL)"
        " SELECT turn FROM history WHERE NOT is_stored",
        {"turn": turn, "program": program},
    ).fetchone()
    return None if row is None else str(row[0])


def purge(connection: sqlite3.Connection, now_ms: int, limit: int) -> list[TurnKey]:
    """Delete up to `limit` expired turns that no other turn continues, each history from its end; return their keys."""
    deleted: list[TurnKey] = []
    ends: list[TurnKey] = connection.execute(
        "SELECT turn, program FROM turns AS old WHERE expires_ms < ?"
        " AND NOT EXISTS (SELECT 1 FROM turns AS child WHERE child.previous = old.turn) ORDER BY expires_ms LIMIT ?",
        (now_ms, limit),
    ).fetchall()
    while ends:
        previous_turns = _delete(connection, ends)
        deleted += ends
        ends = _expired_ends(connection, previous_turns, now_ms, limit - len(deleted))
    return deleted


def _delete(connection: sqlite3.Connection, keys: Sequence[TurnKey]) -> list[str]:
    """Delete turns, and their bodies unless another program holds them; return the ids of the turns they continued."""
    previous_turns: list[str] = []
    for turn, program in keys:
        (previous,) = connection.execute(
            "DELETE FROM turns WHERE turn = ? AND program = ? RETURNING previous", (turn, program)
        ).fetchone()
        connection.execute(
            "DELETE FROM turn_bodies WHERE turn = ? AND NOT EXISTS (SELECT 1 FROM turns WHERE turns.turn = ?)",
            (turn, turn),
        )
        if previous is not None:
            previous_turns.append(previous)
    return previous_turns


def _expired_ends(connection: sqlite3.Connection, turns: Sequence[str], now_ms: int, limit: int) -> list[TurnKey]:
    """Return the keys of those `turns`, of any program, that have expired and that no other turn continues."""
    return connection.execute(
        "SELECT turn, program FROM turns AS old WHERE turn IN (SELECT value FROM json_each(?)) AND expires_ms < ?"
        " AND NOT EXISTS (SELECT 1 FROM turns AS child WHERE child.previous = old.turn) LIMIT ?",
        (json.dumps(turns), now_ms, limit),
    ).fetchall()
