"""Turns of agent programs: budget, conversation history and storage.

A turn is a request on a stream route that has a `Budget` header, or whose route retains turns. The maximum number of
tokens that it may generate is reserved before it is forwarded; afterwards the number that the client received is
settled. The request of a retained turn contains only the new input; the receiver gets the conversation history followed
by that input. A turn with a complete response is stored before the end of the response is sent to the client.
"""

from collections.abc import Callable
from dataclasses import dataclass

from dewpin.cluster.configuration import Route, Service
from dewpin.cluster.errors import ErrorKind, TierError
from dewpin.cluster.memory_budget import MemoryBudgetExceededError
from dewpin.dataplane.http11.event_splitter import Event
from dewpin.dataplane.http11.messages import REQUEST_ID, TOKEN_USAGE, Request
from dewpin.dataplane.programs.history import EMPTY_HISTORY, History, HistoryTurn
from dewpin.dataplane.programs.program_store import ProgramStore, Reservation, Settlement, Turn

PROGRAM_HEADER = "program"
PREVIOUS_HEADER = "previous"
BUDGET_HEADER = "budget"

BEGIN_TIMEOUT_S = 1.0
"""Time-out of the store operations before a turn is forwarded; a rejection is better than a longer wait."""
CUT_OFF_BEGIN_TIMEOUT_S = 0.15
"""As `BEGIN_TIMEOUT_S`, while this sender is cut off from the control plane."""
STORED_COPIES = 7
"""Copies of a turn that are charged while it is stored: its encoded form, and for each of three replicas the frame and
the compressed bytes that are sent."""
MIN_STORE_TIMEOUT_S = 0.05
"""Minimum time-out of storing a complete turn, even if the request's deadline has passed."""


@dataclass(frozen=True, slots=True)
class TurnPlan:
    """The store operations that a request requires.

    program: id of the agent program; the turn's id if the request names no program.
    previous_id: id of the turn that this one continues; None for the first turn of a conversation.
    budget: total number of tokens that the program may use; None if the turn has no budget.
    max_tokens: maximum number of tokens that the turn may generate; 0 without a budget.
    is_retained: whether the turn is stored, for `retain_s`.
    tokens_per_event: number of tokens for which an event of the response counts.
    """

    turn_id: str
    program: str
    previous_id: str | None
    budget: int | None
    max_tokens: int
    is_retained: bool
    retain_s: float
    tokens_per_event: int


def plan_turn(request: Request, route: Route, service: Service) -> TurnPlan | None:
    """Return the plan of a turn; None if the request is not a turn. Raises TierError if a header is invalid."""
    budget = request.headers.get(BUDGET_HEADER)
    if not route.is_stream or (budget is None and not route.retained):
        return None
    turn_id = request.headers.get(REQUEST_ID) or ""
    return TurnPlan(
        turn_id=turn_id,
        program=request.headers.get(PROGRAM_HEADER) or turn_id,
        previous_id=request.headers.get(PREVIOUS_HEADER),
        budget=None if budget is None else _parse_whole_number(budget, "Budget"),
        max_tokens=0 if budget is None else _parse_max_tokens(request),
        is_retained=route.retained,
        retain_s=route.retain_s,
        tokens_per_event=service.engine.chunk_size if service.engine else 1,
    )


class OpenTurn:
    """A turn in progress; `settle` must be called at its end, also after an error.

    body: the request body for the receiver; includes the history once `begin` has returned.
    """

    def __init__(self, store: ProgramStore, plan: TurnPlan, request: Request) -> None:
        self._store = store
        self._plan = plan
        self._request = request
        self._reservation: Reservation | None = None
        self._event_count = 0
        self._output: list[bytes] = []
        self._previous_turns: tuple[HistoryTurn, ...] = ()
        self.body = request.body

    def begin(self, time_left_s: Callable[[], float], is_cut_off: bool = False) -> None:
        """Reserve tokens and read the history, as the plan requires.

        Raises BudgetExceededError, TurnNotFoundError, StoreUnavailableError or MemoryBudgetExceededError.
        """
        plan = self._plan
        timeout_s = min(CUT_OFF_BEGIN_TIMEOUT_S if is_cut_off else BEGIN_TIMEOUT_S, time_left_s())
        previous_id = plan.previous_id if plan.is_retained else None
        history = EMPTY_HISTORY
        if plan.budget is not None and previous_id is not None:
            start = self._store.begin_turn(
                plan.program, plan.turn_id, plan.max_tokens, plan.budget, previous_id, timeout_s
            )
            self._reservation, history = start.reservation, start.history
        elif plan.budget is not None:
            self._reservation = self._store.reserve(plan.program, plan.turn_id, plan.max_tokens, plan.budget, timeout_s)
        elif previous_id is not None:
            history = self._store.read_history(plan.program, previous_id, timeout_s)
        if history.content:
            self._charge_or_settle(len(history.content) + len(self._request.body))
        self._previous_turns = history.turns
        self.body = history.content + self._request.body

    def _charge_or_settle(self, count: int) -> None:
        """Charge the body for the receiver; release the reservation if it does not fit into the memory budget."""
        try:
            self._request.memory.add(count)
        except MemoryBudgetExceededError:
            self.settle()
            raise

    def record_event(self, event: Event) -> None:
        """Record an event before it is sent to the client. Raises MemoryBudgetExceededError."""
        self._event_count += 1
        if self._plan.is_retained:
            data = event.data or b""
            self._request.memory.add(len(data), has_priority=True)
            self._output.append(data)

    def store(self, timeout_s: float) -> None:
        """Store the turn, whose response must be complete, and its history.

        Raises StoreUnavailableError if they may not be durable, or MemoryBudgetExceededError.
        """
        plan = self._plan
        if not plan.is_retained:
            return
        timeout_s = max(MIN_STORE_TIMEOUT_S, timeout_s)
        turn_bytes = len(self._request.body) + sum(map(len, self._output))
        self._request.memory.add(STORED_COPIES * turn_bytes, has_priority=True, max_wait_s=timeout_s)
        output = b"".join(data + b"\n" for data in self._output)
        history = History(self._previous_turns, self.body) if self._previous_turns else EMPTY_HISTORY
        turn = Turn(plan.turn_id, plan.program, plan.previous_id, self._request.body, output, plan.retain_s, history)
        self._store.store_turn(turn, timeout_s, self._claim_settlement())

    def settle(self) -> None:
        """Settle the tokens that the client received, unless a settlement has already been sent to the stores."""
        settlement = self._claim_settlement()
        if settlement is not None:
            self._store.settle(settlement.reservation, settlement.used_tokens)

    def _claim_settlement(self) -> Settlement | None:
        """Return the turn's settlement on the first call, None on later ones."""
        reservation, self._reservation = self._reservation, None
        if reservation is None:
            return None
        return Settlement(reservation, self._event_count * self._plan.tokens_per_event)


def _parse_max_tokens(request: Request) -> int:
    """Return the second number of the header: the maximum number of tokens that the turn may generate."""
    numbers = (request.headers.get(TOKEN_USAGE) or "").split(",")
    if len(numbers) != 2:
        raise TierError(ErrorKind.BAD_REQUEST, "X-Dewpin-Token-Usage has to hold two numbers")
    return _parse_whole_number(numbers[1], "X-Dewpin-Token-Usage")


def _parse_whole_number(value: str, header: str) -> int:
    stripped = value.strip()
    if not (stripped.isascii() and stripped.isdigit()):
        raise TierError(ErrorKind.BAD_REQUEST, f"{header} has to be a whole number")
    return int(stripped)
