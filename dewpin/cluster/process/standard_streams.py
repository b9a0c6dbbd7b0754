"""Standard streams of a process that was started without some of them."""

import os
import sys

STANDARD_DESCRIPTORS = (0, 1, 2)


def open_missing_streams() -> None:
    """Open the null device as each standard stream that is closed.

    Otherwise a socket or a file would get its descriptor, and log lines would be written there.
    """
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # the lowest free descriptor is this one
    if sys.stderr is None:
        sys.stderr = open(os.devnull, "w", encoding="utf-8")
