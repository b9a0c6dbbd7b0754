"""Constants of the serving tier that the arithmetic of the page uses, imported from its modules."""

from __future__ import annotations

from dewpin.cluster.netstring import encode
from dewpin.cluster.relay_service import WATCH_HEARTBEAT_S
from dewpin.controlplane.membership.cluster_observation import REMOVAL_TIMEOUT_S, REPLACEMENT_TIMEOUT_S
from dewpin.controlplane.membership.heartbeat import HEARTBEAT_PERIOD_S
from dewpin.controlplane.membership.leases import LEASE_CYCLES, LEASE_PERIODS, RELAY_FAN_OUT, LeaseTable
from dewpin.controlplane.platform_list_reader import READS_PER_DRAIN_TIME
from dewpin.controlplane.register.system_state import MAX_CHANGES_IN_STATE
from dewpin.controlplane.storage import MAX_JOBS_IN_COMMIT
from dewpin.dataplane.membership.lease_renewer import RENEWALS_PER_APPLY_TIME
from dewpin.dataplane.programs.history_cache import DEFAULT_MAX_BYTES as HISTORY_CACHE_BYTES

__all__ = [
    "HEARTBEAT_PERIOD_S",
    "HISTORY_CACHE_BYTES",
    "LEASE_CYCLES",
    "LEASE_PERIODS",
    "MAX_CHANGES_IN_STATE",
    "MAX_JOBS_IN_COMMIT",
    "READS_PER_DRAIN_TIME",
    "RELAY_FAN_OUT",
    "REMOVAL_TIMEOUT_S",
    "RENEWALS_PER_APPLY_TIME",
    "RENEWAL_REQUEST_BYTES",
    "REPLACEMENT_TIMEOUT_S",
    "WATCH_BYTES",
    "WATCH_HEARTBEAT_S",
    "relay_depth",
]

_VERSION = [4711, "0123456789abcdef"]

RENEWAL_REQUEST_BYTES = len(
    encode(
        {
            "v": 1,
            "n": 12345,
            "m": {
                "type": "lease.renew",
                "sender": "front-zone-1-17/0123456789ab",
                "address": "10.0.1.17:7381",
                "zone": "zone-1",
                "receivers_version": _VERSION,
            },
        }
    )
)
"""Encoded bytes of a request to renew a lease."""

WATCH_BYTES = len(
    encode(
        {
            "v": 1,
            "n": 12345,
            "m": {"type": "relay.watch", "state_version": 851, "receivers_version": _VERSION, "wait": True},
        }
    )
) + len(
    encode(
        {
            "v": 1,
            "r": 12345,
            "m": {"type": "relay.news", "receivers_version": _VERSION, "list_age_s": 0.123456789012},
        }
    )
)
"""Encoded bytes of a watch in the relay tree and of its reply without an update."""


def relay_depth(senders: int) -> int:
    """Return the hops from a control server to the deepest sender of the relay tree of `LeaseTable.parents`."""
    table = LeaseTable(1.0)
    names = [f"sender-{number}" for number in range(senders)]
    for name in names:
        table.renew(name, name, "zone", 0.0)
    return 1 + max(len(table.parents(name, 0.0)) for name in names)
