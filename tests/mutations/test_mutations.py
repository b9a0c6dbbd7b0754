"""Wrong variants of the control side, made in process, and the check that each fails: a model, or a test by name.

`most_states`: within how many states the model has to find the fault. That the check passes on the text as it is shows
its own run (`tests/model/test_models.py`, or the test itself).
"""

from __future__ import annotations

import importlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import pytest

from dewpin.cluster.store_view import StoreView
from dewpin.consensus import Promise, Proposal, Replica, proposal
from dewpin.consensus.replica import ZERO_BALLOT, Accepted
from dewpin.controlplane import ledger_replica, majority_contact, register, replica_storage, system_state
from dewpin.controlplane.majority_contact import MajorityContact, MemberWord
from dewpin.controlplane.register import SystemRegister
from dewpin.controlplane.replica_storage import ReplicaStorage
from dewpin.controlplane.store import Store
from dewpin.controlplane.sync import _Copy
from dewpin.dataplane import ledger
from tests.model import ledger_model, register_parts
from tests.model.catalogue import QUICK
from tests.model.explorer import explore

Patch = pytest.MonkeyPatch


def promise_anything(patch: Patch) -> None:
    def prepare(self: Replica, ballot: Any, known: Any = None) -> Promise:
        self.promised = ballot
        return Promise(self.accepted, self.value, self.copied)

    patch.setattr(Replica, "prepare", prepare)


def accept_below_the_promise(patch: Patch) -> None:
    def accept(self: Replica, ballot: Any, value: Any, next_ballot: Any = None) -> Accepted:
        self.accepted, self.value, self.copied = ballot, value, False
        self.promised = max(self.promised, ballot, next_ballot or ballot)
        return Accepted(ballot)

    patch.setattr(Replica, "accept", accept)


def overlook_what_was_accepted(patch: Patch) -> None:
    original = Proposal._on_promise

    def on_promise(self: Proposal, member: str, promise: Promise) -> Any:
        return original(self, member, Promise(ZERO_BALLOT, None))

    patch.setattr(Proposal, "_on_promise", on_promise)


def serve_without_a_majority(patch: Patch) -> None:
    patch.setattr(proposal, "majority_of", lambda members: 1)


def take_any_value_as_chosen(patch: Patch) -> None:
    patch.setattr(Proposal, "_is_chosen", lambda self, sets: True)


def build_on_a_half_made_change_of_members(patch: Patch) -> None:
    def begin_accept(self: Proposal) -> Any:
        sets = list(self._quorum_sets(self._highest))
        value = self._change(self._highest)
        return self._send_accept(value, [*sets, *self._quorum_sets(value)])

    patch.setattr(Proposal, "_begin_accept", begin_accept)


def forget_promises_over_a_restart(patch: Patch) -> None:
    original = ReplicaStorage.load

    async def load(self: ReplicaStorage) -> None:
        await original(self)
        self._replica.promised = ZERO_BALLOT

    patch.setattr(ReplicaStorage, "load", load)


def acknowledge_before_the_sync(patch: Patch) -> None:
    async def persist(self: ReplicaStorage) -> None:
        self.durable_version = self._replica.value["version"]

    original = replica_storage.ReplicaStorage.persist

    async def only_the_first(self: ReplicaStorage) -> None:
        await (original(self) if self._replica.value["version"] == 0 else persist(self))

    patch.setattr(ReplicaStorage, "persist", only_the_first)


def count_a_wiped_member_under_its_former_id(patch: Patch) -> None:
    patch.setattr(SystemRegister, "_check_addressee", lambda self, member: None)


def refuse_from_a_state_that_is_not_chosen(patch: Patch) -> None:
    patch.setattr(register._Attempt, "make", lambda self, state: self._change(state))


def refuse_a_repeated_order(patch: Patch) -> None:
    def put(body: bytes, generation: int, base: int) -> Any:
        change = system_state.put_configuration(body, generation, base)
        return lambda state: change({**state, "accepted": [], "orders_taken": 0})

    patch.setattr(register_parts, "put_configuration", put)


def confirm_both_of_two_orders(patch: Patch) -> None:
    def put(body: bytes, generation: int, base: int) -> Any:
        change = system_state.put_configuration(body, generation, base)

        def lenient(state: Any) -> Any:
            try:
                return change(state)
            except system_state.ChangeRefused:
                return state

        return lenient

    patch.setattr(register_parts, "put_configuration", put)


def end_the_view_before_copies_are_whole(patch: Patch) -> None:
    patch.setattr(_Copy, "_check_whole", lambda self: self._whole.set())


def end_the_view_before_all_have_copied(patch: Patch) -> None:
    patch.setattr(ledger_model, "_all_synced", lambda stores, epoch, knowledge: True)


def answer_under_another_epoch(patch: Patch) -> None:
    check, transact = Store._check, Store._transact

    def lenient_check(self: Store, message: Any) -> Any:
        if message.get("view") is not None:
            self.adopt(StoreView.from_json(message["view"]))
        return check(self, {**message, "epoch": self.view.epoch if self.view is not None else None})

    def lenient_transact(self: Store, view_epoch: int, work: Any) -> Any:
        return transact(self, self.view.epoch if self.view is not None else view_epoch, work)

    patch.setattr(Store, "_check", lenient_check)
    patch.setattr(Store, "_transact", lenient_transact)


def count_a_copy_as_a_vote(patch: Patch) -> None:
    original = Proposal._on_promise

    def on_promise(self: Proposal, member: str, promise: Promise) -> Any:
        return original(self, member, replace(promise, copied=False))

    patch.setattr(Proposal, "_on_promise", on_promise)


def leave_copied_values_out(patch: Patch) -> None:
    def merge(connection: Any, records: Any, now_ms: int) -> None:
        for record in records:
            held = ledger_replica.load(connection, record.program)
            held.promised = max(held.promised, record.promised)
            ledger_replica.save(connection, record.program, held, now_ms)

    patch.setattr(ledger_replica, "merge", merge)


def settle_twice(patch: Patch) -> None:
    def settle(turn: str, used: int) -> ledger.Change:
        def change(value: Any) -> Any:
            if value is None:
                return value
            still_open = {other: most for other, most in value["open"].items() if other != turn}
            return ledger.Ledger(spent=value["spent"] + used, open=still_open)

        return change

    patch.setattr(ledger, "settle", settle)


def lose_a_settlement(patch: Patch) -> None:
    patch.setattr(ledger, "settle", lambda turn, used: lambda value: value)


def reserve_over_the_budget(patch: Patch) -> None:
    patch.setattr(ledger, "fits", lambda value, turn, most, budget: True)


def renew_without_a_majority(patch: Patch) -> None:
    patch.setattr(majority_contact, "majority_of", lambda members: 1)


def overlook_the_version_that_is_told(patch: Patch) -> None:
    original = MajorityContact.answered

    def answered(self: MajorityContact, member: str, word: MemberWord) -> None:
        original(self, member, MemberWord(word.asked_s, 0))

    patch.setattr(MajorityContact, "answered", answered)


@dataclass(frozen=True)
class Mutation:
    """A wrong variant and the check that catches it: a model's name with its bound, or `module::test`."""

    make: Callable[[Patch], None]
    check: str
    most_states: int = 0


RACE = "register: two orders, two ballots each"
READS = "register: reads after a race"
AGAIN = "register: one order at two processes, sent again"
WIPED = "register: a wiped member is replaced"
HALF_MADE = (
    "tests.consensus.test_register::test_an_unfinished_change_of_members_is_confirmed_before_anything_is_built_on_it"
)
CRASH = "register: an order sent again after a crash"
RESERVATIONS = "ledgers: two reservations"
SETTLEMENT = "ledgers: a settlement under a prepared ballot"
CONTACT = "contact: two seconds"
CHANGE = "ledgers: before the change and after it"
COPIES = "tests.model.test_copied_votes::test_a_copied_value_that_was_never_chosen_is_not_read_as_chosen"

MUTATIONS = [
    Mutation(promise_anything, RACE, 20_000),
    Mutation(accept_below_the_promise, RESERVATIONS, 50_000),
    Mutation(overlook_what_was_accepted, RACE, 20_000),
    Mutation(serve_without_a_majority, RACE, 20_000),
    Mutation(take_any_value_as_chosen, READS, 20_000),
    Mutation(build_on_a_half_made_change_of_members, HALF_MADE),
    Mutation(forget_promises_over_a_restart, CRASH, 20_000),
    Mutation(acknowledge_before_the_sync, CRASH, 20_000),
    Mutation(count_a_wiped_member_under_its_former_id, WIPED, 40_000),
    Mutation(refuse_from_a_state_that_is_not_chosen, RACE, 20_000),
    Mutation(refuse_a_repeated_order, AGAIN, 20_000),
    Mutation(confirm_both_of_two_orders, RACE, 20_000),
    Mutation(end_the_view_before_copies_are_whole, CHANGE, 100_000),
    Mutation(end_the_view_before_all_have_copied, CHANGE, 500_000),
    Mutation(answer_under_another_epoch, CHANGE, 500_000),
    Mutation(count_a_copy_as_a_vote, COPIES),
    Mutation(leave_copied_values_out, CHANGE, 100_000),
    Mutation(renew_without_a_majority, CONTACT, 50_000),
    Mutation(overlook_the_version_that_is_told, CONTACT, 50_000),
    Mutation(settle_twice, SETTLEMENT, 50_000),
    Mutation(lose_a_settlement, SETTLEMENT, 50_000),
    Mutation(reserve_over_the_budget, RESERVATIONS, 20_000),
]


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda mutation: mutation.make.__name__)
def test_the_mutation_is_caught(
    mutation: Mutation, monkeypatch: Patch, record_property: Callable[[str, object], None]
) -> None:
    mutation.make(monkeypatch)
    if not mutation.most_states:
        module, _, test = mutation.check.partition("::")
        with pytest.raises(AssertionError):
            getattr(importlib.import_module(module), test)()
        return
    report = explore(QUICK[mutation.check](), mutation.most_states)
    record_property("states", report.states)
    print(f"{mutation.make.__name__}: {report.states} states, {report.fault}")
    assert report.fault is not None, f"not caught: {report.text()}"
