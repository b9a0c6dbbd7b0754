"""Slot allocation: selects the receiver of the next call, and the queued request that gets the next free slot.

A slot is the permission to have one call in progress at a receiver. `SlotAllocator` is a state machine without I/O or
locks; `balancer.Balancer` adds the lock and the waiting.

* A receiver has a free slot if its estimated load is below its capacity plus the queue length that the request's
  latency target allows, and if this sender has not used up its share of the receiver's connections.
* A request with a sticky key goes to the highest-ranked receiver by rendezvous hashing (highest random weight) that is
  healthy and not too loaded. Otherwise a request goes to the receiver with the lowest cost: load relative to capacity,
  with penalties for errors, for another zone and for not responding.
* A receiver that is ejected (`outlier_ejection`) gets no requests, unless that would leave less than half of the
  service's receivers.
* A request that finds no free slot may be queued. A free slot goes to the route whose last slot was granted earliest;
  each step of a higher priority number delays a route's turn by `PRIORITY_STEP_S`.

All times are seconds of one monotonic clock.
"""

import math
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b

from dewpin.cluster.configuration import Service
from dewpin.cluster.receivers import Receiver
from dewpin.dataplane.load_balancing.receiver_load import REPORTED_LOAD_HALF_LIFE_S, ReceiverLoad

QUEUE_SHARE_OF_TARGET = 0.5
"""Maximum expected queueing time at a receiver, as a share of the request's latency target."""
MIN_QUEUE_SHARE = 0.25
MAX_QUEUE_SHARE = 3.0
"""Bounds of the queue length at a receiver, as a share of its capacity."""
ERROR_COST = 2.0
"""Cost of an error rate of 1, as a share of the receiver's capacity."""
MAX_STICKY_ERROR_RATE = 0.25
"""Error rate from which a receiver gets no sticky requests by their key."""
OTHER_ZONE_COST = 0.25
"""Cost of a receiver in another zone, as a share of its capacity."""
WARM_UP_CAPACITY_SHARE = 0.5
"""Share of its capacity that a receiver is assumed to have while it is warming up."""
UNRESPONSIVE_COST = 2.0
"""Cost of a receiver that does not respond to pending calls, as a share of its capacity."""
TIE_BREAK_COST = 0.02
"""Upper bound of a random cost that spreads calls over receivers of equal cost."""
MAX_EJECTED_SHARE = 0.5
"""If more than this share of a service's receivers is ejected, requests are sent to all of them."""
STICKY_LOAD_SHARE = 0.75
"""Load, as a share of its capacity, below which a receiver accepts sticky requests by their key."""
PRIORITY_STEP_S = 0.1
"""Additional wait for a slot, in seconds, for each step of a higher priority number."""
ASSUMED_SENDERS = 8
"""Number of senders assumed to share a receiver's connections while it is unknown."""
MIN_CONNECTIONS = 2
"""Minimum number of connections to a receiver that each sender may use, whatever the number of senders."""
MIN_CALL_TIME_S = 0.001
"""Lower bound of the call time from which the queue length is computed."""
RECHECK_PERIOD_S = REPORTED_LOAD_HALF_LIFE_S / 4
"""Interval between checks of a queued request while only the weight of reported loads changes."""
MIN_RETRY_AFTER_S = 0.02
MAX_RETRY_AFTER_S = 1.0
"""Bounds of the expected wait for a slot, before jitter."""
WAIT_JITTER = 0.25
"""Relative jitter of waits."""


@dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request for a slot.

    Attributes:
        service: the service whose receivers are eligible.
        route: name of the request's route; free slots are shared between routes.
        priority: priority number of the route; 0 is the highest priority.
        latency_target_s: latency target of the route.
        wait_until: time until which the request may be queued.
        sticky_key: requests with the same key should go to the same receiver.
        avoid_until: by receiver id, the time before which that receiver must not be selected.
    """

    service: Service
    route: str
    priority: int
    latency_target_s: float
    wait_until: float
    sticky_key: str | None = None
    avoid_until: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A queued request; `receiver` is set once the request is granted a slot."""

    request: SlotRequest
    receiver: Receiver | None = None


class SlotAllocator:
    """Allocates slots at the receivers of all services. Not thread-safe.

    `sender_count` is the number of senders that share the receivers' connections, 0 while it is unknown. A queued
    request stays in the queue of its service until `grant_queued` returns it or `cancel` removes it.
    """

    def __init__(self, zone: str, randomness: random.Random) -> None:
        self._zone = zone
        self._random = randomness
        self._receivers: dict[str, tuple[Receiver, ...]] = {}
        self._loads: dict[str, ReceiverLoad] = {}
        self._queues: dict[str, list[QueuedRequest]] = {}
        self._last_grant_at: dict[str, float] = {}
        self.sender_count = 0

    def load_of(self, receiver_id: str) -> ReceiverLoad:
        """Return the load of a receiver; for a receiver that is no longer listed, a new object that is not stored."""
        return self._loads.get(receiver_id) or ReceiverLoad()

    def update_receivers(self, service: str, receivers: tuple[Receiver, ...]) -> None:
        """Replace the receivers of a service; receivers that remain listed keep their load."""
        previous = self._receivers.get(service, ())
        if receivers is previous:
            return
        listed_ids = {receiver.id for receiver in receivers}
        for receiver in previous:
            if receiver.id not in listed_ids:
                self._loads.pop(receiver.id, None)
        for receiver in receivers:
            self._loads.setdefault(receiver.id, ReceiverLoad())
        self._receivers[service] = receivers

    def acquire(self, request: SlotRequest, now: float) -> Receiver | None:
        """Acquire a slot without waiting; return None if none is free or other requests are queued."""
        if self._queues.get(request.service.name):
            return None
        return self._acquire(request, now)

    def enqueue(self, request: SlotRequest) -> QueuedRequest:
        """Queue a request."""
        queued = QueuedRequest(request)
        self._queues.setdefault(request.service.name, []).append(queued)
        return queued

    def cancel(self, queued: QueuedRequest) -> None:
        """Remove a request from its queue."""
        self._queues[queued.request.service.name].remove(queued)

    def release(self, receiver_id: str) -> None:
        """Release a slot at a receiver."""
        load = self._loads.get(receiver_id)
        if load is not None:
            load.own_calls -= 1

    def grant_queued(self, service: str, now: float) -> list[QueuedRequest]:
        """Grant free slots to queued requests; remove these requests from the queue and return them."""
        queue = self._queues.get(service)
        granted: list[QueuedRequest] = []
        if not queue:
            return granted
        remaining = list(queue)
        while remaining:
            queued = min(remaining, key=self._grant_order)
            remaining.remove(queued)
            queued.receiver = self._acquire(queued.request, now)
            if queued.receiver is not None:
                granted.append(queued)
            elif not queued.request.avoid_until:
                # Only `avoid_until` can make a free slot unusable for this request but usable for the next one.
                break
        for queued in granted:
            queue.remove(queued)
        return granted

    def next_check_at(self, request: SlotRequest, now: float) -> float:
        """Return when a queued request must be checked again even if no slot is released."""
        changes = [self._loads[receiver.id].blocked_until for receiver in self._listed_receivers(request.service.name)]
        changes.extend(request.avoid_until.values())
        return min([now + RECHECK_PERIOD_S, *(until for until in changes if until > now)])

    def expected_wait_s(self, service: str, now: float) -> float:
        """Return the expected wait of a new request for a slot, from the queue length and the call time, in seconds."""
        receivers = [receiver for receiver in self._listed_receivers(service) if not receiver.draining]
        if not receivers:
            return MAX_RETRY_AFTER_S * self.draw_jitter()
        loads = [self._loads[receiver.id] for receiver in receivers]
        slots = sum(max(1, receiver.capacity) for receiver in receivers)
        call_time_s = sum(load.call_time_s for load in loads) / len(loads)
        position = len(self._queues.get(service, ())) + 1
        unblocked_in_s = max(0.0, min(load.blocked_until for load in loads) - now)
        wait_s = unblocked_in_s + call_time_s * position / slots
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)) * self.draw_jitter()

    def draw_jitter(self) -> float:
        """Return a random factor that spreads out the waits of many requests."""
        return self._random.uniform(1 - WAIT_JITTER, 1 + WAIT_JITTER)

    def _listed_receivers(self, service: str) -> tuple[Receiver, ...]:
        return self._receivers.get(service, ())

    def _grant_order(self, queued: QueuedRequest) -> float:
        """Return the sort key of a queued request; the lowest one is granted the next slot."""
        request = queued.request
        return self._last_grant_at.get(request.route, 0.0) + request.priority * PRIORITY_STEP_S

    def _acquire(self, request: SlotRequest, now: float) -> Receiver | None:
        receivers = self._listed_receivers(request.service.name)
        eligible = self._without_ejected(receivers, now)
        candidates = [receiver for receiver in eligible if self._has_free_slot(receiver, request, now)]
        if not candidates:
            return None
        receiver = self._choose(candidates, request.sticky_key, now)
        load = self._loads[receiver.id]
        load.own_calls += 1
        if load.ejection.is_in_doubt and not load.ejection.is_ejected(now):
            load.ejection.record_probe(now, self.draw_jitter())
        self._last_grant_at[request.route] = now
        return receiver

    def _without_ejected(self, receivers: tuple[Receiver, ...], now: float) -> Sequence[Receiver]:
        """Return the receivers that are not ejected; all of them if too many are."""
        available = [receiver for receiver in receivers if not receiver.draining]
        remaining = [receiver for receiver in available if not self._loads[receiver.id].ejection.is_ejected(now)]
        ejected_count = len(available) - len(remaining)
        return remaining if ejected_count <= MAX_EJECTED_SHARE * len(available) else available

    def _has_free_slot(self, receiver: Receiver, request: SlotRequest, now: float) -> bool:
        load = self._loads[receiver.id]
        if receiver.draining or load.blocked_until > now or request.avoid_until.get(receiver.id, 0.0) > now:
            return False
        connections = request.service.max_conns // (self.sender_count or ASSUMED_SENDERS)
        if load.own_calls >= max(MIN_CONNECTIONS, connections):
            return False
        capacity = max(1, receiver.capacity)
        call_time_s = max(load.min_call_time_s, MIN_CALL_TIME_S)
        queue_share = QUEUE_SHARE_OF_TARGET * request.latency_target_s / call_time_s
        queue_share = min(MAX_QUEUE_SHARE, max(MIN_QUEUE_SHARE, queue_share))
        return load.total(now) < capacity + max(1.0, capacity * queue_share)

    def _choose(self, candidates: Sequence[Receiver], sticky_key: str | None, now: float) -> Receiver:
        if sticky_key is not None:
            ranked = sorted(candidates, key=lambda receiver: self._sticky_rank(sticky_key, receiver))
            for receiver in ranked:
                load = self._loads[receiver.id]
                is_healthy = load.error_rate(now) < MAX_STICKY_ERROR_RATE and not load.is_unresponsive(now)
                if is_healthy and load.total(now) < receiver.capacity * STICKY_LOAD_SHARE:
                    return receiver
        return min(candidates, key=lambda receiver: self._cost(receiver, now))

    def _sticky_rank(self, key: str, receiver: Receiver) -> tuple[bool, float]:
        """Return the sort key of a receiver for a sticky key; receivers of this zone come first.

        The prompts of a session are large, and its clients stay in their zone.
        """
        return receiver.zone != self._zone, rendezvous_rank(key, receiver)

    def _cost(self, receiver: Receiver, now: float) -> float:
        capacity = max(1, receiver.capacity) * (WARM_UP_CAPACITY_SHARE if receiver.warm_up_left_ms > 0 else 1.0)
        load = self._loads[receiver.id]
        cost = (load.total(now) + 1) / capacity + ERROR_COST * load.error_rate(now)
        if receiver.zone != self._zone:
            cost += OTHER_ZONE_COST
        if load.is_unresponsive(now):
            cost += UNRESPONSIVE_COST
        return cost + TIE_BREAK_COST * self._random.random()


def rendezvous_rank(key: str, receiver: Receiver) -> float:
    """Return the rank of a receiver for a key by capacity-weighted rendezvous hashing; the lowest rank is preferred."""
    digest = blake2b(f"{key}/{receiver.id}".encode(), digest_size=4).digest()
    sample = (int.from_bytes(digest, "big") + 1) / (2**32 + 1)
    return -math.log(sample) / max(1, receiver.capacity)
