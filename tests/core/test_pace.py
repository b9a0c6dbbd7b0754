"""Plain cases of what is learnt: earlier lives, crashes and full tables, pace, limits, time-outs, costs."""

import sys

import pytest

from dewpin.core import model
from dewpin.core.receiver_health import is_on_trial
from driver import Driver, settings


@pytest.mark.parametrize(
    "effect, tries, ending",
    [
        ("unsafe", 1, model.Decision.BOUNCED),
        ("keyed", 1, None),
        ("safe", 1, None),
        ("safe", 6, model.Decision.DEFERRED),
    ],
)
def test_what_an_earlier_life_did_counts(effect, tries, ending):
    """A call was out when the sender was killed: only a repeat that is allowed and left may follow."""
    d = Driver(settings(effects=(effect,)))
    mail = d.mail(prior_attempts=model.PriorAttempts(tries, d.now - 700.0, d.destination.receivers[0]))
    assert d.ended.get(mail) == ending and (d.sent(mail) is None) == (ending is not None)


def refused_and_answered(driver, times, refused):
    """So many mails of which every `refused`-th finds no connection at once; what the last good answer closes."""
    for at in range(times):
        mail = driver.mail()
        driver.run_until(lambda mail=mail: driver.sent(mail), 5000.0)
        if refused and at % refused == 0:
            driver.outcome(mail, model.Outcome.CONNECT_FAILED, 2.0)
            driver.run_until(lambda mail=mail: driver.sent(mail), 20000.0)
        closes = driver.module.record_outcome(mail, model.Outcome.DELIVERED, driver.now).should_close_idle
        del driver.out[mail]
        driver.ended[mail] = model.Decision.RELAYED
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
        d.outcome(mail, model.Outcome.DELIVERED, 50.0)
    back, mail = d.now + down, d.mail()
    while d.now < back:
        if d.sent(mail):
            d.outcome(mail, model.Outcome.CONNECT_FAILED, 2.0)
        d.run_until(lambda: d.sent(mail), back - d.now)
    d.run_until(lambda: d.sent(mail), 20000.0)
    mail.duration_ms = 50.0
    result = d.module.record_outcome(mail, model.Outcome.DELIVERED, d.now + 50.0)
    assert result.decision == model.Decision.RELAYED and result.should_close_idle is full


@pytest.mark.parametrize("refused, idle, trials", [(0, 60000.0, True), (2, 60000.0, False), (0, 0.0, False)])
def test_two_refused_connections_in_a_row_set_a_sparse_line_aside_where_no_table_is_full(refused, idle, trials):
    """Of a line that sees little, and not where every second call of the kind finds a full table, or on a busy one."""
    d = Driver(settings(fleet=200), receivers=2)
    refused_and_answered(d, 20, refused)
    d.run(idle)
    mail = d.mail()
    for _ in range(2):
        d.run_until(lambda: d.sent(mail), 5000.0)
        assert d.outcome(mail, model.Outcome.CONNECT_FAILED, 2.0) == model.Decision.NOT_YET
    d.run_until(lambda: d.sent(mail), 4000.0)
    assert (d.sent(mail) is None) == trials
    assert all(is_on_trial(one) for one in d.destination.receivers) == trials


def test_a_refused_trial_of_a_sparse_line_is_followed_by_no_shorter_gap_than_a_good_one():
    gaps = []
    for seed in range(20):
        d = Driver(settings(fleet=200), seed=seed)
        mail, health = d.mail(), d.module.health_of(d.destination.receivers[0])
        for refusal in range(3):
            d.run_until(lambda d=d, mail=mail: d.sent(mail), 5000.0)
            d.outcome(mail, model.Outcome.CONNECT_FAILED, 2.0)
            if refusal == 1:
                health.slow_start.next_at = d.now  # the first trial is due
        gaps.append((health.slow_start.next_at - d.now) * health.slow_start.initial_rate / 1000.0)
    assert 0.8 <= min(gaps) and max(gaps) <= 1.4


def test_a_mail_that_waits_for_a_pace_keeps_no_connection_where_tables_are_full():
    drawn = settings(effects=("safe",))
    drawn["Allowed"]["IdleClose"] = 15000.0
    d = Driver(drawn)
    refused_and_answered(d, 20, 2)
    first = d.mail()
    d.run_until(lambda: d.sent(first), 20000.0)
    d.module.limits_of(d.sent(first)).retry_after_until = d.now + 5000.0
    first.duration_ms, second = 50.0, d.mail()
    assert not d.sent(second)
    assert d.module.record_outcome(first, model.Outcome.DELIVERED, d.now + 50.0).should_close_idle


@pytest.mark.parametrize("marked, again, age", [(False, False, 9000.0), (True, True, 9000.0), (True, False, 0.0)])
def test_a_repeat_counts_from_when_it_was_first_handed_in(marked, again, age):
    module = Driver(settings() | {"Callers": {"MarksRetry": marked}}).module
    left = module.settings.classes[0].lifetime_ms - 9000.0
    assert module.first_submitted_at(0, left, again, 20000.0) == 20000.0 - age


def test_a_mail_with_little_time_left_goes_before_those_that_came_earlier():
    d = Driver(settings(slots=1))
    first = d.mail()
    others = [d.mail() for _ in range(4)]
    hurried = d.mail(left=900.0)
    d.outcome(first, model.Outcome.DELIVERED, 100.0)
    assert d.sent(hurried) and not any(d.sent(mail) for mail in others)


def test_a_pace_whose_growth_met_a_limit_grows_more_slowly_the_next_time():
    def grows(goods=1, grown=0.9, told=0.0, every=1000.0):
        """Three refusals: what the third pace's growth takes, over the first one's."""
        d = Driver(settings(slots=20))
        d.keep_answering(20000.0, every, 20.0)
        receiver, spans = d.destination.receivers[0], []
        for _ in range(3):
            limits = d.module.limits_of(receiver)
            limits.retry_after_until = d.now + told
            d.module.rates.slow_down(receiver, limits, d.now)
            spans.append(limits.rate_limiter.growth_ms)
            limits.rate_limiter.growing_since, limits.rate_limiter.good_answers = d.now, goods
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
                d.outcome(mail, model.Outcome.REJECTED, 2.0)
            else:
                d.outcome(mail, model.Outcome.DELIVERED, 50.0)
        d.run(100.0)
    refused = sum(receiver is bad for _, _, receiver in d.sends)
    assert refused < 8 and d.module.limits_of(bad).rate_limiter is None
    assert list(d.ended.values()).count(model.Decision.RELAYED) > 35


def test_a_destination_over_its_limit_sets_a_pace_though_it_has_two_receivers():
    d = Driver(settings(), receivers=2)
    d.keep_answering(3000.0, 100.0, 20.0)
    for _ in range(1):  # with traffic spread thin over a fleet, one refusal is all that one sender sees
        mail = d.mail()
        d.run_until(lambda: d.sent(mail), 1000.0)
        d.outcome(mail, model.Outcome.REJECTED, 2.0)
    assert d.module.limits_of(d.destination.receivers[0]).rate_limiter


def test_a_learned_time_out_follows_the_usual_time_and_a_lone_silent_call_leaves_it_so():
    d = Driver(settings())
    d.keep_answering(4000.0, 100.0, 100.0)
    silent = d.mail()
    assert d.out[silent][2] <= 750.0  # six usual times, and no less than what counts as silent
    for _ in range(4):  # others are answered meanwhile
        d.outcome(d.mail(), model.Outcome.DELIVERED, 100.0)
    d.outcome(silent, model.Outcome.TIMED_OUT, 700.0)
    assert d.out[d.mail()][2] <= 750.0

    def doubled():
        return [limit for _, _, limit in d.out.values() if limit > 1300.0]

    for _ in range(4):  # nobody is answered: it may be slow
        for mail, (_, _, limit) in list(d.out.items()):
            d.outcome(mail, model.Outcome.TIMED_OUT, limit)
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
            d.outcome(d.mail(destination=place), model.Outcome.DELIVERED, 1.0)
        d.module.sender.calls_in_flight = d.settings["FamilyInfo"]["CallSlots"]  # none is free: the mail waits
        d.mail(ask=False)
        sys.setprofile(lambda frame, event, _: entered.append(event))
        try:
            d.module.next_due(d.now)
        finally:
            sys.setprofile(None)
        return len(entered)

    assert calls(300) == calls(3)
