"""Drives a dispatcher with a clock that the test controls."""

from dewpin.core import model
from dewpin.core.dispatcher import Dispatcher


class DispatcherDriver:
    """A dispatcher with one destination, and the result of each message.

    messages: all submitted messages.
    in_flight: maps messages to (receiver, send time, time-out in ms).
    decisions, ended_at, retry_after_ms: by message, how and when it ended, and the retry-after for the client.
    sends: (time, message, receiver) of each attempt.
    on_decision: called with each receiver or decision, and the message.
    """

    def __init__(self, settings, receivers=1, zones=1, seed=7):
        self.settings, self.now = settings, 1000.0
        self.dispatcher = Dispatcher(settings, seed)
        self.destination = model.Destination(1)
        for receiver_id in range(receivers):
            model.Receiver(receiver_id, self.destination, zone=receiver_id % zones)
        self.messages, self.in_flight, self.sends = [], {}, []
        self.decisions, self.ended_at, self.retry_after_ms = {}, {}, {}
        self.on_decision = lambda decision, message: None

    def submit(self, time_left_ms=16000.0, dispatches=True, destination=None, **facts):
        """Submits a new message; it is sent at once if possible, unless `dispatches` is false."""
        message = model.Message(
            len(self.messages) + 1, destination or self.destination, self.now, self.now + time_left_ms, **facts
        )
        self.messages.append(message)
        self._apply(message, self.dispatcher.dispatch(message, self.now))
        if dispatches:
            self.dispatch_due()
        return message

    def dispatch_due(self):
        """Dispatches until nothing is due; returns when the next message is due, or None."""
        for _ in range(10000):
            delay_ms, message = self.dispatcher.next_due(self.now)
            if message is None or delay_ms > 0:
                return self.now + delay_ms if message else None
            self._apply(message, self.dispatcher.dispatch(message, self.now))
        raise AssertionError("the dispatcher always reports a message as due")

    def end_attempt(self, message, outcome, duration_ms, retry_after_ms=0.0, advances=True):
        """Ends an attempt, after its duration unless `advances` is false; returns the decision on the message."""
        ends_at = self.in_flight[message][1] + duration_ms
        if advances and self.now < ends_at:
            self.advance(ends_at - self.now)
        del self.in_flight[message]
        message.duration_ms, message.retry_after_ms = duration_ms, retry_after_ms
        decision = self._apply(message, self.dispatcher.record_outcome(message, outcome, self.now))
        self.dispatch_due()
        return decision

    def restart(self, attempts, executed, down_ms):
        """Simulates a crash of the sender and a restart with the pending messages from its journal."""
        for message, (receiver, sent_at, _) in self.in_flight.items():
            executed.setdefault(message, (receiver, sent_at))  # in flight, so possibly executed
        self.in_flight.clear()
        self.now += down_ms
        self.dispatcher = Dispatcher(self.settings, int(self.now))
        for destination in {message.destination for message in self.messages}:
            destination.queue = destination.limits = None
            for receiver in destination.receivers:
                receiver.health = receiver.limits = None
        pending = [one for one in self.messages if one not in self.decisions and not one.is_withdrawn]
        for message in pending:
            receiver, sent_at = executed.get(message, (None, None))
            message.dispatch_state = None
            message.prior_attempts = model.PriorAttempts(attempts.get(message, 0), sent_at, receiver)
            self._apply(message, self.dispatcher.dispatch(message, self.now))

    def receiver_of(self, message):
        """Returns the receiver that a message is in flight to, or None."""
        return self.in_flight[message][0] if message in self.in_flight else None

    def advance(self, ms):
        """Advances the clock."""
        self.advance_until(lambda: False, ms)

    def advance_until(self, condition, ms):
        """Advances the clock until a condition holds, by at most `ms`."""
        end_at = self.now + ms
        while not condition() and self.now < end_at:
            due_at = self.dispatch_due()
            if not condition():
                self.now = min(end_at, max(self.now + 0.5, due_at)) if due_at is not None else end_at
        self.dispatch_due()

    def keep_traffic(self, ms, every_ms, duration_ms, outcome=model.Outcome.DELIVERED):
        """Submits messages at a constant rate and ends each attempt with the same outcome."""
        end_at = self.now + ms
        while self.now < end_at:
            self.submit()
            for message, (_, sent_at, _) in list(self.in_flight.items()):
                if self.now >= sent_at + duration_ms:
                    self.end_attempt(message, outcome, duration_ms, advances=False)
            self.advance(every_ms)

    def _apply(self, message, result):
        target = getattr(result, "receiver", None) or result.decision
        if isinstance(target, model.Receiver):
            assert message not in self.in_flight and message not in self.decisions
            self.in_flight[message] = target, self.now, result.timeout_ms
            self.sends.append((self.now, message, target))
        elif target != model.Decision.NOT_YET:
            assert message not in self.decisions
            self.decisions[message], self.ended_at[message] = target, self.now
            self.retry_after_ms[message] = result.retry_after_ms
        self.on_decision(target, message)
        return target
