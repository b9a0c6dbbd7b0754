"""The fetch of a configuration body from a source with scripted replies."""

import asyncio

from scripted.clock import run

from dewpin.cluster.body_messages import BodyPage, configuration_digest
from dewpin.dataplane.membership.body_fetch import BodyFetch, BodyName

BODY = "the body"


class Sources:
    def parents(self):
        return []

    def control_servers(self):
        return ["10.0.0.1:1"]


class Client:
    """Raises the given exceptions, one for each call, then responds with the whole body."""

    def __init__(self, errors):
        self.errors = errors

    async def call(self, address, message, timeout_s):
        await asyncio.sleep(0.01)
        if self.errors:
            raise self.errors.pop(0)
        return BodyPage(BODY, len(BODY)).encode()


def test_unexpected_exception_does_not_end_the_fetch():
    async def scenario():
        name, completed = BodyName(configuration_digest(BODY.encode(), 3), 3), []
        client = Client([OSError("no free file descriptor"), RuntimeError("internal error")])
        clock = asyncio.get_running_loop().time
        fetch = BodyFetch(client, "me", Sources(), lambda: None, lambda digest, body: completed.append(body), clock)
        fetch.fetch(name)
        await asyncio.sleep(5.0)
        return completed

    assert run(scenario()) == [BODY]
