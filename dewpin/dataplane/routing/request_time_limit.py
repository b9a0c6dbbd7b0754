"""How long a request may be held."""

import math

from dewpin.cluster.configuration import Route
from dewpin.cluster.errors import ErrorKind, TierError
from dewpin.dataplane.http11.messages import REQUEST_DEADLINE, Headers


def time_allowed_s(headers: Headers, route: Route) -> float:
    """Return the time that a client gave its request, or the route's time-out if that is less."""
    told = headers.get(REQUEST_DEADLINE)
    try:
        told_ms = route.timeout_ms if told is None else float(told)
    except ValueError:
        told_ms = -1.0
    if told_ms < 0 or not math.isfinite(told_ms):
        raise TierError(ErrorKind.BAD_REQUEST, "X-Dewpin-Request-Deadline has to be a number of milliseconds")
    return min(told_ms, route.timeout_ms) / 1000
