"""Makes calls through one `ReceiverClient`, with a monotonic clock that the test can advance."""

import time

from dataplane.peers import (
    PATIENCE_S,
    request,
)

from dewpin.dataplane.metrics import RequestMetrics
from dewpin.dataplane.upstream.call import Call
from dewpin.dataplane.upstream.receiver_client import ReceiverClient


class Clock:
    """The monotonic clock plus an offset that the test sets."""

    def __init__(self):
        self.offset_s = 0.0

    def __call__(self):
        return time.monotonic() + self.offset_s


class Caller:
    """Makes calls through one `ReceiverClient`, with the request ids r-1, r-2 and so on."""

    def __init__(self):
        self.calls = 0
        self.clock = Clock()
        self.metrics = RequestMetrics()
        self.receiver_client = ReceiverClient(self.clock, self.metrics)

    def __call__(self, receiver, *fields, is_idempotent=True, timeout_s=PATIENCE_S, **options):
        self.calls += 1
        options.setdefault("request_id", f"r-{self.calls}")
        request_options = ("method", "target", "body", "request_id", "client")
        kwargs = {key: options.pop(key) for key in request_options if key in options}
        client_request = request(*fields, **kwargs)
        return self.receiver_client.call(
            receiver, Call(client_request, self.clock() + timeout_s, is_idempotent, **options)
        )
