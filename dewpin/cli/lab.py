"""`dewpin lab fleet`: runs real senders with fault injection and prints the result."""

import asyncio
import tempfile
from pathlib import Path
from typing import Any

import click

from .errors import CommandError, ExitCode
from .output import print_json, print_values


@click.group()
def lab() -> None:
    """Run senders on loopback against simulated clients, receivers and agents."""


@lab.command()
@click.argument("scenario", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), help="Folder for logs and result.json.")
@click.option("--seed", type=int, help="Override the seed of the scenario.")
@click.option("--json", "as_json", is_flag=True, help="Print the result as JSON.")
def fleet(scenario: Path, out: Path | None, seed: int | None, as_json: bool) -> int:
    """Start the senders of a scenario, inject its faults, stop all senders and print the result.

    The exit code is 3 if a rule was violated, as observed by clients, receivers and agents.
    """
    from ..lab.fleet.load_test import run_load_test
    from ..lab.fleet.scenario import parse_scenario

    try:
        parsed_scenario = parse_scenario(scenario.read_text())
    except ValueError as error:
        raise CommandError(f"{scenario.name}: {error}", ExitCode.INVALID) from error
    if seed is not None:
        parsed_scenario.seed = seed
    folder = out or Path(tempfile.mkdtemp(prefix="dewpin-fleet-"))
    try:
        result = asyncio.run(run_load_test(parsed_scenario, folder))
    except (OSError, RuntimeError) as error:
        raise CommandError(str(error), ExitCode.FAILURE) from error
    if as_json:
        print_json(result)
    else:
        _print_result(result)
    return ExitCode.DAMAGED if result["breaks"] else ExitCode.SUCCESS


def _print_result(result: dict[str, Any]) -> None:
    metrics = {
        name.replace("_", " "): round(value, 3) if isinstance(value, float) else value
        for name, value in result["figures"].items()
    }
    print_values(metrics)
    for violation in result["breaks"]:
        location = f"at {violation['at_ms']} ms, message {violation['mail']}, sender {violation['sender']}"
        click.echo(f"broken: {violation['rule']} {location}: {violation['what']}")
        for line in violation["last"]:
            click.echo(f"    {line}")
