"""The turns on disk: rows for the programs that hold a turn, bodies kept once.

All functions run on the storage thread, inside its transaction. A turn outlives its own expiry for as long as a turn
that goes on from it is there: expired turns are purged from the leaves of the chains.
"""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Sequence
from dataclasses import dataclass

from dewpin.cluster.store_messages import HistoryPage, TurnRecord


@dataclass(frozen=True, slots=True)
class IndexEntry:
    """One turn of a program, without its bodies. `left_ms`: how much longer it is kept, negative once expired."""

    turn: str
    program: str
    left_ms: int


_SWEPT_FOR_EACH = 4
"""Rows of a stretch of keys that are read at most for each key that is looked up in it."""


def put(connection: sqlite3.Connection, records: Sequence[TurnRecord], now_ms: int, margin_ms: int) -> None:
    """Keep turns; one that is there already is kept at least as long."""
    _insert(connection, records, now_ms, [margin_ms] * len(records))


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


def chain(connection: sqlite3.Connection, program: str, last: str, most_bytes: int) -> HistoryPage:
    """Return the chain that ends with turn `last`, newest first, as far as it is here and up to about `most_bytes`."""
    links: list[TurnRecord] = []
    foreign: set[str] = set()
    size = 0
    following: str | None = last
    while following is not None and size < most_bytes:
        record = _read(connection, program, following)
        if record is None:
            return HistoryPage(tuple(links), following, True, frozenset(foreign))
        links.append(record)
        size += len(record.input) + len(record.output)
        if record.program != program:
            foreign.add(record.turn)
        following = record.previous
    return HistoryPage(tuple(links), following, False, frozenset(foreign))


def _read(connection: sqlite3.Connection, program: str, turn: str) -> TurnRecord | None:
    """Return a turn, as kept for `program` if it is, else as kept for any other."""
    row = connection.execute(
        "SELECT turns.program, turns.previous, turns.retain_ms, turn_bodies.input, turn_bodies.output"
        " FROM turns JOIN turn_bodies USING (turn) WHERE turns.turn = ? ORDER BY turns.program <> ? LIMIT 1",
        (turn, program),
    ).fetchone()
    if row is None:
        return None
    return TurnRecord(turn, row[0], row[1], row[2], bytes(row[3]), bytes(row[4]))


def index_page(connection: sqlite3.Connection, after: tuple[str, str], most: int, now_ms: int) -> list[IndexEntry]:
    """Return up to `most` turns whose (turn, program) comes after `after`, in that order."""
    rows = connection.execute(
        "SELECT turn, program, expires_ms FROM turns WHERE (turn, program) > (?, ?) ORDER BY turn, program LIMIT ?",
        (*after, most),
    )
    return [IndexEntry(turn, program, expires_ms - now_ms) for turn, program, expires_ms in rows]


def missing(connection: sqlite3.Connection, entries: Sequence[IndexEntry]) -> list[IndexEntry]:
    """Return those of `entries` that are not here."""
    keys = json.dumps([[entry.turn, entry.program] for entry in entries])
    rows = connection.execute(
        "SELECT asked.key FROM json_each(?) AS asked WHERE NOT EXISTS (SELECT 1 FROM turns"
        " WHERE turn = asked.value ->> 0 AND program = asked.value ->> 1)",
        (keys,),
    )
    return [entries[position] for (position,) in rows]


def missing_of_page(connection: sqlite3.Connection, entries: Sequence[IndexEntry]) -> list[IndexEntry]:
    """Return those of `entries` that are not here, as `missing`; cheaper where they lie close together by their keys:
    the stretch of keys that they span is read in one sweep, unless far more turns than that are in it."""
    if not entries:
        return []
    keys = [(entry.turn, entry.program) for entry in entries]
    most = len(entries) * _SWEPT_FOR_EACH
    here = connection.execute(
        "SELECT turn, program FROM turns WHERE (turn, program) >= (?, ?) AND (turn, program) <= (?, ?) LIMIT ?",
        (*min(keys), *max(keys), most),
    ).fetchall()
    if len(here) == most:
        return missing(connection, entries)
    held = set(here)
    return [entry for entry, key in zip(entries, keys, strict=True) if key not in held]


def read_exact(
    connection: sqlite3.Connection, keys: Sequence[tuple[str, str]], most_bytes: int
) -> tuple[list[TurnRecord], Sequence[tuple[str, str]]]:
    """Return the turns of `keys` (turn, program) that are here, in order, up to about `most_bytes` of bodies, and the
    keys that were left unread for their size."""
    found: list[TurnRecord] = []
    size = 0
    for position, (turn, program) in enumerate(keys):
        if size >= most_bytes:
            return found, keys[position:]
        record = _read_exact(connection, turn, program)
        if record is None:
            continue
        found.append(record)
        size += len(record.input) + len(record.output)
    return found, ()


def _read_exact(connection: sqlite3.Connection, turn: str, program: str) -> TurnRecord | None:
    """Return a turn as kept for `program`."""
    row = connection.execute(
        "SELECT turns.previous, turns.retain_ms, turn_bodies.input, turn_bodies.output"
        " FROM turns JOIN turn_bodies USING (turn) WHERE turns.turn = ? AND turns.program = ?",
        (turn, program),
    ).fetchone()
    return None if row is None else TurnRecord(turn, program, row[0], row[1], bytes(row[2]), bytes(row[3]))


def take_over(
    connection: sqlite3.Connection, records: Sequence[TurnRecord], left_ms: Sequence[int], now_ms: int
) -> None:
    """Keep copies of other stores' turns for as long as those keep them."""
    kept_ms = [left - record.retain_ms for record, left in zip(records, left_ms, strict=True)]
    _insert(connection, records, now_ms, kept_ms)


def purge(connection: sqlite3.Connection, now_ms: int, most: int) -> int:
    """Delete up to `most` expired turns from which no turn goes on; return how many."""
    rows = connection.execute(
        "DELETE FROM turns WHERE (turn, program) IN (SELECT turn, program FROM turns AS old WHERE expires_ms < ?"
        " AND NOT EXISTS (SELECT 1 FROM turns AS child WHERE child.previous = old.turn)"
        " ORDER BY expires_ms LIMIT ?) RETURNING turn",
        (now_ms, most),
    ).fetchall()
    for (turn,) in rows:
        connection.execute(
            "DELETE FROM turn_bodies WHERE turn = ? AND NOT EXISTS (SELECT 1 FROM turns WHERE turns.turn = ?)",
            (turn, turn),
        )
    return len(rows)
