"""How one process of a sender takes over from another that still serves, through the state folder that both share.

Two files are used. `next` is made and locked by the process that wants to take over; a byte in it says that this
process accepts clients. `handed` is written by the process that leaves, in one step; from that moment the journal and
all decisions belong to the next process, and what still happens at the old one is written to its hand-over log.
"""

import asyncio
import errno
import fcntl
import os
from typing import Any

import msgspec

from ..spool.folder_lock import FolderLock, is_locked

CLAIM_FILE, HANDED_OVER_FILE = "next", "handed"
CLAIM_CHECK_SECONDS = 0.05  # between two checks of a serving process for one that wants to take over
TAKEOVER_POLL_SECONDS = 0.005  # between two checks of each process while they change over
LOCK_ATTEMPTS = 20
FOLDER_TIMEOUT_SECONDS = 10.0  # for which a new process waits for the folder

HandedOverState = dict[str, Any]
"""What `learned_state.export_learned_state` gives, with `out` (serials of messages in flight)
and `descriptors` (still held there)."""


class TakeoverClaim:
    """The new process's claim on the folder, from its start until the old process has ended.

    Attributes:
        folder: the state folder.
        file: descriptor of the locked claim file, or -1 without one.
    """

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self.file = -1

    async def enter(self) -> tuple[FolderLock | None, HandedOverState | None]:
        """Wait for the folder; return its lock, or what the process that still holds it has handed over.

        Exactly one of the two is not None. Raises OSError where a process has the folder and doesn't hand it over, or
        another one claims it already.
        """
        try:
            return FolderLock.acquire(self.folder, attempts=2), None
        except OSError as error:
            if error.errno != errno.EBUSY:
                raise
            busy = error
        await self._lock_claim_file(busy)
        os.ftruncate(self.file, 0)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + FOLDER_TIMEOUT_SECONDS
        while loop.time() < deadline:
            if lock := self.try_lock_folder():  # the old process was stopped or killed instead
                self.drop()
                return lock, None
            try:
                with open(os.path.join(self.folder, HANDED_OVER_FILE), "rb") as file:
                    return None, msgspec.json.decode(file.read())
            except FileNotFoundError:
                await asyncio.sleep(TAKEOVER_POLL_SECONDS)
        self.drop()
        raise busy

    async def _lock_claim_file(self, busy: OSError) -> None:
        """Lock the claim file; raises `busy` where another process keeps it locked."""
        self.file = os.open(os.path.join(self.folder, CLAIM_FILE), os.O_RDWR | os.O_CREAT, 0o600)
        for attempts_left in reversed(range(LOCK_ATTEMPTS)):  # the old process's check holds it for an instant
            try:
                fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                break
            except BlockingIOError:
                if not attempts_left:
                    raise busy from None
                await asyncio.sleep(TAKEOVER_POLL_SECONDS)

    def try_lock_folder(self) -> FolderLock | None:
        """Return the folder's lock if the old process has ended, else None."""
        try:
            return FolderLock.acquire(self.folder, attempts=1)
        except OSError:
            return None

    def mark_ready(self) -> None:
        """Let the old process know that clients are accepted here."""
        os.write(self.file, b"1")

    def drop(self) -> None:
        """Remove what the two processes shared: the old one is gone, or was never there."""
        for name in (HANDED_OVER_FILE, CLAIM_FILE):
            try:
                os.unlink(os.path.join(self.folder, name))
            except FileNotFoundError:
                pass
        if self.file >= 0:
            os.close(self.file)
            self.file = -1


async def wait_until_claimed(folder: str) -> None:
    """Wait until a new process claims the folder. A claim file without a lock was left by a killed process."""
    path = os.path.join(folder, CLAIM_FILE)
    while not is_locked(path):
        await asyncio.sleep(CLAIM_CHECK_SECONDS)


async def wait_until_taken_over(folder: str) -> None:
    """Wait until the new process accepts clients."""
    path = os.path.join(folder, CLAIM_FILE)
    while os.path.exists(path) and not os.path.getsize(path):
        await asyncio.sleep(TAKEOVER_POLL_SECONDS)


def hand_over_folder(folder: str, state: HandedOverState) -> None:
    """Write the state for the new process; from here on the folder is its own. Raises OSError where that fails."""
    path = os.path.join(folder, HANDED_OVER_FILE)
    with open(path + ".new", "wb") as file:
        file.write(msgspec.json.encode(state))
    os.replace(path + ".new", path)
