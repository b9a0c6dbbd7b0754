"""A whole recorded day on the simulator's wire: the program gives the same replies to the byte."""

import lzma
import struct
from collections import Counter

import pytest
from golden import sender_api
from golden.sender.simulated_day import SITES, read_actions, split_batches


def recorded(name):
    return lzma.decompress((sender_api.FOLDER / f"simulator-{name}.xz").read_bytes())


@pytest.fixture(scope="module")
def batches():
    return recorded("batches")


@pytest.fixture(scope="module")
def replies():
    return recorded("replies")


def test_recorded_day_played_again_gives_the_same_replies(batches, replies):
    given = sender_api.replies_to(batches)

    pairs = zip(split_batches(given), split_batches(replies), strict=False)
    for number, (one, expected) in enumerate(pairs):
        assert read_actions(one) == read_actions(expected), f"the first reply that differs is {number}"
    assert given == replies


def test_recorded_day_of_two_senders_alone_gives_their_same_actions(batches, replies):
    """Senders share nothing: without the others' events each one decides the same."""
    senders = {3, 7}
    alone = sender_api.replies_to(b"".join(events_of(senders, batch) for batch in split_batches(batches)))

    def actions(stream):
        return [[action for action in read_actions(reply) if action[1] in senders] for reply in split_batches(stream)]

    assert actions(alone) == actions(replies)


def test_recorded_day_holds_events_and_actions_of_all_kinds(batches, replies):
    actions = Counter(name for reply in split_batches(replies) for name, *_ in read_actions(reply))
    assert set(actions) == {"attempt", "not_now", "end_failed", "defer", "close_idle", "die"}
    assert min(actions[name] for name in set(actions) - {"die"}) > 200
    events = Counter(code for batch in split_batches(batches) for code, _ in split_records(batch))
    assert set(events) == {10, 20, 30, 50, 60, 70, 80, 90, 100, 110}
    outcomes = Counter(
        struct.unpack_from("<H", record, 16)[0]
        for batch in split_batches(batches)
        for code, record in split_records(batch)
        if code == 50
    )
    assert set(outcomes) == {10, 20, 30, 40, 50, 60, 80} and min(outcomes.values()) > 20
    assert len(SITES) == 7


def split_records(batch):
    """(code, bytes) of each event of a batch."""
    at, records = 20, []
    while at < len(batch):
        code, size = batch[at], sizes()[batch[at]]
        if code == 10:
            size += struct.unpack_from("<I", batch, at + size - 4)[0]
        elif code == 110:
            size += 23 * struct.unpack_from("<I", batch, at + size - 4)[0]
        elif code in (50, 80):
            size += 4 * batch[at + size - 1]
        elif code == 90:
            size += struct.unpack_from("<H", batch, at + size - 2)[0]
        records.append((code, batch[at : at + size]))
        at += size
    return records


def sizes():
    """Bytes of each event, code and counts included, without what is counted."""
    return {10: 15, 20: 12, 30: 44, 40: 24, 50: 32, 60: 11, 70: 7, 80: 18, 90: 7, 100: 3, 110: 9}


def events_of(senders, batch):
    """The batch with the events of these senders only; lists travel for all."""
    records = [
        record
        for code, record in split_records(batch)
        if code == 110 or struct.unpack_from("<H", record, 1)[0] in senders
    ]
    (number, _, _, now), body = struct.unpack_from("<IIId", batch), b"".join(records)
    return struct.pack("<IIId", number, 12 + len(body), len(records), now) + body
