"""What all commands print, and how they end."""

import json
from collections.abc import Iterable
from typing import Annotated, NoReturn

import typer

from .exit_codes import ExitCode

EXIT_CODES = """Exit codes: 0 done; 1 a file cannot be read or written; 2 the arguments or what was checked are faulty;
3 the tier refused the order; 4 no clear answer came."""

AsJson = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]


def finish(as_json: bool, text: str, **result: object) -> None:
    """Print the result of a command: `text`, or `result` as one JSON object."""
    typer.echo(json.dumps(result) if as_json else text)


def fail(code: ExitCode, faults: Iterable[str], as_json: bool, **more: object) -> NoReturn:
    """Print every fault, to standard error or as one JSON object with `more`, and end with `code`."""
    faults = list(faults)
    if as_json:
        typer.echo(json.dumps({"faults": faults, **more}))
    else:
        typer.echo("\n".join(faults), err=True)
    raise typer.Exit(code)
