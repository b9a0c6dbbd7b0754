"""A whole tier of real processes, shared by the tests of a module and restored after each."""

import pytest

from dewpin.standin.sample_configuration import sample_configuration
from dewpin.standin.tier import LocalTier


@pytest.fixture(scope="module")
def running_tier(tmp_path_factory):
    """Start the tier with an initial configuration; at the end check that all its processes have ended."""
    with LocalTier(tmp_path_factory.mktemp("tier")) as tier:
        try:
            assert tier.operator.put(sample_configuration(1), base=0).status == 200
            tier.wait_until_ready()
            tier.wait_until_settled()
        except BaseException:
            print(tier.logs())
            raise
        yield tier
    assert not any(process.is_running for process in tier.processes)


@pytest.fixture
def tier(running_tier, request):
    """Provide the tier and restore it after the test; its logs are part of the output of a failed test."""
    yield running_tier
    print(running_tier.logs())
    running_tier.restart(
        [control_server for control_server in running_tier.control_servers if not control_server.process.is_running]
    )
    for sender in running_tier.senders:
        if not sender.process.is_running:
            sender.process.start()
    running_tier.wait_until_settled()
    running_tier.wait_until_ready()
