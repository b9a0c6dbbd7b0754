"""For how long a ledger without a change is kept: as long as the longest `retain_s` of the operator's configuration, so
that a program that its budget stopped and that comes again finds what it has spent.

What a configuration asked for stays in force for ledgers that were changed under it, also after a shorter one came.
"""

from __future__ import annotations

import json
import sqlite3
from dataclasses import asdict, dataclass

LEAST_MS = 3_600_000
MOST_MS = 10 * 365 * 24 * 3_600_000
"""Ten years: keeps the arithmetic within the database's whole numbers, whatever the operator wrote."""
_META_NAME = "ledger_retention"


@dataclass(frozen=True, slots=True)
class LedgerRetention:
    """`present_ms`: what the newest configuration asks for. `former_ms`: the longest that an earlier one asked for,
    in force until the time of day `former_until_ms`."""

    present_ms: int
    former_ms: int = 0
    former_until_ms: int = 0

    def idle_ms(self, now_ms: int) -> int:
        """Return for how long a ledger may be without a change before it is forgotten."""
        return max(self.present_ms, self.former_ms if now_ms < self.former_until_ms else 0)

    def followed_by(self, longest_retain_s: float, now_ms: int) -> LedgerRetention:
        """Return the retention once a configuration with this longest `retain_s` has come.

        Every ledger that was changed before is kept for as long as was said then."""
        present_ms = retention_ms(longest_retain_s)
        former_ms = self.idle_ms(now_ms)
        if present_ms >= former_ms:
            return LedgerRetention(present_ms)
        if present_ms == self.present_ms:
            return self
        return LedgerRetention(present_ms, former_ms, max(self.former_until_ms, now_ms + self.present_ms))


def retention_ms(longest_retain_s: float) -> int:
    """Return for how long a configuration with this longest `retain_s` asks to keep a ledger."""
    return int(min(max(longest_retain_s * 1000, LEAST_MS), MOST_MS))


def load(connection: sqlite3.Connection) -> LedgerRetention | None:
    """Return the retention as it stands on disk; None before the first configuration."""
    row = connection.execute("SELECT value FROM meta WHERE name = ?", (_META_NAME,)).fetchone()
    return None if row is None else LedgerRetention(**json.loads(row[0]))


def follow(connection: sqlite3.Connection, longest_retain_s: float | None, now_ms: int) -> LedgerRetention | None:
    """Return the retention after the newest configuration, None while none has come; what is new is written."""
    before = load(connection)
    if longest_retain_s is None:
        return before
    if before is None:
        after = LedgerRetention(retention_ms(longest_retain_s))
    else:
        after = before.followed_by(longest_retain_s, now_ms)
    if after != before:
        value = json.dumps(asdict(after))
        connection.execute("INSERT OR REPLACE INTO meta (name, value) VALUES (?, ?)", (_META_NAME, value))
    return after
