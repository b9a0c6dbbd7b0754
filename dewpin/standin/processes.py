"""Child processes, which are signalled only by their process ids."""

import os
import signal
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPENDENCIES = ROOT / "target" / "deps"
TERMINATION_TIMEOUT_S = 10.0


class ManagedProcess:
    """A child process that runs a module of this project with the same Python interpreter.

    log_path: file to which its standard output and standard error are appended.
    """

    def __init__(
        self, name: str, module: str, arguments: Sequence[str], log_path: Path, environment: Mapping[str, str]
    ) -> None:
        self.name = name
        self.log_path = log_path
        self._command = [sys.executable, "-m", module, *arguments]
        self._environment = {**os.environ, "PYTHONPATH": _python_path(), **environment}
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the process id; the process must have been started before."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process; it must not be running."""
        assert not self.is_running, f"{self.name} is already running"
        self._process = self._spawn()

    def start_successor(self) -> subprocess.Popen[bytes]:
        """Start another process beside the present one; return the latter, whose end the caller must wait for."""
        assert self._process is not None
        predecessor, self._process = self._process, self._spawn()
        return predecessor

    def _spawn(self) -> subprocess.Popen[bytes]:
        with self.log_path.open("ab") as output:
            return subprocess.Popen(
                self._command,
                env=self._environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,  # Ctrl-C must reach only the parent, which ends its children
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self._process is not None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        self.send_signal(signal.SIGKILL)
        self.wait(TERMINATION_TIMEOUT_S)

    def wait(self, timeout_s: float) -> int | None:
        """Wait for the end and return the exit code; None if never started. Raises subprocess.TimeoutExpired."""
        return None if self._process is None else self._process.wait(timeout_s)

    def log_tail(self, line_count: int = 10) -> str:
        """Return the last lines of the log."""
        if not self.log_path.exists():
            return ""
        return "\n".join(self.log_path.read_text(errors="replace").splitlines()[-line_count:])


def terminate_all(processes: Sequence[ManagedProcess], timeout_s: float = TERMINATION_TIMEOUT_S) -> None:
    """Send SIGTERM to all processes, then SIGKILL to those that do not end within the time-out."""
    for process in processes:
        process.send_signal(signal.SIGTERM)
    for process in processes:
        try:
            process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            process.kill()


def _python_path() -> str:
    """Return PYTHONPATH for children: the project, its dependencies if they were built, and the inherited value."""
    folders = [str(ROOT)]
    if DEPENDENCIES.is_dir():
        folders.append(str(DEPENDENCIES))
    inherited = os.environ.get("PYTHONPATH")
    return os.pathsep.join([*folders, inherited] if inherited else folders)
