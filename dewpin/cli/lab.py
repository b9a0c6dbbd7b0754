"""`dewpin lab fleet`: real senders against faults, and what came of it. It owns the options, not the run."""
import asyncio
import tempfile
from pathlib import Path
from typing import Any

import click

from . import show
from .main import CAN_NOT, DAMAGED, DONE, FAULTY, Plain

BROKEN = DAMAGED


@click.group()
def lab() -> None:
    """The laboratory: the program in a world of our own, on loopback."""


@lab.command()
@click.argument("scenario", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), help="Folder for logs and result.json.")
@click.option("--seed", type=int, help="In place of the scenario's.")
@click.option("--json", "as_json", is_flag=True, help="The result as JSON.")
def fleet(scenario: Path, out: Path | None, seed: int | None, as_json: bool) -> int:
    """Starts the senders of a scenario, lets its faults befall them, ends them all and tells what came of it.

    Exit code 3 if a rule was broken; the rules are judged from what clients, receivers and agents saw.
    """
    from ..lab.fleet import run
    from ..lab.fleet.scenario import read
    try:
        found = read(scenario.read_text())
    except ValueError as error:
        raise Plain(f"{scenario.name}: {error}", FAULTY) from None
    if seed is not None:
        found.seed = seed
    try:
        result = asyncio.run(run.play(found, out or Path(tempfile.mkdtemp(prefix="dewpin-fleet-"))))
    except (OSError, RuntimeError) as error:
        raise Plain(str(error), CAN_NOT) from None
    tell(result, as_json)
    return BROKEN if result["breaks"] else DONE


def tell(result: dict[str, Any], as_json: bool) -> None:
    if as_json:
        return show.as_json(result)
    shown = {name.replace("_", " "): round(value, 3) if isinstance(value, float) else value
             for name, value in result["figures"].items()}
    show.facts(shown)
    for one in result["breaks"]:
        at = f"at {one['at_ms']} ms, mail {one['mail']}, sender {one['sender']}"
        click.echo(f"broken: {one['rule']} {at}: {one['what']}")
        for words in one["last"]:
            click.echo(f"    {words}")
