"""The connections of an RPC server: which one is aborted above the limit."""

import pytest

from dewpin.cluster.rpc.connection_table import DEFAULT_MAX_CONNECTIONS, ConnectionTable, internal_connection_limit
from dewpin.cluster.settings import MachineLimits


class StubTransport:
    def __init__(self):
        self.is_aborted = False

    def abort(self):
        self.is_aborted = True


def test_oldest_connection_without_a_request_is_aborted_first():
    table = ConnectionTable(3)
    used, silent, other = transports = [StubTransport() for _ in range(3)]
    for transport in transports:
        table.add(transport)
    table.record_request(used)
    table.add(StubTransport())
    assert [transport.is_aborted for transport in transports] == [False, True, False]
    assert len(table) == 3 and silent not in set(table) and other in set(table)


def test_least_recently_used_connection_is_aborted_if_all_have_sent_requests():
    table = ConnectionTable(2)
    first, second = StubTransport(), StubTransport()
    for transport in (first, second):
        table.add(transport)
        table.record_request(transport)
    table.record_request(first)
    table.add(StubTransport())
    assert second.is_aborted and not first.is_aborted


def test_removed_connection_is_not_added_again_by_a_late_request():
    table = ConnectionTable(2)
    transport = StubTransport()
    table.add(transport)
    table.discard(transport)
    table.record_request(transport)
    assert len(table) == 0


@pytest.mark.parametrize(("max_fds", "expected"), [(0, DEFAULT_MAX_CONNECTIONS), (4100, 599), (10, 1)])
def test_limit_follows_from_the_descriptors(max_fds, expected):
    assert internal_connection_limit(MachineLimits(max_fds=max_fds), 0.15) == expected
