"""All decisions of dewpin: where a mail goes, what follows an outcome, and how long to wait.

Make one `Dispatcher(settings, seed)` for each sender and ask it three things; its types stand in `model.py`.
  route(mail, now)            (receiver, time-out), (NOT_YET, 0), (DEFERRED, retry-after) or (BOUNCED, 0)
  settle(mail, outcome, now)  the same or (RELAYED, 0), after each outcome of a connect; a third value tells
                              whether the receiver's idle connections should close
  wait(now)                   (ms, mail): ask `route` about it after so long; (0, None): nothing is held
Ask `route` once when a mail comes in, then `wait` until it names a time ahead, after each round of news. The
driver writes list changes, reports, withdrawals and an outcome's figures onto the model's objects beforehand.
Where it has no room for a mail, `come_back(destination, now)` says after how many ms to hand it in again.
docs/design.md tells the mechanism, what was changed in it, and when each exception acts.
"""
from bisect import insort
from collections import deque
from heapq import heappop, heappush
from math import log, log2, sqrt

from .model import Decision, Outcome, ReceiverState

# Bound once: a look-up of a member on its class costs some 200 ns in Python 3.11.
DELIVERED = Outcome.DELIVERED
ERROR = Outcome.ERROR
REJECTED = Outcome.REJECTED
TIMED_OUT = Outcome.TIMED_OUT
CONNECT_FAILED = Outcome.CONNECT_FAILED
DROPPED = Outcome.DROPPED
RESET = Outcome.RESET
CANCELLED = Outcome.CANCELLED
NOT_SENT = Outcome.NOT_SENT
NOT_YET = Decision.NOT_YET
RELAYED = Decision.RELAYED
DEFERRED = Decision.DEFERRED
BOUNCED = Decision.BOUNCED
READY = ReceiverState.READY

FIRST_TIMEOUT = 10000.0     # of a destination that has answered nothing yet (the design's figure)
SILENT_TIMES, SILENT_LEAST = 4.0, 700.0     # a call out so many usual times, and so long, counts as silent;
                            # a learned time-out goes no lower
TIMEOUT_TIMES = 6.0         # usual call times that a time-out allows; pace differs call by call
BASE_PAUSE = 250.0          # before the first repeat (the design's figure), doubling with each try
CROWD = 4.0                 # so many senders may each try a failed destination once in `OverloadFor`
ROOM = 0.85                 # share of the mails that may be held, above which the longest line gives some up
LONG = 1000.0               # a failure that took so long says more than a quick one; no crash is over sooner
RECOVERS = 0.3              # loss on the way is thought of when so many calls after a failed one go well
LOSS = 3                    # failures in a row that are an outage nevertheless
LONG_TOLD = 2500.0          # a told wait of more is no limit's: the destination is shut, and returns cold
SHUT = 1500.0               # a destination that refuses all for so long is shut, not just above its limit
URGENT = 1000.0             # a line looks so far ahead for the importance that its mails would lose
RATE_SPAN = 20000.0         # over so long a destination's traffic is measured
PACE_DOUBLES = 3000.0       # a pace set by a refusal doubles in this time without another
SLOWEST = 8.0               # refused again and again, it takes up to so many times as long
CALLS = 16.0                # of a line: over more of them it notices a limit in time, however fast the growth
FEW = 4                     # good answers; fewer say little of a pace
LEAST_SHARE = 0.2           # of a line's own traffic that a pace set by refusals never falls under
JAMMED = 0.1                # share of a kind's calls that find no connection at once, above which none rests
                            # there for a mail that has to wait
RIDER = 0.25                # of a call: what a further mail in a bundle adds to a cold one's work, at most
GOLDEN, SILVER = 0.5 * (5.0 ** 0.5 - 1.0), 2.0 ** 0.5 - 1.0     # multiples lie evenly, every second one too
KEEPS = 4.0                 # times that a connection may rest until its receiver's turn is over
FADE = 5000.0               # slot time of a line loses its weight over this span
PROOF = (REJECTED, CONNECT_FAILED, NOT_SENT, DROPPED)      # these outcomes prove that nothing ran
LOST = (TIMED_OUT, RESET, DROPPED, CONNECT_FAILED)   # no answer of any kind came
RESTING = (TIMED_OUT, RESET, CANCELLED)        # after these the work may still go on


class Dice:
    """A linear congruential generator; the high bits of its state are used."""

    def __init__(self, seed):
        self.state = (seed ^ 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF

    def roll(self, low, high):
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & 0xFFFFFFFFFFFFFFFF
        return low + (high - low) * (self.state >> 32) / 4294967296.0


class Ring:
    """A sliding-window counter: what was counted over the last spans, in buckets that are used again."""

    def __init__(self, span, size):
        self.span, self.counts, self.marks = span, [0.0] * size, [-1] * size

    def add(self, now, amount=1.0):
        mark = int(now // self.span)
        at = mark % len(self.counts)
        if self.marks[at] != mark:
            self.marks[at], self.counts[at] = mark, 0.0
        self.counts[at] += amount

    def recent(self, now, spans):
        """The counts of the last so many spans that are complete, and of the one that runs."""
        mark = int(now // self.span)
        return [self.counts[m % len(self.counts)] if self.marks[m % len(self.counts)] == m else 0.0
                for m in range(mark - spans, mark + 1)]


class Pace:
    """A rate limit after a refusal, in calls a second: it doubles in a span from the first good answer."""

    def __init__(self, rate, doubles, made):
        self.rate, self.doubles, self.made, self.since = rate, doubles, made, None
        self.next_at, self.goods = 0.0, 0           # goods: good answers since

    def now(self, now):
        span = 0.0 if self.since is None else (now - self.since) / self.doubles
        return self.rate * 2.0 ** min(span, 60.0)       # a line may stand idle for hours

    def after(self, now, calls):
        """When so many calls fit, counted from now, with the growth on the way."""
        rate = self.now(now) / 1000.0
        if self.since is None:
            return now + calls / rate
        return now + self.doubles * log2(1.0 + calls * log(2.0) / (rate * self.doubles))


class Trickle(Pace):
    """Slow start of a receiver set aside: calls a second, that rise evenly from the first good answer on.

    Guards against a return at which all senders grow together: doubling outruns what warms evenly."""

    def now(self, now):
        return self.rate * (1.0 + (0.0 if self.since is None else (now - self.since) / self.doubles))

    def after(self, now, calls):
        rate = self.now(now) / 1000.0
        if self.since is None:
            return now + calls / rate
        rise = self.rate / 1000.0 / self.doubles
        return now + (sqrt(rate * rate + 2.0 * rise * calls) - rate) / rise


class Health:
    """What the sender has seen of one receiver: the state of its circuit breaker."""

    def __init__(self):
        self.out = self.fails = 0   # calls out, failures that no good answer has made up for
        self.unanswered = False     # a call there, or a long one beside it, got no answer and none came since
        self.good_at = self.refused_at = self.failed_at = self.unreached_at = -1e12     # the latest of each
        self.bad_for = set()        # queue classes whose latest call there failed
        self.trickle = None         # set aside: the pace of its trickle
        self.call = None            # the latest call, which mails sent in the same reply may share


class Gate:
    """Rate and concurrency limits of a destination, or of a receiver where its receivers are routes apart."""

    def __init__(self):
        self.told_until = -1e12     # end of a told wait
        self.pace = None            # set by a refusal; None: free
        self.out = 0
        self.calls = deque()        # calls, oldest first; over ones go when they come to the front
        self.good_at = self.failed_at = -1e12   # the latest good answer, the latest failure
        self.goods = Ring(500.0, 20)
        self.usual = None           # call time, ms
        self.timeouts, self.timed_out_at = 0, -1e12     # since a good answer: each doubles its figure,
                                    # so that a slow destination is not taken for dead again and again
        self.refusals, self.refused_at = 0, 0.0         # calls turned away since then, and the first of them

    def silent_at(self, now):
        """When the oldest call out, with nothing good since it left, is to be taken for stuck."""
        while self.calls and self.calls[0].open == 0:
            self.calls.popleft()
        if not self.calls or self.calls[0].sent < self.good_at:
            return float("inf")
        return self.calls[0].sent + max(SILENT_LEAST, SILENT_TIMES * (self.usual or 0.0))

    def bound(self, now, receivers):
        """The concurrency limit: rate times latency as measured (Little's law), with room to grow.

        Guards against a destination that takes work and answers none (a hang, a silent host, a far slowdown)
        drawing in slots and once-only mails: while its oldest call is stuck, nothing joins it.
        """
        if now >= self.silent_at(now):
            return 1
        if self.out <= receivers:       # what was measured only adds to this
            return receivers + 1
        return receivers + 1 + 3.0 * max(self.goods.recent(now, 16)) * (self.usual or 1000.0) / 1000.0


class Line:
    """The mails that wait for one destination, by queue class, and the slot time it has had."""

    def __init__(self, destination, order, classes, began):
        self.destination, self.order = destination, order
        self.waiting = 0            # mails in the queues below
        self.fresh = [deque() for _ in range(classes)]      # can still make their target delay
        self.late = [deque() for _ in range(classes)]
        self.used, self.used_at, self.out = 0.0, 0.0, 0
        self.arrivals, self.began = Ring(RATE_SPAN / 10.0, 12), began   # began: the sender, not the line

    def rate(self, now, extra=0.0):
        """Mails a second that come for the destination: small where many senders share its traffic.

        `extra`: what to take off the count of mails where the arrival of one is why the rate is asked."""
        span = max(RATE_SPAN / 4.0, min(RATE_SPAN, now - self.began))
        return (max(1.0, sum(self.arrivals.recent(now, 10))) - extra) * 1000.0 / span

    def slot_time(self, now):
        """Recent slot time, calls out included."""
        span = now - self.used_at
        if span > 0.0:
            fade = 0.5 ** (span / FADE)
            self.used, self.used_at = self.used * fade + self.out * (1.0 - fade) * FADE, now
        return self.used


class Call:
    """One slot: the mails of one bundle that travel together."""
    __slots__ = ("receiver", "sent", "mails", "open", "counted", "again")

    def __init__(self, receiver, sent, again):
        self.receiver, self.sent, self.mails, self.open, self.counted = receiver, sent, 0, 0, False
        self.again = again          # the call before it got no answer


class Course:
    """What the module remembers of a mail in hand."""
    __slots__ = ("arrival", "wanted", "tries", "call", "ran_at", "ran_to", "due", "state", "spared",
                 "settled", "waited")

    def __init__(self, arrival, wanted, before):
        self.arrival, self.wanted = arrival, wanted     # wanted: until the end of its target delay
        self.tries, self.ran_at, self.ran_to = before   # ran: the first connect that may have run
        self.call = None
        self.due = self.settled = self.waited = 0.0     # its latest outcome, and the wait after one
        self.spared = False         # given up to keep room for others
        self.state = "new"          # new, turn (its key is taken), line, pause, out, over


class Dispatcher:
    def __init__(self, settings, seed):
        self.settings = settings
        self.dice = Dice(seed)
        self.classes = settings["Services"]
        self.allowed = settings["Allowed"]
        self.rules = settings["Rules"]
        self.family = settings["FamilyInfo"]
        self.apart = {kind for kind, own in enumerate(self.family.get("OwnLimits", ())) if own}
        self.fleet = max(1, settings["FleetSize"])
        self.marked = settings.get("Callers", {}).get("MarksRetry", False)
        for one in self.classes:
            if one["Effect"] not in ("safe", "keyed", "unsafe"):
                raise KeyError(f"Services[].Effect: unknown effect {one['Effect']!r}")
        needs = [(self.rules, "DrainGrace ColdFrom WarmAfter FallMultiple OverloadFor"),
                 (self.allowed, "MaxAttempts MaxOpen"), (self.family, "CallSlots")]
        needs += [(one, "GoalTime Deadline Value LateWorth") for one in self.classes]
        needs += [(one, "Window KeyScope") for one in self.classes if one["Effect"] == "keyed"]
        needs += [(self.rules, "TurnGap") for one in self.classes if one.get("ByArrival")]
        for held, names in needs:       # what a rule needs must be there before the first mail
            for name in names.split():
                held[name]
        self.safe = any(one["Effect"] == "safe" for one in self.classes)
        number = settings.get("SlotNo", int(self.dice.roll(0.0, 1e6)))      # its own among the senders
        self.place, self.away = number * GOLDEN % 1.0, number * SILVER % 1.0    # even, in each zone as well
        self.zone, self.zones = settings.get("Az"), max(1, len(settings.get("Zones", ())))
        self.turns = max(1.0, self.allowed.get("IdleClose", 0.0))
        self.margin = 2.0 * settings["Tick"] + 10.0     # the tick and the answer need this much of a lifetime
        self.arrivals, self.opened, self.began = 0, 0, None     # mails taken in, lines opened, first mail
        self.lines = []             # in the order of their first mail
        self.waiting = []           # those in which mails wait, in that order: an event costs what it touches
        self.slots = self.held = 0  # calls out, mails in hand
        self.pauses = []            # (due, arrival, mail)
        self.ends = []              # (give-up time, arrival, mail)
        self.keys = {}              # key: its mails in the order of arrival
        self.usual = None           # call time over all destinations
        self.recovers = 0.0         # share of calls after an unanswered one that go well
        self.crowded = set()        # kinds of receiver with a full table, which turned a connection away
        self.turned = {}            # kind of receiver: moving share of its calls that found no connection
        self.avoided = set()        # receivers with a trickle
        self.rests = {}             # key: until when work that may still go on keeps its turn

    # -- the three calls ------------------------------------------------------------------------------------

    def route(self, mail, now):
        """The ordinary path of a mail, from its arrival to its next connect."""
        if mail.dispatch_state is None:
            return self._enter(mail, now)
        course = mail.dispatch_state
        if course.state in ("out", "over"):
            return NOT_YET, 0.0
        if mail.is_withdrawn or course.spared or now >= self._end(mail):
            return self._finish(mail, now)
        if course.state == "pause" and now >= course.due:
            self._line_up(mail)
        line = mail.destination.queue
        if course.state != "line" or self._next_mail(line, now) is not mail:
            return NOT_YET, 0.0
        receiver = self._receiver(line, mail, now)
        if receiver is None:
            return NOT_YET, 0.0
        limit = min(self._timeout(self.gate(receiver), mail), mail.expires_at - now - self.settings["Tick"])
        self._take_out(line, mail)
        self._send(line, mail, receiver, now)
        return receiver, limit

    def leaves(self, mail, receiver, now):
        """Ms within which the last byte of a mail that was routed may leave; asked right before its first.

        Guards against a connection that comes up long after the choice: the window of a repeat may be over by
        then, a wait told or a drain listed."""
        if receiver.state != READY or now < self.gate(receiver).told_until:
            return 0.0
        return max(0.0, self._until(mail) - now)

    def settle(self, mail, outcome, now):
        """What to do after an outcome: classify first, repeat after."""
        course, call = mail.dispatch_state, mail.dispatch_state.call
        self._measure(mail, call, outcome, now)
        self._release(mail, call, now)
        course.state, course.settled = "settled", now
        if outcome not in PROOF and course.ran_at is None:
            course.ran_at, course.ran_to = call.sent, call.receiver
            heappush(self.ends, (self._end(mail), course.arrival, mail))    # its window may end first
        if outcome in RESTING:
            self._rest(mail, now)
        verdict, pause = (None, 0.0) if mail.is_withdrawn else self.classify(mail, outcome, now)
        if verdict == NOT_YET:
            self._pause_until(mail, now + pause)
            return NOT_YET, 0.0, self._leaves(call.receiver, now)
        return *self._finish(mail, now, verdict), self._leaves(call.receiver, now)

    def wait(self, now):
        """How long to wait, and the mail to ask `route` about then."""
        while self.pauses and self.pauses[0][0] <= now:
            mail = heappop(self.pauses)[2]
            if mail.dispatch_state.state == "pause" and mail.dispatch_state.due <= now:
                if mail.is_withdrawn:
                    return 0.0, mail
                self._line_up(mail)
        while self.ends and (self.ends[0][0] <= now or self.ends[0][2].dispatch_state.state == "over"):
            due, arrival, mail = heappop(self.ends)
            if mail.dispatch_state.state in ("out", "over"):
                continue
            if now >= self._end(mail):
                return 0.0, mail
            heappush(self.ends, (self._end(mail), arrival, mail))
        if self.waiting and self.held > ROOM * self.allowed["MaxOpen"] and (mail := self._least(now)):
            mail.dispatch_state.spared = True
            return 0.0, mail
        best, heaps = None, (self.ends, self.pauses)
        soonest = min((heap[0] for heap in heaps if heap), key=lambda entry: entry[0], default=None)
        for line in self.waiting:
            mail = self._next_mail(line, now)
            if mail.is_withdrawn:
                return 0.0, mail
            at = min((self._receiver_at(line, r, mail, now) for r in line.destination.receivers),
                     default=float("inf"))
            if at > now:
                if at < float("inf") and (soonest is None or at < soonest[0]):
                    soonest = at, 0, mail
            elif best is None or line.slot_time(now) < best[0].slot_time(now):
                best = line, mail
        if best:
            return 0.0, best[1]
        return (max(0.01, soonest[0] - now), soonest[2]) if soonest else (0.0, None)

    def first_in(self, queue_class, left, again, now):
        """When a mail was handed in first: where it comes again, what it lacks of its lifetime is its age.

        Guards against repeats taken for fresh ones: in an overload they are most of a line. Where clients
        mark repeats (`again`), one that comes unmarked with little time left is a hurried first one."""
        age = self.classes[queue_class]["Deadline"] - left if again or not self.marked else 0.0
        return now - max(0.0, age)

    def adopt(self, mail, receiver, sent, now):
        """Takes a connect over that the process before this one made, and that is out."""
        if mail.dispatch_state.state == "line":
            self._take_out(mail.destination.queue, mail)
        self._send(mail.destination.queue, mail, receiver, now)
        mail.dispatch_state.call.sent = sent

    # -- classification -------------------------------------------------------------------------------------

    def classify(self, mail, outcome, now):
        """What an outcome proves, and so what may follow: (RELAYED | NOT_YET | DEFERRED | BOUNCED, pause)."""
        course, effect = mail.dispatch_state, self.classes[mail.queue_class]["Effect"]
        if outcome == DELIVERED:
            return RELAYED, 0.0
        if effect == "unsafe" and course.ran_at is not None:
            return BOUNCED, 0.0                             # an unknown effect ends it
        pause = mail.retry_after_ms if outcome == REJECTED and mail.retry_after_ms > 0 else self._pause(course)
        if now + pause >= self._end(mail):
            return self._ending(mail), 0.0                  # a repeat that cannot fit
        return NOT_YET, pause

    def _ending(self, mail):
        """How a mail ends that is given up: deferred if a repeat by the client is harmless, else bounced."""
        one = self.classes[mail.queue_class]
        return DEFERRED if mail.dispatch_state.ran_at is None or one["Effect"] == "safe" else BOUNCED

    def _pause(self, course):
        """Exponential backoff with jitter, ms."""
        return max(BASE_PAUSE * 2.0 ** (course.tries - 1), 2.0 * course.waited) * self.dice.roll(0.5, 1.5)

    def _end(self, mail):
        """When a mail that is not out must be given up: its lifetime, its repeat's window, or at once.

        Guards against a restart: a once-only mail that was out, or one with no connect left, goes no more."""
        return self._until(mail) if mail.dispatch_state.tries < self.allowed["MaxAttempts"] else 0.0

    def _until(self, mail):
        """When the last byte of a call with it must have left: at the end of its lifetime or its window."""
        course, end, one = mail.dispatch_state, mail.expires_at - self.margin, self.classes[mail.queue_class]
        if course.ran_at is None or one["Effect"] == "safe":
            return end
        return min(end, course.ran_at + (one["Window"] if one["Effect"] == "keyed" else 0.0) - self.margin)

    def _finish(self, mail, now, verdict=None):
        course = mail.dispatch_state
        if course.state == "line":
            self._take_out(mail.destination.queue, mail)
        course.state = "over"
        self.held -= 1
        verdict = verdict or self._ending(mail)
        self._pass_turn(mail, now)
        return verdict, self.come_back(mail.destination, now) if verdict == DEFERRED else 0.0

    def come_back(self, destination, now):
        """When the client should hand a mail in again that was deferred or had no room."""
        if not self.allowed.get("RetryAfter"):
            return 0.0
        gates = [self.gate(r) for r in destination.receivers if r.state == READY]
        told = max((g.told_until - now for g in gates), default=0.0)
        return min(max(told, BASE_PAUSE) * self.dice.roll(1.0, 1.5), self.allowed.get("MaxRetryAfter", 0.0))

    # -- lines and turns ------------------------------------------------------------------------------------

    def _enter(self, mail, now):
        self.arrivals += 1
        self.began = now if self.began is None else self.began
        self.held += 1
        wanted = min(mail.arrived_at + self.classes[mail.queue_class]["GoalTime"], mail.expires_at)
        course = mail.dispatch_state = Course(self.arrivals, wanted, mail.prior_attempts)
        self.line(mail.destination).arrivals.add(now)
        heappush(self.ends, (self._end(mail), course.arrival, mail))
        if self.classes[mail.queue_class].get("ByArrival") and mail.ordering_key:
            turn = self.keys.setdefault(mail.ordering_key, deque())
            turn.append(mail)
            course.state = "turn"
            if len(turn) == 1:
                self._pause_until(mail, self.rests.get(mail.ordering_key, now))
            if course.ran_at is not None:       # its call may have been out until the process before ended
                self._rest(mail, now)
        else:
            self._line_up(mail)
        return NOT_YET, 0.0

    def _rest(self, mail, now):
        """Order: work of this mail may still go on, and the next of its key waits for it from now, whatever
        becomes of the mail meanwhile (repeated well, given up) and even when nobody waits yet."""
        if mail.ordering_key and self.classes[mail.queue_class].get("ByArrival"):
            self.rests[mail.ordering_key] = now + self.rules["TurnGap"]
            if len(self.rests) > 200:
                self.rests = {key: until for key, until in self.rests.items() if until > now}

    def _pass_turn(self, mail, now):
        """Order: the next mail of the key goes on, after the rest that work still going on asks for."""
        ordered = mail.ordering_key and self.classes[mail.queue_class].get("ByArrival")
        turn = self.keys.get(mail.ordering_key) if ordered else None
        if not turn or mail not in turn:
            return
        head = turn[0] is mail
        turn.remove(mail)
        if not turn:
            del self.keys[mail.ordering_key]
        elif head:
            self._pause_until(turn[0], self.rests.get(mail.ordering_key, now))

    def _pause_until(self, mail, due):
        mail.dispatch_state.state, mail.dispatch_state.due = "pause", due
        heappush(self.pauses, (due, mail.dispatch_state.arrival, mail))

    def line(self, destination):
        if destination.queue is None:
            self.opened += 1
            destination.queue = Line(destination, self.opened, len(self.classes), self.began)
            self.lines.append(destination.queue)
        return destination.queue

    def _line_up(self, mail):
        mail.dispatch_state.state, line = "line", mail.destination.queue
        line.waiting += 1
        if line.waiting == 1:
            insort(self.waiting, line, key=lambda one: one.order)
        queue = line.fresh[mail.queue_class]
        if queue and queue[-1].dispatch_state.wanted > mail.dispatch_state.wanted:
            insort(queue, mail, key=lambda m: m.dispatch_state.wanted)
        else:
            queue.append(mail)

    def _take_out(self, line, mail):
        for queue in (line.fresh[mail.queue_class], line.late[mail.queue_class]):
            if mail in queue:
                queue.remove(mail)
                line.waiting -= 1
                if line.waiting == 0:
                    self.waiting.remove(line)
                return

    def _next_mail(self, line, now):
        """The mail of a line that goes next: the one that loses most by waiting, then by its target delay."""
        best, most = None, None
        trial = self.safe and all(self._on_trial(r) for r in line.destination.receivers if r.state == READY)
        gate = line.destination.limits or next((r.limits for r in line.destination.receivers if r.limits), 0)
        usual = gate and gate.usual or self.usual or 0.0
        for at, one in enumerate(self.classes):
            fresh, late = line.fresh[at], line.late[at]
            while fresh and now + min(usual, one["GoalTime"] / 4.0) > fresh[0].dispatch_state.wanted:
                late.append(fresh.popleft())    # a usual call would bring it too late
            if line.waiting == 1 and (fresh or late):
                return (fresh or late)[0]
            for mail in fresh and fresh[0], late and late[0], late and late[-1]:
                if mail:
                    age = now - mail.arrived_at + URGENT / 2.0
                    loss = self._worth(one, mail, age) - self._worth(one, mail, age + URGENT)
                    rank = (trial and one["Effect"] == "safe", loss, -mail.dispatch_state.wanted)
                    if most is None or rank > most:
                        best, most = mail, rank
        return best

    def _least(self, now):
        """The mail that makes room: of the longest line, the one with least importance left to win.

        Guards against a line that cannot drain (an outage, a limit far below its traffic) taking all the room
        in hand, so that mails for every other destination are turned away at the door.
        """
        line = max(self.waiting, key=lambda one: one.waiting)
        mails = [(one, q[end]) for at, one in enumerate(self.classes) for q in (line.fresh[at], line.late[at])
                 for end in (0, -1) if q and self._ending(q[end]) == DEFERRED]
        return min(mails, default=(None, None), key=lambda held: (
            self._worth(*held, now - held[1].arrived_at + 2.0 * URGENT), -held[1].dispatch_state.arrival))[1]

    def _worth(self, one, mail, age):
        """The importance that a mail still wins if it is relayed at this age."""
        over = age - one["GoalTime"]
        if over <= 0:
            return one["Value"]
        if mail.arrived_at + age >= mail.expires_at:
            return 0.0
        if self.family.get("Decay") == "halves":
            return one["Value"] * max(one["LateWorth"], 0.5 ** (over / one["GoalTime"]))
        span = max(1.0, one["Deadline"] - one["GoalTime"])
        return one["Value"] * max(0.0, 1.0 - (1.0 - one["LateWorth"]) * over / span)

    # -- receivers, gates and slots -------------------------------------------------------------------------

    def health(self, receiver):
        receiver.health = receiver.health or Health()
        return receiver.health

    def _on_trial(self, receiver):
        return bool(self.health(receiver).trickle) and self.health(receiver).trickle.since is None

    def gate(self, receiver):
        owner = receiver if receiver.kind in self.apart else receiver.destination
        owner.limits = owner.limits or Gate()
        return owner.limits

    def _receiver(self, line, mail, now):
        """The receiver with a place free that has fewest calls out, of those the mail may go to.

        Of equals, its own zone first, then the one that answered last. Where hardly any of its calls overlap,
        its own zone only for the share of its mails that the receivers there are of all of them, else a zone
        with more than its share; then the one whose turn it is: each sender begins at its own place in an
        order alike at all of them, and goes on by one so seldom that most resting connections are used again.
        Guards against receivers that all senders prefer, the few of one zone that bear all of its senders,
        and others that stand idle, where each sender sees little of the load."""
        free = [r for r in line.destination.receivers if self._receiver_at(line, r, mail, now) <= now]
        if len(free) < 2:
            return free[0] if free else None
        ready = [r for r in line.destination.receivers if r.state == READY]
        lately = now - max(self.turns, 10000.0 / line.rate(now))        # or within ten mails of the line
        sparse = line.rate(now) * (self.gate(free[0]).usual or self.usual or 0.0) < 1000.0
        turn = now / self.turns / KEEPS
        many = {zone: self.zones * sum(r.zone == zone for r in ready) for zone in {r.zone for r in free}}
        home = not sparse or (self.away + turn) % 1.0 * len(ready) < many.get(self.zone, 0)
        ranks = [(
            not self._shared(r, now), self._refuses(r, now), r.health.failed_at > max(r.health.good_at, lately),
            mail.queue_class in r.health.bad_for, r.health.out,
            r.zone != self.zone if home else many[r.zone] <= len(ready)) for r in free]
        best = min(ranks)
        equals = sorted((r for r, rank in zip(free, ranks, strict=True) if rank == best),
                        key=lambda r: r.receiver_id)
        if not sparse:          # calls that overlap spread by themselves, and who answered last is alive
            return max(equals, key=lambda r: r.health.good_at)
        return equals[int(self.place * len(equals) + turn) % len(equals)]

    def _refuses(self, receiver, now):
        """Whether its latest answer, not long ago, turned a call away.

        Guards against a receiver that refuses for itself (it drains, is shut or gone): free at once again, it
        would draw in all mails, and set the whole destination's pace."""
        health = self.health(receiver)
        return health.refused_at > max(health.good_at, now - SHUT)

    def _receiver_at(self, line, receiver, mail, now):
        """When this receiver may get the mail, as far as is known; infinity: some news must come first."""
        if receiver.state != READY:
            return float("inf")
        course = mail.dispatch_state
        one = self.classes[mail.queue_class]
        scope = one.get("KeyScope") if one["Effect"] == "keyed" else "all"
        if course.ran_at is not None and scope != "all" and receiver is not course.ran_to \
                and not (scope == "zone" and receiver.zone == course.ran_to.zone >= 0):     # -1: not known
            return float("inf")
        if receiver.health is None:
            self._meet(receiver, now)
        gate, health = self.gate(receiver), self.health(receiver)
        if self._shared(receiver, now):
            return now
        ready = sum(r.state == READY for r in receiver.destination.receivers)
        if self.slots >= self.family["CallSlots"] or gate.out >= gate.bound(now, ready) \
                or health.out and self._on_trial(receiver):
            return float("inf")
        return max([now, gate.told_until] + [pace.next_at for pace in (gate.pace, health.trickle) if pace])

    def _shared(self, receiver, now):
        """Whether a mail sent now joins a call that left in this reply; a first trial goes alone."""
        health, most = self.health(receiver), self.family.get("BundleMax", ())
        call = health.call
        return (call is not None and call.sent == now and receiver.kind < len(most)
                and call.mails < most[receiver.kind] and call.open == call.mails
                and not self._on_trial(receiver))

    def _leaves(self, receiver, now):
        """Whether idle connections to a receiver should close.

        Guards against receivers that take few connections, idle ones counted: with many senders these stand
        idle at those that sent last, or hold mail for a pace, and the calls of the others are turned away."""
        line = receiver.destination.queue
        if self.health(receiver).out or receiver.kind not in self.crowded:
            return False
        return not line.waiting or self.turned.get(receiver.kind, 0.0) > JAMMED and (
            now < self._receiver_at(line, receiver, self._next_mail(line, now), now))

    def _timeout(self, gate, mail):
        """The destination's figure: learned from its usual time, twice where a time-out ends the mail.

        Of one that has answered nothing yet it is the target delay at least. Guards against senders that each
        give a slow one up at their first call: it works for callers that are gone, and for nobody else."""
        usual = gate.usual or self.usual        # one that has answered nothing yet is taken to be like others
        if usual is None:
            return FIRST_TIMEOUT
        times = 2.0 if self.classes[mail.queue_class]["Effect"] == "unsafe" else 1.0
        learned = max(SILENT_LEAST, TIMEOUT_TIMES * usual)
        if gate.usual is None:
            learned = max(learned, self.classes[mail.queue_class]["GoalTime"])
        return min(FIRST_TIMEOUT, learned * times * 2.0 ** gate.timeouts)

    def _send(self, line, mail, receiver, now):
        course, gate, health = mail.dispatch_state, self.gate(receiver), self.health(receiver)
        line.slot_time(now)
        course.state, course.waited = "out", now - course.settled if course.tries else 0.0
        course.tries += 1
        if self._shared(receiver, now):
            course.call = health.call
            course.call.mails += 1
            course.call.open += 1
            if health.trickle:      # it weighs there as well, if less than a call
                health.trickle.next_at = health.trickle.after(health.trickle.next_at, RIDER)
            return
        call = course.call = health.call = Call(receiver, now, health.unanswered)
        call.mails = call.open = 1
        gate.calls.append(call)
        self.slots += 1
        line.out += 1
        gate.out += 1
        health.out += 1
        if gate.pace:
            gate.pace.next_at = max(gate.pace.after(gate.pace.next_at, 1.0), now)
            if gate.pace.now(now) > 4.0 * self._share(receiver, now):
                gate.pace = None
        if health.trickle:
            health.trickle.next_at = health.trickle.after(now, self.dice.roll(0.8, 1.4))

    def _release(self, mail, call, now):
        line = mail.destination.queue
        line.slot_time(now)
        call.open -= 1
        if call.open == 0:
            self.slots -= 1
            line.out -= 1
            self.gate(call.receiver).out -= 1
            self.health(call.receiver).out -= 1

    # -- what outcomes tell of a destination ----------------------------------------------------------------

    def _measure(self, mail, call, outcome, now):
        gate, health = self.gate(call.receiver), self.health(call.receiver)
        sparse = mail.destination.queue.rate(now) * self.rules["OverloadFor"] < 1000.0
        if call.again and not call.counted and outcome in (DELIVERED, *LOST):
            self.recovers += 0.2 * ((outcome == DELIVERED) - self.recovers)
        no_room = outcome == CONNECT_FAILED and mail.duration_ms < LONG     # a connection refused at once is an answer
        health.unanswered = health.unanswered and outcome not in (DELIVERED, ERROR)
        if outcome == ERROR or outcome in LOST:
            health.failed_at = now
        if not call.counted:
            turned, kind = self.turned.get(call.receiver.kind, 0.0), call.receiver.kind
            self.turned[kind] = turned + 0.05 * (no_room - turned)
        if outcome == DELIVERED:
            gate.goods.add(now)
            gate.timeouts, gate.refusals, gate.good_at = 0, 0, now
            if not health.trickle and now - health.unreached_at < LONG:     # it had refused a connection:
                self.crowded.add(call.receiver.kind)                        # a full table, no crash
            self.usual = mail.duration_ms if self.usual is None else self.usual + 0.05 * (mail.duration_ms - self.usual)
            before = gate.usual or self.usual
            gate.usual = before + (0.1 if gate.usual else 0.5) * (mail.duration_ms - before)
            # a good answer makes up for one failure: a receiver that fails most calls is out, if not all
            health.fails, health.good_at = 0 if self._lossy() else max(0, health.fails - 1), now
            health.bad_for.discard(mail.queue_class)
            for pace in (gate.pace, health.trickle):
                if pace:
                    pace.goods += 1
                if pace and pace.since is None:     # it came back between the trial before and this one
                    failed = max(health.failed_at, health.refused_at) if pace is health.trickle else now
                    pace.since = (max(failed, pace.made) + now) / 2.0
                    pace.next_at = min(pace.next_at, pace.after(now, self.dice.roll(0.2, 1.0)))
            if health.trickle and (self._lossy()    # then the way is at fault, not the receiver
                                   or now - health.trickle.since > self.rules["WarmAfter"]):
                health.trickle = None
                self.avoided.discard(call.receiver)
        elif outcome == REJECTED or no_room:
            alone = health.good_at <= health.refused_at     # nothing good since its last refusal: for itself
            health.refused_at = now
            in_a_row = no_room and gate.failed_at > gate.good_at    # the second failure, nothing good between
            if outcome == REJECTED:
                if mail.retry_after_ms > 0:
                    gate.told_until = max(gate.told_until, now + mail.retry_after_ms + self.dice.roll(1.0, 50.0))
                if (gate.pace is None or call.sent >= gate.pace.made) and (not alone or all(
                        self._refuses(r, now) for r in mail.destination.receivers
                        if r.state == READY and self.gate(r) is gate)):
                    self._slow_down(call.receiver, gate, now)
            else:
                health.unreached_at = gate.failed_at = now
                if sparse:      # it will hardly see what follows, and needs no idle connections
                    self.crowded.add(call.receiver.kind)
            if gate.refusals == 0:
                gate.refused_at = now
            gate.refusals += 1          # of the destination, not of the receiver that spoke for it
            shut = gate.refusals >= 3 and now - gate.refused_at > SHUT or mail.retry_after_ms > LONG_TOLD
            down = in_a_row and sparse and self.turned[call.receiver.kind] < JAMMED     # no full table
            if shut or down:
                self._set_aside(call.receiver, health, now, sparse)
            for receiver in mail.destination.receivers if down else ():
                other = receiver.health      # not yet met: its first look sets it aside
                if other and not other.trickle and other.unreached_at > other.good_at \
                        and self.gate(receiver) is gate:
                    self._set_aside(receiver, other, now, sparse)
        elif outcome in (ERROR, *LOST) and not call.counted:
            health.bad_for.add(mail.queue_class)
            gate.failed_at = now
            call.counted = True         # a bundle's mails share one fate, and tell of it once
            if (outcome == TIMED_OUT and call.sent >= max(gate.timed_out_at, gate.good_at)
                    and not self._lossy()):     # one that answered others since is not slow
                gate.timeouts, gate.timed_out_at = min(gate.timeouts + 1, 2), now
            long = mail.duration_ms >= LONG and outcome != ERROR     # says more than a quick failure
            enough = LOSS if self._lossy() else 1 if long and sparse else 2
            for receiver in mail.destination.receivers:     # the others there share the doubt, less by one
                other = self.health(receiver)
                if other.good_at < call.sent and (receiver is call.receiver or long):
                    other.fails, other.unanswered = min(other.fails + 1, LOSS), outcome != ERROR
                    if other.fails >= enough + (receiver is not call.receiver):
                        self._set_aside(receiver, other, now)

    def _share(self, receiver, now, cold=0, extra=0.0):
        """This sender's part of a destination's traffic: its own, drawn to its part of a limit reported or
        listed, late, rough and for all senders together; for one of so many cold routes the less."""
        listed = receiver.weight if self.settings.get("Weights") in ("nominal", "rough") else 0.0
        limit = receiver.load_report.get("limit") or listed
        came = receiver.destination.queue.rate(now, extra) / max(1, cold)
        if limit <= 0.0:
            return came
        return min(came, limit / self.fleet) if cold else (came + limit / self.fleet) / 2.0

    def _slow_down(self, receiver, gate, now):
        """A refusal sets a pace: what was accepted lately, or half the last pace, from the end of the wait.

        Guards against what one refusal or told wait holds falling due together, at one sender or at hundreds,
        and against refused calls that use up a limit for good: where one that tells no wait meets a pace of
        which hardly a call went well, the next grows half as fast: senders that see little would overrun it.
        """
        came, start = self._share(receiver, now), max(now, gate.told_until)
        accepted = sum(gate.goods.recent(now, 4)) / 2.25
        rate = 0.5 * gate.pace.now(now) if gate.pace else came
        doubles = max(PACE_DOUBLES, 1000.0 / came)
        if gate.pace and gate.pace.goods < FEW and gate.told_until <= now \
                and gate.pace.now(now) > 1.4 * gate.pace.rate:      # it was its growth that met the limit
            slowest = max(doubles, min(SLOWEST * doubles, CALLS * 1000.0 / came))
            doubles = min(2.0 * gate.pace.doubles, slowest)
        gate.pace = Pace(max(accepted, rate, LEAST_SHARE * came), doubles, now)
        gate.pace.next_at = gate.pace.after(start, self.dice.roll(0.3, 0.9))

    def _meet(self, receiver, now):
        """The first look at a receiver; where limits are shared, of a destination that is known already.

        Guards against an outage in which the list replaces receivers: what all senders hold would go at once
        to one that no sender has seen fail, of a destination that is cold."""
        health, gate = self.health(receiver), self.gate(receiver)
        if gate is receiver.destination.limits and (gate.failed_at > gate.good_at or any(
                r.health and self._on_trial(r) for r in receiver.destination.receivers)):
            self._set_aside(receiver, health, now)

    def _lossy(self):
        """Whether calls after an unanswered one mostly go well: then failures in a row are no outage.

        Guards against loss on the way, lost answers, or a fault of the sender's own: all else is well.
        """
        return self.recovers >= RECOVERS

    def _set_aside(self, receiver, health, now, sparse=False):
        """Opens a receiver's circuit breaker: a trickle of trials, in sum under what a cold one bears.

        What one bears in a window is taken of the line's own traffic: it adds up to the same for hundreds.
        Where a sparse line is refused, its rate is estimated from the mails before (n - 1 + a half of them,
        the Jeffreys estimate), and a refused trial is followed by no shorter gap than a good one.
        Guards against lines that are all looked at right after an arrival, and so read too high in sum.
        """
        rules = self.rules
        ready = max(1, sum(r.state == READY for r in receiver.destination.receivers))
        apart = receiver.kind in self.apart     # then limit and outage are the receiver's own
        least = 1000.0 / rules["OverloadFor"] / max(1.0, self.fleet / CROWD)
        cold = rules["ColdFrom"] + (1.0 - rules["ColdFrom"]) * rules["OverloadFor"] / rules["WarmAfter"] / 2.0
        share = self._share(receiver, now, ready if apart else 1, 0.5 if sparse else 0.0)
        bears = 0.8 * rules["FallMultiple"] * cold * share
        warms = rules["WarmAfter"] * cold / max(0.01, 1.0 - rules["ColdFrom"])
        first_gap = (0.8, 1.4) if sparse and self._on_trial(receiver) else (0.2, 1.0)
        health.trickle = Trickle(max(least, bears) / (1 if apart else ready), warms, now)
        self.avoided.add(receiver)
        health.fails = 0        # what it rises by is weighed anew
        start = max(now, self.gate(receiver).told_until)
        health.trickle.next_at = health.trickle.after(start, self.dice.roll(*first_gap))
