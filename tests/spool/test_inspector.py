"""The journal inspector: it shows the state that a start would restore, and modifies nothing."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dewpin.spool import codec
from dewpin.spool.folder_lock import FolderLock, is_locked
from dewpin.spool.inspector import JournalInspector, describe_state
from dewpin.spool.journal import Journal
from dewpin.spool.records import MessageRecord, PendingNotice


def write_journal(folder, messages=20):
    journal = Journal(folder, 1e6)
    for number in range(messages):
        journal.accept(
            MessageRecord(b"m%d" % number, b"notice", b"acme", b"", b"7", b"t", b"x" * 50, float(number), 1e12)
        )
    first, second, third, fourth = list(journal.pending.values())[:4]
    for message in (first, second, third, fourth):
        journal.start_attempt(message, b"r0", 5.0)
    journal.finish_attempt(second, False)
    journal.finish_attempt(third, True)
    journal.give_up(third, PendingNotice(True, 30.0))
    journal.finish_attempt(fourth, True)
    journal.finish(fourth)
    return journal


def test_each_message_is_shown_as_a_start_would_find_it(tmp_path):
    write_journal(tmp_path)
    before = (tmp_path / "journal").read_bytes()
    inspector = JournalInspector(tmp_path)
    assert [describe_state(message) for message in inspector.pending()[:4]] == [
        "connect out",
        "not run",
        "deferred, notice owed",
        "not sent",
    ]
    assert len(inspector.pending()) == 19
    assert inspector.replay.finished_ids == [b"m3"] and not inspector.damaged_regions
    assert [record.label for record in inspector.records_of(3)] == ["taken", "connect", "given up"]
    assert inspector.records_of(1)[1].fields == {"sent": 5.0, "receiver": b"r0"}
    assert (tmp_path / "journal").read_bytes() == before and inspector.is_sender_running is False
    reopened = Journal(tmp_path, 1e6)
    assert [one.message_id for one in reopened.pending.values()] == [one.message_id for one in inspector.pending()]


@pytest.mark.parametrize("seed", range(8))
def test_torn_and_corrupt_records_are_shown_with_offset_and_records_after_them(tmp_path, seed):
    rng = random.Random(seed)
    write_journal(tmp_path)
    content = bytearray((tmp_path / "journal").read_bytes())
    offsets, offset = [], 0
    while offset < len(content):
        offsets.append(offset)
        offset = codec.read_frame(bytes(content), offset).end_offset
    damaged = rng.randrange(2, len(offsets) - 3)
    content[offsets[damaged] + 9 + rng.randrange(5)] ^= 1 << rng.randrange(8)
    length = offsets[-1] + rng.randrange(1, len(content) - offsets[-1])
    (tmp_path / "journal").write_bytes(content[:length])
    inspector = JournalInspector(tmp_path)
    assert [region.offset for region in inspector.damaged_regions] == [offsets[damaged], offsets[-1]]
    assert "corrupt" in inspector.damaged_regions[0].reason and "torn" in inspector.damaged_regions[1].reason
    assert inspector.damaged_regions[0].records_after == len(offsets) - 2 - damaged
    assert inspector.readable_bytes == offsets[damaged]
    assert len(Journal(tmp_path, 1e6).pending) == len(inspector.pending())


@given(st.binary(max_size=300), st.integers(0, 2000))
def test_inspector_reads_a_file_with_arbitrary_bytes_to_its_end(tmp_path_factory, noise, at):
    folder = tmp_path_factory.mktemp("noise")
    write_journal(folder, 5)
    content = (folder / "journal").read_bytes()
    (folder / "journal").write_bytes(content[:at] + noise + content[at:])
    inspector = JournalInspector(folder)
    assert sum(region.size_bytes for region in inspector.damaged_regions) <= len(noise) + len(content)
    assert inspector.readable_bytes <= len(inspector.content)
    for message in inspector.pending():
        inspector.records_of(message.serial)


def test_folder_lock_admits_one_sender_and_ends_with_its_release(tmp_path):
    first = FolderLock.acquire(tmp_path)
    assert is_locked(tmp_path) is True
    with pytest.raises(OSError, match="another sender holds"):
        FolderLock.acquire(tmp_path)
    first.release()
    assert is_locked(tmp_path) is False and is_locked(tmp_path / "none") is None
    FolderLock.acquire(tmp_path).release()
