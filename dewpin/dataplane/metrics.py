"""Counters of the request path."""

from dataclasses import dataclass, fields


@dataclass(slots=True)
class RequestFigures:
    """Counters since the start of the process.

    They are kept without a lock, for the work that it saves: two threads may now and then count as one.
    """

    requests: int = 0
    passed_on: int = 0
    refused: int = 0
    unknown: int = 0
    not_routed: int = 0
    rejected: int = 0
    attempts: int = 0
    unnamed_refusals: int = 0
    """Refusals without a request id on a connection that was used before, which therefore prove nothing."""
    connects: int = 0
    resumed_streams: int = 0
    broken_streams: int = 0

    def as_mapping(self) -> dict[str, int]:
        """Return the counters by name."""
        return {each.name: getattr(self, each.name) for each in fields(self)}
