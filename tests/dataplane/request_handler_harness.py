"""A request path over scripted receivers, and what its answers hold."""

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


class Path:
    """A request path on a cluster of scripted receivers; pauses are noted and not made.

    With `frozen` the clock goes on by pauses alone.
    """

    def __init__(self, listed, store=None, frozen=False, **route):
        self._now = (lambda: 1000.0) if frozen else time.monotonic
        self.store = store or MemoryStore()
        self.state = ClusterState(configuration(**route), {SERVICE: tuple(listed)})
        self.pauses = []
        self.calls = 0
        self.path = RequestHandler(self.state, self.store, "here", self._clock, self.pauses.append, random.Random(5))

    def _clock(self):
        return self._now() + sum(self.pauses)

    def __call__(self, *fields, **options):
        self.calls += 1
        return self.path.handle(request(*fields, now=self._clock(), request_id=f"r-{self.calls}", **options))


def header(answer, name):
    return next((value for key, value in answer.headers if key.lower() == name), None)


def read(answer):
    """Return the body of an answer and whether it was broken off."""
    if isinstance(answer.body, bytes):
        return answer.body, False
    got = b""
    try:
        for part in answer.body:
            got += part
    except IncompleteBodyError:
        return got, True
    finally:
        answer.body.close()
    return got, False
