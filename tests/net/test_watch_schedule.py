"""The pauses before requests for the endpoint list: short enough for each sender, spread over a fleet."""

import pytest

from dewpin.net.watch_schedule import (
    MAX_REJECTED_PAUSE_SECONDS,
    MAX_RETRY_PAUSE_SECONDS,
    MAX_STALENESS_SECONDS,
    RESPONSE_TIMEOUT_SECONDS,
    WATCH_SECONDS,
    WatchSchedule,
)


@pytest.mark.parametrize(
    "fleet_size, drain_grace_ms", [(2, 1000.0), (3, 2000.0), (30, 2000.0), (300, 2000.0), (300, 500.0)]
)
def test_after_any_failed_request_the_next_response_comes_before_the_update_counts_as_known(fleet_size, drain_grace_ms):
    for is_list_pushed in (True, False):
        for seed in range(20):
            schedule = WatchSchedule(fleet_size, drain_grace_ms, seed, is_list_pushed)
            first = schedule.first_pause_seconds(True), schedule.first_pause_seconds(False)
            assert not is_list_pushed or first == (0.0, 0.0)  # what its agent has counts at once
            retry = [schedule.retry_pause_seconds() for _ in range(20)]
            rejected = [schedule.rejected_pause_seconds() for _ in range(20)]
            assert max(retry) <= MAX_RETRY_PAUSE_SECONDS
            assert max(rejected) <= MAX_REJECTED_PAUSE_SECONDS and max(first) <= MAX_REJECTED_PAUSE_SECONDS
            # from a watch that is never answered to the next request
            silent_watch = WATCH_SECONDS + RESPONSE_TIMEOUT_SECONDS + max(retry)
            another_failure = RESPONSE_TIMEOUT_SECONDS + max(retry)  # and if that one is not answered either
            for pause in (silent_watch, max(rejected), max(first)):
                assert pause + another_failure < MAX_STALENESS_SECONDS


@pytest.mark.parametrize("fleet_size, min_spread", [(40, 2.5), (300, 2.5), (2, 0.0)])
def test_the_requests_of_a_fleet_are_spread(fleet_size, min_spread):
    schedules = [WatchSchedule(fleet_size, 2000.0, seed, is_list_pushed=False) for seed in range(fleet_size)]
    for is_first_process, longest in ((True, 3.0), (False, 0.9)):
        pauses = sorted(schedule.first_pause_seconds(is_first_process) for schedule in schedules)
        assert pauses[-1] <= min(longest, 0.1 * fleet_size)
        assert pauses[-1] - pauses[0] >= (min_spread if is_first_process else min_spread / 4.0)
        busiest = max(sum(start <= pause < start + 0.1 for pause in pauses) for start in pauses)
        assert busiest <= 3 + 3 * fleet_size * 0.1 / longest
    rejected = [[schedule.rejected_pause_seconds() for _ in range(12)] for schedule in schedules]
    assert all(max(pauses) <= 3.0 for pauses in rejected) and len({pauses[0] for pauses in rejected}) == fleet_size
    last = [pauses[-1] for pauses in rejected]
    # requests a second of them all, rejected for long: within what discovery takes of one request from each in 2 s
    assert sum(1.0 / pause for pause in last) < max(2.0, fleet_size / 2.0)
    schedules[0].reset_backoff()
    assert schedules[0].rejected_pause_seconds() <= min(3.0, 0.1 * fleet_size)
