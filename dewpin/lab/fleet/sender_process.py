"""A sender under test: its process, folder and log."""

import asyncio
import json
import os
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

from .errors import SenderStartError
from .http_connection import request_once
from .listening_port import loopback_host
from .scenario import Scenario, platform_settings

REPOSITORY = Path(__file__).resolve().parents[3]
SENDER_NETWORK = 3
START_TIMEOUT_SECONDS = 60.0
READINESS_TIMEOUT_SECONDS = 2.0
READINESS_POLL_SECONDS = 0.05
READINESS_REQUEST = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"


class SenderProcess:
    """A sender under test.

    Attributes:
        number: number of the sender.
        folder: folder of its configuration, state and log.
        process: the process; None before the first start.
        is_listed: whether clients send to it.
        address: its listen address.
    """

    def __init__(self, number: int, scenario: Scenario, folder: Path) -> None:
        self.number = number
        self.folder = folder
        self.process: subprocess.Popen[bytes] | None = None
        self.is_listed = True
        self.address = ("127.0.0.1", 0)
        self._scenario = scenario

    @property
    def state_folder(self) -> Path:
        """The folder of the sender's journal."""
        return self.folder / "state"

    def start(self, known_list: dict[str, Any], agent_address: tuple[str, int]) -> None:
        """Start the process; `known_list`: the endpoint list in its configuration."""
        self.folder.mkdir(parents=True, exist_ok=True)
        if not self.address[1]:
            self.address = _free_address(loopback_host(SENDER_NETWORK, self.number))
        configuration_file = self.folder / "config.json"
        configuration_file.write_text(json.dumps(self._configuration(known_list, agent_address)))
        senders = self._scenario.senders
        is_odd = self.number in senders.odd_numbers
        command = senders.odd_command if is_odd else [sys.executable, "-m", "dewpin", "run"]
        environment = {name: value for name, value in os.environ.items() if not name.startswith(("LB_", "DEWPIN_"))}
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=REPOSITORY,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment | {"LB_CONFIG": str(configuration_file)},
            )

    def _configuration(self, known_list: dict[str, Any], agent_address: tuple[str, int]) -> dict[str, Any]:
        return {
            "name": f"n{self.number}",
            "listen": "%s:%d" % self.address,
            "discovery": "%s:%d" % agent_address,
            "state": str(self.state_folder),
            "seed": f"{self._scenario.seed:x}",
            "known": known_list,
            "limits": {"memory_mb": 192, "sockets": 512, "disk_mb": 3},
            "settings": platform_settings(self._scenario, self.number),
        }

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_until_ready(self, timeout_seconds: float = START_TIMEOUT_SECONDS) -> None:
        """Wait until the sender reports itself ready. Raises SenderStartError if it ends or is not ready in time."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        while True:
            response = await request_once(self.address, READINESS_REQUEST, READINESS_TIMEOUT_SECONDS)
            if response and response.status == 200:
                return
            if self.process is None or self.process.poll() is not None:
                raise SenderStartError(
                    f"sender {self.number} ended before it was ready; see its log: {self.folder / 'log'}"
                )
            if loop.time() > deadline:
                raise SenderStartError(f"sender {self.number} was not ready within {timeout_seconds} s")
            await asyncio.sleep(READINESS_POLL_SECONDS)


def _free_address(host: str) -> tuple[str, int]:
    with socket.socket() as probe:
        probe.bind((host, 0))
        address: tuple[str, int] = probe.getsockname()
        return address
