"""Learned state of a dispatcher: prior attempts, crashes and full connection tables, rate limits, time-outs, cost."""

import sys

import pytest
from core.dispatcher_driver import DispatcherDriver

from dewpin.core.model import Decision, Destination, Outcome, PriorAttempts, Receiver
from dewpin.core.receiver_health import is_probing
from driver import settings


@pytest.mark.parametrize(
    "effect, attempts, ending",
    [
        ("unsafe", 1, Decision.BOUNCED),
        ("keyed", 1, None),
        ("safe", 1, None),
        ("safe", 6, Decision.DEFERRED),
    ],
)
def test_attempts_of_an_earlier_process_are_counted(effect, attempts, ending):
    """A call was in flight when the sender was killed; it is retried only if that is safe and attempts are left."""
    driver = DispatcherDriver(settings(effects=(effect,)))
    message = driver.submit(prior_attempts=PriorAttempts(attempts, driver.now - 700.0, driver.destination.receivers[0]))
    assert driver.decisions.get(message) == ending and (driver.receiver_of(message) is None) == (ending is not None)


def refuse_and_deliver(driver, times, refused):
    """Delivers `times` messages, each `refused`-th after a refused connection; returns whether the last success closes
    idle connections."""
    for at in range(times):
        message = driver.submit()
        driver.advance_until(lambda message=message: driver.receiver_of(message), 5000.0)
        if refused and at % refused == 0:
            driver.end_attempt(message, Outcome.CONNECT_FAILED, 2.0)
            driver.advance_until(lambda message=message: driver.receiver_of(message), 20000.0)
        closes_idle = driver.dispatcher.record_outcome(message, Outcome.DELIVERED, driver.now).should_close_idle
        del driver.in_flight[message]
        driver.decisions[message] = Decision.RELAYED
        driver.advance(100.0)
    return closes_idle


@pytest.mark.parametrize("down, full", [(300.0, True), (6000.0, False)])
def test_idle_connections_close_after_a_full_table_but_not_after_a_crash(down, full):
    """A receiver that refuses a connection and soon responds again has a full table; a crash lasts longer."""
    sender_settings = settings(effects=("safe",))
    sender_settings["Allowed"]["IdleClose"] = 15000.0
    driver = DispatcherDriver(sender_settings)
    driver.keep_traffic(3000.0, every_ms=200.0, duration_ms=50.0)
    for message in list(driver.in_flight):
        driver.end_attempt(message, Outcome.DELIVERED, 50.0)
    back, message = driver.now + down, driver.submit()
    while driver.now < back:
        if driver.receiver_of(message):
            driver.end_attempt(message, Outcome.CONNECT_FAILED, 2.0)
        driver.advance_until(lambda: driver.receiver_of(message), back - driver.now)
    driver.advance_until(lambda: driver.receiver_of(message), 20000.0)
    message.duration_ms = 50.0
    result = driver.dispatcher.record_outcome(message, Outcome.DELIVERED, driver.now + 50.0)
    assert result.decision == Decision.RELAYED and result.should_close_idle is full


@pytest.mark.parametrize("refused, idle, trials", [(0, 60000.0, True), (2, 60000.0, False), (0, 0.0, False)])
def test_two_consecutive_refused_connections_eject_receivers_of_a_sparse_queue_unless_tables_are_full(
    refused, idle, trials
):
    """Applies to sparse queues only, and not if every second call to the kind of receiver finds a full table."""
    driver = DispatcherDriver(settings(fleet_size=200), receivers=2)
    refuse_and_deliver(driver, 20, refused)
    driver.advance(idle)
    message = driver.submit()
    for _ in range(2):
        driver.advance_until(lambda: driver.receiver_of(message), 5000.0)
        assert driver.end_attempt(message, Outcome.CONNECT_FAILED, 2.0) == Decision.NOT_YET
    driver.advance_until(lambda: driver.receiver_of(message), 4000.0)
    assert (driver.receiver_of(message) is None) == trials
    assert all(is_probing(one) for one in driver.destination.receivers) == trials


def test_gap_after_rejected_probe_of_a_sparse_queue_is_as_long_as_after_a_success():
    gaps = []
    for seed in range(20):
        driver = DispatcherDriver(settings(fleet_size=200), seed=seed)
        message, health = driver.submit(), driver.dispatcher.health_of(driver.destination.receivers[0])
        for rejection_index in range(3):
            driver.advance_until(lambda driver=driver, message=message: driver.receiver_of(message), 5000.0)
            driver.end_attempt(message, Outcome.CONNECT_FAILED, 2.0)
            if rejection_index == 1:
                health.slow_start.next_at = driver.now  # the first probe is due
        gaps.append((health.slow_start.next_at - driver.now) * health.slow_start.initial_rate / 1000.0)
    assert 0.8 <= min(gaps) and max(gaps) <= 1.4


def test_message_delayed_by_a_rate_limit_keeps_no_connection_if_tables_are_full():
    sender_settings = settings(effects=("safe",))
    sender_settings["Allowed"]["IdleClose"] = 15000.0
    driver = DispatcherDriver(sender_settings)
    refuse_and_deliver(driver, 20, 2)
    first = driver.submit()
    driver.advance_until(lambda: driver.receiver_of(first), 20000.0)
    driver.dispatcher.limits_of(driver.receiver_of(first)).retry_after_until = driver.now + 5000.0
    first.duration_ms, second = 50.0, driver.submit()
    assert not driver.receiver_of(second)
    assert driver.dispatcher.record_outcome(first, Outcome.DELIVERED, driver.now + 50.0).should_close_idle


@pytest.mark.parametrize("marked, again, age", [(False, False, 9000.0), (True, True, 9000.0), (True, False, 0.0)])
def test_resubmission_counts_from_its_first_submission(marked, again, age):
    dispatcher = DispatcherDriver(settings() | {"Callers": {"MarksRetry": marked}}).dispatcher
    left = dispatcher.settings.classes[0].lifetime_ms - 9000.0
    assert dispatcher.first_submitted_at(0, left, again, 20000.0) == 20000.0 - age


def test_message_with_little_time_left_is_sent_before_earlier_ones():
    driver = DispatcherDriver(settings(call_slots=1))
    first = driver.submit()
    others = [driver.submit() for _ in range(4)]
    urgent = driver.submit(time_left_ms=900.0)
    driver.end_attempt(first, Outcome.DELIVERED, 100.0)
    assert driver.receiver_of(urgent) and not any(driver.receiver_of(message) for message in others)


def test_rate_limit_grows_more_slowly_after_growth_reached_the_limit():
    def grows(good_answers=1, grown=0.9, retry_after_ms=0.0, every=1000.0):
        """Returns the ratio of the third limit's growth time to the first one's, after three rejections."""
        driver = DispatcherDriver(settings(call_slots=20))
        driver.keep_traffic(20000.0, every, 20.0)
        receiver, growth_times_ms = driver.destination.receivers[0], []
        for _ in range(3):
            limits = driver.dispatcher.limits_of(receiver)
            limits.retry_after_until = driver.now + retry_after_ms
            driver.dispatcher.rates.reduce_rate(receiver, limits, driver.now)
            growth_times_ms.append(limits.rate_limiter.growth_ms)
            limits.rate_limiter.growing_since, limits.rate_limiter.good_answers = driver.now, good_answers
            driver.now += grown * growth_times_ms[-1]
        return growth_times_ms[2] / growth_times_ms[0]

    assert grows() == 4.0
    assert grows(good_answers=4) == 1.0  # enough successes: growth did not reach the limit
    assert grows(grown=0.1) == 1.0  # rejections at almost the same time
    assert grows(every=100.0) == 1.0  # a busy queue notices the limit in time
    assert grows(retry_after_ms=100.0) == 1.0  # a requested wait tells when calls are accepted again


def test_receiver_specific_rejections_divert_messages_and_set_no_rate_limit():
    driver = DispatcherDriver(settings(), receivers=2)
    failing = driver.destination.receivers[0]
    for _ in range(40):  # one drains before the list says so and rejects calls; the other is healthy
        driver.submit()
        for message, (receiver, _, _) in list(driver.in_flight.items()):
            if receiver is failing:
                driver.end_attempt(message, Outcome.REJECTED, 2.0)
            else:
                driver.end_attempt(message, Outcome.DELIVERED, 50.0)
        driver.advance(100.0)
    refused = sum(receiver is failing for _, _, receiver in driver.sends)
    assert refused < 8 and driver.dispatcher.limits_of(failing).rate_limiter is None
    assert list(driver.decisions.values()).count(Decision.RELAYED) > 35


def test_rejection_of_one_of_two_receivers_sets_the_rate_limit_of_their_destination():
    driver = DispatcherDriver(settings(), receivers=2)
    driver.keep_traffic(3000.0, 100.0, 20.0)
    for _ in range(1):  # with sparse traffic over a fleet, a sender may observe only one rejection
        message = driver.submit()
        driver.advance_until(lambda: driver.receiver_of(message), 1000.0)
        driver.end_attempt(message, Outcome.REJECTED, 2.0)
    assert driver.dispatcher.limits_of(driver.destination.receivers[0]).rate_limiter


def test_learned_timeout_follows_average_call_time_and_doubles_only_without_successes():
    driver = DispatcherDriver(settings())
    driver.keep_traffic(4000.0, 100.0, 100.0)
    timed_out = driver.submit()
    assert driver.in_flight[timed_out][2] <= 750.0  # six average call times, but at least the minimum time-out
    for _ in range(4):  # other calls succeed in the meantime
        driver.end_attempt(driver.submit(), Outcome.DELIVERED, 100.0)
    driver.end_attempt(timed_out, Outcome.TIMED_OUT, 700.0)
    assert driver.in_flight[driver.submit()][2] <= 750.0

    def doubled():
        return [limit for _, _, limit in driver.in_flight.values() if limit > 1300.0]

    for _ in range(4):  # no call succeeds: the destination may be slow
        for message, (_, _, limit) in list(driver.in_flight.items()):
            driver.end_attempt(message, Outcome.TIMED_OUT, limit)
        driver.advance_until(lambda: doubled(), 1000.0)
    assert doubled()


def test_timeout_of_a_destination_without_answers_is_at_least_the_latency_target():
    driver = DispatcherDriver(settings())
    driver.keep_traffic(4000.0, 100.0, 100.0)
    other = Destination(2)
    Receiver(50, other)
    assert driver.in_flight[driver.submit(destination=other)][2] >= driver.settings["Services"][0]["GoalTime"]


def test_cost_of_next_due_does_not_grow_with_destinations_without_messages():
    def calls(idle):
        driver, entered = DispatcherDriver(settings(max_open=5000)), []
        for ident in range(idle):
            other = Destination(ident + 2)
            Receiver(ident + 2, other)
            driver.end_attempt(driver.submit(destination=other), Outcome.DELIVERED, 1.0)
        driver.dispatcher.sender.calls_in_flight = driver.settings["FamilyInfo"][
            "CallSlots"
        ]  # no free slot: the message waits
        driver.submit(dispatches=False)
        sys.setprofile(lambda frame, event, _: entered.append(event))
        try:
            driver.dispatcher.next_due(driver.now)
        finally:
            sys.setprofile(None)
        return len(entered)

    assert calls(300) == calls(3)
