"""Events of the simulator: one type per record of a batch, with the fields in wire order.

Times are floats in milliseconds. `sender` is the number of the sender that a record is for.
"""

from __future__ import annotations

from typing import NamedTuple


class Provision(NamedTuple):
    """A sender starts. `settings_text`: its settings, a JSON object."""

    sender: int
    seed: int
    settings_text: bytes


class Targets(NamedTuple):
    """An update of the receiver list. `kind`: see `TargetsKind`; `census`: number of the list."""

    sender: int
    version: int
    kind: int
    census: int


class TargetsKind:
    """Kinds of list updates that need special handling; all other kinds refer to the complete list."""

    CHANGES = 0
    FAILED = 3  # no list is available; the previous one remains valid


class Query(NamedTuple):
    """A message arrives. `flags`: bitwise OR of `QueryFlag` values."""

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
    """Bits of `Query.flags` that the adapter uses."""

    RESUBMITTED = 2  # the client submitted the message before
    INHERITED = 16  # the message was taken over from a sender that died


class First(NamedTuple):
    """The first data of a streaming response arrived."""

    sender: int
    message_id: int
    attempt: int
    receiver_id: int
    duration_ms: float


class Returned(NamedTuple):
    """An attempt ended.

    outcome: code of the outcome.
    is_complete: nonzero if the message needs no further handling.
    detail: for a rejection, the requested delay in ms before a retry.
    load_report: values of the fields named in the settings; empty if there was no report.
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
    """A message was withdrawn."""

    sender: int
    message_id: int


class Wakeup(NamedTuple):
    """A timer fired."""

    sender: int
    handle: int


class Checked(NamedTuple):
    """A load report that was requested explicitly."""

    sender: int
    receiver_id: int
    duration_ms: float
    outcome: int
    load_report: tuple[float, ...]


class NoteFrom(NamedTuple):
    """A note from another sender."""

    sender: int
    other_sender: int
    text: bytes


class Exit(NamedTuple):
    """A sender terminates without warning."""

    sender: int


class ReceiverEntry(NamedTuple):
    """A receiver in a list. `state`: 0 gone, 1 ready, 2 draining; `listed_at`: when it was added to the list."""

    state: int
    weight: float
    zone: int
    listed_at: float
    kind: int
    receiver_id: int
    destination_id: int


class Census(NamedTuple):
    """A numbered list of receivers, to which the `Targets` of all senders refer."""

    census: int
    entries: list[ReceiverEntry]


SenderEvent = Provision | Targets | Query | First | Returned | Vanished | Wakeup | Checked | NoteFrom | Exit
Event = SenderEvent | Census


class Batch(NamedTuple):
    """Events up to the time `now`, in order."""

    number: int
    now: float
    events: list[Event]
