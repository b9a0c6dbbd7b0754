"""Turns: the store operations, the request body for the receiver, and the settlement."""

import pytest
from dataplane.peers import MemoryStore, configuration, request

from dewpin.cluster.errors import ErrorKind, TierError
from dewpin.dataplane.http11.event_splitter import parse_event
from dewpin.dataplane.programs.errors import BudgetExceededError, StoreUnavailableError, TurnNotFoundError
from dewpin.dataplane.programs.program_store import Turn
from dewpin.dataplane.programs.turns import BEGIN_TIMEOUT_S, CUT_OFF_BEGIN_TIMEOUT_S, OpenTurn, plan_turn

USAGE = ("X-Dewpin-Token-Usage", "1840,290")
BUDGET = ("Budget", "2320")
PROGRAM = ("Program", "3fa81c")


def plan(*fields, kind="stream", **route):
    config = configuration(kind, **route)
    return plan_turn(request(*fields), config.routes[0], next(iter(config.services.values())))


def open_turn(store, *fields, **route):
    turn = OpenTurn(store, plan(*fields, **route), request(*fields))
    turn.begin(lambda: 1.0)
    return turn


def test_request_without_budget_or_retention_is_no_turn():
    assert plan() is None
    assert plan(BUDGET, USAGE, kind="idempotent") is None


def test_plan_of_a_turn_with_a_budget():
    parsed = plan(BUDGET, USAGE, PROGRAM)
    assert (parsed.program, parsed.turn_id, parsed.budget, parsed.max_tokens) == ("3fa81c", "r-1", 2320, 290)
    assert parsed.tokens_per_event == 10
    assert not parsed.is_retained


def test_turn_without_a_program_is_a_program_of_its_own():
    assert plan(BUDGET, USAGE).program == "r-1"


@pytest.mark.parametrize(
    "fields",
    [
        [("Budget", "many"), USAGE],
        [("Budget", "-1"), USAGE],
        [BUDGET],
        [BUDGET, ("X-Dewpin-Token-Usage", "12")],
        [BUDGET, ("X-Dewpin-Token-Usage", "12,x")],
    ],
)
def test_invalid_turn_headers_are_rejected(fields):
    with pytest.raises(TierError) as raised:
        plan(*fields)
    assert raised.value.kind is ErrorKind.BAD_REQUEST


def test_turn_reserves_its_maximum_and_settles_the_forwarded_tokens():
    store = MemoryStore()
    turn = open_turn(store, BUDGET, USAGE, PROGRAM)
    assert store.reserved == [("3fa81c", "r-1", 290, 2320)]
    turn.record_event(parse_event(b"data: a\n\n"))
    turn.record_event(parse_event(b"data: b\n\n"))
    turn.settle()
    turn.settle()
    assert store.settled == [("r-1", 20)]


def test_turn_that_did_not_run_settles_zero_tokens():
    store = MemoryStore()
    open_turn(store, BUDGET, USAGE).settle()
    assert store.settled == [("r-1", 0)]


def test_exhausted_budget_raises_budget_exceeded():
    store = MemoryStore()
    store.spent["3fa81c"] = 2100
    with pytest.raises(BudgetExceededError):
        open_turn(store, BUDGET, USAGE, PROGRAM)
    assert store.settled == []


def test_turn_without_a_budget_reserves_nothing():
    store = MemoryStore()
    open_turn(store, PROGRAM, retained=True).settle()
    assert store.reserved == store.settled == []


def test_body_is_the_history_followed_by_the_new_input():
    store = MemoryStore()
    store.turns["t-1"] = Turn("t-1", "3fa81c", None, b"in one", b"out one\n", 60.0)
    store.turns["t-2"] = Turn("t-2", "3fa81c", "t-1", b"in two", b"out two\n", 60.0)
    turn = open_turn(store, PROGRAM, ("Previous", "t-2"), retained=True)
    assert turn.body == b"in oneout one\nin twoout two\ninput"


def test_body_of_a_first_turn_is_its_input():
    assert open_turn(MemoryStore(), PROGRAM, retained=True).body == b"input"


@pytest.mark.parametrize(("fails", "error"), [([], TurnNotFoundError), (["read_history"], StoreUnavailableError)])
def test_unreadable_history_releases_the_reservation(fails, error):
    store = MemoryStore(fails)
    with pytest.raises(error):
        open_turn(store, BUDGET, USAGE, PROGRAM, ("Previous", "t-9"), retained=True)
    assert store.settled == [("r-1", 0)]


def test_stored_output_is_the_data_of_each_event_and_a_line_feed():
    store = MemoryStore()
    turn = open_turn(store, PROGRAM, retained=True, retain_s=45.0)
    for raw in (b"id: 1\ndata: a\n\n", b"versions: 2\nid: 2\ndata: b c\n\n", b"id: 3\ndata: d\ndata: e\n\n"):
        turn.record_event(parse_event(raw))
    turn.store(1.0)
    assert store.turns["r-1"] == Turn("r-1", "3fa81c", None, b"input", b"a\nb c\nd\ne\n", 45.0)


def test_stored_turn_names_the_turn_that_it_continues():
    store = MemoryStore()
    store.turns["t-1"] = Turn("t-1", "3fa81c", None, b"in", b"out\n", 60.0)
    turn = open_turn(store, PROGRAM, ("Previous", "t-1"), retained=True)
    turn.store(1.0)
    assert store.turns["r-1"].previous_id == "t-1"
    assert store.turns["r-1"].input == b"input"


def test_turn_of_a_route_without_retention_is_not_stored():
    store = MemoryStore()
    open_turn(store, BUDGET, USAGE).store(1.0)
    assert store.turns == {}


def test_cut_off_sender_waits_for_the_stores_only_briefly():
    timeouts_s = []

    class Store:
        def reserve(self, program, turn_id, max_tokens, budget, timeout_s):
            timeouts_s.append(timeout_s)
            raise StoreUnavailableError("no store replied")

    fields = [BUDGET, USAGE, PROGRAM]
    for cut_off in (False, True):
        with pytest.raises(StoreUnavailableError):
            OpenTurn(Store(), plan(*fields), request(*fields)).begin(lambda: 10.0, cut_off)
    assert timeouts_s == [BEGIN_TIMEOUT_S, CUT_OFF_BEGIN_TIMEOUT_S]
