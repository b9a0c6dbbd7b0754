"""The time-out of a request."""

import math

from dewpin.cluster.configuration import Route
from dewpin.cluster.errors import ErrorKind, TierError
from dewpin.dataplane.http11.messages import REQUEST_DEADLINE, Headers


def request_timeout_s(headers: Headers, route: Route) -> float:
    """Return the time-out that the client requested, limited by that of the route, in seconds.

    Raises TierError if the client's value is not a non-negative number of milliseconds.
    """
    value = headers.get(REQUEST_DEADLINE)
    try:
        timeout_ms = route.timeout_ms if value is None else float(value)
    except ValueError:
        timeout_ms = -1.0
    if timeout_ms < 0 or not math.isfinite(timeout_ms):
        raise TierError(ErrorKind.BAD_REQUEST, "X-Dewpin-Request-Deadline has to be a number of milliseconds")
    return min(timeout_ms, route.timeout_ms) / 1000
