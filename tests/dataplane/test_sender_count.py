"""The estimated number of live senders, from the counts of several control servers."""

from dewpin.dataplane.membership.sender_count import SETTLING_SHARE, SenderCount

DURATION_S = 3.0


def test_first_counts_are_not_used():
    count = SenderCount()
    assert count.update(1, DURATION_S, 10.0) == 0
    assert count.update(3, DURATION_S, 10.0 + SETTLING_SHARE * DURATION_S) == 3


def test_greatest_count_within_a_lease_duration_is_used():
    count = SenderCount()
    count.update(4, DURATION_S, 0.0)
    assert count.update(8, DURATION_S, 2.0) == 8
    assert count.update(1, DURATION_S, 4.9) == 8
    assert count.update(1, DURATION_S, 5.0) == 1
