"""How long a lease stays without a holder: the protocol alone on a clock of the test's, with slow messages."""

import heapq
import random
from itertools import count

import pytest

from dewpin.peers.lease_candidate import LeaseCandidate
from dewpin.peers.lease_voter import LeaseVoter

NAMES, VOTERS, TERM_MS, TICK_MS = "abcde", "abc", 800.0, 20.0


def takeovers(seed, lag, deaf, times=5):
    """ms from the end of each holder to the next: it gives up without a word, or from then on hears nobody."""
    dice, order, now, gaps, since, holder = random.Random(seed), count(), 0.0, [], 0.0, None
    voters = {name: LeaseVoter(name, VOTERS, TERM_MS, -TERM_MS, {}) for name in VOTERS}
    all_of = {name: LeaseCandidate(name, at, len(NAMES), "d", VOTERS, TERM_MS, at) for at, name in enumerate(NAMES)}
    due = [(dice.uniform(0.0, TICK_MS), next(order), name, None, None) for name in NAMES]
    cut = set()
    while len(gaps) < times:
        now, _, name, peer, message = heapq.heappop(due)
        one, sent = all_of[name], []
        if peer is None:
            one.wants_lease = not cut or deaf or name not in cut
            sent = one.tick(now)
            heapq.heappush(due, (now + TICK_MS, next(order), name, None, None))
        else:
            if name in voters:
                sent = voters[name].receive(peer, message, now)
            sent = sent + one.receive(peer, message, now)
        for to, what in sent:
            if to == name or not (deaf and to in cut):
                after = 0.0 if to == name else lag * dice.uniform(0.5, 1.5)
                heapq.heappush(due, (now + after, next(order), to, name, what))
        holding = [name for name in NAMES if all_of[name].held_token(now) is not None and (deaf or name not in cut)]
        assert len(holding) <= 1
        if holding and holding[0] != holder:
            gaps.append(now - since)
            holder, since, cut = holding[0], now, {holding[0]}
    return gaps[1:]


@pytest.mark.parametrize("deaf, lag", [(False, 1.0), (False, 120.0), (True, 1.0), (True, 120.0)])
def test_lease_is_without_a_holder_for_few_terms(deaf, lag):
    gaps = sorted(gap for seed in range(40) for gap in takeovers(seed, lag, deaf))
    assert gaps[len(gaps) // 2] < 4.0 * TERM_MS and gaps[int(0.98 * len(gaps))] < 9.0 * TERM_MS, gaps[-5:]
