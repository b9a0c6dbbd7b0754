"""Entry point of a sender's process: reads the configuration, runs the sender, returns the exit code."""

import asyncio
import os
import sys
from collections.abc import Mapping, Sequence
from enum import IntEnum

from ..config.errors import ConfigurationError
from ..config.loading import Configuration
from .application import SenderApplication
from .configuration_source import ConfigurationSource


class ExitCode(IntEnum):
    """Exit codes of a sender."""

    DONE = 0
    UNUSABLE = 1  # an address or the state folder can't be used
    INVALID_CONFIGURATION = 2


def main(
    flags: Sequence[str] = (), operator_path: str | None = None, environment: Mapping[str, str] | None = None
) -> int:
    """Run a sender until it is stopped; return the exit code.

    `flags`: `KEY=VALUE` strings; `operator_path`: path of the operator's TOML file; `environment`: `os.environ` by
    default.
    """
    source = ConfigurationSource(os.environ if environment is None else environment, flags, operator_path)
    try:
        configuration = source.read()
    except ConfigurationError as error:
        for issue in error.issues:
            print(f"dewpin: {issue}", file=sys.stderr)
        return ExitCode.INVALID_CONFIGURATION
    try:
        asyncio.run(run_sender(configuration, source))
    except OSError as error:
        sender = configuration.deployment.sender
        print(
            f"dewpin: sender.listen = {sender.listen_address} or sender.state = {sender.state_folder}: {error}",
            file=sys.stderr,
        )
        return ExitCode.UNUSABLE
    return ExitCode.DONE


async def run_sender(configuration: Configuration, source: ConfigurationSource) -> None:
    """Run a sender in the running event loop. Raises OSError if an address or the state folder can't be used."""
    await SenderApplication(configuration, source).run()
