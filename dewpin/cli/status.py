"""`dewpin status`: asks a running sender at its control socket. It owns the question and the tables."""
import os
import socket
import time
from typing import TYPE_CHECKING, Any

import click

from .layered import options
from .main import SILENT, Plain
from .show import as_json as print_json
from .show import facts, size, table

if TYPE_CHECKING:
    from ..daemon.configuration_source import ConfigurationSource

PATIENCE = 5.0          # seconds for an answer
MOST_ANSWER = 64_000_000


@click.command()
@options
@click.option("--socket", "path", metavar="PATH", help="The control socket; else the configuration names it.")
@click.option("--lines", default=0, metavar="N", help="Destinations to tell of; else control.lines.")
@click.option("--watch", is_flag=True, help="Asks again and again until it is interrupted.")
@click.option("--every", default=1.0, metavar="SECONDS", show_default=True, help="Between two questions of --watch.")
@click.option("--json", "as_json", is_flag=True, help="As JSON, one answer after the other.")
def status(
    sources: "ConfigurationSource", path: str | None, lines: int, watch: bool, every: float, as_json: bool
) -> None:
    """What a running sender has in hand, and what binds its destinations."""
    path, token = _found(sources, path)
    while True:
        held = ask(path, {"ask": "status", "token": token, "lines": lines})
        if as_json:
            print_json(held)
        else:
            if watch:
                click.clear()
            _show(held)
        if not watch:
            return
        time.sleep(max(0.1, every))


def ask(path: str, question: dict[str, Any]) -> dict[str, Any]:
    """A sender's answer as a map. Plain with code 4 where none comes."""
    import msgspec
    answer = bytearray()
    try:
        with socket.socket(socket.AF_UNIX) as link:
            link.settimeout(PATIENCE)
            link.connect(path)
            link.sendall(msgspec.json.encode(question) + b"\n")
            while len(answer) < MOST_ANSWER and (part := link.recv(65536)):
                answer += part
        held = msgspec.json.decode(bytes(answer))
    except (OSError, msgspec.DecodeError) as error:
        words = getattr(error, "strerror", None) or str(error) or type(error).__name__
        raise Plain(f"no sender answers at {path}: {words}; see that it runs and that control.socket names this path",
                    SILENT) from None
    if "fault" in held:
        raise Plain(f"the sender at {path} does not tell: {held['fault']}", SILENT)
    return held


def _found(sources: "ConfigurationSource", path: str | None) -> tuple[str, str]:
    """The socket's path and the token: from the options, else from the configuration."""
    from ..config.faults import Faulty
    token = os.environ.get("DEWPIN_TOKEN", "")
    try:
        control = sources.read().deployment.control
        path, token = path or control.socket, token or control.token
    except Faulty as fault:
        if not path:
            raise Plain(f"no control socket is known: {fault.faults[0]}; name it with --socket", SILENT) from None
    if not path:
        raise Plain("control.socket names no path, so the sender answers nowhere; set it and send SIGHUP", SILENT)
    return path, token


def _show(held: dict[str, Any]) -> None:
    mails, calls, clients, spool = held["mails"], held["calls"], held["clients"], held["spool"]
    process, receivers = held["process"], held["receivers"]
    facts({
        "sender": f"{held['name']}, {held['state']}, process {held['pid']}, version {held['version']}, up "
                  f"{held['up_ms'] / 1000.0:.0f} s",
        "mails": f"{mails['held']} of {mails['most']} in hand, {mails['owed']} owed an end, {mails['notices']} notices "
                 f"without an answer, {mails['behind_notice']} waiting for one",
        "calls": f"{calls['out']} of {calls['slots']} out, {calls['opening']} connecting, {calls['idle']} of "
                 f"{calls['most_idle']} connections idle",
        "clients": f"{clients['open']} of {clients['most']} connections, {size(clients['bytes'])} of half requests",
        "spool": f"{size(spool['file_bytes'])} written, {100.0 * spool['used']:.1f}% of {size(spool['room_bytes'])} "
                 "used with its second copy",
        "process": f"{size(process['memory_bytes'])} of {size(process['most_memory_bytes'])}, {process['descriptors']} "
                   f"of {process['most_descriptors']} descriptors",
        "receivers": f"{receivers['known']} known: {receivers['well']} well, {receivers['failing']} failing, "
                     f"{receivers['set aside']} set aside, {receivers['unknown']} unknown"})
    rows = []
    for line in held["lines"]:
        told = (line["destination"], line["waiting"], line["out"], line["rate"])
        for at, one in enumerate(line["receivers"] or [{}]):
            rows.append((*(told if at == 0 else ("",) * 4), one.get("receiver"), one.get("state"), one.get("health"),
                         one.get("out"), one.get("usual_ms"), one.get("wait_ms") or "", one.get("pace"),
                         one.get("trickle")))
    if rows:
        table(("destination", "waiting", "out", "mails/s", "receiver", "list", "health", "out", "usual ms", "wait ms",
               "pace/s", "trickle/s"), rows)
    if held["lines_known"] > len(held["lines"]):
        click.echo(f"{held['lines_known'] - len(held['lines'])} further destinations with fewer mails; --lines N tells "
                   "of more")
