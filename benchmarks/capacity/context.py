"""Inputs of the rows of the page: target, assumptions and measured lines."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.capacity import design
from benchmarks.capacity.fit import Estimate, Line
from benchmarks.capacity.results import Results
from benchmarks.capacity.sheet import Row
from benchmarks.capacity.target import SECONDS_PER_DAY, Assumptions, Target
from dewpin.controlplane.membership.leases import LeaseTable


class NotMeasuredError(LookupError):
    """A figure needs a series that has not been measured."""


@dataclass(frozen=True)
class Context:
    """The inputs of all rows, and values that several rows share."""

    target: Target
    assumed: Assumptions
    results: Results

    def at(self, name: str, x: float) -> Estimate:
        """Return the fitted value of a series at x. Raises NotMeasuredError if it has not been measured."""
        return self._line(name).at(x)

    def slope(self, name: str) -> Estimate:
        """Return the fitted slope of a series. Raises NotMeasuredError if it has not been measured."""
        return self._line(name).slope_estimate

    def row(
        self,
        name: str,
        arithmetic: str,
        value: Callable[[], Estimate | float],
        unit: str,
        implemented_by: str,
        bound: float | None = None,
    ) -> Row:
        """Return a row with its computed value, or with None if a series that it needs has not been measured."""
        try:
            computed = value()
        except NotMeasuredError:
            return Row(name, arithmetic, None, unit, implemented_by, bound)
        return Row(
            name,
            arithmetic,
            computed if isinstance(computed, Estimate) else Estimate(computed),
            unit,
            implemented_by,
            bound,
        )

    def _line(self, name: str) -> Line:
        try:
            return self.results.series[name].line()
        except KeyError:
            raise NotMeasuredError(name) from None

    @property
    def routes(self) -> int:
        """Number of routes in the configuration."""
        return self.target.tenants * self.target.models * self.assumed.routes_a_tenant_and_model

    @property
    def requests_per_sender(self) -> float:
        """Requests per second at one sender."""
        return self.target.requests_per_s / self.target.senders

    @property
    def tokens_per_request(self) -> float:
        """Output tokens per request."""
        return self.target.tokens_per_s / self.target.requests_per_s

    @property
    def stream_duration_s(self) -> float:
        """Duration of a stream of mean length that just meets both latency targets, in seconds."""
        return self.target.first_token_s + self.tokens_per_request * self.target.token_gap_ms / 1000

    @property
    def streams_per_sender(self) -> float:
        """Concurrent streams at one sender, by Little's law."""
        return self.requests_per_sender * self.stream_duration_s

    @property
    def renewal_s(self) -> float:
        """Seconds between two lease renewals of a sender."""
        return self.target.change_in_force_s / design.RENEWALS_PER_APPLY_TIME

    def lease_s(self, control_servers: int) -> float:
        """Return the duration of a lease in seconds, by the number of control servers that grant it."""
        return LeaseTable(self.renewal_s).duration_s(control_servers)

    @property
    def reading_period_s(self) -> float:
        """Seconds between two reads of the platform's list."""
        return self.assumed.drain_bound_s / design.READS_PER_DRAIN_TIME

    @property
    def changes_per_s(self) -> float:
        """Configuration changes per second, mean of a day."""
        return self.target.changes_per_day / SECONDS_PER_DAY

    @property
    def list_changes_per_s(self) -> float:
        """Changed entries of the receiver list per second, if all restarts and failures were those of receivers."""
        entries = self.assumed.list_entries_a_restart
        return (self.target.restarts_per_day + self.target.failures_per_day) * entries / SECONDS_PER_DAY

    @property
    def history_bytes(self) -> float:
        """Bytes of the whole history of a program."""
        return self.target.tokens_per_program * self.assumed.bytes_a_token

    @property
    def turn_bytes(self) -> float:
        """Bytes of new input and output of a turn, if a program uses all of its turns and tokens."""
        return self.history_bytes / self.target.turns_per_program

    @property
    def ledger_calls_per_turn(self) -> int:
        """Calls to ledger replicas per turn."""
        return (self.assumed.ledger_rounds_to_reserve + self.assumed.ledger_rounds_to_settle) * self.assumed.replicas

    @property
    def cached_share(self) -> float:
        """Share of the histories of all programs that fits into the caches of all senders together."""
        cache_bytes = design.HISTORY_CACHE_BYTES * self.target.senders
        return min(1.0, cache_bytes / (self.target.programs * self.history_bytes))

    @property
    def state_bytes(self) -> Estimate:
        """Encoded bytes of the whole system state, including its log of accepted changes."""
        accepted_bytes = design.MAX_CHANGES_IN_STATE * self.slope("accepted-bytes")
        return self.at("state-bytes", self.routes) + accepted_bytes
