"""The list that is kept in the folder: every prefix of the file is a list, and its size is bounded."""

import random

from dewpin.spool.kept import SHARE, Kept, entry, row


def listed(ident, state="ready"):
    return b"r%d" % ident, ident % 3, state, ("127.0.0.1", 9000 + ident), "a", "k", 1.0


def states(kept):
    return {one[0]: one[2] for one in kept.entries()}


def test_what_was_heard_is_there_at_the_next_start_wherever_the_file_was_cut(tmp_path):
    dice, kept, told, lengths = random.Random(4), Kept(tmp_path, "a:1", 3e6), {}, []
    file = tmp_path / "list"
    for revision in range(300):
        whole = revision % 70 == 0
        news = [listed(dice.randrange(20), dice.choice(("ready", "draining", "gone"))) for _ in range(2)]
        kept.learn(news, whole, revision, 0.0)
        told = ({} if whole else told) | {one[0]: one[2] for one in news}
        again = Kept(tmp_path, "a:1", 3e6)
        assert states(again) == told == states(kept) and again.revision == revision
        lengths.append(file.stat().st_size)
    assert max(lengths) < 3 * 20 * 60 + 2 * 2048
    content = file.read_bytes()
    file.write_bytes(content[:-1])  # killed while it wrote: as before that line
    cut = Kept(tmp_path, "a:1", 3e6)
    assert cut.revision in (None, 298) and not cut.newer(299)
    file.write_bytes(b"{]" + content)
    assert Kept(tmp_path, "a:1", 3e6).entries() == [] and not file.exists()
    assert entry(row(listed(5))) == listed(5)


def test_another_agent_counts_otherwise_and_what_drains_stays_so(tmp_path):
    kept = Kept(tmp_path, "a:1", 3e6)
    kept.learn([listed(1), listed(2, "draining")], True, 40, 0.0)
    assert kept.newer(39) and not kept.newer(40) and not kept.ended()
    other = Kept(tmp_path, "b:1", 3e6)
    assert not other.newer(0) and [one[0] for one in other.ended()] == [b"r2"]
    other.learn([listed(3)], False, 7, 0.0)  # without a whole list of its own there is nothing to add to
    assert Kept(tmp_path, "a:1", 3e6).newer(39)
    other.learn([listed(3)], True, 7, 0.0)
    assert states(Kept(tmp_path, "b:1", 3e6)) == {b"r3": "ready"}


def test_a_list_larger_than_its_share_of_the_disk_is_not_kept(tmp_path):
    kept, disk = Kept(tmp_path, "a:1", 2e5), 2e5
    for count in (10, 20, 200):
        kept.learn([listed(one) for one in range(count)], True, count, 0.0)
        held = sum(path.stat().st_size for path in tmp_path.iterdir())
        assert held <= disk * SHARE and (tmp_path / "list").exists() == (count < 200)
    kept.learn([listed(one, "gone") for one in range(1000)], True, 9, 0.0)
    assert len(kept.rows) <= 200
