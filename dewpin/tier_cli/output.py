"""Output and termination of all commands."""

import json
from collections.abc import Iterable
from typing import Annotated, NoReturn

import typer

from .exit_codes import ExitCode

EXIT_CODES = """Exit codes: 0 success; 1 a file cannot be read or written; 2 the arguments or the checked file are
invalid; 3 the tier rejected the request; 4 there was no conclusive response."""

AsJson = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]


def finish(as_json: bool, text: str, **result: object) -> None:
    """Print the result of a command: `text`, or `result` as one JSON object if `as_json` is set."""
    typer.echo(json.dumps(result) if as_json else text)


def fail(code: ExitCode, errors: Iterable[str], as_json: bool, **details: object) -> NoReturn:
    """Print all errors, to standard error or as one JSON object with `details`, and exit with `code`."""
    errors = list(errors)
    if as_json:
        typer.echo(json.dumps({"faults": errors, **details}))
    else:
        typer.echo("\n".join(errors), err=True)
    raise typer.Exit(code)
