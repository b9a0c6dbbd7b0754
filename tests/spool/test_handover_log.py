"""The hand-over log: the events that its reader consumes if handling one fails or a record is incomplete."""

import pytest

from dewpin.core.model import Outcome
from dewpin.ports import AttemptResult
from dewpin.spool import codec
from dewpin.spool.handover_log import FinishedAttempt, HandoverLogReader, HandoverLogWriter
from dewpin.spool.journal import Journal
from dewpin.spool.records import MessageRecord

DISK_BYTES = 1e6
RESULT = AttemptResult(Outcome.RESET, 0.0, 0.0, {}, False)


class HandlerError(Exception):
    """Raised by the handler of an event."""


def open_handover(folder):
    """Returns the writer of the old process, and the journal and the reader of the next one."""
    journal = Journal(folder, DISK_BYTES)
    return HandoverLogWriter(folder, journal), journal, HandoverLogReader(folder, journal)


def write_finished_attempt(writer, serial):
    record = MessageRecord(b"m%d" % serial, b"notice", b"acme", b"", b"7", b"", b"", 0.0, 1e12)
    record.serial = serial
    writer.finish_attempt(record, RESULT)


def read_serials(reader):
    return [event.serial for event in reader.read_events() if isinstance(event, FinishedAttempt)]


@pytest.mark.parametrize("failing", [1, 2, 3])
@pytest.mark.parametrize("written_meanwhile", [0, 1])
def test_event_whose_handling_raises_is_read_again_and_none_is_skipped(tmp_path, failing, written_meanwhile):
    writer, _, reader = open_handover(tmp_path)
    for serial in (1, 2, 3):
        write_finished_attempt(writer, serial)
    handled = []
    with pytest.raises(HandlerError):
        for event in reader.read_events():
            if event.serial == failing:
                raise HandlerError
            handled.append(event.serial)
    for serial in range(4, 4 + written_meanwhile):
        write_finished_attempt(writer, serial)
    assert handled + read_serials(reader) == [1, 2, 3, 4][: 3 + written_meanwhile]


def test_restarted_reader_goes_on_at_the_event_whose_handling_raised(tmp_path):
    writer, journal, reader = open_handover(tmp_path)
    for serial in (1, 2, 3):
        write_finished_attempt(writer, serial)
    events = reader.read_events()
    assert [next(events).serial, next(events).serial] == [1, 2]
    events.close()
    assert read_serials(HandoverLogReader(tmp_path, journal)) == [2, 3]


def test_record_that_is_still_being_written_is_read_once_it_is_complete(tmp_path):
    writer, _, reader = open_handover(tmp_path)
    write_finished_attempt(writer, 1)
    path = tmp_path / "tail"
    complete = path.read_bytes()
    frame = codec.read_frame(complete, 0)
    next_record = complete[: frame.end_offset]
    with open(path, "ab") as file:
        file.write(next_record[:7])
    assert read_serials(reader) == [1]
    assert read_serials(reader) == []
    with open(path, "ab") as file:
        file.write(next_record[7:])
    assert read_serials(reader) == [1]
