"""`dewpin config`: check, show, explain, schema, init. It owns their options and tables, and changes no file but the
one that `init` is told to write, which must not be there yet."""
import os
from typing import TYPE_CHECKING

import click

from .layered import options, read
from .main import CAN_NOT, FAULTY, Plain
from .show import as_json as print_json
from .show import facts, table

if TYPE_CHECKING:
    from ..daemon.configuration_source import ConfigurationSource


@click.group()
def config() -> None:
    """Check, show and explain the configuration."""


@config.command()
@click.argument("file", required=False)
@options
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def check(file: str | None, sources: "ConfigurationSource", as_json: bool) -> int | None:
    """Names every fault of all layers at once; FILE stands for --config FILE."""
    from ..config.faults import Faulty
    if file:
        if sources.operator:
            raise Plain("give the file once, as FILE or with --config", FAULTY)
        sources.operator = file
    try:
        reading = sources.read()
    except Faulty as fault:
        if as_json:
            print_json({"faults": [{"file": one.file, "line": one.line, "key": one.key, "words": one.words,
                                    "nearest": one.nearest} for one in fault.faults], "notes": []})
            return FAULTY
        raise Plain("\ndewpin: ".join(map(str, fault.faults)), FAULTY) from None
    if as_json:
        print_json({"faults": [], "notes": reading.notes})
    else:
        for note in reading.notes:
            click.echo(f"note: {note}")
        click.echo("no fault")
    return None


@config.command()
@options
@click.option("--origin", is_flag=True, help="Where each value came from.")
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def show(sources: "ConfigurationSource", origin: bool, as_json: bool) -> None:
    """Every key in force. Secrets are never shown."""
    from ..config import page
    rows = page.show(read(sources))
    if as_json:
        print_json({path: {"value": value, "origin": came} if origin else value for path, value, came in rows})
    elif origin:
        table(("key", "value", "origin"), rows)
    else:
        table(("key", "value"), [row[:2] for row in rows])


@config.command()
@click.argument("key")
@options
@click.option("--json", "as_json", is_flag=True, help="As JSON.")
def explain(key: str, sources: "ConfigurationSource", as_json: bool) -> None:
    """What KEY is for, its kind, range, default and names, and its value where a configuration is at hand."""
    from ..config import keys, page
    from ..config.faults import Faulty, nearest
    if key not in keys.KEYS:
        guess = nearest(key, keys.KEYS)
        raise Plain(f"no key is called {key!r}" + (f"; did you mean {guess}?" if guess else
                                                   "; `dewpin config show` lists them all"), FAULTY)
    try:
        reading = sources.read()
    except Faulty:
        reading = None
    facts(page.explain(keys.KEYS[key], reading), as_json)


@config.command()
@click.option("--as", "form", type=click.Choice(["json", "page"]), default="json", show_default=True,
              help="JSON schema, or docs/configuration.md.")
def schema(form: str) -> None:
    """The operator's file as a JSON schema, for editors and other programs."""
    from ..config import page
    if form == "json":
        print_json(page.schema())
    else:
        click.echo(page.page(), nl=False)


@config.command()
def events() -> None:
    """Every event of the log with its fields: docs/events.md."""
    from ..log.event_page import event_page
    click.echo(event_page(), nl=False)


@config.command()
@click.argument("file", required=False)
def init(file: str | None) -> None:
    """Writes the documented example to FILE, which must not be there yet, or to standard output."""
    from ..config import page
    if not file:
        return click.echo(page.example(), nl=False)
    try:
        with os.fdopen(os.open(file, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "w") as held:
            held.write(page.example())
    except FileExistsError:
        raise Plain(f"{file} is there already; name another file or move it away", CAN_NOT) from None
    except OSError as error:
        raise Plain(f"{file}: {error.strerror}; name a file in a folder that you may write to", CAN_NOT) from None
    return None
