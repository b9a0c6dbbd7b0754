"""The `dewpin` command: loads subcommands on demand and reports their errors."""

import sys
from importlib import import_module
from typing import Any

import click

from .. import __version__
from .errors import EXIT_CODE_HELP, CommandError, ExitCode

COMMANDS = {  # name: "module:command"
    "run": "dewpin.cli.run:run",
    "config": "dewpin.cli.config:config",
    "spool": "dewpin.cli.spool:spool",
    "status": "dewpin.cli.status:status",
    "lab": "dewpin.cli.lab:lab",
    "version": "dewpin.cli.main:version",
    "completion": "dewpin.cli.main:completion",
}
REPORTED_PACKAGES = ("click", "msgspec", "structlog", "rich")


class LazyGroup(click.Group):
    """A command group that imports a command only when it is used.

    Attributes:
        locations: "module:command" by command name.
    """

    def __init__(self, *args: Any, locations: dict[str, str], **options: Any) -> None:
        super().__init__(*args, **options)
        self.locations = locations

    def list_commands(self, context: Any) -> list[str]:
        """Return the names of all commands."""
        return sorted(self.locations)

    def get_command(self, context: Any, name: str) -> click.Command | None:
        """Import and return a command, or return None if there is none with this name."""
        if name not in self.locations:
            return None
        module, _, attribute = self.locations[name].partition(":")
        command: click.Command = getattr(import_module(module), attribute)
        return command


@click.group(
    cls=LazyGroup,
    epilog=EXIT_CODE_HELP,
    context_settings={"help_option_names": ["-h", "--help"]},
    locations=COMMANDS,
)
def dewpin() -> None:
    """dewpin: a relay that forwards messages to destinations outside its control."""


@click.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def version(as_json: bool) -> None:
    """Print the versions of dewpin, Python and the libraries in use."""
    import platform
    from importlib.metadata import PackageNotFoundError
    from importlib.metadata import version as installed_version

    from .output import print_values

    versions = {"dewpin": __version__, "python": platform.python_version()}
    for name in REPORTED_PACKAGES:
        try:
            versions[name] = installed_version(name)
        except PackageNotFoundError:
            versions[name] = "not installed"
    print_values(versions, as_json)


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script for a shell; use it with `eval "$(dewpin completion bash)"`."""
    from click.shell_completion import get_completion_class

    completion_class = get_completion_class(shell)
    assert completion_class is not None  # click.Choice admits only shells that click supports
    click.echo(completion_class(dewpin, {}, "dewpin", "_DEWPIN_COMPLETE").source())


def main(arguments: list[str] | None = None) -> int:
    """Run a command line and return the exit code. Errors are printed to standard error."""
    try:
        code = dewpin.main(arguments, prog_name="dewpin", standalone_mode=False)
        return code if isinstance(code, int) else ExitCode.SUCCESS
    except click.exceptions.Abort:
        return ExitCode.INTERRUPTED
    except click.exceptions.NoArgsIsHelpError as error:
        print(error.ctx.get_help())
        return ExitCode.INVALID
    except click.UsageError as error:
        hint = f" (see '{error.ctx.command_path} --help')" if error.ctx else ""
        print(f"dewpin: {error.format_message()}{hint}", file=sys.stderr)
        return ExitCode.INVALID
    except click.ClickException as error:
        print(f"dewpin: {error.format_message()}", file=sys.stderr)
        return ExitCode.FAILURE
    except CommandError as error:
        print(f"dewpin: {error}", file=sys.stderr)
        return error.code
    except BrokenPipeError:  # the reader of the output closed the pipe
        sys.stdout = None
        return ExitCode.SUCCESS
