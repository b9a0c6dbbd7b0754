"""Drives a module as the adapter does, with a clock that the tests move, and keeps what it saw."""
from dewpin import model
from dewpin.decide import Dispatcher


def settings(effects=("safe",), window=5000.0, scope="all", order=False, bundle=1, slots=8, room=200, fleet=2,
             apart=False, attempts=6):
    return {
        "Allowed": {"MaxAttempts": attempts, "MaxOpen": room, "MaxRetryAfter": 2000.0, "RetryAfter": True,
                    "MayDuplicate": False, "ConnectTimeout": 1500.0},
        "FamilyInfo": {"BundleMax": [bundle], "CallSlots": slots, "Decay": "line", "OwnLimits": [apart]},
        "FleetSize": fleet, "Tick": 5.0, "Az": 0,
        "Rules": {"AnswerSlack": 20.0, "ColdFrom": 0.2, "DrainGrace": 1000.0, "FallMultiple": 2.0,
                  "OverloadFor": 2000.0, "TurnGap": 100.0, "WarmAfter": 9000.0},
        "Services": [{"Deadline": 16000.0, "Effect": effect, "GoalTime": 2000.0, "KeyScope": scope, "Value": 1.0,
                      "LateWorth": 0.4, "Window": window, "ByArrival": order} for effect in effects]}


class Driver:
    def __init__(self, settings, receivers=1, zones=1, seed=7):
        self.settings, self.module, self.now, self.count = settings, Dispatcher(settings, seed), 1000.0, 0
        self.destination = model.Destination(1)
        for ident in range(receivers):
            model.Receiver(ident, self.destination, zone=ident % zones)
        self.mails, self.out, self.due = [], {}, []     # out: mail -> (receiver, sent, limit)
        self.ended, self.ended_at, self.advice, self.sends = {}, {}, {}, []
        self.check = lambda what, mail: None            # called after each answer

    def mail(self, left=16000.0, ask=True, destination=None, **facts):
        self.count += 1
        mail = model.Mail(self.count, destination or self.destination, self.now, self.now + left, **facts)
        self.mails.append(mail)
        self.note(mail, self.module.route(mail, self.now))
        if ask:
            self.ask()
        return mail

    def note(self, mail, answer):
        what, ms = answer
        if isinstance(what, model.Receiver):
            assert mail not in self.out and mail not in self.ended
            self.out[mail] = what, self.now, ms
            self.sends.append((self.now, mail, what))
        elif what != model.NOT_YET:
            assert mail not in self.ended
            self.ended[mail], self.ended_at[mail], self.advice[mail] = what, self.now, ms
        self.check(what, mail)
        return what

    def ask(self):
        """Asks until nothing is due; returns the time of the next question."""
        for _ in range(10000):
            ms, mail = self.module.wait(self.now)
            if mail is None or ms > 0:
                return self.now + ms if mail else None
            self.note(mail, self.module.route(mail, self.now))
        raise AssertionError("the module never settles")

    def outcome(self, mail, outcome, took, told=0.0, run=True):
        if run and self.now < self.out[mail][1] + took:
            self.run(self.out[mail][1] + took - self.now)
        del self.out[mail]
        mail.took, mail.told = took, told
        what = self.note(mail, self.module.settle(mail, outcome, self.now)[:2])
        self.ask()
        return what

    def sent(self, mail):
        return self.out[mail][0] if mail in self.out else None

    def run(self, ms):
        self.run_until(lambda: False, ms)

    def run_until(self, done, ms):
        end = self.now + ms
        while not done() and self.now < end:
            at = self.ask()
            if not done():
                self.now = min(end, max(self.now + 0.5, at)) if at is not None else end
        self.ask()

    def keep_answering(self, ms, every, took, outcome=model.DELIVERED):
        end = self.now + ms
        while self.now < end:
            self.mail()
            for mail, (_, sent, _) in list(self.out.items()):
                if self.now >= sent + took:
                    self.outcome(mail, outcome, took, run=False)
            self.run(every)
