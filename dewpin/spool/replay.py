"""Replay of the journal's records: the state that a sender restores at its start."""

import struct

from .codec import (
    DamagedFrame,
    decode_attempt,
    decode_fields,
    decode_kind_and_serial,
    decode_message,
    decode_notice,
    decode_summary,
    read_frame,
)
from .records import MessageRecord, RecordKind

# Bound once, as looking up an enum member takes a noticeable time and a start reads every record.
_ACCEPTED: bytes = RecordKind.ACCEPTED.value
_ATTEMPT_STARTED: bytes = RecordKind.ATTEMPT_STARTED.value
_ATTEMPT_NOT_EXECUTED: bytes = RecordKind.ATTEMPT_NOT_EXECUTED.value
_ATTEMPT_SUMMARY: bytes = RecordKind.ATTEMPT_SUMMARY.value
_GIVEN_UP: bytes = RecordKind.GIVEN_UP.value
_FINISHED: bytes = RecordKind.FINISHED.value
_RECEIVER_DETACHED: bytes = RecordKind.RECEIVER_DETACHED.value
_RECEIVER_ATTACHED: bytes = RecordKind.RECEIVER_ATTACHED.value
_HANDOVER_CONSUMED: bytes = RecordKind.HANDOVER_CONSUMED.value


class JournalReplay:
    """The state that results from applying records in order.

    `pending`: the pending messages by serial number, in order of acceptance. `finished_ids`: ids of the messages whose
    end is recorded. `detached_receivers`: the receivers that operators detached, in that order (a dict, as it keeps the
    order). `consumed_handover_bytes`: how much of the previous process's hand-over log was read. `last_serial`: the
    highest serial number. `counts_by_code`: number of records of each kind, including kinds of newer versions.

    An attempt counts as possibly executed unless a later record excludes it: only that exclusion is recorded."""

    def __init__(self) -> None:
        self.pending: dict[int, MessageRecord] = {}
        self.finished_ids: list[bytes] = []
        self.detached_receivers: dict[bytes, None] = {}
        self.consumed_handover_bytes = 0
        self.last_serial = 0
        self.counts_by_code: dict[bytes, int] = {kind.value: 0 for kind in RecordKind}

    def run(self, content: bytes) -> int:
        """Apply records from the start; return the offset of the first incomplete or invalid one, or the end."""
        offset = 0
        while True:
            frame = read_frame(content, offset)
            if isinstance(frame, DamagedFrame) or not self._apply(frame.payload, frame.end_offset - offset):
                return offset
            offset = frame.end_offset

    def _apply(self, payload: bytes, size_bytes: int) -> bool:
        """Apply one record. Return False if its fields are invalid."""
        code, serial = decode_kind_and_serial(payload)
        try:
            if code == _ACCEPTED:
                accepted = decode_message(serial, payload)
                accepted.stored_bytes = size_bytes
                self.pending[serial] = accepted
            elif code == _HANDOVER_CONSUMED:
                self.consumed_handover_bytes = serial
            elif code == _RECEIVER_DETACHED:
                self.detached_receivers[decode_fields(payload)] = None
            elif code == _RECEIVER_ATTACHED:
                self.detached_receivers.pop(decode_fields(payload), None)
            elif message := self.pending.get(serial):
                self._apply_to_message(message, code, payload)
        except struct.error:
            return False
        if code != _HANDOVER_CONSUMED:
            self.last_serial = max(self.last_serial, serial)
        self.counts_by_code[code] = self.counts_by_code.get(code, 0) + 1
        return True

    def _apply_to_message(self, message: MessageRecord, code: bytes, payload: bytes) -> None:
        if code == _ATTEMPT_STARTED:
            message.finish_attempt(may_have_executed=True)
            message.in_flight = decode_attempt(payload)
            message.attempts += 1
        elif code == _ATTEMPT_NOT_EXECUTED:
            message.finish_attempt(may_have_executed=False)
        elif code == _ATTEMPT_SUMMARY:
            summary = decode_summary(payload)
            message.attempts = summary.attempts
            if summary.possibly_executed:
                message.possibly_executed = summary.possibly_executed
        elif code == _GIVEN_UP:
            message.pending_notice = decode_notice(payload)
        elif code == _FINISHED:
            self.finished_ids.append(message.message_id)
            del self.pending[message.serial]
