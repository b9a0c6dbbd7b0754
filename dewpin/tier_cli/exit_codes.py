"""Exit codes of `dewpin-tier`."""

from enum import IntEnum


class ExitCode(IntEnum):
    """The result of a command."""

    SUCCESS = 0
    """The command succeeded; a checked file is valid."""
    FILE_ERROR = 1
    """A file cannot be read or written, or a dependency is not installed."""
    INVALID = 2
    """The arguments or a checked file are invalid; all errors have been printed."""
    REJECTED = 3
    """The tier rejected the request: another version is current, or there is no configuration yet."""
    UNKNOWN_RESULT = 4
    """There was no conclusive response; a submitted change may or may not have been accepted."""
