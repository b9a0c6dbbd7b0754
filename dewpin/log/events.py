"""Every event that the program logs, with its level, its sentence and its fields.

Nothing else may be logged, and docs/events.md is made of this list (`event_page`). A sentence names fields in braces;
the other fields follow it as `field=value`.
"""

import re

from .levels import Level

FIELDS = {
    "message": "the id that its client gave it",
    "serial": "its number in the journal",
    "destination": "the number of the outside system",
    "receiver": "an endpoint of the destination, by its id in the list",
    "attempt": "the number of the attempt, from 1",
    "queue_class": "the message's queue class",
    "key": "its ordering key; empty where no order is asked for",
    "bytes": "of its body, or of the file spoken of",
    "lifetime_ms": "what is left of its queue lifetime",
    "timeout_ms": "how long a response is waited for",
    "outcome": "how an attempt ended, as in docs/architecture.md",
    "may_have_executed": "whether the receiver may have executed the message",
    "took_ms": "from the wish to send to the outcome",
    "retry_after_ms": "the time to wait before a retry: asked for by a receiver, or told to a client or the platform",
    "ending": "relayed, deferred or bounced",
    "why": "the cause, in words",
    "status": "of the response to the client",
    "at": "an address, or a position in a file",
    "messages": "how many",
    "pending": "keys that wait for the next start",
    "event": "the event spoken of",
    "lines": "how many lines",
    "name": "the sender's",
    "component": "where in the program",
    "trace": "the last steps before the fault",
    "sample": "the first bytes of what came",
    "keys": "how many",
    "version": "of the program",
}

FIELD_PATTERN = re.compile(r"{(\w+)}")

EVENTS: dict[str, "Event"] = {}


class Event:
    """A kind of event that can be logged; making one adds it to EVENTS.

    Attributes:
        name: unique, in lower case, by what it is about.
        level: its level.
        sentence: with fields in braces.
        fields: names of all its fields, those of the sentence first.
        meaning: what it means, for the page.
    """

    __slots__ = ("name", "level", "sentence", "fields", "meaning")

    def __init__(self, name: str, level: Level, sentence: str, meaning: str, extra_fields: str = "") -> None:
        """`extra_fields`: names, separated by spaces, of the fields that the sentence does not use."""
        self.name = name
        self.level = level
        self.sentence = sentence
        self.fields = (*FIELD_PATTERN.findall(sentence), *extra_fields.split())
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
    "SIGTERM or SIGINT: what fits is finished.",
)
SENDER_ENDED = Event(
    "sender.ended",
    Level.INFO,
    "{name} ends, {messages} messages remain in the journal",
    "The process ends. The messages are pending: start it again with the same folder.",
)
CONFIGURATION_RELOADED = Event(
    "configuration.reloaded",
    Level.INFO,
    "agent at {at}",
    "SIGHUP with a valid configuration: it is in force. `pending` names what waits for the next start.",
    "pending keys",
)
CONFIGURATION_REJECTED = Event(
    "configuration.rejected",
    Level.ERROR,
    "keeps the old configuration: {why}",
    "SIGHUP with an invalid configuration, or one that still changed while it was read: nothing changed.",
)
CONFIGURATION_WARNING = Event(
    "configuration.warning",
    Level.WARNING,
    "{why}",
    "Allowed by the configuration and most likely not meant.",
)
INTERNAL_ERROR = Event(
    "internal_error",
    Level.ERROR,
    "{component}: {why}",
    "An error of dewpin's own. It goes on; the message in question may wait until its lifetime ends. Report it.",
    "trace message",
)

# -- an upgrade: one process takes over from another ------------------------------------------------------------------

HANDED_OVER = Event(
    "takeover.handed_over",
    Level.INFO,
    "{name} hands {messages} messages over to the process that was started beside it",
    "An upgrade: this process finishes its attempts in flight and ends.",
)
TAKEN_OVER = Event(
    "takeover.taken_over",
    Level.INFO,
    "{name} takes {messages} messages over from the previous process, which still runs",
    "An upgrade: the journal and all decisions are this process's from now on.",
)
TAKEOVER_FINISHED = Event(
    "takeover.finished",
    Level.INFO,
    "the previous process has ended",
    "An upgrade is over. `messages` of it had attempts in flight whose outcome is not known.",
    "messages",
)
STEERING_FAILED = Event(
    "takeover.steering_failed",
    Level.WARNING,
    "connections are shared out over both processes: {why}",
    "An upgrade, and the system can't steer them. Both answer; some may be reset as the old one ends.",
)

# -- the log itself ---------------------------------------------------------------------------------------------------

LINES_SUPPRESSED = Event(
    "log.suppressed",
    Level.WARNING,
    "{lines} lines of {event} were left out",
    "More came of an event than log.rate lets through.",
)
LINES_LOST = Event(
    "log.lost",
    Level.WARNING,
    "{lines} lines were lost: nobody read the pipe",
    "Standard error was full for longer than log.held bytes bridge.",
)

# -- requests of clients ----------------------------------------------------------------------------------------------

REQUEST_FAILED = Event(
    "request.failed",
    Level.ERROR,
    "answered with 500: {why}",
    "An error of dewpin's own while it answered a client.",
)
MESSAGE_REJECTED = Event(
    "message.rejected",
    Level.DEBUG,
    "not accepted, {status}",
    "A request with a message was rejected: the message is not sent.",
    "message queue_class destination retry_after_ms why",
)

# -- the life of a message, by its id ---------------------------------------------------------------------------------

MESSAGE_ACCEPTED = Event(
    "message.accepted",
    Level.DEBUG,
    "accepted",
    "Recorded in the journal: from now on it is pending until it ends.",
    "message serial queue_class destination key bytes lifetime_ms",
)
MESSAGE_ACCEPTED_FOR_NEXT = Event(
    "message.accepted_for_next",
    Level.DEBUG,
    "accepted for the process that has taken over",
    "An upgrade: it came on a connection that was still open here.",
    "message",
)
MESSAGE_RESUMED = Event(
    "message.resumed",
    Level.DEBUG,
    "resumed from the journal",
    "An earlier process had accepted it; `attempt` of its attempts are spent.",
    "message serial queue_class destination key attempt lifetime_ms",
)
ATTEMPT_STARTED = Event(
    "attempt.started",
    Level.DEBUG,
    "attempt {attempt} at {receiver}",
    "Recorded in the journal, then sent.",
    "message destination timeout_ms",
)
ATTEMPT_POSTPONED = Event(
    "attempt.postponed",
    Level.DEBUG,
    "waits for the acknowledgement of an earlier notice of its key",
    "The key's last message was given up and its notice is not acknowledged yet.",
    "message receiver key",
)
ATTEMPT_FINISHED = Event(
    "attempt.finished",
    Level.DEBUG,
    "{outcome} after {took_ms} ms",
    "An attempt's outcome, and whether the receiver may have executed the message.",
    "message attempt receiver destination may_have_executed retry_after_ms",
)
RETRY_SCHEDULED = Event(
    "message.retry_scheduled",
    Level.DEBUG,
    "retry no sooner than in {retry_after_ms} ms",
    "The decision module wants another attempt; its turn may come later.",
    "message attempt",
)
MESSAGE_ENDED = Event(
    "message.ended",
    Level.DEBUG,
    "{ending}",
    "Relayed: nothing is pending. Deferred or bounced: its notice is pending.",
    "message attempt retry_after_ms",
)
NOTICE_ACKNOWLEDGED = Event(
    "notice.acknowledged",
    Level.DEBUG,
    "its notice is acknowledged",
    "Nothing is pending for it any more.",
    "message",
)
UNKNOWN_QUEUE_CLASS = Event(
    "message.unknown_queue_class",
    Level.WARNING,
    "bounced: the queue class {queue_class} is not known any more",
    "A message of the journal whose queue class the settings no longer name.",
    "message",
)

# -- the journal ------------------------------------------------------------------------------------------------------

JOURNAL_TRUNCATED = Event(
    "journal.truncated",
    Level.WARNING,
    "drops {bytes} bytes at the journal's end, from byte {at} on",
    "The process was killed while it wrote; nothing was acknowledged for that record.",
)
JOURNAL_FULL = Event(
    "journal.full",
    Level.WARNING,
    "full: rejects messages",
    "Pending messages are near limits.disk: 503 until some end.",
    "bytes messages",
)
JOURNAL_WRITE_FAILED = Event(
    "journal.write_failed",
    Level.ERROR,
    "can't write: {why}",
    "The disk refuses. No new messages, no attempts; pending messages wait.",
)
COMPACTION_FAILED = Event(
    "journal.compaction_failed",
    Level.ERROR,
    "can't write the compacted copy: {why}",
    "The old file stays in use and grows.",
)

# -- receivers and the platform's agent -------------------------------------------------------------------------------

MALFORMED_RESPONSE = Event(
    "response.malformed",
    Level.WARNING,
    "not HTTP: {why}",
    "A receiver's response can't be read: delivered if its first line says 200, else an error.",
    "at",
)
INVALID_ENDPOINT = Event(
    "endpoint_list.invalid_entry",
    Level.WARNING,
    "ignores an entry: {why}",
    "The list names a receiver without id, cell or address. The others are used.",
)
LIST_NOT_CACHED = Event(
    "endpoint_list.not_cached",
    Level.WARNING,
    "the endpoint list is not kept in the folder: {why}",
    "A restart begins with the platform's list instead, until the next complete list from the agent.",
)
WATCH_FAILED = Event(
    "endpoint_list.watch_failed",
    Level.WARNING,
    "asks for the complete list: {why}",
    "The agent's response could not be used; the last list stays.",
)
NOTICE_REJECTED = Event(
    "notice.rejected",
    Level.ERROR,
    "could not be read: {sample}",
    "The platform rejected notices with 400: each is sent by itself.",
)

# -- the control socket -----------------------------------------------------------------------------------------------

CONTROL_LISTENING = Event(
    "control.listening",
    Level.INFO,
    "answers at {at}",
    "`dewpin status` may ask there.",
)
CONTROL_FAILED = Event(
    "control.failed",
    Level.WARNING,
    "{why}",
    "The control socket can't be opened, or a caller's question failed. Messages are not concerned.",
    "at",
)

# -- the operators' console -------------------------------------------------------------------------------------------

CONSOLE_LISTENING = Event(
    "console.listening",
    Level.INFO,
    "operators are answered at {at}",
    "The platform's `console` names the address; docs/console.md describes the calls.",
)
RECEIVER_DETACHED = Event(
    "receiver.detached",
    Level.INFO,
    "nothing more is sent to {receiver}, by an operator's call",
    "It holds over restarts and upgrades until the receiver is attached again.",
)
RECEIVER_ATTACHED = Event(
    "receiver.attached",
    Level.INFO,
    "{receiver} gets messages again, by an operator's call",
    "Its state in the list holds again.",
)
