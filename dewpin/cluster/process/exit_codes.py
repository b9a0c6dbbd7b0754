"""Exit codes of the tier's programs, and the exception that ends a program with one of them."""

from enum import IntEnum, unique

from ..errors import DewpinError


@unique
class ExitCode(IntEnum):
    """Why a process ended. A process that is ended by a signal that it does not handle has no exit code."""

    STOPPED = 0
    """SIGTERM or SIGINT was received."""
    UNEXPECTED = 1
    """An unexpected exception: a bug of the program; the log has its traceback."""
    INVALID_SETTINGS = 2
    """The settings file is missing or invalid; standard error has a line for each fault."""
    NEWER_DATABASE = 3
    """The database was written by a newer release."""
    DAMAGED_DATABASE = 4
    """The database was found to be damaged; the next start quarantines it."""


class ProgramEndError(DewpinError):
    """Ends the program with an exit code; the message is the reason that is logged."""

    def __init__(self, code: ExitCode, why: str) -> None:
        super().__init__(why)
        self.code = code
