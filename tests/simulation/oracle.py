"""Checks the safety and recovery rules against what operators, clients and receivers observed.

Does not depend on the programs' code.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from .contact import Contact

ACKNOWLEDGED, REFUSED = 200, 412


@dataclass(eq=False)
class ConfigurationChange:
    """A configuration that an operator sends. `body_id` identifies its body, which has `padding_bytes` of padding."""

    base: int
    generation: int
    body_id: str
    padding_bytes: int = 0
    sent_s: float = 0.0
    acknowledged_s: float | None = None
    refused_s: float | None = None

    @property
    def configuration(self):
        return self.generation, self.body_id

    def __str__(self):
        return f"{self.generation}/{self.body_id} on {self.base}"


@dataclass
class Program:
    """An agent program: its token budget, and its turns as observed by its client."""

    name: str
    budget: int
    max_tokens: int
    emitted_tokens: int = 0
    turns: dict = field(default_factory=dict)  # turn id -> (input + output, previous turn, acknowledged_s)
    attempts: dict = field(default_factory=dict)  # turn id -> (ended_s or None, tokens, is complete)


@dataclass(frozen=True)
class ServedRequest:
    """A request at a front: when it was sent, and the configuration (generation and body id) and process that served
    it."""

    ip: str
    process_number: int
    sent_s: float
    handled_s: float
    ready: bool
    configuration: tuple | None


class Oracle:
    """Collects observations and records rule violations. `bounds`: the limits of the rules, named as in settings."""

    def __init__(self, bounds, now):
        self.bounds = bounds
        self.now = now
        self.contact = Contact(bounds["contact_ms"] / 1000, now)
        self.changes = []
        self.programs = []
        self.served_requests = []
        self.violations = []
        self.statistics = defaultdict(float)
        self.healed_s = None

    def report_violation(self, rule, text):
        self.violations.append(f"{rule} at {self.now():.3f}: {text}")

    # Faults

    def machine_started(self, ip, kind):
        self.contact.started(ip, kind)

    def machine_ended(self, ip):
        self.contact.ended(ip)

    def machine_removed(self, ip):
        self.contact.removed(ip)

    def fault_began(self, ip, kind):
        self.contact.fault_began(ip)

    def fault_ended(self, ip, kind):
        self.contact.fault_ended(ip)

    def set_slow(self, ip, is_on):
        if is_on:
            self.contact.fault_began(ip, slow=True)
        else:
            self.contact.fault_ended(ip)

    def link_cut(self, source, target):
        self.contact.link_cut((source, target))

    def link_restored(self, source, target):
        self.contact.link_restored((source, target))

    def healed(self):
        self.healed_s = self.now()

    # Configuration changes

    def change_sent(self, change):
        if change not in self.changes:
            change.sent_s = self.now()
            self.changes.append(change)

    def change_answered(self, change, status):
        """Record the reply to one attempt; statuses other than 4xx and success leave the outcome open."""
        if status == ACKNOWLEDGED:
            self._record_acknowledged(change)
        elif status == REFUSED:
            self._record_rejected(change)
        elif 400 <= status < 500:
            self.report_violation("CONFIG", f"{change} was answered {status}")

    def _record_acknowledged(self, change):
        if change.refused_s is not None:
            self.report_violation("CONFIG", f"{change} was acknowledged after it was rejected")
        for other in self.changes:
            was_acknowledged = other.acknowledged_s is not None and other.configuration != change.configuration
            if was_acknowledged and (other.base == change.base or other.generation == change.generation):
                self.report_violation("CONFIG", f"{change} and {other} were both acknowledged")
        if change.acknowledged_s is None:
            change.acknowledged_s = self.now()
            self.statistics["acknowledged"] += 1
        for other in self.changes:  # the same change sent by another operator
            if (
                other.configuration == change.configuration
                and other.base == change.base
                and other.acknowledged_s is None
            ):
                other.acknowledged_s = self.now()

    def _record_rejected(self, change):
        if change.refused_s is None:
            change.refused_s = self.now()
            self.statistics["refused"] += 1
        if change.acknowledged_s is not None and not self._has_successors(change):
            self.report_violation("CONFIG", f"{change} was rejected although acknowledged with no later change")

    def _has_successors(self, change):
        return any(other.base == change.generation for other in self.changes)

    def newest_acknowledged(self, until_s=float("inf")):
        acknowledged = [one for one in self.changes if one.acknowledged_s is not None and one.acknowledged_s <= until_s]
        return max(acknowledged, key=lambda one: one.generation, default=None)

    def read_answered(self, sent_s, configuration):
        """Check a reply of Config.Get at any machine, in contact or not: it is never older than what was acknowledged
        before the call. This is stricter than the rules, which allow `config_apply_ms` more."""
        self.statistics["reads"] += 1
        newest = self.newest_acknowledged(sent_s)
        if newest is not None and configuration[0] < newest.generation:
            self.report_violation("CONFIG", f"{configuration[0]} was read after {newest} was acknowledged")
        self._check_in_force(configuration, "read")

    def read_failed(self, sent_s, status):
        """Check a reply of Config.Get without a configuration: 404 means that there is none, a 5xx proves nothing."""
        self.statistics["reads_refused"] += 1
        newest = self.newest_acknowledged(sent_s)
        if newest is not None and status < 500:
            self.report_violation("CONFIG", f"a read got status {status} after {newest} was acknowledged")

    def check_read_back(self, status, configuration):
        """Check a reply of Config.Get in the absence of faults."""
        newest = self.newest_acknowledged()
        if status != ACKNOWLEDGED or configuration is None:
            if newest is not None:
                self.report_violation("LOST", f"the configuration cannot be read back: status {status}")
            return
        if newest is not None and configuration[0] < newest.generation:
            self.report_violation("LOST", f"{configuration[0]} was read back after {newest} was acknowledged")
        self._check_in_force(configuration, "read back")

    def _check_in_force(self, configuration, where):
        sent = [change for change in self.changes if change.configuration == configuration]
        if not sent:
            self.report_violation("CONFIG", f"{configuration} was never sent ({where})")
        elif all(change.refused_s is not None and change.acknowledged_s is None for change in sent):
            self.report_violation("CONFIG", f"{sent[0]} was rejected but is in force ({where})")
        newest = [one for one in self.changes if one.acknowledged_s is not None and one.generation == configuration[0]]
        if newest and all(one.configuration != configuration for one in newest):
            self.report_violation(
                "CONFIG", f"{configuration} is in force, {newest[0]} was acknowledged under its number ({where})"
            )

    # Requests at fronts

    def request_served(self, request):
        self.served_requests.append(request)

    def check_served_requests(self):
        """Check the configurations that served requests; called once at the end of a run."""
        newest_served = {}
        checked, first_ready = set(), set()
        for one in self.served_requests:
            if one.configuration is None:
                continue
            if one.configuration not in checked:
                checked.add(one.configuration)
                self._check_in_force(one.configuration, f"at {one.ip}")
            process = one.ip, one.process_number
            if one.ready and process not in first_ready:
                first_ready.add(process)
                self._check_first_ready(one)
            if one.configuration[0] < newest_served.get(process, 0):
                self.report_violation(
                    "CONFIG",
                    f"{one.ip} reverted to {one.configuration[0]} from {newest_served[process]} at {one.handled_s:.3f}",
                )
            newest_served[process] = max(newest_served.get(process, 0), one.configuration[0])
        self._check_stale_requests()

    def _check_first_ready(self, request):
        """Check that a new process of a front is ready only with a configuration that a majority confirmed since its
        start."""
        newest = self.newest_acknowledged(self.contact.process_started_s(request.ip, request.handled_s))
        if newest is not None and request.configuration[0] < newest.generation:
            self.report_violation(
                "FRESH",
                f"{request.ip}, started after {newest} was acknowledged, was ready with {request.configuration[0]}",
            )

    def _check_stale_requests(self):
        acknowledged = sorted(
            (one for one in self.changes if one.acknowledged_s is not None), key=lambda one: one.generation
        )
        for request in self.served_requests:
            if request.configuration is None:
                continue
            newer = [one for one in acknowledged if one.generation > request.configuration[0]]
            if newer:
                self._check_age(request, min(newer, key=lambda one: one.acknowledged_s))

    def _check_age(self, request, change):
        age_s = request.sent_s - change.acknowledged_s
        apply_s = self.bounds["config_apply_ms"] / 1000
        if request.ready:
            self.statistics["oldest_served_ready_s"] = max(self.statistics["oldest_served_ready_s"], age_s)
        if age_s <= apply_s:
            return
        if self.contact.is_in_contact(request.ip, request.sent_s):
            self.report_violation(
                "CONFIG",
                f"{request.ip} served {request.configuration[0]} {age_s:.3f} s after {change} ({request.sent_s:.3f})",
            )
        elif age_s > apply_s + self.bounds["skew_ms"] / 1000:
            if self.contact.had_reachable_majority(request.ip, change.acknowledged_s, request.sent_s):
                self.report_violation(
                    "CONFIG",
                    f"{request.ip}, out of contact, served {request.configuration[0]} {age_s:.3f} s after {change}",
                )

    # Programs

    def program(self, name, budget, max_tokens):
        program = Program(name, budget, max_tokens)
        self.programs.append(program)
        return program

    def turn_sent(self, program, turn):
        program.attempts[turn] = (None, program.max_tokens, False)

    def tokens_emitted(self, program, turn, tokens):
        program.emitted_tokens += tokens
        if program.emitted_tokens > program.budget + program.max_tokens:
            self.report_violation(
                "BUDGET",
                f"{program.name}: {program.emitted_tokens} tokens of {program.budget}, {program.max_tokens} per turn",
            )

    def turn_completed(self, program, turn, previous, tokens, body):
        """Record that a turn was answered completely."""
        program.attempts[turn] = (self.now(), tokens, True)
        program.turns[turn] = (body, previous, self.now())
        self.statistics["turns"] += 1

    def turn_failed(self, program, turn, kind, previous, retain_s):
        """Record that a turn failed with an error of the system itself."""
        program.attempts[turn] = (self.now(), 0, False)
        self.statistics[f"turns_{kind}"] += 1
        if kind == "turn_unknown":
            acknowledged = program.turns.get(previous)
            if acknowledged is not None and self.now() - acknowledged[2] < retain_s:
                self.report_violation(
                    "LOST", f"{program.name}: {previous}, acknowledged at {acknowledged[2]:.3f}, is unknown"
                )
        if kind == "budget_spent":
            self._check_budget_error(program, turn)

    def conversation_not_continued(self, program, previous, first_try_s, outcomes, retain_s):
        """Check a turn of which no try was served, although its previous turn was retained and there has been no fault
        since `contact_ms` before the first try."""
        self.statistics["conversations_not_continued"] += 1
        acknowledged = program.turns.get(previous)
        is_retained = acknowledged is not None and first_try_s - acknowledged[2] < retain_s
        if is_retained and self.contact.is_fault_free(first_try_s - self.bounds["contact_ms"] / 1000, self.now()):
            self.report_violation("LOST", f"{program.name}: {previous} cannot be continued: {outcomes}")

    def _check_budget_error(self, program, turn):
        settle_s = self.bounds["settle_ms"] / 1000
        committed_tokens = 0
        for other, (ended_s, tokens, _) in program.attempts.items():
            if other != turn:
                has_settled = ended_s is not None and ended_s < self.now() - settle_s
                committed_tokens += tokens if has_settled else program.max_tokens
        if committed_tokens + program.max_tokens <= program.budget:
            self.statistics["spent_too_early"] += 1
            if self.contact.is_fault_free(self.now() - 10.0, self.now()):
                self.report_violation(
                    "BUDGET",
                    f"{program.name}: 402 with {committed_tokens} of {program.budget} tokens used and no recent faults",
                )

    def history_read(self, program, last, body):
        """Check the history body that a receiver would get."""
        expected = b""
        turn = last
        while turn is not None:
            if turn not in program.turns:
                return
            text, turn, _ = program.turns[turn]
            expected = text + expected
        if body != expected:
            self.report_violation(
                "UNASKED", f"{program.name}: the history of {last} has {len(body)} bytes, not {len(expected)}"
            )
