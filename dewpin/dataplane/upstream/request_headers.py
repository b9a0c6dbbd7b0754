"""The header fields of a request to a receiver."""

from urllib3.util import SKIP_HEADER

from dewpin.dataplane.http11.messages import REQUEST_DEADLINE, TARGET_INSTANCE
from dewpin.dataplane.upstream.call import Call

_EXCLUDED = frozenset({"content-length", REQUEST_DEADLINE, TARGET_INSTANCE})
_FIELDS_OF_URLLIB3 = ("user-agent", "accept-encoding")
"""Fields that urllib3 adds unless they are set to SKIP_HEADER."""


def request_headers(call: Call, receiver_id: str, body_length: int, time_left_s: float) -> dict[str, str]:
    """Return the client's end-to-end fields with the time left and the id of the target receiver."""
    request = call.request
    replaced = {name.lower() for name, _ in call.replaced_headers}
    headers: dict[str, str] = {}
    for name, value in request.headers.end_to_end(_EXCLUDED | replaced):
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    headers.update(call.replaced_headers)
    for name in _FIELDS_OF_URLLIB3:
        if request.headers.get(name) is None:
            headers[name] = SKIP_HEADER
    if body_length or request.headers.has_body_framing:
        headers["Content-Length"] = str(body_length)
    headers["X-Dewpin-Request-Deadline"] = str(max(1, int(time_left_s * 1000)))
    headers["X-Dewpin-Target-Instance"] = receiver_id
    return headers
