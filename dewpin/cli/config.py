"""`dewpin config`: check, show, explain, schema, init, events.

Only `init` writes a file, and it never overwrites one.
"""

import os
from typing import TYPE_CHECKING

import click

from .configuration_options import configuration_options, invalid_configuration, read_configuration
from .errors import CommandError, ExitCode
from .output import print_json, print_table, print_values

if TYPE_CHECKING:
    from ..config.errors import ConfigurationIssue
    from ..daemon.configuration_source import ConfigurationSource


@click.group()
def config() -> None:
    """Check, show and explain the configuration."""


@config.command()
@click.argument("file", required=False)
@configuration_options
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def check(file: str | None, source: "ConfigurationSource", as_json: bool) -> int | None:
    """Report all errors in all layers; FILE is short for --config FILE."""
    from ..config.errors import ConfigurationError

    if file:
        if source.operator_path:
            raise CommandError("give the file only once, either as FILE or with --config", ExitCode.INVALID)
        source.operator_path = file
    try:
        configuration = source.read()
    except ConfigurationError as error:
        if not as_json:
            raise invalid_configuration(error) from error
        print_json({"faults": [_issue_as_json(issue) for issue in error.issues], "notes": []})
        return ExitCode.INVALID
    if as_json:
        print_json({"faults": [], "notes": configuration.warnings})
    else:
        for warning in configuration.warnings:
            click.echo(f"note: {warning}")
        click.echo("configuration is valid")
    return None


def _issue_as_json(issue: "ConfigurationIssue") -> dict[str, str | int | None]:
    return {
        "file": issue.file,
        "line": issue.line,
        "key": issue.key,
        "words": issue.message,
        "nearest": issue.suggestion,
    }


@config.command()
@configuration_options
@click.option("--origin", is_flag=True, help="Include the origin of each value.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def show(source: "ConfigurationSource", origin: bool, as_json: bool) -> None:
    """Show all keys and their current values. Secrets are never shown."""
    from ..config.documentation import value_rows

    rows = value_rows(read_configuration(source))
    if as_json:
        values = {
            path: {"value": value, "origin": value_origin} if origin else value for path, value, value_origin in rows
        }
        print_json(values)
    elif origin:
        print_table(("key", "value", "origin"), rows)
    else:
        print_table(("key", "value"), [row[:2] for row in rows])


@config.command()
@click.argument("key")
@configuration_options
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def explain(key: str, source: "ConfigurationSource", as_json: bool) -> None:
    """Describe KEY: purpose, kind, range, default, names, and its value if the configuration is valid."""
    from ..config.documentation import explain_key
    from ..config.errors import ConfigurationError, suggest_name
    from ..config.keys import KEYS

    if key not in KEYS:
        suggestion = suggest_name(key, KEYS)
        hint = f"; did you mean {suggestion}?" if suggestion else "; `dewpin config show` lists all keys"
        raise CommandError(f"unknown key {key!r}{hint}", ExitCode.INVALID)
    try:
        configuration = source.read()
    except ConfigurationError:
        configuration = None
    print_values(explain_key(KEYS[key], configuration), as_json)


@config.command()
@click.option(
    "--as",
    "form",
    type=click.Choice(["json", "page"]),
    default="json",
    show_default=True,
    help="JSON schema, or the content of docs/configuration.md.",
)
def schema(form: str) -> None:
    """Print a JSON schema of the operator's file, for editors and other programs."""
    from ..config.documentation import configuration_page, json_schema

    if form == "json":
        print_json(json_schema())
    else:
        click.echo(configuration_page(), nl=False)


@config.command()
def events() -> None:
    """Print the reference of all log events and their fields (docs/events.md)."""
    from ..log.event_page import event_page

    click.echo(event_page(), nl=False)


@config.command()
@click.argument("file", required=False)
def init(file: str | None) -> None:
    """Write a commented example to FILE, which must not exist yet, or to standard output."""
    from ..config.documentation import example_file

    if not file:
        click.echo(example_file(), nl=False)
        return
    try:
        with os.fdopen(os.open(file, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "w") as output:
            output.write(example_file())
    except FileExistsError as error:
        raise CommandError(f"{file} already exists; choose another file or move it away") from error
    except OSError as error:
        raise CommandError(f"{file}: {error.strerror}; choose a file in a writable folder") from error
