"""The journal: a persistent record of accepted, attempted, given-up and finished messages.

The file is append-only; a compaction writes the pending messages to a second file and renames it over the first one.
The size of both files together is limited to a share of the disk limit. The journal makes no decisions about messages.
"""

import os
from typing import Any

from ..log import events, log_event
from . import codec
from .endpoint_cache import max_cache_bytes
from .records import Attempt, MessageRecord, PendingNotice, RecordKind
from .replay import JournalReplay

JOURNAL_FILE = "journal"
COMPACTION_FILE = "journal.new"
BLOCK_BYTES = 512
"""Block size; file sizes are rounded up to whole blocks when counted against the disk limit."""
RESERVED_BLOCKS = 8
RESERVED_BYTES_PER_MESSAGE = 512
"""Maximum size of a message's records after its acceptance in a compacted journal."""
MAX_GARBAGE_BYTES = 262_144
"""A compaction starts once the file exceeds twice the live bytes by more than this."""


def write_all(descriptor: int, content: bytes) -> None:
    """Write all bytes, with as many system calls as needed. Raises OSError."""
    unwritten = memoryview(content)
    while unwritten:
        unwritten = unwritten[os.write(descriptor, unwritten) :]


class Journal:
    """The only writer of a folder's journal. Opening it replays the file and truncates an incomplete last record.

    `pending`: the pending messages by serial number, in order of acceptance. `finished_ids`: ids of the messages whose
    end was in the journal when it was opened. `detached_receivers`: the receivers that operators detached (a dict, as
    it keeps their order). `consumed_handover_bytes`: how much of the previous process's hand-over log was read.
    `live_bytes`: maximum size of a compacted journal. `capacity_bytes`: limit for both files of a compaction
    together."""

    def __init__(self, folder: Any, disk_bytes: float) -> None:
        os.makedirs(folder, exist_ok=True)
        self.path = os.path.join(folder, JOURNAL_FILE)
        self.compaction_path = os.path.join(folder, COMPACTION_FILE)
        self.set_disk_limit(disk_bytes)
        self.pending: dict[int, MessageRecord] = {}
        self.live_bytes = 0
        if os.path.exists(self.compaction_path):
            os.unlink(self.compaction_path)  # from an interrupted compaction; the journal is still complete
        self._descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)
        with open(self.path, "rb") as file:
            content = file.read()
        replay = JournalReplay()
        self.size_bytes = replay.run(content)
        self.last_serial = replay.last_serial
        self.finished_ids = replay.finished_ids
        self.detached_receivers = replay.detached_receivers
        self.consumed_handover_bytes = replay.consumed_handover_bytes
        self.live_bytes += RESERVED_BYTES_PER_MESSAGE * len(self.detached_receivers)
        for message in replay.pending.values():
            self._add(message, message.stored_bytes)
        if self.size_bytes < len(content):
            log_event(events.JOURNAL_TRUNCATED, bytes=len(content) - self.size_bytes, at=self.size_bytes)
            os.ftruncate(self._descriptor, self.size_bytes)

    def set_disk_limit(self, disk_bytes: float) -> None:
        """Set the capacity to the part of the disk limit that the endpoint cache may not use."""
        self.capacity_bytes = disk_bytes - RESERVED_BLOCKS * BLOCK_BYTES - max_cache_bytes(disk_bytes)

    def assume_attempts_executed(self) -> None:
        """End the attempts that were in flight when the previous process ended, as possibly executed."""
        for message in self.pending.values():
            message.finish_attempt(may_have_executed=True)

    # -- messages -------------------------------------------------------------------------------------------

    def accept(self, message: MessageRecord, already_accepted: bool = False) -> bool:
        """Record a message before its acceptance is acknowledged. Return False if it can't be recorded.

        `already_accepted`: the previous process has acknowledged it, so it is recorded even above the capacity."""
        self.last_serial += 1
        message.serial = self.last_serial
        record = codec.encode_accepted(message)
        needed_bytes = len(record) + RESERVED_BYTES_PER_MESSAGE
        if not self._has_capacity_for(needed_bytes):
            self.compact()
            if not self._has_capacity_for(needed_bytes) and not already_accepted:
                return False
        if not self._write(record):
            return False
        self._add(message, len(record))
        return True

    def start_attempt(self, message: MessageRecord, receiver: bytes, now_ms: float) -> bool:
        """Record an attempt before its first byte is sent. Return False if it can't be recorded."""
        message.finish_attempt(may_have_executed=True)
        attempt = Attempt(receiver, now_ms)
        if not self._append(codec.encode_attempt_started(message.serial, attempt)):
            return False
        # Set only after the append, which may trigger a compaction that would also write the attempt in flight.
        message.in_flight = attempt
        message.attempts += 1
        return True

    def finish_attempt(self, message: MessageRecord, may_have_executed: bool) -> None:
        """End the attempt in flight; a record is written only if it was not executed."""
        message.finish_attempt(may_have_executed)
        if not may_have_executed:
            self._append(codec.encode_record(RecordKind.ATTEMPT_NOT_EXECUTED, message.serial))

    def give_up(self, message: MessageRecord, notice: PendingNotice) -> None:
        """Record the notice for a message that was given up, before it is sent."""
        message.pending_notice = notice
        self._append(codec.encode_given_up(message.serial, notice))

    def finish(self, message: MessageRecord) -> None:
        """Record the end of a message; do nothing if it is not pending."""
        if message.serial in self.pending:
            self._remove(message)
            self._append(codec.encode_record(RecordKind.FINISHED, message.serial))

    # -- receivers and hand-over ----------------------------------------------------------------------------

    def set_detached(self, receiver: bytes, is_detached: bool) -> bool:
        """Record that a receiver was detached or attached, before that is acknowledged. Return False on failure."""
        if is_detached == (receiver in self.detached_receivers):
            return True
        if is_detached and not self._has_capacity_for(RESERVED_BYTES_PER_MESSAGE):
            return False
        kind = RecordKind.RECEIVER_DETACHED if is_detached else RecordKind.RECEIVER_ATTACHED
        if not self._append(codec.encode_record(kind, 0, receiver)):
            return False
        if is_detached:
            self.detached_receivers[receiver] = None
            self.live_bytes += RESERVED_BYTES_PER_MESSAGE
        else:
            del self.detached_receivers[receiver]
            self.live_bytes -= RESERVED_BYTES_PER_MESSAGE
        return True

    def mark_handover_consumed(self, offset: int) -> None:
        """Record that the previous process's hand-over log is consumed up to this offset."""
        self._append(codec.encode_record(RecordKind.HANDOVER_CONSUMED, offset))
        self.consumed_handover_bytes = offset

    # -- the file -------------------------------------------------------------------------------------------

    def compact(self) -> None:
        """Write the live state to a second file and rename it over the journal.

        An error is logged, and the journal remains unchanged."""
        content = self._live_content()
        try:
            descriptor = os.open(self.compaction_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
            try:
                write_all(descriptor, content)
                os.replace(self.compaction_path, self.path)
            except OSError:
                os.close(descriptor)
                os.unlink(self.compaction_path)
                raise
        except OSError as error:
            log_event(events.COMPACTION_FAILED, why=str(error))
            return
        os.close(self._descriptor)
        self._descriptor = descriptor
        self.size_bytes = len(content)

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)

    def _live_content(self) -> bytes:
        records = [codec.encode_record(RecordKind.HANDOVER_CONSUMED, self.consumed_handover_bytes)]
        for receiver in self.detached_receivers:
            records.append(codec.encode_record(RecordKind.RECEIVER_DETACHED, 0, receiver))
        for message in self.pending.values():
            records.append(codec.encode_pending_message(message))
        return b"".join(records)

    def _has_capacity_for(self, needed_bytes: int) -> bool:
        """Return whether one more item leaves capacity for all its later records and for a compaction."""
        used_bytes = max(self.size_bytes, self.live_bytes) + self.live_bytes
        return used_bytes + 2 * needed_bytes <= self.capacity_bytes

    def _fits(self, record_bytes: int) -> bool:
        return self.size_bytes + self.live_bytes + record_bytes <= self.capacity_bytes

    def _add(self, message: MessageRecord, record_bytes: int) -> None:
        message.stored_bytes = record_bytes + RESERVED_BYTES_PER_MESSAGE
        self.pending[message.serial] = message
        self.live_bytes += message.stored_bytes

    def _remove(self, message: MessageRecord) -> None:
        del self.pending[message.serial]
        self.live_bytes -= message.stored_bytes

    def _append(self, record: bytes) -> bool:
        if not self._fits(len(record)) or self.size_bytes > 2 * self.live_bytes + MAX_GARBAGE_BYTES:
            self.compact()
        return self._write(record)

    def _write(self, record: bytes) -> bool:
        try:
            write_all(self._descriptor, record)
        except OSError as error:
            log_event(events.JOURNAL_WRITE_FAILED, why=str(error))
            os.ftruncate(self._descriptor, self.size_bytes)  # records after an incomplete one would be lost
            return False
        self.size_bytes += len(record)
        return True
