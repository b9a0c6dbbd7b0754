"""One real process of the tier, started alone on loopback, with its log and the faults of its surroundings."""

import json
import os
import signal
import socket
import subprocess
import sys
import time

from dewpin.cluster.rpc import split_address
from dewpin.standin.addresses import FIRST_INTERNAL_PORT, LoopbackNetwork
from dewpin.standin.machine import Machine
from dewpin.standin.machine_settings import write_machine_settings
from dewpin.standin.polling import wait_until
from dewpin.standin.processes import ROOT, ManagedProcess
from dewpin.standin.tier import is_listening

SENDER, CONTROL_SERVER = "dewpin.dataplane", "dewpin.controlplane"
ROLES = (SENDER, CONTROL_SERVER)
TIMEOUT_S = 30.0


class Program:
    """A sender or a control server. `addresses`: the addresses it listens at, by name."""

    def __init__(self, role, folder):
        self.role, self.folder = role, folder
        self._network = LoopbackNetwork()
        self.log_path = folder / "log"
        self.settings_path = folder / "settings.toml"
        self.data_dir = folder / "data" if role == CONTROL_SERVER else None
        unused = ManagedProcess("", role, [], self.log_path, {})
        machine = Machine("one", self._network.take_address(), "zone-a", unused, self.settings_path, self.data_dir)
        write_machine_settings(machine, [machine], f"{self._network.take_address()}:9", bootstrap=True)
        internal = FIRST_INTERNAL_PORT + (role == SENDER)
        self.addresses = {"internal": f"{machine.ip}:{internal}"}
        if role == SENDER:
            self.addresses |= {"front": machine.client_address, "ready": machine.readiness_address}
        else:
            self.addresses["operator"] = machine.operator_address
        self.process = None

    def start(self, environment=None, code=None, **options):
        """Start the process; `environment` is added to the one of the tests, `options` go to Popen.

        code: Python code to run instead of the role's module.
        """
        variables = {**os.environ, "DEWPIN_BOOT": str(self.settings_path), **(environment or {})}
        with self.log_path.open("ab") as log:
            options.setdefault("stderr", log)
            command = [sys.executable, *(("-m", self.role) if code is None else ("-c", code))]
            self.process = subprocess.Popen(command, cwd=ROOT, env=variables, stdin=subprocess.DEVNULL, **options)

    def close(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self._network.close()

    def is_serving(self):
        """Return whether the process accepts connections at all its addresses; it must be running."""
        assert self.process.poll() is None, f"ended with {self.process.returncode}: {self.log_text()}"
        return all(is_listening(address) for address in self.addresses.values())

    def wait_until_serving(self):
        wait_until(self.is_serving, TIMEOUT_S, "the process serves")

    def send(self, number):
        self.process.send_signal(number)

    def stop(self):
        """Send SIGTERM; return the exit code."""
        self.send(signal.SIGTERM)
        return self.process.wait(TIMEOUT_S)

    def log_text(self):
        return self.log_path.read_text(errors="replace")

    def events(self, name=None):
        """Return the lines of the log that are events, or only those of one event."""
        lines = [json.loads(line) for line in self.log_text().splitlines() if line.startswith("{")]
        return [line for line in lines if name in (None, line["event"])]

    def wait_for_event(self, name):
        """Wait until an event is logged; return its first line. The process must be running."""

        def find():
            found = self.events(name)
            assert found or self.process.poll() is None, f"ended with {self.process.returncode}: {self.log_text()}"
            return found

        return wait_until(find, TIMEOUT_S, f"{name} is logged")[0]


def occupy(address):
    """Return a socket that listens at an address, as another process would."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(split_address(address))
    sock.listen()
    return sock


def wait_for_import(program, modules, module_count):
    """Wait until the process has imported `module_count` modules of this project besides `modules`."""
    ends_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < ends_s:
        lines = program.log_text().splitlines()
        names = [line.rpartition("|")[2].strip() for line in lines if line.startswith("import time:")]
        if len([name for name in names if name.startswith("dewpin.") and name not in modules]) >= module_count:
            return
        time.sleep(0.0005)
    raise AssertionError("the process did not import the modules")
