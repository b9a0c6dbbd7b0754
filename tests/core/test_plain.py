"""Plain cases, each of them a failure that the module must not show again."""

import heapq
import random
import sys

import pytest

from dewpin.core import model
from dewpin.core.decide import Dispatcher
from driver import Driver, settings


def test_a_once_only_mail_that_timed_out_bounces():
    d = Driver(settings(effects=("unsafe",)))
    mail = d.mail()
    assert d.sent(mail)
    assert d.outcome(mail, model.TIMED_OUT, 3000.0) == model.BOUNCED


def test_a_refused_mail_goes_again_after_a_growing_jittered_pause():
    d = Driver(settings(effects=("unsafe",)))
    mail, pauses = d.mail(), []
    for _ in range(4):
        assert d.sent(mail)
        assert d.outcome(mail, model.UNREACHED, 5.0) == model.NOT_YET
        before = d.now
        d.run_until(lambda: d.sent(mail), 20000.0)
        pauses.append(d.now - before)
    assert 100.0 < pauses[0] < 400.0 and pauses[3] > 2.0 * pauses[0]
    assert len({round(p / 2**n, 3) for n, p in enumerate(pauses)}) == 4


def test_a_told_wait_holds_the_whole_destination_and_does_not_end_for_all_at_once():
    d = Driver(settings(slots=20), receivers=2)
    d.keep_answering(4000.0, every=200.0, took=50.0)
    first = d.mail()
    d.outcome(first, model.FULL, 5.0, told=800.0)
    d.outcome(next(iter(d.out)), model.DELIVERED, 50.0, run=False)
    others = [d.mail() for _ in range(6)]
    d.run(795.0)
    assert not d.out
    d.run(205.0)
    assert d.out and sum(d.sent(m) is None for m in others)


def test_a_tagged_mail_bounces_at_once_when_its_window_has_passed():
    d = Driver(settings(effects=("keyed",), window=3000.0))
    mail = d.mail()
    assert d.outcome(mail, model.TIMED_OUT, 3500.0) == model.BOUNCED


def test_a_zone_that_nothing_is_known_of_is_no_zone_to_repeat_in():
    d = Driver(settings(effects=("keyed",), scope="zone"), receivers=2)
    for receiver in d.destination.receivers:
        receiver.zone = -1
    mail = d.mail()
    first = d.sent(mail)
    d.outcome(mail, model.RESET, 100.0)
    d.run(2000.0)
    assert d.sent(mail) is first  # its own receiver drops what came twice, of the other that is not known


def test_a_tagged_mail_keeps_to_its_zone():
    d = Driver(settings(effects=("keyed",), scope="zone"), receivers=2, zones=2)
    mail = d.mail()
    first = d.sent(mail)
    d.outcome(mail, model.RESET, 10.0)
    first.state = model.GONE
    d.run(20000.0)
    assert not d.sent(mail) and d.ended[mail] == model.BOUNCED


def test_a_mail_held_near_the_end_of_its_lifetime_is_deferred_with_a_retry_after():
    d = Driver(settings())
    d.destination.receivers[0].state = model.DRAINING
    mail = d.mail(left=2000.0)
    d.run(2000.0)
    assert d.ended[mail] == model.DEFERRED and d.advice[mail] > 0 and d.ended_at[mail] < mail.expires


def test_a_drained_destination_gets_nothing_and_its_mail_goes_to_the_other_receiver():
    d = Driver(settings(), receivers=2)
    d.destination.receivers[0].state = model.DRAINING
    assert d.sent(d.mail()) is d.destination.receivers[1]


def test_a_key_rests_after_a_time_out_even_when_nobody_waits_yet():
    d = Driver(settings(effects=("unsafe",), order=True))
    first = d.mail(key=9)
    d.outcome(first, model.RESET, 10.0)
    second = d.mail(key=9)
    d.run(95.0)
    assert not d.sent(second)
    d.run_until(lambda: d.sent(second), 10000.0)


@pytest.mark.parametrize("window, ending", [(600.0, model.BOUNCED), (5000.0, model.RELAYED)])
def test_a_key_rests_after_a_time_out_though_its_mail_ends_otherwise_before_the_rest_is_over(window, ending):
    told = settings(effects=("keyed",), order=True, window=window)
    told["Rules"]["TurnGap"] = 2000.0
    d = Driver(told)
    first, second = d.mail(key=9), d.mail(key=9)
    d.outcome(first, model.TIMED_OUT, 100.0)
    ended_at = d.now
    if ending == model.RELAYED:
        d.run_until(lambda: d.sent(first), 1900.0)
        d.outcome(first, model.DELIVERED, 20.0)
    else:  # it finds no place before its window is over
        d.destination.receivers[0].state = model.DRAINING
        d.run_until(lambda: first in d.ended, 1900.0)
        d.destination.receivers[0].state = model.READY
    assert d.ended[first] == ending and d.now < ended_at + 1900.0
    d.run(ended_at + 1990.0 - d.now)
    assert not d.sent(second)
    d.run_until(lambda: d.sent(second), 10000.0)
    assert d.sent(second)


def test_a_key_rests_after_a_start_that_finds_a_call_of_it_out():
    d = Driver(settings(effects=("unsafe",), order=True))
    receiver = d.destination.receivers[0]
    first = d.mail(key=9, before=(1, d.now - 50.0, receiver), ask=False)  # it was out until just now
    second = d.mail(key=9)
    assert d.ended[first] == model.BOUNCED
    d.run(95.0)
    assert not d.sent(second)
    d.run_until(lambda: d.sent(second), 1000.0)
    assert d.sent(second)


def test_a_withdrawn_mail_passes_its_turn():
    d = Driver(settings(effects=("unsafe",), order=True))
    d.destination.receivers[0].state = model.DRAINING
    first, second = d.mail(key=9), d.mail(key=9)
    first.withdrawn = True
    d.destination.receivers[0].state = model.READY
    d.run(50.0)
    assert d.sent(second)


def test_a_bundle_holds_one_slot():
    d = Driver(settings(bundle=4, slots=4))
    first = [d.mail(ask=False) for _ in range(6)]
    d.ask()
    assert len(d.out) == 6 and all(d.sent(m) for m in first) and d.module.slots == 2


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
    d.destination.receivers[0].state = model.DRAINING
    for _ in range(19):
        d.mail()
        d.run(10.0)
    assert sum(how == model.DEFERRED for how in d.ended.values()) >= 2


def test_a_failed_destination_gets_a_trickle_that_rises_while_it_goes_well():
    d = Driver(settings(slots=20))
    d.keep_answering(6000.0, every=200.0, took=50.0)
    d.keep_answering(8000.0, every=200.0, took=2500.0, outcome=model.TIMED_OUT)
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
                d.outcome(mail, model.TIMED_OUT if gone else model.DELIVERED, d.now - sent, run=False)
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
                d.outcome(mail, model.TIMED_OUT if lost else model.DELIVERED, d.now - at, run=False)
    assert sum(sent) < 20 and len(sent) > 290


def test_hundreds_told_one_long_wait_do_not_come_back_together():
    back = []
    for seed in range(100):
        d = Driver(settings(fleet=300), seed=seed)
        d.run(20000.0)
        d.outcome(d.mail(), model.FULL, 5.0, told=6000.0)
        until = d.now + 6000.0
        d.run_until(lambda: d.out, 15000.0)
        back += [d.now - until] if d.out else []
    assert min(back, default=0.0) >= 0.0 and sum(after < 2000.0 for after in back) < 30


def test_refused_calls_do_not_keep_a_limit_used_up():
    d, calls = Driver(settings(slots=20)), []
    d.keep_answering(5000.0, every=200.0, took=50.0)
    d.keep_answering(20000.0, every=200.0, took=20.0, outcome=model.FULL)
    calls = sum(at > d.now - 10000.0 for at, _, _ in d.sends)
    assert 1 <= calls < 25  # half of the traffic, and falling


def test_idle_connections_close_where_few_mails_come_or_one_was_turned_away():
    kept = {}
    for turned in (False, True):
        d = Driver(settings(slots=20))
        d.settings["Allowed"]["IdleClose"] = 10000.0
        d.keep_answering(3000.0, every=100.0, took=50.0)
        if turned:
            d.outcome(d.mail(), model.UNREACHED, 50.0)
        for _ in range(5):
            for mail in list(d.out):
                d.outcome(mail, model.DELIVERED, 50.0, run=False)
            d.run(400.0)
        kept[turned] = not d.module._leaves(d.destination.receivers[0], d.now)
    assert kept == {False: True, True: False}


def test_a_sparse_line_keeps_its_connection_where_no_table_is_full():
    d = Driver(settings(slots=20))
    d.settings["Allowed"]["IdleClose"] = 5000.0
    for _ in range(4):  # a mail in two IdleClose: half of its connections are used again
        d.run(10000.0)
        mail = d.mail()
        mail.took = 50.0
        assert d.module.settle(mail, model.DELIVERED, d.now + 50.0) == (model.RELAYED, 0.0, False)
        del d.out[mail]


def test_a_pace_outlives_hours_without_mail():
    d = Driver(settings())
    d.outcome(d.mail(), model.FULL, 5.0)
    d.run_until(lambda: d.out, 20000.0)
    d.outcome(next(iter(d.out)), model.DELIVERED, 20.0)
    d.now += 1e9
    assert d.sent(d.mail())


@pytest.mark.parametrize(
    "effect, tries, ending",
    [("unsafe", 1, model.BOUNCED), ("keyed", 1, None), ("safe", 1, None), ("safe", 6, model.DEFERRED)],
)
def test_what_an_earlier_life_did_counts(effect, tries, ending):
    """A call was out when the sender was killed: only a repeat that is allowed and left may follow."""
    d = Driver(settings(effects=(effect,)))
    mail = d.mail(before=(tries, d.now - 700.0, d.destination.receivers[0]))
    assert d.ended.get(mail) == ending and (d.sent(mail) is None) == (ending is not None)


def refused_and_answered(driver, times, refused):
    """So many mails of which every `refused`-th finds no connection at once; what the last good answer closes."""
    for at in range(times):
        mail = driver.mail()
        driver.run_until(lambda mail=mail: driver.sent(mail), 5000.0)
        if refused and at % refused == 0:
            driver.outcome(mail, model.UNREACHED, 2.0)
            driver.run_until(lambda mail=mail: driver.sent(mail), 20000.0)
        closes = driver.module.settle(mail, model.DELIVERED, driver.now)[2]
        del driver.out[mail]
        driver.ended[mail] = model.RELAYED
        driver.run(100.0)
    return closes


@pytest.mark.parametrize("down, full", [(300.0, True), (6000.0, False)])
def test_a_crash_is_not_taken_for_a_full_table_of_connections(down, full):
    """One refused at once and soon answered again has no room for idle connections; a crash is over later."""
    drawn = settings(effects=("safe",))
    drawn["Allowed"]["IdleClose"] = 15000.0
    d = Driver(drawn)
    d.keep_answering(3000.0, every=200.0, took=50.0)
    for mail in list(d.out):
        d.outcome(mail, model.DELIVERED, 50.0)
    back, mail = d.now + down, d.mail()
    while d.now < back:
        if d.sent(mail):
            d.outcome(mail, model.UNREACHED, 2.0)
        d.run_until(lambda: d.sent(mail), back - d.now)
    d.run_until(lambda: d.sent(mail), 20000.0)
    mail.took = 50.0
    *answer, leaves = d.module.settle(mail, model.DELIVERED, d.now + 50.0)
    assert answer[0] == model.RELAYED and leaves is full


@pytest.mark.parametrize("refused, idle, trials", [(0, 60000.0, True), (2, 60000.0, False), (0, 0.0, False)])
def test_two_refused_connections_in_a_row_set_a_sparse_line_aside_where_no_table_is_full(refused, idle, trials):
    """Of a line that sees little, and not where every second call of the kind finds a full table, or on a busy one."""
    d = Driver(settings(fleet=200), receivers=2)
    refused_and_answered(d, 20, refused)
    d.run(idle)
    mail = d.mail()
    for _ in range(2):
        d.run_until(lambda: d.sent(mail), 5000.0)
        assert d.outcome(mail, model.UNREACHED, 2.0) == model.NOT_YET
    d.run_until(lambda: d.sent(mail), 4000.0)
    assert (d.sent(mail) is None) == trials
    assert all(d.module._on_trial(one) for one in d.destination.receivers) == trials


def test_a_refused_trial_of_a_sparse_line_is_followed_by_no_shorter_gap_than_a_good_one():
    gaps = []
    for seed in range(20):
        d = Driver(settings(fleet=200), seed=seed)
        mail, health = d.mail(), d.module.health(d.destination.receivers[0])
        for refusal in range(3):
            d.run_until(lambda d=d, mail=mail: d.sent(mail), 5000.0)
            d.outcome(mail, model.UNREACHED, 2.0)
            if refusal == 1:
                health.trickle.next_at = d.now  # the first trial is due
        gaps.append((health.trickle.next_at - d.now) * health.trickle.rate / 1000.0)
    assert 0.8 <= min(gaps) and max(gaps) <= 1.4


def test_a_mail_that_waits_for_a_pace_keeps_no_connection_where_tables_are_full():
    drawn = settings(effects=("safe",))
    drawn["Allowed"]["IdleClose"] = 15000.0
    d = Driver(drawn)
    refused_and_answered(d, 20, 2)
    first = d.mail()
    d.run_until(lambda: d.sent(first), 20000.0)
    d.module.gate(d.sent(first)).told_until = d.now + 5000.0
    first.took, second = 50.0, d.mail()
    assert not d.sent(second) and d.module.settle(first, model.DELIVERED, d.now + 50.0)[2]


@pytest.mark.parametrize("marked, again, age", [(False, False, 9000.0), (True, True, 9000.0), (True, False, 0.0)])
def test_a_repeat_counts_from_when_it_was_first_handed_in(marked, again, age):
    module = Driver(settings() | {"Callers": {"MarksRetry": marked}}).module
    left = module.classes[0]["Deadline"] - 9000.0
    assert module.first_in(0, left, again, 20000.0) == 20000.0 - age


def test_a_mail_with_little_time_left_goes_before_those_that_came_earlier():
    d = Driver(settings(slots=1))
    first = d.mail()
    others = [d.mail() for _ in range(4)]
    hurried = d.mail(left=900.0)
    d.outcome(first, model.DELIVERED, 100.0)
    assert d.sent(hurried) and not any(d.sent(mail) for mail in others)


def test_a_pace_whose_growth_met_a_limit_grows_more_slowly_the_next_time():
    def grows(goods=1, grown=0.9, told=0.0, every=1000.0):
        """Three refusals: what the third pace's growth takes, over the first one's."""
        d = Driver(settings(slots=20))
        d.keep_answering(20000.0, every, 20.0)
        receiver, spans = d.destination.receivers[0], []
        for _ in range(3):
            gate = d.module.gate(receiver)
            gate.told_until = d.now + told
            d.module._slow_down(receiver, gate, d.now)
            spans.append(gate.pace.doubles)
            gate.pace.since, gate.pace.goods = d.now, goods
            d.now += grown * spans[-1]
        return spans[2] / spans[0]

    assert grows() == 4.0
    assert grows(goods=4) == 1.0  # enough went well: it did not meet it by growing
    assert grows(grown=0.1) == 1.0  # refusals of one moment
    assert grows(every=100.0) == 1.0  # a busy line notices in time
    assert grows(told=100.0) == 1.0  # a told wait says when there is room


def test_a_receiver_that_refuses_for_itself_draws_in_no_mails_and_sets_no_pace():
    d = Driver(settings(), receivers=2)
    bad = d.destination.receivers[0]
    for _ in range(40):  # one drains, told late, and turns calls away at once; the other is well
        d.mail()
        for mail, (receiver, _, _) in list(d.out.items()):
            if receiver is bad:
                d.outcome(mail, model.FULL, 2.0)
            else:
                d.outcome(mail, model.DELIVERED, 50.0)
        d.run(100.0)
    refused = sum(receiver is bad for _, _, receiver in d.sends)
    assert refused < 8 and d.module.gate(bad).pace is None
    assert list(d.ended.values()).count(model.RELAYED) > 35


def test_a_destination_over_its_limit_sets_a_pace_though_it_has_two_receivers():
    d = Driver(settings(), receivers=2)
    d.keep_answering(3000.0, 100.0, 20.0)
    for _ in range(1):  # with traffic spread thin over a fleet, one refusal is all that one sender sees
        mail = d.mail()
        d.run_until(lambda: d.sent(mail), 1000.0)
        d.outcome(mail, model.FULL, 2.0)
    assert d.module.gate(d.destination.receivers[0]).pace


def test_a_learned_time_out_follows_the_usual_time_and_a_lone_silent_call_leaves_it_so():
    d = Driver(settings())
    d.keep_answering(4000.0, 100.0, 100.0)
    silent = d.mail()
    assert d.out[silent][2] <= 750.0  # six usual times, and no less than what counts as silent
    for _ in range(4):  # others are answered meanwhile
        d.outcome(d.mail(), model.DELIVERED, 100.0)
    d.outcome(silent, model.TIMED_OUT, 700.0)
    assert d.out[d.mail()][2] <= 750.0

    def doubled():
        return [limit for _, _, limit in d.out.values() if limit > 1300.0]

    for _ in range(4):  # nobody is answered: it may be slow
        for mail, (_, _, limit) in list(d.out.items()):
            d.outcome(mail, model.TIMED_OUT, limit)
        d.run_until(lambda: doubled(), 1000.0)
    assert doubled()


def test_a_destination_that_answered_nothing_yet_is_given_the_target_delay():
    d = Driver(settings())
    d.keep_answering(4000.0, 100.0, 100.0)
    other = model.Destination(2)
    model.Receiver(50, other)
    assert d.out[d.mail(destination=other)][2] >= d.settings["Services"][0]["GoalTime"]


def test_a_question_costs_what_waits_and_nothing_for_destinations_without_mail():
    def calls(idle):
        d, entered = Driver(settings(room=5000)), []
        for ident in range(idle):
            place = model.Destination(ident + 2)
            model.Receiver(ident + 2, place)
            d.outcome(d.mail(destination=place), model.DELIVERED, 1.0)
        d.module.slots = d.settings["FamilyInfo"]["CallSlots"]  # none is free: the mail waits
        d.mail(ask=False)
        sys.setprofile(lambda frame, event, _: entered.append(event))
        try:
            d.module.wait(d.now)
        finally:
            sys.setprofile(None)
        return len(entered)

    assert calls(300) == calls(3)


def senders(count, receivers=2, rate=None, **told):
    """Modules that share nothing, each with an account of the same destination, and their clocks."""
    drawn = settings(fleet=count, **told)
    drawn["Rules"] |= {"FallMultiple": 1.5, "ColdFrom": 0.28, "OverloadFor": 3000.0, "WarmAfter": 14000.0}
    drawn["Weights"] = "nominal" if rate else "off"
    made = [Driver(drawn, receivers=receivers, seed=seed) for seed in range(count)]
    for d in made:
        for receiver in d.destination.receivers:
            receiver.weight = rate or 1.0
    return made


def returning(fleet, dice, down, after, mails, bad, joined=False, well=0.0):
    """Plays senders through an outage of `down` ms and so long `after`; the calls of the later part, with
    what each weighs: (ms since the return, weight). `mails` a second come in all, `bad` is how calls fail, but
    for a share that goes `well`."""
    weighed, start = [], fleet[0].now
    while (spent := fleet[0].now - start) < down + after:
        for d in fleet:
            if dice.random() < mails / len(fleet) / 50.0:
                d.mail(ask=False)
            if (
                joined
                and spent >= down - 20.0
                and d.destination.receivers[-1].state == model.READY
                and len(d.destination.receivers) < 3
            ):
                for receiver in d.destination.receivers:
                    receiver.state = model.GONE
                model.Receiver(9, d.destination, weight=d.destination.receivers[0].weight)
            d.ask()
            calls = set()
            for mail, (receiver, sent, _) in list(d.out.items()):
                if sent == d.now and spent >= down:
                    weighed.append((spent - down, 0.16 if receiver in calls else 1.0))
                    calls.add(receiver)
                if d.now - sent >= 100.0:
                    fails = spent < down and dice.random() >= well
                    d.outcome(mail, bad if fails else model.DELIVERED, 100.0, run=False)
            d.run(20.0)
    return weighed


@pytest.mark.parametrize(
    "bundle,joined,bad,well",
    [
        (1, False, model.UNREACHED, 0.0),
        (20, False, model.UNREACHED, 0.0),
        (1, True, model.UNREACHED, 0.0),
        (1, False, model.ERROR, 0.2),
    ],
)
def test_senders_that_saw_an_outage_stay_under_what_a_cold_one_bears_together(bundle, joined, bad, well):
    limit = 30.0
    fleet = senders(40, rate=limit, bundle=bundle, effects=("keyed",), window=25000.0, room=30, slots=4)
    rules = fleet[0].settings["Rules"]
    weighed = returning(fleet, random.Random(3), 9000.0, 12000.0, 28.0 if joined else 75.0, bad, joined, well)
    for end in range(3000, 12001, 500):
        sent = sum(weight for at, weight in weighed if end - rules["OverloadFor"] <= at < end)
        warm = rules["ColdFrom"] + (1.0 - rules["ColdFrom"]) * (end - rules["OverloadFor"] / 2) / rules["WarmAfter"]
        assert sent < rules["FallMultiple"] * limit * warm * rules["OverloadFor"] / 1000.0, end


@pytest.mark.parametrize("numbered, off, zones", [(True, 0.25, False), (False, 0.45, False), (True, 0.35, True)])
def test_hundreds_of_senders_that_see_little_load_equal_receivers_alike_and_a_newcomer_at_once(numbered, off, zones):
    """300 modules, 12 equal receivers, 120 mails a second in all, calls of 200 ms; one more receiver after 20 s.
    With zones, senders stand evenly over three, the receivers don't."""
    dice, fleet, over, calls, came, now = random.Random(5), [], [], {}, {}, 1000.0
    for number in range(300):
        drawn = settings(fleet=300)
        drawn["Allowed"]["IdleClose"] = 15000.0
        if numbered:
            drawn["SlotNo"] = number
        if zones:
            drawn["Az"], drawn["Zones"] = number % 3, ["a", "b", "c"]
        fleet.append(Driver(drawn, receivers=12, seed=number))
        for receiver in fleet[-1].destination.receivers if zones else ():
            receiver.zone = (0, 0, 1, 1, 1, 1)[receiver.ident % 6]  # 4 and 8, and none in the third
    while now < 41000.0:
        now += dice.expovariate(0.12)
        while over and over[0][0] <= now:
            at, number, mail = heapq.heappop(over)
            fleet[number].now = at
            fleet[number].outcome(mail, model.DELIVERED, 200.0, run=False)
        d = fleet[number := dice.randrange(300)]
        d.now = now
        if now > 21000.0 and len(d.destination.receivers) == 12:
            model.Receiver(99, d.destination)
        receiver = d.sent(mail := d.mail())
        counts = calls if now < 21000.0 else came
        counts[receiver.ident] = counts.get(receiver.ident, 0) + 1
        heapq.heappush(over, (now + 200.0, number, mail))
    for counts, places in ((calls, 12), (came, 13)):
        share = sum(counts.values()) / places
        assert len(counts) == places
        assert max(counts.values()) < (1.0 + off) * share and min(counts.values()) > (1.0 - off) * share
