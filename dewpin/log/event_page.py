"""Generates docs/events.md from the events and their names in earlier releases."""

from collections.abc import Iterator, Mapping

from .events import EVENTS, FIELDS

RENAMED_EVENTS = {  # name in earlier releases: current name
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
        "Generated from `dewpin/log/events.py` by `dewpin config events`; a test checks that it is current. Each line",
        "on standard error is one of these events. `log.format` selects text or JSON, `log.level` the minimum level.",
        "",
        "| event | level | text | fields | meaning |",
        "| --- | --- | --- | --- | --- |",
    ]
    for event in EVENTS.values():
        fields = ", ".join(f"`{field}`" for field in event.fields)
        lines.append(f"| `{event.name}` | {event.level.label} | {event.template} | {fields} | {event.meaning} |")
    lines += ["", "| field | description |", "| --- | --- |"]
    lines += [f"| `{name}` | {description} |" for name, description in FIELDS.items()]
    lines += [
        "",
        "## Names of earlier releases",
        "",
        "For log filters written for earlier releases. Names that are not listed, levels and values have not changed.",
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
