"""The retry stage: what follows each outcome, for requests that may be repeated and those that may not."""

import random

import pytest

from dewpin.dataplane.routing.retry import (
    CONNECTS_PER_ATTEMPT,
    OTHER_RECEIVER_PAUSE_S,
    PAUSE_JITTER,
    REPEAT_PAUSE_S,
    EndUnknown,
    PassOn,
    Pause,
    Refuse,
    RetryPolicy,
    RetryStage,
    Send,
)
from dewpin.dataplane.upstream.outcome import Outcome

NOW = 100.0
DEADLINE = 104.0
AIM_S = 0.2
UNKNOWN = [Outcome.ERROR, Outcome.RESET, Outcome.CLOSED, Outcome.MALFORMED]
PROOFS = [Outcome.NOT_EXECUTED, Outcome.NEVER_SENT]
FINAL = [Outcome.TIMED_OUT, Outcome.CLIENT_GONE]


def stage(repeatable=True, attempts=2, deadline=DEADLINE):
    return RetryStage(RetryPolicy(repeatable, attempts, AIM_S), deadline, random.Random(1))


def test_the_first_step_is_to_send_to_any_receiver():
    assert stage().next_step(NOW) == Send({}, False)


@pytest.mark.parametrize("repeatable", [True, False])
def test_a_success_is_passed_on(repeatable):
    course = stage(repeatable)
    course.record_call("a", Outcome.SUCCESS, NOW, may_pass_on=True)
    assert course.next_step(NOW) == PassOn()


@pytest.mark.parametrize("repeatable", [True, False])
@pytest.mark.parametrize("outcome", PROOFS)
def test_a_proof_of_no_effect_leads_to_another_receiver_at_once(repeatable, outcome):
    course = stage(repeatable)
    course.record_call("a", outcome, NOW)
    step = course.next_step(NOW)
    assert isinstance(step, Send)
    assert not step.effect_unknown
    assert REPEAT_PAUSE_S * (1 - PAUSE_JITTER) <= step.avoid["a"] - NOW <= REPEAT_PAUSE_S * (1 + PAUSE_JITTER)


@pytest.mark.parametrize("outcome", UNKNOWN)
def test_an_unknown_effect_is_repeated_after_a_pause_where_it_may_be(outcome):
    course = stage(repeatable=True)
    course.record_call("a", outcome, NOW)
    pause = course.next_step(NOW)
    assert isinstance(pause, Pause)
    assert OTHER_RECEIVER_PAUSE_S * (1 - PAUSE_JITTER) <= pause.until - NOW
    assert pause.until - NOW <= OTHER_RECEIVER_PAUSE_S * (1 + PAUSE_JITTER)
    step = course.next_step(pause.until)
    assert isinstance(step, Send)
    assert step.effect_unknown


@pytest.mark.parametrize("outcome", UNKNOWN)
def test_an_unknown_effect_ends_what_may_not_be_repeated(outcome):
    course = stage(repeatable=False)
    course.record_call("a", outcome, NOW)
    assert course.next_step(NOW) == EndUnknown(502)
    assert course.next_step(DEADLINE) == EndUnknown(504)


@pytest.mark.parametrize("repeatable", [True, False])
@pytest.mark.parametrize("outcome", FINAL)
def test_the_end_of_the_time_and_a_lost_client_are_never_repeated(repeatable, outcome):
    course = stage(repeatable)
    course.record_call("a", outcome, DEADLINE)
    assert course.next_step(DEADLINE) == EndUnknown(504)


def test_a_proof_after_an_unknown_effect_does_not_refuse():
    course = stage(repeatable=True)
    course.record_call("a", Outcome.RESET, NOW)
    course.record_call("b", Outcome.NOT_EXECUTED, NOW + 0.3)
    assert course.next_step(NOW + 0.3) == EndUnknown(502)


def test_an_unknown_effect_after_a_proof_ends_what_may_not_be_repeated():
    course = stage(repeatable=False, attempts=3)
    course.record_call("a", Outcome.NOT_EXECUTED, NOW)
    course.record_call("b", Outcome.RESET, NOW)
    assert course.next_step(NOW) == EndUnknown(502)


@pytest.mark.parametrize("repeatable", [True, False])
def test_a_request_that_surely_ran_nowhere_is_refused_with_the_wait_expected(repeatable):
    course = stage(repeatable, attempts=2)
    course.record_call("a", Outcome.NOT_EXECUTED, NOW)
    course.record_call("b", Outcome.NOT_EXECUTED, NOW)
    course.expect_wait(0.35)
    assert course.next_step(NOW) == Refuse(0.35)


def test_attempts_stay_within_the_bound():
    course = stage(attempts=3)
    for number in range(3):
        assert isinstance(course.next_step(NOW), Send)
        course.record_call(f"r{number}", Outcome.NOT_EXECUTED, NOW)
    assert isinstance(course.next_step(NOW), Refuse)
    assert course.attempts == 3


def test_connects_that_failed_are_no_attempts_but_bounded():
    course = stage(attempts=1)
    for _ in range(CONNECTS_PER_ATTEMPT):
        assert isinstance(course.next_step(NOW), Send)
        course.record_call("a", Outcome.NEVER_SENT, NOW)
    assert course.attempts == 0
    assert isinstance(course.next_step(NOW), Refuse)


def test_the_last_signed_error_is_passed_on_when_no_repeat_is_left():
    course = stage(attempts=2)
    course.record_call("a", Outcome.ERROR, NOW, may_pass_on=True)
    course.record_call("b", Outcome.RESET, NOW + 0.3)
    assert course.next_step(NOW + 0.3) == PassOn()


def test_a_signed_error_of_what_may_not_be_repeated_is_passed_on_at_once():
    course = stage(repeatable=False)
    course.record_call("a", Outcome.ERROR, NOW, may_pass_on=True)
    assert course.next_step(NOW) == PassOn()


def test_a_repeat_that_would_outlast_the_time_is_not_made():
    course = stage(deadline=NOW + 0.03)
    course.record_call("a", Outcome.RESET, NOW)
    assert course.next_step(NOW) == EndUnknown(502)


def test_a_request_near_its_deadline_is_refused_unsent():
    assert isinstance(stage(deadline=NOW + 0.1 * AIM_S).next_step(NOW), Refuse)


def test_pauses_double():
    course = stage(attempts=4)
    pauses = []
    now = NOW
    for number in range(3):
        course.record_call(f"r{number}", Outcome.RESET, now)
        step = course.next_step(now)
        pauses.append(step.until - now)
        now = step.until
    for number, pause in enumerate(pauses):
        base = OTHER_RECEIVER_PAUSE_S * 2**number
        assert base * (1 - PAUSE_JITTER) <= pause <= base * (1 + PAUSE_JITTER)


def test_no_place_refuses_what_has_not_run_and_ends_what_may_have():
    refused = stage()
    refused.record_no_place(0.07)
    assert refused.next_step(NOW) == Refuse(0.07)
    unknown = stage()
    unknown.record_call("a", Outcome.RESET, NOW)
    unknown.record_no_place(0.07)
    assert unknown.next_step(NOW + 1) == EndUnknown(502)
