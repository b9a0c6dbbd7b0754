"""Database files: opening them with durable settings, and quarantining damaged ones.

A directory with a damaged database is treated as a lost disk: the files are renamed, and a new database with another
incarnation replaces them. If the damage is detected while the process runs, a marker file is left for the next start.
"""

import os
import sqlite3
import time
from collections.abc import Callable
from pathlib import Path

from .errors import StorageError
from .schema import incarnation_of, migrate

DATABASE_NAME = "keeper.sqlite3"
"""Name of the database file in the data directory; unchanged across releases, so that upgrades find the data."""
DAMAGED_MARKER_NAME = "keeper.damaged"
"""Name of the marker file that makes the next start quarantine the database."""
PAGE_CACHE_KIB = 4096
LOCK_TIMEOUT_S = 1.0
"""How long an attempt to open waits for another process that uses the database."""
MAX_WAL_BYTES = 8 * 1024 * 1024
"""Size to which the write-ahead log is truncated after a checkpoint."""


def open_database(folder: Path, log: Callable[[str], None]) -> sqlite3.Connection:
    """Open or create the database of `folder`; a damaged one is quarantined first.

    `log` receives a message for the operator in that case. Raises StorageError and SchemaTooNewError.
    """
    try:
        return _open_or_quarantine(folder, log)
    except OSError as error:
        raise StorageError(f"the database in {folder} cannot be opened: {error}") from error


def _open_or_quarantine(folder: Path, log: Callable[[str], None]) -> sqlite3.Connection:
    folder.mkdir(parents=True, exist_ok=True)
    if (folder / DAMAGED_MARKER_NAME).exists():
        _quarantine(folder, log)
    try:
        return _connect(folder)
    except sqlite3.DatabaseError as error:
        if not is_damage(error):
            raise StorageError(f"the database in {folder} cannot be opened: {error}") from error
    _quarantine(folder, log)
    try:
        return _connect(folder)
    except sqlite3.Error as error:
        raise StorageError(f"the database in {folder} cannot be opened: {error}") from error


def open_intact_database(folder: Path) -> sqlite3.Connection:
    """Open the existing database of `folder` without creating or quarantining it; an older schema is migrated.

    Raises StorageError if it is missing, damaged or in use, and SchemaTooNewError.
    """
    if not (folder / DATABASE_NAME).is_file():
        raise StorageError(f"{folder}: expected a data directory with {DATABASE_NAME}")
    if (folder / DAMAGED_MARKER_NAME).exists():
        raise StorageError(f"{folder}: the database is marked as damaged")
    try:
        return _connect(folder)
    except sqlite3.Error as error:
        is_locked = "locked" in str(error)
        reason = "its control server still runs; stop it first" if is_locked else str(error)
        raise StorageError(f"{folder}: {reason}") from error


def read_incarnation(data_dir: str | os.PathLike[str]) -> str:
    """Return the random id of the database in a data directory; the database is created and synced if missing.

    Must not be called while a `Storage` has the directory open; its attribute `incarnation` is the same id. Raises
    StorageError and SchemaTooNewError.
    """
    connection = open_database(Path(data_dir), lambda text: None)
    try:
        return incarnation_of(connection)
    finally:
        connection.close()
        sync_folder(Path(data_dir))


def mark_damaged(folder: Path) -> None:
    """Create the marker file, so that the next start quarantines the database of `folder`. Raises OSError."""
    (folder / DAMAGED_MARKER_NAME).touch()
    sync_folder(folder)


def is_damage(error: sqlite3.Error) -> bool:
    """Return whether `error` reports damaged file content, as opposed to a failed operation."""
    text = str(error)
    return "malformed" in text or "not a database" in text


def sync_folder(folder: Path) -> None:
    """Sync the directory entries of `folder` to disk. Raises OSError."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _quarantine(folder: Path, log: Callable[[str], None]) -> None:
    """Rename the database files, so that a new database with a new incarnation replaces them."""
    suffix = f".damaged-{time.time_ns()}"
    for name in (DATABASE_NAME, f"{DATABASE_NAME}-wal", f"{DATABASE_NAME}-journal"):
        if (folder / name).exists():
            os.replace(folder / name, folder / (name + suffix))
    sync_folder(folder)
    (folder / DAMAGED_MARKER_NAME).unlink(missing_ok=True)
    sync_folder(folder)
    log(f"the database in {folder} is damaged: renamed to *{suffix}; the disk is treated as lost")


def _connect(folder: Path) -> sqlite3.Connection:
    """Open the database with durable settings and migrate its schema to the current version."""
    path = folder / DATABASE_NAME
    connection = sqlite3.connect(path, timeout=LOCK_TIMEOUT_S, isolation_level=None, check_same_thread=False)
    try:
        connection.execute("PRAGMA locking_mode = EXCLUSIVE")
        connection.execute("PRAGMA journal_mode = WAL")
        connection.execute("PRAGMA synchronous = FULL")
        connection.execute("PRAGMA temp_store = MEMORY")
        connection.execute(f"PRAGMA cache_size = -{PAGE_CACHE_KIB}")
        connection.execute(f"PRAGMA journal_size_limit = {MAX_WAL_BYTES}")
        migrate(connection)
        incarnation_of(connection)  # often the first read that fails on a damaged file
    except BaseException:
        connection.close()
        raise
    sync_folder(folder)
    return connection
