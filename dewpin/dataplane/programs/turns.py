"""Turns of agent programs: their budget, the history that they continue, and storing them.

A turn is a request on a stream route that carries `Budget`, or whose route retains turns. The most tokens that it may
generate are reserved before it is forwarded, and what the client received is settled afterwards. A retained turn
carries only its new input; the receiver gets the conversation history and then that input. A turn whose response is
complete is stored before the end of that response goes to the client.
"""

from collections.abc import Callable
from dataclasses import dataclass

from dewpin.cluster.configuration import Route, Service
from dewpin.cluster.errors import ErrorKind, TierError
from dewpin.dataplane.http11.event_splitter import Event
from dewpin.dataplane.http11.messages import REQUEST_ID, TOKEN_USAGE, Request
from dewpin.dataplane.programs.program_store import ProgramStore, Reservation, Settlement, Turn

PROGRAM_HEADER = "program"
PREVIOUS_HEADER = "previous"
BUDGET_HEADER = "budget"

BEGIN_TIMEOUT_S = 1.0
"""How long the stores may take before a turn is forwarded; a rejection serves the client better than a longer wait."""
CUT_OFF_BEGIN_TIMEOUT_S = 0.15
"""The same while this sender is cut off from the control plane."""
MIN_STORE_TIMEOUT_S = 0.05
"""Storing a complete turn gets at least so long, even if the request's time is over."""


@dataclass(frozen=True, slots=True)
class TurnPlan:
    """What a request needs of the stores.

    program: id of the agent program; that of the turn where the request names none.
    previous_id: the turn that this one continues, None for the first of a conversation.
    budget: tokens that the program may use in all; None where the turn has no budget.
    max_tokens: the most tokens that the turn may generate; 0 without a budget.
    is_retained: whether the turn is stored, for `retain_s`.
    tokens_per_event: how many tokens an event of the response stands for.
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
    """Return what a request needs of the stores, None if it is no turn; raises TierError if a header is invalid."""
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
    """A turn in progress; `settle` has to be called when it ends, however it does.

    body: what is sent to the receiver; complete once `begin` has returned.
    """

    def __init__(self, store: ProgramStore, plan: TurnPlan, request: Request) -> None:
        self._store = store
        self._plan = plan
        self._request = request
        self._reservation: Reservation | None = None
        self._event_count = 0
        self._output: list[bytes] = []
        self.body = request.body

    def begin(self, time_left_s: Callable[[], float], is_cut_off: bool = False) -> None:
        """Reserve the budget and read the history.

        Raises BudgetExceededError, TurnNotFoundError or StoreUnavailableError.
        """
        plan = self._plan
        timeout_s = min(CUT_OFF_BEGIN_TIMEOUT_S if is_cut_off else BEGIN_TIMEOUT_S, time_left_s())
        previous_id = plan.previous_id if plan.is_retained else None
        history = b""
        if plan.budget is not None and previous_id is not None:
            start = self._store.begin_turn(
                plan.program, plan.turn_id, plan.max_tokens, plan.budget, previous_id, timeout_s
            )
            self._reservation, history = start.reservation, start.history
        elif plan.budget is not None:
            self._reservation = self._store.reserve(plan.program, plan.turn_id, plan.max_tokens, plan.budget, timeout_s)
        elif previous_id is not None:
            history = self._store.read_history(plan.program, previous_id, timeout_s)
        self.body = history + self._request.body

    def record_event(self, event: Event) -> None:
        """Record an event that is about to be sent to the client."""
        self._event_count += 1
        if self._plan.is_retained:
            self._output.append(event.data or b"")

    def store(self, timeout_s: float) -> None:
        """Store the turn, whose response is complete; raises StoreUnavailableError if it may not be durable."""
        plan = self._plan
        if not plan.is_retained:
            return
        output = b"".join(data + b"\n" for data in self._output)
        turn = Turn(plan.turn_id, plan.program, plan.previous_id, self._request.body, output, plan.retain_s)
        self._store.store_turn(turn, max(MIN_STORE_TIMEOUT_S, timeout_s), self._claim_settlement())

    def settle(self) -> None:
        """Tell the stores how many tokens the client received, unless that was done already."""
        settlement = self._claim_settlement()
        if settlement is not None:
            self._store.settle(settlement.reservation, settlement.used_tokens)

    def _claim_settlement(self) -> Settlement | None:
        """Return the turn's settlement; only the first call returns one."""
        reservation, self._reservation = self._reservation, None
        if reservation is None:
            return None
        return Settlement(reservation, self._event_count * self._plan.tokens_per_event)


def _parse_max_tokens(request: Request) -> int:
    """Return the second number of the header: the most tokens that the turn may generate."""
    numbers = (request.headers.get(TOKEN_USAGE) or "").split(",")
    if len(numbers) != 2:
        raise TierError(ErrorKind.BAD_REQUEST, "X-Dewpin-Token-Usage has to hold two numbers")
    return _parse_whole_number(numbers[1], "X-Dewpin-Token-Usage")


def _parse_whole_number(value: str, header: str) -> int:
    stripped = value.strip()
    if not (stripped.isascii() and stripped.isdigit()):
        raise TierError(ErrorKind.BAD_REQUEST, f"{header} has to be a whole number")
    return int(stripped)
