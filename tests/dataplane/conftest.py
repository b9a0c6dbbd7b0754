"""Fixtures for the tests of the data plane."""

import pytest
from dataplane.ingress_harness import ServerHarness
from dataplane.receiver_caller import Caller


@pytest.fixture
def call():
    caller = Caller()
    yield caller
    caller.receiver_client.close()


@pytest.fixture
def serve():
    servers = []

    def start(response=None, **limits):
        servers.append(ServerHarness(response, **limits))
        return servers[-1]

    yield start
    for server in servers:
        if not server.ingress.is_stopped:
            server.ingress.stop(0.0)
