"""Ends of a process that nobody asked for: the exit code, and log lines that say why."""

import asyncio
import logging
import random
import socket
import threading
from types import SimpleNamespace

import pytest
from tier_log import captured_log

from dewpin.cluster import logs
from dewpin.cluster.process import program as program_module
from dewpin.cluster.process.supervised_thread import start_supervised_thread
from dewpin.controlplane import control_process, control_server
from dewpin.dataplane.ingress.connection_acceptor import ConnectionAcceptor
from dewpin.dataplane.membership import cluster_agent

from .program import CONTROL_SERVER, SENDER, TIMEOUT_S

RUN_A_BUG = """
from dewpin.cluster.process.program import run_program
from dewpin.cluster.process.signals import ProcessSignals
run_program(lambda *arguments: 1 / 0, ProcessSignals())
"""
RUN_WITH_DAMAGE = """
import os, sqlite3
from dewpin.controlplane.__main__ import main
from dewpin.controlplane.storage import Storage

commit = Storage._commit

def commit_until_damaged(self, group):
    if os.path.exists({trigger!r}):
        self._handle_damage(sqlite3.DatabaseError("database disk image is malformed"))
    return commit(self, group)

Storage._commit = commit_until_damaged
main()
"""


@pytest.fixture
def log_lines():
    with captured_log("one", "sender") as read:
        yield read


def test_unexpected_exception_ends_the_process_with_its_traceback(create_program):
    program = create_program(SENDER)
    program.start(code=RUN_A_BUG)
    assert program.process.wait(TIMEOUT_S) == 1
    assert [line["event"] for line in program.events()] == ["starting", "unexpected", "failed"]
    (unexpected,), (failed,) = program.events("unexpected"), program.events("failed")
    assert "ZeroDivisionError: division by zero" in unexpected["exc_info"]
    assert "division by zero" in failed["why"] and failed["exit_code"] == 1


def test_damaged_database_ends_the_process_and_the_next_start_serves(create_program):
    program = create_program(CONTROL_SERVER)
    trigger = program.folder / "trigger"
    program.start(code=RUN_WITH_DAMAGE.format(trigger=str(trigger)))
    program.wait_until_serving()
    trigger.write_text("")
    assert program.process.wait(TIMEOUT_S) == 4
    assert program.events("storage.damaged") and program.events("failed")[0]["exit_code"] == 4
    trigger.unlink()
    program.start()
    program.wait_until_serving()
    assert program.stop() == 0
    assert list(program.data_dir.glob("keeper.sqlite3.damaged-*"))


def test_log_of_a_usual_life_says_how_far_it_got_and_why_it_ended(program):
    program.start()
    program.wait_until_serving()
    started = program.wait_for_event("started")
    assert "internal_address" in started["steps"] and all(duration >= 0 for duration in started["steps"].values())
    assert program.stop() == 0
    assert [line["event"] for line in program.events() if line["level"] == "NOTICE"][:1] == ["starting"]
    assert [line["event"] for line in program.events()][-2:] == ["stopping", "stopped"]


def test_thread_that_raised_is_logged_and_runs_again(log_lines):
    attempts, is_done = [], threading.Event()

    def run():
        attempts.append(1)
        if len(attempts) < 3:
            raise OSError(f"attempt {len(attempts)}")
        is_done.set()

    thread = start_supervised_thread("ingress", run, delay_s=0.0)
    assert is_done.wait(TIMEOUT_S)
    thread.join(TIMEOUT_S)
    lines = log_lines()
    assert len(attempts) == 3 and not thread.is_alive()
    assert [line["thread"] for line in lines] == ["ingress", "ingress"] and "attempt 2" in lines[1]["exc_info"]


def test_exception_that_nothing_handles_is_logged_without_blocking(log_lines, monkeypatch):
    monkeypatch.setattr(program_module.sys, "excepthook", None)
    monkeypatch.setattr(program_module.threading, "excepthook", None)
    handler = logging.getLogger(logs.LOGGER_NAME).handlers[0]
    asyncio_logger = logging.getLogger("asyncio")
    program_module.install_exception_hooks(handler)
    try:
        thread = threading.Thread(target=lambda: [][1], name="worker")
        thread.start()
        thread.join()
        asyncio_logger.error("Task exception was never retrieved")
    finally:
        asyncio_logger.handlers, asyncio_logger.propagate = [], True
    first, second = log_lines()
    assert first["thread"] == "worker" and "IndexError" in first["exc_info"]
    assert second["event"] == "Task exception was never retrieved"


def test_long_traceback_keeps_its_end(log_lines):
    def fail(depth):
        if depth:
            fail(depth - 1)
        raise ValueError(f"the cause at depth {depth}")

    try:
        fail(40)
    except ValueError as error:
        logs.log_unexpected(error)
    (line,) = log_lines()
    assert line["exc_info"].endswith("ValueError: the cause at depth 0")


def test_failing_poll_of_the_settings_does_not_end_the_polling(log_lines, monkeypatch):
    monkeypatch.setattr(control_process, "POLL_PERIOD_S", 0.0)
    polls, applied = [OSError("first poll"), None, "settings"], []

    def poll():
        if not polls:
            raise asyncio.CancelledError
        result = polls.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    process = SimpleNamespace(_control_server=SimpleNamespace(apply_settings=applied.append))
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(
            control_process.ControlProcess.follow_settings(process, SimpleNamespace(poll=poll), asyncio.Event())
        )
    assert applied == ["settings"]
    (line,) = log_lines()
    assert "first poll" in line["exc_info"]


def failing_once(error):
    """Return a step that raises `error`, then returns once, then cancels its loop; and the list of its calls."""
    calls = []

    async def step():
        calls.append(1)
        if len(calls) == 1:
            raise error
        if len(calls) == 3:
            raise asyncio.CancelledError

    return step, calls


def test_step_of_a_control_server_that_raised_is_repeated(log_lines, monkeypatch):
    monkeypatch.setattr(control_server, "ERROR_BACKOFF_S", 0.0)
    step, calls = failing_once(ValueError("a bug"))
    server = SimpleNamespace(_rng=random.Random(1))
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(control_server.ControlServer._repeat(server, 0.0, step))
    (line,) = log_lines()
    assert len(calls) == 3 and line["event"] == "control.step_failed" and "a bug" in line["exc_info"]


def test_step_of_a_sender_that_raised_is_repeated(log_lines, monkeypatch):
    monkeypatch.setattr(cluster_agent, "STEP_ERROR_BACKOFF_S", 0.0)
    step, calls = failing_once(ValueError("a bug"))
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(cluster_agent._run_repeatedly("a step", step))
    (line,) = log_lines()
    assert len(calls) == 3 and line["event"] == "agent.step_failed" and "a bug" in line["exc_info"]


def test_connection_without_a_thread_is_closed_and_the_next_one_served(log_lines):
    served, closed = threading.Event(), []
    acceptor = ConnectionAcceptor(
        ("127.0.0.1", 0), lambda: True, lambda sock: (sock.close(), served.set()), lambda: closed.append(1)
    )
    submit, failures = acceptor._workers.submit, [RuntimeError("can't start new thread")]

    def submit_or_fail(sock):
        if failures:
            raise failures.pop()
        submit(sock)

    acceptor._workers.submit = submit_or_fail
    thread = threading.Thread(target=acceptor.serve_forever, args=(0.05,))
    thread.start()
    with socket.create_connection(acceptor.server_address) as first:
        first.settimeout(TIMEOUT_S)
        assert first.recv(1) == b""
    socket.create_connection(acceptor.server_address).close()
    assert served.wait(TIMEOUT_S)
    acceptor.shutdown()
    thread.join()
    acceptor.server_close()
    (line,) = log_lines()
    assert len(closed) >= 1 and "can't start new thread" in line["exc_info"]
