"""Looking at a journal: what is told of it is what a start would take up, and nothing changes by it."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as some

from dewpin.spool import records
from dewpin.spool.journal import Spool
from dewpin.spool.lock import held, hold
from dewpin.spool.look import Look, state
from dewpin.spool.records import Sheet


def fill(folder, mails=20):
    spool = Spool(folder, 1e6)
    for at in range(mails):
        spool.take(Sheet(b"m%d" % at, b"notice", b"acme", b"", b"7", b"t", b"x" * 50, float(at), 1e12))
    one, two, three, four = list(spool.sheets.values())[:4]
    for sheet in (one, two, three, four):
        spool.connect(sheet, b"r0", 5.0)
    spool.settle(two, False)
    spool.settle(three, True)
    spool.give_up(three, True, 30.0)
    spool.settle(four, True)
    spool.end(four)
    return spool


def test_each_mail_is_told_of_as_a_start_would_find_it(tmp_path):
    fill(tmp_path)
    before = (tmp_path / "journal").read_bytes()
    look = Look(tmp_path)
    assert [state(sheet) for sheet in look.sheets()[:4]] == [
        "connect out",
        "not run",
        "deferred, notice owed",
        "not sent",
    ]
    assert len(look.sheets()) == 19 and look.replay.past == [b"m3"] and not look.damages
    assert [kind for _, kind, _ in look.course(3)] == ["taken", "connect", "given up"]
    assert look.course(1)[1][2] == {"sent": 5.0, "receiver": b"r0"}
    assert (tmp_path / "journal").read_bytes() == before and look.held is False
    taken_up = Spool(tmp_path, 1e6)
    assert [sheet.ident for sheet in taken_up.sheets.values()] == [sheet.ident for sheet in look.sheets()]


@pytest.mark.parametrize("seed", range(8))
def test_torn_and_corrupt_records_are_told_with_their_offset_and_what_stands_behind(tmp_path, seed):
    dice = random.Random(seed)
    fill(tmp_path)
    content = bytearray((tmp_path / "journal").read_bytes())
    places, at = [], 0
    while at < len(content):
        places.append(at)
        at = records.read(bytes(content), at)[1]
    hit = dice.randrange(2, len(places) - 3)
    content[places[hit] + 9 + dice.randrange(5)] ^= 1 << dice.randrange(8)
    cut = places[-1] + dice.randrange(1, len(content) - places[-1])
    (tmp_path / "journal").write_bytes(content[:cut])
    look = Look(tmp_path)
    assert [damage.offset for damage in look.damages] == [places[hit], places[-1]]
    assert "corrupt" in look.damages[0].why and "torn" in look.damages[1].why
    assert look.damages[0].behind == len(places) - 2 - hit and look.end == places[hit]
    assert len(Spool(tmp_path, 1e6).sheets) == len(look.sheets())


@given(some.binary(max_size=300), some.integers(0, 2000))
def test_whatever_lies_in_the_file_is_looked_at_to_its_end(tmp_path_factory, noise, at):
    folder = tmp_path_factory.mktemp("noise")
    fill(folder, 5)
    content = (folder / "journal").read_bytes()
    (folder / "journal").write_bytes(content[:at] + noise + content[at:])
    look = Look(folder)
    assert sum(damage.size for damage in look.damages) <= len(noise) + len(content)
    assert look.end <= len(look.content)
    for sheet in look.sheets():
        look.course(sheet.serial)


def test_one_sender_to_a_folder_and_a_mark_that_a_killed_one_does_not_leave(tmp_path):
    first = hold(tmp_path)
    assert held(tmp_path) is True
    with pytest.raises(OSError, match="another sender holds"):
        hold(tmp_path)
    first.release()
    assert held(tmp_path) is False and held(tmp_path / "none") is None
    hold(tmp_path).release()
