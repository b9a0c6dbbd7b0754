"""Errors raised by the storage."""

from dewpin.cluster.errors import DewpinError


class StorageError(DewpinError):
    """A read or write failed; a write may have been committed nevertheless."""


class StorageDamagedError(StorageError):
    """The database file is damaged; the next start quarantines it and creates an empty one with a new incarnation."""


class SchemaTooNewError(DewpinError):
    """The database was written by a newer release; it is left unchanged."""
