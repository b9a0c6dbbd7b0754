"""The exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """How a command ended."""

    DONE = 0
    """Done; what was checked is valid."""
    UNREADABLE = 1
    """A file cannot be read or written, or a library is not installed."""
    FAULTY = 2
    """The arguments or what was checked are faulty; every fault has been named."""
    REFUSED = 3
    """The tier refused the order: another version is current, or nothing is there to be read."""
    NO_ANSWER = 4
    """No clear answer came: an order that was sent may or may not have been taken."""
