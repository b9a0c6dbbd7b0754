"""The receivers and destinations from endpoint lists, and the receivers that operators detached."""

from collections.abc import Mapping, Sequence
from typing import Any

from ..core.dispatcher import Dispatcher
from ..core.model import Destination, Receiver, ReceiverState
from ..ports import Address, EndpointEntry

MAX_GONE_RECEIVERS = 200
"""Maximum number of receivers that are kept after they are gone."""
UNKNOWN_ZONE = -1


class EndpointDirectory:
    """Maps ids on the wire to the dispatcher's receivers and destinations.

    `receivers` and `destinations`: known from endpoint lists, by id. `detached_receivers`: the receivers that operators
    detached, each with its state in the list. `listed_count`: number of listed receivers that are not gone.
    `zone_indexes`, `kind_indexes`: the dispatcher's indexes of the zones and kinds in the settings."""

    def __init__(self, dispatcher: Dispatcher, settings: Mapping[str, Any]) -> None:
        self.zone_indexes = {name: index for index, name in enumerate(settings.get("Zones") or ())}
        self.kind_indexes = {name: index for index, name in enumerate(settings.get("Kinds") or ())}
        self.receivers: dict[bytes, Receiver] = {}
        self.destinations: dict[int, Destination] = {}
        self.detached_receivers: dict[bytes, str] = {}
        self.listed_count = 0
        self._dispatcher = dispatcher

    def update(self, entries: Sequence[EndpointEntry | tuple[Any, ...]], is_complete: bool) -> list[Address]:
        """Apply an update of the endpoint list; return the addresses that get no new attempts."""
        listed_ids: set[bytes] = set()
        unused_addresses: list[Address] = []
        for entry in entries:
            receiver_id = entry[0]
            listed_ids.add(receiver_id)
            if entry[2] == ReceiverState.GONE and receiver_id not in self.receivers:
                continue
            if replaced_address := self._apply_entry(entry):
                unused_addresses.append(replaced_address)
        if is_complete:
            for receiver_id, receiver in self.receivers.items():
                if receiver_id not in listed_ids:
                    self._set_listed_state(receiver, ReceiverState.GONE)
        gone = [receiver for receiver in self.receivers.values() if receiver.state == ReceiverState.GONE]
        self.listed_count = len(self.receivers) - len(gone)
        for receiver in gone[:-MAX_GONE_RECEIVERS]:
            self._forget_receiver(self.receivers.pop(receiver.receiver_id))
        receivers = self.receivers.values()
        ready = {receiver.address for receiver in receivers if receiver.state == ReceiverState.READY}
        unused_addresses += [receiver.address for receiver in receivers]
        return [address for address in unused_addresses if address and address not in ready]

    def is_known(self, receiver_id: bytes) -> bool:
        """Return whether the receiver is known from an endpoint list or an operator."""
        return receiver_id in self.receivers or receiver_id in self.detached_receivers

    def detach(self, receiver_id: bytes) -> Address | None:
        """Detach a receiver: it counts as draining even if the list says that it is ready. Return its address, or
        None."""
        receiver = self.receivers.get(receiver_id)
        self.detached_receivers.setdefault(receiver_id, receiver.state if receiver else ReceiverState.GONE)
        if receiver is None:
            return None
        self._set_listed_state(receiver, self.detached_receivers[receiver_id])
        address: Address | None = receiver.address
        return address

    def attach(self, receiver_id: bytes) -> None:
        """Attach a receiver again; its state in the list applies."""
        listed_state = self.detached_receivers.pop(receiver_id, None)
        if listed_state and receiver_id in self.receivers:
            self._set_listed_state(self.receivers[receiver_id], listed_state)

    def avoided_count(self) -> int:
        """Return the number of listed receivers that get few or no messages because they are detached or ejected."""
        detached = {
            self.receivers[receiver_id] for receiver_id in self.detached_receivers if receiver_id in self.receivers
        }
        avoided = detached | self._dispatcher.ejected_receivers
        return sum(1 for receiver in avoided if self._listed_state(receiver) != ReceiverState.GONE)

    def destination(self, destination_id: int) -> Destination:
        """Return the destination with this id; create it if needed."""
        if destination_id not in self.destinations:
            self.destinations[destination_id] = Destination(destination_id)
        return self.destinations[destination_id]

    def receiver(self, receiver_id: bytes, destination: Destination) -> Receiver:
        """Return the receiver with this id; one that is not in any list is created in the state `GONE`."""
        if receiver_id not in self.receivers:
            self.receivers[receiver_id] = Receiver(
                receiver_id, destination, zone=UNKNOWN_ZONE, state=ReceiverState.GONE
            )
        return self.receivers[receiver_id]

    def _apply_entry(self, entry: EndpointEntry | tuple[Any, ...]) -> Address | None:
        """Apply an entry of the endpoint list; return the receiver's previous address if it has changed."""
        receiver_id, destination_id, state, (host, port), zone, kind, weight = entry
        receiver = self.receiver(receiver_id, self.destination(destination_id))
        self._set_listed_state(receiver, state)
        if state == ReceiverState.GONE:
            return None
        address = host, port, receiver_id  # with its id, as a receiver may take over the address of another
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
        """Release a receiver, and its destination if unused; otherwise memory would grow with each one ever listed."""
        destination = receiver.destination
        destination.receivers.remove(receiver)
        self._dispatcher.forget_receiver(receiver)
        queue = destination.queue
        if not destination.receivers and not (queue and (queue.waiting or queue.in_flight)):
            del self.destinations[destination.destination_id]
            if queue:
                self._dispatcher.forget_queue(queue)
