"""Seeded random runs with random settings, destinations and faults; the six delivery rules hold after each step."""

import random

import pytest
from core.dispatcher_driver import DispatcherDriver

from dewpin.core.model import Decision, Destination, Outcome, Receiver, ReceiverState
from driver import settings

NOT_EXECUTED = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
STILL_RUNNING = (Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED)
FAULTS = (
    Outcome.ERROR,
    Outcome.REJECTED,
    Outcome.TIMED_OUT,
    Outcome.CONNECT_FAILED,
    Outcome.RESET,
    Outcome.CANCELLED,
    Outcome.NOT_SENT,
)


STATES = (ReceiverState.READY, ReceiverState.READY, ReceiverState.DRAINING, ReceiverState.GONE)


class DeliveryRuleChecker:
    """Checks the delivery rules independently of the dispatcher, over all decisions of one run.

    executed: maps messages to (receiver, send time) of the first attempt that may have been executed.
    attempts: number of attempts per message.
    pending_by_key: messages of each ordering key, in order of arrival.
    gap_until, retry_after_until: until when an ordering key, or a destination or receiver, gets no calls.
    restarted_at: time of the latest restart of the sender; no deadline is earlier.
    """

    def __init__(self, driver, has_own_limits):
        self.driver, self.has_own_limits = driver, has_own_limits
        self.classes, self.rules = driver.settings["Services"], driver.settings["Rules"]
        self.executed, self.attempts, self.pending_by_key = {}, {}, {}
        self.gap_until, self.retry_after_until = {}, {}
        self.restarted_at = 0.0
        driver.on_decision = self.check

    def owner(self, receiver):
        return receiver if self.has_own_limits else receiver.destination

    def record_submission(self, message):
        if message.ordering_key and self.classes[message.queue_class]["ByArrival"]:
            self.pending_by_key.setdefault(message.ordering_key, []).append(message)

    def check(self, decision, message):
        if isinstance(decision, Receiver):
            self.check_attempt(message, decision)
        elif decision != Decision.NOT_YET:
            self.check_end(message, decision)

    def check_attempt(self, message, receiver):
        now = self.driver.now
        assert receiver.destination is message.destination and receiver.state == ReceiverState.READY
        assert now >= self.retry_after_until.get(self.owner(receiver), 0.0), "sent before the end of a requested wait"
        assert now <= message.expires_at and 0.0 < self.driver.in_flight[message][2] <= message.expires_at - now
        self.attempts[message] = self.attempts.get(message, 0) + 1
        assert self.attempts[message] <= self.driver.settings["Allowed"]["MaxAttempts"]
        calls = {(receiver, sent_at) for receiver, sent_at, _ in self.driver.in_flight.values()}
        assert len(calls) <= self.driver.settings["FamilyInfo"]["CallSlots"]
        if message in self.executed:
            self.check_retry(message, receiver)
        key = message.ordering_key
        if message in self.pending_by_key.get(key, ()):
            assert self.pending_by_key[key][0] is message, "sent before an earlier message of its ordering key"
            is_after_gap = now >= self.gap_until.get(key, 0.0) or self.attempts[message] > 1
            assert is_after_gap, "sent before the gap of its ordering key ended"

    def check_retry(self, message, receiver):
        """Checks a retry of a message that may have been executed."""
        queue_class = self.classes[message.queue_class]
        first_receiver, sent_at = self.executed[message]
        assert queue_class["Effect"] != "unsafe", "an unsafe message was sent again"
        if queue_class["Effect"] == "keyed":
            assert self.driver.now < sent_at + queue_class["Window"], "sent after the retry window"
            assert queue_class["KeyScope"] == "all" or first_receiver.zone == receiver.zone

    def check_end(self, message, decision):
        queue_class, now = self.classes[message.queue_class], self.driver.now
        end_at = max(message.expires_at, self.restarted_at) + self.rules["AnswerSlack"]
        assert message.is_withdrawn or now <= end_at, "ended too late"
        if decision == Decision.DEFERRED and message in self.executed and not message.is_withdrawn:
            is_safe = queue_class["Effect"] == "safe"
            assert is_safe or (queue_class["Effect"] == "keyed" and queue_class["KeyScope"] == "all")
        if message in self.pending_by_key.get(message.ordering_key, ()):
            self.pending_by_key[message.ordering_key].remove(message)

    def record_attempt_end(self, message, outcome, retry_after_ms):
        receiver, sent_at, _ = self.driver.in_flight[message]
        if outcome not in NOT_EXECUTED:
            self.executed.setdefault(message, (receiver, sent_at))
        if outcome in STILL_RUNNING and message.ordering_key:
            self.gap_until[message.ordering_key] = self.driver.now + self.rules["TurnGap"]
        if retry_after_ms:
            owner, until = self.owner(receiver), self.driver.now + retry_after_ms
            self.retry_after_until[owner] = max(self.retry_after_until.get(owner, 0.0), until)

    def record_withdrawal(self, message):
        if message in self.pending_by_key.get(message.ordering_key, ()) and message not in self.driver.in_flight:
            self.pending_by_key[message.ordering_key].remove(message)

    def record_restart(self, down_ms):
        self.restarted_at = self.driver.now + down_ms
        withdrawn = [message for pending in self.pending_by_key.values() for message in pending if message.is_withdrawn]
        for message in withdrawn:
            self.pending_by_key[message.ordering_key].remove(message)


def random_settings(rng, seed, has_own_limits):
    sender_settings = settings(
        effects=("safe", "keyed", "unsafe"),
        retry_window_ms=rng.choice((2000.0, 6000.0)),
        key_scope=rng.choice(("all", "zone")),
        by_arrival=rng.random() < 0.6,
        max_bundle=rng.choice((1, 4)),
        call_slots=rng.choice((2, 6, 15)),
        max_open=rng.choice((25, 200)),
        fleet_size=rng.choice((1, 3, 300)),
        has_own_limits=has_own_limits,
        max_attempts=rng.choice((1, 4, 8)),
    )
    sender_settings["Rules"]["TurnGap"] = (100.0, 400.0, 1500.0)[seed % 3]  # the first gap ends before any backoff
    return sender_settings


class RandomRun:
    """A sender with destinations and receivers that change and fail at random.

    faults: outcome of calls to a destination, or of one queue class to a receiver; None: no fault.
    restart_chance: probability that the sender crashes in a step.
    traffic_share: share of the steps in which messages may arrive; a low one simulates one of many senders with sparse
        queues.
    """

    def __init__(self, seed):
        self.rng = rng = random.Random(seed)
        has_own_limits = rng.random() < 0.3
        self.driver = DispatcherDriver(random_settings(rng, seed, has_own_limits), receivers=0, seed=seed)
        self.checker = DeliveryRuleChecker(self.driver, has_own_limits)
        self.destinations = [Destination(n) for n in range(4)]
        self.receivers = [Receiver(n, self.destinations[n % 4], zone=rng.randrange(2)) for n in range(9)]
        self.restart_chance = rng.choice((0.0, 0.003))
        self.faults = {}
        self.traffic_share = rng.choice((1.0, 1.0, 0.1))

    def step(self):
        self.change_receivers_and_faults()
        self.submit_random_messages()
        self.driver.dispatch_due()
        self.end_due_attempts()
        self.withdraw_random_message()
        if self.rng.random() < self.restart_chance:
            down_ms = self.rng.choice((600.0, 7000.0))
            self.checker.record_restart(down_ms)
            self.driver.restart(self.checker.attempts, self.checker.executed, down_ms)
            self.checker.retry_after_until.clear()
        self.driver.advance(self.rng.choice((5.0, 10.0, 15.0)))

    def drain(self):
        while self.driver.dispatcher.pending_messages:
            self.end_due_attempts()
            self.driver.advance(15.0)

    def change_receivers_and_faults(self):
        rng = self.rng
        for receiver in self.receivers:
            if rng.random() < 0.002:
                receiver.state = rng.choice(STATES)
        for destination in self.destinations:
            if rng.random() < 0.003:
                self.faults[destination] = rng.choice((None,) + FAULTS)
        if rng.random() < 0.01:  # a single queue class fails at a single receiver
            fault = rng.choice((None, Outcome.ERROR, Outcome.TIMED_OUT))
            self.faults[rng.choice(self.receivers), rng.randrange(3)] = fault

    def submit_random_messages(self):
        rng = self.rng
        count = rng.choice((0, 0, 0, 0, 0, 1, 1, 8 if rng.random() < 0.05 else 0))
        for _ in range(count if rng.random() < self.traffic_share else 0):
            message = self.driver.submit(
                time_left_ms=rng.choice((400.0, 3000.0, 16000.0)),
                dispatches=False,
                ordering_key=rng.randrange(4),
                destination=rng.choice(self.destinations),
                queue_class=rng.randrange(3),
            )
            self.checker.record_submission(message)

    def end_due_attempts(self):
        """Ends the attempts that are due, with the outcome given by the fault of their destination."""
        driver, rng = self.driver, self.rng
        for message, (receiver, sent_at, timeout_ms) in list(driver.in_flight.items()):
            fault = self.faults.get(receiver.destination) or self.faults.get((receiver, message.queue_class))
            hangs, is_slow = fault == Outcome.TIMED_OUT, rng.random() < 0.3
            duration_ms = driver.now - sent_at
            if duration_ms < (timeout_ms if hangs else min(timeout_ms, 60.0)) or (is_slow and duration_ms < timeout_ms):
                continue
            is_over = duration_ms >= timeout_ms or hangs
            outcome = Outcome.TIMED_OUT if is_over else fault if fault and rng.random() < 0.9 else Outcome.DELIVERED
            retry_after_ms = rng.choice((0.0, 700.0, 6000.0)) if outcome == Outcome.REJECTED else 0.0
            self.checker.record_attempt_end(message, outcome, retry_after_ms)
            driver.end_attempt(message, outcome, duration_ms, retry_after_ms, advances=False)

    def withdraw_random_message(self):
        driver = self.driver
        if driver.messages and self.rng.random() < 0.01:
            message = self.rng.choice(driver.messages)
            if message not in driver.decisions:
                message.is_withdrawn = True
                self.checker.record_withdrawal(message)


@pytest.mark.parametrize("seed", range(16))
def test_delivery_rules_hold_in_random_runs(seed):
    run = RandomRun(seed)
    for _ in range(2000):
        run.step()
    run.drain()
    driver, dispatcher = run.driver, run.driver.dispatcher
    lost = [message for message in driver.messages if message not in driver.decisions and not message.is_withdrawn]
    assert not lost and not dispatcher.key_order.messages_by_key
    assert dispatcher.calls_in_flight == 0 and dispatcher.pending_messages == 0


@pytest.mark.parametrize("seed", range(3))
def test_equal_seeds_give_equal_decisions(seed):
    def run():
        driver = DispatcherDriver(settings(effects=("safe", "keyed")), receivers=2, seed=seed)
        rng = random.Random(seed)
        for _ in range(200):
            driver.submit(queue_class=rng.randrange(2))
            driver.advance(rng.choice((5.0, 50.0)))
            for message, (_, sent, _) in list(driver.in_flight.items()):
                if driver.now - sent > 40.0:
                    driver.end_attempt(
                        message,
                        rng.choice((Outcome.DELIVERED, Outcome.REJECTED)),
                        40.0,
                        advances=False,
                    )
        return [(at, message.message_id, receiver.receiver_id) for at, message, receiver in driver.sends]

    assert run() == run()
