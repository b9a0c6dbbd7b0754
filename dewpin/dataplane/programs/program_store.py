"""What the request path needs of the stores: budgets and turns of agent programs.

`ProgramStore` is a blocking interface that request threads call. Its errors are those of
`dewpin.dataplane.programs.errors`.
"""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Reservation:
    """Tokens that are reserved for one turn in its program's budget.

    program: id of the agent program.
    turn_id: id of the turn, which makes reserving and settling idempotent.
    max_tokens: the most tokens that the turn may generate.
    """

    program: str
    turn_id: str
    max_tokens: int


@dataclass(frozen=True, slots=True)
class Settlement:
    """The end of a reservation: how many of its tokens the client received."""

    reservation: Reservation
    used_tokens: int


@dataclass(frozen=True, slots=True)
class TurnStart:
    """What a turn that continues a conversation needs before it is forwarded.

    history: the conversation so far, as `ProgramStore.read_history` returns it.
    """

    reservation: Reservation
    history: bytes


@dataclass(frozen=True, slots=True)
class Turn:
    """A turn that is complete.

    previous_id: the turn that this one continues, None for the first of a conversation.
    output: the data of each event, each followed by a line feed.
    retain_s: for how long the stores have to keep the turn.
    """

    id: str
    program: str
    previous_id: str | None
    input: bytes
    output: bytes
    retain_s: float


class ProgramStore(Protocol):
    """Budgets and turns. Every method may be called from any thread.

    Budgets and numbers of tokens are whole tokens. `timeout_s` limits how long a method waits for the stores.
    """

    def reserve(self, program: str, turn_id: str, max_tokens: int, budget: int, timeout_s: float) -> Reservation:
        """Reserve the most tokens that a turn may generate, before it is forwarded.

        Raises BudgetExceededError or StoreUnavailableError.
        """

    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        """Replace a reservation by the tokens that the client received.

        Returns at once; retried in the background."""

    def read_history(self, program: str, previous_id: str, timeout_s: float) -> bytes:
        """Return input and output of each turn up to `previous_id`, oldest first.

        Raises TurnNotFoundError or StoreUnavailableError.
        """

    def begin_turn(
        self, program: str, turn_id: str, max_tokens: int, budget: int, previous_id: str, timeout_s: float
    ) -> TurnStart:
        """Reserve and read the conversation history concurrently.

        Raises what either of them raises; the reservation is given back then.
        """

    def store_turn(self, turn: Turn, timeout_s: float, settlement: Settlement | None = None) -> None:
        """Store a turn, which is durable when this returns; raises StoreUnavailableError.

        The settlement is sent along and retried in the background, whether the turn is stored or not.
        """
