"""Regression tests for single behaviors of the dispatcher."""

import random

import pytest
from core.dispatcher_driver import DispatcherDriver

from dewpin.core.dispatcher import Dispatcher
from dewpin.core.model import Decision, Destination, Outcome, PriorAttempts, Receiver, ReceiverState
from driver import settings


def test_unsafe_message_that_timed_out_bounces():
    driver = DispatcherDriver(settings(effects=("unsafe",)))
    message = driver.submit()
    assert driver.receiver_of(message)
    assert driver.end_attempt(message, Outcome.TIMED_OUT, 3000.0) == Decision.BOUNCED


def test_retries_follow_exponential_backoff_with_jitter():
    driver = DispatcherDriver(settings(effects=("unsafe",)))
    message, pauses = driver.submit(), []
    for _ in range(4):
        assert driver.receiver_of(message)
        assert driver.end_attempt(message, Outcome.CONNECT_FAILED, 5.0) == Decision.NOT_YET
        before = driver.now
        driver.advance_until(lambda: driver.receiver_of(message), 20000.0)
        pauses.append(driver.now - before)
    assert 100.0 < pauses[0] < 400.0 and pauses[3] > 2.0 * pauses[0]
    assert len({round(p / 2**n, 3) for n, p in enumerate(pauses)}) == 4


def test_retry_after_delays_the_whole_destination_and_calls_do_not_all_resume_at_once():
    driver = DispatcherDriver(settings(call_slots=20), receivers=2)
    driver.keep_traffic(4000.0, every_ms=200.0, duration_ms=50.0)
    first = driver.submit()
    driver.end_attempt(first, Outcome.REJECTED, 5.0, retry_after_ms=800.0)
    driver.end_attempt(next(iter(driver.in_flight)), Outcome.DELIVERED, 50.0, advances=False)
    others = [driver.submit() for _ in range(6)]
    driver.advance(795.0)
    assert not driver.in_flight
    driver.advance(205.0)
    assert driver.in_flight and sum(driver.receiver_of(m) is None for m in others)


def test_keyed_message_bounces_after_its_retry_window():
    driver = DispatcherDriver(settings(effects=("keyed",), retry_window_ms=3000.0))
    message = driver.submit()
    assert driver.end_attempt(message, Outcome.TIMED_OUT, 3500.0) == Decision.BOUNCED


def test_keyed_message_is_not_retried_in_an_unknown_zone():
    driver = DispatcherDriver(settings(effects=("keyed",), key_scope="zone"), receivers=2)
    for receiver in driver.destination.receivers:
        receiver.zone = -1
    message = driver.submit()
    first = driver.receiver_of(message)
    driver.end_attempt(message, Outcome.RESET, 100.0)
    driver.advance(2000.0)
    # only that receiver is known to have the idempotency key
    assert driver.receiver_of(message) is first


def test_keyed_message_is_retried_in_its_zone_only():
    driver = DispatcherDriver(settings(effects=("keyed",), key_scope="zone"), receivers=2, zones=2)
    message = driver.submit()
    first = driver.receiver_of(message)
    driver.end_attempt(message, Outcome.RESET, 10.0)
    first.state = ReceiverState.GONE
    driver.advance(20000.0)
    assert not driver.receiver_of(message) and driver.decisions[message] == Decision.BOUNCED


def test_unsent_message_is_deferred_with_retry_after_near_the_end_of_its_lifetime():
    driver = DispatcherDriver(settings())
    driver.destination.receivers[0].state = ReceiverState.DRAINING
    message = driver.submit(time_left_ms=2000.0)
    driver.advance(2000.0)
    assert driver.decisions[message] == Decision.DEFERRED and driver.retry_after_ms[message] > 0
    assert driver.ended_at[message] < message.expires_at


def test_draining_receiver_gets_no_messages_and_the_other_receiver_gets_them():
    driver = DispatcherDriver(settings(), receivers=2)
    driver.destination.receivers[0].state = ReceiverState.DRAINING
    assert driver.receiver_of(driver.submit()) is driver.destination.receivers[1]


def test_ordering_key_pauses_after_a_timeout_even_if_no_message_waits_yet():
    driver = DispatcherDriver(settings(effects=("unsafe",), by_arrival=True))
    first = driver.submit(ordering_key=9)
    driver.end_attempt(first, Outcome.RESET, 10.0)
    second = driver.submit(ordering_key=9)
    driver.advance(95.0)
    assert not driver.receiver_of(second)
    driver.advance_until(lambda: driver.receiver_of(second), 10000.0)


@pytest.mark.parametrize("window, ending", [(600.0, Decision.BOUNCED), (5000.0, Decision.RELAYED)])
def test_ordering_key_pauses_after_a_timeout_however_its_message_ends(window, ending):
    sender_settings = settings(effects=("keyed",), by_arrival=True, retry_window_ms=window)
    sender_settings["Rules"]["TurnGap"] = 2000.0
    driver = DispatcherDriver(sender_settings)
    first, second = driver.submit(ordering_key=9), driver.submit(ordering_key=9)
    driver.end_attempt(first, Outcome.TIMED_OUT, 100.0)
    ended_at = driver.now
    if ending == Decision.RELAYED:
        driver.advance_until(lambda: driver.receiver_of(first), 1900.0)
        driver.end_attempt(first, Outcome.DELIVERED, 20.0)
    else:  # no receiver is ready before its window ends
        driver.destination.receivers[0].state = ReceiverState.DRAINING
        driver.advance_until(lambda: first in driver.decisions, 1900.0)
        driver.destination.receivers[0].state = ReceiverState.READY
    assert driver.decisions[first] == ending and driver.now < ended_at + 1900.0
    driver.advance(ended_at + 1990.0 - driver.now)
    assert not driver.receiver_of(second)
    driver.advance_until(lambda: driver.receiver_of(second), 10000.0)
    assert driver.receiver_of(second)


def test_ordering_key_pauses_after_a_restart_with_a_call_in_flight():
    driver = DispatcherDriver(settings(effects=("unsafe",), by_arrival=True))
    receiver = driver.destination.receivers[0]
    first = driver.submit(
        ordering_key=9, prior_attempts=PriorAttempts(1, driver.now - 50.0, receiver), dispatches=False
    )  # its call was in flight until just now
    second = driver.submit(ordering_key=9)
    assert driver.decisions[first] == Decision.BOUNCED
    driver.advance(95.0)
    assert not driver.receiver_of(second)
    driver.advance_until(lambda: driver.receiver_of(second), 1000.0)
    assert driver.receiver_of(second)


def test_withdrawn_message_unblocks_the_next_message_of_its_key():
    driver = DispatcherDriver(settings(effects=("unsafe",), by_arrival=True))
    driver.destination.receivers[0].state = ReceiverState.DRAINING
    first, second = driver.submit(ordering_key=9), driver.submit(ordering_key=9)
    first.is_withdrawn = True
    driver.destination.receivers[0].state = ReceiverState.READY
    driver.advance(50.0)
    assert driver.receiver_of(second)


def test_batch_takes_one_slot():
    driver = DispatcherDriver(settings(max_bundle=4, call_slots=4))
    first = [driver.submit(dispatches=False) for _ in range(6)]
    driver.dispatch_due()
    assert len(driver.in_flight) == 6 and all(driver.receiver_of(message) for message in first)
    assert driver.dispatcher.calls_in_flight == 2


def test_hung_destination_does_not_occupy_all_slots():
    driver = DispatcherDriver(settings(call_slots=6))
    for _ in range(30):
        driver.submit()
    driver.advance(1500.0)
    other = Destination(2)
    Receiver(99, other)
    assert driver.receiver_of(driver.submit(destination=other))


def test_queue_that_cannot_drain_sheds_messages():
    driver = DispatcherDriver(settings(max_open=20))
    driver.destination.receivers[0].state = ReceiverState.DRAINING
    for _ in range(19):
        driver.submit()
        driver.advance(10.0)
    assert sum(how == Decision.DEFERRED for how in driver.decisions.values()) >= 2


def test_failed_destination_gets_a_slow_start_that_rises_with_successes():
    driver = DispatcherDriver(settings(call_slots=20))
    driver.keep_traffic(6000.0, every_ms=200.0, duration_ms=50.0)
    driver.keep_traffic(8000.0, every_ms=200.0, duration_ms=2500.0, outcome=Outcome.TIMED_OUT)
    resumed, sent = driver.now, len(driver.sends)
    driver.keep_traffic(2000.0, every_ms=200.0, duration_ms=50.0)
    early = len(driver.sends) - sent
    driver.keep_traffic(12000.0, every_ms=200.0, duration_ms=50.0)
    late = sum(at > resumed + 12000.0 for at, _, _ in driver.sends)
    assert early <= 7 < 8 <= late


def test_unknown_effect_raises_key_error_with_its_setting():
    with pytest.raises(KeyError, match="Effect"):
        Dispatcher(settings(effects=("maybe",)), 1)


def count_sends_with_lost_calls(share, seed=3):
    """Counts the sends of the last five seconds while each destination loses a share of its calls."""
    driver, rng, lost = DispatcherDriver(settings(call_slots=40)), random.Random(seed), {}
    destinations = [Destination(n) for n in range(2, 10)]
    for n, destination in enumerate(destinations):
        Receiver(n, destination)
    for step in range(600):
        driver.submit(destination=rng.choice(destinations))
        driver.advance(25.0)
        for message, (_, sent_at, limit) in list(driver.in_flight.items()):
            gone = lost.setdefault((message, sent_at), step > 100 and rng.random() < share)
            if driver.now - sent_at >= (limit if gone else 60.0):
                driver.end_attempt(
                    message,
                    Outcome.TIMED_OUT if gone else Outcome.DELIVERED,
                    driver.now - sent_at,
                    advances=False,
                )
    return sum(at > driver.now - 5000.0 for at, _, _ in driver.sends)


def test_lost_calls_do_not_eject_receivers():
    assert sum(count_sends_with_lost_calls(0.5, seed) for seed in (1, 2, 3)) > 300


def test_queue_class_that_fails_at_one_receiver_is_sent_to_the_other():
    driver = DispatcherDriver(settings(effects=("safe", "safe"), call_slots=20), receivers=2)
    failing, sent = driver.destination.receivers[0], []
    for step in range(300):
        message = driver.submit(queue_class=step % 2)
        driver.advance(40.0)
        for message, (receiver, at, limit) in list(driver.in_flight.items()):
            lost = receiver is failing and message.queue_class == 0
            if driver.now - at >= (limit if lost else 30.0):
                sent.append(lost)
                driver.end_attempt(
                    message,
                    Outcome.TIMED_OUT if lost else Outcome.DELIVERED,
                    driver.now - at,
                    advances=False,
                )
    assert sum(sent) < 20 and len(sent) > 290


def test_hundreds_of_senders_do_not_resume_together_after_a_long_retry_after():
    resumed = []
    for seed in range(100):
        driver = DispatcherDriver(settings(fleet_size=300), seed=seed)
        driver.advance(20000.0)
        driver.end_attempt(driver.submit(), Outcome.REJECTED, 5.0, retry_after_ms=6000.0)
        until = driver.now + 6000.0
        driver.advance_until(lambda: driver.in_flight, 15000.0)
        resumed += [driver.now - until] if driver.in_flight else []
    assert min(resumed, default=0.0) >= 0.0 and sum(after < 2000.0 for after in resumed) < 30


def test_call_rate_decreases_under_rejections():
    driver, calls = DispatcherDriver(settings(call_slots=20)), []
    driver.keep_traffic(5000.0, every_ms=200.0, duration_ms=50.0)
    driver.keep_traffic(20000.0, every_ms=200.0, duration_ms=20.0, outcome=Outcome.REJECTED)
    calls = sum(at > driver.now - 10000.0 for at, _, _ in driver.sends)
    assert 1 <= calls < 25  # half of the traffic, and decreasing


def test_idle_connections_close_after_a_refused_connection_only():
    kept = {}
    for has_refused_connection in (False, True):
        driver = DispatcherDriver(settings(call_slots=20))
        driver.settings["Allowed"]["IdleClose"] = 10000.0
        driver.keep_traffic(3000.0, every_ms=100.0, duration_ms=50.0)
        if has_refused_connection:
            driver.end_attempt(driver.submit(), Outcome.CONNECT_FAILED, 50.0)
        for _ in range(5):
            for message in list(driver.in_flight):
                driver.end_attempt(message, Outcome.DELIVERED, 50.0, advances=False)
            driver.advance(400.0)
        kept[has_refused_connection] = not driver.dispatcher.should_close_idle(
            driver.destination.receivers[0], driver.now
        )
    assert kept == {False: True, True: False}


def test_sparse_queue_keeps_its_idle_connection_if_no_table_is_full():
    driver = DispatcherDriver(settings(call_slots=20))
    driver.settings["Allowed"]["IdleClose"] = 5000.0
    for _ in range(4):  # one message per two IdleClose periods: half of the connections are reused
        driver.advance(10000.0)
        message = driver.submit()
        message.duration_ms = 50.0
        assert driver.dispatcher.record_outcome(message, Outcome.DELIVERED, driver.now + 50.0) == (
            Decision.RELAYED,
            0.0,
            False,
        )
        del driver.in_flight[message]


def test_rate_limit_outlives_hours_without_messages():
    driver = DispatcherDriver(settings())
    driver.end_attempt(driver.submit(), Outcome.REJECTED, 5.0)
    driver.advance_until(lambda: driver.in_flight, 20000.0)
    driver.end_attempt(next(iter(driver.in_flight)), Outcome.DELIVERED, 20.0)
    driver.now += 1e9
    assert driver.receiver_of(driver.submit())
