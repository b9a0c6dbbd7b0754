"""The fetch of a configuration's body, from a source with scripted calls."""

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
    """Answers with the whole body after calls that fail with the faults given."""

    def __init__(self, faults):
        self.faults = faults

    async def call(self, address, message, timeout_s):
        await asyncio.sleep(0.01)
        if self.faults:
            raise self.faults.pop(0)
        return BodyPage(BODY, len(BODY)).encode()


def test_unexpected_exception_does_not_end_the_fetch():
    async def scene():
        name, taken = BodyName(configuration_digest(BODY.encode(), 3), 3), []
        client = Client([OSError("no descriptor is left"), RuntimeError("a fault of the program")])
        clock = asyncio.get_running_loop().time
        fetch = BodyFetch(client, "me", Sources(), lambda: None, lambda digest, body: taken.append(body), clock)
        fetch.fetch(name)
        await asyncio.sleep(5.0)
        return taken

    assert run(scene()) == [BODY]
