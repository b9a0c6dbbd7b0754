"""Calls through one `ReceiverClient`, on a monotonic clock that the test can advance."""

import time

from dataplane.peers import (
    PATIENCE_S,
    request,
)

from dewpin.dataplane.metrics import RequestMetrics
from dewpin.dataplane.upstream.call import Call
from dewpin.dataplane.upstream.receiver_client import ReceiverClient


class Clock:
    """The monotonic clock, advanced by the test."""

    def __init__(self):
        self.ahead_s = 0.0

    def __call__(self):
        return time.monotonic() + self.ahead_s


class Caller:
    """Makes calls through one `ReceiverClient`; each has an id of its own, from r-1 on."""

    def __init__(self):
        self.calls = 0
        self.clock = Clock()
        self.metrics = RequestMetrics()
        self.receiver_client = ReceiverClient(self.clock, self.metrics)

    def __call__(self, receiver, *fields, is_idempotent=True, time_s=PATIENCE_S, **options):
        self.calls += 1
        options.setdefault("request_id", f"r-{self.calls}")
        named = ("method", "target", "body", "request_id", "client")
        kwargs = {key: options.pop(key) for key in named if key in options}
        asked = request(*fields, **kwargs)
        return self.receiver_client.call(receiver, Call(asked, self.clock() + time_s, is_idempotent, **options))
