"""A machine of the local tier: its addresses and its process."""

from dataclasses import dataclass
from pathlib import Path

from .addresses import CONTROL_PORT, FRONT_PORT, READY_PORT
from .errors import ConditionNotMetError
from .platform_server import is_ready
from .processes import ManagedProcess


@dataclass(frozen=True, slots=True)
class Machine:
    """A control server or a sender, with its own loopback address.

    data_dir: data folder of a control server; None for a sender.
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
        """Return the address of the operator API of a control server."""
        return f"{self.ip}:{CONTROL_PORT}"

    @property
    def client_address(self) -> str:
        """Return the address at which clients reach a sender."""
        return f"{self.ip}:{FRONT_PORT}"

    @property
    def readiness_address(self) -> str:
        """Return the address at which the platform probes the readiness of a sender."""
        return f"{self.ip}:{READY_PORT}"

    def is_ready(self) -> bool:
        """Return whether a sender reports itself ready. Raises ConditionNotMetError if its process has ended."""
        if not self.process.is_running:
            raise ConditionNotMetError(
                f"the process of {self.name} has ended; end of its log:\n{self.process.log_tail()}"
            )
        return is_ready(self.readiness_address)
