"""`dewpin spool`: ls, show, verify, stats on the folder of a sender, running or not. Nothing is written."""

import time
from collections.abc import Callable, Iterable
from functools import wraps
from typing import TYPE_CHECKING, Any

import click

from .configuration_options import configuration_options
from .errors import CommandError, ExitCode
from .output import format_size, print_facts, print_json, print_table

if TYPE_CHECKING:
    from ..daemon.configuration_source import ConfigurationSource
    from ..spool.inspector import JournalInspector
    from ..spool.records import MessageRecord

MAX_BODY_BYTES = 256  # of a body that `show` prints
MAX_GROUPS = 20  # rows of each table of `stats`
COLUMNS = {  # column: field of a row
    "message": "mail",
    "queue class": "queue_class",
    "destination": "destination",
    "key": "key",
    "state": "state",
    "attempts": "connects",
    "bytes": "bytes",
    "age s": "age_s",
    "left s": "left_s",
}


@click.group()
def spool() -> None:
    """Look at the journal of pending messages. Nothing is ever changed."""


def journal_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options that find the folder to a command, which gets an `inspector` of its journal."""

    @configuration_options
    @click.option("--state", metavar="FOLDER", help="The folder; else the configuration names it.")
    @click.option("--json", "as_json", is_flag=True, help="As JSON.")
    @wraps(command)
    def with_inspector(*args: Any, source: "ConfigurationSource", state: str | None, **options: Any) -> Any:
        return command(*args, inspector=_open_inspector(source, state), **options)

    return with_inspector


def _open_inspector(source: "ConfigurationSource", folder: str | None) -> "JournalInspector":
    from ..config.errors import ConfigurationError
    from ..spool.inspector import JournalInspector

    if not folder:
        try:
            folder = source.read().deployment.sender.state_folder
        except ConfigurationError as error:
            message = f"no folder is known: {error.issues[0]}; name it with --state"
            raise CommandError(message, ExitCode.INVALID) from error
    try:
        return JournalInspector(folder)
    except OSError as error:
        raise CommandError(f"{error.filename}: {error.strerror}; name a sender's folder with --state") from error


@spool.command()
@journal_options
@click.option("--destination", metavar="N", help="Only messages for this destination.")
@click.option("--queue-class", metavar="NAME", help="Only messages of this queue class.")
@click.option("--most", default=100, show_default=True, help="Rows at most; 0: all.")
def ls(
    inspector: "JournalInspector", destination: str | None, queue_class: str | None, most: int, as_json: bool
) -> None:
    """The pending messages, in the order in which they were accepted."""
    now_ms = time.time() * 1000.0
    wanted = [
        message
        for message in inspector.pending()
        if (not destination or message.destination.decode("latin-1") == destination)
        and (not queue_class or message.queue_class.decode("latin-1") == queue_class)
    ]
    rows = [_row(message, now_ms) for message in (wanted[:most] if most else wanted)]
    hidden = len(wanted) - len(rows)
    if as_json:
        print_json({"mails": rows, "left_out": hidden})
    else:
        print_table(tuple(COLUMNS), [tuple(row[field] for field in COLUMNS.values()) for row in rows])
        if hidden:
            click.echo(f"{hidden} more; --most 0 lists all")
    _warn_of_damage(inspector)


@spool.command()
@click.argument("message_id", metavar="MESSAGE")
@journal_options
def show(message_id: str, inspector: "JournalInspector", as_json: bool) -> None:
    """One message by its id (or #serial): what is kept of it, and every record that the file still has."""
    now_ms = time.time() * 1000.0
    for message in _find_messages(inspector, message_id):
        records = [
            {"offset": offset, "record": label} | {name: _printable(value) for name, value in facts.items()}
            for offset, label, facts in inspector.records_of(message.serial)
        ]
        facts = _row(message, now_ms) | {
            "serial": message.serial,
            "account": _printable(message.account),
            "tag": _printable(message.idempotency_key),
            "taken_on": _format_time(message.arrived_at_ms),
            "until": _format_time(message.expires_at_ms),
            "body": _printable(message.body[:MAX_BODY_BYTES]),
        }
        if as_json:
            print_json(facts | {"records": records})
        else:
            print_facts(facts)
            print_table(("offset", "record", "facts"), [_record_row(record) for record in records], title="records")
    _warn_of_damage(inspector)


def _find_messages(inspector: "JournalInspector", message_id: str) -> "list[MessageRecord]":
    """Return the messages with this id or #serial. Raises CommandError where none is pending."""
    encoded_id = message_id.encode("latin-1", "replace")
    messages = [message for message in inspector.pending() if message_id == f"#{message.serial}"]
    messages = messages or inspector.find(encoded_id)
    if not messages:
        is_finished = encoded_id in inspector.replay.finished_ids
        state = "finished" if is_finished else "not among the pending messages; `dewpin spool ls` lists them"
        raise CommandError(f"{message_id} is {state}")
    return messages


def _record_row(record: dict[str, Any]) -> tuple[Any, ...]:
    facts = " ".join(f"{name}={value}" for name, value in record.items() if name not in ("offset", "record"))
    return record["offset"], record["record"], facts


@spool.command()
@journal_options
def verify(inspector: "JournalInspector", as_json: bool) -> int | None:
    """Reads every record; ends with 3 if one is torn or corrupt, each with its offset."""
    complete = sum(inspector.replay.counts_by_code.values())
    behind = sum(damage.records_behind for damage in inspector.damages)
    pending = len(inspector.pending())
    if as_json:
        damages = [
            {
                "offset": damage.offset,
                "bytes": damage.size_bytes,
                "why": damage.reason,
                "behind": damage.records_behind,
            }
            for damage in inspector.damages
        ]
        print_json(
            {
                "file": inspector.path,
                "bytes": len(inspector.content),
                "records": complete,
                "live": inspector.is_sender_running,
                "owed": pending,
                "behind_damage": behind,
                "damages": damages,
            }
        )
    else:
        running = ", a sender runs on it" if inspector.is_sender_running else ""
        size = len(inspector.content)
        click.echo(f"{inspector.path}: {size} bytes, {complete} complete records, {pending} pending messages{running}")
        for damage in inspector.damages:
            place = f"at {damage.offset}: {damage.size_bytes} bytes {damage.reason}"
            click.echo(f"{place}; {damage.records_behind} complete records stand behind it")
        if behind:
            start = f"a start drops all from {inspector.readable_bytes} on"
            click.echo(f"{start}, these {behind} records too: keep a copy first")
    return ExitCode.DAMAGED if inspector.damages else None


@spool.command()
@journal_options
def stats(inspector: "JournalInspector", as_json: bool) -> None:
    """Counts and sizes: records by kind, messages by state, queue class and destination."""
    facts, groups = _totals(inspector), _group_counts(inspector.pending())
    if as_json:
        print_json(
            facts
            | {
                name: {value: {"mails": count, "bytes": size} for value, (count, size) in counts.items()}
                for name, counts in groups.items()
            }
        )
    else:
        _print_stats(inspector, facts, groups)
    _warn_of_damage(inspector)


def _totals(inspector: "JournalInspector") -> dict[str, Any]:
    """Return the totals of a journal, under the names of `--json`."""
    from ..spool.inspector import KIND_LABELS

    pending, now_ms = inspector.pending(), time.time() * 1000.0
    counts = inspector.replay.counts_by_code
    oldest_ms = max((now_ms - message.arrived_at_ms for message in pending), default=0.0)
    return {
        "file": inspector.path,
        "live": inspector.is_sender_running,
        "bytes": len(inspector.content),
        "second_copy": inspector.has_compaction_file,
        "records": {label: counts[kind] for kind, label in KIND_LABELS.items()},
        "owed": len(pending),
        "owed_bytes": sum(len(message.body) for message in pending),
        "oldest_s": round(oldest_ms / 1000.0, 3),
        "over_time": sum(message.expires_at_ms < now_ms for message in pending),
        "damages": len(inspector.damages),
    }


def _group_counts(messages: "Iterable[MessageRecord]") -> dict[str, dict[str, list[int]]]:
    """Return [messages, bytes of bodies] by state, queue class and destination."""
    from ..spool.inspector import describe_state

    groups: dict[str, dict[str, list[int]]] = {"state": {}, "queue_class": {}, "destination": {}}
    for message in messages:
        values = {
            "state": describe_state(message),
            "queue_class": _printable(message.queue_class),
            "destination": _printable(message.destination),
        }
        for name, value in values.items():
            counts = groups[name].setdefault(value, [0, 0])
            counts[0] += 1
            counts[1] += len(message.body)
    return groups


def _print_stats(inspector: "JournalInspector", facts: dict[str, Any], groups: dict[str, dict[str, list[int]]]) -> None:
    records = ", ".join(f"{count} {label}" for label, count in facts["records"].items() if count)
    print_facts(
        {
            "file": inspector.path,
            "written": format_size(len(inspector.content)),
            "a sender runs": inspector.is_sender_running,
            "records": records or "none",
            "pending": f"{facts['owed']} messages, {format_size(facts['owed_bytes'])} of bodies",
            "oldest": f"{facts['oldest_s']} s",
            "past their lifetime": facts["over_time"],
            "damaged places": facts["damages"],
        }
    )
    for name, counts in groups.items():
        if counts:
            largest = sorted(counts.items(), key=lambda item: -item[1][0])[:MAX_GROUPS]
            rows = [(value, *numbers) for value, numbers in largest]
            print_table((name.replace("_", " "), "messages", "bytes"), rows)


def _row(message: "MessageRecord", now_ms: float) -> dict[str, Any]:
    """Return one message as `ls` shows it, under the names of `--json`."""
    from ..spool.inspector import describe_state

    return {
        "mail": _printable(message.message_id),
        "queue_class": _printable(message.queue_class),
        "destination": _printable(message.destination),
        "key": _printable(message.ordering_key),
        "state": describe_state(message),
        "connects": message.attempts,
        "bytes": len(message.body),
        "age_s": round((now_ms - message.arrived_at_ms) / 1000.0, 3),
        "left_s": round((message.expires_at_ms - now_ms) / 1000.0, 3),
    }


def _printable(value: Any) -> Any:
    """Return bytes as text that can't move a terminal's cursor; any other value as it is."""
    if not isinstance(value, bytes):
        return value
    characters = value.decode("latin-1")
    return "".join(one if one.isprintable() else f"\\x{ord(one):02x}" for one in characters)


def _format_time(unix_ms: float) -> str:
    seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(unix_ms / 1000.0))
    return f"{seconds}.{int(unix_ms % 1000.0):03d}Z"


def _warn_of_damage(inspector: "JournalInspector") -> None:
    """Warn on standard error where the file is damaged, as the rows above may not be all there was."""
    if inspector.damages:
        offset = inspector.damages[0].offset
        click.echo(f"dewpin: the journal is damaged from {offset} on; `dewpin spool verify` tells more", err=True)
