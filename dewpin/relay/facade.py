"""The decision module in blocking style: `take` a mail, `pick` what is due, `report` what came back, `tick` for when.

It owns the module, its mails and the receivers that lists have named, and turns the door's names into the module's
objects and back. Network code asks it and gets plain values; it keeps no timer, opens no socket and decides nothing.
"""
from ..core import model
from ..core.dispatcher import Dispatcher

PAST = 200              # so many receivers that are gone are remembered


class Facade:
    def __init__(self, settings, seed):
        self.module = Dispatcher(settings, seed)
        self.classes = {one["Name"].encode(): at for at, one in enumerate(settings["Services"])}
        self.lifetimes = [one["Deadline"] for one in settings["Services"]]
        self.longest = max(self.lifetimes)
        self.accounts = {one["Name"].encode(): at for at, one in enumerate(settings.get("Accounts") or ())}
        self.zones = {name: at for at, name in enumerate(settings.get("Zones") or ())}
        self.kinds = {name: at for at, name in enumerate(settings.get("Kinds") or ())}
        self.most = settings["Allowed"]["MaxOpen"]
        self.receivers = {}
        self.detached = {}          # receivers that operators took out: id: what the list says of them
        self.listed = 0             # receivers that the list names
        self.destinations = {}
        self.due = None

    # -- the three calls ------------------------------------------------------------------------------------

    def tick(self, now):
        """Ms until something is due: 0 if it is now, None if nothing is held."""
        ms, self.due = self.module.next_due(now)
        return None if self.due is None else ms

    def pick(self, now):
        """What the mail that is due now does: (sheet, receiver, time-out), (sheet, ending, ms), or None."""
        mail = self.due
        result = self.module.dispatch(mail, now)
        if result.decision == model.Decision.NOT_YET:
            return None
        if result.receiver:
            return mail.message_id, result.receiver, result.timeout_ms
        return mail.message_id, result.decision, result.retry_after_ms

    def report(self, sheet, outcome, told, took, load, over, now):
        """After a connect: its ending or None, the ms to come back after, and whether idle connections go."""
        mail = sheet.message
        mail.retry_after_ms, mail.duration_ms = told, took
        mail.is_withdrawn = mail.is_withdrawn or over
        if load:
            words = {model.LOAD_REPORT_FIELDS.get(name, name): value for name, value in load.items()}
            mail.dispatch_state.call.receiver.load_report = words
        what, ms, leaves = self.module.record_outcome(mail, outcome, now)
        if over:
            what = model.Decision.RELAYED        # nothing is owed
        return None if what == model.Decision.NOT_YET else what, ms, leaves

    def pause(self, sheet, now):
        """Ms of the pause that a mail is in."""
        message = sheet.message
        return max(0.0, message.dispatch_state.due_at - now) if message and message.dispatch_state else 0.0

    # -- mails and receivers --------------------------------------------------------------------------------

    def knows(self, queue_class, account):
        return queue_class in self.classes and (not self.accounts or account in self.accounts)

    def full(self, destination, now):
        """Ms to come back after where no more mails may be held, or none for a destination no list names; else None."""
        known = self.destinations.get(int(destination))
        if known and known.receivers and self.module.pending_messages < self.most:
            return None
        return self.module.retry_after_ms(known or model.Destination(None), now)

    def bound(self, receiver):
        """The addresses that a wait told by this receiver binds."""
        limits = self.module.limits_of(receiver)
        return [r.address for r in receiver.destination.receivers if r.address and self.module.limits_of(r) is limits]

    def release(self, sheet):
        """Parts an ended mail from its sheet: the module may hold it until its time is up.

        Guards against memory that only a collector's full round gives back."""
        if sheet.message:
            sheet.message.message_id = sheet.message = None

    def lifetime(self, queue_class):
        return self.lifetimes[self.classes[queue_class]]

    def first_in(self, queue_class, left, again, now):
        return self.module.first_submitted_at(self.classes[queue_class], left, again, now)

    def ran(self, outcome):
        return outcome not in model.NOT_EXECUTED_OUTCOMES

    def leaves(self, sheet, receiver, now):
        """Ms within which the last byte of a mail that was picked may leave; 0: none of it may."""
        return self.module.last_byte_within_ms(sheet.message, receiver, now)

    def adopt(self, sheet, now):
        """A mail whose call is out at the process before this one; gives the receiver."""
        ident, sent = sheet.in_flight
        receiver = self._receiver(ident, self.destination(int(sheet.destination)))
        sheet.attempts -= 1        # the one out is counted when the module takes it over
        self.take(sheet, now)
        sheet.attempts += 1
        self.module.adopt_attempt(sheet.message, receiver, sent, now)
        return receiver

    def take(self, sheet, now):
        destination = self.destination(int(sheet.destination))
        ran = sheet.possibly_executed
        ran_to = None if ran is None else self._receiver(ran.receiver, destination)
        sheet.message = model.Message(
            sheet, destination, sheet.arrived_at_ms, sheet.expires_at_ms, self.classes[sheet.queue_class],
            self.accounts.get(sheet.account, 0), sheet.ordering_key or 0,
            model.PriorAttempts(sheet.attempts, ran and ran.sent_at_ms, ran_to))
        self.module.dispatch(sheet.message, now)

    def learn(self, entries, complete):
        """News of the list; gives the addresses, each with its receiver's id, that nothing new goes to."""
        named, left = set(), []
        for ident, destination, state, address, zone, kind, weight in entries:
            named.add(ident)
            if state == model.ReceiverState.GONE and ident not in self.receivers:
                continue
            receiver = self._receiver(ident, self.destination(destination))
            self._set(receiver, state)
            if state != model.ReceiverState.GONE:
                address = *address, ident       # guards against one that took over another's address
                if receiver.address not in (None, address):
                    left.append(receiver.address)
                receiver.address, receiver.weight = address, weight
                receiver.zone, receiver.kind = self.zones.get(zone, -1), self.kinds.get(kind, 0)
        if complete:
            for ident, receiver in self.receivers.items():
                if ident not in named:
                    self._set(receiver, model.ReceiverState.GONE)
        gone = [receiver for receiver in self.receivers.values() if receiver.state == model.ReceiverState.GONE]
        self.listed = len(self.receivers) - len(gone)
        for receiver in gone[:-PAST]:
            self._forget(self.receivers.pop(receiver.receiver_id))
        ready = {receiver.address for receiver in self.receivers.values()
                 if receiver.state == model.ReceiverState.READY}
        left += [receiver.address for receiver in self.receivers.values()]
        return [address for address in left if address and address not in ready]

    def detach(self, ident):
        """Operators take a receiver out: from now on it is one that drains, whatever the list says of it. Gives its
        address if it has one."""
        receiver = self.receivers.get(ident)
        self.detached.setdefault(ident, receiver.state if receiver else model.ReceiverState.GONE)
        if receiver:
            self._set(receiver, self.detached[ident])
        return receiver and receiver.address

    def attach(self, ident):
        """They put it back: what the list says of it holds again."""
        listed = self.detached.pop(ident, None)
        if listed and ident in self.receivers:
            self._set(self.receivers[ident], listed)

    def avoided(self):
        """How many listed receivers get nothing or a trickle, by hand or by choice."""
        out = {self.receivers[ident] for ident in self.detached if ident in self.receivers}
        return sum(1 for receiver in out | self.module.ejected_receivers
                   if self._listed(receiver) != model.ReceiverState.GONE)

    def _set(self, receiver, listed):
        receiver.state = listed
        if receiver.receiver_id in self.detached:
            self.detached[receiver.receiver_id] = listed
            if listed == model.ReceiverState.READY:
                receiver.state = model.ReceiverState.DRAINING

    def _listed(self, receiver):
        return self.detached.get(receiver.receiver_id, receiver.state)

    # -- what is believed, for people ---------------------------------------------------------------------------

    def lines(self):
        """All lines at this moment, to be weighed by `weight` and told of by `line` as far as wanted."""
        return list(self.module.queues)

    def weight(self, line):
        """Mails of a line that wait for a slot or are out."""
        return line.waiting + line.in_flight

    def line(self, line, now):
        """One line in plain values: what waits, what is out, and what binds each of its receivers."""
        return {"destination": line.destination.destination_id, "waiting": line.waiting, "out": line.in_flight,
                "rate": round(line.arrival_rate(now), 3),
                "receivers": [self._receiver_facts(receiver, now) for receiver in line.destination.receivers]}

    def _receiver_facts(self, receiver, now):
        health, limits = receiver.health, receiver.limits or receiver.destination.limits
        facts = {"receiver": receiver.receiver_id.decode("latin-1"), "state": receiver.state, "health": "unknown",
                 "out": 0, "failures": 0, "usual_ms": None, "wait_ms": 0.0, "pace": None, "trickle": None}
        if health:
            facts |= {"out": health.in_flight, "failures": health.failures,
                      "health": "set aside" if health.slow_start else "failing" if health.failures else "well",
                      "trickle": round(health.slow_start.rate_at(now), 3) if health.slow_start else None}
        if limits:
            facts |= {"wait_ms": round(max(0.0, limits.retry_after_until - now), 1),
                      "usual_ms": None if limits.usual_call_ms is None else round(limits.usual_call_ms, 1),
                      "pace": round(limits.rate_limiter.rate_at(now), 3) if limits.rate_limiter else None}
        return facts

    def _forget(self, receiver):
        """Guards against memory that grows with the receivers, and the destinations, that there once were."""
        destination = receiver.destination
        destination.receivers.remove(receiver)
        self.module.forget_receiver(receiver)
        line = destination.queue
        if not destination.receivers and not (line and (line.waiting or line.in_flight)):
            del self.destinations[destination.destination_id]
            if line:
                self.module.forget_queue(line)

    def destination(self, ident):
        if ident not in self.destinations:
            self.destinations[ident] = model.Destination(ident)
        return self.destinations[ident]

    def _receiver(self, ident, destination):
        if ident not in self.receivers:
            self.receivers[ident] = model.Receiver(ident, destination, zone=-1, state=model.ReceiverState.GONE)
        return self.receivers[ident]
