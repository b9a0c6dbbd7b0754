"""Real processes, each started, signalled and ended by its own id."""

import os
import signal
import subprocess
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPENDENCIES = ROOT / "target" / "deps"
END_TIMEOUT_S = 10.0


class ManagedProcess:
    """A module of this project run by the same Python; its output goes to a log file."""

    def __init__(
        self, name: str, module: str, arguments: Sequence[str], log: Path, environment: Mapping[str, str]
    ) -> None:
        self.name = name
        self.log = log
        self._command = [sys.executable, "-m", module, *arguments]
        self._environment = {**os.environ, "PYTHONPATH": _python_path(), **environment}
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the id of the process, which must have been started."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Tell whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process; it must not be running."""
        assert not self.is_running, f"{self.name} is running"
        with self.log.open("ab") as output:
            self._process = subprocess.Popen(
                self._command,
                env=self._environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,  # Ctrl-C reaches the one who started it, who ends it
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self._process is not None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """End the process by SIGKILL and wait for its end."""
        self.send(signal.SIGKILL)
        self.wait(END_TIMEOUT_S)

    def wait(self, timeout_s: float) -> int | None:
        """Return the exit code; None if the process was never started. Raises subprocess.TimeoutExpired."""
        return None if self._process is None else self._process.wait(timeout_s)

    def last_lines(self, count: int = 10) -> str:
        """Return the end of the log."""
        if not self.log.exists():
            return ""
        return "\n".join(self.log.read_text(errors="replace").splitlines()[-count:])


def end_all(processes: Sequence[ManagedProcess], timeout_s: float = END_TIMEOUT_S) -> None:
    """Ask all processes to end, wait, and kill those that have not."""
    for process in processes:
        process.send(signal.SIGTERM)
    for process in processes:
        try:
            process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            process.kill()


def _python_path() -> str:
    """Return where children find the project and, where it was built, what it depends on."""
    folders = [str(ROOT)]
    if DEPENDENCIES.is_dir():
        folders.append(str(DEPENDENCIES))
    inherited = os.environ.get("PYTHONPATH")
    return os.pathsep.join([*folders, inherited] if inherited else folders)
