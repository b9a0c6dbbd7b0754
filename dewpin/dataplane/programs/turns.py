"""Turns of agent programs: their budget, the chain that they go on from, and their keeping.

A turn is a request on a stream route that carries `Budget`, or whose route retains what was said. The most that it may
generate is reserved before it is sent, and what was handed to the client is settled afterwards. A retained turn brings
only its new input; the receiver gets the chain of the turns before it and then that input. A turn whose answer came
whole is stored before the end of that answer goes to the client.
"""

from collections.abc import Callable
from dataclasses import dataclass

from dewpin.cluster.configuration import Route, Service
from dewpin.cluster.errors import ErrorKind, TierError
from dewpin.dataplane.http11.event_splitter import Event
from dewpin.dataplane.http11.messages import REQUEST_ID, TOKEN_USAGE, Request
from dewpin.dataplane.programs.program_store import ProgramStore, Reservation, Settlement, Turn

PROGRAM = "program"
PREVIOUS = "previous"
BUDGET = "budget"

OPEN_TIMEOUT_S = 1.0
"""How long the stores may take before a turn is sent; a refusal serves the client better than a longer wait."""
CUT_OFF_OPEN_TIMEOUT_S = 0.15
"""How long a sender that takes itself for cut off still waits for the stores before it refuses a turn."""
LEAST_KEEP_TIMEOUT_S = 0.05


@dataclass(frozen=True, slots=True)
class TurnPlan:
    """What a request asks of the stores. `budget` and `most` are tokens, `budget` is None where none is given."""

    turn_id: str
    program: str
    previous: str | None
    budget: int | None
    most: int
    retained: bool
    retain_s: float
    tokens_per_event: int


def plan_turn(request: Request, route: Route, service: Service) -> TurnPlan | None:
    """Return what a request asks of the stores, or None if it is no turn; raises TierError if it is malformed."""
    budget = request.headers.get(BUDGET)
    if not route.is_stream or (budget is None and not route.retained):
        return None
    turn_id = request.headers.get(REQUEST_ID) or ""
    return TurnPlan(
        turn_id=turn_id,
        program=request.headers.get(PROGRAM) or turn_id,
        previous=request.headers.get(PREVIOUS),
        budget=None if budget is None else _whole_number(budget, "Budget"),
        most=0 if budget is None else _most_tokens(request),
        retained=route.retained,
        retain_s=route.retain_s,
        tokens_per_event=service.engine.chunk_size if service.engine else 1,
    )


class OpenTurn:
    """A turn under way; `settle` has to be called at its end, whatever that is."""

    def __init__(self, store: ProgramStore, plan: TurnPlan, request: Request) -> None:
        self._store = store
        self._plan = plan
        self._request = request
        self._reservation: Reservation | None = None
        self._events_passed = 0
        self._output: list[bytes] = []
        self.body = request.body

    def open(self, time_left_s: Callable[[], float], cut_off: bool = False) -> None:
        """Reserve the budget and fetch the chain; raises BudgetSpent, TurnUnknown or StoreUnavailable."""
        plan = self._plan
        timeout_s = min(CUT_OFF_OPEN_TIMEOUT_S if cut_off else OPEN_TIMEOUT_S, time_left_s())
        previous = plan.previous if plan.retained else None
        chain = b""
        if plan.budget is not None and previous is not None:
            begun = self._store.begin(plan.program, plan.turn_id, plan.most, plan.budget, previous, timeout_s)
            self._reservation, chain = begun.reservation, begun.chain
        elif plan.budget is not None:
            self._reservation = self._store.reserve(plan.program, plan.turn_id, plan.most, plan.budget, timeout_s)
        elif previous is not None:
            chain = self._store.chain(plan.program, previous, timeout_s)
        self.body = chain + self._request.body

    def count_event(self, event: Event) -> None:
        """Take in an event that is about to be passed on to the client."""
        self._events_passed += 1
        if self._plan.retained:
            self._output.append(event.data or b"")

    def keep(self, timeout_s: float) -> None:
        """Store the turn, whose answer came whole; raises StoreUnavailable if it may not be durable."""
        plan = self._plan
        if not plan.retained:
            return
        output = b"".join(data + b"\n" for data in self._output)
        turn = Turn(plan.turn_id, plan.program, plan.previous, self._request.body, output, plan.retain_s)
        self._store.append(turn, max(LEAST_KEEP_TIMEOUT_S, timeout_s), self._take_settlement())

    def settle(self) -> None:
        """Tell the store how many tokens were handed to the client, if it was not told yet."""
        settlement = self._take_settlement()
        if settlement is not None:
            self._store.settle(settlement.reservation, settlement.used)

    def _take_settlement(self) -> Settlement | None:
        """Return the turn's settlement; only the first call gives one."""
        reservation, self._reservation = self._reservation, None
        if reservation is None:
            return None
        return Settlement(reservation, self._events_passed * self._plan.tokens_per_event)


def _most_tokens(request: Request) -> int:
    usage = (request.headers.get(TOKEN_USAGE) or "").split(",")
    if len(usage) != 2:
        raise TierError(ErrorKind.BAD_REQUEST, "X-Dewpin-Token-Usage has to hold two numbers")
    return _whole_number(usage[1], "X-Dewpin-Token-Usage")


def _whole_number(value: str, header: str) -> int:
    stripped = value.strip()
    if not (stripped.isascii() and stripped.isdigit()):
        raise TierError(ErrorKind.BAD_REQUEST, f"{header} has to be a whole number")
    return int(stripped)
