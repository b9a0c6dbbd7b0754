"""The commands for the register's replica on the disk of a stopped control server."""

from dataclasses import asdict
from pathlib import Path
from typing import Annotated

import typer

from dewpin.controlplane.register.recovery import (
    RecoveryFileError,
    RecoveryRefusedError,
    describe_replica,
    plan_recovery,
    recover,
)

from .exit_codes import ExitCode
from .output import EXIT_CODES, AsJson, fail, finish

register = typer.Typer(
    help="The register's replica in the data directory of a stopped control server.",
    epilog=EXIT_CODES,
    no_args_is_help=True,
)

DataDirectory = Annotated[Path, typer.Argument(help="The data directory of a control server that is stopped.")]


@register.command("show")
def show_replica(data_dir: DataDirectory, as_json: AsJson = False) -> None:
    """Print what a replica holds: compare the versions of all survivors before a recovery."""
    try:
        found = describe_replica(data_dir)
    except RecoveryFileError as error:
        fail(ExitCode.FILE_ERROR, [str(error)], as_json)
    except RecoveryRefusedError as refusal:
        fail(ExitCode.INVALID, refusal.errors, as_json)
    role = "a member" if found.is_member else "no member"
    lines = [f"{data_dir}: {found.member}, {role}, version {found.version}, configuration {found.generation}"]
    lines += [f"member {one} {name}" for one, name in found.members.items()]
    lines += [f"store {one} {name}" for one, name in found.stores.items()]
    finish(as_json, "\n".join(lines), **asdict(found))


@register.command("recover")
def recover_register(
    data_dir: DataDirectory,
    lost: Annotated[list[str], typer.Option(help="Id of a member or store that never comes back; once for each.")],
    apply: Annotated[
        bool, typer.Option("--apply", help="Write it; without this, only print what would change.")
    ] = False,
    as_json: AsJson = False,
) -> None:
    """Leave lost members out of a register that has no majority any more. What only they held is gone for good."""
    try:
        plan = recover(data_dir, set(lost)) if apply else plan_recovery(data_dir, set(lost))
    except RecoveryFileError as error:
        fail(ExitCode.FILE_ERROR, [str(error)], as_json)
    except RecoveryRefusedError as refusal:
        fail(ExitCode.INVALID, refusal.errors, as_json)
    text = f"{'recovered' if apply else 'would recover'}: version {plan.version_before} becomes {plan.version_after}"
    text += f", configuration {plan.generation}, member {plan.member} alone, stores {', '.join(plan.remaining_stores)}"
    finish(as_json, text if apply else f"{text}; nothing is written without --apply", applied=apply, **asdict(plan))
