"""Exit codes, and the exception that terminates a command with one of them."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of `dewpin`."""

    SUCCESS = 0
    FAILURE = 1
    INVALID = 2
    DAMAGED = 3
    NO_RESPONSE = 4
    INTERRUPTED = 130


EXIT_CODE_HELP = """\b
Exit codes:
  0  success
  1  a file, folder or address cannot be used
  2  the arguments or the configuration are invalid
  3  a journal contains damaged records, or a test run violated a rule
  4  no sender responds at the control socket"""


class CommandError(Exception):
    """An error with a message that says how to correct it, and an exit code."""

    def __init__(self, message: str, code: ExitCode = ExitCode.FAILURE) -> None:
        super().__init__(message)
        self.code = code
