"""Seeded random runs: drawn settings, destinations and faults, with the six rules checked after every step."""

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


class RuleWatch:
    """The rules as an outsider sees them, over all decisions of one run.

    executed: message: (receiver, when it was sent) of its first attempt that may have been executed.
    attempts: how many each message had.
    turns: by ordering key, its messages in the order of arrival.
    gap_until, retry_after_until: until when a key, or a destination or receiver, gets nothing.
    restarted_at: when the sender came back last; nothing is overdue before that.
    """

    def __init__(self, driver, apart):
        self.driver, self.apart = driver, apart
        self.classes, self.rules = driver.settings["Services"], driver.settings["Rules"]
        self.executed, self.attempts, self.turns = {}, {}, {}
        self.gap_until, self.retry_after_until = {}, {}
        self.restarted_at = 0.0
        driver.on_decision = self.check

    def owner(self, receiver):
        return receiver if self.apart else receiver.destination

    def submitted(self, message):
        if message.ordering_key and self.classes[message.queue_class]["ByArrival"]:
            self.turns.setdefault(message.ordering_key, []).append(message)

    def check(self, decision, message):
        if isinstance(decision, Receiver):
            self.check_attempt(message, decision)
        elif decision != Decision.NOT_YET:
            self.check_end(message, decision)

    def check_attempt(self, message, receiver):
        now = self.driver.now
        assert receiver.destination is message.destination and receiver.state == ReceiverState.READY
        assert now >= self.retry_after_until.get(self.owner(receiver), 0.0), "a requested wait was not heeded"
        assert now <= message.expires_at and 0.0 < self.driver.in_flight[message][2] <= message.expires_at - now
        self.attempts[message] = self.attempts.get(message, 0) + 1
        assert self.attempts[message] <= self.driver.settings["Allowed"]["MaxAttempts"]
        calls = {(receiver, sent_at) for receiver, sent_at, _ in self.driver.in_flight.values()}
        assert len(calls) <= self.driver.settings["FamilyInfo"]["CallSlots"]
        if message in self.executed:
            self.check_retry(message, receiver)
        key = message.ordering_key
        if message in self.turns.get(key, ()):
            assert self.turns[key][0] is message, "out of turn"
            is_after_gap = now >= self.gap_until.get(key, 0.0) or self.attempts[message] > 1
            assert is_after_gap, "no gap for the ordering key"

    def check_retry(self, message, receiver):
        """Of a message that may have been executed."""
        queue_class = self.classes[message.queue_class]
        first_receiver, sent_at = self.executed[message]
        assert queue_class["Effect"] != "unsafe", "an unsafe message went again"
        if queue_class["Effect"] == "keyed":
            assert self.driver.now < sent_at + queue_class["Window"], "sent outside the window"
            assert queue_class["KeyScope"] == "all" or first_receiver.zone == receiver.zone

    def check_end(self, message, decision):
        queue_class, now = self.classes[message.queue_class], self.driver.now
        end_at = max(message.expires_at, self.restarted_at) + self.rules["AnswerSlack"]
        assert message.is_withdrawn or now <= end_at, "answered too late"
        if decision == Decision.DEFERRED and message in self.executed and not message.is_withdrawn:
            is_safe = queue_class["Effect"] == "safe"
            assert is_safe or (queue_class["Effect"] == "keyed" and queue_class["KeyScope"] == "all")
        if message in self.turns.get(message.ordering_key, ()):
            self.turns[message.ordering_key].remove(message)

    def attempt_ended(self, message, outcome, retry_after_ms):
        receiver, sent_at, _ = self.driver.in_flight[message]
        if outcome not in NOT_EXECUTED:
            self.executed.setdefault(message, (receiver, sent_at))
        if outcome in STILL_RUNNING and message.ordering_key:
            self.gap_until[message.ordering_key] = self.driver.now + self.rules["TurnGap"]
        if retry_after_ms:
            owner, until = self.owner(receiver), self.driver.now + retry_after_ms
            self.retry_after_until[owner] = max(self.retry_after_until.get(owner, 0.0), until)

    def withdrawn(self, message):
        if message in self.turns.get(message.ordering_key, ()) and message not in self.driver.in_flight:
            self.turns[message.ordering_key].remove(message)

    def restarts(self, down_ms):
        self.restarted_at = self.driver.now + down_ms
        withdrawn = [message for turn in self.turns.values() for message in turn if message.is_withdrawn]
        for message in withdrawn:
            self.turns[message.ordering_key].remove(message)


def draw_settings(rng, seed, apart):
    drawn = settings(
        effects=("safe", "keyed", "unsafe"),
        window=rng.choice((2000.0, 6000.0)),
        scope=rng.choice(("all", "zone")),
        order=rng.random() < 0.6,
        bundle=rng.choice((1, 4)),
        slots=rng.choice((2, 6, 15)),
        room=rng.choice((25, 200)),
        fleet=rng.choice((1, 3, 300)),
        apart=apart,
        attempts=rng.choice((1, 4, 8)),
    )
    drawn["Rules"]["TurnGap"] = (100.0, 400.0, 1500.0)[seed % 3]  # the first is over before any pause
    return drawn


class RandomRun:
    """A sender among destinations and receivers that change and fail by chance.

    faults: outcome of the calls to a destination, or to a receiver with messages of a queue class; None: none.
    restart_chance: that the sender dies in a step.
    traffic_share: share of the steps in which messages may come; a small one: one of many senders, with sparse queues.
    """

    def __init__(self, seed):
        self.rng = rng = random.Random(seed)
        apart = rng.random() < 0.3
        self.driver = DispatcherDriver(draw_settings(rng, seed, apart), receivers=0, seed=seed)
        self.watch = RuleWatch(self.driver, apart)
        self.destinations = [Destination(n) for n in range(4)]
        self.receivers = [Receiver(n, self.destinations[n % 4], zone=rng.randrange(2)) for n in range(9)]
        self.restart_chance = rng.choice((0.0, 0.003))
        self.faults = {}
        self.traffic_share = rng.choice((1.0, 1.0, 0.1))

    def step(self):
        self.change_receivers()
        self.submit_messages()
        self.driver.dispatch_due()
        self.end_due_attempts()
        self.withdraw()
        if self.rng.random() < self.restart_chance:
            down_ms = self.rng.choice((600.0, 7000.0))
            self.watch.restarts(down_ms)
            self.driver.restart(self.watch.attempts, self.watch.executed, down_ms)
            self.watch.retry_after_until.clear()
        self.driver.advance(self.rng.choice((5.0, 10.0, 15.0)))

    def drain(self):
        while self.driver.dispatcher.pending_messages:
            self.end_due_attempts()
            self.driver.advance(15.0)

    def change_receivers(self):
        rng = self.rng
        for receiver in self.receivers:
            if rng.random() < 0.002:
                receiver.state = rng.choice(STATES)
        for destination in self.destinations:
            if rng.random() < 0.003:
                self.faults[destination] = rng.choice((None,) + FAULTS)
        if rng.random() < 0.01:  # one queue class fails at one receiver
            fault = rng.choice((None, Outcome.ERROR, Outcome.TIMED_OUT))
            self.faults[rng.choice(self.receivers), rng.randrange(3)] = fault

    def submit_messages(self):
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
            self.watch.submitted(message)

    def end_due_attempts(self):
        """Ends the attempts that are due, by the fault of their destination."""
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
            self.watch.attempt_ended(message, outcome, retry_after_ms)
            driver.end_attempt(message, outcome, duration_ms, retry_after_ms, advances=False)

    def withdraw(self):
        driver = self.driver
        if driver.messages and self.rng.random() < 0.01:
            message = self.rng.choice(driver.messages)
            if message not in driver.decisions:
                message.is_withdrawn = True
                self.watch.withdrawn(message)


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
