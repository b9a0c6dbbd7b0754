"""Wrong variants of the programs, with the scenario that has to find each: `python -m tests.simulation.wrong_variants`.

A variant is put in place in a process of its own; the seeds are tried one after the other until one breaks a rule. Each
counts how often it decided otherwise than the right text: one that never does shows nothing.
"""

import argparse
import sqlite3
import sys
import time
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, replace
from functools import partial

from dewpin.cluster import relay_service
from dewpin.cluster.rpc.client import ClientConnection
from dewpin.cluster.store_view import StoreView
from dewpin.consensus import proposal
from dewpin.controlplane import operator_api
from dewpin.controlplane.membership import reconfiguration
from dewpin.controlplane.membership.majority_contact import StateFreshness
from dewpin.controlplane.register.register import SystemRegister
from dewpin.controlplane.storage import StorageError
from dewpin.controlplane.store import ledger_replica
from dewpin.controlplane.store.replica_sync import StoreSync
from dewpin.controlplane.store.view_guard import ViewGuard
from dewpin.dataplane.membership.cluster_knowledge import ClusterKnowledge
from dewpin.dataplane.programs import ledger, turn_client

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


@dataclass(frozen=True)
class Trial:
    """How a variant fared: the seed that found it and what it broke, None without; how many seeds were run, and how
    often the variant decided otherwise than the right text in them."""

    seed: int | None
    broken: str | None
    seeds: int
    deviations: int


_deviations = 0


def _deviates(is_other=True):
    """Count a decision that the right text would not have made, if it is one."""
    global _deviations
    _deviations += bool(is_other)


def _acknowledge_before_sync():
    make = Disk.__init__

    def made(self, *given):
        make(self, *given)
        self.acknowledges_early = True
        _deviates()

    Disk.__init__ = made


def _forget_promises_over_a_restart():
    load = SystemRegister.load

    async def loaded(self):
        await load(self)
        replica = self.acceptor.replica
        _deviates(replica.promised != replica.accepted)
        replica.promised = replica.accepted
        self._proposer.resume()

    SystemRegister.load = loaded


def _count_a_wiped_member():
    empty = StoreHost.put_in_empty_disk

    def emptied(self):
        before = self.disk
        empty(self)
        if before is not None:
            self.disk.incarnation = before.incarnation
            _deviates()

    StoreHost.put_in_empty_disk = emptied


def _take_what_one_member_accepted_as_chosen():
    is_chosen = proposal.Proposal._is_chosen

    def taken(self, sets):
        _deviates(not is_chosen(self, sets))
        return True

    proposal.Proposal._is_chosen = taken


def _read_without_a_majority():
    operator_api.OperatorApi._propose = _from_what_is_known(operator_api.OperatorApi._propose)


def _from_what_is_known(agreed):
    def known(self, change):
        state = self._register.newest
        if state is None or change(state) is not state:
            return agreed(self, change)
        _deviates()
        return state

    return known


def _renew_without_a_majority():
    is_current = StateFreshness.is_current

    def current(self):
        _deviates(not is_current(self))
        return True

    StateFreshness.is_current = current
    StateFreshness.age_s = lambda self: 0.0


def _refuse_a_repeated_order():
    put = operator_api.put_configuration

    def forgetful(*given):
        change = put(*given)

        def changed(state):
            if [state["configuration"] and state["configuration"]["generation"]] == [given[1]]:
                _deviates()
                raise operator_api.VersionMismatchError("refused again")
            return change(state)

        return changed

    operator_api.put_configuration = forgetful


def _finish_a_view_before_all_have_copied():
    all_synced = reconfiguration._have_all_synced

    def synced(stores, epoch, knowledge):
        _deviates(not all_synced(stores, epoch, knowledge))
        return True

    reconfiguration._have_all_synced = synced


def _copy_nothing():
    async def at_once(self, view):
        _deviates(self._store.member_id in view.next_ids)
        self._on_synced(view.epoch)

    StoreSync._run = at_once


def _let_a_leaving_store_go_early():
    done = reconfiguration._finish_completed_retirement

    def early(state, knowledge):
        for name in state["retiring"]:
            _deviates(done(state, knowledge) is None)
            return reconfiguration.finish_retirement(name)
        return None

    reconfiguration._finish_completed_retirement = early


def _write_a_turn_to_one_replica():
    has_majorities = turn_client.has_majorities

    def stored_once(sets, stored):
        _deviates(stored and not has_majorities(sets, stored))
        return bool(stored)

    turn_client.has_majorities = stored_once


def _believe_one_store_that_denies_a_turn():
    max_unreachable = StoreView.max_unreachable

    def all_but_one(self, count):
        _deviates(max_unreachable(self, count) < len(self.stable) - 1)
        return len(self.stable) - 1

    StoreView.max_unreachable = all_but_one


def _two_majorities_that_do_not_meet():
    def half_of(members):
        _deviates()
        return max(1, len(members) // 2)

    proposal.majority_of = half_of


def _give_a_reservation_back_twice():
    def settle(turn, used):
        def change(value):
            if value is None or turn not in value["open"]:
                return value
            _deviates()
            left = {other: most for other, most in value["open"].items() if other != turn}
            return ledger.Ledger(spent=max(0, value["spent"] + used - value["open"][turn]), open=left)

        return change

    ledger.settle = settle


def _take_any_state_that_is_told():
    """Both guards are gone: a parent tells what it has, newer or not, and its child takes it."""
    take, tell = ClusterKnowledge.apply_update, relay_service._update

    def taken(self, update, asked_s):
        if update.state is not None:
            complete = self.system_state.complete
            _deviates(complete is not None and update.state["version"] < complete["version"])
            self.system_state.complete = self.system_state.newest = None
        take(self, update, asked_s)

    def told(knowledge, request):
        return replace(tell(knowledge, request), state=knowledge.state)

    ClusterKnowledge.apply_update = taken
    relay_service._update = told


def _answer_under_any_epoch():
    """Both guards are gone: the check before the disk is asked, and the one behind it."""
    check = ViewGuard.check_view

    def checked(self, message):
        view = self.view
        if view is not None and message.get("to") == self.member_id:
            _deviates(message.get("epoch") != view.epoch)
            return view
        return check(self, message)

    async def transact(self, view_epoch, work):
        view = self.view
        return await make_transaction(self, view.epoch if view is not None else view_epoch, work)

    make_transaction = ViewGuard.transact
    ViewGuard.check_view = checked
    ViewGuard.transact = transact


def _take_an_answer_without_its_number():
    receive = ClientConnection.data_received

    def received(self, data):
        waiting = self._pending

        class InTheirOrder(dict):
            def pop(self, number, default=None):
                first = next(iter(waiting), number)
                _deviates(first != number)
                return waiting.pop(first, default)

        self._pending = InTheirOrder(waiting)
        try:
            receive(self, data)
        finally:
            self._pending = waiting

    ClientConnection.data_received = received


def _count_a_copied_ledger_as_a_vote():
    load = ledger_replica.load

    def voted(connection, program):
        replica = load(connection, program)
        _deviates(replica.copied)
        return replace(replica, copied=False)

    ledger_replica.load = voted


def _leave_bodies_out_for_every_release():
    state_for = relay_service._state_for

    def state_without_body(request, state):
        known = replace(request, body_generation=request.body_generation or 0)
        _deviates(request.body_generation is None)
        return state_for(known, state)

    relay_service._state_for = state_without_body


def _take_a_full_disk_for_a_sync():
    transact = Disk.transact

    async def transacted(self, work):
        try:
            return await transact(self, work)
        except StorageError:
            _deviates()
            connection = sqlite3.connect(":memory:", isolation_level=None)
            self._connection.backup(connection)
            return work(connection)

    Disk.transact = transacted


VARIANTS = {
    "acknowledge before the sync": Variant(_acknowledge_before_sync, "orders", 60),
    "forget promises over a restart": Variant(_forget_promises_over_a_restart, "races", 40),
    "count a wiped member": Variant(_count_a_wiped_member, "races", 5),
    "take what one member accepted as chosen": Variant(_take_what_one_member_accepted_as_chosen, "races", 5),
    "read without a majority": Variant(_read_without_a_majority, "cut_off", 20),
    "renew without a majority": Variant(_renew_without_a_majority, "cut_off", 20),
    "refuse a repeated order": Variant(_refuse_a_repeated_order, "orders", 10),
    "finish a view before all have copied": Variant(_finish_a_view_before_all_have_copied, "second_loss", 60),
    "copy nothing": Variant(_copy_nothing, "moved_ledgers", 5),
    "let a leaving store go early": Variant(_let_a_leaving_store_go_early, "retired_at_once", 5),
    "write a turn to one replica": Variant(_write_a_turn_to_one_replica, "lone_writes", 5),
    "believe one store that denies a turn": Variant(_believe_one_store_that_denies_a_turn, "second_loss", 60),
    "two majorities that do not meet": Variant(_two_majorities_that_do_not_meet, "orders", 20),
    "give a reservation back twice": Variant(_give_a_reservation_back_twice, "orders", 20),
    "take any state that is told": Variant(_take_any_state_that_is_told, "short_cuts", 5),
    "answer under any epoch": Variant(_answer_under_any_epoch, "lone_writes", 20),
    "take an answer without its number": Variant(_take_an_answer_without_its_number, "answers", 20),
    "count a copied ledger as a vote": Variant(_count_a_copied_ledger_as_a_vote, "second_loss", 60),
    "leave bodies out for every release": Variant(_leave_bodies_out_for_every_release, "mixed_releases", 20),
    "take a full disk for a sync": Variant(_take_a_full_disk_for_a_sync, "full_disks", 20),
}


def first_broken(name, scenario=None, most_seeds=None):
    """Run a variant until a seed finds it."""
    variant = VARIANTS[name]
    variant.put_in_place()
    most_seeds = most_seeds or variant.most_seeds
    for seed in range(1, most_seeds + 1):
        result = run(scenario or variant.scenario, seed)
        if result.broken:
            return Trial(seed, result.broken[0], seed, _deviations)
    return Trial(None, None, most_seeds, _deviations)


def main():
    parser = argparse.ArgumentParser(prog="python -m tests.simulation.wrong_variants", description=__doc__)
    parser.add_argument("--variant", action="append", choices=sorted(VARIANTS), help="default: all")
    parser.add_argument("--scenario", help="in place of the one that has to find the variant")
    parser.add_argument("--seeds", type=int, help="at most, in place of the variant's own bound")
    parser.add_argument("--jobs", type=int, default=4)
    given = parser.parse_args()
    names = given.variant or list(VARIANTS)
    missed = 0
    with ProcessPoolExecutor(given.jobs, max_tasks_per_child=1) as pool:
        began_s = time.monotonic()
        asked = {pool.submit(partial(first_broken, name, given.scenario, given.seeds)): name for name in names}
        for future in as_completed(asked):
            name, trial = asked[future], future.result()
            missed += trial.seed is None
            told = f"seed {trial.seed}: {trial.broken}" if trial.seed else f"NOT FOUND in {trial.seeds} seeds"
            scenario = given.scenario or VARIANTS[name].scenario
            print(f"{name} ({scenario}, {trial.deviations} deviations): {told}", flush=True)
    print(f"{len(names)} variants, {missed} not found; {time.monotonic() - began_s:.0f} s")
    return 1 if missed else 0


if __name__ == "__main__":
    with_fixed_hashes("tests.simulation.wrong_variants")
    sys.exit(main())
