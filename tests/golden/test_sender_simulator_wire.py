"""A recorded day of the simulator's protocol: the program gives byte-for-byte the same replies."""

import lzma
import struct
from collections import Counter

import pytest
from golden.sender.simulated_day import SITES, read_actions, split_batches
from golden.sender_api import paths, simulator_program


def recorded(name):
    return lzma.decompress((paths.FOLDER / f"simulator-{name}.xz").read_bytes())


@pytest.fixture(scope="module")
def batches():
    return recorded("batches")


@pytest.fixture(scope="module")
def replies():
    return recorded("replies")


def test_replayed_day_gives_recorded_replies(batches, replies):
    actual = simulator_program.replies_to(batches)

    pairs = zip(split_batches(actual), split_batches(replies), strict=False)
    for number, (reply, expected) in enumerate(pairs):
        assert read_actions(reply) == read_actions(expected), f"the first different reply is {number}"
    assert actual == replies


def test_replayed_events_of_two_senders_give_their_recorded_actions(batches, replies):
    """Senders share no state: a sender decides the same without the events of the others."""
    senders = {3, 7}
    separate = simulator_program.replies_to(b"".join(events_of(senders, batch) for batch in split_batches(batches)))

    def actions(stream):
        return [[action for action in read_actions(reply) if action[1] in senders] for reply in split_batches(stream)]

    assert actions(separate) == actions(replies)


def test_recorded_day_covers_all_kinds_of_events_and_actions(batches, replies):
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
    """Return (code, bytes) of each event of a batch."""
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
    """Return the size in bytes of each event by code, with its counts and without the counted items."""
    return {10: 15, 20: 12, 30: 44, 40: 24, 50: 32, 60: 11, 70: 7, 80: 18, 90: 7, 100: 3, 110: 9}


def events_of(senders, batch):
    """Return the batch with the events of these senders and the lists, which all senders share."""
    records = [
        record
        for code, record in split_records(batch)
        if code == 110 or struct.unpack_from("<H", record, 1)[0] in senders
    ]
    (number, _, _, now), body = struct.unpack_from("<IIId", batch), b"".join(records)
    return struct.pack("<IIId", number, 12 + len(body), len(records), now) + body
