"""Ends of processes that nobody asked for, observed during a whole run."""

import threading
from contextlib import contextmanager

POLL_S = 0.01


class OwnEnds:
    """Watches the machines of a tier. `violations`: a line for each end that nobody asked for."""

    def __init__(self, tier):
        self._machines = [*tier.control_servers, *tier.senders]
        self._locks = {machine.name: threading.RLock() for machine in self._machines}
        self.violations = []

    @contextmanager
    def asked(self, machine):
        """In this block the process of a machine is ended and started; it runs again at its end."""
        with self._locks[machine.name]:
            yield

    def run(self, stopped):
        """Watch until `stopped` is set; a process that ended by itself is started again."""
        while not stopped.wait(POLL_S):
            for machine in self._machines:
                self._check(machine)

    def _check(self, machine):
        lock = self._locks[machine.name]
        if not lock.acquire(blocking=False):
            return
        try:
            if not machine.process.is_running:
                code = machine.process.wait(0)
                self.violations.append(
                    f"FAULT {machine.name} ended by itself with {code}: {machine.process.log_tail(3)}"
                )
                machine.process.start()
        finally:
            lock.release()
