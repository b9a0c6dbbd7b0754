"""Exit codes, and the error that ends a command with one of them."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of `dewpin`."""

    DONE = 0
    IMPOSSIBLE = 1
    INVALID = 2
    DAMAGED = 3
    NO_ANSWER = 4
    INTERRUPTED = 130


EXIT_CODE_HELP = """\b
Exit codes:
  0  done
  1  it can't be done here: a file, a folder or an address refuses
  2  the arguments or the configuration are invalid
  3  a journal holds damaged records, or a run broke a rule
  4  no sender answers at the control socket"""


class CommandError(Exception):
    """An error in one sentence that names what to do, and its exit code."""

    def __init__(self, message: str, code: ExitCode = ExitCode.IMPOSSIBLE) -> None:
        super().__init__(message)
        self.code = code
