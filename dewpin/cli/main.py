"""`dewpin`: the sub-commands, each loaded when it is used, and the one place where an error becomes a sentence."""

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
SHOWN_PACKAGES = ("click", "msgspec", "structlog", "rich")


class LazyGroup(click.Group):
    """A group whose commands are imported when they are used.

    Attributes:
        locations: "module:command" by the command's name.
    """

    def __init__(self, *args: Any, locations: dict[str, str], **options: Any) -> None:
        super().__init__(*args, **options)
        self.locations = locations

    def list_commands(self, context: Any) -> list[str]:
        """Return the names of all commands."""
        return sorted(self.locations)

    def get_command(self, context: Any, name: str) -> click.Command | None:
        """Import a command; None where there is none of this name."""
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
    """dewpin: a relay that forwards messages to destinations nobody here controls."""


@click.command()
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def version(as_json: bool) -> None:
    """The program's version, and what it runs on."""
    import platform
    from importlib.metadata import PackageNotFoundError
    from importlib.metadata import version as installed_version

    from .output import print_facts

    versions = {"dewpin": __version__, "python": platform.python_version()}
    for name in SHOWN_PACKAGES:
        try:
            versions[name] = installed_version(name)
        except PackageNotFoundError:
            versions[name] = "not installed"
    print_facts(versions, as_json)


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """The completion script for a shell: `eval "$(dewpin completion bash)"`."""
    from click.shell_completion import get_completion_class

    completion_class = get_completion_class(shell)
    assert completion_class is not None  # click.Choice names only shells that click completes for
    click.echo(completion_class(dewpin, {}, "dewpin", "_DEWPIN_COMPLETE").source())


def main(arguments: list[str] | None = None) -> int:
    """Run a command line; return the exit code. Errors go to standard error, a sentence each."""
    try:
        code = dewpin.main(arguments, prog_name="dewpin", standalone_mode=False)
        return code if isinstance(code, int) else ExitCode.DONE
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
        return ExitCode.IMPOSSIBLE
    except CommandError as error:
        print(f"dewpin: {error}", file=sys.stderr)
        return error.code
    except BrokenPipeError:  # the reader of the output has gone
        sys.stdout = None
        return ExitCode.DONE
