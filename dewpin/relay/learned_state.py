"""Exports and imports the learned state of the dispatcher, for the process that takes over while this one runs.

The names in the exported values must not change: processes of two versions exchange them. Attempts in flight and
pending messages are not included; they are in the journal.
"""

from collections.abc import Mapping
from typing import Any

from ..ports import EndpointEntry
from ..spool.endpoint_cache import decode_row, encode_row
from .facade import Facade

LearnedState = dict[str, Any]
"""A map that can be encoded as JSON."""


def export_learned_state(facade: Facade) -> LearnedState:
    """Return the endpoint list and the learned state of the sender, its destinations and their receivers."""
    dispatcher, endpoints = facade.dispatcher, facade.endpoints
    return {
        "list": _export_endpoints(facade),
        **dispatcher.export_sender_state(),
        "destinations": [
            [destination.destination_id, *dispatcher.export_destination_state(destination)]
            for destination in endpoints.destinations.values()
        ],
        "receivers": [
            [receiver.receiver_id.decode("latin-1"), *dispatcher.export_receiver_state(receiver)]
            for receiver in endpoints.receivers.values()
        ],
    }


def endpoint_entries(state: LearnedState) -> list[EndpointEntry]:
    """Return the endpoint list of an exported state."""
    return [decode_row(row) for row in state["list"]]


def import_learned_state(facade: Facade, state: LearnedState) -> None:
    """Import an exported state; existing attempts and messages are kept."""
    dispatcher = facade.dispatcher
    dispatcher.restore_sender_state(state)
    for destination_id, queue, limits in state["destinations"]:
        dispatcher.restore_destination_state(facade.endpoints.destination(destination_id), queue, limits)
    for receiver_id, health, limits in state["receivers"]:
        if receiver := facade.endpoints.receivers.get(receiver_id.encode("latin-1")):
            dispatcher.restore_receiver_state(receiver, health, limits)


def _export_endpoints(facade: Facade) -> list[list[Any]]:
    rows = []
    for receiver in facade.endpoints.receivers.values():
        host, port = (receiver.address or ("", 0))[:2]
        entry = EndpointEntry(
            receiver.receiver_id,
            receiver.destination.destination_id,
            facade.endpoints.detached_receivers.get(receiver.receiver_id, receiver.state),
            (host, port),
            _name_of_index(facade.endpoints.zone_indexes, receiver.zone),
            _name_of_index(facade.endpoints.kind_indexes, receiver.kind),
            receiver.weight,
        )
        rows.append(encode_row(entry))
    return rows


def _name_of_index(indexes: Mapping[str, int], index: int) -> str | None:
    return next((name for name, other in indexes.items() if other == index), None)
