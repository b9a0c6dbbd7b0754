"""The journal, truncated anywhere and filled to its capacity."""

import os
import random

import pytest

from dewpin.spool.journal import Journal
from dewpin.spool.records import MessageRecord, PendingNotice

DISK_BYTES = 24000.0


def message(random_source, number):
    idempotency_key = random_source.randbytes(random_source.randrange(40))
    body = random_source.randbytes(random_source.choice((0, 30, 1500)))
    ordering_key = b"k" * random_source.randrange(3)
    return MessageRecord(
        b"m%d" % number, b"notice", b"acme", ordering_key, b"7", idempotency_key, body, float(number), 1e12
    )


def lasting_facts(messages, in_flight_may_have_executed):
    """What must survive of each message, in order of acceptance; an attempt in flight may have been executed."""
    facts = []
    for one in messages.values():
        possibly_executed = one.possibly_executed
        if in_flight_may_have_executed and one.in_flight and possibly_executed is None:
            possibly_executed = one.in_flight
        facts.append(
            (
                one.message_id,
                one.idempotency_key,
                one.body,
                one.arrived_at_ms,
                one.expires_at_ms,
                one.attempts,
                possibly_executed,
                one.pending_notice,
            )
        )
    return facts


def random_step(random_source, journal, number):
    """One thing that a sender records."""
    candidates = [one for one in journal.pending.values() if not one.pending_notice]
    one = random_source.choice(candidates) if candidates else None
    chance = random_source.random()
    if one is None or chance < 0.25:
        return journal.accept(message(random_source, number))
    if one.in_flight and chance < 0.6:
        journal.finish_attempt(one, random_source.random() < 0.5)
    elif one.in_flight is None and chance < 0.6:
        journal.start_attempt(one, b"r%d" % random_source.randrange(3), float(number))
    elif one.in_flight is None and chance < 0.75:
        journal.give_up(one, PendingNotice(random_source.random() < 0.5, float(number)))
    elif chance < 0.9:
        journal.finish(random_source.choice(list(journal.pending.values())))
    else:
        journal.compact()


def bytes_on_disk(folder):
    return sum(-(-os.path.getsize(os.path.join(folder, name)) // 512) * 512 for name in os.listdir(folder))


@pytest.mark.parametrize("seed", range(12))
def test_truncated_journal_holds_every_complete_record(tmp_path, seed):
    random_source, journal, rejected = random.Random(seed), Journal(tmp_path, DISK_BYTES), 0
    for number in range(300):
        before = lasting_facts(journal.pending, True)
        size_bytes, inode = journal.size_bytes, os.stat(tmp_path / "journal").st_ino
        rejected += random_step(random_source, journal, number) is False
        assert bytes_on_disk(tmp_path) <= DISK_BYTES - journal.live_bytes  # capacity for a compaction at any moment
        after = lasting_facts(journal.pending, True)
        content = (tmp_path / "journal").read_bytes()
        assert len(content) == journal.size_bytes
        killed = tmp_path.parent / f"{tmp_path.name}-killed"
        if inode != os.stat(tmp_path / "journal").st_ino:
            size_bytes = len(content)  # a compaction replaces the file in one step: there is no half of it
        for length in {len(content), random_source.randint(size_bytes, len(content))}:
            killed.mkdir(exist_ok=True)
            (killed / "journal").write_bytes(content[:length])
            (killed / "journal.new").write_bytes(content[: random_source.randrange(50)])  # an unfinished compaction
            reopened = Journal(killed, DISK_BYTES)
            reopened.assume_attempts_executed()
            assert lasting_facts(reopened.pending, False) == (after if length == len(content) else before)
            late = message(random_source, 10**6)  # what is written behind a truncation is read again
            if reopened.accept(late):
                reopened.close()
                reopened = Journal(killed, DISK_BYTES)
                assert [*reopened.pending.values()][-1].message_id == late.message_id
            reopened.close()
    assert rejected and journal.last_serial > 20
    journal.close()


def test_full_journal_rejects_messages_and_accepts_again_once_others_are_finished(tmp_path):
    random_source, journal, accepted = random.Random(1), Journal(tmp_path, 100000.0), []
    while journal.accept(one := message(random_source, len(accepted))):
        accepted.append(one)
    assert 5 < len(accepted)
    for one in accepted:  # there is still capacity for all records that may follow
        for at in range(30):
            assert journal.start_attempt(one, b"receiver", float(at))
            journal.finish_attempt(one, False)
            assert bytes_on_disk(tmp_path) + journal.live_bytes <= 100000.0
        journal.give_up(one, PendingNotice(True, 100.0))
    for one in accepted:
        journal.finish(one)
    assert journal.accept(message(random_source, 1)) and journal.live_bytes < 10000
    journal.close()
