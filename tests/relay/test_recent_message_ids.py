"""Ids of accepted messages are kept for the maximum lifetime of a message, in bounded memory."""

from dewpin.relay import recent_message_ids
from dewpin.relay.recent_message_ids import RecentMessageIds

LIFETIME_MS = 1000.0


def test_id_is_remembered_for_the_lifetime_and_forgotten_after_two_generations():
    ids = RecentMessageIds(LIFETIME_MS)
    ids.add(b"first", 1.0)
    ids.add(b"second", 1.0 + LIFETIME_MS)
    assert b"first" in ids and b"second" in ids
    ids.add(b"third", 2.0 + LIFETIME_MS)  # the next generation
    assert b"first" in ids and b"third" in ids
    ids.add(b"fourth", 3.0 + 2.0 * LIFETIME_MS)
    assert b"first" not in ids and b"third" in ids and b"fourth" in ids


def test_generation_ends_early_when_it_is_full(monkeypatch):
    monkeypatch.setattr(recent_message_ids, "MAX_IDS_PER_GENERATION", 3)
    ids = RecentMessageIds(LIFETIME_MS)
    for number in range(7):
        ids.add(b"m%d" % number, 1.0)
    assert [number for number in range(7) if b"m%d" % number in ids] == [3, 4, 5, 6]
