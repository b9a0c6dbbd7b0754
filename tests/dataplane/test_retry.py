"""The retry state machine: the action after each outcome, for idempotent and other requests."""

import random

import pytest

from dewpin.dataplane.routing.retry import (
    BACKOFF_JITTER,
    CONNECTS_PER_ATTEMPT,
    OTHER_RECEIVER_BACKOFF_S,
    SAME_RECEIVER_BACKOFF_S,
    FailRequest,
    ForwardResponse,
    RejectRequest,
    RetryPolicy,
    RetryStateMachine,
    SendToReceiver,
    WaitUntil,
)
from dewpin.dataplane.upstream.outcome import Outcome

NOW = 100.0
DEADLINE = 104.0
LATENCY_TARGET_S = 0.2
UNKNOWN_EFFECT = [Outcome.ERROR, Outcome.RESET, Outcome.CLOSED, Outcome.MALFORMED]
PROOFS_OF_NO_EFFECT = [Outcome.NOT_EXECUTED, Outcome.NOT_SENT]
FINAL_OUTCOMES = [Outcome.TIMED_OUT, Outcome.CLIENT_DISCONNECTED]


def make_machine(is_idempotent=True, attempts=2, deadline=DEADLINE):
    return RetryStateMachine(RetryPolicy(is_idempotent, attempts, LATENCY_TARGET_S), deadline, random.Random(1))


def test_first_action_is_to_send_to_any_receiver():
    assert make_machine().next_action(NOW) == SendToReceiver({}, False)


@pytest.mark.parametrize("is_idempotent", [True, False])
def test_success_is_forwarded(is_idempotent):
    machine = make_machine(is_idempotent)
    machine.record_call("a", Outcome.SUCCESS, NOW, is_forwardable=True)
    assert machine.next_action(NOW) == ForwardResponse()


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize("outcome", PROOFS_OF_NO_EFFECT)
def test_proof_of_no_effect_allows_another_receiver_at_once(is_idempotent, outcome):
    machine = make_machine(is_idempotent)
    machine.record_call("a", outcome, NOW)
    action = machine.next_action(NOW)
    assert isinstance(action, SendToReceiver)
    assert not action.may_have_run
    assert (
        SAME_RECEIVER_BACKOFF_S * (1 - BACKOFF_JITTER)
        <= action.avoid_until["a"] - NOW
        <= SAME_RECEIVER_BACKOFF_S * (1 + BACKOFF_JITTER)
    )


@pytest.mark.parametrize("outcome", UNKNOWN_EFFECT)
def test_idempotent_request_with_unknown_effect_is_retried_after_backoff(outcome):
    machine = make_machine(is_idempotent=True)
    machine.record_call("a", outcome, NOW)
    wait = machine.next_action(NOW)
    assert isinstance(wait, WaitUntil)
    assert OTHER_RECEIVER_BACKOFF_S * (1 - BACKOFF_JITTER) <= wait.time - NOW
    assert wait.time - NOW <= OTHER_RECEIVER_BACKOFF_S * (1 + BACKOFF_JITTER)
    action = machine.next_action(wait.time)
    assert isinstance(action, SendToReceiver)
    assert action.may_have_run


@pytest.mark.parametrize("outcome", UNKNOWN_EFFECT)
def test_unknown_effect_ends_non_idempotent_request(outcome):
    machine = make_machine(is_idempotent=False)
    machine.record_call("a", outcome, NOW)
    assert machine.next_action(NOW) == FailRequest(502)
    assert machine.next_action(DEADLINE) == FailRequest(504)


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize("outcome", FINAL_OUTCOMES)
def test_time_out_and_client_disconnect_are_never_retried(is_idempotent, outcome):
    machine = make_machine(is_idempotent)
    machine.record_call("a", outcome, DEADLINE)
    assert machine.next_action(DEADLINE) == FailRequest(504)


def test_proof_of_no_effect_after_unknown_effect_does_not_reject():
    machine = make_machine(is_idempotent=True)
    machine.record_call("a", Outcome.RESET, NOW)
    machine.record_call("b", Outcome.NOT_EXECUTED, NOW + 0.3)
    assert machine.next_action(NOW + 0.3) == FailRequest(502)


def test_unknown_effect_after_proof_ends_non_idempotent_request():
    machine = make_machine(is_idempotent=False, attempts=3)
    machine.record_call("a", Outcome.NOT_EXECUTED, NOW)
    machine.record_call("b", Outcome.RESET, NOW)
    assert machine.next_action(NOW) == FailRequest(502)


@pytest.mark.parametrize("is_idempotent", [True, False])
def test_request_that_was_not_executed_is_rejected_with_expected_wait(is_idempotent):
    machine = make_machine(is_idempotent, attempts=2)
    machine.record_call("a", Outcome.NOT_EXECUTED, NOW)
    machine.record_call("b", Outcome.NOT_EXECUTED, NOW)
    machine.record_expected_wait(0.35)
    assert machine.next_action(NOW) == RejectRequest(0.35)


def test_attempts_are_bounded():
    machine = make_machine(attempts=3)
    for number in range(3):
        assert isinstance(machine.next_action(NOW), SendToReceiver)
        machine.record_call(f"r{number}", Outcome.NOT_EXECUTED, NOW)
    assert isinstance(machine.next_action(NOW), RejectRequest)
    assert machine.attempts == 3


def test_failed_connects_are_not_attempts_but_are_bounded():
    machine = make_machine(attempts=1)
    for _ in range(CONNECTS_PER_ATTEMPT):
        assert isinstance(machine.next_action(NOW), SendToReceiver)
        machine.record_call("a", Outcome.NOT_SENT, NOW)
    assert machine.attempts == 0
    assert isinstance(machine.next_action(NOW), RejectRequest)


def test_last_signed_error_is_forwarded_when_no_retry_is_left():
    machine = make_machine(attempts=2)
    machine.record_call("a", Outcome.ERROR, NOW, is_forwardable=True)
    machine.record_call("b", Outcome.RESET, NOW + 0.3)
    assert machine.next_action(NOW + 0.3) == ForwardResponse()


def test_signed_error_of_non_idempotent_request_is_forwarded_at_once():
    machine = make_machine(is_idempotent=False)
    machine.record_call("a", Outcome.ERROR, NOW, is_forwardable=True)
    assert machine.next_action(NOW) == ForwardResponse()


def test_retry_beyond_deadline_is_not_made():
    machine = make_machine(deadline=NOW + 0.03)
    machine.record_call("a", Outcome.RESET, NOW)
    assert machine.next_action(NOW) == FailRequest(502)


def test_request_near_deadline_gets_503_unsent():
    assert isinstance(make_machine(deadline=NOW + 0.1 * LATENCY_TARGET_S).next_action(NOW), RejectRequest)


def test_backoff_doubles():
    machine = make_machine(attempts=4)
    backoffs_s = []
    now = NOW
    for number in range(3):
        machine.record_call(f"r{number}", Outcome.RESET, now)
        action = machine.next_action(now)
        backoffs_s.append(action.time - now)
        now = action.time
    for number, wait in enumerate(backoffs_s):
        base = OTHER_RECEIVER_BACKOFF_S * 2**number
        assert base * (1 - BACKOFF_JITTER) <= wait <= base * (1 + BACKOFF_JITTER)


def test_no_slot_rejects_request_only_if_it_was_not_executed():
    rejected = make_machine()
    rejected.record_no_slot(0.07)
    assert rejected.next_action(NOW) == RejectRequest(0.07)
    unknown = make_machine()
    unknown.record_call("a", Outcome.RESET, NOW)
    unknown.record_no_slot(0.07)
    assert unknown.next_action(NOW + 1) == FailRequest(502)
