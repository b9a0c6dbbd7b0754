"""A tier of real processes with low limits, and what must hold at one of its processes beside a crowd."""

import contextlib
import http.client
import time
from collections.abc import Sequence
from pathlib import Path

from crowds.crowd import Behaviour, Crowd
from crowds.process_monitor import ProcessMonitor

from dewpin.standin.addresses import CONTROL_PORT, FIRST_INTERNAL_PORT, FRONT_PORT, READY_PORT
from dewpin.standin.client import ClientRequest, ClientResponse, send
from dewpin.standin.machine import Machine
from dewpin.standin.protocol import PUT_PATH
from dewpin.standin.sample_configuration import HOST, PLAIN_PATH, sample_configuration
from dewpin.standin.tier import LocalTier

MEMORY_MB = 150
MAX_DESCRIPTORS = 600
MAX_BODY_BYTES = 2 * 1024 * 1024
MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024
MAX_FRAME_BYTES = 32 * 1024 * 1024
CONFIGURATION_PATH = f"{PUT_PATH}?"
BYTES_PER_MB = 1_000_000
CROWD_S = 6.0
ORDINARY_TIMEOUT_S = 60.0
RETRY_DELAY_S = 0.2
PORTS = (CONTROL_PORT, FRONT_PORT, READY_PORT, FIRST_INTERNAL_PORT, FIRST_INTERNAL_PORT + 1)


class SmallTier:
    """A context manager: three control servers, one sender, and receivers; all with the limits above."""

    def __init__(self, folder: Path) -> None:
        limits = {"memory_mb": MEMORY_MB, "max_fds": MAX_DESCRIPTORS}
        self.tier = LocalTier(folder, sender_count=1, limits=limits)
        self.sender = self.tier.senders[0]

    def __enter__(self) -> "SmallTier":
        self.tier.start()
        try:
            self.tier.wait_until_settled()
            self.put_configuration(generation=1, base=0)
            self.tier.wait_until_ready()
        except BaseException:
            self.tier.stop()
            raise
        return self

    def __exit__(self, *details: object) -> None:
        self.tier.stop()

    def put_configuration(self, generation: int, base: int) -> None:
        """Put a configuration; the request is repeated, as the operator's are, until it is accepted."""
        configuration = sample_configuration(generation)
        configuration["limits"]["max_body_bytes"] = MAX_BODY_BYTES
        ends_s = time.monotonic() + ORDINARY_TIMEOUT_S
        while self.tier.operator.put(configuration, base).status != http.client.OK:
            assert time.monotonic() < ends_s, "no configuration was accepted"
            time.sleep(RETRY_DELAY_S)

    def serve_ordinary_request(self, body: bytes = b"ordinary") -> None:
        """Send a request to the plain service until it is served."""
        self.serve(ClientRequest(HOST, f"{PLAIN_PATH}a", body))

    def serve(self, request: ClientRequest, max_failures: int | None = None) -> ClientResponse:
        """Send a request, again and again as a client does, until it is served; return the response.

        max_failures: how often it may fail otherwise than by a rejection as overloaded; None for no limit.
        """
        ends_s = time.monotonic() + ORDINARY_TIMEOUT_S
        statuses: list[int | None] = []
        while time.monotonic() < ends_s:
            response = self._try_request(request)
            if response is not None and response.is_served:
                return response
            statuses.append(None if response is None else response.status)
            failures = [status for status in statuses if status != http.client.SERVICE_UNAVAILABLE]
            assert max_failures is None or len(failures) <= max_failures, f"the request failed with {statuses}"
            retry_after_s = 0.0 if response is None else float(response.fields.get("retry-after", "0"))
            time.sleep(max(RETRY_DELAY_S, retry_after_s))
        raise AssertionError(f"no ordinary request was served in {ORDINARY_TIMEOUT_S:g} s: {statuses}")

    def _try_request(self, request: ClientRequest) -> ClientResponse | None:
        try:
            return send(self.sender.client_address, request)
        except (OSError, http.client.HTTPException):
            return None


def check_process(machine: Machine, monitor: ProcessMonitor) -> None:
    """Check what must hold at a process at any time."""
    print(f"{machine.name}: {monitor}")
    assert machine.process.is_running and monitor.is_alive, machine.process.log_tail()
    assert monitor.peak_bytes <= MEMORY_MB * BYTES_PER_MB, str(monitor)
    assert monitor.peak_descriptors <= MAX_DESCRIPTORS, str(monitor)


def play_crowd(small_tier: SmallTier, machine: Machine, address: str, client_count: int, behaviour: Behaviour) -> None:
    """Let a crowd use an address of a machine; check its process and that ordinary requests are served."""
    play_crowds(small_tier, machine, [Crowd(address, client_count, behaviour)])


def play_crowds(small_tier: SmallTier, machine: Machine, crowds: Sequence[Crowd]) -> None:
    """Let crowds use the ports of a machine at the same time; check the same as `play_crowd`."""
    with ProcessMonitor(machine.process.pid, PORTS) as monitor:
        with contextlib.ExitStack() as running:
            for crowd in crowds:
                running.enter_context(crowd)
            time.sleep(CROWD_S)
            small_tier.serve_ordinary_request()
        for crowd in crowds:
            print(f"answers to the crowd: {dict(crowd.answers)}")
        small_tier.serve_ordinary_request(bytes(MAX_BODY_BYTES))
    check_process(machine, monitor)
