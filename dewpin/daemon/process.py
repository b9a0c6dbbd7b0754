"""The entry point of a sender's process: reads the configuration, runs the sender, gives the exit code."""

import asyncio
import os
import sys
from collections.abc import Mapping, Sequence
from enum import IntEnum

from ..config import faults, layers
from .application import SenderApplication
from .configuration_source import ConfigurationSource


class ExitCode(IntEnum):
    """Exit codes of a sender."""

    DONE = 0
    UNUSABLE = 1  # an address or the state folder can't be used
    INVALID_CONFIGURATION = 2


def main(flags: Sequence[str] = (), operator: str | None = None, environment: Mapping[str, str] | None = None) -> int:
    """Run a sender until it is stopped; return the exit code.

    `flags`: `KEY=VALUE` texts; `operator`: path of the operator's TOML file; `environment`: `os.environ` by default.
    """
    source = ConfigurationSource(os.environ if environment is None else environment, flags, operator)
    try:
        configuration = source.read()
    except faults.Faulty as error:
        for fault in error.faults:
            print(f"dewpin: {fault}", file=sys.stderr)
        return ExitCode.INVALID_CONFIGURATION
    try:
        asyncio.run(run_sender(configuration, source))
    except OSError as error:
        sender = configuration.deployment.sender
        print(f"dewpin: sender.listen = {sender.listen} or sender.state = {sender.state}: {error}", file=sys.stderr)
        return ExitCode.UNUSABLE
    return ExitCode.DONE


async def run_sender(configuration: layers.Reading, source: ConfigurationSource) -> None:
    """Run a sender in the running loop. Raises OSError where an address or the state folder can't be used."""
    await SenderApplication(configuration, source).run()
