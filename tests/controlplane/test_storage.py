"""Database of a control server: durable writes, disk failures, damage, schema versions."""

import asyncio
import shutil
import sqlite3

import pytest

from dewpin.consensus import Ballot, Conflict
from dewpin.controlplane.storage import (
    DATABASE_NAME,
    MAX_COMMIT_S,
    SchemaTooNewError,
    Storage,
    StorageDamagedError,
    StorageError,
    read_incarnation,
    schema,
)
from dewpin.controlplane.storage import storage as storage_module
from dewpin.controlplane.store import ledger_replica

INSERT = "INSERT INTO meta (name, value) VALUES (?, ?)"
SELECT = "SELECT value FROM meta WHERE name = ?"


@pytest.fixture
def storage(tmp_path):
    opened = Storage(tmp_path / "data", log=lambda text: None)
    yield opened
    opened.close()


def put(name, value="v"):
    return [(INSERT, (name, value))]


def test_query_sees_awaited_write(storage):
    async def scene():
        await storage.write(put("a", "1"))
        return await storage.query(SELECT, ("a",))

    assert asyncio.run(scene()) == [("1",)]


def test_pending_writes_share_a_commit(storage):
    commits = []
    storage._connection.set_trace_callback(lambda sql: commits.append(sql) if sql == "COMMIT" else None)

    async def scene():
        await asyncio.gather(*(storage.write(put(f"n{number}")) for number in range(100)))
        return await storage.query("SELECT count(*) FROM meta WHERE name LIKE 'n%'")

    assert asyncio.run(scene()) == [(100,)]
    assert len(commits) < 50


def test_failed_write_leaves_others_of_its_group_committed(storage):
    async def scene():
        results = await asyncio.gather(
            storage.write(put("a")),
            storage.write(put("b") + put("a")),
            storage.write(put("c")),
            return_exceptions=True,
        )
        return results, await storage.query("SELECT name FROM meta WHERE name IN ('a', 'b', 'c') ORDER BY name")

    results, rows = asyncio.run(scene())
    assert [type(result) for result in results] == [type(None), StorageError, type(None)]
    assert rows == [("a",), ("c",)]


def test_full_disk_rejects_large_writes_and_serves_the_rest(storage):
    async def scene():
        await storage.write(put("a", "kept"))
        pages = (await storage.query("PRAGMA page_count"))[0][0]
        storage._connection.execute(f"PRAGMA max_page_count = {pages + 1}")
        with pytest.raises(StorageError, match="full"):
            await storage.write(put("big", "x" * 100_000))
        small = await storage.query(SELECT, ("a",))
        storage._connection.execute("PRAGMA max_page_count = 1000000")
        await storage.write(put("big", "x" * 100_000))
        return small

    assert asyncio.run(scene()) == [("kept",)]


def test_files_of_killed_process_have_every_acknowledged_write(storage, tmp_path):
    async def scene():
        for number in range(50):
            await storage.write(put(f"n{number}"))

    asyncio.run(scene())
    shutil.copytree(tmp_path / "data", tmp_path / "copy")
    copy = Storage(tmp_path / "copy", log=lambda text: None)
    try:
        rows = asyncio.run(copy.query("SELECT count(*) FROM meta WHERE name LIKE 'n%'"))
        assert rows == [(50,)]
        assert copy.incarnation == storage.incarnation
    finally:
        copy.close()


def test_torn_write_ahead_log_loses_no_acknowledged_write(storage, tmp_path):
    asyncio.run(storage.write(put("a")))
    shutil.copytree(tmp_path / "data", tmp_path / "copy")
    with (tmp_path / "copy" / f"{DATABASE_NAME}-wal").open("ab") as log:
        log.write(b"\x5a" * 5000)
    copy = Storage(tmp_path / "copy", log=lambda text: None)
    try:
        assert asyncio.run(copy.query(SELECT, ("a",))) == [("v",)]
    finally:
        copy.close()


def test_unresponsive_disk_does_not_block_the_event_loop(storage):
    import threading

    resume = threading.Event()

    async def scene():
        slow = asyncio.ensure_future(storage.transact(lambda connection: resume.wait(10)))
        turns = 0
        while turns < 1000:
            await asyncio.sleep(0)
            turns += 1
        assert not slow.done()
        resume.set()
        return await slow

    assert asyncio.run(scene()) is True


def test_jobs_are_rejected_while_disk_is_unresponsive(tmp_path):
    import threading

    now_s = [100.0]
    started, resume = threading.Event(), threading.Event()
    storage = Storage(tmp_path / "data", log=lambda text: None, clock=lambda: now_s[0])

    def stall(connection):
        started.set()
        return resume.wait(10)

    async def scene():
        slow = asyncio.ensure_future(storage.transact(stall))
        await asyncio.to_thread(started.wait, 10)
        now_s[0] += MAX_COMMIT_S
        waiting = asyncio.ensure_future(storage.write(put("patient")))
        await asyncio.sleep(0)
        now_s[0] += 0.1
        with pytest.raises(StorageError, match="does not answer"):
            await storage.write(put("late"))
        resume.set()
        await asyncio.gather(slow, waiting)
        await storage.write(put("after"))
        return await storage.query("SELECT name FROM meta WHERE name IN ('patient', 'late', 'after') ORDER BY name")

    try:
        assert asyncio.run(scene()) == [("after",), ("patient",)]
    finally:
        resume.set()
        storage.close()


def test_too_many_pending_jobs_are_rejected(storage, monkeypatch):
    monkeypatch.setattr(storage_module, "MAX_PENDING_JOBS", 3)

    async def scene():
        with storage._jobs_changed:
            pass
        results = await asyncio.gather(*(storage.write(put(f"n{i}")) for i in range(2000)), return_exceptions=True)
        return [result for result in results if isinstance(result, StorageError)]

    assert asyncio.run(scene())


def test_incarnation_is_kept_by_the_folder(tmp_path):
    first = read_incarnation(tmp_path / "a")
    assert read_incarnation(tmp_path / "a") == first
    assert read_incarnation(tmp_path / "b") != first
    assert len(first) == 16


def test_file_that_is_no_database_is_set_aside(tmp_path):
    first = read_incarnation(tmp_path)
    (tmp_path / DATABASE_NAME).write_bytes(b"not a database at all" * 1000)
    messages = []
    opened = Storage(tmp_path, log=messages.append)
    try:
        assert opened.incarnation != first
        assert "damaged" in messages[0]
        assert [path for path in tmp_path.iterdir() if ".damaged-" in path.name]
    finally:
        opened.close()


def test_damage_found_while_running_is_reported_and_set_aside_at_next_start(tmp_path):
    messages = []
    opened = Storage(tmp_path, log=messages.append, on_damaged=lambda: messages.append("on_damaged"))
    first = opened.incarnation

    def raise_damage(connection):
        raise sqlite3.DatabaseError("database disk image is malformed")

    async def scene():
        with pytest.raises(StorageDamagedError):
            await opened.transact(raise_damage)
        with pytest.raises(StorageDamagedError):
            await opened.write(put("a"))

    asyncio.run(scene())
    opened.close()
    assert opened.is_damaged and messages[-1] == "on_damaged"
    assert read_incarnation(tmp_path) != first


def test_database_of_newer_release_is_rejected_unchanged(tmp_path):
    first = read_incarnation(tmp_path)
    connection = sqlite3.connect(tmp_path / DATABASE_NAME)
    connection.execute("PRAGMA user_version = 999")
    connection.close()
    with pytest.raises(SchemaTooNewError, match="999"):
        Storage(tmp_path)
    connection = sqlite3.connect(tmp_path / DATABASE_NAME)
    assert connection.execute("SELECT value FROM meta WHERE name = 'incarnation'").fetchone()[0] == first
    connection.close()


def test_every_schema_version_before_the_last_has_a_migration():
    assert sorted(schema.MIGRATIONS) == list(range(schema.SCHEMA_VERSION))


def test_older_database_is_migrated_with_its_content(tmp_path, monkeypatch):
    opened = Storage(tmp_path)
    first = opened.incarnation
    asyncio.run(opened.write(put("a", "kept")))
    opened.close()
    monkeypatch.setattr(schema, "SCHEMA_VERSION", schema.SCHEMA_VERSION + 1)
    step = {schema.SCHEMA_VERSION - 1: ("CREATE TABLE later (x)",)}
    monkeypatch.setattr(schema, "MIGRATIONS", {**schema.MIGRATIONS, **step})
    opened = Storage(tmp_path)
    try:
        assert opened.incarnation == first
        assert asyncio.run(opened.query(SELECT, ("a",))) == [("kept",)]
        assert asyncio.run(opened.query("SELECT count(*) FROM later")) == [(0,)]
    finally:
        opened.close()


def test_database_without_schema_is_created_anew(tmp_path):
    (tmp_path / DATABASE_NAME).touch()
    opened = Storage(tmp_path)
    try:
        assert len(opened.incarnation) == 16
    finally:
        opened.close()


def test_promise_survives_kill_of_its_process(storage, tmp_path):
    first, later = Ballot(2, "x"), Ballot(3, "y")
    asyncio.run(storage.transact(lambda connection: ledger_replica.prepare(connection, "p", later, 0)))
    shutil.copytree(tmp_path / "data", tmp_path / "copy")
    copy = Storage(tmp_path / "copy")
    try:
        reply = asyncio.run(copy.transact(lambda connection: ledger_replica.prepare(connection, "p", first, 0)))
        assert reply == Conflict(later)
    finally:
        copy.close()


def test_failing_report_of_damage_does_not_end_the_storage_thread(tmp_path):
    """Otherwise every caller would wait for ever."""

    def fail():
        raise RuntimeError("the event loop is closed")

    async def scene():
        opened = Storage(tmp_path, log=lambda text: None, on_damaged=fail)

        def damaged(connection):
            raise sqlite3.DatabaseError("database disk image is malformed")

        for work in (damaged, lambda connection: 1):
            with pytest.raises((RuntimeError, StorageError)):
                await asyncio.wait_for(opened.transact(work), 5.0)
        opened.close()

    asyncio.run(scene())
