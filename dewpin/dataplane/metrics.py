"""Request counters of a sender."""

from dataclasses import dataclass, fields


@dataclass(slots=True)
class RequestMetrics:
    """Counters since the start of the process.

    They are incremented without a lock, which would cost more than exact counts are worth: concurrent increments of a
    counter by two threads may count as one.

    Attributes:
        requests: requests read from clients.
        forwarded: requests answered with the response of a receiver.
        not_executed: requests answered with an error that guarantees that they were not executed.
        unknown_effect: requests answered with an error although they may have been executed.
        not_routed: requests that match no route.
        invalid: requests rejected as invalid, without the guarantee of `not_executed`.
        attempts: calls to receivers, including those whose request could not be sent.
        rejections_without_id: rejections without a request id on a reused connection, which prove nothing.
        connects: connection attempts to receivers.
        resumed_streams: event streams resumed at another receiver.
        incomplete_streams: event streams whose end was not sent to the client.
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
        return {counter.name: getattr(self, counter.name) for counter in fields(self)}
