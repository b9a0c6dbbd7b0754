"""`dewpin status`: asks a running sender at its control socket, and prints the answer."""

import os
import socket
import time
from typing import TYPE_CHECKING, Any

import click

from .configuration_options import configuration_options
from .errors import CommandError, ExitCode
from .output import format_size, print_facts, print_json, print_table

if TYPE_CHECKING:
    from ..daemon.configuration_source import ConfigurationSource

ANSWER_TIMEOUT_SECONDS = 5.0
MAX_ANSWER_BYTES = 64_000_000
READ_BYTES = 65536
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
@click.option("--socket", "path", metavar="PATH", help="The control socket; else the configuration names it.")
@click.option("--lines", default=0, metavar="N", help="Destinations to list; else control.lines.")
@click.option("--watch", is_flag=True, help="Asks again and again until it is interrupted.")
@click.option("--every", default=1.0, metavar="SECONDS", show_default=True, help="Between two questions of --watch.")
@click.option("--json", "as_json", is_flag=True, help="As JSON, one answer after the other.")
def status(
    source: "ConfigurationSource", path: str | None, lines: int, watch: bool, every: float, as_json: bool
) -> None:
    """The pending messages of a running sender, and what limits its destinations."""
    path, token = _find_socket(source, path)
    while True:
        answer = ask(path, {"ask": "status", "token": token, "lines": lines})
        if as_json:
            print_json(answer)
        else:
            if watch:
                click.clear()
            _print_status(answer)
        if not watch:
            return
        time.sleep(max(MIN_WATCH_INTERVAL_SECONDS, every))


def ask(path: str, question: dict[str, Any]) -> dict[str, Any]:
    """Return a sender's answer. Raises CommandError where none comes."""
    import msgspec

    received = bytearray()
    try:
        with socket.socket(socket.AF_UNIX) as connection:
            connection.settimeout(ANSWER_TIMEOUT_SECONDS)
            connection.connect(path)
            connection.sendall(msgspec.json.encode(question) + b"\n")
            while len(received) < MAX_ANSWER_BYTES and (data := connection.recv(READ_BYTES)):
                received += data
        answer: dict[str, Any] = msgspec.json.decode(bytes(received))
    except (OSError, msgspec.DecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error) or type(error).__name__
        message = f"no sender answers at {path}: {reason}; see that it runs and that control.socket names this path"
        raise CommandError(message, ExitCode.NO_ANSWER) from error
    if "fault" in answer:
        raise CommandError(f"the sender at {path} does not tell: {answer['fault']}", ExitCode.NO_ANSWER)
    return answer


def _find_socket(source: "ConfigurationSource", path: str | None) -> tuple[str, str]:
    """Return the socket's path and the token: from the options, else from the configuration."""
    from ..config.errors import ConfigurationError

    token = os.environ.get(TOKEN_VARIABLE, "")
    try:
        control = source.read().deployment.control
        path, token = path or control.socket_path, token or control.token
    except ConfigurationError as error:
        if not path:
            message = f"no control socket is known: {error.issues[0]}; name it with --socket"
            raise CommandError(message, ExitCode.NO_ANSWER) from error
    if not path:
        message = "control.socket names no path, so the sender answers nowhere; set it and send SIGHUP"
        raise CommandError(message, ExitCode.NO_ANSWER)
    return path, token


def _print_status(answer: dict[str, Any]) -> None:
    print_facts(_facts(answer))
    if rows := _queue_rows(answer["lines"]):
        print_table(QUEUE_COLUMNS, rows)
    hidden = answer["lines_known"] - len(answer["lines"])
    if hidden > 0:
        click.echo(f"{hidden} further destinations with fewer messages; --lines N lists more")


def _facts(answer: dict[str, Any]) -> dict[str, str]:
    messages, calls, clients, journal = answer["mails"], answer["calls"], answer["clients"], answer["spool"]
    process, receivers = answer["process"], answer["receivers"]
    return {
        "sender": f"{answer['name']}, {answer['state']}, process {answer['pid']}, version {answer['version']}, up "
        f"{answer['up_ms'] / 1000.0:.0f} s",
        "messages": f"{messages['held']} of {messages['most']} in hand, {messages['owed']} pending, "
        f"{messages['notices']} notices not acknowledged, {messages['behind_notice']} waiting for one",
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
    """Return a row for each receiver; the first one of a destination has the destination's own values too."""
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
