"""Seeded random runs: drawn settings, destinations and troubles, with the six rules checked after every step."""

import random

import pytest

from dewpin.core import model
from driver import Driver, settings

PROOF = (model.Outcome.REJECTED, model.Outcome.CONNECT_FAILED, model.Outcome.NOT_SENT)
RESTING = (model.Outcome.TIMED_OUT, model.Outcome.RESET, model.Outcome.CANCELLED)
TROUBLES = (
    model.Outcome.ERROR,
    model.Outcome.REJECTED,
    model.Outcome.TIMED_OUT,
    model.Outcome.CONNECT_FAILED,
    model.Outcome.RESET,
    model.Outcome.CANCELLED,
    model.Outcome.NOT_SENT,
)


class Watch:
    """The rules as an outsider sees them, over all answers of one run."""

    def __init__(self, driver, services, rules, apart):
        self.driver, self.services, self.rules, self.apart = driver, services, rules, apart
        self.told, self.ran, self.tries, self.turns, self.rest = {}, {}, {}, {}, {}
        self.back_at = 0.0  # when the sender came back last: nothing is overdue before that
        driver.check = self.answer

    def owner(self, receiver):
        return receiver if self.apart else receiver.destination

    def arrive(self, mail):
        if mail.ordering_key and self.services[mail.queue_class]["ByArrival"]:
            self.turns.setdefault(mail.ordering_key, []).append(mail)

    def answer(self, what, mail):
        now, effect = self.driver.now, self.services[mail.queue_class]["Effect"]
        if isinstance(what, model.Receiver):
            assert what.destination is mail.destination and what.state == model.ReceiverState.READY
            assert now >= self.told.get(self.owner(what), 0.0), "a told wait was not heeded"
            assert now <= mail.expires_at and 0.0 < self.driver.out[mail][2] <= mail.expires_at - now
            self.tries[mail] = self.tries.get(mail, 0) + 1
            assert self.tries[mail] <= self.driver.settings["Allowed"]["MaxAttempts"]
            calls = {(r, sent) for r, sent, _ in self.driver.out.values()}
            assert len(calls) <= self.driver.settings["FamilyInfo"]["CallSlots"]
            if mail in self.ran:
                receiver, sent = self.ran[mail]
                assert effect != "unsafe", "a once-only mail went again"
                if effect == "keyed":
                    assert now < sent + self.services[mail.queue_class]["Window"], "sent outside the window"
                    assert self.services[mail.queue_class]["KeyScope"] == "all" or receiver.zone == what.zone
            if mail in self.turns.get(mail.ordering_key, ()):
                assert self.turns[mail.ordering_key][0] is mail, "out of turn"
                assert now >= self.rest.get(mail.ordering_key, 0.0) or self.tries[mail] > 1, "the key did not rest"
        elif what != model.Decision.NOT_YET:
            assert mail.is_withdrawn or now <= max(mail.expires_at, self.back_at) + self.rules["AnswerSlack"], (
                "answered too late"
            )
            one = self.services[mail.queue_class]
            if what == model.Decision.DEFERRED and mail in self.ran and not mail.is_withdrawn:
                assert effect == "safe" or (effect == "keyed" and one["KeyScope"] == "all")
            if mail in self.turns.get(mail.ordering_key, ()):
                self.turns[mail.ordering_key].remove(mail)

    def ending(self, mail, outcome, told):
        receiver, sent, _ = self.driver.out[mail]
        if outcome not in PROOF:
            self.ran.setdefault(mail, (receiver, sent))
        if outcome in RESTING and mail.ordering_key:
            self.rest[mail.ordering_key] = self.driver.now + self.rules["TurnGap"]
        if told:
            owner = self.owner(receiver)
            self.told[owner] = max(self.told.get(owner, 0.0), self.driver.now + told)


def deliver(driver, watch, sick, dice):
    """Ends the connects that are due, by the trouble of their destination."""
    for mail, (receiver, sent, limit) in list(driver.out.items()):
        trouble = sick.get(receiver.destination) or sick.get((receiver, mail.queue_class))
        hung, slow = trouble == model.Outcome.TIMED_OUT, dice.random() < 0.3
        if driver.now - sent < (limit if hung else min(limit, 60.0)) or (slow and driver.now - sent < limit):
            continue
        over = driver.now - sent >= limit or hung
        outcome = (
            model.Outcome.TIMED_OUT if over else trouble if trouble and dice.random() < 0.9 else model.Outcome.DELIVERED
        )
        told = dice.choice((0.0, 700.0, 6000.0)) if outcome == model.Outcome.REJECTED else 0.0
        watch.ending(mail, outcome, told)
        driver.outcome(mail, outcome, driver.now - sent, told, run=False)


@pytest.mark.parametrize("seed", range(16))
def test_the_rules_hold_whatever_happens(seed):
    dice = random.Random(seed)
    apart = dice.random() < 0.3
    drawn = settings(
        effects=("safe", "keyed", "unsafe"),
        window=dice.choice((2000.0, 6000.0)),
        scope=dice.choice(("all", "zone")),
        order=dice.random() < 0.6,
        bundle=dice.choice((1, 4)),
        slots=dice.choice((2, 6, 15)),
        room=dice.choice((25, 200)),
        fleet=dice.choice((1, 3, 300)),
        apart=apart,
        attempts=dice.choice((1, 4, 8)),
    )
    drawn["Rules"]["TurnGap"] = (100.0, 400.0, 1500.0)[seed % 3]  # the first is over before any pause
    driver = Driver(drawn, receivers=0, seed=seed)
    watch = Watch(driver, drawn["Services"], drawn["Rules"], apart)
    places = [model.Destination(n) for n in range(4)]
    receivers = [model.Receiver(n, places[n % 4], zone=dice.randrange(2)) for n in range(9)]
    dies = dice.choice((0.0, 0.003))
    sick, busy = {}, dice.choice((1.0, 1.0, 0.1))  # the last: one of many senders, with sparse lines
    for step in range(2000):
        for receiver in receivers:
            if dice.random() < 0.002:
                receiver.state = dice.choice(
                    (
                        model.ReceiverState.READY,
                        model.ReceiverState.READY,
                        model.ReceiverState.DRAINING,
                        model.ReceiverState.GONE,
                    )
                )
        for place in places:
            if dice.random() < 0.003:
                sick[place] = dice.choice((None,) + TROUBLES)
        if dice.random() < 0.01:  # one queue class fails at one receiver
            sick[dice.choice(receivers), dice.randrange(3)] = dice.choice(
                (None, model.Outcome.ERROR, model.Outcome.TIMED_OUT)
            )
        mails = dice.choice((0, 0, 0, 0, 0, 1, 1, 8 if dice.random() < 0.05 else 0))
        for _ in range(mails if dice.random() < busy else 0):
            mail = driver.mail(
                left=dice.choice((400.0, 3000.0, 16000.0)),
                ask=False,
                ordering_key=dice.randrange(4),
                destination=dice.choice(places),
                queue_class=dice.randrange(3),
            )
            watch.arrive(mail)
        driver.ask()
        deliver(driver, watch, sick, dice)
        if driver.mails and dice.random() < 0.01:
            mail = dice.choice(driver.mails)
            if mail not in driver.ended:
                mail.is_withdrawn = True
                if mail in watch.turns.get(mail.ordering_key, ()) and mail not in driver.out:
                    watch.turns[mail.ordering_key].remove(mail)
        if dice.random() < dies:
            down = dice.choice((600.0, 7000.0))
            watch.back_at = driver.now + down
            for mail in [mail for turn in watch.turns.values() for mail in turn if mail.is_withdrawn]:
                watch.turns[mail.ordering_key].remove(mail)
            driver.restart(watch.tries, watch.ran, down)
            watch.told.clear()
        driver.run(dice.choice((5.0, 10.0, 15.0)))
    while driver.module.pending_messages:
        deliver(driver, watch, sick, dice)
        driver.run(15.0)
    lost = [mail for mail in driver.mails if mail not in driver.ended and not mail.is_withdrawn]
    module = driver.module
    assert not lost and not module.key_order.messages_by_key
    assert module.calls_in_flight == 0 and module.pending_messages == 0


@pytest.mark.parametrize("seed", range(3))
def test_equal_seeds_decide_alike(seed):
    def run():
        driver = Driver(settings(effects=("safe", "keyed")), receivers=2, seed=seed)
        dice = random.Random(seed)
        for _ in range(200):
            driver.mail(queue_class=dice.randrange(2))
            driver.run(dice.choice((5.0, 50.0)))
            for mail, (_, sent, _) in list(driver.out.items()):
                if driver.now - sent > 40.0:
                    driver.outcome(
                        mail, dice.choice((model.Outcome.DELIVERED, model.Outcome.REJECTED)), 40.0, run=False
                    )
        return [(at, mail.message_id, receiver.receiver_id) for at, mail, receiver in driver.sends]

    assert run() == run()
