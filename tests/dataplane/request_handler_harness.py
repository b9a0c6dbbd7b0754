"""A request handler with scripted receivers, and functions to read its responses."""

import random
import time

from dataplane.peers import (
    SERVICE,
    MemoryStore,
    configuration,
    request,
)

from dewpin.dataplane.http11.messages import IncompleteBodyError
from dewpin.dataplane.membership.cluster_state import ClusterState
from dewpin.dataplane.routing.request_handler import RequestHandler


class RequestHandlerHarness:
    """A request handler with scripted receivers; backoffs are recorded in `backoffs_s` and do not block.

    With `frozen`, only backoffs advance the clock.
    """

    def __init__(self, listed, store=None, frozen=False, **route):
        self._now = (lambda: 1000.0) if frozen else time.monotonic
        self.store = store or MemoryStore()
        self.state = ClusterState(configuration(**route), {SERVICE: tuple(listed)})
        self.backoffs_s = []
        self.calls = 0
        self.handler = RequestHandler(
            self.state, self.store, "here", self._clock, self.backoffs_s.append, random.Random(5)
        )

    def _clock(self):
        return self._now() + sum(self.backoffs_s)

    def __call__(self, *fields, **options):
        self.calls += 1
        return self.handler.handle(request(*fields, now=self._clock(), request_id=f"r-{self.calls}", **options))


def header(response, name):
    return next((value for key, value in response.headers if key.lower() == name), None)


def read(response):
    """Return the body of a response and whether it is incomplete."""
    if isinstance(response.body, bytes):
        return response.body, False
    received = b""
    try:
        for part in response.body:
            received += part
    except IncompleteBodyError:
        return received, True
    finally:
        response.body.close()
    return received, False
