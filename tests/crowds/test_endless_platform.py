"""A platform that sends lists without end: senders and control servers keep the receivers that they know."""

import contextlib
import socket
import time

import pytest
from crowds.process_monitor import ProcessMonitor
from crowds.small_tier import PORTS, check_process
from loopback_server import LoopbackServer

from dewpin.cluster.rpc import split_address
from dewpin.standin.endless_response import EndlessForm, endless_response

pytestmark = pytest.mark.crowd

FAULT_S = 4.0
ORDINARY_REQUESTS = 10
REQUEST_BYTES = 65_536
REASONS = {200: "OK", 500: "Internal Server Error"}


class EndlessPlatform(LoopbackServer):
    """Answers each request at the address of the stand-in platform, which has ended, with a response without end."""

    def __init__(self, address, form, status):
        self._status_line = f"HTTP/1.1 {status} {REASONS[status]}\r\n".encode()
        self._response = endless_response(form)
        self._bind_address = split_address(address)
        super().__init__()

    def create_listener(self):
        return socket.create_server(self._bind_address)

    def _serve(self, connection):
        with connection, contextlib.suppress(OSError):
            connection.recv(REQUEST_BYTES)
            if not self._response.block:
                connection.recv(REQUEST_BYTES)  # until the caller closes the connection
                return
            for part in self._response.parts(self._status_line, b""):
                connection.sendall(part)


@pytest.mark.parametrize("status", [200, 500])
@pytest.mark.parametrize("form", EndlessForm, ids=lambda form: form.value)
def test_platform_sends_lists_without_end(small_tier, form, status):
    tier = small_tier.tier
    machines = [small_tier.sender, tier.control_servers[0]]
    with contextlib.ExitStack() as monitors:
        observed = [(each, monitors.enter_context(ProcessMonitor(each.process.pid, PORTS))) for each in machines]
        tier.platform.kill()
        with contextlib.closing(EndlessPlatform(tier.platform_address, form, status)) as platform:
            time.sleep(FAULT_S)
            for _ in range(ORDINARY_REQUESTS):
                small_tier.serve_ordinary_request()
            assert platform.connections > 0
        small_tier.put_configuration(generation=2, base=1)
        small_tier.serve_ordinary_request()
    for machine, monitor in observed:
        check_process(machine, monitor)
