"""The journal in the folder that lasts: what was taken on, what left, what proved not to have run, what ended.

It owns the folder's files and their size, and the sheets of the mails that are still owed an end. Whatever it has
written survives the process; it must never hold more than its share of the disk, both copies of a compaction
together, and never decide what becomes of a mail.

A record is a length, a checksum, a kind and its fields. A connect without a record behind it that says otherwise
may have run, so only proof of the contrary is written down.
"""
import os
import struct
from zlib import crc32

from .log import say

HEAD = struct.Struct("<II")
TAKEN, CONNECT, NOT_RUN, GIVEN_UP, OVER, SUMMARY = b"T", b"C", b"N", b"G", b"E", b"S"
SERIAL = struct.Struct("<cQ")
TIMES = struct.Struct("<dd")
SPENT = struct.Struct("<Hd")
FIELDS = 7
BLOCK = 512             # files count in whole blocks
LATER = 512             # a mail's later records need at most so much after a compaction
SLACK = 262144          # so much of the file may be over before it is written anew


class Sheet:
    """What is kept of a mail until its end. Texts are the bytes that came."""
    __slots__ = ("serial", "ident", "queue_class", "account", "key", "destination", "tag", "body", "arrived",
                 "expires", "tries", "ran_at", "ran_to", "out", "ending", "size", "mail")

    def __init__(self, ident, queue_class, account, key, destination, tag, body, arrived, expires):
        self.ident, self.queue_class, self.account, self.key = ident, queue_class, account, key
        self.destination, self.tag, self.body = destination, tag, body
        self.arrived, self.expires = arrived, expires
        self.serial, self.size = 0, 0
        self.tries = 0                      # connects made, the one out included
        self.ran_at = self.ran_to = None    # the first connect that may have run, without the one out
        self.out = None                     # (receiver, sent) of the connect that is out
        self.ending = None                  # (True: deferred, ms) once given up, until the notice is answered
        self.mail = None                    # the same mail as the facade sees it

    def settle(self, ran):
        if self.out and ran and self.ran_at is None:
            self.ran_to, self.ran_at = self.out
        self.out = None


def _record(kind, serial, *parts):
    content = SERIAL.pack(kind, serial) + b"".join(parts)
    return HEAD.pack(len(content), crc32(content)) + content


def _taken(sheet):
    texts = (sheet.ident, sheet.queue_class, sheet.account, sheet.key, sheet.destination, sheet.tag, sheet.body)
    return _record(TAKEN, sheet.serial, TIMES.pack(sheet.arrived, sheet.expires),
                   *[part for text in texts for part in (struct.pack("<I", len(text)), text)])


def _connect(sheet, receiver, sent):
    return _record(CONNECT, sheet.serial, struct.pack("<d", sent), receiver)


def _given_up(sheet):
    return _record(GIVEN_UP, sheet.serial, struct.pack("<?d", *sheet.ending))


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
        self.size = self._replay(content)
        if self.size < len(content):
            say("spool", f"drops {len(content) - self.size} torn bytes at the journal's end")
            os.ftruncate(self.file, self.size)
        for sheet in self.sheets.values():
            sheet.settle(True)      # a connect that was out when the process ended may have run

    def bound(self, disk):
        """The room for the journal and its second copy."""
        self.room = disk - 8 * BLOCK

    # -- reading --------------------------------------------------------------------------------------------

    def _replay(self, content):
        at = 0
        while at + HEAD.size <= len(content):
            length, check = HEAD.unpack_from(content, at)
            record = content[at + HEAD.size:at + HEAD.size + length]
            if length < SERIAL.size or len(record) < length or crc32(record) != check:
                break
            at += HEAD.size + length
            kind, serial = SERIAL.unpack_from(record)
            self.serial = max(self.serial, serial)
            if kind == TAKEN:
                self._add(self._read_taken(serial, record), HEAD.size + length)
            elif sheet := self.sheets.get(serial):
                self._read_later(sheet, kind, record)
        return at

    def _read_taken(self, serial, record):
        times, at, texts = TIMES.unpack_from(record, SERIAL.size), SERIAL.size + TIMES.size, []
        for _ in range(FIELDS):
            (length,) = struct.unpack_from("<I", record, at)
            texts.append(record[at + 4:at + 4 + length])
            at += 4 + length
        sheet = Sheet(*texts, *times)
        sheet.serial = serial
        return sheet

    def _read_later(self, sheet, kind, record):
        if kind == CONNECT:
            sheet.settle(True)      # nothing spoke against the one before
            (sent,) = struct.unpack_from("<d", record, SERIAL.size)
            sheet.out, sheet.tries = (record[SERIAL.size + 8:], sent), sheet.tries + 1
        elif kind == NOT_RUN:
            sheet.settle(False)
        elif kind == SUMMARY:
            sheet.tries, ran_at = SPENT.unpack_from(record, SERIAL.size)
            if ran_at >= 0.0:
                sheet.ran_at, sheet.ran_to = ran_at, record[SERIAL.size + SPENT.size:]
        elif kind == GIVEN_UP:
            sheet.ending = struct.unpack_from("<?d", record, SERIAL.size)
        elif kind == OVER:
            self.past.append(sheet.ident)
            self._drop(sheet)

    # -- writing --------------------------------------------------------------------------------------------

    def take(self, sheet):
        """Records a mail before it is answered for; False if the folder has no room for it."""
        self.serial += 1
        sheet.serial = self.serial
        record = _taken(sheet)
        whole = len(record) + LATER
        if not self._holds(whole):
            self.compact()
            if not self._holds(whole):
                return False
        if not self._write(record):
            return False
        self._add(sheet, len(record))
        return True

    def connect(self, sheet, receiver, now):
        """Records a connect before its first byte; False if that can't be done."""
        sheet.settle(True)
        if not self._append(_connect(sheet, receiver, now)):
            return False
        sheet.out, sheet.tries = (receiver, now), sheet.tries + 1   # after: the append may compact
        return True

    def settle(self, sheet, ran):
        """After a connect's outcome: whether it may have run."""
        sheet.settle(ran)
        if not ran:
            self._append(_record(NOT_RUN, sheet.serial))

    def give_up(self, sheet, deferred, ms):
        """Records the notice that is owed, before it leaves."""
        sheet.ending = deferred, ms
        self._append(_given_up(sheet))

    def end(self, sheet):
        if sheet.serial in self.sheets:
            self._drop(sheet)
            self._append(_record(OVER, sheet.serial))

    def compact(self):
        """Writes what is owed to a second file, which takes the first one's place in one step."""
        parts = []
        for sheet in self.sheets.values():
            parts.append(_taken(sheet))
            before = sheet.tries - (sheet.out is not None)
            if before:
                ran_at = -1.0 if sheet.ran_at is None else sheet.ran_at
                parts.append(_record(SUMMARY, sheet.serial, SPENT.pack(before, ran_at), sheet.ran_to or b""))
            if sheet.out:
                parts.append(_connect(sheet, *sheet.out))
            if sheet.ending:
                parts.append(_given_up(sheet))
        content = b"".join(parts)
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
            say("spool", f"compaction: {error}")
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
            say("spool", f"write: {error}")
            os.ftruncate(self.file, self.size)      # no later record may stand behind a torn one
            return False
        self.size += len(record)
        return True

    @staticmethod
    def _put(file, content):
        view = memoryview(content)
        while view:
            view = view[os.write(file, view):]
