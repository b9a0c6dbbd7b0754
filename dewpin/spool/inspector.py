"""A read-only view of a journal for `dewpin spool`, whether or not the sender is running.

The file is read once. As a running sender may be writing the last record at that moment, a damaged file is read a
second time after a short pause before the damage is reported.
"""

import os
import time
from typing import Any, NamedTuple

from . import codec
from .codec import DamagedFrame, Frame
from .folder_lock import is_locked
from .journal import COMPACTION_FILE, JOURNAL_FILE
from .records import MessageRecord, RecordKind
from .replay import JournalReplay

REREAD_DELAY_SECONDS = 0.05
KIND_LABELS: dict[bytes, str] = {
    RecordKind.ACCEPTED: "taken",
    RecordKind.ATTEMPT_STARTED: "connect",
    RecordKind.ATTEMPT_NOT_EXECUTED: "not run",
    RecordKind.GIVEN_UP: "given up",
    RecordKind.FINISHED: "over",
    RecordKind.ATTEMPT_SUMMARY: "summary",
    RecordKind.RECEIVER_DETACHED: "detached",
    RecordKind.RECEIVER_ATTACHED: "attached",
    RecordKind.ATTEMPT_FINISHED: "heard",
    RecordKind.DESCRIPTOR_COUNT: "count",
    RecordKind.HANDOVER_CONSUMED: "followed",
}
"""The kinds as the command prints them; operators' scripts depend on these labels."""


class DamagedRegion:
    """A region of the file that is not a valid record.

    `records_after`: number of complete records that follow it, up to the next region."""

    __slots__ = ("offset", "size_bytes", "reason", "records_after")

    def __init__(self, offset: int, size_bytes: int, reason: str) -> None:
        self.offset = offset
        self.size_bytes = size_bytes
        self.reason = reason
        self.records_after = 0


class RecordView(NamedTuple):
    """A record of a message: its offset in the file, the label of its kind, and its fields."""

    offset: int
    label: str
    fields: dict[str, Any]


class JournalInspector:
    """The contents of the journal in a folder.

    `replay`: the state that a sender would restore at its start. `readable_bytes`: the part of the file that it would
    read. `damaged_regions`: the parts that are not valid records. `has_compaction_file`: whether a compaction is in
    progress or was interrupted. `is_sender_running`: whether a running sender holds the folder's lock, None if that
    can't be determined.

    Raises OSError if the journal can't be read."""

    def __init__(self, folder: Any) -> None:
        self.path = os.path.join(folder, JOURNAL_FILE)
        self.content = _read_file(self.path)
        self._scan()
        if self.damaged_regions:
            time.sleep(REREAD_DELAY_SECONDS)
            self.content = _read_file(self.path)
            self._scan()
        self.has_compaction_file = os.path.exists(os.path.join(folder, COMPACTION_FILE))
        self.is_sender_running = is_locked(folder)

    def pending(self) -> list[MessageRecord]:
        """Return the pending messages, in order of acceptance."""
        return list(self.replay.pending.values())

    def find(self, message_id: bytes) -> list[MessageRecord]:
        """Return the pending messages with this id: more than one if a client has used the id repeatedly."""
        return [message for message in self.replay.pending.values() if message.message_id == message_id]

    def records_of(self, serial: int) -> list[RecordView]:
        """Return all records of a message that are still in the file."""
        views, offset = [], 0
        while offset < self.readable_bytes:
            frame = codec.read_frame(self.content, offset)
            assert isinstance(frame, Frame)  # the replay has read every record before `readable_bytes`
            code, record_serial = codec.decode_kind_and_serial(frame.payload)
            if record_serial == serial:
                label = KIND_LABELS.get(code, "unknown")
                views.append(RecordView(offset, label, _record_fields(code, frame.payload)))
            offset = frame.end_offset
        return views

    def _scan(self) -> None:
        self.replay = JournalReplay()
        self.damaged_regions: list[DamagedRegion] = []
        self.readable_bytes = offset = self.replay.run(self.content)
        while offset < len(self.content):
            frame = codec.read_frame(self.content, offset)
            reason = frame.reason if isinstance(frame, DamagedFrame) else "corrupt: its fields make no sense"
            next_offset = _find_next_record(self.content, offset + 1)
            region = DamagedRegion(offset, next_offset - offset, reason)
            self.damaged_regions.append(region)
            offset = next_offset
            while offset < len(self.content):
                following = codec.read_frame(self.content, offset)
                if isinstance(following, DamagedFrame):
                    break
                region.records_after += 1
                offset = following.end_offset


def describe_state(message: MessageRecord) -> str:
    """Return the state that a message would have at a start, as `dewpin spool` prints it."""
    if message.pending_notice:
        return "deferred, notice owed" if message.pending_notice.is_deferred else "bounced, notice owed"
    if message.in_flight:
        return "connect out"
    if message.possibly_executed is not None:
        return "may have run"
    return "not run" if message.attempts else "not sent"


def _record_fields(code: bytes, payload: bytes) -> dict[str, Any]:
    """Return the fields of a record by the names that `dewpin spool show` prints."""
    if code == RecordKind.ATTEMPT_STARTED:
        attempt = codec.decode_attempt(payload)
        return {"sent": attempt.sent_at_ms, "receiver": attempt.receiver}
    if code == RecordKind.GIVEN_UP:
        notice = codec.decode_notice(payload)
        return {"ending": "deferred" if notice.is_deferred else "bounced", "after_ms": notice.retry_after_ms}
    if code == RecordKind.ATTEMPT_SUMMARY:
        summary = codec.decode_summary(payload)
        possibly_executed = summary.possibly_executed
        return {"connects": summary.attempts, "ran_at": possibly_executed and possibly_executed.sent_at_ms}
    if code == RecordKind.ACCEPTED:
        arrived_at_ms, expires_at_ms = codec.MESSAGE_TIMES.unpack_from(payload, codec.KIND_AND_SERIAL.size)
        return {"arrived": arrived_at_ms, "expires": expires_at_ms}
    return {}


def _find_next_record(content: bytes, offset: int) -> int:
    """Return the offset of the next complete record of a known kind, or the length of the file."""
    while offset < len(content):
        frame = codec.read_frame(content, offset)
        if isinstance(frame, Frame) and frame.payload[:1] in codec.KNOWN_KIND_CODES:
            return offset
        offset += 1
    return len(content)


def _read_file(path: str) -> bytes:
    with open(path, "rb") as file:  # stays readable if a compaction replaces it in the meantime
        return file.read()
