"""Outlier ejection: which calls eject a receiver, for how long, and how it comes back."""

import random

import pytest
from dataplane.peers import HOST, SERVICE, configuration

from dewpin.cluster.receivers import Receiver
from dewpin.dataplane.load_balancing.outlier_ejection import (
    INITIAL_EJECTION_S,
    MAX_EJECTION_S,
    CallFailure,
    OutlierEjection,
    ReceiverFault,
)
from dewpin.dataplane.load_balancing.slot_allocation import SlotAllocator, SlotRequest

PATIENCE_S = 0.25
LIMIT_EXCEEDED, MALFORMED, UNANSWERED = ReceiverFault


@pytest.fixture
def ejection():
    return OutlierEjection()


def record(ejection, fault, sent_at, now):
    """Record a fault without jitter; return whether it ejects the receiver."""
    return ejection.record_fault(fault, CallFailure(sent_at, now, PATIENCE_S), 1.0)


def test_exceeded_limit_ejects_at_once(ejection):
    assert record(ejection, LIMIT_EXCEEDED, 1.0, 1.1)
    assert ejection.is_ejected(1.1)
    assert not ejection.is_ejected(1.1 + INITIAL_EJECTION_S)


def test_second_malformed_response_in_a_row_ejects(ejection):
    assert not record(ejection, MALFORMED, 1.0, 1.0)
    assert record(ejection, MALFORMED, 1.0, 1.0)


def test_success_between_malformed_responses_prevents_ejection(ejection):
    record(ejection, MALFORMED, 1.0, 1.0)
    ejection.record_success(1.5)
    assert not record(ejection, MALFORMED, 2.0, 2.0)


def test_unanswered_call_ejects(ejection):
    assert record(ejection, UNANSWERED, 1.0, 5.0)


def test_unanswered_call_does_not_eject_if_another_call_has_succeeded_meanwhile(ejection):
    ejection.record_success(3.0)
    assert not record(ejection, UNANSWERED, 1.0, 5.0)


def test_unanswered_call_does_not_eject_if_it_was_short(ejection):
    assert not record(ejection, UNANSWERED, 1.0, 1.0 + PATIENCE_S)


def test_calls_sent_before_the_ejection_do_not_prolong_it(ejection):
    record(ejection, LIMIT_EXCEEDED, 1.0, 2.0)
    until = ejection.ejected_until
    assert not record(ejection, LIMIT_EXCEEDED, 1.5, 2.5)
    assert ejection.ejected_until == until


def test_ejection_grows_up_to_a_limit_and_starts_anew_after_a_success(ejection):
    now, durations = 0.0, []
    for _ in range(6):
        now = max(now, ejection.ejected_until)
        record(ejection, LIMIT_EXCEEDED, now, now)
        durations.append(ejection.ejected_until - now)
    assert durations == [1.0, 2.0, 4.0, MAX_EJECTION_S, MAX_EJECTION_S, MAX_EJECTION_S]
    ejection.record_success(now)
    assert not ejection.is_ejected(now)
    record(ejection, LIMIT_EXCEEDED, now, now)
    assert ejection.ejected_until - now == INITIAL_EJECTION_S


def receiver(number, zone="here"):
    return Receiver(f"i-{number}", SERVICE, f"127.0.0.1:{number}", zone, 8)


class Allocator:
    """A slot allocator with receivers in this zone and in another one."""

    def __init__(self, *receivers):
        self.slots = SlotAllocator("here", random.Random(5))
        self.receivers = receivers
        self.slots.update_receivers(SERVICE, receivers)
        self._service = configuration().services[SERVICE]

    def acquire(self, now):
        request = SlotRequest(self._service, HOST, 0, 1.0, now)
        chosen = self.slots.acquire(request, now)
        return None if chosen is None else chosen.id

    def serve(self, now):
        """Acquire a slot and release it at once; return the id of the receiver."""
        chosen = self.acquire(now)
        self.slots.release(chosen)
        return chosen

    def eject(self, receiver_id, now):
        record(self.slots.load_of(receiver_id).ejection, LIMIT_EXCEEDED, now, now)


def test_requests_in_turn_go_to_the_sound_receiver_of_another_zone():
    allocator = Allocator(receiver(1), receiver(2, "there"))
    assert allocator.serve(0.0) == "i-1"
    allocator.eject("i-1", 0.0)
    assert {allocator.serve(0.001 * number) for number in range(20)} == {"i-2"}


def test_ejected_receiver_gets_one_probe_at_a_time():
    allocator = Allocator(receiver(1), receiver(2, "there"))
    allocator.eject("i-1", 0.0)
    after = INITIAL_EJECTION_S
    assert [allocator.serve(after + 0.001 * number) for number in range(20)] == ["i-1"] + ["i-2"] * 19


def test_success_of_a_probe_ends_the_ejection():
    allocator = Allocator(receiver(1), receiver(2, "there"))
    allocator.eject("i-1", 0.0)
    assert allocator.serve(INITIAL_EJECTION_S) == "i-1"
    allocator.slots.load_of("i-1").record_success(0.01, INITIAL_EJECTION_S + 0.01)
    assert allocator.serve(INITIAL_EJECTION_S + 0.02) == "i-1"


def test_ejection_never_leaves_less_than_half_of_the_receivers():
    allocator = Allocator(receiver(1), receiver(2), receiver(3))
    allocator.eject("i-1", 0.0)
    assert {allocator.serve(0.1) for _ in range(50)} == {"i-2", "i-3"}
    allocator.eject("i-2", 0.0)
    assert {allocator.serve(0.1) for _ in range(50)} == {"i-1", "i-2", "i-3"}


def test_only_receiver_is_never_ejected():
    allocator = Allocator(receiver(1))
    allocator.eject("i-1", 0.0)
    assert allocator.serve(0.1) == "i-1"


def test_draining_receivers_do_not_count_as_available():
    draining = Receiver("i-3", SERVICE, "127.0.0.1:3", "here", 8, draining=True)
    allocator = Allocator(receiver(1), draining)
    allocator.eject("i-1", 0.0)
    assert allocator.serve(0.1) == "i-1"
