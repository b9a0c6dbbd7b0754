"""`dewpin status`: queries a running sender through its control socket and prints the response."""

import os
import socket
import time
from typing import TYPE_CHECKING, Any

import click

from .configuration_options import configuration_options
from .errors import CommandError, ExitCode
from .output import format_size, print_json, print_table, print_values

if TYPE_CHECKING:
    from ..daemon.configuration_source import ConfigurationSource

RESPONSE_TIMEOUT_SECONDS = 5.0
MAX_RESPONSE_BYTES = 64_000_000
RECEIVE_BUFFER_BYTES = 65536
MIN_WATCH_INTERVAL_SECONDS = 0.1
TOKEN_VARIABLE = "DEWPIN_TOKEN"
QUEUE_COLUMNS = (
    "destination",
    "waiting",
    "out",
    "messages/s",
    "receiver",
    "list",
    "health",
    "out",
    "usual ms",
    "wait ms",
    "pace/s",
    "trickle/s",
)


@click.command()
@configuration_options
@click.option("--socket", "path", metavar="PATH", help="The control socket; default: control.socket.")
@click.option("--lines", default=0, metavar="N", help="Maximum number of destinations; default: control.lines.")
@click.option("--watch", is_flag=True, help="Repeat the query until interrupted.")
@click.option(
    "--every", default=1.0, metavar="SECONDS", show_default=True, help="Interval between queries with --watch."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON, one object per query.")
def status(
    source: "ConfigurationSource", path: str | None, lines: int, watch: bool, every: float, as_json: bool
) -> None:
    """Show the pending messages of a running sender, and the limits in effect for its destinations."""
    path, token = _find_socket(source, path)
    while True:
        response = query_sender(path, {"ask": "status", "token": token, "lines": lines})
        if as_json:
            print_json(response)
        else:
            if watch:
                click.clear()
            _print_status(response)
        if not watch:
            return
        time.sleep(max(MIN_WATCH_INTERVAL_SECONDS, every))


def query_sender(path: str, request: dict[str, Any]) -> dict[str, Any]:
    """Return the response of a sender. Raises CommandError if there is none, or if it is an error."""
    import msgspec

    received = bytearray()
    try:
        with socket.socket(socket.AF_UNIX) as connection:
            connection.settimeout(RESPONSE_TIMEOUT_SECONDS)
            connection.connect(path)
            connection.sendall(msgspec.json.encode(request) + b"\n")
            while len(received) < MAX_RESPONSE_BYTES and (data := connection.recv(RECEIVE_BUFFER_BYTES)):
                received += data
        response: dict[str, Any] = msgspec.json.decode(bytes(received))
    except (OSError, msgspec.DecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error) or type(error).__name__
        message = (
            f"no sender responds at {path}: {reason}; check that it is running and that control.socket is this path"
        )
        raise CommandError(message, ExitCode.NO_RESPONSE) from error
    if "fault" in response:
        raise CommandError(f"the sender at {path} rejected the query: {response['fault']}", ExitCode.NO_RESPONSE)
    return response


def _find_socket(source: "ConfigurationSource", path: str | None) -> tuple[str, str]:
    """Return the path and token of the control socket, from the options or else from the configuration."""
    from ..config.errors import ConfigurationError

    token = os.environ.get(TOKEN_VARIABLE, "")
    try:
        control = source.read().deployment.control
        path, token = path or control.socket_path, token or control.token
    except ConfigurationError as error:
        if not path:
            message = f"the configuration does not give a control socket: {error.issues[0]}; name it with --socket"
            raise CommandError(message, ExitCode.NO_RESPONSE) from error
    if not path:
        message = "control.socket is not set, so the sender has no control socket; set it and send SIGHUP"
        raise CommandError(message, ExitCode.NO_RESPONSE)
    return path, token


def _print_status(response: dict[str, Any]) -> None:
    print_values(_summary(response))
    if rows := _queue_rows(response["lines"]):
        print_table(QUEUE_COLUMNS, rows)
    omitted = response["lines_known"] - len(response["lines"])
    if omitted > 0:
        click.echo(f"{omitted} more destinations with fewer messages; use --lines N to list more")


def _summary(response: dict[str, Any]) -> dict[str, str]:
    messages, calls, clients, journal = response["mails"], response["calls"], response["clients"], response["spool"]
    process, receivers = response["process"], response["receivers"]
    return {
        "sender": f"{response['name']}, {response['state']}, process {response['pid']}, version {response['version']}, "
        f"up {response['up_ms'] / 1000.0:.0f} s",
        "messages": f"{messages['held']} of {messages['most']} held, {messages['owed']} pending, "
        f"{messages['notices']} unacknowledged notices, {messages['behind_notice']} waiting for a notice",
        "calls": f"{calls['out']} of {calls['slots']} in flight, {calls['opening']} connecting, {calls['idle']} of "
        f"{calls['most_idle']} connections idle",
        "clients": f"{clients['open']} of {clients['most']} connections, {format_size(clients['bytes'])} of "
        "incomplete requests",
        "journal": f"{format_size(journal['file_bytes'])} written, {100.0 * journal['used']:.1f}% of "
        f"{format_size(journal['room_bytes'])} used with its compacted copy",
        "process": f"{format_size(process['memory_bytes'])} of {format_size(process['most_memory_bytes'])}, "
        f"{process['descriptors']} of {process['most_descriptors']} descriptors",
        "receivers": f"{receivers['known']} known: {receivers['well']} healthy, {receivers['failing']} failing, "
        f"{receivers['set aside']} ejected, {receivers['unknown']} unknown",
    }


def _queue_rows(queues: list[dict[str, Any]]) -> list[tuple[Any, ...]]:
    """Return a row per receiver; the first row of a destination also has the values of the destination."""
    rows = []
    for queue in queues:
        destination_values = (queue["destination"], queue["waiting"], queue["out"], queue["rate"])
        for position, receiver in enumerate(queue["receivers"] or [{}]):
            rows.append(
                (
                    *(destination_values if position == 0 else ("",) * len(destination_values)),
                    receiver.get("receiver"),
                    receiver.get("state"),
                    receiver.get("health"),
                    receiver.get("out"),
                    receiver.get("usual_ms"),
                    receiver.get("wait_ms") or "",
                    receiver.get("pace"),
                    receiver.get("trickle"),
                )
            )
    return rows
