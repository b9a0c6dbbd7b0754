"""Fetching of configuration bodies from another process."""

import asyncio

import pytest

from dewpin.cluster.body_messages import BodyPage
from dewpin.controlplane.register.configuration_bodies import BodyUnavailableError, ConfigurationBodies
from dewpin.controlplane.register.system_state import configuration_digest, initial_state

BODY = '{"services":{}}'
BASE_GENERATION = 0
SOURCE = "10.0.0.1:1"


class Source:
    """Another process, which replies to each body request with its next body as a single page."""

    def __init__(self, *bodies):
        self._bodies = list(bodies)

    async def call(self, address, message, timeout_s):
        body = self._bodies.pop(0)
        return BodyPage(body, len(body)).encode()


def state_without_body():
    digest = configuration_digest(BODY.encode(), BASE_GENERATION)
    state = initial_state({"a": SOURCE}, {})
    return {**state, "accepted": [[1, digest]], "configuration": {"generation": 1, "digest": digest}}


def test_body_with_wrong_digest_is_rejected_and_fetched_again():
    async def scenario():
        bodies = ConfigurationBodies(Source(BODY.replace("{}", "[]"), BODY))
        with pytest.raises(BodyUnavailableError):
            await bodies.from_wire(state_without_body(), SOURCE)
        assert bodies.digests() == ()
        complete = await bodies.from_wire(state_without_body(), SOURCE)
        assert complete["configuration"]["body"] == BODY

    asyncio.run(scenario())
