"""The sender's stored data as written by an earlier program: it holds the same today, and is written the same.

That the bytes are the same is also what lets the earlier program read what this one writes, after a step back.
"""

import json

import pytest
from golden import sender_api
from golden.sender import stored_scenes as scenes

STORED = sender_api.FOLDER / "stored"
WRITTEN = {
    "every-state": ([scenes.EVERY_STATE], scenes.DISK_BYTES),
    "just-compacted": ([scenes.EVERY_STATE, scenes.AFTER_COMPACTION[:1]], scenes.DISK_BYTES),
    "compacted": ([scenes.EVERY_STATE, scenes.AFTER_COMPACTION], scenes.DISK_BYTES),
    "no-room": ([scenes.TOO_MANY], scenes.SMALL_DISK_BYTES),
}
BROKEN = [
    "torn-in-head",
    "torn-in-fields",
    "corrupt-at-end",
    "corrupt-in-the-middle",
    "compaction-under-way",
    "compaction-almost-done",
    "unknown-record",
    "senseless-record",
    "empty",
]
LISTS = {
    "cached": scenes.CACHED_LIST,
    "rewritten": scenes.REWRITTEN_LIST,
    "many-removed": scenes.MANY_REMOVED,
}


def expected(name):
    return json.loads((STORED / f"{name}.json").read_text())


def plain(facts):
    """As it comes back from JSON."""
    return json.loads(json.dumps(facts))


def stored_bytes(name):
    return (STORED / name).read_bytes()


# -- the journal --------------------------------------------------------------------------------------------------


@pytest.mark.parametrize("name", WRITTEN)
def test_stored_journal_opened_holds_the_same(name, tmp_path):
    scenes.copied({"journal": f"{name}.journal"}, STORED, tmp_path)
    assert plain(scenes.opened(tmp_path)) == expected(name)["when_opened"]
    assert plain(scenes.opened(tmp_path, assume_executed=True)) == expected(f"{name}-assumed-executed")
    assert (tmp_path / "journal").read_bytes() == stored_bytes(f"{name}.journal")


@pytest.mark.parametrize("name", WRITTEN)
def test_stored_journal_inspected_tells_the_same(name, tmp_path):
    scenes.copied({"journal": f"{name}.journal"}, STORED, tmp_path)
    assert plain(sender_api.inspected(tmp_path)) == expected(f"{name}-inspected")


@pytest.mark.parametrize("name", WRITTEN)
def test_same_steps_write_the_same_journal(name, tmp_path):
    steps, disk_bytes = WRITTEN[name]
    answers, contents = scenes.write_journal(tmp_path, *steps, disk_bytes=disk_bytes)
    assert (tmp_path / "journal").read_bytes() == stored_bytes(f"{name}.journal")
    assert [answers, plain(contents)] == [expected(name)["answers"], expected(name)["when_written"]]


def test_journal_that_grows_is_compacted_at_the_same_steps_to_the_same_bytes(tmp_path):
    sizes = scenes.sizes_on_the_way(tmp_path, scenes.MANY)
    assert sizes == expected("compacted-by-itself")
    assert any(after[0] < before[0] for before, after in zip(sizes, sizes[1:], strict=False))


@pytest.mark.parametrize("name", BROKEN)
def test_broken_journal_is_inspected_opened_and_left_the_same(name, tmp_path):
    files = {"journal": f"{name}.journal"}
    if (STORED / f"{name}.journal.new").exists():
        files["journal.new"] = f"{name}.journal.new"
    scenes.copied(files, STORED, tmp_path)
    facts = expected(name)
    assert plain(sender_api.inspected(tmp_path)) == facts["inspected"]
    assert plain(scenes.opened(tmp_path)) == facts["when_opened"]
    assert sorted(path.name for path in tmp_path.iterdir()) == facts["files"]
    left = (tmp_path / "journal").read_bytes()
    assert len(left) == facts["bytes"] and stored_bytes(f"{name}.journal").startswith(left)


def test_journal_whose_compaction_was_under_way_holds_what_it_held_before(tmp_path):
    for name in ("compaction-under-way", "compaction-almost-done"):
        assert expected(name)["when_opened"] == expected("every-state")["when_opened"]
        assert expected(name)["inspected"]["compaction_under_way"]


# -- the cached list ----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("name", LISTS)
def test_cached_list_opened_holds_the_same(name, tmp_path):
    scenes.copied({"list": f"{name}.list"}, STORED, tmp_path)
    same_agent = sender_api.CachedList(tmp_path, scenes.AGENT, scenes.DISK_BYTES)
    other_agent = sender_api.CachedList(tmp_path, scenes.OTHER_AGENT, scenes.DISK_BYTES)
    assert plain(same_agent.contents()) == expected(name)["when_opened"]
    assert plain(other_agent.contents()) == expected(name)["at_another_agent"]
    revision = expected(name)["when_opened"]["revision"]
    assert same_agent.is_newer_than(revision - 1) and not same_agent.is_newer_than(revision)
    assert not other_agent.is_newer_than(revision - 1)


@pytest.mark.parametrize("name", LISTS)
def test_same_news_write_the_same_cached_list(name, tmp_path):
    contents = scenes.write_list(tmp_path, LISTS[name])
    assert (tmp_path / "list").read_bytes() == stored_bytes(f"{name}.list")
    assert plain(contents) == expected(name)["when_written"]


def test_cached_list_with_a_torn_end_holds_the_lines_before(tmp_path):
    content = stored_bytes("cached.list")
    (tmp_path / "list").write_bytes(content[:-1])
    cached = sender_api.CachedList(tmp_path, scenes.AGENT, scenes.DISK_BYTES)
    assert cached.contents()["revision"] == 42
    (tmp_path / "list").write_bytes(b"{]" + content)
    cached = sender_api.CachedList(tmp_path, scenes.AGENT, scenes.DISK_BYTES)
    assert cached.contents()["receivers"] == [] and not (tmp_path / "list").exists()


# -- the hand-over log --------------------------------------------------------------------------------------------


def test_hand_over_log_is_consumed_the_same(tmp_path):
    scenes.copied({"journal": "hand-over.journal", "tail": "hand-over.tail"}, STORED, tmp_path)
    journal = sender_api.Journal(tmp_path, scenes.DISK_BYTES)
    consumed = sender_api.consumed_hand_over_log(tmp_path, journal)
    assert plain(consumed) == expected("hand-over")["consumed"]
    assert sender_api.consumed_hand_over_log(tmp_path, journal)["records"] == []
    journal.close()
    assert (tmp_path / "journal").read_bytes() == stored_bytes("hand-over-consumed.journal")


def test_same_steps_write_the_same_hand_over_log(tmp_path):
    answers = scenes.write_hand_over_log(tmp_path)
    assert (tmp_path / "tail").read_bytes() == stored_bytes("hand-over.tail")
    assert (tmp_path / "journal").read_bytes() == stored_bytes("hand-over.journal")
    assert answers == expected("hand-over")["answers"]


def test_hand_over_log_tells_each_outcome():
    told = expected("hand-over")["consumed"]["records"]
    assert {one["outcome"] for one in told if "outcome" in one} == set(sender_api.OUTCOMES)
