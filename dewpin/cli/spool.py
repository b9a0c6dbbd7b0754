"""`dewpin spool`: ls, show, verify, stats on the folder of a sender that runs or does not. It owns their tables and
writes nothing."""
import time
from collections.abc import Callable
from functools import wraps
from typing import TYPE_CHECKING, Any

import click

from .layered import options
from .main import CAN_NOT, DAMAGED, FAULTY, Plain
from .show import as_json as print_json
from .show import facts, size, table

if TYPE_CHECKING:
    from ..daemon.configuration_source import ConfigurationSource
    from ..spool.inspector import JournalInspector
    from ..spool.records import MessageRecord

BODY = 256              # bytes of a body that `show` prints


@click.group()
def spool() -> None:
    """Look at the journal of mails that are owed an end. Nothing is ever changed."""


def on_folder(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds the options that find the folder; the command gets a `look` at its journal."""
    @options
    @click.option("--state", metavar="FOLDER", help="The folder; else the configuration names it.")
    @click.option("--json", "as_json", is_flag=True, help="As JSON.")
    @wraps(command)
    def whole(*given: Any, sources: "ConfigurationSource", state: str | None, **more: Any) -> Any:
        from ..config.faults import Faulty
        from ..spool.inspector import JournalInspector
        if not state:
            try:
                state = sources.read().deployment.sender.state
            except Faulty as fault:
                raise Plain(f"no folder is known: {fault.faults[0]}; name it with --state", FAULTY) from None
        try:
            look = JournalInspector(state)
        except OSError as error:
            raise Plain(f"{error.filename}: {error.strerror}; name a sender's folder with --state", CAN_NOT) from None
        return command(*given, look=look, **more)
    return whole


@spool.command()
@on_folder
@click.option("--destination", metavar="N", help="Only mails for this destination.")
@click.option("--queue-class", metavar="NAME", help="Only mails of this queue class.")
@click.option("--most", default=100, show_default=True, help="Rows at most; 0: all.")
def ls(look: "JournalInspector", destination: str | None, queue_class: str | None, most: int, as_json: bool) -> None:
    """The mails that are owed an end, in the order in which they were taken on."""
    now = time.time() * 1000.0
    wanted = [sheet for sheet in look.pending()
              if (not destination or sheet.destination.decode("latin-1") == destination)
              and (not queue_class or sheet.queue_class.decode("latin-1") == queue_class)]
    listed = wanted[:most] if most else wanted
    rows = [_row(sheet, now) for sheet in listed]
    if as_json:
        print_json({"mails": rows, "left_out": len(wanted) - len(rows)})
    else:
        table(("mail", "queue class", "destination", "key", "state", "connects", "bytes", "age s", "left s"),
              [tuple(row[name] for name in ("mail", "queue_class", "destination", "key", "state", "connects", "bytes",
                                            "age_s", "left_s")) for row in rows])
        if len(wanted) > len(rows):
            click.echo(f"{len(wanted) - len(rows)} more; --most 0 lists all")
    _warn(look)


@spool.command()
@click.argument("mail")
@on_folder
def show(mail: str, look: "JournalInspector", as_json: bool) -> None:
    """One mail by its id (or #serial): what is kept of it, and every record that the file still has."""
    found = ([sheet for sheet in look.pending() if mail == f"#{sheet.serial}"]
             or look.find(mail.encode("latin-1", "replace")))
    if not found:
        over = mail.encode("latin-1", "replace") in look.replay.finished_ids
        raise Plain(f"{mail} is " + ("over: nothing is owed for it" if over else
                                     "not among the mails that are owed an end; `dewpin spool ls` lists them"), CAN_NOT)
    now = time.time() * 1000.0
    for sheet in found:
        course = [{"offset": at, "record": kind} | {name: _plain(value) for name, value in held.items()}
                  for at, kind, held in look.records_of(sheet.serial)]
        held = _row(sheet, now) | {
            "serial": sheet.serial, "account": _plain(sheet.account), "tag": _plain(sheet.idempotency_key),
            "taken_on": _when(sheet.arrived_at_ms), "until": _when(sheet.expires_at_ms),
            "body": _plain(sheet.body[:BODY])}
        if as_json:
            print_json(held | {"records": course})
            continue
        facts(held)
        table(("offset", "record", "facts"), [
            (one.pop("offset"), one.pop("record"), " ".join(f"{name}={value}" for name, value in one.items()))
            for one in course], title="records")
    _warn(look)


@spool.command()
@on_folder
def verify(look: "JournalInspector", as_json: bool) -> int | None:
    """Reads every record; ends with 3 if one is torn or corrupt, each with its offset."""
    whole = sum(look.replay.counts_by_code.values())
    behind = sum(damage.records_behind for damage in look.damages)
    if as_json:
        print_json({"file": look.path, "bytes": len(look.content), "records": whole, "live": look.is_sender_running,
                    "owed": len(look.pending()), "behind_damage": behind, "damages": [
                        {"offset": one.offset, "bytes": one.size_bytes, "why": one.reason, "behind": one.records_behind}
                        for one in look.damages]})
    else:
        click.echo(f"{look.path}: {len(look.content)} bytes, {whole} whole records, {len(look.pending())} mails owed "
                   f"an end{', a sender runs on it' if look.is_sender_running else ''}")
        for one in look.damages:
            click.echo(f"at {one.offset}: {one.size_bytes} bytes {one.reason}; "
                       f"{one.records_behind} whole records stand behind it")
        if behind:
            click.echo(f"a start drops all from {look.readable_bytes} on, these {behind} records too: "
                       "keep a copy first")
    return DAMAGED if look.damages else None


@spool.command()
@on_folder
def stats(look: "JournalInspector", as_json: bool) -> None:
    """Counts and sizes: records by kind, mails by state, queue class and destination."""
    from ..spool.inspector import KIND_LABELS, describe_state
    sheets, now = look.pending(), time.time() * 1000.0
    by: dict[str, dict[str, list[int]]] = {"state": {}, "queue_class": {}, "destination": {}}
    for sheet in sheets:
        for name, value in (("state", describe_state(sheet)), ("queue_class", _plain(sheet.queue_class)),
                            ("destination", _plain(sheet.destination))):
            counts = by[name].setdefault(value, [0, 0])
            counts[0], counts[1] = counts[0] + 1, counts[1] + len(sheet.body)
    held: dict[str, Any] = {"file": look.path, "live": look.is_sender_running, "bytes": len(look.content),
            "second_copy": look.has_compaction_file,
            "records": {label: look.replay.counts_by_code[kind.value] for kind, label in KIND_LABELS.items()},
            "owed": len(sheets), "owed_bytes": sum(len(sheet.body) for sheet in sheets),
            "oldest_s": round(max((now - sheet.arrived_at_ms for sheet in sheets), default=0.0) / 1000.0, 3),
            "over_time": sum(sheet.expires_at_ms < now for sheet in sheets), "damages": len(look.damages)}
    if as_json:
        print_json(held | {name: {value: {"mails": count, "bytes": many} for value, (count, many) in found.items()}
                           for name, found in by.items()})
    else:
        facts({"file": look.path, "written": size(len(look.content)), "a sender runs": look.is_sender_running,
               "records": ", ".join(f"{count} {words}" for words, count in held["records"].items() if count) or "none",
               "owed an end": f"{len(sheets)} mails, {size(held['owed_bytes'])} of bodies", "oldest":
               f"{held['oldest_s']} s", "past their time": held["over_time"], "damaged places": held["damages"]})
        for name, found in by.items():
            if found:
                table((name.replace("_", " "), "mails", "bytes"),
                      [(value, *counts) for value, counts in sorted(found.items(), key=lambda one: -one[1][0])[:20]])
    _warn(look)


def _row(sheet: "MessageRecord", now: float) -> dict[str, Any]:
    from ..spool.inspector import describe_state
    return {"mail": _plain(sheet.message_id), "queue_class": _plain(sheet.queue_class),
            "destination": _plain(sheet.destination), "key": _plain(sheet.ordering_key),
            "state": describe_state(sheet),
            "connects": sheet.attempts, "bytes": len(sheet.body),
            "age_s": round((now - sheet.arrived_at_ms) / 1000.0, 3),
            "left_s": round((sheet.expires_at_ms - now) / 1000.0, 3)}


def _plain(value: Any) -> Any:
    """Bytes as text that can't move a terminal's cursor."""
    if isinstance(value, bytes):
        return "".join(one if one.isprintable() else f"\\x{ord(one):02x}" for one in value.decode("latin-1"))
    return value


def _when(ms: Any) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(ms / 1000.0)) + f".{int(ms % 1000.0):03d}Z"


def _warn(look: "JournalInspector") -> None:
    """A word on standard error where the file is damaged, so that the rows above are not taken for all there was."""
    if look.damages:
        click.echo(f"dewpin: the journal is damaged from {look.damages[0].offset} on; `dewpin spool verify` tells more",
                   err=True)
