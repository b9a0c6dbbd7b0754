"""Thread-safe slot allocation: a `SlotAllocator` behind a lock, with blocking waits.

A thread acquires a `Slot` for each attempt, records the result of the attempt on it and releases it at the end.
"""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass

from dewpin.cluster.logs import Event, log_event
from dewpin.cluster.receivers import Receiver
from dewpin.dataplane.load_balancing.outlier_ejection import CallFailure, ReceiverFault
from dewpin.dataplane.load_balancing.receiver_load import ServerLoad
from dewpin.dataplane.load_balancing.slot_allocation import QueuedRequest, SlotAllocator, SlotRequest
from dewpin.dataplane.membership.cluster_state import ClusterState


@dataclass(frozen=True, slots=True)
class NoSlot:
    """No receiver had a free slot in time; one is expected to be free after `retry_after_s`."""

    retry_after_s: float


class Slot:
    """A slot at a receiver, held until `release`, which is idempotent.

    Attributes:
        service: name of the service for which the slot was requested.
        receiver: the receiver to which the request may be sent.
    """

    __slots__ = ("_acquired_at", "_balancer", "_is_released", "receiver", "service")

    def __init__(self, balancer: "Balancer", service: str, receiver: Receiver, acquired_at: float) -> None:
        self._balancer = balancer
        self._is_released = False
        self._acquired_at = acquired_at
        self.service = service
        self.receiver = receiver

    @property
    def acquired_at(self) -> float:
        """Return when the slot was acquired; this time identifies its call among those to the receiver."""
        return self._acquired_at

    def record_response(self) -> None:
        """Record that the response has started, whatever its status."""
        self._balancer.record_response(self)

    def record_report(self, load: ServerLoad) -> None:
        """Record the load that the receiver reported."""
        self._balancer.record_report(self.receiver, load)

    def back_off_full(self, retry_after_s: float | None = None) -> None:
        """Record that the receiver is full; `retry_after_s` is the delay that it requested, if any."""
        self._balancer.back_off_full(self.receiver, retry_after_s)

    def back_off_unreachable(self) -> None:
        """Record that the receiver is unreachable, or that another receiver has its address."""
        self._balancer.back_off_unreachable(self.receiver)

    def reset_backoff(self) -> None:
        """Record that the receiver accepted a call."""
        self._balancer.reset_backoff(self.receiver)

    def record_error(self) -> None:
        """Record that a call failed after it was sent."""
        self._balancer.record_error(self.receiver)

    def record_fault(self, fault: ReceiverFault) -> None:
        """Record a fault of the receiver, which may eject it."""
        self._balancer.record_fault(self, fault)

    def record_success(self, call_time_s: float) -> None:
        """Record a successful call and its duration."""
        self._balancer.record_success(self.receiver, call_time_s)

    def release(self) -> None:
        """Release the slot."""
        if not self._is_released:
            self._is_released = True
            self._balancer.release(self)


class Balancer:
    """Allocates slots at receivers; thread-safe.

    `_granted_events` holds one event per queued request, which is set when the request is granted a slot.
    """

    def __init__(
        self, state: ClusterState, zone: str, clock: Callable[[], float], randomness: random.Random | None = None
    ) -> None:
        self._state = state
        self._clock = clock
        self._lock = threading.Lock()
        self._allocator = SlotAllocator(zone, randomness or random.Random())
        self._granted_events: dict[QueuedRequest, threading.Event] = {}

    def acquire(
        self, request: SlotRequest, has_client_disconnected: Callable[[], bool] = lambda: False
    ) -> Slot | NoSlot:
        """Acquire a slot; wait for one until `request.wait_until` at most, or until the client disconnects."""
        service = request.service.name
        with self._lock:
            now = self._clock()
            self._refresh(service)
            receiver = self._allocator.acquire(request, now)
            if receiver is not None:
                return self._make_slot(service, receiver, now)
            if now >= request.wait_until:
                return NoSlot(self._allocator.expected_wait_s(service, now))
            queued = self._allocator.enqueue(request)
            granted = self._granted_events[queued] = threading.Event()
        return self._wait_for_slot(queued, granted, has_client_disconnected)

    def record_response(self, slot: Slot) -> None:
        """Record that the response to the call of a slot has started."""
        with self._lock:
            self._allocator.load_of(slot.receiver.id).record_response(slot.acquired_at, self._clock())

    def record_report(self, receiver: Receiver, load: ServerLoad) -> None:
        """Record the load that a receiver reported."""
        with self._lock:
            self._allocator.load_of(receiver.id).record_report(load, self._clock())

    def back_off_full(self, receiver: Receiver, retry_after_s: float | None) -> None:
        """Block a full receiver for the delay that it requested, or else for one derived from its call time."""
        with self._lock:
            load = self._allocator.load_of(receiver.id)
            load.back_off_full(self._clock(), receiver.capacity, retry_after_s, self._allocator.draw_jitter())

    def back_off_unreachable(self, receiver: Receiver) -> None:
        """Block an unreachable receiver for a backoff."""
        with self._lock:
            self._allocator.load_of(receiver.id).back_off_unreachable(self._clock(), self._allocator.draw_jitter())

    def reset_backoff(self, receiver: Receiver) -> None:
        """Record that a receiver accepts calls."""
        with self._lock:
            self._allocator.load_of(receiver.id).reset_backoff()

    def record_error(self, receiver: Receiver) -> None:
        """Record that a call to a receiver failed after it was sent."""
        with self._lock:
            self._allocator.load_of(receiver.id).record_error(self._clock())

    def record_fault(self, slot: Slot, fault: ReceiverFault) -> None:
        """Record a fault of the receiver in the call of a slot."""
        with self._lock:
            load = self._allocator.load_of(slot.receiver.id)
            failure = CallFailure(slot.acquired_at, self._clock(), load.patience_s)
            is_ejected = load.ejection.record_fault(fault, failure, self._allocator.draw_jitter())
        if is_ejected:
            log_event(Event.RECEIVER_EJECTED, receiver=slot.receiver.id, service=slot.service, reason=fault.value)

    def record_success(self, receiver: Receiver, call_time_s: float) -> None:
        """Record a successful call and its duration."""
        with self._lock:
            self._allocator.load_of(receiver.id).record_success(call_time_s, self._clock())

    def release(self, slot: Slot) -> None:
        """Release a slot and grant free slots to queued requests."""
        with self._lock:
            self._allocator.release(slot.receiver.id)
            self._allocator.load_of(slot.receiver.id).forget_call(slot.acquired_at)
            if self._granted_events:
                self._grant_queued(slot.service)

    def expected_wait_s(self, service: str) -> float:
        """Return the expected wait of a new request for a slot of a service, in seconds."""
        with self._lock:
            return self._allocator.expected_wait_s(service, self._clock())

    def _make_slot(self, service: str, receiver: Receiver, now: float) -> Slot:
        self._allocator.load_of(receiver.id).record_sent(now)
        return Slot(self, service, receiver, now)

    def _wait_for_slot(
        self, queued: QueuedRequest, granted: threading.Event, has_client_disconnected: Callable[[], bool]
    ) -> Slot | NoSlot:
        request = queued.request
        service = request.service.name
        while True:
            with self._lock:
                self._refresh(service)
                self._grant_queued(service)
                now = self._clock()
                if queued.receiver is not None:
                    return self._make_slot(service, queued.receiver, now)
                if now >= request.wait_until or has_client_disconnected():
                    self._allocator.cancel(queued)
                    del self._granted_events[queued]
                    return NoSlot(self._allocator.expected_wait_s(service, now))
                wake_at = min(request.wait_until, self._allocator.next_check_at(request, now))
            granted.wait(wake_at - now)

    def _refresh(self, service: str) -> None:
        self._allocator.sender_count = self._state.sender_count
        self._allocator.update_receivers(service, self._state.receivers.get(service, ()))

    def _grant_queued(self, service: str) -> None:
        for queued in self._allocator.grant_queued(service, self._clock()):
            self._granted_events.pop(queued).set()
