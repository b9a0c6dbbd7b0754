"""`dewpin run`: runs a sender in the foreground."""

from typing import TYPE_CHECKING

import click

from .configuration_options import configuration_options

if TYPE_CHECKING:
    from ..daemon.configuration_source import ConfigurationSource


@click.command()
@configuration_options
def run(source: "ConfigurationSource") -> int:
    """Run a sender in the foreground until SIGTERM or SIGINT; SIGHUP reloads the configuration.

    Without options, the platform's variables configure the sender: LB_CONFIG, LB_NAME, LB_LISTEN, LB_DISCOVERY,
    LB_STATE. The sender is ready once GET /-/ready returns 200.
    """
    from ..daemon.process import main

    return main(source.flags, source.operator_path, source.environment)
