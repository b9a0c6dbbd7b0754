"""The messages of an earlier release: the current ones without the fields that were added later.

An earlier release ignores fields that it does not know, and the current one treats a missing field as unknown.
`copied` in a ledger's promise is kept: without it a copy counts as a vote, which `docs/control-safety.md`, 3.2,
excludes while releases are mixed. Compressed connections are kept, too; `tests/cluster/test_compression.py` covers
them.
"""

from dewpin.cluster import body_messages, relay_messages, store_messages
from dewpin.cluster.rpc import RpcClient, RpcError
from dewpin.controlplane.membership import heartbeat_messages

ADDED_FIELDS = {
    heartbeat_messages.HEARTBEAT: {"held", "location", "reaches_majority", "accepted_version"},
    relay_messages.LEASE_RENEW: {"knowledge_age_s"},
    relay_messages.RELAY_WATCH: {"held", "knowledge_age_s"},
    store_messages.TURN_PUT: {"accept", "reply"},
    store_messages.PULL_TURNS: {"raw_bodies"},
}
"""By request type: the fields of the request and of its reply that an earlier release does not have."""


ADDED_REQUESTS = {body_messages.RELAY_BODY}
"""Request types that an earlier release neither sends nor handles."""


def without_added_fields(kind, message):
    """A request of this type, or its reply, as an earlier release sends or reads it."""
    later = ADDED_FIELDS.get(kind)
    return message if later is None else _strip_fields(message, later)


def _strip_fields(value, names):
    if not isinstance(value, dict):
        return value
    return {name: _strip_fields(field, names) for name, field in value.items() if name not in names}


def earlier_release_handlers(handlers):
    """The handlers of a process of an earlier release."""
    return {
        kind: _earlier_release_handler(kind, handler)
        for kind, handler in handlers.items()
        if kind not in ADDED_REQUESTS
    }


def _earlier_release_handler(kind, handler):
    async def handle(message):
        return without_added_fields(kind, await handler(without_added_fields(kind, message)))

    return handle


class EarlierReleaseClient(RpcClient):
    """The RPC client of a process of an earlier release."""

    async def call(self, address, message, timeout_s):
        kind = message["type"]
        if kind in ADDED_REQUESTS:
            raise RpcError("unknown_type", kind)
        reply = await super().call(address, without_added_fields(kind, message), timeout_s)
        return without_added_fields(kind, reply)
