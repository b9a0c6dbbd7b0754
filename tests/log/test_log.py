"""The log: what it says, what it leaves out, and that it never waits."""

import json
import os
import random
import socket
from pathlib import Path

import pytest

from dewpin.log import Log, events
from dewpin.log.pipe import Pipe

ROOT = Path(__file__).resolve().parents[2]


class Kept:
    """Stands for the pipe: keeps the lines."""

    def __init__(self):
        self.lines, self.waiting, self.lost = [], (), 0

    def write(self, line):
        self.lines.append(line.decode())

    def flush(self):
        pass


def test_a_line_for_people_and_one_for_programs_say_the_same():
    for form in ("lines", "json"):
        kept = Kept()
        log = Log(kept, form, level=events.DEBUG)
        log.tell(
            events.HEARD,
            {
                "mail": b"m\n1",
                "outcome": "full",
                "took_ms": 1.23456,
                "ran": False,
                "told_ms": 0.0,
                "receiver": "a {mail} b\x1b[2J",
            },
        )
        (line,) = kept.lines
        if form == "json":
            held = json.loads(line)
            assert held["event"] == "connect.heard" and held["level"] == "debug" and held["took_ms"] == 1.235
            assert held["mail"] == "m\\x0a1" and held["words"] == "full after 1.235 ms" and held["ran"] is False
        else:
            assert " dewpin: debug: connect.heard: full after 1.235 ms mail=m\\x0a1 ran=False told_ms=0.0 " in line
            assert 'receiver="a {mail} b\\x1b[2J"' in line and line.count("\n") == 1


def test_lines_over_the_rate_are_left_out_and_their_count_is_told():
    now, kept = [5.0], Kept()
    log = Log(kept, rate=3, clock=lambda: now[0])
    for _ in range(10):
        log.tell(events.WATCH, {"why": "x"})
        log.tell(events.STOP, {"name": "n"})
    assert len(kept.lines) == 6
    now[0] = 6.0
    log.tell(events.STOP, {"name": "n"})
    assert [line.split("dewpin: ")[1] for line in kept.lines[6:]] == [
        "warning: log.left_out: 7 lines of watch were left out\n",
        "warning: log.left_out: 7 lines of stop were left out\n",
        "stop: n takes no new mails\n",
    ]
    log.tell(events.TAKEN, {"mail": b"m"})
    assert len(kept.lines) == 9  # below the level
    log.level = events.DEBUG
    for _ in range(100):
        log.tell(events.TAKEN, {"mail": b"m"})
    assert len(kept.lines) == 109  # a course has no gaps
    log.debug_rate, now[0] = 5, 7.0
    for _ in range(100):
        log.tell(events.TAKEN, {"mail": b"m"})
    assert len(kept.lines) == 114


def test_a_field_that_can_not_be_written_costs_its_line_alone():
    class Bad:
        def __str__(self):
            raise RuntimeError("no")

    kept = Kept()
    log = Log(kept)
    log.tell(events.NOTE, {"why": Bad()})
    log.tell(events.NOTE, {"why": "y" * 100_000})
    assert "can't be told: RuntimeError" in kept.lines[0] and len(kept.lines[1]) < 1200


@pytest.mark.parametrize("kind", ["pipe", "socket"])
@pytest.mark.parametrize("seed", range(5))
def test_nobody_reads_for_a_while_and_whole_lines_come_or_are_counted_as_lost(kind, seed):
    dice = random.Random(seed)
    if kind == "pipe":
        end, start = os.pipe()
    else:
        ours, theirs = socket.socketpair()
        end, start = ours.detach(), theirs.detach()
    os.set_blocking(end, False)
    pipe, sent, came = Pipe(start, most=20_000), [], bytearray()

    def drain():
        try:
            while part := os.read(end, 65536):
                came.extend(part)
        except BlockingIOError:
            pass

    for at in range(3000):
        line = b"%d " % at + b"x" * dice.choice((10, 200, 3000, 9000)) + b"\n"
        sent.append(line)
        pipe.write(line)  # a blocking write would hang here: nobody reads
        assert pipe.size <= 20_000 + 9010
        if dice.random() < 0.01:
            drain()
    for _ in range(50):
        drain()
        pipe.flush()
    drain()
    lines = bytes(came).splitlines(keepends=True)
    assert not pipe.waiting and set(lines) <= set(sent) and len(lines) + pipe.lost == len(sent) and pipe.lost > 100
    assert [int(line.split()[0]) for line in lines] == sorted(int(line.split()[0]) for line in lines)
    if kind == "pipe":
        assert os.get_blocking(start)  # the mark of whoever gave us the pipe is as it was
    os.close(end)
    pipe.write(b"nobody is there\n")  # neither an exception nor a signal
    pipe.write(b"nobody is there\n")
    os.close(start)


def test_lost_lines_are_told_once_there_is_room_again():
    end, start = os.pipe()
    log, now = Log(Pipe(start, most=100), rate=0), 0
    log.clock = lambda: now
    for _ in range(3000):
        log.tell(events.NOTE, {"why": "x" * 100})
    lost = log.pipe.lost
    os.read(end, 1_000_000)
    now = 1
    log.tell(events.STOP, {"name": "n"})
    text = os.read(end, 1_000_000).decode()
    assert lost > 1000 and f"log.lost: {lost} lines were lost" in text and text.endswith("n takes no new mails\n")
    os.close(end)
    os.close(start)


def test_the_page_of_events_is_current_and_the_on_call_page_names_only_them():
    import re

    assert (ROOT / "docs/events.md").read_text() == events.page()
    named = set(re.findall(r"`event ([a-z_.]+)", (ROOT / "docs/oncall.md").read_text()))
    assert named and named <= set(events.EVENTS)
