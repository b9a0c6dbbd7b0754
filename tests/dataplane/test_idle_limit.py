"""Idle limit of reused connections: its value, its reduction after stale connections, and its cost in new connects."""

import heapq
import random
import select
from types import SimpleNamespace

import pytest
from dataplane.peers import PATIENCE_S, ScriptedReceiver, close, full_response, receivers, rejection, reset
from dataplane.receiver_caller import Caller

from dewpin.cluster.receivers import Receiver
from dewpin.dataplane.upstream.connection_pool import ConnectionPool
from dewpin.dataplane.upstream.idle_limit import LOWERED_LIMIT_DURATION_S, MAX_IDLE_S, IdleLimit
from dewpin.dataplane.upstream.outcome import Outcome
from dewpin.dataplane.upstream.response_body import BodyEnd, BodyFraming

KEEP_ALIVE_S = 4.85
KEEP_ALIVE_FIELD = "Keep-Alive: timeout=5"


def test_idempotent_call_may_use_connection_for_its_whole_keep_alive():
    limit = IdleLimit()
    limit.record_stale_connection(0.4, 0.0)
    assert limit.allows(KEEP_ALIVE_S - 0.01, KEEP_ALIVE_S, True, 1.0)
    assert not limit.allows(KEEP_ALIVE_S, KEEP_ALIVE_S, True, 1.0)


@pytest.mark.parametrize(("keep_alive_s", "longest_s"), [(KEEP_ALIVE_S, MAX_IDLE_S), (1.0, 0.85), (0.5, 0.425)])
def test_non_idempotent_call_uses_only_recently_used_connection(keep_alive_s, longest_s):
    limit = IdleLimit()
    assert limit.allows(longest_s - 0.01, keep_alive_s, False, 0.0)
    assert not limit.allows(longest_s, keep_alive_s, False, 0.0)


def test_stale_connection_lowers_limit_for_a_while():
    limit = IdleLimit()
    limit.record_stale_connection(1.2, 0.0)
    limit.record_stale_connection(3.0, 1.0)
    assert limit.max_idle_s(2.0) == pytest.approx(0.6)
    assert not limit.allows(0.7, KEEP_ALIVE_S, False, 2.0)
    assert limit.max_idle_s(1.0 + LOWERED_LIMIT_DURATION_S) == MAX_IDLE_S


@pytest.mark.parametrize("is_idempotent", [True, False])
@pytest.mark.parametrize("ending", [reset, close])
def test_reused_connection_that_ends_at_once_lowers_limit_of_its_service(ending, is_idempotent, monkeypatch):
    monkeypatch.setattr("dewpin.dataplane.upstream.connection_pool.STALE_RESET_WITHIN_S", PATIENCE_S)
    call = Caller()
    keep_alive_response = full_response(b"", "200 OK", KEEP_ALIVE_FIELD)
    dropping, other = (
        ScriptedReceiver(keep_alive_response, ending, keep_alive_response, id="i-1"),
        ScriptedReceiver(keep_alive_response, id="i-2"),
    )
    with receivers(dropping, other) as (first, second):
        call(first)
        call(second)
        call.clock.offset_s += 1.0
        assert (call(first, is_idempotent=is_idempotent).outcome is Outcome.SUCCESS) == is_idempotent
        assert call(second, is_idempotent=False).outcome is Outcome.SUCCESS
    call.receiver_client.close()
    assert len(dropping.requests) == (3 if is_idempotent else 2)
    assert other.connections == 2


def test_reused_connection_that_ends_later_keeps_limit_and_ends_call(monkeypatch):
    monkeypatch.setattr("dewpin.dataplane.upstream.connection_pool.STALE_RESET_WITHIN_S", -1.0)
    call = Caller()
    peer = ScriptedReceiver(full_response(b"", "200 OK", KEEP_ALIVE_FIELD), reset)
    with receivers(peer) as (receiver,):
        call(receiver)
        call.clock.offset_s += 1.0
        assert call(receiver).outcome is Outcome.RESET
        limit = call.receiver_client._pool_of(receiver)._idle_limit
        assert limit.max_idle_s(call.clock()) == MAX_IDLE_S
    call.receiver_client.close()
    assert len(peer.requests) == 2


@pytest.mark.parametrize("then", ["rejects", "is gone"])
def test_call_repeated_on_new_connection_without_effect_may_have_been_executed_before(then, monkeypatch):
    monkeypatch.setattr("dewpin.dataplane.upstream.connection_pool.STALE_RESET_WITHIN_S", PATIENCE_S)

    def reset_and_close(connection, received):
        if then == "is gone":
            peer.close()
        return reset(connection, received)

    call = Caller()
    peer = ScriptedReceiver(full_response(b"", "200 OK", KEEP_ALIVE_FIELD), reset_and_close, rejection())
    call(peer.receiver)
    result = call(peer.receiver)
    assert result.outcome is Outcome.RESET
    call.receiver_client.close()
    if then == "rejects":
        peer.close()


def test_connection_found_closed_before_use_keeps_limit():
    def respond_and_close(connection, received):
        full_response(b"", "200 OK", KEEP_ALIVE_FIELD)(connection, received)
        return True

    call = Caller()
    with receivers(ScriptedReceiver(respond_and_close)) as (receiver,):
        call(receiver)
        pool = call.receiver_client._pool_of(receiver)
        assert select.select([pool._idle[0].connection.sock], [], [], PATIENCE_S)[0]
        call.clock.offset_s += 1.0
        assert call(receiver, is_idempotent=False).outcome is Outcome.SUCCESS
        assert pool._idle_limit.max_idle_s(call.clock()) == MAX_IDLE_S
    call.receiver_client.close()


class CallSimulation:
    """Calls to the receivers of a service in simulated time; counts new connections and lost calls.

    A receiver announces a keep-alive time of 5 s but drops some connections earlier; the next call on them is reset.
    """

    def __init__(self, seed, calls_per_s, pairs, non_idempotent_share, drops_after_s):
        self.rng = random.Random(seed)
        self.limits = [IdleLimit() for _ in range(pairs[0])]
        self.idle = {}
        self.pairs = pairs
        self.calls_per_s = calls_per_s
        self.non_idempotent_share = non_idempotent_share
        self.drops_after_s = drops_after_s
        self.connects = self.lost = self.calls = 0

    def run(self, length_s, longest_s=None):
        now = 0.0
        while (now := now + self.rng.expovariate(self.calls_per_s)) < length_s:
            self._call(now, longest_s)
        return self

    def _call(self, now, longest_s):
        self.calls += 1
        sender, receiver = self.rng.randrange(self.pairs[0]), self.rng.randrange(self.pairs[1])
        is_idempotent = self.rng.random() >= self.non_idempotent_share
        idle_since, kept_until = self.idle.pop((sender, receiver), (None, 0.0))
        limit = self.limits[sender]
        is_usable = idle_since is not None and limit.allows(now - idle_since, KEEP_ALIVE_S, is_idempotent, now)
        if longest_s is not None and not is_idempotent and idle_since is not None:
            is_usable = now - idle_since < longest_s
        if not is_usable:
            self.connects += 1
        elif now >= kept_until:
            limit.record_stale_connection(now - idle_since, now)
            self.connects += 1
            self.lost += not is_idempotent
        self.idle[(sender, receiver)] = (now, now + self.rng.uniform(*self.drops_after_s))


SMALL_SITE = {"calls_per_s": 32.0, "pairs": (6, 4), "non_idempotent_share": 0.37}
LARGE_SITE = {"calls_per_s": 86.0, "pairs": (69, 10), "non_idempotent_share": 0.3}
AS_ANNOUNCED = (5.0, 5.0)
FROM_500_MS = (0.5, 5.0)
FROM_2_S = (2.0, 5.0)


def simulate(longest_s, site, drops_after_s):
    runs = [CallSimulation(seed, drops_after_s=drops_after_s, **site).run(34.0, longest_s) for seed in range(20)]
    return sum(result.connects for result in runs) / 20, sum(result.lost for result in runs) / 20


@pytest.mark.parametrize(
    ("site", "drops_after_s", "most_connects", "most_lost"),
    [
        (SMALL_SITE, FROM_500_MS, 2.5, 0.1),
        (SMALL_SITE, FROM_2_S, 2.0, 0.0),
        (SMALL_SITE, AS_ANNOUNCED, 2.1, 0.0),
        (LARGE_SITE, FROM_500_MS, 1.07, 0.15),
        (LARGE_SITE, FROM_2_S, 1.07, 0.0),
        (LARGE_SITE, AS_ANNOUNCED, 1.1, 0.0),
    ],
)
def test_limit_saves_calls_at_bounded_cost_in_connections(site, drops_after_s, most_connects, most_lost):
    """Both bounds are relative to a former limit, 0.85 of the announced keep-alive time."""
    before_connects, before_lost = simulate(0.85 * KEEP_ALIVE_S, site, drops_after_s)
    connects, lost = simulate(None, site, drops_after_s)
    print(f"connects {before_connects:.0f} -> {connects:.0f}, calls lost {before_lost:.1f} -> {lost:.1f}")
    assert connects <= most_connects * before_connects
    assert lost <= most_lost * before_lost


class ManualClock:
    """A clock that the test sets, in seconds."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


class IdleConnection:
    """A stand-in for a connection; `dropped_at` is the time at which its receiver drops it without notice."""

    is_connected = True

    def __init__(self):
        self.idle_s = self.dropped_at = 0.0
        self.closed = False

    def has_carried(self, request_id):
        return False

    def is_reusable(self, framing):
        return True

    def end_call(self):
        pass

    def close(self):
        self.closed = True


class ReceiverPool:
    """The pool of one sender for a receiver that announces a keep-alive time of 5 s, with a manual clock."""

    response = SimpleNamespace(headers={"keep-alive": "timeout=5"})

    def __init__(self, clock, limit=None):
        receiver = Receiver("i-1", "engines", "10.0.0.1:80", "east", 4)
        self.pool = ConnectionPool(receiver, clock, limit or IdleLimit())

    def release(self, connection):
        self.pool.release(connection, self.response, BodyFraming(BodyEnd.LENGTH, 0))

    def acquire(self, is_idempotent):
        return self.pool.acquire_idle(is_idempotent)


def pool_with_two_idle_connections(clock, limit=None):
    """Return a pool and its older and newer connections, idle for 3 s and 0.5 s."""
    receiver_pool, older, newer = ReceiverPool(clock, limit), IdleConnection(), IdleConnection()
    receiver_pool.release(older)
    clock.now = 2.5
    receiver_pool.release(newer)
    clock.now = 3.0
    return receiver_pool, older, newer


def test_idempotent_call_takes_oldest_connection():
    receiver_pool, older, newer = pool_with_two_idle_connections(ManualClock())
    assert receiver_pool.acquire(is_idempotent=True) is older
    assert receiver_pool.acquire(is_idempotent=False) is newer


def test_non_idempotent_call_takes_newest_connection():
    receiver_pool, older, newer = pool_with_two_idle_connections(ManualClock())
    assert receiver_pool.acquire(is_idempotent=False) is newer
    assert not older.closed


def test_all_calls_take_newest_connection_while_limit_is_lowered():
    limit = IdleLimit()
    limit.record_stale_connection(1.2, 0.0)
    receiver_pool, _, newer = pool_with_two_idle_connections(ManualClock(), limit)
    assert receiver_pool.acquire(is_idempotent=True) is newer


def test_expired_connection_is_closed_and_skipped():
    clock = ManualClock()
    receiver_pool, older, newer = pool_with_two_idle_connections(clock)
    clock.now = KEEP_ALIVE_S
    assert receiver_pool.acquire(is_idempotent=True) is newer
    assert older.closed


class BurstSimulation:
    """Bursts of overlapping calls on a `ConnectionPool`, from senders that each prefer one receiver."""

    def __init__(self, seed, drops_after_s):
        self.rng = random.Random(seed)
        self.clock = ManualClock()
        limits = [IdleLimit() for _ in range(8)]
        self.pools = [[ReceiverPool(self.clock, limits[sender]) for _ in range(4)] for sender in range(8)]
        self.limits = limits
        self.drops_after_s = drops_after_s
        self.pending_ends = []
        self.connects = self.lost = self.calls = 0

    def run(self, length_s):
        while self.clock.now < length_s:
            rate = 235.0 if self.clock.now % 10 < 3 else 56.0
            self.clock.now += self.rng.expovariate(rate)
            self._end_calls()
            self._call()
        return self

    def _call(self):
        sender = self.rng.randrange(8)
        weights = [5 if receiver == sender % 4 else 1 for receiver in range(4)]
        receiver_pool = self.rng.choices(self.pools[sender], weights)[0]
        is_idempotent = self.rng.random() >= 0.37
        connection = receiver_pool.acquire(is_idempotent)
        self.calls += 1
        if connection is not None and self.clock.now >= connection.dropped_at:
            self.limits[sender].record_stale_connection(connection.idle_s, self.clock.now)
            self.lost += not is_idempotent
            connection = None
        if connection is None:
            self.connects += 1
            connection = IdleConnection()
        ends_at = self.clock.now + self.rng.uniform(0.02, 1.0)
        heapq.heappush(self.pending_ends, (ends_at, self.calls, receiver_pool, connection))

    def _end_calls(self):
        now = self.clock.now
        while self.pending_ends and self.pending_ends[0][0] <= now:
            self.clock.now, _, receiver_pool, connection = heapq.heappop(self.pending_ends)
            connection.dropped_at = self.clock.now + self.rng.uniform(*self.drops_after_s)
            receiver_pool.release(connection)
        self.clock.now = now


@pytest.mark.parametrize(
    ("drops_after_s", "most_connects", "most_lost"), [(AS_ANNOUNCED, 0.12, 0), (FROM_500_MS, 0.29, 5)]
)
def test_idempotent_calls_avoid_connects_while_receivers_honour_keep_alive(drops_after_s, most_connects, most_lost):
    """Bounds new connections per call, which are 0.17 and 0.27 if all calls take the newest connection."""
    runs = [BurstSimulation(seed, drops_after_s).run(50.0) for seed in range(3)]
    connects, lost = sum(result.connects for result in runs), sum(result.lost for result in runs)
    print(f"{connects} connects and {lost} lost of {sum(result.calls for result in runs)} calls")
    assert connects <= most_connects * sum(result.calls for result in runs)
    assert lost <= 3 * most_lost
