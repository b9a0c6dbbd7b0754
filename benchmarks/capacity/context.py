"""What the rows of the page are computed from: target, assumptions and measured lines."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.capacity import design
from benchmarks.capacity.fit import Estimate, Line
from benchmarks.capacity.results import Results
from benchmarks.capacity.sheet import Row
from benchmarks.capacity.target import SECONDS_A_DAY, Assumptions, Target
from dewpin.controlplane.membership.leases import LeaseTable


class NotMeasuredError(LookupError):
    """No run has given the series that a figure needs."""


@dataclass(frozen=True)
class Context:
    """The inputs of all rows, and what several rows share."""

    target: Target
    assumed: Assumptions
    results: Results

    def at(self, name: str, x: float) -> Estimate:
        """A measured line's height at x; NotMeasuredError without that series."""
        return self._line(name).at(x)

    def each(self, name: str) -> Estimate:
        """A measured line's slope; NotMeasuredError without that series."""
        return self._line(name).per_unit

    def row(
        self,
        what: str,
        arithmetic: str,
        value: Callable[[], Estimate | float],
        unit: str,
        carried_by: str,
        most: float | None = None,
    ) -> Row:
        """A row whose value is computed now, or says that something was not measured."""
        try:
            found = value()
        except NotMeasuredError:
            return Row(what, arithmetic, None, unit, carried_by, most)
        return Row(what, arithmetic, found if isinstance(found, Estimate) else Estimate(found), unit, carried_by, most)

    def _line(self, name: str) -> Line:
        try:
            return self.results.series[name].line()
        except KeyError:
            raise NotMeasuredError(name) from None

    @property
    def routes(self) -> int:
        """Routes of the operator's configuration."""
        return self.target.tenants * self.target.models * self.assumed.routes_a_tenant_and_model

    @property
    def requests_a_sender(self) -> float:
        """Requests a second at one sender."""
        return self.target.requests_per_s / self.target.senders

    @property
    def tokens_a_request(self) -> float:
        """Tokens out of one request."""
        return self.target.tokens_per_s / self.target.requests_per_s

    @property
    def stream_s(self) -> float:
        """Longest life of a stream that is in time."""
        return self.target.first_token_s + self.tokens_a_request * self.target.token_gap_ms / 1000

    @property
    def streams_a_sender(self) -> float:
        """Streams under way at one sender, by Little's law."""
        return self.requests_a_sender * self.stream_s

    @property
    def renewal_s(self) -> float:
        """Time between a sender's renewals."""
        return self.target.change_in_force_s / design.RENEWALS_IN_BOUND

    def lease_s(self, control_servers: int) -> float:
        """How long a lease lasts that isn't renewed, where so many control servers grant it."""
        return LeaseTable(self.renewal_s).duration_s(control_servers)

    @property
    def reading_period_s(self) -> float:
        """Time between readings of the platform's list."""
        return self.assumed.drain_bound_s / design.READS_PER_DRAIN_TIME

    @property
    def changes_per_s(self) -> float:
        """Changes of configuration a second, over the whole day."""
        return self.target.changes_a_day / SECONDS_A_DAY

    @property
    def list_changes_per_s(self) -> float:
        """Changed entries of the list of receivers a second, if all restarts and failures were receivers'."""
        entries = self.assumed.list_entries_a_restart
        return (self.target.restarts_a_day + self.target.failures_a_day) * entries / SECONDS_A_DAY

    @property
    def history_bytes(self) -> float:
        """Bytes of a program's whole history."""
        return self.target.tokens_a_program * self.assumed.bytes_a_token

    @property
    def turn_bytes(self) -> float:
        """Bytes of one turn's new input and output, when a program uses all of its turns and tokens."""
        return self.history_bytes / self.target.turns_a_program

    @property
    def ledger_calls_a_turn(self) -> int:
        """Calls to replicas of the ledger for one turn."""
        return (self.assumed.ledger_rounds_to_reserve + self.assumed.ledger_rounds_to_settle) * self.assumed.replicas

    @property
    def cached_share(self) -> float:
        """Share of the programs' whole chains that the senders' caches hold together."""
        held = design.CHAIN_CACHE_BYTES * self.target.senders
        return min(1.0, held / (self.target.programs * self.history_bytes))

    @property
    def state_bytes(self) -> Estimate:
        """Bytes of the whole system state on the wire, the remembered changes included."""
        remembered = design.MAX_CHANGES_IN_STATE * self.each("accepted-bytes")
        return self.at("state-bytes", self.routes) + remembered
