"""A lock that lets only one sender write to a folder.

It is an advisory lock on a descriptor of the folder itself: the kernel releases it however the process ends, and it
needs no lock file that would remain or add to the folder's size.
"""

import errno
import fcntl
import os
import time
from typing import Any

LOCK_ATTEMPTS = 10
RETRY_DELAY_SECONDS = 0.05
"""Pause between two attempts; `is_locked` in another process also holds the lock for a moment."""


class FolderLock:
    """A lock that this process holds on a folder until `release` or the end of the process."""

    def __init__(self, descriptor: int | None) -> None:
        self._descriptor = descriptor

    @classmethod
    def acquire(cls, folder: Any, attempts: int = LOCK_ATTEMPTS) -> "FolderLock":
        """Lock the folder, which is created if needed. Raises OSError (EBUSY) if another sender holds the lock.

        Succeeds on a file system without locks, where the operator must ensure that only one sender uses the folder."""
        os.makedirs(folder, exist_ok=True)
        descriptor = os.open(folder, os.O_RDONLY)
        for attempts_left in reversed(range(attempts)):
            try:
                fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
                break
            except BlockingIOError:
                if not attempts_left:
                    os.close(descriptor)
                    raise OSError(errno.EBUSY, f"another sender holds the folder {folder}") from None
                time.sleep(RETRY_DELAY_SECONDS)
            except OSError:
                break  # the file system does not support locks
        return cls(descriptor)

    def release(self) -> None:
        """Release the lock; further calls have no effect."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None


def is_locked(path: Any) -> bool | None:
    """Return whether a live process holds the lock on a folder or file; None if that can't be determined."""
    try:
        descriptor = os.open(path, os.O_RDONLY)
    except OSError:
        return None
    try:
        fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        return False
    except BlockingIOError:
        return True
    except OSError:
        return None
    finally:
        os.close(descriptor)
