"""Places at receivers for the threads that serve clients: `PlaceBook` behind a lock, with waiting."""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass

from dewpin.cluster.receivers import Receiver
from dewpin.dataplane.load_balancing.receiver_load import ServerLoad
from dewpin.dataplane.load_balancing.slot_allocation import PlaceBook, PlaceRequest, Ticket
from dewpin.dataplane.membership.cluster_state import ClusterState


@dataclass(frozen=True, slots=True)
class NoPlace:
    """No receiver had room in time; one is expected to have after `retry_after_s`."""

    retry_after_s: float


class Place:
    """A place at a receiver; it is held until `release`, which may be called more than once."""

    __slots__ = ("_balancer", "_released", "_sent_at", "receiver", "service")

    def __init__(self, balancer: "Balancer", service: str, receiver: Receiver, sent_at: float) -> None:
        self._balancer = balancer
        self._released = False
        self._sent_at = sent_at
        self.service = service
        self.receiver = receiver

    @property
    def sent_at(self) -> float:
        """Return when the place was given, which tells its call from others."""
        return self._sent_at

    def was_answered(self) -> None:
        """Take in that the receiver began to answer, in whatever way."""
        self._balancer.count_answered(self)

    def heard(self, load: ServerLoad) -> None:
        """Take in the load that the receiver told."""
        self._balancer.hear(self.receiver, load)

    def was_refused(self, told_wait_s: float | None = None) -> None:
        """Take in that the receiver is full; `told_wait_s` is the wait that it asked for, if any."""
        self._balancer.block_full(self.receiver, told_wait_s)

    def has_failed(self) -> None:
        """Take in that the receiver could not be reached, or that another one has its address."""
        self._balancer.block_failed(self.receiver)

    def has_begun(self) -> None:
        """Take in that the receiver has begun to answer."""
        self._balancer.count_begun(self.receiver)

    def has_erred(self) -> None:
        """Take in that a call failed after it was sent."""
        self._balancer.count_error(self.receiver)

    def was_served(self, call_time_s: float) -> None:
        """Take in that the receiver served a call in so many seconds."""
        self._balancer.count_served(self.receiver, call_time_s)

    def release(self) -> None:
        """Give the place back."""
        if not self._released:
            self._released = True
            self._balancer.release(self)


class Balancer:
    """Gives out places at receivers; every method may be called from any thread."""

    def __init__(
        self, state: ClusterState, zone: str, clock: Callable[[], float], randomness: random.Random | None = None
    ) -> None:
        self._state = state
        self._clock = clock
        self._lock = threading.Lock()
        self._book = PlaceBook(zone, randomness or random.Random())
        self._granted: dict[Ticket, threading.Event] = {}

    def acquire(self, request: PlaceRequest, client_has_gone: Callable[[], bool] = lambda: False) -> Place | NoPlace:
        """Return a place, after waiting until `request.hold_until` or until the client leaves, or NoPlace."""
        service = request.service.name
        with self._lock:
            now = self._clock()
            self._refresh(service)
            receiver = self._book.take(request, now)
            if receiver is not None:
                return self._place(service, receiver, now)
            if now >= request.hold_until:
                return NoPlace(self._book.expected_wait(service, now))
            ticket = self._book.wait(request)
            granted = self._granted[ticket] = threading.Event()
        return self._await_place(ticket, granted, client_has_gone)

    def count_answered(self, place: Place) -> None:
        """Take in that a receiver began to answer the call of a place."""
        with self._lock:
            self._book.load(place.receiver.id).count_answered(place.sent_at, self._clock())

    def hear(self, receiver: Receiver, load: ServerLoad) -> None:
        """Take in the load that a receiver told."""
        with self._lock:
            self._book.load(receiver.id).hear(load, self._clock())

    def block_full(self, receiver: Receiver, told_wait_s: float | None) -> None:
        """Send nothing more to a receiver that is full until the wait told, or derived, has passed."""
        with self._lock:
            load = self._book.load(receiver.id)
            load.block_full(self._clock(), receiver.capacity, told_wait_s, self._book.draw_jitter())

    def block_failed(self, receiver: Receiver) -> None:
        """Send nothing more for a while to a receiver that cannot be reached."""
        with self._lock:
            self._book.load(receiver.id).block_failed(self._clock(), self._book.draw_jitter())

    def count_begun(self, receiver: Receiver) -> None:
        """Take in that a receiver serves calls again, if it ever did not."""
        with self._lock:
            self._book.load(receiver.id).count_begun()

    def count_error(self, receiver: Receiver) -> None:
        """Take in that a call to a receiver failed after it was sent."""
        with self._lock:
            self._book.load(receiver.id).count_error(self._clock())

    def count_served(self, receiver: Receiver, call_time_s: float) -> None:
        """Take in how long a served call took."""
        with self._lock:
            self._book.load(receiver.id).count_served(call_time_s)

    def release(self, place: Place) -> None:
        """Take a place back and give it to a waiting request."""
        with self._lock:
            self._book.give_back(place.receiver.id)
            self._book.load(place.receiver.id).forget_call(place.sent_at)
            if self._granted:
                self._grant(place.service)

    def expected_wait(self, service: str) -> float:
        """Return the seconds after which a receiver of a service is expected to have room."""
        with self._lock:
            return self._book.expected_wait(service, self._clock())

    def _place(self, service: str, receiver: Receiver, now: float) -> Place:
        self._book.load(receiver.id).count_sent(now)
        return Place(self, service, receiver, now)

    def _await_place(
        self, ticket: Ticket, granted: threading.Event, client_has_gone: Callable[[], bool]
    ) -> Place | NoPlace:
        request = ticket.request
        service = request.service.name
        while True:
            with self._lock:
                self._refresh(service)
                self._grant(service)
                now = self._clock()
                if ticket.receiver is not None:
                    return self._place(service, ticket.receiver, now)
                if now >= request.hold_until or client_has_gone():
                    self._book.give_up(ticket)
                    del self._granted[ticket]
                    return NoPlace(self._book.expected_wait(service, now))
                wake_at = min(request.hold_until, self._book.next_change(request, now))
            granted.wait(wake_at - now)

    def _refresh(self, service: str) -> None:
        self._book.senders = self._state.senders
        self._book.list_receivers(service, self._state.receivers.get(service, ()))

    def _grant(self, service: str) -> None:
        for ticket in self._book.grant(service, self._clock()):
            self._granted.pop(ticket).set()
