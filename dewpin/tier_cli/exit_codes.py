"""The exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """How a command ended."""

    SUCCESS = 0
    """The command succeeded; a checked file is valid."""
    FILE_ERROR = 1
    """A file cannot be read or written, or a library is not installed."""
    INVALID = 2
    """The arguments or a checked file are invalid; every fault has been printed."""
    REJECTED = 3
    """The tier rejected the request: another version is current, or there is no configuration yet."""
    UNKNOWN_RESULT = 4
    """There was no conclusive response: a change that was sent may or may not have been accepted."""
