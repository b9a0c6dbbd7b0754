"""Mutations of the control plane and its clients; each function applies one by patching the program in process."""

from __future__ import annotations

import contextlib
import itertools
from dataclasses import replace
from typing import Any

import pytest

from dewpin.cluster.rpc.client import ClientConnection
from dewpin.cluster.store_view import StoreView
from dewpin.consensus import Promise, Proposal, Replica, proposal
from dewpin.consensus.replica import ZERO_BALLOT, Accepted
from dewpin.controlplane.membership import majority_contact, reconfiguration
from dewpin.controlplane.membership.majority_contact import MajorityContact, MemberAcknowledgement, StateFreshness
from dewpin.controlplane.register import proposer, replica_storage, system_state
from dewpin.controlplane.register.acceptor import RegisterAcceptor
from dewpin.controlplane.register.change_errors import ChangeRejectedError
from dewpin.controlplane.register.configuration_bodies import ConfigurationBodies
from dewpin.controlplane.register.replica_storage import ReplicaStorage
from dewpin.controlplane.store import ledger_replica, replica_sync, turn_copy, turn_table
from dewpin.controlplane.store.store import Store
from dewpin.controlplane.store.view_guard import ViewGuard
from dewpin.dataplane.membership.state_confirmation import StateConfirmation
from dewpin.dataplane.programs import ledger, ledger_ballot, ledger_client
from dewpin.dataplane.programs.errors import StaleViewError
from dewpin.dataplane.programs.history import History
from dewpin.dataplane.programs.ledger_client import LedgerClient
from dewpin.dataplane.programs.turn_write import TurnWrite
from dewpin.dataplane.routing.request_handler import RequestHandler
from dewpin.dataplane.routing.retry import RetryStateMachine
from dewpin.dataplane.upstream import receiver_client
from dewpin.dataplane.upstream.outcome import Outcome
from tests.model import ledger_model, register_parts

Patch = pytest.MonkeyPatch


def promise_any_ballot(patch: Patch) -> None:
    def prepare(self: Replica, ballot: Any, known: Any = None) -> Promise:
        self.promised = ballot
        return Promise(self.accepted, self.value, self.copied)

    patch.setattr(Replica, "prepare", prepare)


def accept_ballot_below_promise(patch: Patch) -> None:
    def accept(self: Replica, ballot: Any, value: Any, next_ballot: Any = None) -> Accepted:
        self.accepted, self.value, self.copied = ballot, value, False
        self.promised = max(self.promised, ballot, next_ballot or ballot)
        return Accepted(ballot)

    patch.setattr(Replica, "accept", accept)


def ignore_accepted_values(patch: Patch) -> None:
    original = Proposal._on_promise

    def on_promise(self: Proposal, member: str, promise: Promise) -> Any:
        return original(self, member, Promise(ZERO_BALLOT, None))

    patch.setattr(Proposal, "_on_promise", on_promise)


def use_quorums_of_one(patch: Patch) -> None:
    patch.setattr(proposal, "majority_of", lambda members: 1)


def treat_any_value_as_chosen(patch: Patch) -> None:
    patch.setattr(Proposal, "_is_chosen", lambda self, sets: True)


def build_on_unfinished_member_change(patch: Patch) -> None:
    def begin_accept(self: Proposal) -> Any:
        sets = list(self._quorum_sets(self._highest))
        value = self._change(self._highest)
        return self._send_accept(value, [*sets, *self._quorum_sets(value)])

    patch.setattr(Proposal, "_begin_accept", begin_accept)


def omit_quorum_of_former_members(patch: Patch) -> None:
    patch.setattr(proposer, "quorum_sets", lambda state: [frozenset(state["members"])])


def lose_promises_on_restart(patch: Patch) -> None:
    original = ReplicaStorage.load

    async def load(self: ReplicaStorage) -> None:
        await original(self)
        self._replica.promised = ZERO_BALLOT

    patch.setattr(ReplicaStorage, "load", load)


def acknowledge_before_persisting(patch: Patch) -> None:
    async def persist(self: ReplicaStorage) -> None:
        self.durable_version = self._replica.value["version"]

    original = replica_storage.ReplicaStorage.persist

    async def persist_initial_state_only(self: ReplicaStorage) -> None:
        await (original(self) if self._replica.value["version"] == 0 else persist(self))

    patch.setattr(ReplicaStorage, "persist", persist_initial_state_only)


def accept_requests_for_other_member_ids(patch: Patch) -> None:
    patch.setattr(RegisterAcceptor, "_check_addressee", lambda self, member: None)


def reject_change_on_unchosen_state(patch: Patch) -> None:
    patch.setattr(proposer._GuardedChange, "apply", lambda self, state: self._change(state))


def reject_repeated_configuration(patch: Patch) -> None:
    def put(body: bytes, generation: int, base: int) -> Any:
        change = system_state.put_configuration(body, generation, base)
        return lambda state: change({**state, "accepted": [], "orders_taken": 0})

    patch.setattr(register_parts, "put_configuration", put)


def confirm_rejected_configuration(patch: Patch) -> None:
    def put(body: bytes, generation: int, base: int) -> Any:
        change = system_state.put_configuration(body, generation, base)

        def lenient(state: Any) -> Any:
            try:
                return change(state)
            except ChangeRejectedError:
                return state

        return lenient

    patch.setattr(register_parts, "put_configuration", put)


def end_view_change_before_copies_are_complete(patch: Patch) -> None:
    patch.setattr(replica_sync, "has_read_enough_sources", lambda view, unread_sources, replica_count: True)


def end_view_change_before_all_have_synced(patch: Patch) -> None:
    patch.setattr(ledger_model, "_have_all_synced", lambda stores, epoch, knowledge: True)


def answer_requests_of_other_epochs(patch: Patch) -> None:
    check, transact = ViewGuard.check_view, ViewGuard.transact

    def check_in_any_epoch(self: ViewGuard, message: Any) -> Any:
        if message.get("view") is not None:
            self.adopt(StoreView.from_json(message["view"]))
        return check(self, {**message, "epoch": self.view.epoch if self.view is not None else None})

    def transact_in_any_epoch(self: ViewGuard, view_epoch: int, work: Any) -> Any:
        return transact(self, self.view.epoch if self.view is not None else view_epoch, work)

    patch.setattr(ViewGuard, "check_view", check_in_any_epoch)
    patch.setattr(ViewGuard, "transact", transact_in_any_epoch)


def count_copied_value_as_vote(patch: Patch) -> None:
    original = Proposal._on_promise

    def on_promise(self: Proposal, member: str, promise: Promise) -> Any:
        return original(self, member, replace(promise, copied=False))

    patch.setattr(Proposal, "_on_promise", on_promise)


def omit_copied_values(patch: Patch) -> None:
    def merge(connection: Any, records: Any, now_ms: int) -> None:
        for record in records:
            held = ledger_replica.load(connection, record.program)
            held.promised = max(held.promised, record.promised)
            ledger_replica.save(connection, record.program, held, now_ms)

    patch.setattr(ledger_replica, "merge", merge)


def settle_repeatedly(patch: Patch) -> None:
    def settle(turn_id: str, used_tokens: int) -> ledger.Change:
        def change(value: Any) -> Any:
            if value is None:
                return value
            remaining = {other: max_tokens for other, max_tokens in value["open"].items() if other != turn_id}
            return ledger.Ledger(spent=value["spent"] + used_tokens, open=remaining)

        return change

    patch.setattr(ledger, "settle", settle)


def drop_settlements(patch: Patch) -> None:
    patch.setattr(ledger, "settle", lambda turn_id, used_tokens: lambda value: value)


def reserve_beyond_budget(patch: Patch) -> None:
    patch.setattr(ledger, "can_reserve", lambda value, turn_id, max_tokens, budget: True)


def confirm_contact_without_majority(patch: Patch) -> None:
    patch.setattr(majority_contact, "majority_of", lambda members: 1)


def ignore_acknowledged_version(patch: Patch) -> None:
    original = MajorityContact.record_acknowledgement

    def record(self: MajorityContact, member: str, acknowledgement: MemberAcknowledgement) -> None:
        original(self, member, MemberAcknowledgement(acknowledgement.sent_at_s, 0))

    patch.setattr(MajorityContact, "record_acknowledgement", record)


def omit_new_members_from_contact(patch: Patch) -> None:
    patch.setattr(majority_contact, "quorum_sets", lambda state: [frozenset(state["former_members"])])


def process_promises_after_accept(patch: Patch) -> None:
    original = Proposal._on_promise

    def on_promise(self: Proposal, member: str, promise: Promise) -> Any:
        sent, self._accept = self._accept, None
        requests = original(self, member, promise)
        self._accept = self._accept or sent
        return requests

    patch.setattr(Proposal, "_on_promise", on_promise)


def count_repeated_replies(patch: Patch) -> None:
    def on_accepted(self: Proposal, member: str, reply: Accepted) -> Any:
        if self._accept is not None and reply.ballot == self.ballot:
            member = f"{member} again" if member in self._accepted else member
            self._accepted.add(member)
            if all(len(self._accepted) >= proposal.majority_of(members) for members in self._accept_sets):
                self.result = proposal.Result(proposal.Outcome.CHOSEN, self._accept.value, self.ballot)
        return []

    patch.setattr(Proposal, "_on_accepted", on_accepted)


def forget_settlements_when_view_changes(patch: Patch) -> None:
    original = LedgerClient._run_ballot

    async def run_ballot(self: LedgerClient, program: str, *rest: Any) -> Any:
        try:
            return await original(self, program, *rest)
        except StaleViewError:
            self._forget_settlements(program, list(self._pending_settlements.get(program, {})))
            raise

    patch.setattr(LedgerClient, "_run_ballot", run_ballot)


def treat_conflict_as_settled(patch: Patch) -> None:
    patch.setattr(ledger_client, "_OUTCOMES_WITH_CHANGE_MADE", tuple(proposal.Outcome))


def copy_values_of_lower_ballots(patch: Patch) -> None:
    def merge(connection: Any, records: Any, now_ms: int) -> None:
        for record in records:
            promised = max(ledger_replica.load(connection, record.program).promised, record.promised)
            copy = Replica(promised, record.accepted, record.value, copied=True)
            ledger_replica.save(connection, record.program, copy, now_ms)

    patch.setattr(ledger_replica, "merge", merge)


def omit_value_if_proposer_knows_none(patch: Patch) -> None:
    original = Replica.prepare

    def prepare(self: Replica, ballot: Any, known: Any = None) -> Any:
        reply = original(self, ballot, known)
        return replace(reply, value=None) if isinstance(reply, Promise) and known is None else reply

    patch.setattr(Replica, "prepare", prepare)


def use_prepared_ballot_in_other_epoch(patch: Patch) -> None:
    class AnyEpoch(int):
        def __ne__(self, other: object) -> bool:
            return False

    original = ledger_ballot._Promise
    patch.setattr(ledger_ballot, "_Promise", lambda epoch, *rest: original(AnyEpoch(epoch), *rest))


def read_from_cached_promise(patch: Patch) -> None:
    patch.setattr(ledger_ballot.LedgerProposer, "forget_promise", lambda self, program: None)


def accept_responses_without_request_id(patch: Patch) -> None:
    patch.setattr(receiver_client, "is_response_to", lambda response, request, is_first: True)


def treat_reset_as_not_executed(patch: Patch) -> None:
    original = RetryStateMachine.record_call

    def record_call(self: RetryStateMachine, receiver_id: str, outcome: Outcome, *rest: Any, **named: Any) -> None:
        is_treated_as_proof = outcome is Outcome.RESET and not self._policy.is_idempotent
        original(self, receiver_id, Outcome.NOT_EXECUTED if is_treated_as_proof else outcome, *rest, **named)

    patch.setattr(RetryStateMachine, "record_call", record_call)


def reuse_call_numbers(patch: Patch) -> None:
    def lowest_free_number(self: Any) -> int:
        return next(number for number in itertools.count(1) if number not in self._pending)

    patch.setattr(
        ClientConnection, "_last_number", property(lowest_free_number, lambda self, number: None), raising=False
    )


def end_store_change_before_last_store_has_synced(patch: Patch) -> None:
    def all_but_one(stores: dict[str, str], epoch: int, knowledge: Any) -> bool:
        synced = {peer.id: peer.synced_epoch for peer in knowledge.all_peers()}
        return sum(synced.get(store, -1) >= epoch for store in stores) >= len(stores) - 1

    patch.setattr(reconfiguration, "_have_all_synced", all_but_one)


def end_store_change_before_any_store_has_synced(patch: Patch) -> None:
    patch.setattr(reconfiguration, "_have_all_synced", lambda stores, epoch, knowledge: True)


def finish_retirements_immediately(patch: Patch) -> None:
    def finish_first(state: Any, knowledge: Any) -> Any:
        return next((system_state.finish_retirement(name) for name in state["retiring"]), None)

    patch.setattr(reconfiguration, "_finish_completed_retirement", finish_first)


def grant_leases_and_state_without_majority(patch: Patch) -> None:
    patch.setattr(StateFreshness, "is_current", lambda self: True)


def serve_state_from_disk(patch: Patch) -> None:
    original = StateFreshness.age_s

    def age_s(self: StateFreshness) -> float:
        return 0.0 if self._contact.confirmed_at_s == majority_contact.NEVER_S else original(self)

    patch.setattr(StateFreshness, "age_s", age_s)


def answer_404_while_unconfirmed(patch: Patch) -> None:
    original = RequestHandler._handle

    def handle(self: Any, request: Any) -> Any:
        self._state.is_current = lambda: True
        return original(self, request)

    patch.setattr(RequestHandler, "_handle", handle)


def report_ready_before_majority_has_confirmed(patch: Patch) -> None:
    patch.setattr(StateConfirmation, "is_confirmed", property(lambda self: True))


def accept_bodies_without_digest_check(patch: Patch) -> None:
    async def get_or_fetch(self: ConfigurationBodies, digest: str, base_generation: int, source: str) -> str:
        self._bodies[digest] = await self._fetch(digest, source)
        return self._bodies[digest]

    patch.setattr(ConfigurationBodies, "_get_or_fetch", get_or_fetch)


def replace_higher_promise_by_copied_one(patch: Patch) -> None:
    def merge(connection: Any, records: Any, now_ms: int) -> None:
        for record in records:
            own = ledger_replica.load(connection, record.program)
            merged = replace(own, promised=record.promised)
            if record.accepted > own.accepted:
                merged = Replica(record.promised, record.accepted, record.value, copied=True)
            ledger_replica.save(connection, record.program, merged, now_ms)

    patch.setattr(ledger_replica, "merge", merge)


def omit_quorums_of_previous_value(patch: Patch) -> None:
    send_accept = Proposal._send_accept

    def send(self: Proposal, value: Any, sets: Any) -> Any:
        return send_accept(self, value, list(self._quorum_sets(value)))

    patch.setattr(Proposal, "_send_accept", send)


def write_in_older_epoch(patch: Patch) -> None:
    check = ViewGuard.check_view

    def lenient(self: ViewGuard, message: Any) -> Any:
        view = self.view
        is_older = view is not None and message["epoch"] < view.epoch
        return view if is_older else check(self, message)

    patch.setattr(ViewGuard, "check_view", lenient)


def count_replicas_with_gaps(patch: Patch) -> None:
    original = TurnWrite._process

    def process(self: TurnWrite, reply: Any) -> None:
        if reply.content is not None:
            reply = replace(reply, content=replace(reply.content, missing_turn=None))
        original(self, reply)

    patch.setattr(TurnWrite, "_process", process)


def supply_newest_missing_turn_only(patch: Patch) -> None:
    original = TurnWrite._process

    def process(self: TurnWrite, reply: Any) -> None:
        if reply.content is not None and reply.member in self._supplied_turns:
            reply = replace(reply, content=replace(reply.content, missing_turn=None))
        original(self, reply)

    patch.setattr(TurnWrite, "_process", process)


def report_no_missing_turns(patch: Patch) -> None:
    patch.setattr(turn_table, "newest_missing_turn", lambda connection, records: None)


def look_for_the_previous_turn_only(patch: Patch) -> None:
    def newest_missing_turn(connection: Any, records: Any) -> str | None:
        for record in records:
            row = connection.execute(
                "SELECT 1 FROM turns WHERE turn = ? AND program = ?", (record.previous, record.program)
            ).fetchone()
            if record.previous is not None and row is None:
                return str(record.previous)
        return None

    patch.setattr(turn_table, "newest_missing_turn", newest_missing_turn)


def look_for_turns_of_any_program(patch: Patch) -> None:
    original = turn_table._newest_missing_turn_before

    def newest_missing_turn_before(connection: Any, program: str, turn: str) -> str | None:
        missing = original(connection, program, turn)
        row = connection.execute("SELECT 1 FROM turns WHERE turn = ?", (missing,)).fetchone()
        return missing if row is None else None

    patch.setattr(turn_table, "_newest_missing_turn_before", newest_missing_turn_before)


def supply_one_turn_per_request(patch: Patch) -> None:
    original = TurnWrite._supply

    def supply(self: TurnWrite, member: str, missing_turn: str) -> None:
        self._supplied_turns.pop(member, None)
        original(self, member, missing_turn)

    patch.setattr(TurnWrite, "_supply", supply)


def forget_history_while_a_turn_is_in_progress(patch: Patch) -> None:
    patch.setattr(History, "records_before", lambda self, program, last_turn: iter(()))


def purge_turns_while_they_are_copied(patch: Patch) -> None:
    patch.setattr(Store, "turns_kept", lambda self: contextlib.nullcontext())
    patch.setattr(turn_copy, "TURNS_PER_REQUEST", 1)  # so that a purge falls into the copy


def purge_continued_turns(patch: Patch) -> None:
    def purge(connection: Any, now_ms: int, limit: int) -> list[Any]:
        return connection.execute(
            "DELETE FROM turns WHERE expires_ms < ? RETURNING turn, program", (now_ms,)
        ).fetchall()

    patch.setattr(turn_table, "purge", purge)


def purge_one_end_per_batch(patch: Patch) -> None:
    patch.setattr(turn_table, "_expired_ends", lambda connection, turns, now_ms, limit: [])


def purge_unexpired_turns_that_ended_ones_continue(patch: Patch) -> None:
    original = turn_table._expired_ends

    def expired_ends(connection: Any, turns: Any, now_ms: int, limit: int) -> Any:
        return original(connection, turns, now_ms + 10**12, limit)

    patch.setattr(turn_table, "_expired_ends", expired_ends)
