"""The durable state of a control server: one sqlite3 database for each data folder, written by one thread with group
commit.

`schema` has the tables and their migrations, `database` opens the files and sets damaged ones aside, `storage` runs the
transactions.
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
