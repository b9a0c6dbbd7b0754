"""How long a ledger without a change is kept: as long as the longest `retain_s` of the operator's configuration, so
that a program that its budget stopped and that returns finds what it has spent.

What a configuration asked for stays in force for ledgers that were changed under it, also after a configuration with a
shorter time.
"""

from __future__ import annotations

import json
import sqlite3
from dataclasses import dataclass
from typing import Any

MIN_RETENTION_MS = 3_600_000
MAX_RETENTION_MS = 10 * 365 * 24 * 3_600_000
"""Ten years: keeps the arithmetic within the database's integers, whatever the operator wrote."""
_META_NAME = "ledger_retention"
"""Name of the row of `meta` that holds the retention as JSON."""


@dataclass(frozen=True, slots=True)
class LedgerRetention:
    """How long ledgers without a change are kept.

    `current_ms`: what the newest configuration asks for.
    `previous_ms`: the longest that an earlier configuration asked for; in force for a limited time.
    `previous_until_ms`: time of day in ms at which `previous_ms` ends.
    """

    current_ms: int
    previous_ms: int = 0
    previous_until_ms: int = 0

    def max_idle_ms(self, now_ms: int) -> int:
        """Return for how long a ledger may be without a change before it is deleted."""
        return max(self.current_ms, self.previous_ms if now_ms < self.previous_until_ms else 0)

    def followed_by(self, longest_retain_s: float, now_ms: int) -> LedgerRetention:
        """Return the retention after a new configuration with this longest `retain_s`.

        Every ledger that was changed before is kept for as long as was said then.
        """
        current_ms = retention_ms(longest_retain_s)
        previous_ms = self.max_idle_ms(now_ms)
        if current_ms >= previous_ms:
            return LedgerRetention(current_ms)
        if current_ms == self.current_ms:
            return self
        return LedgerRetention(current_ms, previous_ms, max(self.previous_until_ms, now_ms + self.current_ms))

    def to_json(self) -> dict[str, Any]:
        """Return the JSON object that the database holds; its keys are those of earlier releases."""
        return {
            "present_ms": self.current_ms,
            "former_ms": self.previous_ms,
            "former_until_ms": self.previous_until_ms,
        }

    @staticmethod
    def from_json(value: dict[str, Any]) -> LedgerRetention:
        """Return the retention of a JSON object made by `to_json`. Raises KeyError if it is none."""
        return LedgerRetention(value["present_ms"], value["former_ms"], value["former_until_ms"])


def retention_ms(longest_retain_s: float) -> int:
    """Return for how long a configuration with this longest `retain_s` asks to keep a ledger."""
    return int(min(max(longest_retain_s * 1000, MIN_RETENTION_MS), MAX_RETENTION_MS))


def load(connection: sqlite3.Connection) -> LedgerRetention | None:
    """Return the retention that the database holds; None before the first configuration."""
    row = connection.execute("SELECT value FROM meta WHERE name = ?", (_META_NAME,)).fetchone()
    return None if row is None else LedgerRetention.from_json(json.loads(row[0]))


def update(connection: sqlite3.Connection, longest_retain_s: float | None, now_ms: int) -> LedgerRetention | None:
    """Return the retention after the newest configuration, and write it if it changed.

    `longest_retain_s` is None while no configuration is known; the result is None before the first one.
    """
    before = load(connection)
    if longest_retain_s is None:
        return before
    if before is None:
        after = LedgerRetention(retention_ms(longest_retain_s))
    else:
        after = before.followed_by(longest_retain_s, now_ms)
    if after != before:
        value = json.dumps(after.to_json())
        connection.execute("INSERT OR REPLACE INTO meta (name, value) VALUES (?, ?)", (_META_NAME, value))
    return after
