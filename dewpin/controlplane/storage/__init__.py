"""Durable state of a control server: one SQLite database per data directory, accessed by one thread with group commit.

`schema` defines the tables and their migrations, `database` opens the files and quarantines damaged ones, `storage`
runs the transactions.
"""

from .database import DAMAGED_MARKER_NAME, DATABASE_NAME, read_incarnation
from .errors import SchemaTooNewError, StorageDamagedError, StorageError
from .storage import MAX_COMMIT_S, MAX_JOBS_IN_COMMIT, Storage

__all__ = [
    "DAMAGED_MARKER_NAME",
    "DATABASE_NAME",
    "MAX_COMMIT_S",
    "MAX_JOBS_IN_COMMIT",
    "SchemaTooNewError",
    "Storage",
    "StorageDamagedError",
    "StorageError",
    "read_incarnation",
]
