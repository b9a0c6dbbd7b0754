"""Drives the decision module from the wire. It keeps timers and mails in hand, and decides nothing."""

import json

from ..core import model
from ..core.dispatcher import Dispatcher
from . import wire

ENDINGS = {
    10: model.Outcome.DELIVERED,
    20: model.Outcome.ERROR,
    30: model.Outcome.REJECTED,
    40: model.Outcome.TIMED_OUT,
    50: model.Outcome.CONNECT_FAILED,
    60: model.Outcome.RESET,
    70: model.Outcome.CANCELLED,
    80: model.Outcome.NOT_SENT,
}
REPEAT, INHERITED = 2, 16  # bits of a query: handed in again, from a sender that died
STATES = {0: model.ReceiverState.GONE, 1: model.ReceiverState.READY, 2: model.ReceiverState.DRAINING}


class Instance:
    """One sender: its module, the mails in hand, the receivers that its lists have named, and its timer."""

    def __init__(self, number, seed, settings):
        self.number = number
        self.module = Dispatcher(settings, seed)
        self.fields = [
            model.LOAD_REPORT_FIELDS.get(name, name) for name in settings.get("Report", {}).get("Fields", [])
        ]
        self.mails = {}
        self.receivers = {}
        self.destinations = {}
        self.armed = None  # when the earliest timer that is set will fire
        self.actions = []
        self.handlers = {
            wire.TARGETS: self.targets,
            wire.QUERY: self.query,
            wire.FIRST: self.first,
            wire.RETURNED: self.returned,
            wire.VANISHED: self.vanished,
            wire.WAKEUP: self.wakeup,
            wire.CHECKED: self.checked,
            wire.NOTE_FROM: self.note_from,
        }

    def destination(self, ident):
        if ident not in self.destinations:
            self.destinations[ident] = model.Destination(ident)
        return self.destinations[ident]

    def targets(self, now, version, kind, entries):
        if kind == 3:
            return
        named = set()
        for state, weight, zone, _since, shape, ident, owner in entries:
            named.add(ident)
            receiver = self.receivers.get(ident)
            if receiver is None:
                if state == 0:
                    continue
                receiver = self.receivers[ident] = model.Receiver(ident, self.destination(owner))
            receiver.state = STATES.get(state, model.ReceiverState.GONE)
            if state:
                receiver.kind, receiver.zone, receiver.weight = shape, zone, weight
        if kind:
            for ident, receiver in self.receivers.items():
                if ident not in named:
                    receiver.state = model.ReceiverState.GONE

    def query(self, now, ticket, queue_class, account, key, left, _hint, owner, bits):
        arrived = self.module.first_submitted_at(queue_class, left, bits & (REPEAT | INHERITED), now)
        mail = model.Message(ticket, self.destination(int(owner)), arrived, now + left, queue_class, account, key)
        self.mails[ticket] = mail
        self.write(mail, self.module.dispatch(mail, now))

    def first(self, now, ticket, n, receiver, delay):
        pass  # no queue class here streams

    def returned(self, now, ticket, _n, receiver, ending, delay, complete, note, gauge):
        self.report(receiver, gauge)
        mail = self.mails.get(ticket)
        if mail is None:
            return
        outcome = ENDINGS.get(ending, model.Outcome.ERROR)
        mail.retry_after_ms, mail.duration_ms = float(note) if outcome == model.Outcome.REJECTED else 0.0, delay
        if complete and outcome != model.Outcome.DELIVERED:
            mail.is_withdrawn = True
        result = self.module.record_outcome(mail, outcome, now)
        self.write(mail, result)
        if result.should_close_idle:
            self.actions.append(wire.close_idle(self.number, receiver))

    def vanished(self, now, ticket):
        if ticket in self.mails:
            self.mails[ticket].is_withdrawn = True

    def wakeup(self, now, handle):
        if self.armed is not None and self.armed <= now + 0.001:
            self.armed = None

    def checked(self, now, receiver, delay, ending, gauge):
        self.report(receiver, gauge)

    def note_from(self, now, sender, words):
        pass

    def report(self, ident, gauge):
        if gauge and ident in self.receivers:
            self.receivers[ident].load_report = dict(zip(self.fields, gauge, strict=False))

    def write(self, mail, answer):
        """Puts an answer of the module about a mail on the wire."""
        what = answer.decision
        if what == model.Decision.SEND:
            self.actions.append(
                wire.attempt(self.number, mail.message_id, answer.receiver.receiver_id, answer.timeout_ms)
            )
            return
        if what == model.Decision.NOT_YET:
            return
        if what == model.Decision.DEFERRED and not mail.is_withdrawn:
            self.actions.append(wire.not_now(self.number, mail.message_id, answer.retry_after_ms))
        elif what == model.Decision.BOUNCED and not mail.is_withdrawn:
            self.actions.append(wire.end_failed(self.number, mail.message_id))
        self.mails.pop(mail.message_id, None)

    def finish(self, now):
        """Asks about every mail that is due, then sets the timer for the next."""
        while True:
            ms, mail = self.module.next_due(now)
            if mail is None:
                return
            if ms > 0:
                break
            self.write(mail, self.module.dispatch(mail, now))
        if self.armed is None or now + ms < self.armed - 0.001:
            self.armed = now + ms
            self.actions.append(wire.defer(self.number, self.armed, 1))


class Adapter:
    """All instances of one process, with the census lists that they share on the wire."""

    def __init__(self):
        self.instances = {}
        self.lists = {}

    def answer(self, number, now, records):
        """The reply to a batch."""
        actions, touched, dead = [], {}, set()
        for index, (code, *fields) in enumerate(records):
            if code == wire.CENSUS:
                self.lists[fields[0]] = fields[1]
                continue
            sender, *fields = fields
            where = f"batch {number}, record {index}"
            if code == wire.PROVISION:
                self.instances.pop(sender, None)
                touched.pop(sender, None)
                dead.discard(sender)
            elif code == wire.EXIT:
                self.instances.pop(sender, None)
                touched.pop(sender, None)
                continue
            elif sender in dead:
                continue
            elif sender not in self.instances:
                name = wire.RECORDS[code][0]
                raise wire.Malformed(f"{where}: expected an instance that runs for {name}, got {sender}")
            if code == wire.TARGETS:
                version, kind, bank = fields
                if kind != 3 and bank not in self.lists:
                    raise wire.Malformed(f"{where}: expected a census under {bank} before targets")
                fields = version, kind, self.lists.get(bank, ())
            try:
                if code == wire.PROVISION:
                    seed, text = fields
                    touched[sender] = Instance(sender, seed, self.settings(text, where))
                    self.instances[sender] = touched[sender]
                else:
                    touched[sender] = self.instances[sender]
                    self.instances[sender].handlers[code](now, *fields)
            except wire.Malformed:
                raise
            except Exception as error:
                actions.append(self.lost(sender, error))
                dead.add(sender)
                touched.pop(sender, None)
        for sender, instance in touched.items():
            try:
                instance.finish(now)
            except Exception as error:
                actions.append(self.lost(sender, error))
                continue
            actions += instance.actions
            instance.actions = []
        return wire.reply(number, actions)

    def settings(self, text, where):
        try:
            settings = json.loads(text)
        except ValueError:
            settings = None
        if not isinstance(settings, dict):
            raise wire.Malformed(f"{where}: expected settings as a JSON object")
        return settings

    def lost(self, sender, error):
        self.instances.pop(sender, None)
        words = f"{type(error).__name__}: {error}"
        if isinstance(error, KeyError):
            words = f"settings lack {error}"
        return wire.die(sender, words)
