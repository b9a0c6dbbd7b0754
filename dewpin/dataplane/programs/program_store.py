"""Interface of the request path to the stores: budgets and turns of agent programs.

`ProgramStore` is a blocking interface for request threads. Its exceptions are defined in
`dewpin.dataplane.programs.errors`.
"""

from dataclasses import dataclass
from typing import Protocol

from dewpin.dataplane.programs.history import EMPTY_HISTORY, History


@dataclass(frozen=True, slots=True)
class Reservation:
    """Tokens of a program's budget that are reserved for one turn.

    program: id of the agent program.
    turn_id: id of the turn, by which reserving and settling are idempotent.
    max_tokens: maximum number of tokens that the turn may generate.
    """

    program: str
    turn_id: str
    max_tokens: int


@dataclass(frozen=True, slots=True)
class Settlement:
    """The end of a reservation; `used_tokens` is the number of tokens that the client received."""

    reservation: Reservation
    used_tokens: int


@dataclass(frozen=True, slots=True)
class TurnStart:
    """The result of beginning a turn that continues a conversation.

    history: the conversation so far, as returned by `ProgramStore.read_history`.
    """

    reservation: Reservation
    history: History


@dataclass(frozen=True, slots=True)
class Turn:
    """A complete turn.

    previous_id: id of the turn that this one continues; None for the first turn of a conversation.
    output: the data of all events, each followed by a line feed.
    retain_s: how long the stores must retain the turn, together with its history.
    history: the history up to `previous_id`; a replica gets what it lacks of it.
    """

    id: str
    program: str
    previous_id: str | None
    input: bytes
    output: bytes
    retain_s: float
    history: History = EMPTY_HISTORY


class ProgramStore(Protocol):
    """Thread-safe access to budgets and turns.

    Budgets are in tokens. `timeout_s` limits how long a method waits for the stores.
    """

    def reserve(self, program: str, turn_id: str, max_tokens: int, budget: int, timeout_s: float) -> Reservation:
        """Reserve the maximum number of tokens that a turn may generate, before it is forwarded.

        Raises BudgetExceededError or StoreUnavailableError.
        """

    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        """Replace a reservation by the tokens that the client received.

        Return immediately; the settlement is made, and retried, in the background.
        """

    def read_history(self, program: str, previous_id: str, timeout_s: float) -> History:
        """Return the history up to `previous_id`.

        Raises TurnNotFoundError or StoreUnavailableError.
        """

    def begin_turn(
        self, program: str, turn_id: str, max_tokens: int, budget: int, previous_id: str, timeout_s: float
    ) -> TurnStart:
        """Reserve tokens and read the conversation history concurrently.

        Raises the exceptions of both operations; the reservation is released in that case.
        """

    def store_turn(self, turn: Turn, timeout_s: float, settlement: Settlement | None = None) -> None:
        """Store a turn and its history durably. Raises StoreUnavailableError.

        The settlement is sent with the turn and retried in the background, even if the turn cannot be stored.
        """
