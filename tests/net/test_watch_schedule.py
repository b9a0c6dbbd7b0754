"""The pauses before requests for the endpoint list: short enough for each sender, and spread over a fleet."""

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
def test_response_after_any_failed_request_arrives_within_the_maximum_staleness(fleet_size, drain_grace_ms):
    for is_list_pushed in (True, False):
        for seed in range(20):
            schedule = WatchSchedule(fleet_size, drain_grace_ms, seed, is_list_pushed)
            first = schedule.first_pause_seconds(True), schedule.first_pause_seconds(False)
            assert not is_list_pushed or first == (0.0, 0.0)  # the agent's list is assumed to be known at once
            retry = [schedule.retry_pause_seconds() for _ in range(20)]
            rejected = [schedule.rejected_pause_seconds() for _ in range(20)]
            assert max(retry) <= MAX_RETRY_PAUSE_SECONDS
            assert max(rejected) <= MAX_REJECTED_PAUSE_SECONDS and max(first) <= MAX_REJECTED_PAUSE_SECONDS
            # from a watch without a response to the next request
            unanswered_watch = WATCH_SECONDS + RESPONSE_TIMEOUT_SECONDS + max(retry)
            another_failure = RESPONSE_TIMEOUT_SECONDS + max(retry)  # if that request has no response either
            for pause in (unanswered_watch, max(rejected), max(first)):
                assert pause + another_failure < MAX_STALENESS_SECONDS


@pytest.mark.parametrize("fleet_size, min_spread", [(40, 2.5), (300, 2.5), (2, 0.0)])
def test_requests_of_a_fleet_are_spread(fleet_size, min_spread):
    schedules = [WatchSchedule(fleet_size, 2000.0, seed, is_list_pushed=False) for seed in range(fleet_size)]
    for is_first_process, max_pause in ((True, 3.0), (False, 0.9)):
        pauses = sorted(schedule.first_pause_seconds(is_first_process) for schedule in schedules)
        assert pauses[-1] <= min(max_pause, 0.1 * fleet_size)
        assert pauses[-1] - pauses[0] >= (min_spread if is_first_process else min_spread / 4.0)
        max_concurrent = max(sum(start <= pause < start + 0.1 for pause in pauses) for start in pauses)
        assert max_concurrent <= 3 + 3 * fleet_size * 0.1 / max_pause
    rejected = [[schedule.rejected_pause_seconds() for _ in range(12)] for schedule in schedules]
    assert all(max(pauses) <= 3.0 for pauses in rejected) and len({pauses[0] for pauses in rejected}) == fleet_size
    last_pauses = [pauses[-1] for pauses in rejected]
    # requests per second after many rejections: within the one request per sender in 2 s that discovery accepts
    assert sum(1.0 / pause for pause in last_pauses) < max(2.0, fleet_size / 2.0)
    schedules[0].reset_backoff()
    assert schedules[0].rejected_pause_seconds() <= min(3.0, 0.1 * fleet_size)
