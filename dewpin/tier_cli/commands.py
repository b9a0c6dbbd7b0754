"""The commands.

Results are printed to standard output, faults to standard error. With `--json` both are one JSON object on standard
output.
"""

import json
import platform
from collections.abc import Iterable
from dataclasses import asdict
from http import HTTPStatus
from pathlib import Path
from typing import Annotated, NoReturn

import typer

from dewpin import __version__
from dewpin.cluster.configuration import Configuration, InvalidConfigurationError, parse_configuration
from dewpin.cluster.settings import InvalidSettingsError, load_settings
from dewpin.controlplane.register.recovery import (
    RecoveryFileError,
    RecoveryRefusedError,
    describe_replica,
    plan_recovery,
    recover,
)

from .exit_codes import ExitCode

EXIT_CODES = """Exit codes: 0 done; 1 a file cannot be read or written; 2 the arguments or what was checked are faulty;
3 the tier refused the order; 4 no clear answer came."""
DEFAULT_TIMEOUT_S = 5.0
INVALID_STATUSES = frozenset(
    {HTTPStatus.BAD_REQUEST, HTTPStatus.REQUEST_ENTITY_TOO_LARGE, HTTPStatus.UNPROCESSABLE_ENTITY}
)
INCONCLUSIVE_STATUSES = frozenset({HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS})

app = typer.Typer(
    help="The serving tier: checks of its files and orders to it.", epilog=EXIT_CODES, no_args_is_help=True
)
config = typer.Typer(help="The operator's configuration.", epilog=EXIT_CODES, no_args_is_help=True)
settings = typer.Typer(help="The settings file of a process.", epilog=EXIT_CODES, no_args_is_help=True)
register = typer.Typer(
    help="The register's replica in the data directory of a stopped control server.",
    epilog=EXIT_CODES,
    no_args_is_help=True,
)
app.add_typer(config, name="config")
app.add_typer(settings, name="settings")
app.add_typer(register, name="register")

AsJson = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]
Address = Annotated[str, typer.Option(help="HOST:PORT where the tier answers its operator.")]
Timeout = Annotated[float, typer.Option("--timeout", help="Seconds to wait for a response.", min=0.1)]
DataDirectory = Annotated[Path, typer.Argument(help="The data directory of a control server that is stopped.")]
ConfigurationFile = Annotated[Path, typer.Argument(help="A configuration, as JSON.")]


@config.command("check")
def check_configuration(file: ConfigurationFile, as_json: AsJson = False) -> None:
    """Check a configuration and name every fault with its place."""
    configuration = _read_configuration(file, as_json)
    counts = {"routes": len(configuration.routes), "services": len(configuration.services)}
    text = f"{file}: valid, generation {configuration.generation}, {_format_counts(counts)}"
    _finish(as_json, text, valid=True, generation=configuration.generation, **counts)


@config.command("get")
def get_configuration(
    address: Address,
    output: Annotated[Path | None, typer.Option(help="Write it to this file instead of printing it.")] = None,
    timeout_s: Timeout = DEFAULT_TIMEOUT_S,
    as_json: AsJson = False,
) -> None:
    """Read the configuration in force, byte for byte as it was put."""
    from .operator_client import NoResponseError, OperatorClient

    try:
        response = OperatorClient(address, timeout_s).get_configuration()
    except NoResponseError as error:
        _fail(ExitCode.UNKNOWN_RESULT, [str(error)], as_json)
    if response.status != HTTPStatus.OK:
        _fail(_exit_code_for(response.status), response.errors(), as_json, status=response.status)
    if output is None:
        typer.echo(response.body.decode("utf-8", "replace"))
        return
    try:
        output.write_bytes(response.body)
    except OSError as error:
        _fail(ExitCode.FILE_ERROR, [f"{output}: {error.strerror}"], as_json)
    _finish(as_json, f"{output}: written", written=str(output))


@config.command("put")
def put_configuration(
    file: ConfigurationFile,
    address: Address,
    base: Annotated[
        int | None, typer.Option(help="The version that it builds on; without it, the one now in force.", min=0)
    ] = None,
    timeout_s: Timeout = DEFAULT_TIMEOUT_S,
    as_json: AsJson = False,
) -> None:
    """Check a configuration and put it in force."""
    from .operator_client import NoResponseError, OperatorClient, version_in_force

    configuration = _read_configuration(file, as_json)
    client = OperatorClient(address, timeout_s)
    try:
        if base is None:
            base = version_in_force(client.get_configuration())
        response = client.put_configuration(file.read_bytes(), base)
    except NoResponseError as error:
        _fail(ExitCode.UNKNOWN_RESULT, [str(error)], as_json)
    if response.status != HTTPStatus.OK:
        _fail(_exit_code_for(response.status), response.errors(), as_json, status=response.status)
    text = f"generation {configuration.generation} acknowledged, built on {base}"
    _finish(as_json, text, acknowledged=True, generation=configuration.generation, base=base)


@settings.command("check")
def check_settings(
    file: Annotated[Path, typer.Argument(help="A settings file, as TOML.")], as_json: AsJson = False
) -> None:
    """Check a settings file and name every fault with its key and what was expected."""
    if not file.is_file():
        _fail(ExitCode.FILE_ERROR, [f"{file}: there is no such file"], as_json)
    try:
        checked = load_settings(file)
    except InvalidSettingsError as invalid:
        _fail(ExitCode.INVALID, invalid.lines(), as_json)
    serves = sorted(checked.serves)
    text = f"{file}: valid, {checked.node_name} serves {', '.join(serves) or 'nothing'}"
    _finish(as_json, text, valid=True, node_name=checked.node_name, serves=serves)


@register.command("show")
def show_replica(data_dir: DataDirectory, as_json: AsJson = False) -> None:
    """Print what a replica holds: compare the versions of all survivors before a recovery."""
    try:
        found = describe_replica(data_dir)
    except RecoveryFileError as error:
        _fail(ExitCode.FILE_ERROR, [str(error)], as_json)
    except RecoveryRefusedError as refusal:
        _fail(ExitCode.INVALID, refusal.faults, as_json)
    role = "a member" if found.is_member else "no member"
    lines = [f"{data_dir}: {found.member}, {role}, version {found.version}, configuration {found.generation}"]
    lines += [f"member {one} {name}" for one, name in found.members.items()]
    lines += [f"store {one} {name}" for one, name in found.stores.items()]
    _finish(as_json, "\n".join(lines), **asdict(found))


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
        _fail(ExitCode.FILE_ERROR, [str(error)], as_json)
    except RecoveryRefusedError as refusal:
        _fail(ExitCode.INVALID, refusal.faults, as_json)
    text = f"{'recovered' if apply else 'would recover'}: version {plan.version_before} becomes {plan.version_after}"
    text += f", configuration {plan.generation}, member {plan.member} alone, stores {', '.join(plan.remaining_stores)}"
    _finish(as_json, text if apply else f"{text}; nothing is written without --apply", applied=apply, **asdict(plan))


@app.command("version")
def show_version(as_json: AsJson = False) -> None:
    """Print the program's version and what it runs on."""
    python = platform.python_version()
    _finish(as_json, f"dewpin {__version__}, Python {python}", version=__version__, python=python)


def _read_configuration(file: Path, as_json: bool) -> Configuration:
    try:
        body = file.read_bytes()
    except OSError as error:
        _fail(ExitCode.FILE_ERROR, [f"{file}: {error.strerror}"], as_json)
    try:
        return parse_configuration(body)
    except InvalidConfigurationError as invalid:
        _fail(ExitCode.INVALID, invalid.lines(), as_json)


def _exit_code_for(status: int) -> ExitCode:
    """Return the exit code for a response with another status than 200."""
    if status in INVALID_STATUSES:
        return ExitCode.INVALID
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR or status in INCONCLUSIVE_STATUSES:
        return ExitCode.UNKNOWN_RESULT
    return ExitCode.REJECTED


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{count} {name}" for name, count in counts.items())


def _finish(as_json: bool, text: str, **result: object) -> None:
    typer.echo(json.dumps(result) if as_json else text)


def _fail(code: ExitCode, faults: Iterable[str], as_json: bool, **more: object) -> NoReturn:
    faults = list(faults)
    if as_json:
        typer.echo(json.dumps({"faults": faults, **more}))
    else:
        typer.echo("\n".join(faults), err=True)
    raise typer.Exit(code)
