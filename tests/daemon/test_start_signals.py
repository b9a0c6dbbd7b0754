"""SIGHUP while a sender starts: the process goes on, and reads its configuration again."""

import asyncio
import json
import os
import random
import signal
import sys

import pytest
from processes.program import wait_for_import

from dewpin.log import events
from driver import run_scenario, wait_until

EARLY_MODULES = ("dewpin.daemon", "dewpin.daemon.start_signals")
"""Imported before SIGHUP is recorded."""
MAX_MODULES = 30
"""Less than the modules of this project that a sender imports while it starts."""
DRAWN_MODULE_COUNTS = random.Random("SIGHUP").sample(range(1, MAX_MODULES), 3)


class StartingSender:
    """A sender whose log, with a line for each import, goes to a file."""

    def __init__(self, folder):
        self.folder = folder
        self.log_path = folder / "log"
        self.process = None

    async def start(self, configuration, arguments):
        path = self.folder / "config.json"
        path.write_text(json.dumps(configuration))
        environment = dict(os.environ, LB_CONFIG=str(path), LB_STATE=str(self.folder / "state"))
        environment["PYTHONPROFILEIMPORTTIME"] = "1"
        command = [sys.executable, "-m", "dewpin", "run", *arguments]
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(*command, env=environment, stderr=log)

    def log_text(self):
        return self.log_path.read_text(errors="replace")

    def has_logged(self, event):
        assert self.process.returncode is None, f"ended with {self.process.returncode}: {self.log_text()[-2000:]}"
        return event in self.log_text()


@pytest.mark.parametrize("module_count", DRAWN_MODULE_COUNTS)
@pytest.mark.parametrize("arguments", [(), ("--set", "log.format=json")], ids=["run", "run with options"])
def test_sighup_while_starting_does_not_end_the_sender(tmp_path, arguments, module_count):
    starting = StartingSender(tmp_path)

    async def scenario(platform, sender):
        await starting.start(sender.config, arguments)
        platform.sender_processes.append(starting.process)
        await asyncio.to_thread(wait_for_import, starting, EARLY_MODULES, module_count)
        starting.process.send_signal(signal.SIGHUP)
        await wait_until(lambda: starting.has_logged(events.SENDER_STARTED.name))
        await wait_until(lambda: starting.has_logged(events.CONFIGURATION_RELOADED.name))
        starting.process.send_signal(signal.SIGTERM)
        assert await starting.process.wait() == 0

    run_scenario(tmp_path, scenario, start=False)
