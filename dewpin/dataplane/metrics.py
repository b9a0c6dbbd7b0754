"""Counters of the requests that a sender handles."""

from dataclasses import dataclass, fields


@dataclass(slots=True)
class RequestMetrics:
    """Counters since the start of the process.

    They are incremented without a lock, because a lock would cost more than an exact count is worth: two threads that
    increment a counter at the same moment may count as one.

    Attributes:
        requests: requests that were read from clients.
        forwarded: requests that got the response of a receiver.
        not_executed: requests that got an error which promises that they have not run.
        unknown_effect: requests that got an error although they may have run.
        not_routed: requests that match no route.
        invalid: requests that were rejected as invalid, without the promise above.
        attempts: slots at receivers that a request was sent to, or should have been.
        rejections_without_id: rejections without a request id on a reused connection, which prove nothing.
        connects: connections to receivers that were attempted.
        resumed_streams: event streams that were resumed at another receiver.
        incomplete_streams: event streams whose end the client did not get.
    """

    requests: int = 0
    forwarded: int = 0
    not_executed: int = 0
    unknown_effect: int = 0
    not_routed: int = 0
    invalid: int = 0
    attempts: int = 0
    rejections_without_id: int = 0
    connects: int = 0
    resumed_streams: int = 0
    incomplete_streams: int = 0

    def as_mapping(self) -> dict[str, int]:
        """Return the counters by name."""
        return {each.name: getattr(self, each.name) for each in fields(self)}
