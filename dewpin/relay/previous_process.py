"""The process that handed its folder over: what it reports by the hand-over log, and its attempts in flight."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..core.model import Outcome, Receiver
from ..ports import AttemptResult
from ..spool.handover_log import AcceptedMessage, FinishedAttempt, HandoverLogReader
from ..spool.records import MessageRecord

if TYPE_CHECKING:  # a protocol is costly to make, and each start would make it

    class Successor(Protocol):
        """What takes over from the previous process: see `Relay`."""

        def handle_accepted_elsewhere(self, record: MessageRecord) -> None:
            """Takes over a message that the previous process has accepted."""

        def handle_result(self, record: MessageRecord, receiver: Receiver, result: AttemptResult) -> None:
            """Handles the result of an attempt."""

        def detach(self, receiver_id: bytes) -> object:
            """Detaches a receiver."""

        def attach(self, receiver_id: bytes) -> object:
            """Attaches a receiver."""


class PreviousProcess:
    """The previous process as its successor knows it, until it has ended."""

    def __init__(self, reader: HandoverLogReader, successor: Successor) -> None:
        self._reader = reader
        self._successor = successor
        self._attempts: dict[int, tuple[MessageRecord, Receiver]] = {}

    @property
    def attempt_count(self) -> int:
        """How many attempts it has in flight."""
        return len(self._attempts)

    def add_attempt(self, record: MessageRecord, receiver: Receiver) -> None:
        """Records that it has an attempt of a message in flight."""
        self._attempts[record.serial] = record, receiver

    def consume_log(self, is_gone: bool) -> None:
        """Handles what it has written since the last call.

        `is_gone`: it has ended; attempts of which it did not report the result are lost. Raises what the successor
        raises; the event is then handled again by the next call.
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
