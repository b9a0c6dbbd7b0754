"""The budget ledger of a program: the value of its register, and the changes made to it, as pure functions.

The turn's id makes each change idempotent: made again after an unclear outcome, it finds itself done.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TypedDict

from dewpin.dataplane.programs.program_store import BudgetSpent


class Ledger(TypedDict):
    """Tokens spent by settled turns, and the most of each turn that is not settled."""

    spent: int
    open: dict[str, int]


Change = Callable[[Ledger | None], Ledger | None]
"""Takes the present value (None before the first change); returns the next one, or the same object."""


def committed(ledger: Ledger | None) -> int:
    """Return the tokens that are spent or may yet be."""
    return 0 if ledger is None else ledger["spent"] + sum(ledger["open"].values())


def fits(ledger: Ledger | None, turn: str, most: int, budget: int) -> bool:
    """Tell whether the budget holds `most` tokens more, or already holds them for `turn`."""
    if ledger is not None and turn in ledger["open"]:
        return True
    return committed(ledger) + most <= budget


def reserve(turn: str, most: int, budget: int) -> Change:
    """Return the change that keeps `most` tokens for `turn`; it raises BudgetSpent."""

    def change(ledger: Ledger | None) -> Ledger | None:
        if ledger is not None and turn in ledger["open"]:
            return ledger
        if not fits(ledger, turn, most, budget):
            raise BudgetSpent(
                f"{committed(ledger)} of {budget} tokens are spent or reserved, {most} more are asked for"
            )
        spent, reserved = (0, {}) if ledger is None else (ledger["spent"], ledger["open"])
        return Ledger(spent=spent, open={**reserved, turn: most})

    return change


def settle(turn: str, used: int) -> Change:
    """Return the change that replaces the reservation of `turn` by the tokens that it used."""

    def change(ledger: Ledger | None) -> Ledger | None:
        if ledger is None or turn not in ledger["open"]:
            return ledger
        still_open = {other: most for other, most in ledger["open"].items() if other != turn}
        return Ledger(spent=ledger["spent"] + used, open=still_open)

    return change


def after_settlements(used_by_turn: Mapping[str, int], change: Change) -> Change:
    """Return the change that first settles some turns and then makes `change`."""
    settlements = [settle(turn, used) for turn, used in used_by_turn.items()]

    def combined(ledger: Ledger | None) -> Ledger | None:
        for settlement in settlements:
            ledger = settlement(ledger)
        return change(ledger)

    return combined


def read(ledger: Ledger | None) -> Ledger | None:
    """Change nothing: a read, which finishes what another sender left half done."""
    return ledger
