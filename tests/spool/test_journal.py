"""The journal, cut off anywhere and filled to its bound."""

import os
import random

import pytest

from dewpin.spool.journal import Spool
from dewpin.spool.records import Sheet

SIZE = 24000.0


def sheet(dice, number):
    tag, body = dice.randbytes(dice.randrange(40)), dice.randbytes(dice.choice((0, 30, 1500)))
    return Sheet(b"m%d" % number, b"notice", b"acme", b"k" * dice.randrange(3), b"7", tag, body, float(number), 1e12)


def facts(sheets, out_ran):
    """What must survive, by id, in the order of taking; a connect that is out at the end may have run."""
    kept = []
    for one in sheets.values():
        ran_at, ran_to = one.ran_at, one.ran_to
        if out_ran and one.out and ran_at is None:
            ran_to, ran_at = one.out
        kept.append((one.ident, one.tag, one.body, one.arrived, one.expires, one.tries, ran_at, ran_to, one.ending))
    return kept


def step(dice, spool, number):
    """One thing that a sender writes down."""
    held = [one for one in spool.sheets.values() if not one.ending]
    one = dice.choice(held) if held else None
    what = dice.random()
    if one is None or what < 0.25:
        return spool.take(sheet(dice, number))
    if one.out and what < 0.6:
        spool.settle(one, dice.random() < 0.5)
    elif one.out is None and what < 0.6:
        spool.connect(one, b"r%d" % dice.randrange(3), float(number))
    elif one.out is None and what < 0.75:
        spool.give_up(one, dice.random() < 0.5, float(number))
    elif what < 0.9:
        spool.end(dice.choice(list(spool.sheets.values())))
    else:
        spool.compact()


def on_disk(folder):
    return sum(-(-os.path.getsize(os.path.join(folder, name)) // 512) * 512 for name in os.listdir(folder))


@pytest.mark.parametrize("seed", range(12))
def test_the_journal_cut_off_anywhere_holds_what_was_written(tmp_path, seed):
    dice, spool, refused = random.Random(seed), Spool(tmp_path, SIZE), 0
    for number in range(300):
        before, size, file = facts(spool.sheets, True), spool.size, os.stat(tmp_path / "journal").st_ino
        refused += step(dice, spool, number) is False
        assert on_disk(tmp_path) <= SIZE - spool.live  # room for a second copy at any moment
        now = facts(spool.sheets, True)
        content = (tmp_path / "journal").read_bytes()
        assert len(content) == spool.size
        other = tmp_path.parent / f"{tmp_path.name}-killed"
        if file != os.stat(tmp_path / "journal").st_ino:
            size = len(content)  # written anew in one step: there is no half of that
        for cut in {len(content), dice.randint(size, len(content))}:
            other.mkdir(exist_ok=True)
            (other / "journal").write_bytes(content[:cut])
            (other / "journal.new").write_bytes(content[: dice.randrange(50)])  # a compaction that did not end
            again = Spool(other, SIZE)
            again.cut()
            assert facts(again.sheets, False) == (now if cut == len(content) else before)
            late = sheet(dice, 10**6)  # what is written behind a cut is read again
            if again.take(late):
                again.close()
                again = Spool(other, SIZE)
                assert [*again.sheets.values()][-1].ident == late.ident
            again.close()
    assert refused and spool.serial > 20
    spool.close()


def test_a_full_folder_refuses_before_it_takes_on_and_takes_on_again_later(tmp_path):
    dice, spool, taken = random.Random(1), Spool(tmp_path, 100000.0), []
    while spool.take(one := sheet(dice, len(taken))):
        taken.append(one)
    assert 5 < len(taken)
    for one in taken:  # all that may follow still has its place
        for at in range(30):
            assert spool.connect(one, b"receiver", float(at))
            spool.settle(one, False)
            assert on_disk(tmp_path) + spool.live <= 100000.0
        spool.give_up(one, True, 100.0)
    for one in taken:
        spool.end(one)
    assert spool.take(sheet(dice, 1)) and spool.live < 10000
    spool.close()
