"""`dewpin`: the sub-commands, each loaded when it is asked for, and the exit codes.

It owns the tree of commands and the one place where an error becomes a sentence and a code.
"""
import sys
from importlib import import_module
from typing import Any

import click

from .. import __version__

# exit codes
DONE, CAN_NOT, FAULTY, DAMAGED, SILENT = 0, 1, 2, 3, 4
CODES = """\b
Exit codes:
  0  done
  1  it can't be done here: a file, a folder or an address refuses
  2  the arguments or the configuration are faulty
  3  a journal holds damaged records, or a run broke a rule
  4  no sender answers at the control socket"""


class Lazy(click.Group):
    """A group whose commands are imported when they are used: `where` is {name: "module:command"}."""

    def __init__(self, *given: Any, where: Any = (), **more: Any) -> None:
        super().__init__(*given, **more)
        self.where = dict(where)

    def list_commands(self, context: Any) -> list[str]:
        return sorted(self.where)

    def get_command(self, context: Any, name: str) -> click.Command | None:
        if name not in self.where:
            return None
        module, _, command = self.where[name].partition(":")
        found: click.Command = getattr(import_module(module), command)
        return found


class Plain(Exception):
    """An error in one sentence that names what to do, and its exit code."""

    def __init__(self, words: str, code: int = CAN_NOT) -> None:
        super().__init__(words)
        self.code = code


@click.group(cls=Lazy, epilog=CODES, context_settings={"help_option_names": ["-h", "--help"]}, where={
    "run": "dewpin.cli.run:run", "config": "dewpin.cli.config:config", "spool": "dewpin.cli.spool:spool",
    "status": "dewpin.cli.status:status", "lab": "dewpin.cli.lab:lab", "version": "dewpin.cli.main:version",
    "completion": "dewpin.cli.main:completion"})
def dewpin() -> None:
    """dewpin: a relay that hands mails on to destinations nobody here controls."""


@click.command()
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def version(as_json: bool) -> None:
    """The program's version, and what it runs on."""
    import platform
    from importlib.metadata import PackageNotFoundError
    from importlib.metadata import version as installed

    from .show import facts
    held = {"dewpin": __version__, "python": platform.python_version()}
    for name in ("click", "msgspec", "structlog", "rich"):
        try:
            held[name] = installed(name)
        except PackageNotFoundError:
            held[name] = "not installed"
    facts(held, as_json)


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """The completion script for a shell: `eval "$(dewpin completion bash)"`."""
    from click.shell_completion import get_completion_class
    found = get_completion_class(shell)
    assert found is not None        # click.Choice names only shells that click completes for
    click.echo(found(dewpin, {}, "dewpin", "_DEWPIN_COMPLETE").source())


def main(arguments: list[str] | None = None) -> int:
    """Runs a command line; gives the exit code and writes errors to standard error, a sentence each."""
    try:
        code = dewpin.main(arguments, prog_name="dewpin", standalone_mode=False)
        return code if isinstance(code, int) else DONE
    except click.exceptions.Abort:
        return 130
    except click.exceptions.NoArgsIsHelpError as error:
        print(error.ctx.get_help())
        return FAULTY
    except click.UsageError as error:
        hint = f" (see '{error.ctx.command_path} --help')" if error.ctx else ""
        print(f"dewpin: {error.format_message()}{hint}", file=sys.stderr)
        return FAULTY
    except click.ClickException as error:
        print(f"dewpin: {error.format_message()}", file=sys.stderr)
        return CAN_NOT
    except Plain as error:
        print(f"dewpin: {error}", file=sys.stderr)
        return error.code
    except BrokenPipeError:         # whoever read our output has gone
        sys.stdout = None
        return DONE
