"""The models by name, with their bounds: the quick ones run with the tests, the deep ones by a command."""

from __future__ import annotations

from collections.abc import Callable

from tests.model import ledger_model, register_model
from tests.model.contact_model import ContactModel
from tests.model.explorer import Model
from tests.model.ledger_model import LedgerModel
from tests.model.register_model import RegisterModel
from tests.model.retirement_model import RetirementModel, keys

MOST_STATES = 20_000_000
"""Far above all models here: each is explored whole, or the search is cut off and says so."""

ORDER_X, ORDER_Y, READ = ("put", 1, 0, "x"), ("put", 1, 0, "y"), ("read",)
REPLACE_C, REPLACE_WIPED_C, SETTLE = ("members", "abd"), ("members", "abC"), ("settle",)
EARLY, LATE = ("reserve", "early", 2), ("reserve", "late", 2)
SETTLE_EARLY, READ_LEDGER = ("settle", "early", 1), ("read", "", 0)
BUDGET = 3
STABLE, CHANGING, CHANGED = (1,), (2,), (3,)
"""The epochs under which a ballot of a sender may begin."""


def _register(
    a: tuple[register_model.Operation, ...], b: tuple[register_model.Operation, ...], **bounds: object
) -> Model:
    return RegisterModel(register_model.Bounds({"a": a, "b": b}, **bounds))  # type: ignore[arg-type]


def _ballots(a: int, b: int) -> dict[str, int]:
    return {"a": a, "b": b}


def _ledger(
    operations: tuple[tuple[ledger_model.Operation, ...], ...], ballots: tuple[int, ...], **bounds: object
) -> Model:
    clocks_ms = (0,) * len(operations)
    return LedgerModel(ledger_model.Bounds(operations, BUDGET, ballots, clocks_ms, **bounds))  # type: ignore[arg-type]


QUICK: dict[str, Callable[[], Model]] = {
    "register: two orders, two ballots each": lambda: _register(
        (ORDER_X,), (ORDER_Y,), ballots=_ballots(2, 2), skips=(0, 1)
    ),
    "register: two orders, processes tell each other": lambda: _register(
        (ORDER_X,), (ORDER_Y,), ballots=_ballots(2, 2), hears=True
    ),
    "register: two orders, the own replica may fail": lambda: _register(
        (ORDER_X,), (ORDER_Y,), ballots=_ballots(1, 2), reaches_itself=False
    ),
    "register: an order sent again after a crash": lambda: _register(
        (ORDER_X, ORDER_X), (ORDER_Y,), ballots=_ballots(2, 1), crashes=1
    ),
    "register: one order at two processes, sent again": lambda: _register(
        (ORDER_X, ORDER_X), (ORDER_X,), ballots=_ballots(2, 2), times_out=True
    ),
    "register: an order sent again, and another": lambda: _register(
        (ORDER_X, ORDER_X), (ORDER_Y,), ballots=_ballots(2, 2), times_out=True
    ),
    "register: reads after a race": lambda: _register((ORDER_X, READ), (ORDER_Y, READ), ballots=_ballots(2, 2)),
    "register: a change of members and an order": lambda: _register((ORDER_X,), (REPLACE_C,), ballots=_ballots(2, 1)),
    "register: a change of members and a read, the own replica may fail": lambda: _register(
        (READ,), (REPLACE_C,), ballots=_ballots(1, 1), reaches_itself=False
    ),
    "register: a wiped member is replaced": lambda: _register(
        (ORDER_X,), (REPLACE_WIPED_C, SETTLE, READ), ballots=_ballots(1, 3), wipes="c"
    ),
    "ledgers: two reservations": lambda: _ledger(((EARLY,), (LATE,)), (2, 2), epochs=(STABLE,)),
    "ledgers: a settlement under a prepared ballot": lambda: _ledger(
        ((EARLY, SETTLE_EARLY), (LATE,)), (3, 2), epochs=(STABLE,)
    ),
    "ledgers: before the change and after it": lambda: _ledger(
        ((EARLY,), (LATE,)), (2, 1), epochs=(STABLE, CHANGED), crashes=0
    ),
    "contact: two seconds": lambda: ContactModel(2),
    "retirement of d: a record at a, b and c": lambda: RetirementModel(keys()["abc"]),
    "retirement of d: a record at a, b and d": lambda: RetirementModel(keys()["abd"]),
    "retirement of d: a record at a, c and d": lambda: RetirementModel(keys()["acd"]),
    "retirement of d: a record at b, c and d": lambda: RetirementModel(keys()["bcd"]),
}
"""Explored whole with every run of the tests."""

DEEP: dict[str, Callable[[], Model]] = {
    "register: two orders, three ballots each": lambda: _register((ORDER_X,), (ORDER_Y,), ballots=_ballots(3, 3)),
    "register: two orders, two ballots each, the own replica may fail": lambda: _register(
        (ORDER_X,), (ORDER_Y,), ballots=_ballots(2, 2), reaches_itself=False
    ),
    "register: an order sent again after a crash, two ballots each": lambda: _register(
        (ORDER_X, ORDER_X), (ORDER_Y,), ballots=_ballots(2, 2), crashes=1
    ),
    "register: a change of members, an order and a read": lambda: _register(
        (ORDER_X, READ), (REPLACE_C,), ballots=_ballots(2, 1)
    ),
    "register: a change of members, a crash": lambda: _register(
        (ORDER_X, READ), (REPLACE_C,), ballots=_ballots(2, 1), crashes=1
    ),
    "ledgers: conflicts are heard": lambda: _ledger(
        ((EARLY, SETTLE_EARLY), (LATE,)), (2, 2), epochs=(STABLE,), hears_conflicts=True
    ),
    "ledgers: two reservations while the view changes": lambda: _ledger(
        ((EARLY,), (LATE,)), (1, 1), epochs=(CHANGING,)
    ),
    "ledgers: before the change and after it, two ballots each": lambda: _ledger(
        ((EARLY,), (LATE,)), (2, 2), epochs=(STABLE, CHANGED)
    ),
    "ledgers: before the change and after it, a store crashes": lambda: _ledger(
        ((EARLY,), (LATE,)), (2, 1), epochs=(STABLE, CHANGED), crashes=1
    ),
    "ledgers: before the change and within it": lambda: _ledger(((EARLY,), (LATE,)), (2, 1), epochs=(STABLE, CHANGING)),
    "contact: two seconds, two heartbeats on their way": lambda: ContactModel(2, in_flight=2),
}
"""Explored by the command: minutes to an hour each."""
