"""The hand-over log: what still happens at a process that has handed its folder to the next one.

The process that leaves writes the file `tail`, the one that has taken over reads it. Either may be killed at any time:
how much was read is recorded in the journal, the rest is read again. The log decides nothing about a message.
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
READ_BYTES = 1 << 20


class AcceptedMessage(msgspec.Struct, frozen=True):
    """The process that leaves has accepted a message."""

    message: MessageRecord


class FinishedAttempt(msgspec.Struct, frozen=True):
    """An attempt of the process that leaves is finished; `serial` is the message's in the journal."""

    serial: int
    result: AttemptResult


class ReceiverDetachment(msgspec.Struct, frozen=True):
    """Operators detached or attached a receiver at the process that leaves."""

    receiver: bytes
    is_detached: bool


HandoverEvent = AcceptedMessage | FinishedAttempt | ReceiverDetachment


class HandoverLogWriter:
    """Takes the journal's place at the process that leaves, for what the relay still needs of one.

    `pending`: the messages whose attempts are in flight here, by serial number. `accepted_count`: messages accepted
    since. Raises OSError if the file can't be made."""

    def __init__(self, folder: Any, journal: Journal) -> None:
        self.pending = {serial: message for serial, message in journal.pending.items() if message.in_flight}
        self.detached_receivers = dict(journal.detached_receivers)
        # the journal, its compaction and this file share the capacity, and the next process writes all of it once more
        free_bytes = journal.capacity_bytes - max(journal.size_bytes, journal.live_bytes) - journal.live_bytes
        self.capacity_bytes = max(0.0, free_bytes) / 4.0
        self.last_serial = journal.last_serial
        self.size_bytes = self.live_bytes = 0
        self.accepted_count = 0
        path = os.path.join(folder, HANDOVER_FILE)
        self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)

    def accept(self, message: MessageRecord) -> bool:
        """Records a message before its acceptance is acknowledged; False if there is no capacity for it."""
        self.last_serial += 1
        message.serial = self.last_serial
        if not self._write(codec.encode_accepted(message)):
            return False
        self.accepted_count += 1
        return True

    def finish_attempt(self, message: MessageRecord, result: AttemptResult) -> None:
        """Records an attempt's result, over the limit too: the next process waits for it."""
        self.pending.pop(message.serial, None)
        fields = msgspec.json.encode(result)
        self._write(codec.encode_record(RecordKind.ATTEMPT_FINISHED, message.serial, fields), over_limit=True)

    def set_detached(self, receiver: bytes, is_detached: bool) -> bool:
        """Records, before it is acknowledged, that operators detached or attached a receiver; False if not possible."""
        kind = RecordKind.RECEIVER_DETACHED if is_detached else RecordKind.RECEIVER_ATTACHED
        return self._write(codec.encode_record(kind, 0, receiver))

    def report_descriptors(self, descriptors: int) -> None:
        """Tells the next process how many descriptors this one still holds: the two share one limit."""
        self._write(codec.encode_record(RecordKind.DESCRIPTOR_COUNT, descriptors), over_limit=True)

    def close(self) -> None:
        """Closes the file."""
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
    """Reads a hand-over log from where the journal says that it was read before.

    `descriptors`: how many its writer still holds, as far as is known."""

    def __init__(self, folder: Any, journal: Journal) -> None:
        self.path = os.path.join(folder, HANDOVER_FILE)
        self.descriptors = 0
        self._journal = journal
        self._descriptor: int | None = None

    def exists(self) -> bool:
        """Whether there is a hand-over log at all."""
        return os.path.exists(self.path)

    def read_events(self) -> Iterator[HandoverEvent]:
        """What was written since the last call. An event counts as consumed once the next one is asked for.

        Reading starts at the first event that is not consumed, so one whose handling raises is read again.
        """
        if self._descriptor is None:
            try:
                self._descriptor = os.open(self.path, os.O_RDONLY)
            except FileNotFoundError:
                return
        journal = self._journal
        unparsed = b""
        while content := os.pread(self._descriptor, READ_BYTES, journal.consumed_handover_bytes + len(unparsed)):
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
        """Removes the file: all of it is consumed, and its writer is gone."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None
        try:
            os.unlink(self.path)
        except FileNotFoundError:
            pass

    def _decode(self, payload: bytes) -> HandoverEvent | None:
        """The event of a record; None for a count of descriptors, which is noted here, and for unknown kinds."""
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
