"""The receivers and destinations that endpoint lists have named, and the receivers that operators detached."""

from collections.abc import Mapping, Sequence
from typing import Any

from ..core.dispatcher import Dispatcher
from ..core.model import Destination, Receiver, ReceiverState
from ..ports import Address, EndpointEntry

MAX_GONE_RECEIVERS = 200
"""Receivers that are gone and still remembered."""
UNKNOWN_ZONE = -1


class EndpointDirectory:
    """Maps ids on the wire to the dispatcher's receivers and destinations.

    `receivers` and `destinations`: those that lists have named, by id. `detached_receivers`: the receivers that
    operators detached, each with the state that the list says. `listed_count`: receivers that the list names and that
    are not gone. `zone_indexes`, `kind_indexes`: the dispatcher's numbers of the settings' zones and kinds."""

    def __init__(self, dispatcher: Dispatcher, settings: Mapping[str, Any]) -> None:
        self.zone_indexes = {name: index for index, name in enumerate(settings.get("Zones") or ())}
        self.kind_indexes = {name: index for index, name in enumerate(settings.get("Kinds") or ())}
        self.receivers: dict[bytes, Receiver] = {}
        self.destinations: dict[int, Destination] = {}
        self.detached_receivers: dict[bytes, str] = {}
        self.listed_count = 0
        self._dispatcher = dispatcher

    def update(self, entries: Sequence[EndpointEntry | tuple[Any, ...]], is_complete: bool) -> list[Address]:
        """Takes an update of the endpoint list; the addresses that no new attempts go to."""
        named_ids: set[bytes] = set()
        unused: list[Address] = []
        for entry in entries:
            receiver_id = entry[0]
            named_ids.add(receiver_id)
            if entry[2] == ReceiverState.GONE and receiver_id not in self.receivers:
                continue
            if replaced_address := self._apply_entry(entry):
                unused.append(replaced_address)
        if is_complete:
            for receiver_id, receiver in self.receivers.items():
                if receiver_id not in named_ids:
                    self._set_listed_state(receiver, ReceiverState.GONE)
        gone = [receiver for receiver in self.receivers.values() if receiver.state == ReceiverState.GONE]
        self.listed_count = len(self.receivers) - len(gone)
        for receiver in gone[:-MAX_GONE_RECEIVERS]:
            self._forget_receiver(self.receivers.pop(receiver.receiver_id))
        receivers = self.receivers.values()
        ready = {receiver.address for receiver in receivers if receiver.state == ReceiverState.READY}
        unused += [receiver.address for receiver in receivers]
        return [address for address in unused if address and address not in ready]

    def is_known(self, receiver_id: bytes) -> bool:
        """Whether an endpoint list or an operator has named this receiver."""
        return receiver_id in self.receivers or receiver_id in self.detached_receivers

    def detach(self, receiver_id: bytes) -> Address | None:
        """Operators detach a receiver: from now on it counts as draining, whatever the list says. Its address, if it
        has one."""
        receiver = self.receivers.get(receiver_id)
        self.detached_receivers.setdefault(receiver_id, receiver.state if receiver else ReceiverState.GONE)
        if receiver is None:
            return None
        self._set_listed_state(receiver, self.detached_receivers[receiver_id])
        address: Address | None = receiver.address
        return address

    def attach(self, receiver_id: bytes) -> None:
        """Operators attach a receiver again: what the list says of it holds."""
        listed_state = self.detached_receivers.pop(receiver_id, None)
        if listed_state and receiver_id in self.receivers:
            self._set_listed_state(self.receivers[receiver_id], listed_state)

    def avoided_count(self) -> int:
        """How many listed receivers get no or few messages, since they are detached or ejected."""
        detached = {self.receivers[one] for one in self.detached_receivers if one in self.receivers}
        avoided = detached | self._dispatcher.ejected_receivers
        return sum(1 for receiver in avoided if self._listed_state(receiver) != ReceiverState.GONE)

    def destination(self, destination_id: int) -> Destination:
        """The destination with this id, made if it is new."""
        if destination_id not in self.destinations:
            self.destinations[destination_id] = Destination(destination_id)
        return self.destinations[destination_id]

    def receiver(self, receiver_id: bytes, destination: Destination) -> Receiver:
        """The receiver with this id; one that no list has named is made as one that is gone."""
        if receiver_id not in self.receivers:
            self.receivers[receiver_id] = Receiver(
                receiver_id, destination, zone=UNKNOWN_ZONE, state=ReceiverState.GONE
            )
        return self.receivers[receiver_id]

    def _apply_entry(self, entry: EndpointEntry | tuple[Any, ...]) -> Address | None:
        """Applies a receiver's entry; its earlier address where that has changed."""
        receiver_id, destination_id, state, (host, port), zone, kind, weight = entry
        receiver = self.receiver(receiver_id, self.destination(destination_id))
        self._set_listed_state(receiver, state)
        if state == ReceiverState.GONE:
            return None
        address = host, port, receiver_id  # guards against a receiver that took over another's address
        replaced_address: Address | None = receiver.address if receiver.address not in (None, address) else None
        receiver.address, receiver.weight = address, weight
        receiver.zone, receiver.kind = self.zone_indexes.get(zone, UNKNOWN_ZONE), self.kind_indexes.get(kind, 0)
        return replaced_address

    def _set_listed_state(self, receiver: Receiver, listed_state: str) -> None:
        receiver.state = listed_state
        if receiver.receiver_id in self.detached_receivers:
            self.detached_receivers[receiver.receiver_id] = listed_state
            if listed_state == ReceiverState.READY:
                receiver.state = ReceiverState.DRAINING

    def _listed_state(self, receiver: Receiver) -> str:
        return self.detached_receivers.get(receiver.receiver_id, receiver.state)

    def _forget_receiver(self, receiver: Receiver) -> None:
        """Guards against memory that grows with all receivers and destinations that there ever were."""
        destination = receiver.destination
        destination.receivers.remove(receiver)
        self._dispatcher.forget_receiver(receiver)
        queue = destination.queue
        if not destination.receivers and not (queue and (queue.waiting or queue.in_flight)):
            del self.destinations[destination.destination_id]
            if queue:
                self._dispatcher.forget_queue(queue)
