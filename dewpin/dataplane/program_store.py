"""What a sender asks of the stores of agent programs: budgets, chains of turns, durable turns."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class ProgramStoreError(Exception):
    """The store of programs did not do what was asked."""


class BudgetSpent(ProgramStoreError):
    """The program's budget does not hold one more turn, as a majority of its replicas has proved."""


class TurnUnknown(ProgramStoreError):
    """No store holds the turn, for sure."""


class StoreUnavailable(ProgramStoreError):
    """Too few stores answered in time; nothing is known for sure."""


@dataclass(frozen=True, slots=True)
class Turn:
    """A turn that has ended whole. `output` is each event's data with a line feed behind it."""

    id: str
    program: str
    previous: str | None
    input: bytes
    output: bytes
    retain_s: float


@dataclass(frozen=True, slots=True)
class Reservation:
    """The tokens kept for a turn until it is settled: `most` of them, taken from the budget of `program`."""

    program: str
    turn: str
    most: int


class ProgramStore(Protocol):
    """The stores of agent programs, as a request's thread calls them. Every call is bounded by its `timeout_s`."""

    def reserve(self, program: str, turn: str, most: int, budget: int, timeout_s: float) -> Reservation:
        """Keep `most` tokens of the program's budget for a turn. Raises BudgetSpent, StoreUnavailable."""

    def settle(self, reservation: Reservation, used: int) -> None:
        """Replace a reservation by the tokens that were handed out. Returns at once; repeated until it is done."""

    def chain(self, program: str, previous: str, timeout_s: float) -> bytes:
        """Return inputs and outputs of the chain that ends with turn `previous`, oldest first.

        Raises TurnUnknown when no store has the turn for sure, StoreUnavailable when nobody can be sure.
        """

    def append(self, turn: Turn, timeout_s: float) -> None:
        """Keep a turn; it is durable when this returns. Raises StoreUnavailable."""
