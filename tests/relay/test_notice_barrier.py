"""Attempts of an ordering key wait until the notices of the key's earlier messages are acknowledged."""

import pytest

from dewpin.core.model import Destination, Receiver
from dewpin.relay.notice_barrier import NoticeBarrier, PostponedAttempt
from dewpin.spool.records import MessageRecord


class Timer:
    """A stub for a timer of the event loop."""

    def __init__(self):
        self.is_cancelled = False

    def cancel(self):
        self.is_cancelled = True


@pytest.fixture
def barrier():
    return NoticeBarrier()


def attempt(message_id, ordering_key=b"k"):
    record = MessageRecord(message_id, b"notice", b"", ordering_key, b"7", b"", b"", 0.0, 1000.0)
    return PostponedAttempt(record, Receiver(b"r", Destination(7)), 500.0, Timer())


def test_key_is_blocked_until_its_last_notice_is_acknowledged(barrier):
    barrier.add_notice(b"k")
    barrier.add_notice(b"k")
    assert barrier.blocks(b"k") and not barrier.blocks(b"other")
    assert barrier.acknowledge_notice(b"k") == [] and barrier.blocks(b"k")
    assert barrier.acknowledge_notice(b"k") == [] and not barrier.blocks(b"k")


def test_message_without_key_blocks_nothing(barrier):
    barrier.add_notice(b"")
    assert not barrier.blocks(b"")
    assert barrier.acknowledge_notice(b"") == []


def test_acknowledgement_releases_the_attempts_of_its_key_in_order(barrier):
    first, second, other = attempt(b"m1"), attempt(b"m2"), attempt(b"m3", b"other")
    for key in (b"k", b"other"):
        barrier.add_notice(key)
    for one in (first, second, other):
        barrier.postpone(one)
    assert barrier.acknowledge_notice(b"k") == [first, second]
    assert first.timer.is_cancelled and second.timer.is_cancelled and not other.timer.is_cancelled
    assert barrier.postponed_count() == 1


def test_dropped_attempt_is_not_released(barrier):
    first, second = attempt(b"m1"), attempt(b"m2")
    barrier.add_notice(b"k")
    barrier.postpone(first)
    barrier.postpone(second)
    barrier.drop(first.record)
    assert barrier.acknowledge_notice(b"k") == [second]


def test_drop_all_cancels_every_timer_and_counts_them(barrier):
    attempts = [attempt(b"m1"), attempt(b"m2"), attempt(b"m3", b"other")]
    for one in attempts:
        barrier.add_notice(one.record.ordering_key)
        barrier.postpone(one)
    assert barrier.drop_all() == 3 and barrier.postponed_count() == 0
    assert all(one.timer.is_cancelled for one in attempts)
