"""Structured logging: one JSON object per line, filtered by level, without blocking."""

import fcntl
import json
import logging
import os
from collections.abc import Iterator
from typing import Any

import pytest

from dewpin.cluster import logs
from dewpin.cluster.errors import ErrorKind, TierError
from dewpin.cluster.logs import Event


class Pipe:
    """A pipe whose lines can be read without blocking."""

    def __init__(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)

    def lines(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self.read().splitlines()]

    def read(self) -> bytes:
        data = b""
        while True:
            try:
                data += os.read(self.reader, 1 << 20)
            except BlockingIOError:
                return data


@pytest.fixture
def pipe() -> Iterator[Pipe]:
    logger = logging.getLogger(logs.LOGGER_NAME)
    saved = logger.handlers, logger.level, logger.propagate
    created = Pipe()
    yield created
    logger.handlers, logger.level, logger.propagate = saved
    logger.setLevel(saved[1])
    os.close(created.reader)
    os.close(created.writer)


def test_every_event_has_a_level():
    assert set(logs.EVENT_LEVELS) == set(Event)


def test_line_has_event_level_origin_and_fields(pipe: Pipe):
    logs.configure("notice", "front-1", "sender", pipe.writer)
    logs.log_event(Event.CONFIGURATION_ACCEPTED, generation=7, name="kept")
    (line,) = pipe.lines()
    assert line.pop("time") > 0
    assert line == {
        "level": "NOTICE",
        "event": "configuration_accepted",
        "node": "front-1",
        "role": "sender",
        "generation": 7,
        "name": "kept",
    }


@pytest.mark.parametrize(
    ("level", "written"),
    [("debug", 3), ("info", 2), ("notice", 2), ("warning", 1), ("error", 1)],
)
def test_events_below_the_level_are_not_written(pipe: Pipe, level: str, written: int):
    logs.configure(level, "n", "r", pipe.writer)
    logs.log_event(Event.REQUEST_DONE)
    logs.log_event(Event.STARTED)
    logs.log_event(Event.SETTINGS_REJECTED)
    assert len(pipe.lines()) == written


def test_error_is_logged_at_the_level_of_its_kind(pipe: Pipe):
    logs.configure("notice", "n", "r", pipe.writer)
    logs.log_error(TierError(ErrorKind.NO_ROUTE, "quiet"))
    logs.log_error(TierError(ErrorKind.NO_QUORUM, "two of three are silent"), round=3)
    (line,) = pipe.lines()
    assert (line["kind"], line["detail"], line["round"]) == ("no_quorum", "two of three are silent", 3)


def test_module_loggers_write_lines_too(pipe: Pipe):
    logs.configure("warning", "n", "r", pipe.writer)
    logging.getLogger("dewpin.dataplane.example").warning("peer %s is silent", "10.0.0.1")
    (line,) = pipe.lines()
    assert (line["event"], line["level"]) == ("peer 10.0.0.1 is silent", "WARNING")


def test_unexpected_exception_is_logged_with_traceback(pipe: Pipe):
    logs.configure("error", "n", "r", pipe.writer)
    try:
        raise ZeroDivisionError("by nothing")
    except ZeroDivisionError as error:
        logs.log_unexpected(error)
    (line,) = pipe.lines()
    assert line["event"] == "unexpected" and "ZeroDivisionError: by nothing" in line["exc_info"]


def test_full_pipe_does_not_block_and_dropped_lines_are_counted(pipe: Pipe):
    fcntl.fcntl(pipe.writer, fcntl.F_SETPIPE_SZ, 4096)
    logs.configure("notice", "n", "r", pipe.writer)
    for _ in range(10):
        logs.log_event(Event.READY)
    assert len(pipe.lines()) == 1
    logs.log_event(Event.READY)
    (first,) = pipe.lines()
    logs.log_event(Event.READY)
    (second,) = pipe.lines()
    assert first["dropped_lines"] == 9 and "dropped_lines" not in second


def test_line_is_no_longer_than_an_atomic_pipe_write(pipe: Pipe):
    logs.configure("notice", "n", "r", pipe.writer)
    logs.log_event(Event.READY, **{f"filler_{index}": "x" * 900 for index in range(10)})
    assert len(pipe.read()) == 4096


def test_long_text_is_truncated(pipe: Pipe):
    logs.configure("notice", "n", "r", pipe.writer)
    logs.log_event(Event.READY, filler="x" * 100_000)
    assert pipe.lines()[0]["filler"] == "x" * logs.MAX_TEXT_CHARACTERS + "..."


def test_lines_over_the_rate_are_dropped_and_counted(pipe: Pipe):
    now = [100.0]
    handler = logs.BoundedHandler(pipe.writer, clock=lambda: now[0])
    record = logging.LogRecord("x", logging.ERROR, "", 0, "{}", None, None)
    for _ in range(logs.MAX_LINES_PER_SECOND + 5):
        handler.emit(record)
    assert len(pipe.lines()) == logs.MAX_LINES_PER_SECOND and handler.dropped == 5
    now[0] += 1.0
    handler.emit(record)
    assert len(pipe.lines()) == 1 and handler.dropped == 0


def test_closed_reader_raises_nothing():
    reader, writer = os.pipe()
    handler = logs.BoundedHandler(writer)
    os.close(reader)
    handler.emit(logging.LogRecord("x", logging.ERROR, "", 0, "{}", None, None))
    assert handler.dropped == 1
    os.close(writer)
