"""Commands for the register replica on the disk of a stopped control server."""

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
    help="Inspect or recover the register replica of a stopped control server.",
    epilog=EXIT_CODES,
    no_args_is_help=True,
)

DataDirectory = Annotated[Path, typer.Argument(help="The data directory of a stopped control server.")]


@register.command("show")
def show_replica(data_dir: DataDirectory, as_json: AsJson = False) -> None:
    """Print the content of a replica. Before a recovery, compare the versions of all surviving replicas."""
    try:
        replica = describe_replica(data_dir)
    except RecoveryFileError as error:
        fail(ExitCode.FILE_ERROR, [str(error)], as_json)
    except RecoveryRefusedError as refusal:
        fail(ExitCode.INVALID, refusal.errors, as_json)
    role = "member" if replica.is_member else "not a member"
    lines = [f"{data_dir}: {replica.member}, {role}, version {replica.version}, configuration {replica.generation}"]
    lines += [f"member {member_id} {name}" for member_id, name in replica.members.items()]
    lines += [f"store {store_id} {name}" for store_id, name in replica.stores.items()]
    finish(as_json, "\n".join(lines), **asdict(replica))


@register.command("recover")
def recover_register(
    data_dir: DataDirectory,
    lost: Annotated[list[str], typer.Option(help="Id of a permanently lost member or store; can be repeated.")],
    apply: Annotated[
        bool, typer.Option("--apply", help="Apply the recovery; without this option, only print the changes.")
    ] = False,
    as_json: AsJson = False,
) -> None:
    """Remove lost members from a register without a majority. Data that only they held is lost permanently."""
    try:
        plan = recover(data_dir, set(lost)) if apply else plan_recovery(data_dir, set(lost))
    except RecoveryFileError as error:
        fail(ExitCode.FILE_ERROR, [str(error)], as_json)
    except RecoveryRefusedError as refusal:
        fail(ExitCode.INVALID, refusal.errors, as_json)
    text = f"{'recovered' if apply else 'would recover'}: version {plan.version_before} becomes {plan.version_after}"
    text += f", configuration {plan.generation}, member {plan.member} alone, stores {', '.join(plan.remaining_stores)}"
    finish(as_json, text if apply else f"{text}; nothing is written without --apply", applied=apply, **asdict(plan))
