"""Signals at any moment of a start: SIGHUP never ends a process; SIGTERM and SIGINT do, and the log says so."""

import random
import signal

import pytest

from .program import TIMEOUT_S, wait_for_import

EARLY_MODULES = (
    "dewpin.cluster",
    "dewpin.controlplane",
    "dewpin.dataplane",
    "dewpin.cluster.process",
    "dewpin.cluster.process.signals",
    "dewpin.cluster.process.standard_streams",
)
"""Imported before a program can handle signals."""
MAX_MODULES = 60
"""Less than the modules of this project that a program imports while it starts."""
DRAWS = 5
SIGNALS_IN_A_ROW = 200


def draws(name):
    return random.Random(name).sample(range(1, MAX_MODULES), DRAWS)


@pytest.mark.parametrize("module_count", draws("SIGHUP"))
def test_sighup_while_starting_does_not_end_the_process(program, module_count):
    program.start(environment={"PYTHONPROFILEIMPORTTIME": "1"})
    wait_for_import(program, EARLY_MODULES, module_count)
    program.send(signal.SIGHUP)
    program.wait_until_serving()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT], ids=lambda number: number.name)
@pytest.mark.parametrize("module_count", draws("stop")[:3])
def test_stop_signal_while_starting_ends_the_process_and_is_logged(program, number, module_count):
    program.start(environment={"PYTHONPROFILEIMPORTTIME": "1"})
    wait_for_import(program, EARLY_MODULES, module_count)
    program.send(number)
    assert program.process.wait(TIMEOUT_S) == 0
    (line,) = program.events("stopped")
    assert line["why"] == number.name and line["exit_code"] == 0


def test_many_signals_in_a_row_do_not_block_the_process(program):
    program.start()
    program.wait_until_serving()
    for _ in range(SIGNALS_IN_A_ROW):
        program.send(signal.SIGHUP)
    assert program.is_serving()


def test_many_stop_signals_in_a_row_end_the_process(program):
    program.start()
    program.wait_until_serving()
    for _ in range(SIGNALS_IN_A_ROW):
        program.send(signal.SIGHUP)
        program.send(signal.SIGINT)
    assert program.stop() == 0


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGUSR1], ids=lambda number: number.name)
def test_process_ended_by_another_signal_leaves_nothing_that_keeps_the_next_from_starting(program, number):
    program.start()
    program.wait_until_serving()
    program.send(number)
    assert program.process.wait(TIMEOUT_S) == -number
    assert not program.events("stopped") and not program.events("failed")
    program.start()
    program.wait_until_serving()
    assert program.stop() == 0
