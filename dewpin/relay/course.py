"""The life of a mail, from the door to its end: recorded, asked about, sent, reported, ended, told.

It owns the order of these steps and the one timer behind them: nothing is answered for before it is in the spool, no
byte leaves before its connect is, and the next mail of a key waits until a notice for an earlier one is answered. It
knows no wire, and every choice about a mail is the module's, asked through the facade.
"""
import time

from ..core import model
from ..log import events, log_event, log_internal_error
from ..ports import AttemptResult, Outlet, Teller
from ..spool.handover_log import AcceptedMessage, FinishedAttempt
from ..spool.records import MessageRecord, PendingNotice

PATIENCE = 50.0         # ms that a picked mail waits for the answer to an earlier one's notice
ROUNDS = 200            # questions to the module in one turn of the loop
MOST_IDENTS = 20000     # remembered at once, twice


class Clock:
    """Unix time in ms that never steps back while the process runs."""

    def __init__(self, loop):
        self.loop, self.offset = loop, time.time() - loop.time()

    def now(self):
        return (self.loop.time() + self.offset) * 1000.0


class Relay:
    def __init__(self, loop, facade, spool, pool: Outlet, notices: Teller):
        self.loop, self.clock = loop, Clock(loop)
        self.facade, self.spool, self.pool, self.notices = facade, spool, pool, notices
        self.refusing = False       # takes nothing on any more
        self.sending = True         # still starts connects
        self.out = 0
        self.timer, self.soon = None, False
        self.unsaid: dict[bytes, int] = {}          # key: notices that are not answered yet
        self.behind: dict[bytes, dict] = {}         # key: mails that were picked and wait for them
        self.idents: set[bytes] = set()
        self.older: set[bytes] = set()
        self.turns = 0.0
        self.follower = self.tail = None            # while the process before, or the next one, runs beside this one
        self.abroad: dict[int, tuple] = {}          # serial: (sheet, receiver) of a call that one before has out
        self.ends = {one: dict.fromkeys((model.Decision.RELAYED, model.Decision.DEFERRED, model.Decision.BOUNCED), 0)
                     for one in facade.classes}

    def resume(self, follower=None, out=None):
        """Takes up what an earlier life of the process left. `follower`: of a process whose tail tells of the calls
        that are out, those of the serials `out` (None: it didn't say); without one nobody has them, and they may
        have run."""
        now = self.clock.now()
        self.follower = follower
        if not follower:
            self.spool.assume_attempts_executed()
        for ident in self.spool.finished_ids:
            self._remember(ident, now)
        for sheet in list(self.spool.pending.values()):
            self._remember(sheet.message_id, now)
            if sheet.in_flight and out is not None and sheet.serial not in out:
                # the journal has no record for the end of a call that may have run
                sheet.finish_attempt(may_have_executed=True)
            if sheet.pending_notice:
                self._tell(sheet)
            elif not self.facade.knows(sheet.queue_class, sheet.account):
                log_event(events.UNKNOWN_QUEUE_CLASS, message=sheet.message_id, queue_class=sheet.queue_class)
                self._give_up(sheet, model.Decision.BOUNCED, 0.0)
            else:
                log_event(events.MESSAGE_RESUMED, message=sheet.message_id, serial=sheet.serial,
                          queue_class=sheet.queue_class, destination=sheet.destination, key=sheet.ordering_key,
                          attempt=sheet.attempts, lifetime_ms=sheet.expires_at_ms - now)
                if sheet.in_flight:
                    self.out += 1
                    self.abroad[sheet.serial] = sheet, self.facade.adopt(sheet, now)
                else:
                    self.facade.take(sheet, now)
        self.wake()

    def hand_in(self, ident, queue_class, account, key, destination, tag, body, left, again=False):
        """(True, 0) once a mail is taken on, (False, ms to come back after), or (None, status): a fault of its own."""
        if not self.facade.knows(queue_class, account):
            return None, 400
        taken, ms = self._hand_in(ident, queue_class, account, key, destination, tag, body, left, again)
        if not taken:
            self.ends[queue_class][model.Decision.BOUNCED if taken is None else model.Decision.DEFERRED] += 1
        return taken, ms

    def _hand_in(self, ident, queue_class, account, key, destination, tag, body, left, again):
        self.follow()           # a key's earlier mail may have been handed in there
        now = self.clock.now()
        if self.refusing:
            return False, 0.0
        if ident in self.idents or ident in self.older:
            return None, 409
        if (ms := self.facade.full(destination, now)) is not None:
            return False, ms
        lifetime = self.facade.lifetime(queue_class)
        left = lifetime if left is None else min(left, lifetime)
        sheet = MessageRecord(ident, queue_class, account, key, destination, tag, body,
                      self.facade.first_in(queue_class, left, again, now), now + left)
        if not self.spool.accept(sheet):
            log_event(events.JOURNAL_FULL, bytes=self.spool.size_bytes, messages=len(self.spool.pending))
            return False, 0.0
        if self.tail:
            self._remember(ident, now)
            log_event(events.MESSAGE_ACCEPTED_FOR_NEXT, message=ident)
            return True, 0.0    # the next process has it from now on
        try:
            self.facade.take(sheet, now)
        except Exception:
            self.spool.finish(sheet)   # the client hears of a failure, and nothing is owed
            raise
        log_event(events.MESSAGE_ACCEPTED, message=ident, serial=sheet.serial, queue_class=queue_class,
                  destination=destination, key=key, bytes=len(body), lifetime_ms=sheet.expires_at_ms - now)
        self._remember(ident, now)
        self.wake()
        return True, 0.0

    def _remember(self, ident, now):
        """Ids of mails that were taken on, for longer than any of them may last.

        Guards against an id that comes again, from whomever: its mail would go out twice, or after its end."""
        if now > self.turns or len(self.idents) >= MOST_IDENTS:
            self.idents, self.older, self.turns = set(), self.idents, now + self.facade.longest
        self.idents.add(ident)

    def wake(self):
        """Something happened: asks once for all that happens in this turn of the loop."""
        if not self.soon:
            self.soon = True
            self.loop.call_soon(self._work)

    def _work(self):
        self.soon = False
        if self.timer:
            self.timer.cancel()
            self.timer = None
        now = self.clock.now()
        try:
            for _ in range(ROUNDS):
                ms = self.facade.tick(now) if self.sending else None
                if ms is None:
                    return
                if ms > 0.0:
                    self.timer = self.loop.call_later(ms / 1000.0, self.wake)
                    return
                if errand := self.facade.pick(now):
                    self._do(*errand, now)
            self.wake()             # others have their turn first
        except Exception:           # a fault must not end the process, nor go round without a pause
            log_internal_error("relay")
            self.timer = self.loop.call_later(0.1, self.wake)

    def _do(self, sheet, what, ms, now):
        if not isinstance(what, model.Receiver):
            self._give_up(sheet, what, ms)
        elif sheet.ordering_key in self.unsaid:
            late = self.loop.call_later(min(ms, PATIENCE) / 1000.0, self._unsent, sheet, what)
            self.behind.setdefault(sheet.ordering_key, {})[sheet] = what, now + ms, late
            log_event(events.ATTEMPT_POSTPONED, message=sheet.message_id, receiver=what.receiver_id,
                      key=sheet.ordering_key)
            self.out += 1
        else:
            self.out += 1
            self._send(sheet, what, ms)

    def _send(self, sheet, receiver, limit):
        self.pool.call(receiver.address, sheet.message_id, sheet.idempotency_key, sheet.body, limit,
                       lambda: self._leaves(sheet, receiver, limit),
                       lambda *heard: self._heard(sheet, receiver, *heard))

    def _leaves(self, sheet, receiver, limit):
        """Right before a call's first byte: ms within which its last one may leave, or 0 if it is not to leave.

        Guards against a connection that comes up long after the choice: a repeat's window is over by then, a wait was
        told, this process ends or the next one has the mail. And against a kill while it comes up: what is recorded may
        have run."""
        now = self.clock.now()
        ms = self.facade.leaves(sheet, receiver, now) if self.sending else 0.0
        if ms <= 0.0 or not self.spool.start_attempt(sheet, receiver.receiver_id, now):
            return 0.0
        log_event(events.ATTEMPT_STARTED, message=sheet.message_id, attempt=sheet.attempts,
                  receiver=receiver.receiver_id, destination=sheet.destination, timeout_ms=limit)
        return ms

    def _unsent(self, sheet, receiver):
        """A notice for an earlier mail of the key is not answered: the connect never left."""
        del self.behind[sheet.ordering_key][sheet]
        self._heard(sheet, receiver, model.Outcome.NOT_SENT, 0.0, 0.0, {}, False)

    def _heard(self, sheet, receiver, outcome, told, took, load, over):
        self.out -= 1
        if self.tail:
            self.tail.finish_attempt(sheet, AttemptResult(outcome, told, took, load, over))
            if told > 0.0:
                self._recall(receiver)
            return
        try:
            ran = self.facade.ran(outcome)
            log_event(events.ATTEMPT_FINISHED, message=sheet.message_id,
                      attempt=sheet.attempts + (sheet.in_flight is None), receiver=receiver.receiver_id,
                      destination=sheet.destination, outcome=outcome, may_have_executed=ran, took_ms=took,
                      retry_after_ms=told)
            self.spool.finish_attempt(sheet, ran)
            ending, ms, leaves = self.facade.report(sheet, outcome, told, took, load, over, self.clock.now())
            if ending == model.Decision.RELAYED:
                log_event(events.MESSAGE_ENDED, message=sheet.message_id, ending=ending, attempt=sheet.attempts)
                self.ends[sheet.queue_class][ending] += outcome == model.Outcome.DELIVERED     # else it was withdrawn
                self.spool.finish(sheet)
                self.facade.release(sheet)
            elif ending:
                self._give_up(sheet, ending, ms)
            else:
                log_event(events.RETRY_SCHEDULED, message=sheet.message_id, attempt=sheet.attempts,
                          retry_after_ms=self.facade.pause(sheet, self.clock.now()))
            if leaves:
                self.pool.close_idle(receiver.address)
            if told > 0.0:
                self._recall(receiver)
        except Exception:
            log_internal_error("outcome", message=sheet.message_id)
        self.wake()

    def _recall(self, receiver):
        for address in self.facade.bound(receiver):
            self.pool.recall(address)

    def _give_up(self, sheet, ending, ms):
        log_event(events.MESSAGE_ENDED, message=sheet.message_id, ending=ending, attempt=sheet.attempts,
                  retry_after_ms=ms)
        if sheet.queue_class in self.ends:
            self.ends[sheet.queue_class][ending] += 1
        self.spool.give_up(sheet, PendingNotice(ending == model.Decision.DEFERRED, ms))
        self.facade.release(sheet)
        self._tell(sheet)

    def _tell(self, sheet):
        if sheet.ordering_key:
            self.unsaid[sheet.ordering_key] = self.unsaid.get(sheet.ordering_key, 0) + 1
        self.notices.tell(sheet.message_id, *sheet.pending_notice, lambda: self._told(sheet))

    def _told(self, sheet):
        log_event(events.NOTICE_ACKNOWLEDGED, message=sheet.message_id)
        self.spool.finish(sheet)
        if not sheet.ordering_key:
            return
        self.unsaid[sheet.ordering_key] -= 1
        if self.unsaid[sheet.ordering_key] == 0:
            del self.unsaid[sheet.ordering_key]
            now = self.clock.now()
            for held, (receiver, until, late) in self.behind.pop(sheet.ordering_key, {}).items():
                late.cancel()
                self._send(held, receiver, max(1.0, until - now))

    # -- two processes of one sender, while one takes over from the other -----------------------------------------

    def part(self, tail):
        """From now on the next process decides and sends: what still happens here is written for it."""
        self.sending = False
        for held in self.behind.values():       # their connects never left
            for _, _, late in held.values():
                late.cancel()
                self.out -= 1
        self.behind.clear()
        self.spool = self.tail = tail

    def follow(self, gone=False):
        """Takes in what the process before wrote since; `gone`: it has ended, and calls it did not tell of are cut."""
        if not self.follower:
            return
        for event in self.follower.read_events():
            if isinstance(event, AcceptedMessage):
                self._taken_there(event.message)
            elif isinstance(event, FinishedAttempt):
                self._heard_there(event.serial, *event.result)
            else:
                self._detached_there(event.receiver, event.is_detached)
        if gone:
            self.follower.close()
            self.follower = None
            for serial in list(self.abroad):
                self._heard_there(serial, model.Outcome.RESET, 0.0, 0.0, {}, False)

    def _taken_there(self, sheet):
        if sheet.message_id in self.idents or sheet.message_id in self.older:
            return              # read before a kill, and not marked as read
        now = self.clock.now()
        self._remember(sheet.message_id, now)
        self.spool.accept(sheet, already_accepted=True)
        self.facade.take(sheet, now)
        log_event(events.MESSAGE_ACCEPTED, message=sheet.message_id, serial=sheet.serial,
                  queue_class=sheet.queue_class, destination=sheet.destination, key=sheet.ordering_key,
                  bytes=len(sheet.body), lifetime_ms=sheet.expires_at_ms - now)
        self.wake()

    def _heard_there(self, serial, *heard):
        if there := self.abroad.pop(serial, None):
            self._heard(*there, *heard)

    def _detached_there(self, ident, out):
        (self.detach if out else self.attach)(ident)

    # -- receivers, by operators' hand -------------------------------------------------------------------------

    def detach(self, ident):
        """Nothing more goes to this receiver, whatever the list says, until it is put back: True. False: no list ever
        named it; None: it can't be recorded."""
        if ident not in self.facade.receivers and ident not in self.facade.detached:
            return False
        if not self.spool.set_detached(ident, True):
            return None
        if ident not in self.facade.detached:
            log_event(events.RECEIVER_DETACHED, receiver=ident)
        if address := self.facade.detach(ident):
            self.pool.recall(address)
            self.pool.close_idle(address)
        self.wake()
        return True

    def attach(self, ident):
        """What the list says of this receiver holds again; the answers are those of `detach`."""
        if ident not in self.facade.receivers and ident not in self.facade.detached:
            return False
        if not self.spool.set_detached(ident, False):
            return None
        if ident in self.facade.detached:
            log_event(events.RECEIVER_ATTACHED, receiver=ident)
            self.facade.attach(ident)
        self.wake()
        return True
