"""The journal, truncated at arbitrary offsets and filled to its capacity."""

import os
import random

import pytest

from dewpin.spool.journal import Journal
from dewpin.spool.records import MessageRecord, PendingNotice

DISK_BYTES = 24000.0


def new_message(rng, number):
    idempotency_key = rng.randbytes(rng.randrange(40))
    body = rng.randbytes(rng.choice((0, 30, 1500)))
    ordering_key = b"k" * rng.randrange(3)
    return MessageRecord(
        b"m%d" % number, b"notice", b"acme", ordering_key, b"7", idempotency_key, body, float(number), 1e12
    )


def persistent_state(messages, in_flight_may_have_executed):
    """Returns the state of each message that a restart must preserve, in order of acceptance."""
    states = []
    for message in messages.values():
        possibly_executed = message.possibly_executed
        if in_flight_may_have_executed and message.in_flight and possibly_executed is None:
            possibly_executed = message.in_flight
        states.append(
            (
                message.message_id,
                message.idempotency_key,
                message.body,
                message.arrived_at_ms,
                message.expires_at_ms,
                message.attempts,
                possibly_executed,
                message.pending_notice,
            )
        )
    return states


def record_random_change(rng, journal, number):
    """Makes a random change of the kinds that a sender records."""
    candidates = [message for message in journal.pending.values() if not message.pending_notice]
    message = rng.choice(candidates) if candidates else None
    draw = rng.random()
    if message is None or draw < 0.25:
        return journal.accept(new_message(rng, number))
    if message.in_flight and draw < 0.6:
        journal.finish_attempt(message, rng.random() < 0.5)
    elif message.in_flight is None and draw < 0.6:
        journal.start_attempt(message, b"r%d" % rng.randrange(3), float(number))
    elif message.in_flight is None and draw < 0.75:
        journal.give_up(message, PendingNotice(rng.random() < 0.5, float(number)))
    elif draw < 0.9:
        journal.finish(rng.choice(list(journal.pending.values())))
    else:
        journal.compact()


def bytes_on_disk(folder):
    return sum(-(-os.path.getsize(os.path.join(folder, name)) // 512) * 512 for name in os.listdir(folder))


@pytest.mark.parametrize("seed", range(12))
def test_truncated_journal_holds_every_complete_record(tmp_path, seed):
    rng, journal, rejected = random.Random(seed), Journal(tmp_path, DISK_BYTES), 0
    for number in range(300):
        before = persistent_state(journal.pending, True)
        size_bytes, inode = journal.size_bytes, os.stat(tmp_path / "journal").st_ino
        rejected += record_random_change(rng, journal, number) is False
        assert bytes_on_disk(tmp_path) <= DISK_BYTES - journal.live_bytes  # a compaction always has enough capacity
        after = persistent_state(journal.pending, True)
        content = (tmp_path / "journal").read_bytes()
        assert len(content) == journal.size_bytes
        killed_folder = tmp_path.parent / f"{tmp_path.name}-killed"
        if inode != os.stat(tmp_path / "journal").st_ino:
            size_bytes = len(content)  # a compaction replaces the file atomically
        for length in {len(content), rng.randint(size_bytes, len(content))}:
            killed_folder.mkdir(exist_ok=True)
            (killed_folder / "journal").write_bytes(content[:length])
            (killed_folder / "journal.new").write_bytes(content[: rng.randrange(50)])  # an interrupted compaction
            reopened = Journal(killed_folder, DISK_BYTES)
            reopened.assume_attempts_executed()
            assert persistent_state(reopened.pending, False) == (after if length == len(content) else before)
            late_message = new_message(rng, 10**6)  # a record written after a truncation is read at the next start
            if reopened.accept(late_message):
                reopened.close()
                reopened = Journal(killed_folder, DISK_BYTES)
                assert [*reopened.pending.values()][-1].message_id == late_message.message_id
            reopened.close()
    assert rejected and journal.last_serial > 20
    journal.close()


def test_full_journal_rejects_messages_and_accepts_again_once_others_are_finished(tmp_path):
    rng, journal, accepted = random.Random(1), Journal(tmp_path, 100000.0), []
    while journal.accept(message := new_message(rng, len(accepted))):
        accepted.append(message)
    assert 5 < len(accepted)
    for message in accepted:  # capacity is reserved for all later records of these messages
        for at in range(30):
            assert journal.start_attempt(message, b"receiver", float(at))
            journal.finish_attempt(message, False)
            assert bytes_on_disk(tmp_path) + journal.live_bytes <= 100000.0
        journal.give_up(message, PendingNotice(True, 100.0))
    for message in accepted:
        journal.finish(message)
    assert journal.accept(new_message(rng, 1)) and journal.live_bytes < 10000
    journal.close()
