"""The messages of an earlier release: today's without the fields that came later, neither sent nor read.

An earlier release skips fields that it does not know, and those of today take a missing one for unknown. Left in is
`copied` in a ledger's promise: without it a copy counts as a vote, which `docs/control-safety.md`, 3.2, excludes while
releases are mixed. Compressed connections are not taken away either; `tests/cluster/test_compression.py` has them.
"""

from dewpin.cluster import body_messages, relay_messages, store_messages
from dewpin.cluster.rpc import RpcClient, RpcError
from dewpin.controlplane.membership import heartbeat_messages

LATER_FIELDS = {
    heartbeat_messages.HEARTBEAT: {"held", "location", "reaches_majority", "accepted_version"},
    relay_messages.LEASE_RENEW: {"knowledge_age_s"},
    relay_messages.RELAY_WATCH: {"held", "knowledge_age_s"},
    store_messages.TURN_PUT: {"accept", "reply"},
    store_messages.PULL_TURNS: {"raw_bodies"},
}
"""By the type of a request: the fields of it and of its reply that an earlier release does not have."""


LATER_KINDS = {body_messages.RELAY_BODY}
"""Requests that an earlier release neither makes nor answers."""


def without_later_fields(kind, message):
    """A request of this kind, or its reply, as an earlier release sends or reads it."""
    later = LATER_FIELDS.get(kind)
    return message if later is None else _without(message, later)


def _without(value, names):
    if not isinstance(value, dict):
        return value
    return {name: _without(field, names) for name, field in value.items() if name not in names}


def earlier_handlers(handlers):
    """The handlers of a process of an earlier release."""
    return {kind: _earlier(kind, handler) for kind, handler in handlers.items() if kind not in LATER_KINDS}


def _earlier(kind, handler):
    async def handle(message):
        return without_later_fields(kind, await handler(without_later_fields(kind, message)))

    return handle


class EarlierReleaseClient(RpcClient):
    """The calls of a process of an earlier release."""

    async def call(self, address, message, timeout_s):
        kind = message["type"]
        if kind in LATER_KINDS:
            raise RpcError("unknown_type", kind)
        reply = await super().call(address, without_later_fields(kind, message), timeout_s)
        return without_later_fields(kind, reply)
