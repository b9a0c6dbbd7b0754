"""What the request path asks of the stores: budgets and turns of agent programs.

`ProgramStore` is a blocking facade that request threads call. Its errors are `TierError`s, so that they reach the
client through the one table of answers in `dewpin.cluster.errors`.
"""

from dataclasses import dataclass
from typing import Protocol

from dewpin.cluster.errors import ErrorKind, TierError
from dewpin.cluster.store_view import Member, StoreView

__all__ = [
    "BegunTurn",
    "BudgetSpent",
    "Member",
    "ProgramStore",
    "Reservation",
    "Settlement",
    "StoreUnavailable",
    "StoreView",
    "Turn",
    "TurnUnknown",
]


class BudgetSpent(TierError):
    """The budget of the program does not hold the most that this turn may generate."""

    def __init__(self, detail: str = "") -> None:
        super().__init__(ErrorKind.BUDGET_SPENT, detail)


class TurnUnknown(TierError):
    """There surely is no such turn."""

    def __init__(self, detail: str = "") -> None:
        super().__init__(ErrorKind.TURN_UNKNOWN, detail)


class StoreUnavailable(TierError):
    """Too few stores answered in time; whether the operation took effect is unknown."""

    def __init__(self, detail: str = "") -> None:
        super().__init__(ErrorKind.STORE_UNAVAILABLE, detail)


@dataclass(frozen=True, slots=True)
class Reservation:
    """Tokens set aside for one turn out of its program's budget."""

    program: str
    turn: str
    most: int


@dataclass(frozen=True, slots=True)
class Settlement:
    """The end of a reservation: how many of its tokens were handed out."""

    reservation: Reservation
    used: int


@dataclass(frozen=True, slots=True)
class BegunTurn:
    """What a turn that goes on from another one needs before it is sent; `chain` as `ProgramStore.chain` returns it."""

    reservation: Reservation
    chain: bytes


@dataclass(frozen=True, slots=True)
class Turn:
    """A turn that ended whole. `output` is the data of each event with a line feed behind it."""

    id: str
    program: str
    previous: str | None
    input: bytes
    output: bytes
    retain_s: float


class ProgramStore(Protocol):
    """Budgets and turns; every method may be called from any thread."""

    def reserve(self, program: str, turn: str, most: int, budget: int, timeout_s: float) -> Reservation:
        """Set the most of a turn aside before it is sent; raises BudgetSpent or StoreUnavailable."""

    def settle(self, reservation: Reservation, used: int) -> None:
        """Tell how many tokens were handed out; returns at once, is repeated in the background."""

    def chain(self, program: str, previous: str, timeout_s: float) -> bytes:
        """Return input and output of each turn up to `previous`, oldest first; raises TurnUnknown, StoreUnavailable."""

    def begin(self, program: str, turn: str, most: int, budget: int, previous: str, timeout_s: float) -> BegunTurn:
        """Reserve and read the chain side by side; raises what either raises, and then keeps no reservation."""

    def append(self, turn: Turn, timeout_s: float, settlement: Settlement | None = None) -> None:
        """Keep a turn; it is durable when this returns; raises StoreUnavailable. A settlement goes along with it and is
        repeated in the background, whether the turn is kept or not."""
