"""A machine of the local tier: its addresses and its process."""

from dataclasses import dataclass
from pathlib import Path

from .addresses import CONTROL_PORT, FRONT_PORT, READY_PORT
from .errors import ConditionNotMetError
from .platform_server import is_ready
from .processes import ManagedProcess


@dataclass(frozen=True, slots=True)
class Machine:
    """A control server or a sender with a loopback address of its own.

    data_dir: folder of a control server's data; None for a sender.
    """

    name: str
    ip: str
    zone: str
    process: ManagedProcess
    settings_path: Path
    data_dir: Path | None = None

    @property
    def is_control_server(self) -> bool:
        """Return whether this is a control server."""
        return self.data_dir is not None

    @property
    def operator_address(self) -> str:
        """Return the address of a control server's operator API."""
        return f"{self.ip}:{CONTROL_PORT}"

    @property
    def client_address(self) -> str:
        """Return the address of a sender for clients."""
        return f"{self.ip}:{FRONT_PORT}"

    @property
    def readiness_address(self) -> str:
        """Return the address of a sender for the platform's readiness probes."""
        return f"{self.ip}:{READY_PORT}"

    def is_ready(self) -> bool:
        """Return whether a sender reports itself ready; raises ConditionNotMetError if its process has ended."""
        if not self.process.is_running:
            raise ConditionNotMetError(f"{self.name} has ended:\n{self.process.log_tail()}")
        return is_ready(self.readiness_address)
