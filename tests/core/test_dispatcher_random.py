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


class RuleWatch:
    """The rules as an outsider sees them, over all answers of one run."""

    def __init__(self, driver, services, rules, apart):
        self.driver, self.services, self.rules, self.apart = driver, services, rules, apart
        self.retry_after_until, self.executed, self.attempts, self.turns, self.gap_until = {}, {}, {}, {}, {}
        self.restarted_at = 0.0  # when the sender came back last: nothing is overdue before that
        driver.on_decision = self.check

    def owner(self, receiver):
        return receiver if self.apart else receiver.destination

    def submitted(self, message):
        if message.ordering_key and self.services[message.queue_class]["ByArrival"]:
            self.turns.setdefault(message.ordering_key, []).append(message)

    def check(self, decision, message):
        now, effect = self.driver.now, self.services[message.queue_class]["Effect"]
        if isinstance(decision, Receiver):
            assert decision.destination is message.destination and decision.state == ReceiverState.READY
            assert now >= self.retry_after_until.get(self.owner(decision), 0.0), "a requested wait was not heeded"
            assert now <= message.expires_at and 0.0 < self.driver.in_flight[message][2] <= message.expires_at - now
            self.attempts[message] = self.attempts.get(message, 0) + 1
            assert self.attempts[message] <= self.driver.settings["Allowed"]["MaxAttempts"]
            calls = {(r, sent) for r, sent, _ in self.driver.in_flight.values()}
            assert len(calls) <= self.driver.settings["FamilyInfo"]["CallSlots"]
            if message in self.executed:
                receiver, sent = self.executed[message]
                assert effect != "unsafe", "a once-only message went again"
                if effect == "keyed":
                    assert now < sent + self.services[message.queue_class]["Window"], "sent outside the window"
                    assert self.services[message.queue_class]["KeyScope"] == "all" or receiver.zone == decision.zone
            if message in self.turns.get(message.ordering_key, ()):
                assert self.turns[message.ordering_key][0] is message, "out of turn"
                assert now >= self.gap_until.get(message.ordering_key, 0.0) or self.attempts[message] > 1, (
                    "no gap for the ordering key"
                )
        elif decision != Decision.NOT_YET:
            assert (
                message.is_withdrawn or now <= max(message.expires_at, self.restarted_at) + self.rules["AnswerSlack"]
            ), "answered too late"
            queue_class = self.services[message.queue_class]
            if decision == Decision.DEFERRED and message in self.executed and not message.is_withdrawn:
                assert effect == "safe" or (effect == "keyed" and queue_class["KeyScope"] == "all")
            if message in self.turns.get(message.ordering_key, ()):
                self.turns[message.ordering_key].remove(message)

    def attempt_ended(self, message, outcome, retry_after_ms):
        receiver, sent, _ = self.driver.in_flight[message]
        if outcome not in NOT_EXECUTED:
            self.executed.setdefault(message, (receiver, sent))
        if outcome in STILL_RUNNING and message.ordering_key:
            self.gap_until[message.ordering_key] = self.driver.now + self.rules["TurnGap"]
        if retry_after_ms:
            owner = self.owner(receiver)
            self.retry_after_until[owner] = max(
                self.retry_after_until.get(owner, 0.0), self.driver.now + retry_after_ms
            )


def end_due_attempts(driver, watch, faulty, rng):
    """Ends the attempts that are due, by the fault of their destination."""
    for message, (receiver, sent, limit) in list(driver.in_flight.items()):
        fault = faulty.get(receiver.destination) or faulty.get((receiver, message.queue_class))
        hangs, is_slow = fault == Outcome.TIMED_OUT, rng.random() < 0.3
        if driver.now - sent < (limit if hangs else min(limit, 60.0)) or (is_slow and driver.now - sent < limit):
            continue
        over = driver.now - sent >= limit or hangs
        outcome = Outcome.TIMED_OUT if over else fault if fault and rng.random() < 0.9 else Outcome.DELIVERED
        retry_after_ms = rng.choice((0.0, 700.0, 6000.0)) if outcome == Outcome.REJECTED else 0.0
        watch.attempt_ended(message, outcome, retry_after_ms)
        driver.end_attempt(message, outcome, driver.now - sent, retry_after_ms, advances=False)


@pytest.mark.parametrize("seed", range(16))
def test_delivery_rules_hold_in_random_runs(seed):
    rng = random.Random(seed)
    apart = rng.random() < 0.3
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
    driver = DispatcherDriver(drawn, receivers=0, seed=seed)
    watch = RuleWatch(driver, drawn["Services"], drawn["Rules"], apart)
    destinations = [Destination(n) for n in range(4)]
    receivers = [Receiver(n, destinations[n % 4], zone=rng.randrange(2)) for n in range(9)]
    dies = rng.choice((0.0, 0.003))
    faulty, busy = {}, rng.choice((1.0, 1.0, 0.1))  # the last: one of many senders, with sparse queues
    for step in range(2000):
        for receiver in receivers:
            if rng.random() < 0.002:
                receiver.state = rng.choice(
                    (
                        ReceiverState.READY,
                        ReceiverState.READY,
                        ReceiverState.DRAINING,
                        ReceiverState.GONE,
                    )
                )
        for destination in destinations:
            if rng.random() < 0.003:
                faulty[destination] = rng.choice((None,) + FAULTS)
        if rng.random() < 0.01:  # one queue class fails at one receiver
            faulty[rng.choice(receivers), rng.randrange(3)] = rng.choice((None, Outcome.ERROR, Outcome.TIMED_OUT))
        messages = rng.choice((0, 0, 0, 0, 0, 1, 1, 8 if rng.random() < 0.05 else 0))
        for _ in range(messages if rng.random() < busy else 0):
            message = driver.submit(
                time_left_ms=rng.choice((400.0, 3000.0, 16000.0)),
                dispatches=False,
                ordering_key=rng.randrange(4),
                destination=rng.choice(destinations),
                queue_class=rng.randrange(3),
            )
            watch.submitted(message)
        driver.dispatch_due()
        end_due_attempts(driver, watch, faulty, rng)
        if driver.messages and rng.random() < 0.01:
            message = rng.choice(driver.messages)
            if message not in driver.decisions:
                message.is_withdrawn = True
                if message in watch.turns.get(message.ordering_key, ()) and message not in driver.in_flight:
                    watch.turns[message.ordering_key].remove(message)
        if rng.random() < dies:
            down_ms = rng.choice((600.0, 7000.0))
            watch.restarted_at = driver.now + down_ms
            for message in [message for turn in watch.turns.values() for message in turn if message.is_withdrawn]:
                watch.turns[message.ordering_key].remove(message)
            driver.restart(watch.attempts, watch.executed, down_ms)
            watch.retry_after_until.clear()
        driver.advance(rng.choice((5.0, 10.0, 15.0)))
    while driver.dispatcher.pending_messages:
        end_due_attempts(driver, watch, faulty, rng)
        driver.advance(15.0)
    lost = [message for message in driver.messages if message not in driver.decisions and not message.is_withdrawn]
    module = driver.dispatcher
    assert not lost and not module.key_order.messages_by_key
    assert module.calls_in_flight == 0 and module.pending_messages == 0


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
