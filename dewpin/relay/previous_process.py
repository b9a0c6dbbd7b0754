"""The process that handed over its folder: its reports in the hand-over log, and its attempts in flight."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..core.model import Outcome, Receiver
from ..ports import AttemptResult
from ..spool.handover_log import AcceptedMessage, FinishedAttempt, HandoverLogReader
from ..spool.records import MessageRecord

if TYPE_CHECKING:  # creating a protocol class is expensive and would slow down each start

    class Successor(Protocol):
        """The part of `Relay` that takes over from the previous process."""

        def handle_accepted_elsewhere(self, record: MessageRecord) -> None:
            """Take over a message that the previous process has accepted."""

        def handle_result(self, record: MessageRecord, receiver: Receiver, result: AttemptResult) -> None:
            """Handle the result of an attempt."""

        def detach(self, receiver_id: bytes) -> object:
            """Detach a receiver."""

        def attach(self, receiver_id: bytes) -> object:
            """Attach a receiver."""


class PreviousProcess:
    """The successor's view of the previous process, until that process has ended."""

    def __init__(self, reader: HandoverLogReader, successor: Successor) -> None:
        self._reader = reader
        self._successor = successor
        self._attempts: dict[int, tuple[MessageRecord, Receiver]] = {}

    @property
    def attempt_count(self) -> int:
        """Number of attempts that the previous process has in flight."""
        return len(self._attempts)

    def add_attempt(self, record: MessageRecord, receiver: Receiver) -> None:
        """Record an attempt that the previous process has in flight."""
        self._attempts[record.serial] = record, receiver

    def consume_log(self, is_gone: bool) -> None:
        """Handle the log entries that the previous process has written since the last call.

        `is_gone`: whether that process has ended; attempts without a reported result are then lost. Exceptions of the
        successor are passed on; the next call handles the event again.
        """
        for event in self._reader.read_events():
            if isinstance(event, AcceptedMessage):
                self._successor.handle_accepted_elsewhere(event.message)
            elif isinstance(event, FinishedAttempt):
                self._finish_attempt(event.serial, event.result)
            elif event.is_detached:
                self._successor.detach(event.receiver)
            else:
                self._successor.attach(event.receiver)
        if is_gone:
            self._reader.close()
            for serial in list(self._attempts):
                self._finish_attempt(serial, AttemptResult(Outcome.RESET, 0.0, 0.0, {}, False))

    def _finish_attempt(self, serial: int, result: AttemptResult) -> None:
        if attempt := self._attempts.pop(serial, None):
            self._successor.handle_result(*attempt, result)
