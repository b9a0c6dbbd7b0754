"""All events that the program logs, with their levels, text templates and fields.

Nothing else may be logged; docs/events.md is generated from this list (`event_page`). A template contains fields in
braces; the other fields are appended as `field=value`.
"""

import re

from .levels import Level

FIELDS = {
    "message": "id of the message, assigned by its client",
    "serial": "number of the message in the journal",
    "destination": "number of the destination system",
    "receiver": "endpoint of the destination, by its id in the endpoint list",
    "attempt": "number of the attempt, starting at 1",
    "queue_class": "queue class of the message",
    "key": "ordering key of the message; empty if it is unordered",
    "bytes": "size of the message body, or of the file concerned",
    "lifetime_ms": "remaining lifetime of the message",
    "timeout_ms": "time-out for the response",
    "outcome": "outcome of the attempt, as listed in docs/architecture.md",
    "may_have_executed": "whether the receiver may have executed the message",
    "took_ms": "time from the start of the attempt, including connecting, to its outcome",
    "retry_after_ms": "delay before a retry: requested by a receiver, or sent to a client or the platform",
    "ending": "relayed, deferred or bounced",
    "why": "cause, as text",
    "status": "HTTP status of the response to the client",
    "at": "address, or position in a file",
    "messages": "number of messages",
    "pending": "configuration keys that take effect at the next start",
    "event": "name of the event concerned",
    "lines": "number of lines",
    "name": "name of the sender",
    "component": "component of the program",
    "trace": "innermost frames of the traceback",
    "sample": "first bytes of the received data",
    "keys": "number of keys",
    "version": "version of the program",
}

FIELD_PATTERN = re.compile(r"{(\w+)}")

EVENTS: dict[str, "Event"] = {}


class Event:
    """A type of event; creating one registers it in EVENTS.

    Attributes:
        name: unique, in lower case, prefixed with its subject.
        level: log level.
        template: text with fields in braces.
        fields: names of all fields, those of the template first.
        meaning: explanation for docs/events.md.
    """

    __slots__ = ("name", "level", "template", "fields", "meaning")

    def __init__(self, name: str, level: Level, template: str, meaning: str, extra_fields: str = "") -> None:
        """`extra_fields`: names, separated by spaces, of the fields that the template does not contain."""
        self.name = name
        self.level = level
        self.template = template
        self.fields = (*FIELD_PATTERN.findall(template), *extra_fields.split())
        self.meaning = meaning
        assert name not in EVENTS and set(self.fields) <= set(FIELDS), name
        EVENTS[name] = self


# -- the process ------------------------------------------------------------------------------------------------------

SENDER_STARTED = Event(
    "sender.started",
    Level.INFO,
    "{name} listens on {at}, {messages} messages resumed",
    "The journal is replayed and clients are accepted. Messages of an earlier process are sent or ended.",
    "version",
)
SENDER_STOPPING = Event(
    "sender.stopping",
    Level.INFO,
    "{name} accepts no new messages",
    "SIGTERM or SIGINT was received: attempts in flight are finished within the times of `[stop]`.",
)
SENDER_ENDED = Event(
    "sender.ended",
    Level.INFO,
    "{name} ends, {messages} messages remain in the journal",
    "The process ends. Remaining messages are pending: start the sender again with the same state folder.",
)
CONFIGURATION_RELOADED = Event(
    "configuration.reloaded",
    Level.INFO,
    "agent at {at}",
    "SIGHUP with a valid configuration, now in force. `pending` lists keys that take effect at the next start.",
    "pending keys",
)
CONFIGURATION_REJECTED = Event(
    "configuration.rejected",
    Level.ERROR,
    "keeps the old configuration: {why}",
    "SIGHUP with an invalid configuration, or one that kept changing while it was read: nothing has changed.",
)
CONFIGURATION_WARNING = Event(
    "configuration.warning",
    Level.WARNING,
    "{why}",
    "A setting is valid but probably unintended.",
)
INTERNAL_ERROR = Event(
    "internal_error",
    Level.ERROR,
    "{component}: {why}",
    "Internal error of dewpin. The process continues; the message may stay pending until its lifetime ends. Report it.",
    "trace message",
)

# -- upgrade: one process takes over from another ---------------------------------------------------------------------

HANDED_OVER = Event(
    "takeover.handed_over",
    Level.INFO,
    "{name} hands over {messages} messages to the next process",
    "Upgrade: this process finishes its attempts in flight and ends.",
)
TAKEN_OVER = Event(
    "takeover.taken_over",
    Level.INFO,
    "{name} takes over {messages} messages from the previous process, which is still running",
    "Upgrade: from now on this process writes the journal and makes all decisions.",
)
TAKEOVER_FINISHED = Event(
    "takeover.finished",
    Level.INFO,
    "the previous process has ended",
    "An upgrade is complete. `messages`: its messages in flight whose outcome is unknown.",
    "messages",
)
STEERING_FAILED = Event(
    "takeover.steering_failed",
    Level.WARNING,
    "new connections are distributed over both processes: {why}",
    "Upgrade: the system can't steer new connections to this process. Some may be reset when the previous one ends.",
)

# -- the log itself ---------------------------------------------------------------------------------------------------

LINES_SUPPRESSED = Event(
    "log.suppressed",
    Level.WARNING,
    "{lines} lines of {event} were suppressed",
    "An event exceeded the rate limit log.rate.",
)
LINES_LOST = Event(
    "log.lost",
    Level.WARNING,
    "{lines} lines were lost: standard error was not read",
    "Standard error was blocked, and the buffer of log.held bytes was full.",
)

# -- requests of clients ----------------------------------------------------------------------------------------------

REQUEST_FAILED = Event(
    "request.failed",
    Level.ERROR,
    "responded with status 500: {why}",
    "Internal error of dewpin while it handled a client's request.",
)
MESSAGE_REJECTED = Event(
    "message.rejected",
    Level.DEBUG,
    "rejected with status {status}",
    "A client's request was rejected: its message was not accepted.",
    "message queue_class destination retry_after_ms why",
)

# -- life cycle of a message ------------------------------------------------------------------------------------------

MESSAGE_ACCEPTED = Event(
    "message.accepted",
    Level.DEBUG,
    "accepted",
    "Recorded in the journal; the message is pending until it ends.",
    "message serial queue_class destination key bytes lifetime_ms",
)
MESSAGE_ACCEPTED_FOR_NEXT = Event(
    "message.accepted_for_next",
    Level.DEBUG,
    "accepted for the process that has taken over",
    "Upgrade: the message arrived on a connection that was still open at the previous process.",
    "message",
)
MESSAGE_RESUMED = Event(
    "message.resumed",
    Level.DEBUG,
    "resumed from the journal",
    "An earlier process accepted the message; `attempt`: number of attempts already made.",
    "message serial queue_class destination key attempt lifetime_ms",
)
ATTEMPT_STARTED = Event(
    "attempt.started",
    Level.DEBUG,
    "attempt {attempt} at {receiver}",
    "The attempt is recorded in the journal, then sent.",
    "message destination timeout_ms",
)
ATTEMPT_POSTPONED = Event(
    "attempt.postponed",
    Level.DEBUG,
    "waits for the acknowledgement of an earlier notice with the same key",
    "The previous message with this key was given up, and its notice is not acknowledged yet.",
    "message receiver key",
)
ATTEMPT_FINISHED = Event(
    "attempt.finished",
    Level.DEBUG,
    "{outcome} after {took_ms} ms",
    "Outcome of an attempt, and whether the receiver may have executed the message.",
    "message attempt receiver destination may_have_executed retry_after_ms",
)
RETRY_SCHEDULED = Event(
    "message.retry_scheduled",
    Level.DEBUG,
    "retry in {retry_after_ms} ms at the earliest",
    "The decision module scheduled another attempt, which may start later than that.",
    "message attempt",
)
MESSAGE_ENDED = Event(
    "message.ended",
    Level.DEBUG,
    "{ending}",
    "Relayed: nothing is pending. Deferred or bounced: the notice is pending.",
    "message attempt retry_after_ms",
)
NOTICE_ACKNOWLEDGED = Event(
    "notice.acknowledged",
    Level.DEBUG,
    "notice is acknowledged",
    "Nothing is pending for the message any more.",
    "message",
)
UNKNOWN_QUEUE_CLASS = Event(
    "message.unknown_queue_class",
    Level.WARNING,
    "bounced: unknown queue class {queue_class}",
    "The settings no longer contain the queue class of a message in the journal.",
    "message",
)

# -- the journal ------------------------------------------------------------------------------------------------------

JOURNAL_TRUNCATED = Event(
    "journal.truncated",
    Level.WARNING,
    "truncated: removed {bytes} bytes at the end, from offset {at}",
    "The process was killed during a write; the incomplete record was not acknowledged.",
)
JOURNAL_FULL = Event(
    "journal.full",
    Level.WARNING,
    "full: rejects new messages",
    "Pending messages nearly fill limits.disk: new messages get status 503 until some end.",
    "bytes messages",
)
JOURNAL_WRITE_FAILED = Event(
    "journal.write_failed",
    Level.ERROR,
    "can't write: {why}",
    "A write to disk failed. No messages are accepted and no attempts are started; pending messages wait.",
)
COMPACTION_FAILED = Event(
    "journal.compaction_failed",
    Level.ERROR,
    "can't write the compacted copy: {why}",
    "The uncompacted file remains in use and grows.",
)

# -- receivers and the platform agent ---------------------------------------------------------------------------------

MALFORMED_RESPONSE = Event(
    "response.malformed",
    Level.WARNING,
    "malformed HTTP response: {why}",
    "A receiver's response can't be parsed: delivered if the status line says 200, an error otherwise.",
    "at",
)
INVALID_ENDPOINT = Event(
    "endpoint_list.invalid_entry",
    Level.WARNING,
    "ignores an invalid entry: {why}",
    "An entry of the endpoint list lacks id, cell or address. The other entries are used.",
)
LIST_NOT_CACHED = Event(
    "endpoint_list.not_cached",
    Level.WARNING,
    "can't cache the endpoint list in the state folder: {why}",
    "A restart uses the platform's list instead, until the agent sends the next complete list.",
)
WATCH_FAILED = Event(
    "endpoint_list.watch_failed",
    Level.WARNING,
    "requests the complete list: {why}",
    "The agent's response was unusable; the last list stays in use.",
)
NOTICE_REJECTED = Event(
    "notice.rejected",
    Level.ERROR,
    "rejected as malformed: {sample}",
    "The platform rejected notices with status 400: each one is resent separately.",
)

# -- the control socket -----------------------------------------------------------------------------------------------

CONTROL_LISTENING = Event(
    "control.listening",
    Level.INFO,
    "listens at {at}",
    "The control socket accepts requests of `dewpin status`.",
)
CONTROL_FAILED = Event(
    "control.failed",
    Level.WARNING,
    "{why}",
    "The control socket can't be opened, or a request failed. Messages are not affected.",
    "at",
)

# -- the operators' console -------------------------------------------------------------------------------------------

CONSOLE_LISTENING = Event(
    "console.listening",
    Level.INFO,
    "operators are answered at {at}",
    "The address is set by `console` in the platform's file; docs/console.md describes the calls.",
)
RECEIVER_DETACHED = Event(
    "receiver.detached",
    Level.INFO,
    "{receiver} was detached by an operator and gets no more messages",
    "The receiver stays detached over restarts and upgrades until it is attached again.",
)
RECEIVER_ATTACHED = Event(
    "receiver.attached",
    Level.INFO,
    "{receiver} was attached by an operator and gets messages again",
    "The receiver's state in the endpoint list applies again.",
)
