"""Wrong variants of the programs and the scenario that must detect each: `python -m tests.simulation.wrong_variants`.

A variant is applied in a process of its own, and seeds are run one after the other until one violates a rule. Each
counts how often its decision deviates from the correct code: a variant that never deviates tests nothing.
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
from dewpin.controlplane.store import ledger_replica, turn_table
from dewpin.controlplane.store.replica_sync import StoreSync
from dewpin.controlplane.store.view_guard import ViewGuard
from dewpin.dataplane.membership.cluster_knowledge import ClusterKnowledge
from dewpin.dataplane.programs import ledger, turn_write
from dewpin.dataplane.programs.turn_write import TurnWrite

from .__main__ import reexec_with_fixed_hash_seed
from .disk import Disk
from .hosts import StoreHost
from .run import run


@dataclass(frozen=True)
class Variant:
    """A wrong variant: the function that applies it, the scenario that detects it, and the maximum number of seeds."""

    apply: object
    scenario: str
    max_seeds: int


@dataclass(frozen=True)
class VariantResult:
    """The result of a variant: the seed that detected it and the violation, or None; the number of seeds run, and how
    often the variant deviated from the correct code in them."""

    seed: int | None
    violation: str | None
    seeds: int
    deviations: int


_deviations = 0


def _record_deviation(is_deviation=True):
    """Count a decision if it deviates from that of the correct code."""
    global _deviations
    _deviations += bool(is_deviation)


def _acknowledge_before_sync():
    original_init = Disk.__init__

    def patched_init(self, *given):
        original_init(self, *given)
        self.acknowledges_early = True
        _record_deviation()

    Disk.__init__ = patched_init


def _forget_promises_over_a_restart():
    original_load = SystemRegister.load

    async def load_without_promises(self):
        await original_load(self)
        replica = self.acceptor.replica
        _record_deviation(replica.promised != replica.accepted)
        replica.promised = replica.accepted
        self._proposer.resume()

    SystemRegister.load = load_without_promises


def _count_a_wiped_member():
    original_replace_disk = StoreHost.replace_disk

    def replace_disk_keeping_identity(self):
        previous = self.disk
        original_replace_disk(self)
        if previous is not None:
            self.disk.incarnation = previous.incarnation
            _record_deviation()

    StoreHost.replace_disk = replace_disk_keeping_identity


def _take_what_one_member_accepted_as_chosen():
    original_is_chosen = proposal.Proposal._is_chosen

    def always_chosen(self, sets):
        _record_deviation(not original_is_chosen(self, sets))
        return True

    proposal.Proposal._is_chosen = always_chosen


def _read_without_a_majority():
    operator_api.OperatorApi._propose = _answer_reads_locally(operator_api.OperatorApi._propose)


def _answer_reads_locally(original_propose):
    def propose(self, change):
        state = self._register.newest
        if state is None or change(state) is not state:
            return original_propose(self, change)
        _record_deviation()
        return state

    return propose


def _renew_without_a_majority():
    original_is_current = StateFreshness.is_current

    def always_current(self):
        _record_deviation(not original_is_current(self))
        return True

    StateFreshness.is_current = always_current
    StateFreshness.age_s = lambda self: 0.0


def _refuse_a_repeated_order():
    original_put = operator_api.put_configuration

    def put_rejecting_repeats(*given):
        change = original_put(*given)

        def change_rejecting_repeats(state):
            if [state["configuration"] and state["configuration"]["generation"]] == [given[1]]:
                _record_deviation()
                raise operator_api.VersionMismatchError("refused again")
            return change(state)

        return change_rejecting_repeats

    operator_api.put_configuration = put_rejecting_repeats


def _finish_a_view_before_all_have_copied():
    original_all_synced = reconfiguration._have_all_synced

    def always_synced(stores, epoch, knowledge):
        _record_deviation(not original_all_synced(stores, epoch, knowledge))
        return True

    reconfiguration._have_all_synced = always_synced


def _copy_nothing():
    async def finish_without_copying(self, view):
        _record_deviation(self._store.member_id in view.next_ids)
        self._on_synced(view.epoch)

    StoreSync._run = finish_without_copying


def _let_a_leaving_store_go_early():
    original_finish = reconfiguration._finish_completed_retirement

    def finish_early(state, knowledge):
        for name in state["retiring"]:
            _record_deviation(original_finish(state, knowledge) is None)
            return reconfiguration.finish_retirement(name)
        return None

    reconfiguration._finish_completed_retirement = finish_early


def _write_a_turn_to_one_replica():
    original_has_majorities = turn_write.has_majorities

    def is_stored_anywhere(sets, stored):
        _record_deviation(stored and not original_has_majorities(sets, stored))
        return bool(stored)

    turn_write.has_majorities = is_stored_anywhere


def _count_a_replica_with_gaps():
    original_process = TurnWrite._process

    def process_without_gaps(self, reply):
        if reply.content is not None:
            _record_deviation(reply.content.missing_turn is not None)
            reply = replace(reply, content=replace(reply.content, missing_turn=None))
        original_process(self, reply)

    TurnWrite._process = process_without_gaps


def _supply_the_newest_missing_turn_only():
    """A replica counts once it has got one of the turns that it lacks."""
    original_process, original_supply = TurnWrite._process, TurnWrite._supply

    def process_first_gap(self, reply):
        was_supplied = reply.member in self._supplied_turns
        if reply.content is not None and was_supplied:
            _record_deviation(reply.content.missing_turn is not None)
            reply = replace(reply, content=replace(reply.content, missing_turn=None))
        original_process(self, reply)

    TurnWrite._process, TurnWrite._supply = process_first_gap, original_supply


def _purge_expired_turns_that_are_continued():
    def purge_all_expired(connection, now_ms, limit):
        rows = connection.execute(
            "DELETE FROM turns WHERE expires_ms < ? RETURNING turn, program, previous", (now_ms,)
        ).fetchall()
        _record_deviation(bool(rows))
        return [(turn, program) for turn, program, _ in rows]

    turn_table.purge = purge_all_expired


def _keep_turns_for_ever():
    def purge_nothing(connection, now_ms, limit):
        _record_deviation()
        return []

    turn_table.purge = purge_nothing


def _believe_one_store_that_denies_a_turn():
    max_unreachable = StoreView.max_unreachable

    def all_but_one(self, count):
        _record_deviation(max_unreachable(self, count) < len(self.stable) - 1)
        return len(self.stable) - 1

    StoreView.max_unreachable = all_but_one


def _two_majorities_that_do_not_meet():
    def half_of(members):
        _record_deviation()
        return max(1, len(members) // 2)

    proposal.majority_of = half_of


def _give_a_reservation_back_twice():
    def settle(turn, used):
        def change(value):
            if value is None or turn not in value["open"]:
                return value
            _record_deviation()
            left = {other: max_tokens for other, max_tokens in value["open"].items() if other != turn}
            return ledger.Ledger(spent=max(0, value["spent"] + used - value["open"][turn]), open=left)

        return change

    ledger.settle = settle


def _take_any_state_that_is_told():
    """Removes both guards: a parent sends its state even if it is not newer, and its child accepts it."""
    original_apply_update, original_update = ClusterKnowledge.apply_update, relay_service._update

    def accept_any_update(self, update, asked_s):
        if update.state is not None:
            complete = self.system_state.complete
            _record_deviation(complete is not None and update.state["version"] < complete["version"])
            self.system_state.complete = self.system_state.newest = None
        original_apply_update(self, update, asked_s)

    def send_any_state(knowledge, request):
        return replace(original_update(knowledge, request), state=knowledge.state)

    ClusterKnowledge.apply_update = accept_any_update
    relay_service._update = send_any_state


def _answer_under_any_epoch():
    """Removes both guards: the check before the disk access and the one in the transaction."""
    original_check_view = ViewGuard.check_view

    def check_without_epoch(self, message):
        view = self.view
        if view is not None and message.get("to") == self.member_id:
            _record_deviation(message.get("epoch") != view.epoch)
            return view
        return original_check_view(self, message)

    async def transact_without_epoch(self, view_epoch, work):
        view = self.view
        return await original_transact(self, view.epoch if view is not None else view_epoch, work)

    original_transact = ViewGuard.transact
    ViewGuard.check_view = check_without_epoch
    ViewGuard.transact = transact_without_epoch


def _take_an_answer_without_its_number():
    original_data_received = ClientConnection.data_received

    def data_received(self, data):
        waiting = self._pending

        class RepliesInCallOrder(dict):
            def pop(self, number, default=None):
                first = next(iter(waiting), number)
                _record_deviation(first != number)
                return waiting.pop(first, default)

        self._pending = RepliesInCallOrder(waiting)
        try:
            original_data_received(self, data)
        finally:
            self._pending = waiting

    ClientConnection.data_received = data_received


def _count_a_copied_ledger_as_a_vote():
    original_load = ledger_replica.load

    def load_as_vote(connection, program):
        replica = original_load(connection, program)
        _record_deviation(replica.copied)
        return replace(replica, copied=False)

    ledger_replica.load = load_as_vote


def _leave_bodies_out_for_every_release():
    original_state_for = relay_service._state_for

    def state_without_body(request, state):
        assumed = replace(request, body_generation=request.body_generation or 0)
        _record_deviation(request.body_generation is None)
        return original_state_for(assumed, state)

    relay_service._state_for = state_without_body


def _take_a_full_disk_for_a_sync():
    original_transact = Disk.transact

    async def transact_despite_errors(self, work):
        try:
            return await original_transact(self, work)
        except StorageError:
            _record_deviation()
            connection = sqlite3.connect(":memory:", isolation_level=None)
            self._connection.backup(connection)
            return work(connection)

    Disk.transact = transact_despite_errors


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
    "count a replica with gaps": Variant(_count_a_replica_with_gaps, "long_conversations", 5),
    "supply the newest missing turn only": Variant(_supply_the_newest_missing_turn_only, "long_conversations", 20),
    "purge expired turns that are continued": Variant(_purge_expired_turns_that_are_continued, "long_conversations", 5),
    "keep turns for ever": Variant(_keep_turns_for_ever, "long_conversations", 2),
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


def find_violation(name, scenario=None, max_seeds=None):
    """Run a variant until a seed detects it."""
    variant = VARIANTS[name]
    variant.apply()
    max_seeds = max_seeds or variant.max_seeds
    for seed in range(1, max_seeds + 1):
        result = run(scenario or variant.scenario, seed)
        if result.violations:
            return VariantResult(seed, result.violations[0], seed, _deviations)
    return VariantResult(None, None, max_seeds, _deviations)


def main():
    parser = argparse.ArgumentParser(prog="python -m tests.simulation.wrong_variants", description=__doc__)
    parser.add_argument("--variant", action="append", choices=sorted(VARIANTS), help="default: all")
    parser.add_argument("--scenario", help="in place of the one that must detect the variant")
    parser.add_argument("--seeds", type=int, help="maximum number, in place of the variant's own")
    parser.add_argument("--jobs", type=int, default=4)
    arguments = parser.parse_args()
    names = arguments.variant or list(VARIANTS)
    undetected = 0
    with ProcessPoolExecutor(arguments.jobs, max_tasks_per_child=1) as pool:
        began_s = time.monotonic()
        asked = {
            pool.submit(partial(find_violation, name, arguments.scenario, arguments.seeds)): name for name in names
        }
        for future in as_completed(asked):
            name, result = asked[future], future.result()
            undetected += result.seed is None
            outcome = f"seed {result.seed}: {result.violation}" if result.seed else f"NOT FOUND in {result.seeds} seeds"
            scenario = arguments.scenario or VARIANTS[name].scenario
            print(f"{name} ({scenario}, {result.deviations} deviations): {outcome}", flush=True)
    print(f"{len(names)} variants, {undetected} not found; {time.monotonic() - began_s:.0f} s")
    return 1 if undetected else 0


if __name__ == "__main__":
    reexec_with_fixed_hash_seed("tests.simulation.wrong_variants")
    sys.exit(main())
