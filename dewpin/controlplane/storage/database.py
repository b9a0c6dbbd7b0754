"""The files of a database: opening them durably, and setting damaged ones aside.

A folder whose database is damaged counts as a lost disk: the files are renamed, and a new database of another
incarnation takes their place. Damage that is found while the process runs leaves a marker file for the next start.
"""

import os
import sqlite3
import time
from collections.abc import Callable
from pathlib import Path

from .errors import StorageError
from .schema import incarnation_of, migrate

DATABASE_NAME = "keeper.sqlite3"
"""Name of the database file inside the data folder; a new release must find the data of an earlier one."""
DAMAGED_MARKER_NAME = "keeper.damaged"
"""Name of the file that makes the next start set the database aside."""
PAGE_CACHE_KIB = 4096
MAX_WAL_BYTES = 8 * 1024 * 1024
"""To this size the write-ahead log is truncated after a checkpoint."""


def open_database(folder: Path, log: Callable[[str], None]) -> sqlite3.Connection:
    """Open or create the database of `folder`, setting a damaged one aside.

    `log` receives a text for the operator if one was set aside. Raises StorageError and SchemaTooNewError.
    """
    folder.mkdir(parents=True, exist_ok=True)
    if (folder / DAMAGED_MARKER_NAME).exists():
        _set_aside(folder, log)
    try:
        return _connect(folder)
    except sqlite3.DatabaseError as error:
        if not is_damage(error):
            raise StorageError(f"the database in {folder} cannot be opened: {error}") from error
    _set_aside(folder, log)
    try:
        return _connect(folder)
    except sqlite3.Error as error:
        raise StorageError(f"the database in {folder} cannot be opened: {error}") from error


def open_intact_database(folder: Path) -> sqlite3.Connection:
    """Open the database of `folder`, which is neither created nor set aside; an older schema is migrated.

    Raises StorageError where there is none, where it is damaged or in use, and SchemaTooNewError.
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
    """Return the random id of the folder's database, which is created (and synced) if the folder has none.

    Not to be called while a `Storage` has the folder open; its attribute `incarnation` is the same id. Raises
    StorageError and SchemaTooNewError.
    """
    connection = open_database(Path(data_dir), lambda text: None)
    try:
        return incarnation_of(connection)
    finally:
        connection.close()
        sync_folder(Path(data_dir))


def mark_damaged(folder: Path) -> None:
    """Make the next start set the database of `folder` aside. Raises OSError."""
    (folder / DAMAGED_MARKER_NAME).touch()
    sync_folder(folder)


def is_damage(error: sqlite3.Error) -> bool:
    """Return whether `error` means that the content of the file is damaged, rather than that a call on it failed."""
    text = str(error)
    return "malformed" in text or "not a database" in text


def sync_folder(folder: Path) -> None:
    """Make the names of the files in `folder` durable. Raises OSError."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _set_aside(folder: Path, log: Callable[[str], None]) -> None:
    """Rename the database files so that a new database, of a new incarnation, takes their place."""
    suffix = f".damaged-{time.time_ns()}"
    for name in (DATABASE_NAME, f"{DATABASE_NAME}-wal", f"{DATABASE_NAME}-journal"):
        if (folder / name).exists():
            os.replace(folder / name, folder / (name + suffix))
    sync_folder(folder)
    (folder / DAMAGED_MARKER_NAME).unlink(missing_ok=True)
    sync_folder(folder)
    log(f"the database in {folder} is damaged: set aside as *{suffix}; this disk counts as lost")


def _connect(folder: Path) -> sqlite3.Connection:
    """Open the database, with durability settings in place and its schema at the present version."""
    connection = sqlite3.connect(folder / DATABASE_NAME, isolation_level=None, check_same_thread=False)
    try:
        connection.execute("PRAGMA locking_mode = EXCLUSIVE")
        connection.execute("PRAGMA journal_mode = WAL")
        connection.execute("PRAGMA synchronous = FULL")
        connection.execute("PRAGMA temp_store = MEMORY")
        connection.execute(f"PRAGMA cache_size = -{PAGE_CACHE_KIB}")
        connection.execute(f"PRAGMA journal_size_limit = {MAX_WAL_BYTES}")
        migrate(connection)
        incarnation_of(connection)  # a damaged file often fails only here
    except BaseException:
        connection.close()
        raise
    sync_folder(folder)
    return connection
