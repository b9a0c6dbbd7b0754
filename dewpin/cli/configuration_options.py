"""Options that select the configuration, shared by all commands that read it."""

import os
from collections.abc import Callable, Sequence
from functools import wraps
from typing import TYPE_CHECKING, Any

import click

from .errors import CommandError, ExitCode

if TYPE_CHECKING:
    from ..config.errors import ConfigurationError
    from ..config.loading import Configuration
    from ..daemon.configuration_source import ConfigurationSource


def configuration_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add --config, --platform and --set to a command, and pass it the resulting `source`."""

    @click.option("--config", "operator", metavar="FILE", help="The operator's TOML file; default: DEWPIN_CONFIG.")
    @click.option("--platform", metavar="FILE", help="The platform's JSON file; default: LB_CONFIG.")
    @click.option(
        "--set",
        "flags",
        metavar="KEY=VALUE",
        multiple=True,
        help="Set a configuration key, overriding all files; can be repeated.",
    )
    @wraps(command)
    def with_source(
        *args: Any, operator: str | None, platform: str | None, flags: Sequence[str], **options: Any
    ) -> Any:
        from ..daemon.configuration_source import ConfigurationSource

        flags = (*flags, f"platform.file={platform}") if platform else flags
        return command(*args, source=ConfigurationSource(os.environ, flags, operator), **options)

    return with_source


def read_configuration(source: "ConfigurationSource") -> "Configuration":
    """Return the configuration. Raises CommandError with one line per issue."""
    from ..config.errors import ConfigurationError

    try:
        return source.read()
    except ConfigurationError as error:
        raise invalid_configuration(error) from error


def invalid_configuration(error: "ConfigurationError") -> CommandError:
    """Return the CommandError for an invalid configuration, with one line per issue."""
    return CommandError("\ndewpin: ".join(map(str, error.issues)), ExitCode.INVALID)
