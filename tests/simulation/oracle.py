"""What must hold, judged from what operators, clients and receivers saw. Knows nothing of the programs' code."""

from collections import defaultdict
from dataclasses import dataclass, field

from .contact import Contact

ACKNOWLEDGED, REFUSED = 200, 412


@dataclass(eq=False)
class Order:
    """A configuration that an operator sends: `mark` stands for its body, with `filling` bytes more than needed."""

    base: int
    generation: int
    mark: str
    filling: int = 0
    sent_s: float = 0.0
    acknowledged_s: float | None = None
    refused_s: float | None = None

    @property
    def what(self):
        return self.generation, self.mark

    def __str__(self):
        return f"{self.generation}/{self.mark} on {self.base}"


@dataclass
class Program:
    """An agent program: its budget, and its turns as its client saw them."""

    name: str
    budget: int
    most: int
    handed_out: int = 0
    turns: dict = field(default_factory=dict)  # id -> (input + output, previous, acknowledged_s)
    attempts: dict = field(default_factory=dict)  # id -> (ended_s or None, tokens, whole)


@dataclass(frozen=True)
class Served:
    """A request at a front: sent then, met this configuration (number and mark) in this life of the process."""

    ip: str
    life: int
    sent_s: float
    handled_s: float
    ready: bool
    met: tuple | None


class Oracle:
    """Collects what was seen, and tells what it breaks. `bounds`: the figures of the rules."""

    def __init__(self, bounds, now):
        self.bounds = bounds
        self.now = now
        self.contact = Contact(bounds["contact_ms"] / 1000, now)
        self.orders = []
        self.programs = []
        self.served = []
        self.broken = []
        self.figures = defaultdict(float)
        self.healed_s = None

    def breaks(self, rule, text):
        self.broken.append(f"{rule} at {self.now():.3f}: {text}")

    # Trouble

    def machine_started(self, ip, kind):
        self.contact.started(ip, kind)

    def machine_ended(self, ip):
        self.contact.ended(ip)

    def machine_removed(self, ip):
        self.contact.removed(ip)

    def trouble_began(self, ip, what):
        self.contact.trouble_began(ip)

    def trouble_ended(self, ip, what):
        self.contact.trouble_ended(ip)

    def slowed(self, ip, is_on):
        if is_on:
            self.contact.trouble_began(ip, slow=True)
        else:
            self.contact.trouble_ended(ip)

    def cut_began(self, source, target):
        self.contact.cut_began((source, target))

    def cut_ended(self, source, target):
        self.contact.cut_ended((source, target))

    def healed(self):
        self.healed_s = self.now()

    # Orders

    def order_sent(self, order):
        if order not in self.orders:
            order.sent_s = self.now()
            self.orders.append(order)

    def order_answered(self, order, status):
        """The clear answer of one try; other answers say nothing."""
        if status == ACKNOWLEDGED:
            self._acknowledged(order)
        elif status == REFUSED:
            self._refused(order)
        elif 400 <= status < 500:
            self.breaks("CONFIG", f"{order} was answered {status}")

    def _acknowledged(self, order):
        if order.refused_s is not None:
            self.breaks("CONFIG", f"{order} was acknowledged after it was refused")
        for other in self.orders:
            taken = other.acknowledged_s is not None and other.what != order.what
            if taken and (other.base == order.base or other.generation == order.generation):
                self.breaks("CONFIG", f"{order} and {other} were both acknowledged")
        if order.acknowledged_s is None:
            order.acknowledged_s = self.now()
            self.figures["acknowledged"] += 1
        for other in self.orders:  # the same order of another operator
            if other.what == order.what and other.base == order.base and other.acknowledged_s is None:
                other.acknowledged_s = self.now()

    def _refused(self, order):
        if order.refused_s is None:
            order.refused_s = self.now()
            self.figures["refused"] += 1
        if order.acknowledged_s is not None and not self._others_sent_on(order):
            self.breaks("CONFIG", f"{order} was refused, though acknowledged with no change since")

    def _others_sent_on(self, order):
        return any(other.base == order.generation for other in self.orders)

    def newest_acknowledged(self, until_s=float("inf")):
        taken = [one for one in self.orders if one.acknowledged_s is not None and one.acknowledged_s <= until_s]
        return max(taken, key=lambda one: one.generation, default=None)

    def read_answered(self, sent_s, met):
        """What Config.Get told at any time at any machine, in touch or not: nothing older than what was acknowledged
        before it was asked. The rules leave `config_apply_ms` more."""
        self.figures["reads"] += 1
        newest = self.newest_acknowledged(sent_s)
        if newest is not None and met[0] < newest.generation:
            self.breaks("CONFIG", f"{met[0]} was read, {newest} was acknowledged before")
        self._check_in_force(met, "read")

    def read_refused(self, sent_s, status):
        """Config.Get answered without a configuration: 404 says that there is none, a 5xx says nothing."""
        self.figures["reads_refused"] += 1
        newest = self.newest_acknowledged(sent_s)
        if newest is not None and status < 500:
            self.breaks("CONFIG", f"a read was answered {status}, {newest} was acknowledged before")

    def read_back(self, status, met):
        """What Config.Get told, in calm times."""
        newest = self.newest_acknowledged()
        if status != ACKNOWLEDGED or met is None:
            if newest is not None:
                self.breaks("LOST", f"the configuration can't be read back: {status}")
            return
        if newest is not None and met[0] < newest.generation:
            self.breaks("LOST", f"{met[0]} was read back, {newest} was acknowledged")
        self._check_in_force(met, "read back")

    def _check_in_force(self, met, where):
        sent = [order for order in self.orders if order.what == met]
        if not sent:
            self.breaks("CONFIG", f"{met} was never sent ({where})")
        elif all(order.refused_s is not None and order.acknowledged_s is None for order in sent):
            self.breaks("CONFIG", f"{sent[0]} was refused and is in force ({where})")
        newest = [one for one in self.orders if one.acknowledged_s is not None and one.generation == met[0]]
        if newest and all(one.what != met for one in newest):
            self.breaks("CONFIG", f"{met} is in force, {newest[0]} was acknowledged under its number ({where})")

    # Requests at fronts

    def request_served(self, served):
        self.served.append(served)

    def judge_served(self):
        """To be called at the end: which configurations requests met."""
        newest_met = {}
        checked, first_ready = set(), set()
        for one in self.served:
            if one.met is None:
                continue
            if one.met not in checked:
                checked.add(one.met)
                self._check_in_force(one.met, f"at {one.ip}")
            life = one.ip, one.life
            if one.ready and life not in first_ready:
                first_ready.add(life)
                self._judge_first(one)
            if one.met[0] < newest_met.get(life, 0):
                self.breaks(
                    "CONFIG", f"{one.ip} went back to {one.met[0]} from {newest_met[life]} ({one.handled_s:.3f})"
                )
            newest_met[life] = max(newest_met.get(life, 0), one.met[0])
        self._judge_ages()

    def _judge_first(self, served):
        """A front that has just started is ready only on what a majority has confirmed since its start."""
        newest = self.newest_acknowledged(self.contact.life_began_s(served.ip, served.handled_s))
        if newest is not None and served.met[0] < newest.generation:
            self.breaks("FRESH", f"{served.ip} was ready with {served.met[0]} after a start later than {newest}")

    def _judge_ages(self):
        taken = sorted((one for one in self.orders if one.acknowledged_s is not None), key=lambda one: one.generation)
        for served in self.served:
            if served.met is None:
                continue
            newer = [one for one in taken if one.generation > served.met[0]]
            if newer:
                self._judge_age(served, min(newer, key=lambda one: one.acknowledged_s))

    def _judge_age(self, served, order):
        age_s = served.sent_s - order.acknowledged_s
        apply_s = self.bounds["config_apply_ms"] / 1000
        if served.ready:
            self.figures["oldest_served_ready_s"] = max(self.figures["oldest_served_ready_s"], age_s)
        if age_s <= apply_s:
            return
        if self.contact.in_touch(served.ip, served.sent_s):
            self.breaks(
                "CONFIG", f"{served.ip} served {served.met[0]} {age_s:.3f} s after {order} ({served.sent_s:.3f})"
            )
        elif age_s > apply_s + self.bounds["skew_ms"] / 1000:
            if self.contact.is_outer(served.ip, order.acknowledged_s, served.sent_s):
                self.breaks("CONFIG", f"{served.ip}, outer, served {served.met[0]} {age_s:.3f} s after {order}")

    # Programs

    def program(self, name, budget, most):
        program = Program(name, budget, most)
        self.programs.append(program)
        return program

    def turn_sent(self, program, turn):
        program.attempts[turn] = (None, program.most, False)

    def tokens_handed_out(self, program, turn, tokens):
        program.handed_out += tokens
        if program.handed_out > program.budget + program.most:
            self.breaks("BUDGET", f"{program.name}: {program.handed_out} of {program.budget}, {program.most} in a turn")

    def turn_ended(self, program, turn, previous, tokens, body):
        """A turn was answered whole."""
        program.attempts[turn] = (self.now(), tokens, True)
        program.turns[turn] = (body, previous, self.now())
        self.figures["turns"] += 1

    def turn_refused(self, program, turn, kind, previous, retain_s):
        """A turn was answered with a failure of the system's own."""
        program.attempts[turn] = (self.now(), 0, False)
        self.figures[f"turns_{kind}"] += 1
        if kind == "turn_unknown":
            acknowledged = program.turns.get(previous)
            if acknowledged is not None and self.now() - acknowledged[2] < retain_s:
                self.breaks("LOST", f"{program.name}: {previous}, acknowledged at {acknowledged[2]:.3f}, is unknown")
        if kind == "budget_spent":
            self._judge_spent(program, turn)

    def _judge_spent(self, program, turn):
        settle_s = self.bounds["settle_ms"] / 1000
        most = 0
        for other, (ended_s, tokens, _) in program.attempts.items():
            if other != turn:
                has_settled = ended_s is not None and ended_s < self.now() - settle_s
                most += tokens if has_settled else program.most
        if most + program.most <= program.budget:
            self.figures["spent_too_early"] += 1
            if self.contact.is_calm(self.now() - 10.0, self.now()):
                self.breaks("BUDGET", f"{program.name}: 402 with {most} of {program.budget} gone, in calm times")

    def chain_read(self, program, last, body):
        """The body of a chain that a receiver would get."""
        expected = b""
        turn = last
        while turn is not None:
            if turn not in program.turns:
                return
            text, turn, _ = program.turns[turn]
            expected = text + expected
        if body != expected:
            self.breaks("UNASKED", f"{program.name}: the chain of {last} has {len(body)} bytes, not {len(expected)}")
