"""Every event that the program tells of, with its level, its sentence and its fields.

It owns the names: nothing else may be logged, and docs/events.md is made of this list. A sentence names fields in
braces; what it does not name follows as field=value.
"""

DEBUG, INFO, WARNING, ERROR = 10, 20, 30, 40
LEVELS = {"debug": DEBUG, "info": INFO, "warning": WARNING, "error": ERROR}
NAMES = {level: name for name, level in LEVELS.items()}

FIELDS = {
    "mail": "the id that its client gave it",
    "serial": "its number in the journal",
    "destination": "the number of the outside system",
    "receiver": "an endpoint of the destination, by its id in the list",
    "connect": "the how-manieth connect of its mail",
    "queue_class": "its queue class",
    "key": "of its order; empty where none is asked for",
    "bytes": "of its body, or of the file spoken of",
    "lifetime_ms": "what is left of its queue lifetime",
    "limit_ms": "how long the answer is waited for",
    "outcome": "how a connect ended, as in docs/architecture.md",
    "ran": "whether the mail may have run there",
    "took_ms": "from the wish to send to the outcome",
    "told_ms": "the wait that the receiver told",
    "ending": "relayed, deferred or bounced",
    "after_ms": "the time to come back that is told",
    "why": "the cause, in words",
    "status": "of the answer to the client",
    "at": "an address, or a place in a file",
    "mails": "how many",
    "later": "keys that wait for the next start",
    "event": "the event spoken of",
    "lines": "how many lines",
    "name": "the sender's",
    "part": "where in the program",
    "trace": "the last steps before the fault",
    "sample": "the first bytes of what came",
    "keys": "how many",
    "version": "of the program",
}

EVENTS: dict[str, "Event"] = {}


class Event:
    """One thing that can be told: `name` in our words, `level`, `words` with fields in braces, all its `fields`."""
    __slots__ = ("name", "level", "words", "fields", "about")

    def __init__(self, name: str, level: int, words: str, fields: str, about: str) -> None:
        self.name, self.level, self.words, self.fields, self.about = name, level, words, tuple(fields.split()), about
        assert name not in EVENTS and set(self.fields) <= set(FIELDS), name
        EVENTS[name] = self


# -- the process ----------------------------------------------------------------------------------------------

START = Event("start", INFO, "{name} listens on {at}, {mails} mails taken up", "name at mails version",
              "The spool is replayed and the door is open. Mails that an earlier process left are sent on or ended.")
STOP = Event("stop", INFO, "{name} takes no new mails", "name", "SIGTERM or SIGINT: what fits is finished.")
END = Event("end", INFO, "{name} ends, {mails} mails lie in the spool", "name mails",
            "The process ends. The mails are owed: start it again with the same folder.")
RELOAD = Event("reload", INFO, "agent at {at}", "at later keys",
               "SIGHUP with a good configuration: it is in force. `later` names what waits for the next start.")
RELOAD_KEPT = Event("reload.kept", ERROR, "keeps the old configuration: {why}", "why",
                    "SIGHUP with a faulty configuration, or one that still changed while it was read: nothing changed.")
NOTE = Event("configuration.note", WARNING, "{why}", "why", "Allowed by the configuration and most likely not meant.")
FAULT = Event("fault", ERROR, "{part}: {why}", "part why trace mail",
              "A fault of dewpin's own. It goes on; the mail in question may wait until its end. Report it.")

HANDED_ON = Event("handed_on", INFO, "{name} hands {mails} mails on to the process that was started beside it",
                  "name mails", "An upgrade: this process finishes what is out there and ends.")
TAKEN_OVER = Event("taken_over", INFO, "{name} takes {mails} mails over from the process before, which still runs",
                   "name mails", "An upgrade: the journal and all decisions are this process's from now on.")
ALONE = Event("alone", INFO, "the process before has ended", "mails",
              "An upgrade is over. `mails` of it had calls out of which nothing is known.")
STEER = Event("steer", WARNING, "connections are shared out over both processes: {why}", "why",
              "An upgrade, and the system can't steer them. Both answer; some may be reset as the old one ends.")

# -- the log itself -------------------------------------------------------------------------------------------

LEFT_OUT = Event("log.left_out", WARNING, "{lines} lines of {event} were left out", "event lines",
                 "More came of an event than log.rate lets through.")
LOST = Event("log.lost", WARNING, "{lines} lines were lost: nobody read the pipe", "lines",
             "Standard error was full for longer than log.held bytes bridge.")

# -- the door -------------------------------------------------------------------------------------------------

REQUEST_FAULT = Event("request.fault", ERROR, "answered with 500: {why}", "why",
                      "A fault of dewpin's own while it answered a client.")
REFUSED = Event("mail.refused", DEBUG, "not taken on, {status}", "mail status queue_class destination after_ms why",
                "A request for a mail was refused: nothing of it goes on.")

# -- a mail's course, by its id -------------------------------------------------------------------------------

TAKEN = Event("mail.taken", DEBUG, "taken on", "mail serial queue_class destination key bytes lifetime_ms",
              "Recorded in the journal: from now on it is owed an end.")
TAKEN_FOR = Event("mail.taken_for_next", DEBUG, "taken on for the process that has taken over", "mail",
                  "An upgrade: it came on a connection that was still open here.")
RESUMED = Event("mail.resumed", DEBUG, "taken up from the spool",
                "mail serial queue_class destination key connect lifetime_ms",
                "An earlier process had taken it on; `connect` of its connects are spent.")
CONNECT = Event("connect.out", DEBUG, "connect {connect} to {receiver}", "mail connect receiver destination limit_ms",
                "Recorded in the journal, then on its way.")
BEHIND = Event("connect.behind", DEBUG, "waits for the answer to an earlier notice of its key", "mail receiver key",
               "The key's last mail was given up and its notice is not answered yet.")
HEARD = Event("connect.heard", DEBUG, "{outcome} after {took_ms} ms",
              "mail connect receiver destination outcome ran took_ms told_ms",
              "A connect's outcome, and whether the mail may have run.")
AGAIN = Event("mail.again", DEBUG, "goes again, no sooner than in {after_ms} ms", "mail connect after_ms",
              "The decision module wants another connect; its turn may come later.")
ENDED = Event("mail.ended", DEBUG, "{ending}", "mail ending connect after_ms",
              "Relayed: nothing is owed. Deferred or bounced: its notice is owed.")
TOLD = Event("notice.answered", DEBUG, "its notice is answered", "mail", "Nothing is owed for it any more.")
UNKNOWN_CLASS = Event("mail.unknown_class", WARNING, "bounced: the queue class {queue_class} is not known any more",
                      "mail queue_class", "A mail of the spool whose queue class the settings no longer name.")

# -- the spool ------------------------------------------------------------------------------------------------

TORN = Event("spool.torn", WARNING, "drops {bytes} bytes at the journal's end, from byte {at} on", "bytes at",
             "The process was killed while it wrote; nothing was answered for that record.")
SPOOL_FULL = Event("spool.full", WARNING, "full: refuses mails", "bytes mails",
                   "Mails in hand are near limits.disk: 503 until some end.")
WRITE_FAULT = Event("spool.write", ERROR, "can't write: {why}", "why",
                    "The disk refuses. No new mails, no connects; mails in hand wait.")
COMPACT_FAULT = Event("spool.compaction", ERROR, "can't write the second copy: {why}", "why",
                      "The old copy goes on and grows.")

# -- receivers and the platform's agent -----------------------------------------------------------------------

SPOILT = Event("answer.spoilt", WARNING, "not HTTP: {why}", "why at",
               "A receiver's answer can't be read: delivered if its first line says 200, else an error.")
LIST_ENTRY = Event("list.entry", WARNING, "passes over an entry: {why}", "why",
                   "The list names a receiver without id, cell or address. The others are used.")
LIST_KEPT = Event("list.kept", WARNING, "the list of receivers is not kept in the folder: {why}", "why",
                  "A restart begins with the platform's list instead, until the next whole list from the agent.")
WATCH = Event("watch", WARNING, "asks for the whole list: {why}", "why",
              "The agent's answer could not be used; the last list stays.")
NOTICE_UNREAD = Event("notice.unread", ERROR, "could not be read: {sample}", "sample",
                      "The platform refused a notice with 400: each is told by itself.")

# -- the control socket ---------------------------------------------------------------------------------------

CONTROL = Event("control", INFO, "answers at {at}", "at", "`dewpin status` may ask there.")
CONTROL_FAULT = Event("control.fault", WARNING, "{why}", "at why",
                      "The control socket can't be opened, or a caller's question failed. Mails are not concerned.")

# -- the operators' console -----------------------------------------------------------------------------------

CONSOLE = Event("console", INFO, "operators are answered at {at}", "at",
                "The platform's `console` names the address; docs/console.md tells the calls.")
DETACHED = Event("receiver.detached", INFO, "nothing more goes to {receiver}, by an operator's call", "receiver",
                 "It holds over restarts and upgrades until the receiver is put back.")
ATTACHED = Event("receiver.attached", INFO, "{receiver} gets mails again, by an operator's call", "receiver",
                 "What the list says of it holds again.")


def page() -> str:
    """docs/events.md."""
    lines = ["# Events", "",
             "Made of `dewpin/log/events.py` by `dewpin config events`; a test holds it current. Each line on standard",
             "error is one of these. `log.format` writes them for people or as JSON, `log.level` sets the least level.",
             "", "| event | level | sentence | fields | what it means |", "| --- | --- | --- | --- | --- |"]
    for event in EVENTS.values():
        fields = ", ".join(f"`{field}`" for field in event.fields)
        lines.append(f"| `{event.name}` | {NAMES[event.level]} | {event.words} | {fields} | {event.about} |")
    lines += ["", "| field | what it is |", "| --- | --- |"]
    lines += [f"| `{name}` | {about} |" for name, about in FIELDS.items()]
    return "\n".join([*lines, ""])
