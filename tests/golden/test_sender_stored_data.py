"""Stored data that an earlier version of the sender wrote: it is read and written identically today.

Identical bytes also let the earlier version read what this one writes, after a downgrade.
"""

import json

import pytest
from golden.sender import stored_scenes as scenes
from golden.sender_api import paths, stored_data

STORED = paths.FOLDER / "stored"
WRITTEN = {
    "every-state": ([scenes.EVERY_STATE], scenes.DISK_BYTES),
    "just-compacted": ([scenes.EVERY_STATE, scenes.AFTER_COMPACTION[:1]], scenes.DISK_BYTES),
    "compacted": ([scenes.EVERY_STATE, scenes.AFTER_COMPACTION], scenes.DISK_BYTES),
    "no-room": ([scenes.TOO_MANY], scenes.SMALL_DISK_BYTES),
}
DAMAGED = [
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


def as_json(expected_state):
    """Return a value after a round trip through JSON."""
    return json.loads(json.dumps(expected_state))


def stored_bytes(name):
    return (STORED / name).read_bytes()


# -- the journal --------------------------------------------------------------------------------------------------


@pytest.mark.parametrize("name", WRITTEN)
def test_opened_journal_has_recorded_contents(name, tmp_path):
    scenes.copy_fixtures({"journal": f"{name}.journal"}, STORED, tmp_path)
    assert as_json(scenes.opened(tmp_path)) == expected(name)["when_opened"]
    assert as_json(scenes.opened(tmp_path, assume_executed=True)) == expected(f"{name}-assumed-executed")
    assert (tmp_path / "journal").read_bytes() == stored_bytes(f"{name}.journal")


@pytest.mark.parametrize("name", WRITTEN)
def test_inspected_journal_has_recorded_contents(name, tmp_path):
    scenes.copy_fixtures({"journal": f"{name}.journal"}, STORED, tmp_path)
    assert as_json(stored_data.inspected(tmp_path)) == expected(f"{name}-inspected")


@pytest.mark.parametrize("name", WRITTEN)
def test_same_steps_write_identical_journal(name, tmp_path):
    steps, disk_bytes = WRITTEN[name]
    results, contents = scenes.write_journal(tmp_path, *steps, disk_bytes=disk_bytes)
    assert (tmp_path / "journal").read_bytes() == stored_bytes(f"{name}.journal")
    assert [results, as_json(contents)] == [expected(name)["answers"], expected(name)["when_written"]]


def test_growing_journal_is_compacted_at_recorded_steps_to_identical_bytes(tmp_path):
    sizes = scenes.sizes_on_the_way(tmp_path, scenes.MANY)
    assert sizes == expected("compacted-by-itself")
    assert any(after[0] < before[0] for before, after in zip(sizes, sizes[1:], strict=False))


@pytest.mark.parametrize("name", DAMAGED)
def test_damaged_journal_is_inspected_and_opened_as_recorded(name, tmp_path):
    files = {"journal": f"{name}.journal"}
    if (STORED / f"{name}.journal.new").exists():
        files["journal.new"] = f"{name}.journal.new"
    scenes.copy_fixtures(files, STORED, tmp_path)
    expected_state = expected(name)
    assert as_json(stored_data.inspected(tmp_path)) == expected_state["inspected"]
    assert as_json(scenes.opened(tmp_path)) == expected_state["when_opened"]
    assert sorted(path.name for path in tmp_path.iterdir()) == expected_state["files"]
    remaining = (tmp_path / "journal").read_bytes()
    assert len(remaining) == expected_state["bytes"] and stored_bytes(f"{name}.journal").startswith(remaining)


def test_interrupted_compaction_does_not_change_journal_contents(tmp_path):
    for name in ("compaction-under-way", "compaction-almost-done"):
        assert expected(name)["when_opened"] == expected("every-state")["when_opened"]
        assert expected(name)["inspected"]["compaction_under_way"]


# -- the cached list ----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("name", LISTS)
def test_opened_cached_list_has_recorded_contents(name, tmp_path):
    scenes.copy_fixtures({"list": f"{name}.list"}, STORED, tmp_path)
    same_agent = stored_data.CachedList(tmp_path, scenes.AGENT, scenes.DISK_BYTES)
    other_agent = stored_data.CachedList(tmp_path, scenes.OTHER_AGENT, scenes.DISK_BYTES)
    assert as_json(same_agent.contents()) == expected(name)["when_opened"]
    assert as_json(other_agent.contents()) == expected(name)["at_another_agent"]
    revision = expected(name)["when_opened"]["revision"]
    assert same_agent.is_newer_than(revision - 1) and not same_agent.is_newer_than(revision)
    assert not other_agent.is_newer_than(revision - 1)


@pytest.mark.parametrize("name", LISTS)
def test_same_updates_write_identical_cached_list(name, tmp_path):
    contents = scenes.write_list(tmp_path, LISTS[name])
    assert (tmp_path / "list").read_bytes() == stored_bytes(f"{name}.list")
    assert as_json(contents) == expected(name)["when_written"]


def test_truncated_cached_list_keeps_its_complete_lines(tmp_path):
    content = stored_bytes("cached.list")
    (tmp_path / "list").write_bytes(content[:-1])
    cached = stored_data.CachedList(tmp_path, scenes.AGENT, scenes.DISK_BYTES)
    assert cached.contents()["revision"] == 42
    (tmp_path / "list").write_bytes(b"{]" + content)
    cached = stored_data.CachedList(tmp_path, scenes.AGENT, scenes.DISK_BYTES)
    assert cached.contents()["receivers"] == [] and not (tmp_path / "list").exists()


# -- the hand-over log --------------------------------------------------------------------------------------------


def test_hand_over_log_is_read_as_recorded(tmp_path):
    scenes.copy_fixtures({"journal": "hand-over.journal", "tail": "hand-over.tail"}, STORED, tmp_path)
    journal = stored_data.Journal(tmp_path, scenes.DISK_BYTES)
    consumed = stored_data.consumed_hand_over_log(tmp_path, journal)
    assert as_json(consumed) == expected("hand-over")["consumed"]
    assert stored_data.consumed_hand_over_log(tmp_path, journal)["records"] == []
    journal.close()
    assert (tmp_path / "journal").read_bytes() == stored_bytes("hand-over-consumed.journal")


def test_same_steps_write_identical_hand_over_log(tmp_path):
    results = scenes.write_hand_over_log(tmp_path)
    assert (tmp_path / "tail").read_bytes() == stored_bytes("hand-over.tail")
    assert (tmp_path / "journal").read_bytes() == stored_bytes("hand-over.journal")
    assert results == expected("hand-over")["answers"]


def test_recorded_hand_over_log_has_every_outcome():
    records = expected("hand-over")["consumed"]["records"]
    assert {record["outcome"] for record in records if "outcome" in record} == set(stored_data.OUTCOMES)
