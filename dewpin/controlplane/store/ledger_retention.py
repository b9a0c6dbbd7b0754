"""Retention of unchanged ledgers.

A ledger is kept for the longest `retain_s` of the operator's configuration, so that a program that was stopped by its
budget and returns within that time still finds its spent tokens. If a later configuration shortens the retention, the
longer one still applies to the ledgers that were changed under it.
"""

from __future__ import annotations

import json
import sqlite3
from dataclasses import dataclass
from typing import Any

MIN_RETENTION_MS = 3_600_000
MAX_RETENTION_MS = 10 * 365 * 24 * 3_600_000
"""Ten years: keeps the arithmetic within the range of database integers for any configured value."""
_META_NAME = "ledger_retention"
"""Name of the row in `meta` that holds the retention as JSON."""


@dataclass(frozen=True, slots=True)
class LedgerRetention:
    """How long unchanged ledgers are kept.

    `current_ms`: retention of the newest configuration.
    `previous_ms`: longest retention of an earlier configuration that still applies; limited in time.
    `previous_until_ms`: wall-clock time in ms until which `previous_ms` applies.
    """

    current_ms: int
    previous_ms: int = 0
    previous_until_ms: int = 0

    def max_idle_ms(self, now_ms: int) -> int:
        """Return how long a ledger may stay unchanged before it is deleted."""
        return max(self.current_ms, self.previous_ms if now_ms < self.previous_until_ms else 0)

    def after_configuration(self, longest_retain_s: float, now_ms: int) -> LedgerRetention:
        """Return the retention after a new configuration with this longest `retain_s`.

        Ledgers that were changed earlier are kept for at least the retention that applied at that time.
        """
        current_ms = retention_ms(longest_retain_s)
        previous_ms = self.max_idle_ms(now_ms)
        if current_ms >= previous_ms:
            return LedgerRetention(current_ms)
        if current_ms == self.current_ms:
            return self
        return LedgerRetention(current_ms, previous_ms, max(self.previous_until_ms, now_ms + self.current_ms))

    def to_json(self) -> dict[str, Any]:
        """Return the JSON object stored in the database; the keys are those of earlier releases."""
        return {
            "present_ms": self.current_ms,
            "former_ms": self.previous_ms,
            "former_until_ms": self.previous_until_ms,
        }

    @staticmethod
    def from_json(value: dict[str, Any]) -> LedgerRetention:
        """Parse a JSON object made by `to_json`. Raises KeyError if a field is missing."""
        return LedgerRetention(value["present_ms"], value["former_ms"], value["former_until_ms"])


def retention_ms(longest_retain_s: float) -> int:
    """Return the ledger retention of a configuration with this longest `retain_s`, limited to the allowed range."""
    return int(min(max(longest_retain_s * 1000, MIN_RETENTION_MS), MAX_RETENTION_MS))


def load(connection: sqlite3.Connection) -> LedgerRetention | None:
    """Return the stored retention; None before the first configuration."""
    row = connection.execute("SELECT value FROM meta WHERE name = ?", (_META_NAME,)).fetchone()
    return None if row is None else LedgerRetention.from_json(json.loads(row[0]))


def update(connection: sqlite3.Connection, longest_retain_s: float | None, now_ms: int) -> LedgerRetention | None:
    """Apply the newest configuration to the stored retention, write it if it changed, and return it.

    `longest_retain_s` is None while no configuration is known. Return None before the first configuration.
    """
    before = load(connection)
    if longest_retain_s is None:
        return before
    if before is None:
        after = LedgerRetention(retention_ms(longest_retain_s))
    else:
        after = before.after_configuration(longest_retain_s, now_ms)
    if after != before:
        value = json.dumps(after.to_json())
        connection.execute("INSERT OR REPLACE INTO meta (name, value) VALUES (?, ?)", (_META_NAME, value))
    return after
