"""Wrong variants of the programs, with the scenario that has to find each: `python -m tests.simulation.wrong_variants`.

A variant is put in place in a process of its own; the seeds are tried one after the other until one breaks a rule.
"""

import argparse
import sys
import time
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, replace
from functools import partial

from dewpin.cluster import rpc
from dewpin.cluster.store_view import StoreView
from dewpin.consensus import proposal
from dewpin.controlplane import ledger_replica, operator_api, reconfiguration
from dewpin.controlplane.majority_contact import RegisterConfirmation
from dewpin.controlplane.register import SystemRegister
from dewpin.controlplane.store import Store
from dewpin.controlplane.sync import StoreSync
from dewpin.dataplane import ledger, turn_client
from dewpin.dataplane.cluster_agent import ClusterAgent

from .__main__ import with_fixed_hashes
from .disk import Disk
from .hosts import StoreHost
from .run import run


@dataclass(frozen=True)
class Variant:
    """A wrong variant: how it is put in place, the scenario that finds it, and the most seeds that this may take."""

    put_in_place: object
    scenario: str
    most_seeds: int


def _acknowledge_before_sync():
    make = Disk.__init__

    def made(self, *given):
        make(self, *given)
        self.acknowledges_early = True

    Disk.__init__ = made


def _forget_promises_over_a_restart():
    load = SystemRegister.load

    async def loaded(self):
        await load(self)
        self._replica.promised = self._replica.accepted

    SystemRegister.load = loaded


def _count_a_wiped_member():
    empty = StoreHost.put_in_empty_disk

    def emptied(self):
        before = self.disk
        empty(self)
        if before is not None:
            self.disk.incarnation = before.incarnation

    StoreHost.put_in_empty_disk = emptied


def _take_what_one_member_accepted_as_chosen():
    proposal.Proposal._is_chosen = lambda self, sets: True


def _read_without_a_majority():
    operator_api.OperatorApi._agreed = _from_what_is_known(operator_api.OperatorApi._agreed)


def _from_what_is_known(agreed):
    def known(self, change):
        state = self._register.newest
        return state if state is not None and change(state) is state else agreed(self, change)

    return known


def _renew_without_a_majority():
    RegisterConfirmation.is_current = lambda self: True
    RegisterConfirmation.age_s = lambda self: 0.0


def _refuse_a_repeated_order():
    put = operator_api.put_configuration

    def forgetful(*given):
        change = put(*given)

        def changed(state):
            if [state["configuration"] and state["configuration"]["generation"]] == [given[1]]:
                raise operator_api.AnotherVersionIsCurrent("refused again")
            return change(state)

        return changed

    operator_api.put_configuration = forgetful


def _finish_a_view_before_all_have_copied():
    reconfiguration._all_synced = lambda stores, epoch, knowledge: True


def _copy_nothing():
    async def at_once(self, view):
        self._on_synced(view.epoch)

    StoreSync._run = at_once


def _let_a_leaving_store_go_early():
    done = reconfiguration._retirement_that_is_done

    def early(state, knowledge):
        for name in state["retiring"]:
            return reconfiguration.finish_retirement(name)
        return done(state, knowledge)

    reconfiguration._retirement_that_is_done = early


def _write_a_turn_to_one_replica():
    turn_client.has_majorities = lambda sets, stored: bool(stored)


def _believe_one_store_that_denies_a_turn():
    StoreView.most_silent = lambda self, count: len(self.stable) - 1


def _two_majorities_that_do_not_meet():
    proposal.majority_of = lambda members: max(1, len(members) // 2)


def _give_a_reservation_back_twice():
    def settle(turn, used):
        def change(value):
            if value is None or turn not in value["open"]:
                return value
            left = {other: most for other, most in value["open"].items() if other != turn}
            return ledger.Ledger(spent=max(0, value["spent"] + used - value["open"][turn]), open=left)

        return change

    ledger.settle = settle


def _take_any_state_that_is_told():
    take = ClusterAgent._take_news

    def taken(self, news, asked_s):
        if news.state is not None:
            self.state = None
        take(self, news, asked_s)

    ClusterAgent._take_news = taken
    ClusterAgent._state_version = lambda self: -1


def _answer_under_any_epoch():
    check = Store._check

    def checked(self, message):
        view = self.view
        if view is not None and message.get("to") == self.member_id:
            return view
        return check(self, message)

    Store._check = checked


def _take_an_answer_without_its_number():
    receive = rpc._ClientConnection.data_received

    def received(self, data):
        waiting = self._waiting

        class InTheirOrder(dict):
            def pop(self, number, default=None):
                return waiting.pop(next(iter(waiting), number), default)

        self._waiting = InTheirOrder(waiting)
        try:
            receive(self, data)
        finally:
            self._waiting = waiting

    rpc._ClientConnection.data_received = received


def _count_a_copied_ledger_as_a_vote():
    load = ledger_replica.load
    ledger_replica.load = lambda connection, program: replace(load(connection, program), copied=False)


VARIANTS = {
    "acknowledge before the sync": Variant(_acknowledge_before_sync, "orders", 60),
    "forget promises over a restart": Variant(_forget_promises_over_a_restart, "orders", 100),
    "count a wiped member": Variant(_count_a_wiped_member, "catch_up", 60),
    "take what one member accepted as chosen": Variant(_take_what_one_member_accepted_as_chosen, "orders", 60),
    "read without a majority": Variant(_read_without_a_majority, "cut_off", 20),
    "renew without a majority": Variant(_renew_without_a_majority, "cut_off", 20),
    "refuse a repeated order": Variant(_refuse_a_repeated_order, "orders", 10),
    "finish a view before all have copied": Variant(_finish_a_view_before_all_have_copied, "second_loss", 60),
    "copy nothing": Variant(_copy_nothing, "second_loss", 60),
    "let a leaving store go early": Variant(_let_a_leaving_store_go_early, "second_loss", 60),
    "write a turn to one replica": Variant(_write_a_turn_to_one_replica, "second_loss", 60),
    "believe one store that denies a turn": Variant(_believe_one_store_that_denies_a_turn, "second_loss", 60),
    "two majorities that do not meet": Variant(_two_majorities_that_do_not_meet, "orders", 20),
    "give a reservation back twice": Variant(_give_a_reservation_back_twice, "orders", 20),
    "take any state that is told": Variant(_take_any_state_that_is_told, "cut_off", 20),
    "answer under any epoch": Variant(_answer_under_any_epoch, "second_loss", 60),
    "take an answer without its number": Variant(_take_an_answer_without_its_number, "answers", 20),
    "count a copied ledger as a vote": Variant(_count_a_copied_ledger_as_a_vote, "second_loss", 60),
}


def first_broken(name, most_seeds=None):
    """The first seed that finds a variant, and what it breaks; None where none does."""
    variant = VARIANTS[name]
    variant.put_in_place()
    for seed in range(1, (most_seeds or variant.most_seeds) + 1):
        result = run(variant.scenario, seed)
        if result.broken:
            return seed, result.broken[0]
    return None


def main():
    parser = argparse.ArgumentParser(prog="python -m tests.simulation.wrong_variants", description=__doc__)
    parser.add_argument("--variant", action="append", choices=sorted(VARIANTS), help="default: all")
    parser.add_argument("--jobs", type=int, default=4)
    given = parser.parse_args()
    names = given.variant or list(VARIANTS)
    missed = 0
    with ProcessPoolExecutor(given.jobs, max_tasks_per_child=1) as pool:
        began_s = time.monotonic()
        asked = {pool.submit(partial(first_broken, name)): name for name in names}
        for future in as_completed(asked):
            name, found = asked[future], future.result()
            missed += found is None
            told = f"seed {found[0]}: {found[1]}" if found else f"NOT FOUND in {VARIANTS[name].most_seeds} seeds"
            print(f"{name} ({VARIANTS[name].scenario}): {told}", flush=True)
    print(f"{len(names)} variants, {missed} not found; {time.monotonic() - began_s:.0f} s")
    return 1 if missed else 0


if __name__ == "__main__":
    with_fixed_hashes("tests.simulation.wrong_variants")
    sys.exit(main())
