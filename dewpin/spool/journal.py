"""The journal in the folder that lasts: what was taken on, what left, what proved not to have run, what ended.

It owns the folder's files and their size, and the sheets of the mails that are still owed an end. Whatever it has
written survives the process; it must never hold more than its share of the disk, both copies of a compaction
together, and never decide what becomes of a mail.
"""
import os

from ..log import events, tell
from . import kept, records

BLOCK = 512             # files count in whole blocks
LATER = 512             # a mail's later records need at most so much after a compaction
SLACK = 262144          # so much of the file may be over before it is written anew


class Spool:
    def __init__(self, folder, disk):
        os.makedirs(folder, exist_ok=True)
        self.path, self.spare = os.path.join(folder, "journal"), os.path.join(folder, "journal.new")
        self.bound(disk)
        self.sheets = {}            # serial: sheet, in the order in which they were taken on
        self.past = []              # ids of mails whose end was found in the journal at the start
        self.live = 0               # what a compaction would write, at most
        self.serial = 0
        if os.path.exists(self.spare):
            os.unlink(self.spare)   # a compaction that did not come to its end; the old copy holds all
        self.file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        with open(self.path, "rb") as file:
            content = file.read()
        found = records.Replay()
        self.size, self.serial, self.past = found.run(content), found.serial, found.past
        self.detached = found.detached      # receivers that operators took out: id: None
        self.live += LATER * len(self.detached)
        for sheet in found.sheets.values():
            self._add(sheet, sheet.size)
        if self.size < len(content):
            tell(events.TORN, bytes=len(content) - self.size, at=self.size)
            os.ftruncate(self.file, self.size)
        self.followed = found.followed      # bytes of an earlier process's tail that are taken in

    def bound(self, disk):
        """The room for the journal and its second copy, beside the list of receivers."""
        self.room = disk - 8 * BLOCK - kept.room(disk)

    def cut(self):
        """Nobody has the calls any more that were out when the process before ended: they may have run."""
        for sheet in self.sheets.values():
            sheet.settle(True)

    # -- writing --------------------------------------------------------------------------------------------

    def take(self, sheet, owed=False):
        """Records a mail before it is answered for; False if the folder has no room for it. One that is owed already,
        by the process before, is recorded in any case."""
        self.serial += 1
        sheet.serial = self.serial
        record = records.taken(sheet)
        whole = len(record) + LATER
        if not self._holds(whole):
            self.compact()
            if not self._holds(whole) and not owed:
                return False
        if not self._write(record):
            return False
        self._add(sheet, len(record))
        return True

    def connect(self, sheet, receiver, now):
        """Records a connect before its first byte; False if that can't be done."""
        sheet.settle(True)
        if not self._append(records.connect(sheet, receiver, now)):
            return False
        sheet.out, sheet.tries = (receiver, now), sheet.tries + 1   # after: the append may compact
        return True

    def settle(self, sheet, ran):
        """After a connect's outcome: whether it may have run."""
        sheet.settle(ran)
        if not ran:
            self._append(records.record(records.NOT_RUN, sheet.serial))

    def give_up(self, sheet, deferred, ms):
        """Records the notice that is owed, before it leaves."""
        sheet.ending = deferred, ms
        self._append(records.given_up(sheet))

    def end(self, sheet):
        if sheet.serial in self.sheets:
            self._drop(sheet)
            self._append(records.record(records.OVER, sheet.serial))

    def detach(self, receiver, out):
        """Records before it is answered that operators took a receiver out, or put it back; False if it can't be."""
        if out == (receiver in self.detached):
            return True
        if out and not self._holds(LATER):
            return False
        if not self._append(records.record(records.DETACHED if out else records.ATTACHED, 0, receiver)):
            return False
        if out:
            self.detached[receiver] = None
        else:
            del self.detached[receiver]
        self.live += LATER if out else -LATER
        return True

    def follow(self, offset):
        """Records that the tail of the process before is taken in up to there."""
        self._append(records.record(records.FOLLOWED, offset))
        self.followed = offset

    def compact(self):
        """Writes what is owed to a second file, which takes the first one's place in one step."""
        content = b"".join([records.record(records.FOLLOWED, self.followed)]
                           + [records.record(records.DETACHED, 0, one) for one in self.detached]
                           + [records.whole(sheet) for sheet in self.sheets.values()])
        try:
            file = os.open(self.spare, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
            try:
                self._put(file, content)
                os.replace(self.spare, self.path)
            except OSError:
                os.close(file)
                os.unlink(self.spare)
                raise
        except OSError as error:
            tell(events.COMPACT_FAULT, why=str(error))
            return
        os.close(self.file)
        self.file, self.size = file, len(content)

    def close(self):
        os.close(self.file)

    def _holds(self, whole):
        """Whether a mail more leaves room for all that may follow, and for a compaction then."""
        return max(self.size, self.live) + self.live + 2 * whole <= self.room

    def _fits(self, more):
        return self.size + self.live + more <= self.room

    def _add(self, sheet, size):
        sheet.size = size + LATER
        self.sheets[sheet.serial] = sheet
        self.live += sheet.size

    def _drop(self, sheet):
        del self.sheets[sheet.serial]
        self.live -= sheet.size

    def _append(self, record):
        if not self._fits(len(record)) or self.size > 2 * self.live + SLACK:
            self.compact()
        return self._write(record)

    def _write(self, record):
        try:
            self._put(self.file, record)
        except OSError as error:
            tell(events.WRITE_FAULT, why=str(error))
            os.ftruncate(self.file, self.size)      # no later record may stand behind a torn one
            return False
        self.size += len(record)
        return True

    @staticmethod
    def _put(file, content):
        view = memoryview(content)
        while view:
            view = view[os.write(file, view):]
