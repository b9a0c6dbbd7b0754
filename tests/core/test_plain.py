"""Plain cases, each of them a failure that the module must not show again."""

import random

import pytest

from dewpin.core import model
from dewpin.core.dispatcher import Dispatcher
from driver import Driver, settings


def test_a_once_only_mail_that_timed_out_bounces():
    d = Driver(settings(effects=("unsafe",)))
    mail = d.mail()
    assert d.sent(mail)
    assert d.outcome(mail, model.Outcome.TIMED_OUT, 3000.0) == model.Decision.BOUNCED


def test_a_refused_mail_goes_again_after_a_growing_jittered_pause():
    d = Driver(settings(effects=("unsafe",)))
    mail, pauses = d.mail(), []
    for _ in range(4):
        assert d.sent(mail)
        assert d.outcome(mail, model.Outcome.CONNECT_FAILED, 5.0) == model.Decision.NOT_YET
        before = d.now
        d.run_until(lambda: d.sent(mail), 20000.0)
        pauses.append(d.now - before)
    assert 100.0 < pauses[0] < 400.0 and pauses[3] > 2.0 * pauses[0]
    assert len({round(p / 2**n, 3) for n, p in enumerate(pauses)}) == 4


def test_a_told_wait_holds_the_whole_destination_and_does_not_end_for_all_at_once():
    d = Driver(settings(slots=20), receivers=2)
    d.keep_answering(4000.0, every=200.0, took=50.0)
    first = d.mail()
    d.outcome(first, model.Outcome.REJECTED, 5.0, told=800.0)
    d.outcome(next(iter(d.out)), model.Outcome.DELIVERED, 50.0, run=False)
    others = [d.mail() for _ in range(6)]
    d.run(795.0)
    assert not d.out
    d.run(205.0)
    assert d.out and sum(d.sent(m) is None for m in others)


def test_a_tagged_mail_bounces_at_once_when_its_window_has_passed():
    d = Driver(settings(effects=("keyed",), window=3000.0))
    mail = d.mail()
    assert d.outcome(mail, model.Outcome.TIMED_OUT, 3500.0) == model.Decision.BOUNCED


def test_a_zone_that_nothing_is_known_of_is_no_zone_to_repeat_in():
    d = Driver(settings(effects=("keyed",), scope="zone"), receivers=2)
    for receiver in d.destination.receivers:
        receiver.zone = -1
    mail = d.mail()
    first = d.sent(mail)
    d.outcome(mail, model.Outcome.RESET, 100.0)
    d.run(2000.0)
    assert d.sent(mail) is first  # its own receiver drops what came twice, of the other that is not known


def test_a_tagged_mail_keeps_to_its_zone():
    d = Driver(settings(effects=("keyed",), scope="zone"), receivers=2, zones=2)
    mail = d.mail()
    first = d.sent(mail)
    d.outcome(mail, model.Outcome.RESET, 10.0)
    first.state = model.ReceiverState.GONE
    d.run(20000.0)
    assert not d.sent(mail) and d.ended[mail] == model.Decision.BOUNCED


def test_a_mail_held_near_the_end_of_its_lifetime_is_deferred_with_a_retry_after():
    d = Driver(settings())
    d.destination.receivers[0].state = model.ReceiverState.DRAINING
    mail = d.mail(left=2000.0)
    d.run(2000.0)
    assert d.ended[mail] == model.Decision.DEFERRED and d.advice[mail] > 0 and d.ended_at[mail] < mail.expires_at


def test_a_drained_destination_gets_nothing_and_its_mail_goes_to_the_other_receiver():
    d = Driver(settings(), receivers=2)
    d.destination.receivers[0].state = model.ReceiverState.DRAINING
    assert d.sent(d.mail()) is d.destination.receivers[1]


def test_a_key_rests_after_a_time_out_even_when_nobody_waits_yet():
    d = Driver(settings(effects=("unsafe",), order=True))
    first = d.mail(ordering_key=9)
    d.outcome(first, model.Outcome.RESET, 10.0)
    second = d.mail(ordering_key=9)
    d.run(95.0)
    assert not d.sent(second)
    d.run_until(lambda: d.sent(second), 10000.0)


@pytest.mark.parametrize("window, ending", [(600.0, model.Decision.BOUNCED), (5000.0, model.Decision.RELAYED)])
def test_a_key_rests_after_a_time_out_though_its_mail_ends_otherwise_before_the_rest_is_over(window, ending):
    told = settings(effects=("keyed",), order=True, window=window)
    told["Rules"]["TurnGap"] = 2000.0
    d = Driver(told)
    first, second = d.mail(ordering_key=9), d.mail(ordering_key=9)
    d.outcome(first, model.Outcome.TIMED_OUT, 100.0)
    ended_at = d.now
    if ending == model.Decision.RELAYED:
        d.run_until(lambda: d.sent(first), 1900.0)
        d.outcome(first, model.Outcome.DELIVERED, 20.0)
    else:  # it finds no place before its window is over
        d.destination.receivers[0].state = model.ReceiverState.DRAINING
        d.run_until(lambda: first in d.ended, 1900.0)
        d.destination.receivers[0].state = model.ReceiverState.READY
    assert d.ended[first] == ending and d.now < ended_at + 1900.0
    d.run(ended_at + 1990.0 - d.now)
    assert not d.sent(second)
    d.run_until(lambda: d.sent(second), 10000.0)
    assert d.sent(second)


def test_a_key_rests_after_a_start_that_finds_a_call_of_it_out():
    d = Driver(settings(effects=("unsafe",), order=True))
    receiver = d.destination.receivers[0]
    first = d.mail(
        ordering_key=9, prior_attempts=model.PriorAttempts(1, d.now - 50.0, receiver), ask=False
    )  # it was out until just now
    second = d.mail(ordering_key=9)
    assert d.ended[first] == model.Decision.BOUNCED
    d.run(95.0)
    assert not d.sent(second)
    d.run_until(lambda: d.sent(second), 1000.0)
    assert d.sent(second)


def test_a_withdrawn_mail_passes_its_turn():
    d = Driver(settings(effects=("unsafe",), order=True))
    d.destination.receivers[0].state = model.ReceiverState.DRAINING
    first, second = d.mail(ordering_key=9), d.mail(ordering_key=9)
    first.is_withdrawn = True
    d.destination.receivers[0].state = model.ReceiverState.READY
    d.run(50.0)
    assert d.sent(second)


def test_a_bundle_holds_one_slot():
    d = Driver(settings(bundle=4, slots=4))
    first = [d.mail(ask=False) for _ in range(6)]
    d.ask()
    assert len(d.out) == 6 and all(d.sent(m) for m in first) and d.module.calls_in_flight == 2


def test_a_hung_destination_leaves_slots_to_the_others():
    d = Driver(settings(slots=6))
    for _ in range(30):
        d.mail()
    d.run(1500.0)
    other = model.Destination(2)
    model.Receiver(99, other)
    assert d.sent(d.mail(destination=other))


def test_a_line_that_cannot_drain_leaves_room_for_other_mail():
    d = Driver(settings(room=20))
    d.destination.receivers[0].state = model.ReceiverState.DRAINING
    for _ in range(19):
        d.mail()
        d.run(10.0)
    assert sum(how == model.Decision.DEFERRED for how in d.ended.values()) >= 2


def test_a_failed_destination_gets_a_trickle_that_rises_while_it_goes_well():
    d = Driver(settings(slots=20))
    d.keep_answering(6000.0, every=200.0, took=50.0)
    d.keep_answering(8000.0, every=200.0, took=2500.0, outcome=model.Outcome.TIMED_OUT)
    back, sent = d.now, len(d.sends)
    d.keep_answering(2000.0, every=200.0, took=50.0)
    early = len(d.sends) - sent
    d.keep_answering(12000.0, every=200.0, took=50.0)
    late = sum(at > back + 12000.0 for at, _, _ in d.sends)
    assert early <= 7 < 8 <= late


def test_unknown_effects_are_named():
    with pytest.raises(KeyError, match="Effect"):
        Dispatcher(settings(effects=("maybe",)), 1)


def lossy_sends(share, seed=3):
    """Sends in the last five seconds of a time in which every destination loses a share of its calls."""
    d, dice, lost = Driver(settings(slots=40)), random.Random(seed), {}
    places = [model.Destination(n) for n in range(2, 10)]
    for n, place in enumerate(places):
        model.Receiver(n, place)
    for step in range(600):
        d.mail(destination=dice.choice(places))
        d.run(25.0)
        for mail, (_, sent, limit) in list(d.out.items()):
            gone = lost.setdefault((mail, sent), step > 100 and dice.random() < share)
            if d.now - sent >= (limit if gone else 60.0):
                d.outcome(mail, model.Outcome.TIMED_OUT if gone else model.Outcome.DELIVERED, d.now - sent, run=False)
    return sum(at > d.now - 5000.0 for at, _, _ in d.sends)


def test_loss_on_the_way_does_not_set_the_destinations_aside():
    assert sum(lossy_sends(0.5, seed) for seed in (1, 2, 3)) > 300


def test_a_queue_class_that_fails_at_one_receiver_goes_to_the_other_and_the_good_class_stays():
    d = Driver(settings(effects=("safe", "safe"), slots=20), receivers=2)
    bad, sent = d.destination.receivers[0], []
    for step in range(300):
        mail = d.mail(queue_class=step % 2)
        d.run(40.0)
        for mail, (receiver, at, limit) in list(d.out.items()):
            lost = receiver is bad and mail.queue_class == 0
            if d.now - at >= (limit if lost else 30.0):
                sent.append(lost)
                d.outcome(mail, model.Outcome.TIMED_OUT if lost else model.Outcome.DELIVERED, d.now - at, run=False)
    assert sum(sent) < 20 and len(sent) > 290


def test_hundreds_told_one_long_wait_do_not_come_back_together():
    back = []
    for seed in range(100):
        d = Driver(settings(fleet=300), seed=seed)
        d.run(20000.0)
        d.outcome(d.mail(), model.Outcome.REJECTED, 5.0, told=6000.0)
        until = d.now + 6000.0
        d.run_until(lambda: d.out, 15000.0)
        back += [d.now - until] if d.out else []
    assert min(back, default=0.0) >= 0.0 and sum(after < 2000.0 for after in back) < 30


def test_refused_calls_do_not_keep_a_limit_used_up():
    d, calls = Driver(settings(slots=20)), []
    d.keep_answering(5000.0, every=200.0, took=50.0)
    d.keep_answering(20000.0, every=200.0, took=20.0, outcome=model.Outcome.REJECTED)
    calls = sum(at > d.now - 10000.0 for at, _, _ in d.sends)
    assert 1 <= calls < 25  # half of the traffic, and falling


def test_idle_connections_close_where_few_mails_come_or_one_was_turned_away():
    kept = {}
    for turned in (False, True):
        d = Driver(settings(slots=20))
        d.settings["Allowed"]["IdleClose"] = 10000.0
        d.keep_answering(3000.0, every=100.0, took=50.0)
        if turned:
            d.outcome(d.mail(), model.Outcome.CONNECT_FAILED, 50.0)
        for _ in range(5):
            for mail in list(d.out):
                d.outcome(mail, model.Outcome.DELIVERED, 50.0, run=False)
            d.run(400.0)
        kept[turned] = not d.module.should_close_idle(d.destination.receivers[0], d.now)
    assert kept == {False: True, True: False}


def test_a_sparse_line_keeps_its_connection_where_no_table_is_full():
    d = Driver(settings(slots=20))
    d.settings["Allowed"]["IdleClose"] = 5000.0
    for _ in range(4):  # a mail in two IdleClose: half of its connections are used again
        d.run(10000.0)
        mail = d.mail()
        mail.duration_ms = 50.0
        assert d.module.record_outcome(mail, model.Outcome.DELIVERED, d.now + 50.0) == (
            model.Decision.RELAYED,
            0.0,
            False,
        )
        del d.out[mail]


def test_a_pace_outlives_hours_without_mail():
    d = Driver(settings())
    d.outcome(d.mail(), model.Outcome.REJECTED, 5.0)
    d.run_until(lambda: d.out, 20000.0)
    d.outcome(next(iter(d.out)), model.Outcome.DELIVERED, 20.0)
    d.now += 1e9
    assert d.sent(d.mail())
