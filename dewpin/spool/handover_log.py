"""The hand-over log: the events of a process after it has handed over its folder to the next one.

The old process writes the file `tail`, and the process that has taken over reads it. Either may be killed at any time:
the read position is recorded in the journal, and the rest is read again. The log makes no decisions about messages.
"""

import os
from collections.abc import Iterator
from typing import Any

import msgspec

from ..log import events, log_event
from ..ports import AttemptResult
from . import codec
from .codec import DamagedFrame
from .journal import Journal, write_all
from .records import MessageRecord, RecordKind

HANDOVER_FILE = "tail"
READ_CHUNK_BYTES = 1 << 20


class AcceptedMessage(msgspec.Struct, frozen=True):
    """The old process has accepted a message."""

    message: MessageRecord


class FinishedAttempt(msgspec.Struct, frozen=True):
    """An attempt of the old process is finished; `serial`: the message's serial number in the journal."""

    serial: int
    result: AttemptResult


class ReceiverDetachment(msgspec.Struct, frozen=True):
    """An operator detached or attached a receiver at the old process."""

    receiver: bytes
    is_detached: bool


HandoverEvent = AcceptedMessage | FinishedAttempt | ReceiverDetachment


class HandoverLogWriter:
    """Replaces the journal at the old process, with the part of its interface that the relay still needs.

    `pending`: the messages with an attempt of this process in flight, by serial number. `accepted_count`: number of
    messages accepted since the hand-over. Raises OSError if the file can't be created."""

    def __init__(self, folder: Any, journal: Journal) -> None:
        self.pending = {serial: message for serial, message in journal.pending.items() if message.in_flight}
        self.detached_receivers = dict(journal.detached_receivers)
        # The journal, its compaction and this file share the capacity, and the next process writes all of this file to
        # the journal again.
        free_bytes = journal.capacity_bytes - max(journal.size_bytes, journal.live_bytes) - journal.live_bytes
        self.capacity_bytes = max(0.0, free_bytes) / 4.0
        self.last_serial = journal.last_serial
        self.size_bytes = self.live_bytes = 0
        self.accepted_count = 0
        path = os.path.join(folder, HANDOVER_FILE)
        self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)

    def accept(self, message: MessageRecord) -> bool:
        """Record a message before its acceptance is acknowledged. Return False if it can't be written."""
        self.last_serial += 1
        message.serial = self.last_serial
        if not self._write(codec.encode_accepted(message)):
            return False
        self.accepted_count += 1
        return True

    def finish_attempt(self, message: MessageRecord, result: AttemptResult) -> None:
        """Record the result of an attempt, even above the capacity, as the next process waits for it."""
        self.pending.pop(message.serial, None)
        fields = msgspec.json.encode(result)
        self._write(codec.encode_record(RecordKind.ATTEMPT_FINISHED, message.serial, fields), over_limit=True)

    def set_detached(self, receiver: bytes, is_detached: bool) -> bool:
        """Record that a receiver was detached or attached, before that is acknowledged. Return False on failure."""
        kind = RecordKind.RECEIVER_DETACHED if is_detached else RecordKind.RECEIVER_ATTACHED
        return self._write(codec.encode_record(kind, 0, receiver))

    def report_descriptors(self, descriptors: int) -> None:
        """Record how many descriptors this process still holds, as it shares one limit with the next process."""
        self._write(codec.encode_record(RecordKind.DESCRIPTOR_COUNT, descriptors), over_limit=True)

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)

    def _write(self, record: bytes, over_limit: bool = False) -> bool:
        if not over_limit and self.size_bytes + len(record) > self.capacity_bytes:
            return False
        try:
            write_all(self._descriptor, record)
        except OSError as error:
            log_event(events.JOURNAL_WRITE_FAILED, why=str(error))
            os.ftruncate(self._descriptor, self.size_bytes)
            return False
        self.size_bytes += len(record)
        return True


class HandoverLogReader:
    """Reads a hand-over log from the position that is recorded in the journal.

    `descriptors`: number of descriptors that the writer still holds, as last reported."""

    def __init__(self, folder: Any, journal: Journal) -> None:
        self.path = os.path.join(folder, HANDOVER_FILE)
        self.descriptors = 0
        self._journal = journal
        self._descriptor: int | None = None

    def exists(self) -> bool:
        """Return whether there is a hand-over log."""
        return os.path.exists(self.path)

    def read_events(self) -> Iterator[HandoverEvent]:
        """Yield the events written since the last call. An event is consumed when the next one is requested.

        Reading starts at the first event that is not consumed, so an event whose handling raises is read again.
        """
        if self._descriptor is None:
            try:
                self._descriptor = os.open(self.path, os.O_RDONLY)
            except FileNotFoundError:
                return
        journal = self._journal
        unparsed = b""
        while content := os.pread(self._descriptor, READ_CHUNK_BYTES, journal.consumed_handover_bytes + len(unparsed)):
            unparsed += content
            offset = 0
            while True:
                frame = codec.read_frame(unparsed, offset)
                if isinstance(frame, DamagedFrame):
                    break
                if event := self._decode(frame.payload):
                    yield event
                journal.mark_handover_consumed(journal.consumed_handover_bytes + frame.end_offset - offset)
                offset = frame.end_offset
            unparsed = unparsed[offset:]

    def close(self) -> None:
        """Remove the file, once all of it is consumed and its writer has ended."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None
        try:
            os.unlink(self.path)
        except FileNotFoundError:
            pass

    def _decode(self, payload: bytes) -> HandoverEvent | None:
        """Return the event of a record; None for unknown kinds and for a descriptor count, which is stored here."""
        code, serial = codec.decode_kind_and_serial(payload)
        if code == RecordKind.ACCEPTED:
            return AcceptedMessage(codec.decode_message(serial, payload))
        if code == RecordKind.ATTEMPT_FINISHED:
            return FinishedAttempt(serial, AttemptResult(*msgspec.json.decode(codec.decode_fields(payload))))
        if code == RecordKind.RECEIVER_DETACHED:
            return ReceiverDetachment(codec.decode_fields(payload), is_detached=True)
        if code == RecordKind.RECEIVER_ATTACHED:
            return ReceiverDetachment(codec.decode_fields(payload), is_detached=False)
        if code == RecordKind.DESCRIPTOR_COUNT:
            self.descriptors = serial
        return None
