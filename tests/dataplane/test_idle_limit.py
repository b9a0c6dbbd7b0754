"""How long a connection may be idle for a call, and what an early end teaches; what new connections that costs."""

import random
import select

import pytest
from dataplane.peers import PATIENCE_S, ScriptedReceiver, close, receivers, refusal, reset, whole
from dataplane.test_upstream import Caller

from dewpin.dataplane.idle_limit import EARLY_END_MEMORY_S, LONGEST_UNREPEATABLE_IDLE_S, IdleLimit
from dewpin.dataplane.outcome import Outcome

KEPT_S = 4.85
TOLD = "Keep-Alive: timeout=5"


def test_what_may_be_repeated_uses_a_connection_as_long_as_it_is_kept():
    limit = IdleLimit()
    limit.count_forgotten(0.4, 0.0)
    assert limit.allows(KEPT_S - 0.01, KEPT_S, True, 1.0)
    assert not limit.allows(KEPT_S, KEPT_S, True, 1.0)


@pytest.mark.parametrize(("kept_s", "longest_s"), [(KEPT_S, LONGEST_UNREPEATABLE_IDLE_S), (1.0, 0.85), (0.5, 0.425)])
def test_what_must_not_be_repeated_uses_only_connections_used_lately(kept_s, longest_s):
    limit = IdleLimit()
    assert limit.allows(longest_s - 0.01, kept_s, False, 0.0)
    assert not limit.allows(longest_s, kept_s, False, 0.0)


def test_an_early_end_halves_the_limit_until_it_is_forgotten():
    limit = IdleLimit()
    limit.count_forgotten(1.2, 0.0)
    limit.count_forgotten(3.0, 1.0)
    assert limit.unrepeatable_idle_s(2.0) == pytest.approx(0.6)
    assert not limit.allows(0.7, KEPT_S, False, 2.0)
    assert limit.unrepeatable_idle_s(1.0 + EARLY_END_MEMORY_S) == LONGEST_UNREPEATABLE_IDLE_S


@pytest.mark.parametrize("repeatable", [True, False])
@pytest.mark.parametrize("ending", [reset, close])
def test_a_used_connection_that_ends_at_once_teaches_the_limit_of_its_service(ending, repeatable, monkeypatch):
    monkeypatch.setattr("dewpin.dataplane.receiver_connections.FORGOTTEN_WITHIN_S", PATIENCE_S)
    call = Caller()
    told = whole(b"", "200 OK", TOLD)
    forgetful, other = ScriptedReceiver(told, ending, told, id="i-1"), ScriptedReceiver(told, id="i-2")
    with receivers(forgetful, other) as (first, second):
        call(first)
        call(second)
        call.clock.ahead_s += 1.0
        assert (call(first, repeatable=repeatable).outcome is Outcome.SUCCESS) == repeatable
        assert call(second, repeatable=False).outcome is Outcome.SUCCESS
    call.upstream.close()
    assert len(forgetful.requests) == (3 if repeatable else 2)
    assert other.connections == 2


def test_a_used_connection_that_ends_later_teaches_nothing_and_the_call_ends(monkeypatch):
    monkeypatch.setattr("dewpin.dataplane.receiver_connections.FORGOTTEN_WITHIN_S", -1.0)
    call = Caller()
    peer = ScriptedReceiver(whole(b"", "200 OK", TOLD), reset)
    with receivers(peer) as (receiver,):
        call(receiver)
        call.clock.ahead_s += 1.0
        assert call(receiver).outcome is Outcome.RESET
        limit = call.upstream._connections_to(receiver)._idle_limit
        assert limit.unrepeatable_idle_s(call.clock()) == LONGEST_UNREPEATABLE_IDLE_S
    call.upstream.close()
    assert len(peer.requests) == 2


@pytest.mark.parametrize("then", ["refuses", "is gone"])
def test_a_call_that_goes_on_anew_and_surely_does_not_run_there_may_have_run_before(then, monkeypatch):
    monkeypatch.setattr("dewpin.dataplane.receiver_connections.FORGOTTEN_WITHIN_S", PATIENCE_S)

    def reset_and_go(connection, got):
        if then == "is gone":
            peer.close()
        return reset(connection, got)

    call = Caller()
    peer = ScriptedReceiver(whole(b"", "200 OK", TOLD), reset_and_go, refusal())
    call(peer.receiver)
    result = call(peer.receiver)
    assert result.outcome is Outcome.RESET
    call.upstream.close()
    if then == "refuses":
        peer.close()


def test_a_connection_found_closed_before_its_use_teaches_nothing():
    def answer_and_close(connection, got):
        whole(b"", "200 OK", TOLD)(connection, got)
        return True

    call = Caller()
    with receivers(ScriptedReceiver(answer_and_close)) as (receiver,):
        call(receiver)
        connections = call.upstream._connections_to(receiver)
        assert select.select([connections._idle[0].connection.sock], [], [], PATIENCE_S)[0]
        call.clock.ahead_s += 1.0
        assert call(receiver, repeatable=False).outcome is Outcome.SUCCESS
        assert connections._idle_limit.unrepeatable_idle_s(call.clock()) == LONGEST_UNREPEATABLE_IDLE_S
    call.upstream.close()


class Day:
    """Calls to the receivers of a service in simulated time: counts new connections and calls lost for good.

    A receiver says that it keeps a connection for 5 s and forgets some sooner; a call finds that out by a reset.
    """

    def __init__(self, seed, calls_per_s, pairs, unrepeatable_share, forgets_after_s):
        self.rng = random.Random(seed)
        self.limits = [IdleLimit() for _ in range(pairs[0])]
        self.idle = {}
        self.pairs = pairs
        self.calls_per_s = calls_per_s
        self.unrepeatable_share = unrepeatable_share
        self.forgets_after_s = forgets_after_s
        self.connects = self.lost = self.calls = 0

    def run(self, length_s, longest_s=None):
        now = 0.0
        while (now := now + self.rng.expovariate(self.calls_per_s)) < length_s:
            self._call(now, longest_s)
        return self

    def _call(self, now, longest_s):
        self.calls += 1
        front, receiver = self.rng.randrange(self.pairs[0]), self.rng.randrange(self.pairs[1])
        repeatable = self.rng.random() >= self.unrepeatable_share
        since, kept_until = self.idle.pop((front, receiver), (None, 0.0))
        limit = self.limits[front]
        usable = since is not None and limit.allows(now - since, KEPT_S, repeatable, now)
        if longest_s is not None and not repeatable and since is not None:
            usable = now - since < longest_s
        if not usable:
            self.connects += 1
        elif now >= kept_until:
            limit.count_forgotten(now - since, now)
            self.connects += 1
            self.lost += not repeatable
        self.idle[(front, receiver)] = (now, now + self.rng.uniform(*self.forgets_after_s))


SMALL = {"calls_per_s": 32.0, "pairs": (6, 4), "unrepeatable_share": 0.37}
GROWN = {"calls_per_s": 86.0, "pairs": (69, 10), "unrepeatable_share": 0.3}
TRUE_WORD = (5.0, 5.0)
EARLY = (0.5, 5.0)
LATER = (2.0, 5.0)


def days(longest_s, site, forgets_after_s):
    made = [Day(seed, forgets_after_s=forgets_after_s, **site).run(34.0, longest_s) for seed in range(20)]
    return sum(day.connects for day in made) / 20, sum(day.lost for day in made) / 20


@pytest.mark.parametrize(
    ("site", "forgets_after_s", "most_connects", "most_lost"),
    [
        (SMALL, EARLY, 2.5, 0.1),
        (SMALL, LATER, 2.0, 0.0),
        (SMALL, TRUE_WORD, 2.1, 0.0),
        (GROWN, EARLY, 1.07, 0.15),
        (GROWN, LATER, 1.07, 0.0),
        (GROWN, TRUE_WORD, 1.1, 0.0),
    ],
)
def test_the_limit_saves_calls_at_a_bounded_price_in_connections(site, forgets_after_s, most_connects, most_lost):
    """Both bounds are shares of what the limit of before gave, which was 0.85 of the time told."""
    before_connects, before_lost = days(0.85 * KEPT_S, site, forgets_after_s)
    connects, lost = days(None, site, forgets_after_s)
    print(f"connects {before_connects:.0f} -> {connects:.0f}, calls lost {before_lost:.1f} -> {lost:.1f}")
    assert connects <= most_connects * before_connects
    assert lost <= most_lost * before_lost
