"""`dewpin spool`: ls, show, verify and stats of a sender's journal, read-only, whether or not the sender runs."""

import time
from collections.abc import Callable, Iterable
from functools import wraps
from typing import TYPE_CHECKING, Any

import click

from .configuration_options import configuration_options
from .errors import CommandError, ExitCode
from .output import format_size, print_json, print_table, print_values

if TYPE_CHECKING:
    from ..daemon.configuration_source import ConfigurationSource
    from ..spool.inspector import JournalInspector
    from ..spool.records import MessageRecord

MAX_BODY_BYTES = 256  # printed by `show`
MAX_GROUPS = 20  # rows in each table of `stats`
COLUMNS = {  # column header: field of a row
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
    """Inspect the journal of pending messages without modifying it."""


def journal_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options that select the folder to a command, and pass it an `inspector` of the journal there."""

    @configuration_options
    @click.option("--state", metavar="FOLDER", help="The folder of a sender; default: sender.state.")
    @click.option("--json", "as_json", is_flag=True, help="Print JSON.")
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
            message = f"the configuration does not give a folder: {error.issues[0]}; name it with --state"
            raise CommandError(message, ExitCode.INVALID) from error
    try:
        return JournalInspector(folder)
    except OSError as error:
        raise CommandError(f"{error.filename}: {error.strerror}; name a sender's folder with --state") from error


@spool.command()
@journal_options
@click.option("--destination", metavar="N", help="Only messages for this destination.")
@click.option("--queue-class", metavar="NAME", help="Only messages of this queue class.")
@click.option("--most", default=100, show_default=True, help="Maximum number of rows; 0: all.")
def ls(
    inspector: "JournalInspector", destination: str | None, queue_class: str | None, most: int, as_json: bool
) -> None:
    """List the pending messages in the order in which they were accepted."""
    now_ms = time.time() * 1000.0
    selected = [
        message
        for message in inspector.pending()
        if (not destination or message.destination.decode("latin-1") == destination)
        and (not queue_class or message.queue_class.decode("latin-1") == queue_class)
    ]
    rows = [_row(message, now_ms) for message in (selected[:most] if most else selected)]
    omitted = len(selected) - len(rows)
    if as_json:
        print_json({"mails": rows, "left_out": omitted})
    else:
        print_table(tuple(COLUMNS), [tuple(row[field] for field in COLUMNS.values()) for row in rows])
        if omitted:
            click.echo(f"{omitted} more; --most 0 lists all")
    _warn_of_damage(inspector)


@spool.command()
@click.argument("message_id", metavar="MESSAGE")
@journal_options
def show(message_id: str, inspector: "JournalInspector", as_json: bool) -> None:
    """Show a message by its id (or #serial) and all of its records in the journal."""
    now_ms = time.time() * 1000.0
    for message in _find_messages(inspector, message_id):
        records = [
            {"offset": offset, "record": label} | {name: _printable(value) for name, value in fields.items()}
            for offset, label, fields in inspector.records_of(message.serial)
        ]
        properties = _row(message, now_ms) | {
            "serial": message.serial,
            "account": _printable(message.account),
            "tag": _printable(message.idempotency_key),
            "taken_on": _format_time(message.arrived_at_ms),
            "until": _format_time(message.expires_at_ms),
            "body": _printable(message.body[:MAX_BODY_BYTES]),
        }
        if as_json:
            print_json(properties | {"records": records})
        else:
            print_values(properties)
            print_table(("offset", "record", "facts"), [_record_row(record) for record in records], title="records")
    _warn_of_damage(inspector)


def _find_messages(inspector: "JournalInspector", message_id: str) -> "list[MessageRecord]":
    """Return the pending messages with this id or #serial. Raises CommandError if there are none."""
    encoded_id = message_id.encode("latin-1", "replace")
    messages = [message for message in inspector.pending() if message_id == f"#{message.serial}"]
    messages = messages or inspector.find(encoded_id)
    if not messages:
        is_finished = encoded_id in inspector.replay.finished_ids
        state = "finished" if is_finished else "not a pending message; `dewpin spool ls` lists them"
        raise CommandError(f"{message_id} is {state}")
    return messages


def _record_row(record: dict[str, Any]) -> tuple[Any, ...]:
    fields = " ".join(f"{name}={value}" for name, value in record.items() if name not in ("offset", "record"))
    return record["offset"], record["record"], fields


@spool.command()
@journal_options
def verify(inspector: "JournalInspector", as_json: bool) -> int | None:
    """Read all records; report torn and corrupt ones with their offsets, and exit with 3 if there are any."""
    complete_records = sum(inspector.replay.counts_by_code.values())
    records_after = sum(damage.records_after for damage in inspector.damaged_regions)
    pending = len(inspector.pending())
    if as_json:
        damaged_regions = [
            {
                "offset": damage.offset,
                "bytes": damage.size_bytes,
                "why": damage.reason,
                "behind": damage.records_after,
            }
            for damage in inspector.damaged_regions
        ]
        print_json(
            {
                "file": inspector.path,
                "bytes": len(inspector.content),
                "records": complete_records,
                "live": inspector.is_sender_running,
                "owed": pending,
                "behind_damage": records_after,
                "damages": damaged_regions,
            }
        )
    else:
        lock_state = ", in use by a running sender" if inspector.is_sender_running else ""
        size = len(inspector.content)
        click.echo(
            f"{inspector.path}: {size} bytes, {complete_records} complete records, "
            f"{pending} pending messages{lock_state}"
        )
        for damage in inspector.damaged_regions:
            location = f"at {damage.offset}: {damage.size_bytes} bytes {damage.reason}"
            click.echo(f"{location}; followed by {damage.records_after} complete records")
        if records_after:
            data_loss = f"a restart discards everything from offset {inspector.readable_bytes} on"
            click.echo(f"{data_loss}, including these {records_after} records: copy the journal first")
    return ExitCode.DAMAGED if inspector.damaged_regions else None


@spool.command()
@journal_options
def stats(inspector: "JournalInspector", as_json: bool) -> None:
    """Print counts and sizes: records by kind, messages by state, queue class and destination."""
    totals, groups = _totals(inspector), _group_counts(inspector.pending())
    if as_json:
        print_json(
            totals
            | {
                name: {value: {"mails": count, "bytes": size} for value, (count, size) in counts.items()}
                for name, counts in groups.items()
            }
        )
    else:
        _print_stats(inspector, totals, groups)
    _warn_of_damage(inspector)


def _totals(inspector: "JournalInspector") -> dict[str, Any]:
    """Return the totals of a journal, with the names used in `--json`."""
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
        "damages": len(inspector.damaged_regions),
    }


def _group_counts(messages: "Iterable[MessageRecord]") -> dict[str, dict[str, list[int]]]:
    """Return [number of messages, total body bytes] by state, queue class and destination."""
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


def _print_stats(
    inspector: "JournalInspector", totals: dict[str, Any], groups: dict[str, dict[str, list[int]]]
) -> None:
    records = ", ".join(f"{count} {label}" for label, count in totals["records"].items() if count)
    print_values(
        {
            "file": inspector.path,
            "size": format_size(len(inspector.content)),
            "sender running": inspector.is_sender_running,
            "records": records or "none",
            "pending": f"{totals['owed']} messages, {format_size(totals['owed_bytes'])} in bodies",
            "oldest": f"{totals['oldest_s']} s",
            "expired": totals["over_time"],
            "damaged regions": totals["damages"],
        }
    )
    for name, counts in groups.items():
        if counts:
            largest = sorted(counts.items(), key=lambda item: -item[1][0])[:MAX_GROUPS]
            rows = [(value, *numbers) for value, numbers in largest]
            print_table((name.replace("_", " "), "messages", "bytes"), rows)


def _row(message: "MessageRecord", now_ms: float) -> dict[str, Any]:
    """Return a message as a row of `ls`, with the names used in `--json`."""
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
    """Return bytes as text without terminal control sequences; return other values unchanged."""
    if not isinstance(value, bytes):
        return value
    characters = value.decode("latin-1")
    return "".join(char if char.isprintable() else f"\\x{ord(char):02x}" for char in characters)


def _format_time(unix_ms: float) -> str:
    seconds = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(unix_ms / 1000.0))
    return f"{seconds}.{int(unix_ms % 1000.0):03d}Z"


def _warn_of_damage(inspector: "JournalInspector") -> None:
    """Warn on standard error if the journal is damaged, as the rows printed above may be incomplete."""
    if inspector.damaged_regions:
        offset = inspector.damaged_regions[0].offset
        click.echo(f"dewpin: the journal is damaged from offset {offset} on; see `dewpin spool verify`", err=True)
