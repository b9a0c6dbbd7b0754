"""`dewpin lab fleet`: runs real senders with fault injection, and prints the result."""

import asyncio
import tempfile
from pathlib import Path
from typing import Any

import click

from .errors import CommandError, ExitCode
from .output import print_facts, print_json


@click.group()
def lab() -> None:
    """The laboratory: the program in a simulated world, on loopback."""


@lab.command()
@click.argument("scenario", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), help="Folder for logs and result.json.")
@click.option("--seed", type=int, help="In place of the scenario's.")
@click.option("--json", "as_json", is_flag=True, help="The result as JSON.")
def fleet(scenario: Path, out: Path | None, seed: int | None, as_json: bool) -> int:
    """Starts the senders of a scenario, injects its faults, ends them all and prints the result.

    Exit code 3 if a rule was broken; the rules are judged from what clients, receivers and agents saw.
    """
    from ..lab.fleet.load_test import play
    from ..lab.fleet.scenario import parse_scenario

    try:
        found = parse_scenario(scenario.read_text())
    except ValueError as error:
        raise CommandError(f"{scenario.name}: {error}", ExitCode.INVALID) from error
    if seed is not None:
        found.seed = seed
    folder = out or Path(tempfile.mkdtemp(prefix="dewpin-fleet-"))
    try:
        result = asyncio.run(play(found, folder))
    except (OSError, RuntimeError) as error:
        raise CommandError(str(error), ExitCode.IMPOSSIBLE) from error
    if as_json:
        print_json(result)
    else:
        _print_result(result)
    return ExitCode.DAMAGED if result["breaks"] else ExitCode.DONE


def _print_result(result: dict[str, Any]) -> None:
    metrics = {
        name.replace("_", " "): round(value, 3) if isinstance(value, float) else value
        for name, value in result["figures"].items()
    }
    print_facts(metrics)
    for violation in result["breaks"]:
        place = f"at {violation['at_ms']} ms, message {violation['mail']}, sender {violation['sender']}"
        click.echo(f"broken: {violation['rule']} {place}: {violation['what']}")
        for line in violation["last"]:
            click.echo(f"    {line}")
