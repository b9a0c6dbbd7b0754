"""The models by name, with their bounds: the quick ones run with the tests, the deep ones from the command line."""

from __future__ import annotations

from collections.abc import Callable

from tests.model import ledger_model, register_model
from tests.model.contact_model import C_FOR_D, C_FOR_D_BEGINS, C_FOR_D_ENDS, SELF_FOR_D, ContactModel
from tests.model.conversation_model import ConversationModel
from tests.model.explorer import Model
from tests.model.ledger_model import LedgerModel
from tests.model.register_model import RegisterModel
from tests.model.retirement_model import RetirementModel, keys

MAX_STATES = 20_000_000
"""Far above the size of all models here: each is explored completely, or its report says that it was cut off."""

CONFIGURATION_X, CONFIGURATION_Y, READ = ("put", 1, 0, "x"), ("put", 1, 0, "y"), ("read",)
REPLACE_C, REPLACE_WIPED_C, SETTLE = ("members", "abd"), ("members", "abC"), ("settle",)
EARLY, LATE = ("reserve", "early", 2), ("reserve", "late", 2)
SETTLE_EARLY, READ_LEDGER = ("settle", "early", 1), ("read", "", 0)
BUDGET = 3
STABLE, CHANGING, CHANGED = (1,), (2,), (3,)
"""The epochs in which a ballot of a sender may begin."""


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


def _settlement(
    reserved_at: str,
    other: ledger_model.Operation = READ_LEDGER,
    other_epochs: tuple[tuple[int, ...], ...] = (CHANGED,),
    **bounds: object,
) -> Model:
    """A settlement whose ballots begin before and after the change, and another sender with one operation."""
    operations = ((EARLY, SETTLE_EARLY), (other,))
    epochs = ((STABLE, STABLE, CHANGED), other_epochs)
    ballots = (3, len(other_epochs))
    return _ledger(operations, ballots, epochs_by_sender=epochs, reserved_at=reserved_at, **bounds)


QUICK: dict[str, Callable[[], Model]] = {
    "register: two configurations, two ballots each": lambda: _register(
        (CONFIGURATION_X,), (CONFIGURATION_Y,), ballots=_ballots(2, 2), skipped_ballots=(0, 1)
    ),
    "register: two configurations, processes tell each other": lambda: _register(
        (CONFIGURATION_X,), (CONFIGURATION_Y,), ballots=_ballots(2, 2), shares_chosen=True
    ),
    "register: two configurations, the own replica may fail": lambda: _register(
        (CONFIGURATION_X,), (CONFIGURATION_Y,), ballots=_ballots(1, 2), reaches_itself=False
    ),
    "register: a configuration sent again after a crash": lambda: _register(
        (CONFIGURATION_X, CONFIGURATION_X), (CONFIGURATION_Y,), ballots=_ballots(2, 1), crashes=1
    ),
    "register: one configuration at two processes, sent again": lambda: _register(
        (CONFIGURATION_X, CONFIGURATION_X), (CONFIGURATION_X,), ballots=_ballots(2, 2), times_out=True
    ),
    "register: a configuration sent again, and another": lambda: _register(
        (CONFIGURATION_X, CONFIGURATION_X), (CONFIGURATION_Y,), ballots=_ballots(2, 2), times_out=True
    ),
    "register: reads after a race": lambda: _register(
        (CONFIGURATION_X, READ), (CONFIGURATION_Y, READ), ballots=_ballots(2, 2)
    ),
    "register: a change of members and a configuration": lambda: _register(
        (CONFIGURATION_X,), (REPLACE_C,), ballots=_ballots(2, 1)
    ),
    "register: a change of members and a read, the own replica may fail": lambda: _register(
        (READ,), (REPLACE_C,), ballots=_ballots(1, 1), reaches_itself=False
    ),
    "register: a wiped member is replaced": lambda: _register(
        (CONFIGURATION_X,), (REPLACE_WIPED_C, SETTLE, READ), ballots=_ballots(1, 3), wipes="c"
    ),
    "register: two configurations, answers come late": lambda: _register(
        (CONFIGURATION_X,), (CONFIGURATION_Y,), ballots=_ballots(1, 2), late_replies=True
    ),
    "ledgers: two reservations, answers come late": lambda: _ledger(
        ((EARLY,), (LATE,)), (1, 1), epochs=(STABLE,), late_replies=True
    ),
    "ledgers: two reservations": lambda: _ledger(((EARLY,), (LATE,)), (2, 2), epochs=(STABLE,)),
    "ledgers: a settlement under a prepared ballot": lambda: _ledger(
        ((EARLY, SETTLE_EARLY), (LATE,)), (3, 2), epochs=(STABLE,)
    ),
    "ledgers: before the change and after it": lambda: _ledger(
        ((EARLY,), (LATE,)), (2, 1), epochs=(STABLE, CHANGED), crashes=0
    ),
    "ledgers: a settlement through the change, reserved at a and b": lambda: _settlement("ab"),
    "ledgers: a settlement through the change, reserved at b and c": lambda: _settlement("bc"),
    "contact: two seconds": lambda: ContactModel(2),
    "contact: a change of members begins": lambda: ContactModel(2, C_FOR_D_BEGINS, reports_earliest=True),
    "contact: a change of members ends": lambda: ContactModel(1, C_FOR_D_ENDS),
    "contact: the change that drops the process ends": lambda: ContactModel(1, SELF_FOR_D[1:]),
    "conversation: four turns": lambda: ConversationModel(turns=4, wipes=0),
    "conversation: four turns, one disk lost": lambda: ConversationModel(turns=4, wipes=1),
    "retirement of d: a record at a, b and c": lambda: RetirementModel(keys()["abc"]),
    "retirement of d: a record at a, b and d": lambda: RetirementModel(keys()["abd"]),
    "retirement of d: a record at a, c and d": lambda: RetirementModel(keys()["acd"]),
    "retirement of d: a record at b, c and d": lambda: RetirementModel(keys()["bcd"]),
}
"""Explored completely in every test run."""

DEEP: dict[str, Callable[[], Model]] = {
    "register: two configurations, three ballots each": lambda: _register(
        (CONFIGURATION_X,), (CONFIGURATION_Y,), ballots=_ballots(3, 3)
    ),
    "register: two configurations, two ballots each, the own replica may fail": lambda: _register(
        (CONFIGURATION_X,), (CONFIGURATION_Y,), ballots=_ballots(2, 2), reaches_itself=False
    ),
    "register: a configuration sent again after a crash, two ballots each": lambda: _register(
        (CONFIGURATION_X, CONFIGURATION_X), (CONFIGURATION_Y,), ballots=_ballots(2, 2), crashes=1
    ),
    "register: a change of members, a configuration and a read": lambda: _register(
        (CONFIGURATION_X, READ), (REPLACE_C,), ballots=_ballots(2, 1)
    ),
    "register: a change of members, a crash": lambda: _register(
        (CONFIGURATION_X, READ), (REPLACE_C,), ballots=_ballots(2, 1), crashes=1
    ),
    "register: a configuration and a read, answers come late": lambda: _register(
        (CONFIGURATION_X, READ), (CONFIGURATION_Y,), ballots=_ballots(2, 1), late_replies=True
    ),
    "register: two configurations, two ballots each, answers come late": lambda: _register(
        (CONFIGURATION_X,), (CONFIGURATION_Y,), ballots=_ballots(2, 2), late_replies=True
    ),
    "ledgers: a settlement, answers come late": lambda: _ledger(
        ((EARLY, SETTLE_EARLY), (LATE,)), (2, 1), epochs=(STABLE,), late_replies=True
    ),
    "ledgers: a settlement through the change, answers come late": lambda: _settlement("ab", late_replies=True),
    "ledgers: conflicts are heard": lambda: _ledger(
        ((EARLY, SETTLE_EARLY), (LATE,)), (2, 2), epochs=(STABLE,), delivers_conflicts=True
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
    "ledgers: before the change and within it, two ballots each": lambda: _ledger(
        ((EARLY,), (LATE,)), (2, 2), epochs=(STABLE, CHANGING)
    ),
    "ledgers: before the change and within it": lambda: _ledger(((EARLY,), (LATE,)), (2, 1), epochs=(STABLE, CHANGING)),
    "ledgers: a settlement through the change, another reserves before or after it": lambda: _settlement(
        "ab", other=LATE, other_epochs=(STABLE, CHANGED)
    ),
    "ledgers: a settlement through the change, a store crashes, reserved at a and b": lambda: _settlement(
        "ab", crashes=1
    ),
    "ledgers: a settlement through the change, a store crashes, reserved at b and c": lambda: _settlement(
        "bc", crashes=1
    ),
    "conversation: five turns, two disks lost one after the other": lambda: ConversationModel(turns=5, wipes=2),
    "contact: three seconds": lambda: ContactModel(3),
    "contact: a change of members begins, two seconds": lambda: ContactModel(2, C_FOR_D_BEGINS),
    "contact: a whole change of members": lambda: ContactModel(1, C_FOR_D, reports_earliest=True),
    "contact: the change that drops the process": lambda: ContactModel(1, SELF_FOR_D, reports_earliest=True),
}
"""Explored from the command line: minutes to an hour each."""
