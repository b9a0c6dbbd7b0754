"""What the simulator tells: the records of a batch as types, with their fields in the order of the wire.

Times are milliseconds, as floats. `sender` is the number of the instance that a record is for.
"""

from __future__ import annotations

from typing import NamedTuple


class Provision(NamedTuple):
    """A sender starts. `settings_text`: a JSON object."""

    sender: int
    seed: int
    settings_text: bytes


class Targets(NamedTuple):
    """An update of the receiver list. `kind`: see `TargetsKind`; `census`: the number of the list that it refers to."""

    sender: int
    version: int
    kind: int
    census: int


class TargetsKind:
    """The kinds of updates that are treated in a way of their own; the others hold the complete list."""

    CHANGES = 0
    FAILED = 3  # there is no list; the one before stays in force


class Query(NamedTuple):
    """A message comes in. `flags`: a sum of `QueryFlag` values."""

    sender: int
    message_id: int
    queue_class: int
    account: int
    ordering_key: int
    time_left_ms: float
    cost_hint: float
    destination_id: float
    flags: int


class QueryFlag:
    """Bits of `Query.flags` that this program reads."""

    RESUBMITTED = 2  # its client has submitted it before
    INHERITED = 16  # it comes from a sender that died


class First(NamedTuple):
    """A stream has started to flow."""

    sender: int
    message_id: int
    attempt: int
    receiver_id: int
    duration_ms: float


class Returned(NamedTuple):
    """An attempt ended.

    outcome: its code.
    is_complete: nothing more is owed for the message.
    detail: with a rejection, the wait in ms that was asked for.
    load_report: values of the fields that the settings name; empty: none came.
    """

    sender: int
    message_id: int
    attempt: int
    receiver_id: int
    outcome: int
    duration_ms: float
    is_complete: int
    detail: int
    load_report: tuple[float, ...]


class Vanished(NamedTuple):
    """A message is withdrawn."""

    sender: int
    message_id: int


class Wakeup(NamedTuple):
    """A timer has fired."""

    sender: int
    handle: int


class Checked(NamedTuple):
    """A load report that was asked for."""

    sender: int
    receiver_id: int
    duration_ms: float
    outcome: int
    load_report: tuple[float, ...]


class NoteFrom(NamedTuple):
    """A note of another sender."""

    sender: int
    other_sender: int
    text: bytes


class Exit(NamedTuple):
    """A sender dies without warning."""

    sender: int


class ReceiverEntry(NamedTuple):
    """A receiver in a list. `state`: 0 gone, 1 ready, 2 draining; `listed_at`: since when it is in the list."""

    state: int
    weight: float
    zone: int
    listed_at: float
    kind: int
    receiver_id: int
    destination_id: int


class Census(NamedTuple):
    """A list of receivers under a number, for the `Targets` of all senders."""

    census: int
    entries: list[ReceiverEntry]


SenderEvent = Provision | Targets | Query | First | Returned | Vanished | Wakeup | Checked | NoteFrom | Exit
Event = SenderEvent | Census


class Batch(NamedTuple):
    """Events that happened up to a moment, in order."""

    number: int
    now: float
    events: list[Event]
