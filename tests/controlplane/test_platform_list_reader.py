"""When the platform's list is read, and the age of the directory."""

from dewpin.cluster.receivers import DirectoryVersion, Receiver
from dewpin.controlplane.platform_list_reader import (
    CHECKS_PER_PERIOD,
    READS_PER_DRAIN_TIME,
    STALE_AFTER_PERIODS,
    UNKNOWN_AGE_S,
    PlatformListReader,
)

DRAIN_S = 4.0
PERIOD_S = DRAIN_S / READS_PER_DRAIN_TIME
RECEIVER = Receiver("1", "service", "10.1.0.1:80", "east", 8)


class Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


def create_reader(member="a"):
    clock = Clock()
    return PlatformListReader(member, DRAIN_S, clock), clock


def test_reading_is_due_before_first_reading():
    reader, _ = create_reader()
    assert reader.age_s() == UNKNOWN_AGE_S
    assert reader.is_due(True) and reader.is_due(False)


def test_assigned_reader_reads_each_period_and_others_when_stale():
    reader, clock = create_reader()
    reader.apply_listing([RECEIVER], clock())
    clock.now_s += 0.99 * PERIOD_S
    assert not reader.is_due(True)
    clock.now_s += 0.02 * PERIOD_S
    assert reader.is_due(True) and not reader.is_due(False)
    clock.now_s += (STALE_AFTER_PERIODS - 1) * PERIOD_S
    assert reader.is_due(False)


def test_list_age_counts_from_start_of_reading():
    reader, clock = create_reader()
    started_s = clock()
    clock.now_s += 0.4
    reader.apply_listing([RECEIVER], started_s)
    assert round(reader.age_s(), 6) == 0.4


def test_wait_ends_when_reading_is_due_and_checks_role_meanwhile():
    reader, clock = create_reader()
    reader.apply_listing([RECEIVER], clock())
    assert reader.wait_s(True) == PERIOD_S / CHECKS_PER_PERIOD
    clock.now_s += 0.9 * PERIOD_S
    assert round(reader.wait_s(True), 6) == round(0.1 * PERIOD_S, 6)


def test_age_of_other_process_counts_only_for_same_version():
    reader, clock = create_reader()
    reader.apply_update(DirectoryVersion(5, "b"), [RECEIVER], clock() - 2.0)
    assert reader.age_s() == 2.0
    reader.record_read_time(DirectoryVersion(5, "c"), clock() - 0.1)
    reader.record_read_time(DirectoryVersion(4, "b"), clock() - 0.1)
    reader.record_read_time(DirectoryVersion(6, "b"), clock() - 0.1)
    assert reader.age_s() == 2.0
    reader.record_read_time(DirectoryVersion(5, "b"), clock() - 0.1)
    assert round(reader.age_s(), 6) == 0.1
    reader.record_read_time(DirectoryVersion(5, "b"), clock() - 3.0)
    assert round(reader.age_s(), 6) == 0.1


def test_newer_directory_brings_its_age_even_if_read_earlier():
    reader, clock = create_reader()
    reader.apply_listing([RECEIVER], clock())
    assert reader.apply_update(DirectoryVersion(5, "b"), [RECEIVER], clock() - 1.5)
    assert reader.age_s() == 1.5
    assert not reader.apply_update(DirectoryVersion(4, "b"), [RECEIVER], clock())
    assert reader.age_s() == 1.5
