"""The log: formats, rate limits and non-blocking output."""

import ast
import json
import os
import random
import socket
from pathlib import Path

import pytest
from python_source import parse_source

from dewpin.log import events
from dewpin.log.event_log import EventLog
from dewpin.log.event_page import RENAMED_EVENTS, RENAMED_FIELDS, event_page
from dewpin.log.levels import Level
from dewpin.log.nonblocking_writer import NonBlockingWriter

ROOT = Path(__file__).resolve().parents[2]


class RecordingWriter:
    """Stub of the non-blocking writer that records the lines."""

    def __init__(self):
        self.lines, self.buffered_lines, self.lost_lines = [], (), 0

    def write(self, line):
        self.lines.append(line.decode())

    def flush(self):
        pass


def test_text_and_json_lines_of_an_event_contain_the_same_values():
    for log_format in ("lines", "json"):
        writer = RecordingWriter()
        log = EventLog(writer, log_format, level=Level.DEBUG)
        log.log(
            events.ATTEMPT_FINISHED,
            {
                "message": b"m\n1",
                "outcome": "full",
                "took_ms": 1.23456,
                "may_have_executed": False,
                "retry_after_ms": 0.0,
                "receiver": "a {mail} b\x1b[2J",
            },
        )
        (line,) = writer.lines
        if log_format == "json":
            values = json.loads(line)
            assert values["event"] == "attempt.finished" and values["level"] == "debug" and values["took_ms"] == 1.235
            assert values["message"] == "m\\x0a1" and values["words"] == "full after 1.235 ms"
            assert values["may_have_executed"] is False
        else:
            start = " dewpin: debug: attempt.finished: full after 1.235 ms message=m\\x0a1 "
            assert start + "may_have_executed=False retry_after_ms=0.0 " in line
            assert 'receiver="a {mail} b\\x1b[2J"' in line and line.count("\n") == 1


def test_lines_over_the_rate_are_suppressed_and_counted():
    now, writer = [5.0], RecordingWriter()
    log = EventLog(writer, rate=3, clock=lambda: now[0])
    for _ in range(10):
        log.log(events.WATCH_FAILED, {"why": "x"})
        log.log(events.SENDER_STOPPING, {"name": "n"})
    assert len(writer.lines) == 6
    now[0] = 6.0
    log.log(events.SENDER_STOPPING, {"name": "n"})
    assert [line.split("dewpin: ")[1] for line in writer.lines[6:]] == [
        "warning: log.suppressed: 7 lines of endpoint_list.watch_failed were suppressed\n",
        "warning: log.suppressed: 7 lines of sender.stopping were suppressed\n",
        "sender.stopping: n accepts no new messages\n",
    ]
    log.log(events.MESSAGE_ACCEPTED, {"message": b"m"})
    assert len(writer.lines) == 9  # below the level
    log.level = Level.DEBUG
    for _ in range(100):
        log.log(events.MESSAGE_ACCEPTED, {"message": b"m"})
    assert len(writer.lines) == 109  # debug events have no rate limit by default
    log.debug_rate, now[0] = 5, 7.0
    for _ in range(100):
        log.log(events.MESSAGE_ACCEPTED, {"message": b"m"})
    assert len(writer.lines) == 114


def test_field_that_cannot_be_rendered_affects_only_its_own_line():
    class Unprintable:
        def __str__(self):
            raise RuntimeError("no")

    writer = RecordingWriter()
    log = EventLog(writer)
    log.log(events.CONFIGURATION_WARNING, {"why": Unprintable()})
    log.log(events.CONFIGURATION_WARNING, {"why": "y" * 100_000})
    assert "can't be logged: RuntimeError" in writer.lines[0] and len(writer.lines[1]) < 1200


@pytest.mark.parametrize("kind", ["pipe", "socket"])
@pytest.mark.parametrize("seed", range(5))
def test_lines_arrive_complete_or_are_counted_as_lost_while_the_reader_is_blocked(kind, seed):
    rng = random.Random(seed)
    if kind == "pipe":
        reader, writer_descriptor = os.pipe()
    else:
        reading_socket, writing_socket = socket.socketpair()
        reader, writer_descriptor = reading_socket.detach(), writing_socket.detach()
    os.set_blocking(reader, False)
    writer, sent, received = NonBlockingWriter(writer_descriptor, max_buffered_bytes=20_000), [], bytearray()

    def drain():
        try:
            while chunk := os.read(reader, 65536):
                received.extend(chunk)
        except BlockingIOError:
            pass

    for number in range(3000):
        line = b"%d " % number + b"x" * rng.choice((10, 200, 3000, 9000)) + b"\n"
        sent.append(line)
        writer.write(line)  # a blocking write would hang here, because nothing is read
        assert writer.buffered_bytes <= 20_000 + 9010
        if rng.random() < 0.01:
            drain()
    for _ in range(50):
        drain()
        writer.flush()
    drain()
    lines = bytes(received).splitlines(keepends=True)
    assert (
        not writer.buffered_lines
        and set(lines) <= set(sent)
        and len(lines) + writer.lost_lines == len(sent)
        and writer.lost_lines > 100
    )
    assert [int(line.split()[0]) for line in lines] == sorted(int(line.split()[0]) for line in lines)
    if kind == "pipe":
        assert os.get_blocking(writer_descriptor)  # the mode of the inherited descriptor is unchanged
    os.close(reader)
    writer.write(b"no reader\n")  # neither an exception nor SIGPIPE
    writer.write(b"no reader\n")
    os.close(writer_descriptor)


def test_lost_lines_are_reported_once_the_buffer_is_empty_again():
    reader, writer_descriptor = os.pipe()
    log, now = EventLog(NonBlockingWriter(writer_descriptor, max_buffered_bytes=100), rate=0), 0
    log.clock = lambda: now
    for _ in range(3000):
        log.log(events.CONFIGURATION_WARNING, {"why": "x" * 100})
    lost = log.writer.lost_lines
    os.read(reader, 1_000_000)
    now = 1
    log.log(events.SENDER_STOPPING, {"name": "n"})
    text = os.read(reader, 1_000_000).decode()
    assert lost > 1000 and f"log.lost: {lost} lines were lost" in text and text.endswith("n accepts no new messages\n")
    os.close(reader)
    os.close(writer_descriptor)


def test_event_page_is_current_and_on_call_page_names_only_existing_events():
    import re

    assert (ROOT / "docs/events.md").read_text() == event_page()
    named = set(re.findall(r"`event ([a-z_.]+)", (ROOT / "docs/oncall.md").read_text()))
    assert named and named <= set(events.EVENTS)


def test_rename_tables_map_unused_names_to_existing_names():
    assert not set(RENAMED_EVENTS) & set(events.EVENTS) and set(RENAMED_EVENTS.values()) <= set(events.EVENTS)
    assert not set(RENAMED_FIELDS) & set(events.FIELDS) and set(RENAMED_FIELDS.values()) <= set(events.FIELDS)
    unchanged = {"log.lost", "receiver.detached", "receiver.attached"}
    assert set(events.EVENTS) == set(RENAMED_EVENTS.values()) | unchanged


def test_log_calls_use_only_fields_of_their_event():
    checked = 0
    for path in (ROOT / "dewpin").rglob("*.py"):
        for call in ast.walk(parse_source(path)):
            if not (isinstance(call, ast.Call) and isinstance(call.func, ast.Name) and call.func.id == "log_event"):
                continue
            event = getattr(events, getattr(call.args[0], "attr", ""), None)
            if isinstance(event, events.Event):
                assert {keyword.arg for keyword in call.keywords} - {None} <= set(event.fields), f"{path}:{call.lineno}"
                checked += 1
    assert checked > 30
