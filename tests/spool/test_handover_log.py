"""The hand-over log: what its reader consumes when handling an event fails or a record is half written."""

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
    """Handling an event fails."""


def handover(folder):
    """The writer of the process that leaves, and the journal and reader of the next one."""
    journal = Journal(folder, DISK_BYTES)
    return HandoverLogWriter(folder, journal), journal, HandoverLogReader(folder, journal)


def finish(writer, serial):
    record = MessageRecord(b"m%d" % serial, b"notice", b"acme", b"", b"7", b"", b"", 0.0, 1e12)
    record.serial = serial
    writer.finish_attempt(record, RESULT)


def serials(reader):
    return [event.serial for event in reader.read_events() if isinstance(event, FinishedAttempt)]


@pytest.mark.parametrize("failing", [1, 2, 3])
@pytest.mark.parametrize("written_meanwhile", [0, 1])
def test_event_whose_handling_raises_is_read_again_and_none_is_skipped(tmp_path, failing, written_meanwhile):
    writer, _, reader = handover(tmp_path)
    for serial in (1, 2, 3):
        finish(writer, serial)
    handled = []
    with pytest.raises(HandlerError):
        for event in reader.read_events():
            if event.serial == failing:
                raise HandlerError
            handled.append(event.serial)
    for serial in range(4, 4 + written_meanwhile):
        finish(writer, serial)
    assert handled + serials(reader) == [1, 2, 3, 4][: 3 + written_meanwhile]


def test_restarted_reader_goes_on_at_the_event_whose_handling_raised(tmp_path):
    writer, journal, reader = handover(tmp_path)
    for serial in (1, 2, 3):
        finish(writer, serial)
    events = reader.read_events()
    assert [next(events).serial, next(events).serial] == [1, 2]
    events.close()
    assert serials(HandoverLogReader(tmp_path, journal)) == [2, 3]


def test_record_that_is_still_being_written_is_read_once_it_is_complete(tmp_path):
    writer, _, reader = handover(tmp_path)
    finish(writer, 1)
    path = tmp_path / "tail"
    complete = path.read_bytes()
    frame = codec.read_frame(complete, 0)
    second = complete[: frame.end_offset]
    with open(path, "ab") as file:
        file.write(second[:7])
    assert serials(reader) == [1]
    assert serials(reader) == []
    with open(path, "ab") as file:
        file.write(second[7:])
    assert serials(reader) == [1]
