"""The options by which every command that needs a configuration finds its layers.

It owns these options' names and the way from them to a reading.
"""
import os
from collections.abc import Callable, Sequence
from functools import wraps
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from ..config.layers import Reading
    from ..daemon.configuration_source import ConfigurationSource


def options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds --config, --platform and --set; the command gets `sources`."""
    @click.option("--config", "operator", metavar="FILE", help="The operator's TOML file; else DEWPIN_CONFIG names it.")
    @click.option("--platform", metavar="FILE", help="The platform's JSON file; else LB_CONFIG names it.")
    @click.option("--set", "flags", metavar="KEY=VALUE", multiple=True,
                  help="A key of the configuration, outranking every file; may be given again.")
    @wraps(command)
    def whole(*given: Any, operator: str | None, platform: str | None, flags: Sequence[str], **more: Any) -> Any:
        from ..daemon.configuration_source import ConfigurationSource
        flags = (*flags, f"platform.file={platform}") if platform else flags
        return command(*given, sources=ConfigurationSource(os.environ, flags, operator), **more)
    return whole


def read(sources: "ConfigurationSource") -> "Reading":
    """The reading, or one sentence for each fault and exit code 2."""
    from ..config.faults import Faulty
    from .main import FAULTY, Plain
    try:
        return sources.read()
    except Faulty as fault:
        raise Plain("\ndewpin: ".join(map(str, fault.faults)), FAULTY) from None
