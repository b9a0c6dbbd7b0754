"""The commands of `dewpin-tier`.

Results are printed to standard output and errors to standard error. With `--json`, either is one JSON object on
standard output.
"""

import platform
from http import HTTPStatus
from pathlib import Path
from typing import Annotated

import typer

from dewpin import __version__
from dewpin.cluster.configuration import Configuration, InvalidConfigurationError, parse_configuration
from dewpin.cluster.settings import InvalidSettingsError, load_settings

from .exit_codes import ExitCode
from .output import EXIT_CODES, AsJson, fail, finish
from .propagation import estimate_propagation
from .register_commands import register

DEFAULT_TIMEOUT_S = 5.0
INVALID_STATUSES = frozenset(
    {HTTPStatus.BAD_REQUEST, HTTPStatus.REQUEST_ENTITY_TOO_LARGE, HTTPStatus.UNPROCESSABLE_ENTITY}
)
INCONCLUSIVE_STATUSES = frozenset({HTTPStatus.REQUEST_TIMEOUT, HTTPStatus.TOO_MANY_REQUESTS})

app = typer.Typer(
    help="Validate files of the serving tier and manage its configuration.", epilog=EXIT_CODES, no_args_is_help=True
)
config = typer.Typer(
    help="Check, read and change the operator's configuration.", epilog=EXIT_CODES, no_args_is_help=True
)
settings = typer.Typer(help="Check the settings file of a process.", epilog=EXIT_CODES, no_args_is_help=True)
app.add_typer(config, name="config")
app.add_typer(settings, name="settings")
app.add_typer(register, name="register")

Address = Annotated[str, typer.Option(help="HOST:PORT of the tier's operator API.")]
Timeout = Annotated[float, typer.Option("--timeout", help="Seconds to wait for a response.", min=0.1)]
ConfigurationFile = Annotated[Path, typer.Argument(help="A configuration, as JSON.")]


@config.command("check")
def check_configuration(
    file: ConfigurationFile,
    link_mbps: Annotated[
        float | None, typer.Option(help="Estimate the time to reach all senders over links of this rate.", min=0.001)
    ] = None,
    as_json: AsJson = False,
) -> None:
    """Check a configuration and report all errors with their locations."""
    configuration = _read_configuration(file, as_json)
    counts = {"routes": len(configuration.routes), "services": len(configuration.services)}
    text = f"{file}: valid, generation {configuration.generation}, {_format_counts(counts)}"
    result: dict[str, object] = {"valid": True, "generation": configuration.generation, **counts}
    if link_mbps is not None:
        estimate = estimate_propagation(file.read_bytes(), link_mbps)
        text += f"; {estimate.compressed_bytes} bytes compressed, at least {estimate.seconds:.2f} s to all senders"
        result |= {"compressed_bytes": estimate.compressed_bytes, "least_seconds": round(estimate.seconds, 3)}
    finish(as_json, text, **result)


@config.command("get")
def get_configuration(
    address: Address,
    output: Annotated[
        Path | None, typer.Option(help="Write the configuration to this file instead of printing it.")
    ] = None,
    timeout_s: Timeout = DEFAULT_TIMEOUT_S,
    as_json: AsJson = False,
) -> None:
    """Read the current configuration, byte for byte as it was submitted."""
    from .operator_client import NoResponseError, OperatorClient

    try:
        response = OperatorClient(address, timeout_s).get_configuration()
    except NoResponseError as error:
        fail(ExitCode.UNKNOWN_RESULT, [str(error)], as_json)
    if response.status != HTTPStatus.OK:
        fail(_exit_code_for(response.status), response.errors(), as_json, status=response.status)
    if output is None:
        typer.echo(response.body.decode("utf-8", "replace"))
        return
    try:
        output.write_bytes(response.body)
    except OSError as error:
        fail(ExitCode.FILE_ERROR, [f"{output}: {error.strerror}"], as_json)
    finish(as_json, f"{output}: written", written=str(output))


@config.command("put")
def put_configuration(
    file: ConfigurationFile,
    address: Address,
    base: Annotated[
        int | None, typer.Option(help="The version to replace; default: the current version.", min=0)
    ] = None,
    timeout_s: Timeout = DEFAULT_TIMEOUT_S,
    as_json: AsJson = False,
) -> None:
    """Check a configuration and make it the current one."""
    from .operator_client import NoResponseError, OperatorClient, current_version

    configuration = _read_configuration(file, as_json)
    client = OperatorClient(address, timeout_s)
    try:
        if base is None:
            base = current_version(client.get_configuration())
        response = client.put_configuration(file.read_bytes(), base)
    except NoResponseError as error:
        fail(ExitCode.UNKNOWN_RESULT, [str(error)], as_json)
    if response.status != HTTPStatus.OK:
        fail(_exit_code_for(response.status), response.errors(), as_json, status=response.status)
    text = f"generation {configuration.generation} acknowledged, replaces {base}"
    finish(as_json, text, acknowledged=True, generation=configuration.generation, base=base)


@settings.command("check")
def check_settings(
    file: Annotated[Path, typer.Argument(help="A settings file, as TOML.")], as_json: AsJson = False
) -> None:
    """Check a settings file and report all errors with key and expected value."""
    if not file.is_file():
        fail(ExitCode.FILE_ERROR, [f"{file}: no such file"], as_json)
    try:
        process_settings = load_settings(file)
    except InvalidSettingsError as invalid:
        fail(ExitCode.INVALID, invalid.lines(), as_json)
    serves = sorted(process_settings.serves)
    text = f"{file}: valid, {process_settings.node_name} serves {', '.join(serves) or 'nothing'}"
    finish(as_json, text, valid=True, node_name=process_settings.node_name, serves=serves)


@app.command("version")
def show_version(as_json: AsJson = False) -> None:
    """Print the versions of dewpin and Python."""
    python_version = platform.python_version()
    finish(as_json, f"dewpin {__version__}, Python {python_version}", version=__version__, python=python_version)


def _read_configuration(file: Path, as_json: bool) -> Configuration:
    try:
        body = file.read_bytes()
    except OSError as error:
        fail(ExitCode.FILE_ERROR, [f"{file}: {error.strerror}"], as_json)
    try:
        return parse_configuration(body)
    except InvalidConfigurationError as invalid:
        fail(ExitCode.INVALID, invalid.lines(), as_json)


def _exit_code_for(status: int) -> ExitCode:
    """Return the exit code for a response whose status is not 200."""
    if status in INVALID_STATUSES:
        return ExitCode.INVALID
    if status >= HTTPStatus.INTERNAL_SERVER_ERROR or status in INCONCLUSIVE_STATUSES:
        return ExitCode.UNKNOWN_RESULT
    return ExitCode.REJECTED


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{count} {name}" for name, count in counts.items())
