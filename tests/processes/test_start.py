"""A start survives what passes by itself: addresses and files that are in use, settings half written, full disks."""

import os
import resource
import sqlite3
import threading
import time

import pytest

from .program import CONTROL_SERVER, SENDER, occupy

FAIL_TRANSACTIONS = """
import os
from dewpin.controlplane.__main__ import main
from dewpin.controlplane.storage import Storage, StorageError

transact = Storage.transact

async def transact_unless_failing(self, work):
    if os.path.exists({trigger!r}):
        raise StorageError("the disk does not answer")
    return await transact(self, work)

Storage.transact = transact_unless_failing
main()
"""
FAIL_THREADS = """
import os, threading
from {role}.__main__ import main

start = threading.Thread.start

def start_unless_failing(self):
    if os.path.exists({trigger!r} + "-" + self.name):
        raise RuntimeError("can't start new thread")
    start(self)

threading.Thread.start = start_unless_failing
main()
"""
THREADS = [(SENDER, name) for name in ("agent", "ingress", "ready", "settings")]
THREADS += [(CONTROL_SERVER, name) for name in ("storage", "operator")]
ADDRESSES = [(SENDER, "internal"), (SENDER, "front"), (SENDER, "ready")]
ADDRESSES += [(CONTROL_SERVER, "internal"), (CONTROL_SERVER, "operator")]


@pytest.mark.parametrize("role, name", ADDRESSES)
def test_start_waits_for_an_address_that_is_in_use(create_program, role, name):
    program = create_program(role)
    other = occupy(program.addresses[name])
    program.start()
    line = program.wait_for_event("start_waits")
    assert "in use" in line["why"], line
    other.close()
    program.wait_until_serving()
    assert program.wait_for_event("started")["steps"]


def test_start_reads_settings_again_that_were_half_written(program):
    complete = program.settings_path.read_text()
    program.settings_path.write_text(complete[: len(complete) // 3])
    threading.Timer(0.5, program.settings_path.write_text, (complete,)).start()
    program.start()
    program.wait_until_serving()


def test_start_waits_for_a_database_that_another_process_has_locked(create_program):
    program = create_program(CONTROL_SERVER)
    program.start()
    program.wait_until_serving()
    assert program.stop() == 0
    connection = sqlite3.connect(program.data_dir / "keeper.sqlite3")
    connection.execute("BEGIN EXCLUSIVE")
    program.start()
    assert "locked" in program.wait_for_event("start_waits")["why"]
    connection.close()
    program.wait_until_serving()


def test_start_waits_for_a_data_folder_that_cannot_be_created(create_program):
    program = create_program(CONTROL_SERVER)
    program.data_dir.write_text("a file where the disk will be mounted")
    program.start()
    assert "data" in program.wait_for_event("start_waits")["why"]
    program.data_dir.unlink()
    program.wait_until_serving()


def test_start_waits_for_a_full_disk(create_program):
    program = create_program(CONTROL_SERVER)
    _, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    program.start(preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_FSIZE, (4096, hard)))
    # The log is a file, too, and has less than 4096 bytes until then.
    program.wait_for_event("start_waits")
    resource.prlimit(program.process.pid, resource.RLIMIT_FSIZE, (hard, hard))
    program.wait_until_serving()


def test_start_with_closed_standard_error(program):
    program.start(preexec_fn=lambda: os.close(2))
    program.wait_until_serving()
    assert program.stop() == 0


def test_start_whose_log_is_not_read(program):
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    try:
        while os.write(writer, b"x" * 512):
            pass
    except BlockingIOError:
        os.set_blocking(writer, True)
    program.start(stderr=writer)
    program.wait_until_serving()
    assert program.stop() == 0
    os.close(reader)
    os.close(writer)


def test_waiting_start_ends_at_once_with_sigterm(program):
    other = occupy(program.addresses["internal"])
    program.start()
    program.wait_for_event("start_waits")
    began_s = time.monotonic()
    assert program.stop() == 0
    assert time.monotonic() - began_s < 5.0
    other.close()
    assert program.events("stopped")[0]["why"] == "SIGTERM"


def test_database_of_a_newer_release_ends_the_start_with_its_own_exit_code(create_program):
    program = create_program(CONTROL_SERVER)
    program.data_dir.mkdir()
    connection = sqlite3.connect(program.data_dir / "keeper.sqlite3")
    connection.execute("PRAGMA user_version = 99")
    connection.close()
    program.start()
    assert program.process.wait(30.0) == 3
    (line,) = program.events("failed")
    assert "schema 99" in line["why"] and line["exit_code"] == 3 and line["level"] == "ERROR"


def test_start_waits_for_a_disk_that_cannot_be_read(create_program):
    program = create_program(CONTROL_SERVER)
    trigger = program.folder / "trigger"
    trigger.write_text("")
    program.start(code=FAIL_TRANSACTIONS.format(trigger=str(trigger)))
    line = program.wait_for_event("start_waits")
    assert (line["step"], line["why"]) == ("store", "the disk does not answer")
    trigger.unlink()
    program.wait_until_serving()


def test_start_waits_for_an_address_that_this_machine_does_not_have_yet(create_program):
    program = create_program(SENDER)
    settings = program.settings_path.read_text()
    elsewhere = settings.replace(program.addresses["ready"], "192.0.2.1:18141")  # an address for documentation
    program.settings_path.write_text(elsewhere)
    program.start()
    line = program.wait_for_event("start_waits")
    assert line["step"] == "ready_address" and "assign" in line["why"]
    assert program.stop() == 0


@pytest.mark.parametrize("role, name", THREADS)
def test_start_waits_for_a_thread_when_the_system_has_none_left(create_program, role, name):
    program = create_program(role)
    trigger = program.folder / "trigger"
    missing = program.folder / f"trigger-{name}"
    missing.write_text("")
    program.start(code=FAIL_THREADS.format(role=role, trigger=str(trigger)))
    assert "can't start new thread" in program.wait_for_event("start_waits")["why"]
    missing.unlink()
    program.wait_until_serving()
    program.wait_for_event("started")
