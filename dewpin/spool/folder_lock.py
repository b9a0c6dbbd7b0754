"""A lock on the sender's folder, so that only one sender writes to it.

The lock is an advisory one on the folder's own descriptor: the system releases it however the process ends, it leaves
no file behind and does not change the folder's size.
"""

import errno
import fcntl
import os
import time
from typing import Any

ATTEMPTS = 10
RETRY_SECONDS = 0.05
"""A process that asks whether the folder is locked holds the lock for an instant itself."""


class FolderLock:
    """The lock that this process holds on a folder, until `release` or its end."""

    def __init__(self, descriptor: int | None) -> None:
        self._descriptor = descriptor

    @classmethod
    def acquire(cls, folder: Any, attempts: int = ATTEMPTS) -> "FolderLock":
        """Locks the folder, which is made if it is not there. Raises OSError (EBUSY) where another sender holds it.

        On a file system without locks it succeeds: there the operator sees to it that one sender uses the folder."""
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
                time.sleep(RETRY_SECONDS)
            except OSError:
                break  # no locks on this file system
        return cls(descriptor)

    def release(self) -> None:
        """Unlocks the folder; a second call does nothing."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None


def is_locked(path: Any) -> bool | None:
    """Whether a live process holds the lock on a folder or file, or None where it can't be determined."""
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
