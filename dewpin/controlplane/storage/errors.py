"""Errors of the storage."""

from dewpin.cluster.errors import DewpinError


class StorageError(DewpinError):
    """A read or write failed, or it is unknown whether a write was committed."""


class StorageDamagedError(StorageError):
    """The database file is damaged; the next start sets it aside and begins with an empty one of a new incarnation."""


class SchemaTooNewError(DewpinError):
    """The database was written by a newer release; it is left as it is."""
