"""The budget ledger of a program: the value of its register and the pure functions that change it.

Each change is idempotent, because it is identified by the turn's id: repeated after an unknown outcome, it has no
further effect.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TypedDict

from dewpin.dataplane.programs.errors import BudgetExceededError


class Ledger(TypedDict):
    """A program's token counts. The keys are part of the store protocol and of the stores' database schema.

    spent: tokens used by settled turns.
    open: tokens reserved for each turn that is not settled, by turn id.
    """

    spent: int
    open: dict[str, int]


Change = Callable[[Ledger | None], Ledger | None]
"""Maps the current value (None before the first change) to the next one; returns the same object for no change."""


def committed_tokens(ledger: Ledger | None) -> int:
    """Return the number of tokens that are spent or reserved."""
    return 0 if ledger is None else ledger["spent"] + sum(ledger["open"].values())


def can_reserve(ledger: Ledger | None, turn_id: str, max_tokens: int, budget: int) -> bool:
    """Return whether the remaining budget allows `max_tokens`, or tokens are already reserved for the turn."""
    if ledger is not None and turn_id in ledger["open"]:
        return True
    return committed_tokens(ledger) + max_tokens <= budget


def reserve(turn_id: str, max_tokens: int, budget: int) -> Change:
    """Create a change that reserves `max_tokens` for a turn; it raises BudgetExceededError."""

    def change(ledger: Ledger | None) -> Ledger | None:
        if ledger is not None and turn_id in ledger["open"]:
            return ledger
        if not can_reserve(ledger, turn_id, max_tokens, budget):
            raise BudgetExceededError(
                f"{committed_tokens(ledger)} of {budget} tokens are spent or reserved, {max_tokens} more are asked for"
            )
        spent, reserved = (0, {}) if ledger is None else (ledger["spent"], ledger["open"])
        return Ledger(spent=spent, open={**reserved, turn_id: max_tokens})

    return change


def settle(turn_id: str, used_tokens: int) -> Change:
    """Create a change that replaces the reservation of a turn by the tokens that it used."""

    def change(ledger: Ledger | None) -> Ledger | None:
        if ledger is None or turn_id not in ledger["open"]:
            return ledger
        remaining = {other: reserved for other, reserved in ledger["open"].items() if other != turn_id}
        return Ledger(spent=ledger["spent"] + used_tokens, open=remaining)

    return change


def settle_then(used_by_turn: Mapping[str, int], change: Change) -> Change:
    """Create a change that settles the given turns before it applies `change`."""
    settlements = [settle(turn_id, used_tokens) for turn_id, used_tokens in used_by_turn.items()]

    def combined(ledger: Ledger | None) -> Ledger | None:
        for settlement in settlements:
            ledger = settlement(ledger)
        return change(ledger)

    return combined


def read(ledger: Ledger | None) -> Ledger | None:
    """Return the ledger unchanged: the change of a read, which completes an unfinished change of another sender."""
    return ledger
