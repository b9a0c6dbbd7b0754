"""What the decision module has learnt, as plain values, for the process that takes over while this one still runs.

It owns their form: what is told here and not known there is passed over, so that two versions understand each other.
It decides nothing; calls out and mails in hand are not among it, they are the journal's.
"""
from ..spool.endpoint_cache import decode_row, encode_row


def told(facade):
    """A map for JSON: the list as known, and the notes on the sender, its destinations and their receivers."""
    module = facade.module
    return {
        "list": [encode_row((receiver.receiver_id, receiver.destination.destination_id,
                      facade.detached.get(receiver.receiver_id, receiver.state), (receiver.address or ("", 0))[:2],
                      _name(facade.zones, receiver.zone), _name(facade.kinds, receiver.kind), receiver.weight))
                 for receiver in facade.receivers.values()],
        **module.export_sender_state(),
        "destinations": [[one.destination_id, *module.export_destination_state(one)]
                         for one in facade.destinations.values()],
        "receivers": [[one.receiver_id.decode("latin-1"), *module.export_receiver_state(one)]
                      for one in facade.receivers.values()]}


def entries(held):
    """The list of `told` in the form of `Facade.learn`."""
    return [decode_row(one) for one in held["list"]]


def recall(facade, held):
    """Puts the notes of `told` in force, beside the calls and mails that are there already."""
    module = facade.module
    module.restore_sender_state(held)
    for ident, line, gate in held["destinations"]:
        module.restore_destination_state(facade.destination(ident), line, gate)
    for ident, health, gate in held["receivers"]:
        if one := facade.receivers.get(ident.encode("latin-1")):
            module.restore_receiver_state(one, health, gate)


def _name(names, at):
    return next((name for name, held in names.items() if held == at), None)
