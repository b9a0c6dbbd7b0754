"""Time for which a lease has no holder: the protocol on a simulated clock, with message delays."""

import heapq
import random
from itertools import count

import pytest

from dewpin.peers.lease_candidate import LeaseCandidate
from dewpin.peers.lease_voter import LeaseVoter

NAMES, VOTERS, TERM_MS, TICK_MS = "abcde", "abc", 800.0, 20.0


def takeover_gaps(seed, lag, deaf, times=5):
    """Returns the gaps in ms between one holder and the next.

    A holder stops without a release; with `deaf` it continues and receives nothing more."""
    rng, order, now, gaps, since, holder = random.Random(seed), count(), 0.0, [], 0.0, None
    voters = {name: LeaseVoter(name, VOTERS, TERM_MS, -TERM_MS, {}) for name in VOTERS}
    candidates = {name: LeaseCandidate(name, at, len(NAMES), "d", VOTERS, TERM_MS, at) for at, name in enumerate(NAMES)}
    due = [(rng.uniform(0.0, TICK_MS), next(order), name, None, None) for name in NAMES]
    isolated = set()
    while len(gaps) < times:
        now, _, name, peer, message = heapq.heappop(due)
        candidate, sent = candidates[name], []
        if peer is None:
            candidate.wants_lease = not isolated or deaf or name not in isolated
            sent = candidate.tick(now)
            heapq.heappush(due, (now + TICK_MS, next(order), name, None, None))
        else:
            if name in voters:
                sent = voters[name].receive(peer, message, now)
            sent = sent + candidate.receive(peer, message, now)
        for to, sent_message in sent:
            if to == name or not (deaf and to in isolated):
                delay = 0.0 if to == name else lag * rng.uniform(0.5, 1.5)
                heapq.heappush(due, (now + delay, next(order), to, name, sent_message))
        holders = [
            name for name in NAMES if candidates[name].held_token(now) is not None and (deaf or name not in isolated)
        ]
        assert len(holders) <= 1
        if holders and holders[0] != holder:
            gaps.append(now - since)
            holder, since, isolated = holders[0], now, {holders[0]}
    return gaps[1:]


@pytest.mark.parametrize("deaf, lag", [(False, 1.0), (False, 120.0), (True, 1.0), (True, 120.0)])
def test_gap_between_holders_is_at_most_a_few_terms(deaf, lag):
    gaps = sorted(gap for seed in range(40) for gap in takeover_gaps(seed, lag, deaf))
    assert gaps[len(gaps) // 2] < 4.0 * TERM_MS and gaps[int(0.98 * len(gaps))] < 9.0 * TERM_MS, gaps[-5:]
