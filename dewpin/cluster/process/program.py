"""Runs a program of the tier: logs how far its start got and why it ended, and exits with the matching code."""

import logging
import os
import sys
import threading
import time
from collections.abc import Callable
from typing import NoReturn

import dewpin

from .. import logs
from ..logs import Event, log_event, log_unexpected
from ..settings import Settings, settings_or_exit
from .exit_codes import ExitCode, ProgramEndError
from .memory_allocator import return_released_memory
from .signals import ProcessSignals
from .start_steps import StartInterruptedError, StartSteps

RunProgram = Callable[[Settings, ProcessSignals, StartSteps], None]
"""Starts and serves until a stop signal. Raises StartInterruptedError, and ProgramEndError to end with a code."""


def run_program(run: RunProgram, signals: ProcessSignals) -> NoReturn:
    """Run a program with the settings file named by the environment, and exit without waiting for daemon threads."""
    settings = settings_or_exit()
    return_released_memory()
    install_exception_hooks(logs.configure(settings.log_level, settings.node_name, settings.role))
    log_event(Event.STARTING, pid=os.getpid(), version=dewpin.__version__, bootstrap=settings.bootstrap)
    os._exit(_run_to_end(run, settings, signals))


def _run_to_end(run: RunProgram, settings: Settings, signals: ProcessSignals) -> ExitCode:
    """Run the program; log why it ended and return its exit code."""
    started_s = time.monotonic()
    steps = StartSteps(signals)
    code, why = ExitCode.STOPPED, ""
    try:
        run(settings, signals, steps)
    except StartInterruptedError:
        pass
    except ProgramEndError as error:
        code, why = error.code, str(error)
    except BaseException as error:
        log_unexpected(error, step=steps.current)
        code, why = ExitCode.UNEXPECTED, repr(error)
    if code is ExitCode.STOPPED:
        why = signals.stop_signal.name if signals.stop_signal is not None else "returned"
    log_event(
        Event.STOPPED if code is ExitCode.STOPPED else Event.FAILED,
        why=why,
        exit_code=int(code),
        step=steps.current,
        uptime_s=round(time.monotonic() - started_s, 3),
    )
    return code


def log_started(steps: StartSteps) -> None:
    """Log the end of a start with the duration of each step, in ms."""
    log_event(Event.STARTED, steps=steps.durations_ms)


def install_exception_hooks(handler: logging.Handler) -> None:
    """Log exceptions that nothing handles through `handler`, which never blocks; standard error may not be read."""
    asyncio_logger = logging.getLogger("asyncio")
    asyncio_logger.handlers = [handler]
    asyncio_logger.propagate = False
    sys.excepthook = lambda error_type, error, traceback: log_unexpected(error)
    threading.excepthook = _log_thread_exception


def _log_thread_exception(arguments: threading.ExceptHookArgs) -> None:
    if arguments.exc_value is not None:
        log_unexpected(arguments.exc_value, thread=arguments.thread.name if arguments.thread is not None else "")
