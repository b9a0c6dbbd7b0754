"""Mutations of the control plane and its clients, each applied in process, and the check that has to fail on it.

A check is a model or a test. That it passes on the unchanged program is covered by its own run
(`tests/model/test_models.py`, or the test itself).
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import importlib
import logging
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import pytest
from dataplane.receiver_caller import Caller

from dewpin.cluster import store_messages as wire
from dewpin.dataplane.upstream.outcome import Outcome
from tests.model.catalogue import QUICK
from tests.model.explorer import explore
from tests.mutations import variants

Patch = variants.Patch


@dataclass(frozen=True)
class Mutation:
    """A mutation and the check that catches it.

    Attributes:
        apply: patches the program.
        check: name of a model, or `module::test`.
        max_states: number of states within which the model has to find the fault; 0 if the check is a test.
        arguments: returns the arguments of the test.
    """

    apply: Callable[[Patch], None]
    check: str
    max_states: int = 0
    arguments: Callable[[], Mapping[str, Any]] = dict


RACE = "register: two configurations, two ballots each"
READS = "register: reads after a race"
REPEATED_CONFIGURATION = "register: one configuration at two processes, sent again"
WIPED_MEMBER = "register: a wiped member is replaced"
FORMER_MEMBERS = "register: a change of members and a read, the own replica may fail"
FORMER_MEMBERS_SCRIPTED = (
    "tests.model.test_former_members::test_member_change_unknown_to_former_members_is_not_read_as_chosen"
)
UNFINISHED_MEMBER_CHANGE = "tests.consensus.test_register::test_unfinished_member_change_is_confirmed_first"
CRASH = "register: a configuration sent again after a crash"
RESERVATIONS = "ledgers: two reservations"
SETTLEMENT = "ledgers: a settlement under a prepared ballot"
CONTACT = "contact: two seconds"
MEMBER_CHANGE = "contact: a change of members ends"
LATE_CONFIGURATION_REPLIES = "register: two configurations, answers come late"
LATE_RESERVATION_REPLIES = "ledgers: two reservations, answers come late"
FIVE_REGISTERS = "tests.model.test_register_machine::test_random_runs_of_five_registers_satisfy_properties"
LEDGER_RUNS = "tests.model.test_ledger_machine::test_random_runs_of_a_ledger_through_view_changes_satisfy_properties"
SETTLEMENT_AB = "ledgers: a settlement through the change, reserved at a and b"
SETTLEMENT_BC = "ledgers: a settlement through the change, reserved at b and c"
VIEW_CHANGE = "ledgers: before the change and after it"
PREPARED_BALLOT = "tests.model.test_prepared_ballots::test_prepared_ballot_is_used_only_in_epoch_of_its_promises"
COPIED_VALUE = "tests.model.test_copied_votes::test_copied_unchosen_value_is_not_read_as_chosen"

ISOLATED_SERVER = "tests.controlplane.test_isolation::test_isolated_control_server_rejects_lease_renewals_and_watches"
RESTARTED_SERVER = "tests.controlplane.test_isolation::test_restarted_control_server_serves_no_state_from_disk"
STORE_CHANGE = "tests.controlplane.test_reconfiguration::test_store_change_ends_only_when_all_next_stores_have_synced"
STORE_RETIREMENT = "tests.controlplane.test_reconfiguration::test_retirement_waits_until_other_stores_have_synced"
RETIREMENT_MODEL = "retirement of d: a record at a, b and d"
BODY_DIGEST = "tests.controlplane.test_configuration_bodies::test_body_with_wrong_digest_is_rejected_and_fetched_again"
NEW_SENDER = (
    "tests.controlplane.test_senders_and_control_servers::"
    "test_new_sender_with_only_isolated_control_server_is_not_ready"
)
NO_ROUTE = (
    "tests.dataplane.test_request_handler::test_request_without_route_gets_503_while_configuration_is_unconfirmed"
)
COPIED_PROMISE = "tests.controlplane.test_ledger_copies::test_copy_does_not_revert_promises"
BACKGROUND_SETTLEMENT = (
    "tests.dataplane.test_store_client_budgets::"
    "test_settlement_is_made_in_the_background_if_another_sender_changed_the_ledger"
)
PREVIOUS_QUORUMS = "tests.consensus.test_register::test_value_needs_majorities_of_sets_of_previous_value"
OLDER_EPOCH = "tests.controlplane.test_store::test_write_of_an_older_epoch_stores_nothing"
UNKNOWN_EFFECT = "tests.dataplane.test_retry::test_unknown_effect_ends_non_idempotent_request"
REUSED_CONNECTION = (
    "tests.dataplane.test_receiver_client::test_rejection_without_id_proves_nothing_on_reused_connection"
)
LATE_REPLY = "tests.cluster.test_rpc_endings::test_late_reply_to_abandoned_call_is_dropped"
LONG_CONVERSATION = "conversation: four turns"
CONVERSATION_AND_LOSS = "conversation: four turns, one disk lost"
CONVERSATIONS = "tests.controlplane.test_conversation_retention::"
CHANGING_SENDERS = CONVERSATIONS + "test_conversation_through_changing_senders_outlives_the_retention_of_its_turns"
WHOLE_HISTORIES = CONVERSATIONS + "test_majority_has_the_whole_history_of_each_acknowledged_turn"
HANDED_OVER_TURN = CONVERSATIONS + "test_turn_handed_over_to_another_sender_leaves_one_history"
RETURNED_STORE = CONVERSATIONS + "test_store_that_was_absent_gets_the_whole_history_before_it_counts"
MISSING_TURN = "tests.controlplane.test_store::test_write_names_the_newest_turn_that_the_program_lacks"
LONG_GAP = CONVERSATIONS + "test_replica_that_lacks_a_long_history_gets_it_in_few_requests"
LONG_TURN = CONVERSATIONS + "test_turn_that_lasts_longer_than_the_retention_is_stored_with_its_history"
COPIED_HISTORY = CONVERSATIONS + "test_copy_to_a_new_store_keeps_expired_turns_that_are_still_continued"
PURGE_IN_BATCHES = "tests.controlplane.test_store::test_ended_history_is_purged_in_whole_batches_from_its_end"
PURGE_LIMITS = (
    "tests.controlplane.test_store::test_purge_stops_at_a_turn_that_another_one_continues_or_that_has_not_expired"
)

MUTATIONS = [
    Mutation(variants.promise_any_ballot, RACE, 20_000),
    Mutation(variants.accept_ballot_below_promise, RESERVATIONS, 50_000),
    Mutation(variants.ignore_accepted_values, RACE, 20_000),
    Mutation(variants.use_quorums_of_one, RACE, 20_000),
    Mutation(variants.treat_any_value_as_chosen, READS, 20_000),
    Mutation(variants.build_on_unfinished_member_change, UNFINISHED_MEMBER_CHANGE),
    Mutation(variants.omit_quorum_of_former_members, FORMER_MEMBERS, 20_000),
    Mutation(variants.omit_quorum_of_former_members, FORMER_MEMBERS_SCRIPTED),
    Mutation(variants.lose_promises_on_restart, CRASH, 20_000),
    Mutation(variants.acknowledge_before_persisting, CRASH, 20_000),
    Mutation(variants.accept_requests_for_other_member_ids, WIPED_MEMBER, 40_000),
    Mutation(variants.reject_change_on_unchosen_state, RACE, 20_000),
    Mutation(variants.reject_repeated_configuration, REPEATED_CONFIGURATION, 20_000),
    Mutation(variants.confirm_rejected_configuration, RACE, 20_000),
    Mutation(variants.end_view_change_before_copies_are_complete, VIEW_CHANGE, 100_000),
    Mutation(variants.end_view_change_before_all_have_synced, VIEW_CHANGE, 500_000),
    Mutation(variants.answer_requests_of_other_epochs, VIEW_CHANGE, 500_000),
    Mutation(variants.count_copied_value_as_vote, COPIED_VALUE),
    Mutation(variants.omit_copied_values, VIEW_CHANGE, 100_000),
    Mutation(variants.confirm_contact_without_majority, CONTACT, 50_000),
    Mutation(variants.ignore_acknowledged_version, CONTACT, 50_000),
    Mutation(variants.use_quorums_of_one, FIVE_REGISTERS, arguments=lambda: {"shrinks": False}),
    Mutation(variants.ignore_accepted_values, FIVE_REGISTERS, arguments=lambda: {"shrinks": False}),
    Mutation(variants.use_quorums_of_one, LEDGER_RUNS, arguments=lambda: {"shrinks": False}),
    Mutation(variants.ignore_accepted_values, LEDGER_RUNS, arguments=lambda: {"shrinks": False}),
    Mutation(variants.count_repeated_replies, LEDGER_RUNS, arguments=lambda: {"shrinks": False}),
    Mutation(variants.reserve_beyond_budget, LEDGER_RUNS, arguments=lambda: {"shrinks": False}),
    Mutation(variants.copy_values_of_lower_ballots, LEDGER_RUNS, arguments=lambda: {"shrinks": False}),
    Mutation(variants.read_from_cached_promise, LEDGER_RUNS, arguments=lambda: {"shrinks": False}),
    Mutation(variants.process_promises_after_accept, LATE_CONFIGURATION_REPLIES, 20_000),
    Mutation(variants.count_repeated_replies, LATE_RESERVATION_REPLIES, 20_000),
    Mutation(variants.omit_new_members_from_contact, MEMBER_CHANGE, 50_000),
    Mutation(variants.forget_settlements_when_view_changes, SETTLEMENT_AB, 50_000),
    Mutation(variants.settle_repeatedly, SETTLEMENT_AB, 50_000),
    Mutation(variants.end_view_change_before_copies_are_complete, SETTLEMENT_BC, 50_000),
    Mutation(variants.omit_copied_values, SETTLEMENT_BC, 50_000),
    Mutation(variants.settle_repeatedly, SETTLEMENT, 50_000),
    Mutation(variants.drop_settlements, SETTLEMENT, 50_000),
    Mutation(variants.reserve_beyond_budget, RESERVATIONS, 20_000),
    Mutation(variants.copy_values_of_lower_ballots, VIEW_CHANGE, 500_000),
    Mutation(variants.omit_value_if_proposer_knows_none, RESERVATIONS, 50_000),
    Mutation(
        variants.use_prepared_ballot_in_other_epoch,
        PREPARED_BALLOT,
        arguments=lambda: {"epoch": 2, "first_round": wire.LEDGER_PREPARE},
    ),
    Mutation(variants.accept_responses_without_request_id, REUSED_CONNECTION, arguments=lambda: {"call": Caller()}),
    Mutation(variants.treat_reset_as_not_executed, UNKNOWN_EFFECT, arguments=lambda: {"outcome": Outcome.RESET}),
    Mutation(variants.reuse_call_numbers, LATE_REPLY, arguments=lambda: {"how": "timed out"}),
    Mutation(variants.end_store_change_before_last_store_has_synced, STORE_CHANGE),
    Mutation(variants.finish_retirements_immediately, STORE_RETIREMENT),
    Mutation(variants.finish_retirements_immediately, RETIREMENT_MODEL, 5_000),
    Mutation(variants.end_store_change_before_any_store_has_synced, RETIREMENT_MODEL, 5_000),
    Mutation(variants.end_view_change_before_copies_are_complete, RETIREMENT_MODEL, 40_000),
    Mutation(
        variants.grant_leases_and_state_without_majority,
        ISOLATED_SERVER,
        arguments=lambda: {"number": 1, "how": "both"},
    ),
    Mutation(variants.serve_state_from_disk, RESTARTED_SERVER),
    Mutation(variants.answer_404_while_unconfirmed, NO_ROUTE),
    Mutation(variants.report_ready_before_majority_has_confirmed, NEW_SENDER, arguments=lambda: {"seed": 2}),
    Mutation(variants.accept_bodies_without_digest_check, BODY_DIGEST),
    Mutation(variants.replace_higher_promise_by_copied_one, COPIED_PROMISE),
    Mutation(variants.omit_quorums_of_previous_value, PREVIOUS_QUORUMS),
    Mutation(variants.treat_conflict_as_settled, BACKGROUND_SETTLEMENT),
    Mutation(variants.write_in_older_epoch, OLDER_EPOCH),
    Mutation(variants.report_no_missing_turns, LONG_CONVERSATION, 2_000),
    Mutation(variants.look_for_the_previous_turn_only, LONG_CONVERSATION, 2_000),
    Mutation(variants.purge_continued_turns, LONG_CONVERSATION, 2_000),
    Mutation(variants.purge_turns_while_they_are_copied, CONVERSATION_AND_LOSS, 20_000),
    Mutation(variants.count_replicas_with_gaps, CHANGING_SENDERS),
    Mutation(variants.count_replicas_with_gaps, WHOLE_HISTORIES),
    Mutation(variants.count_replicas_with_gaps, HANDED_OVER_TURN),
    Mutation(variants.supply_newest_missing_turn_only, RETURNED_STORE, arguments=lambda: {"absent": "a"}),
    Mutation(variants.report_no_missing_turns, CHANGING_SENDERS),
    Mutation(variants.look_for_the_previous_turn_only, MISSING_TURN),
    Mutation(variants.look_for_turns_of_any_program, MISSING_TURN),
    Mutation(variants.supply_one_turn_per_request, LONG_GAP, arguments=lambda: {"turns": 60}),
    Mutation(variants.forget_history_while_a_turn_is_in_progress, LONG_TURN),
    Mutation(
        variants.purge_turns_while_they_are_copied,
        COPIED_HISTORY,
        arguments=lambda: {"wiped": "a", "slow_copies": None},
    ),
    Mutation(variants.purge_continued_turns, CHANGING_SENDERS),
    Mutation(variants.purge_one_end_per_batch, PURGE_IN_BATCHES),
    Mutation(variants.purge_unexpired_turns_that_ended_ones_continue, PURGE_LIMITS),
]


CHECKS = {
    name: importlib.import_module(name)
    for name in sorted({mutation.check.partition("::")[0] for mutation in MUTATIONS if not mutation.max_states})
}
"""The modules of the tests, all imported before the first test runs."""


@contextlib.contextmanager
def pending_tasks_collected_without_log() -> Iterator[None]:
    """Collect the tasks that a failed check leaves pending, with asyncio's log disabled.

    Otherwise they are collected at an arbitrary later moment. If that happens during an import or while another
    traceback is formatted, the traceback that asyncio logs parses source code recursively, which raises a SystemError
    in CPython 3.11 (gh-106905).
    """
    asyncio_log = logging.getLogger("asyncio")
    asyncio_log.disabled = True
    try:
        yield
    finally:
        gc.collect()
        asyncio_log.disabled = False


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda mutation: mutation.apply.__name__)
def test_mutation_is_caught(
    mutation: Mutation, monkeypatch: Patch, record_property: Callable[[str, object], None]
) -> None:
    mutation.apply(monkeypatch)
    if not mutation.max_states:
        module, _, test = mutation.check.partition("::")
        with pending_tasks_collected_without_log(), pytest.raises((AssertionError, pytest.fail.Exception)):
            getattr(CHECKS[module], test)(**mutation.arguments())
        return
    report = explore(QUICK[mutation.check](), mutation.max_states)
    record_property("states", report.states)
    print(f"{mutation.apply.__name__}: {report.states} states, {report.fault}")
    assert report.fault is not None, f"not caught: {report.text()}"


def test_pending_tasks_of_failed_check_log_nothing_later(caplog: pytest.LogCaptureFixture) -> None:
    with pending_tasks_collected_without_log(), pytest.raises(AssertionError):
        _fail_with_pending_task()
    gc.collect()
    assert [record.name for record in caplog.records] == []


def _fail_with_pending_task() -> None:
    """Fail and leave a task pending; the task and the future that it awaits form a reference cycle."""

    async def wait_forever() -> None:
        await asyncio.Event().wait()

    loop = asyncio.new_event_loop()
    task = loop.create_task(wait_forever())
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()
    raise AssertionError(task)
