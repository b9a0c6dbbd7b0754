"""Takeover from one process of a sender by the next one while it is serving, through their common state folder.

Two files are used. `next` is created and locked by the next process; one byte in it means that this process accepts
clients. `handed` is written atomically by the old process; from then on the next process owns the journal and makes all
decisions, and the old process records further results in its hand-over log.
"""

import asyncio
import errno
import fcntl
import os
from typing import Any

import msgspec

from ..spool.folder_lock import FolderLock, is_locked

CLAIM_FILE, HANDED_OVER_FILE = "next", "handed"
CLAIM_POLL_SECONDS = 0.05  # interval at which a serving process checks for a claim
TAKEOVER_POLL_SECONDS = 0.005  # interval at which both processes poll during a takeover
LOCK_ATTEMPTS = 20
FOLDER_TIMEOUT_SECONDS = 10.0  # time for which a new process waits for the folder

HandedOverState = dict[str, Any]
"""The result of `learned_state.export_learned_state`, with `out` (serials of messages in flight) and `descriptors`
(number still open in the old process)."""


class TakeoverClaim:
    """The new process's claim on the folder, from its start until the old process has ended.

    Attributes:
        folder: the state folder.
        file: descriptor of the locked claim file, or -1 if there is none.
    """

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self.file = -1

    async def enter(self) -> tuple[FolderLock | None, HandedOverState | None]:
        """Wait for the folder; return its lock, or the state handed over by the process that still holds it.

        Exactly one of the two is not None. Raises OSError if the process that holds the folder doesn't hand it over, or
        if another process has already claimed it.
        """
        try:
            return FolderLock.acquire(self.folder, attempts=2), None
        except OSError as error:
            if error.errno != errno.EBUSY:
                raise
            busy_error = error
        await self._lock_claim_file(busy_error)
        os.ftruncate(self.file, 0)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + FOLDER_TIMEOUT_SECONDS
        while loop.time() < deadline:
            if lock := self.try_lock_folder():  # the old process ended without handing over
                self.drop()
                return lock, None
            try:
                with open(os.path.join(self.folder, HANDED_OVER_FILE), "rb") as file:
                    return None, msgspec.json.decode(file.read())
            except FileNotFoundError:
                await asyncio.sleep(TAKEOVER_POLL_SECONDS)
        self.drop()
        raise busy_error

    async def _lock_claim_file(self, busy_error: OSError) -> None:
        """Lock the claim file. Raises `busy_error` if another process keeps it locked."""
        self.file = os.open(os.path.join(self.folder, CLAIM_FILE), os.O_RDWR | os.O_CREAT, 0o600)
        for attempts_left in reversed(range(LOCK_ATTEMPTS)):  # the old process locks it briefly at each check
            try:
                fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                break
            except BlockingIOError:
                if not attempts_left:
                    raise busy_error from None
                await asyncio.sleep(TAKEOVER_POLL_SECONDS)

    def try_lock_folder(self) -> FolderLock | None:
        """Return the folder's lock if the old process has ended, else None."""
        try:
            return FolderLock.acquire(self.folder, attempts=1)
        except OSError:
            return None

    def mark_ready(self) -> None:
        """Signal the old process that this one accepts clients."""
        os.write(self.file, b"1")

    def drop(self) -> None:
        """Remove the files shared by the two processes; called when the old one has ended or never existed."""
        for name in (HANDED_OVER_FILE, CLAIM_FILE):
            try:
                os.unlink(os.path.join(self.folder, name))
            except FileNotFoundError:
                pass
        if self.file >= 0:
            os.close(self.file)
            self.file = -1


async def wait_until_claimed(folder: str) -> None:
    """Wait until a new process claims the folder. Ignore an unlocked claim file, which a killed process has left."""
    path = os.path.join(folder, CLAIM_FILE)
    while not is_locked(path):
        await asyncio.sleep(CLAIM_POLL_SECONDS)


async def wait_until_taken_over(folder: str) -> None:
    """Wait until the new process accepts clients."""
    path = os.path.join(folder, CLAIM_FILE)
    while os.path.exists(path) and not os.path.getsize(path):
        await asyncio.sleep(TAKEOVER_POLL_SECONDS)


def hand_over_folder(folder: str, state: HandedOverState) -> None:
    """Write the state for the new process, which owns the folder from then on. Raises OSError on failure."""
    path = os.path.join(folder, HANDED_OVER_FILE)
    with open(path + ".new", "wb") as file:
        file.write(msgspec.json.encode(state))
    os.replace(path + ".new", path)
