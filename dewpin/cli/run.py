"""`dewpin run`: one sender in the foreground."""

from typing import TYPE_CHECKING

import click

from .configuration_options import configuration_options

if TYPE_CHECKING:
    from ..daemon.configuration_source import ConfigurationSource


@click.command()
@configuration_options
def run(source: "ConfigurationSource") -> int:
    """Runs a sender in the foreground until SIGTERM or SIGINT; SIGHUP reads the configuration anew.

    Without options the platform's variables say all there is to say: LB_CONFIG, LB_NAME, LB_LISTEN, LB_DISCOVERY,
    LB_STATE. It is ready once GET /-/ready answers 200.
    """
    from ..daemon.process import main

    return main(source.flags, source.operator_path, source.environment)
