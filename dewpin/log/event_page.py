"""docs/events.md, made of the events and of the names that they had in earlier releases."""

from collections.abc import Iterator, Mapping

from .events import EVENTS, FIELDS

RENAMED_EVENTS = {  # the name in earlier releases: the name now
    "start": "sender.started",
    "stop": "sender.stopping",
    "end": "sender.ended",
    "reload": "configuration.reloaded",
    "reload.kept": "configuration.rejected",
    "configuration.note": "configuration.warning",
    "fault": "internal_error",
    "handed_on": "takeover.handed_over",
    "taken_over": "takeover.taken_over",
    "alone": "takeover.finished",
    "steer": "takeover.steering_failed",
    "log.left_out": "log.suppressed",
    "request.fault": "request.failed",
    "mail.refused": "message.rejected",
    "mail.taken": "message.accepted",
    "mail.taken_for_next": "message.accepted_for_next",
    "mail.resumed": "message.resumed",
    "connect.out": "attempt.started",
    "connect.behind": "attempt.postponed",
    "connect.heard": "attempt.finished",
    "mail.again": "message.retry_scheduled",
    "mail.ended": "message.ended",
    "notice.answered": "notice.acknowledged",
    "mail.unknown_class": "message.unknown_queue_class",
    "spool.torn": "journal.truncated",
    "spool.full": "journal.full",
    "spool.write": "journal.write_failed",
    "spool.compaction": "journal.compaction_failed",
    "answer.spoilt": "response.malformed",
    "list.entry": "endpoint_list.invalid_entry",
    "list.kept": "endpoint_list.not_cached",
    "watch": "endpoint_list.watch_failed",
    "notice.unread": "notice.rejected",
    "control": "control.listening",
    "control.fault": "control.failed",
    "console": "console.listening",
}
RENAMED_FIELDS = {
    "mail": "message",
    "mails": "messages",
    "connect": "attempt",
    "limit_ms": "timeout_ms",
    "ran": "may_have_executed",
    "told_ms": "retry_after_ms",
    "after_ms": "retry_after_ms",
    "later": "pending",
    "part": "component",
}


def event_page() -> str:
    """Return docs/events.md."""
    lines = [
        "# Events",
        "",
        "Made of `dewpin/log/events.py` by `dewpin config events`; a test holds it current. Each line on standard",
        "error is one of these. `log.format` writes them for people or as JSON, `log.level` sets the least level.",
        "",
        "| event | level | sentence | fields | what it means |",
        "| --- | --- | --- | --- | --- |",
    ]
    for event in EVENTS.values():
        fields = ", ".join(f"`{field}`" for field in event.fields)
        lines.append(f"| `{event.name}` | {event.level.label} | {event.sentence} | {fields} | {event.meaning} |")
    lines += ["", "| field | what it is |", "| --- | --- |"]
    lines += [f"| `{name}` | {description} |" for name, description in FIELDS.items()]
    lines += [
        "",
        "## Names of earlier releases",
        "",
        "For those who filter logs; what is not listed has kept its name. Levels and values are as they were.",
        "",
        *_rename_table("event", RENAMED_EVENTS),
        "",
        *_rename_table("field", RENAMED_FIELDS),
    ]
    return "\n".join([*lines, ""])


def _rename_table(kind: str, renamed: Mapping[str, str]) -> Iterator[str]:
    yield f"| old {kind} | {kind} |"
    yield "| --- | --- |"
    for old_name, name in renamed.items():
        yield f"| `{old_name}` | `{name}` |"
