"""Parser of the endpoint list in the agent's JSON format."""

from collections.abc import Iterable
from typing import Any

from ..core.model import ReceiverState
from ..log import events, log_event
from ..ports import EndpointEntry

STATES_BY_PHASE = {"active": ReceiverState.READY, "leaving": ReceiverState.DRAINING}


def parse_endpoints(members: Iterable[dict[str, Any]]) -> list[EndpointEntry]:
    """Return the entries of a list's members; invalid members are logged and skipped."""
    entries = []
    for member in members:
        try:
            entries.append(_parse_member(member))
        except (KeyError, ValueError, TypeError, AttributeError) as error:
            log_event(events.INVALID_ENDPOINT, why=f"{type(error).__name__}: {error}")
    return entries


def _parse_member(member: dict[str, Any]) -> EndpointEntry:
    host, _, port = member.get("host_port", ":0").rpartition(":")
    return EndpointEntry(
        member["id"].encode(),
        int(member.get("cell", 0)),
        STATES_BY_PHASE.get(member.get("phase", ""), ReceiverState.GONE),
        (host.strip("[]"), int(port)),
        member.get("locality"),
        member.get("flavor"),
        float(member.get("size") or 0.0),
    )
