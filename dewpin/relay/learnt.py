"""What the decision module has learnt, as plain values, for the process that takes over while this one still runs.

It owns their form: what is told here and not known there is passed over, so that two versions understand each other.
It decides nothing; calls out and mails in hand are not among it, they are the journal's.
"""
from ..core.decide import Gate, Pace, Ring, Trickle
from ..spool.endpoint_cache import decode_row, encode_row

OWN = ("out", "call", "waiting", "order")       # of calls and mails in hand, and of this process
SHAPES = {"rate": Pace, "span": Ring}       # a field that only this one has


def told(facade):
    """A map for JSON: the list as known, and the notes on the sender, its destinations and their receivers."""
    module = facade.module
    return {
        "list": [encode_row((receiver.receiver_id, receiver.destination.destination_id,
                      facade.detached.get(receiver.receiver_id, receiver.state), (receiver.address or ("", 0))[:2],
                      _name(facade.zones, receiver.zone), _name(facade.kinds, receiver.kind), receiver.weight))
                 for receiver in facade.receivers.values()],
        "sender": {"usual": module.usual, "recovers": module.recovers, "began": module.began},
        "crowded": list(module.crowded), "turned": list(module.turned.items()),
        "rests": [[key.decode("latin-1") if key else "", until] for key, until in module.rests.items()],
        "destinations": [[one.destination_id, _plain(one.queue), _plain(one.limits)]
                         for one in facade.destinations.values()],
        "receivers": [[one.receiver_id.decode("latin-1"), _plain(one.health), _plain(one.limits)]
                      for one in facade.receivers.values()]}


def entries(held):
    """The list of `told` in the form of `Facade.learn`."""
    return [decode_row(one) for one in held["list"]]


def recall(facade, held):
    """Puts the notes of `told` in force, beside the calls and mails that are there already."""
    module = facade.module
    for name, value in held["sender"].items():
        setattr(module, name, value)
    module.crowded.update(held["crowded"])
    module.turned.update(held.get("turned", ()))
    module.rests.update((key.encode("latin-1"), until) for key, until in held["rests"])
    for ident, line, gate in held["destinations"]:
        one = facade.destination(ident)
        if line is not None:
            _put(module.line(one), line)
        if gate is not None:
            one.limits = one.limits or Gate()
            _put(one.limits, gate)
    for ident, health, gate in held["receivers"]:
        if one := facade.receivers.get(ident.encode("latin-1")):
            if health is not None:
                _put(module.health(one), health)
                if one.health.trickle:
                    module.avoided.add(one)
            if gate is not None:
                one.limits = one.limits or Gate()
                _put(one.limits, gate)


def _name(names, at):
    return next((name for name, held in names.items() if held == at), None)


def _plain(notes):
    if notes is None:
        return None
    return {name: vars(value) if isinstance(value, (Pace, Ring)) else value for name, value in vars(notes).items()
            if name not in OWN and (value is None or isinstance(value, (int, float, Pace, Ring)))}


def _put(notes, held):
    for name, value in (held or {}).items():
        if notes is not None and name in vars(notes):
            if isinstance(value, dict):
                shape = Trickle if name == "trickle" else next(made for mark, made in SHAPES.items() if mark in value)
                value, fields = shape.__new__(shape), value
                vars(value).update(fields)
            setattr(notes, name, value)
