"""The choice of a receiver, and the waiting for one that has room.

`ReceiverLoad` estimates how much work a receiver has: this sender's own calls, and those of others as last heard in
`X-Dewpin-Server-Load`, fading with time. `Balancer` gives out places at receivers. A request that finds no room waits
for a bounded time; a freed place goes to the route whose last place lies furthest back, where a more urgent priority
counts as some time of waiting. All times are seconds of one monotonic clock.
"""

import math
import random
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b

from dewpin.cluster.configuration import Service
from dewpin.cluster.receivers import Receiver

from .cluster_state import ClusterState

HEARD_LOAD_HALF_LIFE_S = 0.25
"""How fast what was heard of other senders' calls fades."""
QUEUE_SHARE = 0.5
"""Requests that a receiver is taken to queue, as a share of its capacity."""
OTHER_ZONE_COST = 0.25
"""How much fuller, as a share of its capacity, a receiver of this zone may be before one elsewhere is preferred."""
COLD_CAPACITY_SHARE = 0.5
"""What a receiver that is still slow from its start is taken to bear."""
TIE_BREAK_COST = 0.02
STICKY_LOAD_SHARE = 0.75
"""A sticky request stays with its receiver while that one is less loaded than this share of its capacity."""
FIRST_CALL_TIME_S = 0.1
CALL_TIME_WEIGHT = 0.2
LEAST_FULL_WAIT_S = 0.005
MOST_FULL_WAIT_S = 0.5
FIRST_FAILURE_WAIT_S = 0.25
MOST_FAILURE_WAIT_S = 2.0
WAIT_JITTER = 0.25
PRIORITY_STEP_S = 0.1
"""How much longer a route waits for a place than one that is more urgent by one."""
UNKNOWN_SENDERS = 8
"""The senders that share a receiver's connections while their number is unknown."""
LEAST_CONNECTIONS = 2
RECHECK_S = HEARD_LOAD_HALF_LIFE_S / 4
LEAST_RETRY_AFTER_S = 0.02
MOST_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """What a receiver tells of its work: requests running and waiting, and slots."""

    running: int
    waiting: int
    slots: int


def parse_server_load(value: str | None) -> ServerLoad | None:
    """Read `X-Dewpin-Server-Load`; None if it is absent or not readable."""
    if value is None:
        return None
    parts = value.split(",")
    if len(parts) != 3 or not all(part.strip().isdecimal() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return ServerLoad(running, waiting, slots)


@dataclass(slots=True)
class ReceiverLoad:
    """What this sender knows of one receiver's work."""

    own_calls: int = 0
    others_calls: float = 0.0
    heard_at: float = 0.0
    blocked_until: float = 0.0
    refusals: int = 0
    failures: int = 0
    call_time_s: float = FIRST_CALL_TIME_S

    def total(self, now: float) -> float:
        """Return the estimated number of requests running and waiting at the receiver."""
        fading = 0.5 ** ((now - self.heard_at) / HEARD_LOAD_HALF_LIFE_S)
        return self.own_calls + self.others_calls * fading

    def hear(self, load: ServerLoad, now: float) -> None:
        """Take in what the receiver told in an answer, while that call still counts as one's own."""
        self.others_calls = max(0.0, float(load.running + load.waiting - self.own_calls))
        self.heard_at = now


@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """What a request needs: a receiver of `service` outside `avoid`, by `hold_until` at the latest."""

    service: Service
    route: str
    priority: int
    hold_until: float
    sticky_key: str | None = None
    avoid: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class NoPlace:
    """No receiver had room in time; one is expected to have after `retry_after_s`."""

    retry_after_s: float


class Place:
    """A place at a receiver; it is held until `release`, which may be called more than once."""

    __slots__ = ("_balancer", "_released", "load", "receiver", "service", "taken_at")

    def __init__(
        self, balancer: "Balancer", service: str, receiver: Receiver, load: ReceiverLoad, taken_at: float
    ) -> None:
        self._balancer = balancer
        self._released = False
        self.service = service
        self.receiver = receiver
        self.load = load
        self.taken_at = taken_at

    def heard(self, load: ServerLoad) -> None:
        """Take in the load that the receiver told."""
        self._balancer.hear(self, load)

    def was_refused(self, told_wait_s: float | None = None) -> None:
        """Take in that the receiver is full; `told_wait_s` is the wait that it asked for, if any."""
        self._balancer.block_full(self, told_wait_s)

    def has_failed(self) -> None:
        """Take in that the receiver could not be reached, or that another one has its address."""
        self._balancer.block_failed(self)

    def was_served(self, call_time_s: float) -> None:
        """Take in that the receiver served a call in so many seconds."""
        self._balancer.count_served(self, call_time_s)

    def release(self) -> None:
        """Give the place back."""
        if not self._released:
            self._released = True
            self._balancer.release(self)


@dataclass(slots=True, eq=False)
class _Waiter:
    request: PlaceRequest
    granted: threading.Event = field(default_factory=threading.Event)
    place: Place | None = None


class Balancer:
    """Gives out places at receivers; every method may be called from any thread."""

    def __init__(
        self, state: ClusterState, zone: str, clock: Callable[[], float], randomness: random.Random | None = None
    ) -> None:
        self._state = state
        self._zone = zone
        self._clock = clock
        self._random = randomness or random.Random()
        self._lock = threading.Lock()
        self._loads: dict[str, ReceiverLoad] = {}
        self._known: dict[str, tuple[Receiver, ...]] = {}
        self._waiters: dict[str, list[_Waiter]] = {}
        self._last_place: dict[str, float] = {}

    def acquire(self, request: PlaceRequest) -> Place | NoPlace:
        """Return a place, after waiting until `request.hold_until` at the latest, or NoPlace."""
        service = request.service.name
        with self._lock:
            now = self._clock()
            place = None if self._waiters.get(service) else self._take_place(request, now)
            if place is not None:
                return place
            if now >= request.hold_until:
                return NoPlace(self._expected_wait(service, now))
            waiter = _Waiter(request)
            self._waiters.setdefault(service, []).append(waiter)
        return self._await_place(waiter)

    def hear(self, place: Place, load: ServerLoad) -> None:
        """Take in the load told by the receiver of `place`."""
        with self._lock:
            place.load.hear(load, self._clock())

    def block_full(self, place: Place, told_wait_s: float | None) -> None:
        """Send nothing more to a receiver that is full until the wait told, or derived, has passed."""
        with self._lock:
            load = place.load
            load.refusals += 1
            wait_s = told_wait_s
            if wait_s is None:
                slot_time_s = load.call_time_s / max(1, place.receiver.capacity)
                doubled = slot_time_s * 2.0 ** min(load.refusals - 1, 16)
                wait_s = min(MOST_FULL_WAIT_S, max(LEAST_FULL_WAIT_S, doubled)) * self._jitter()
            load.blocked_until = max(load.blocked_until, self._clock() + wait_s)

    def block_failed(self, place: Place) -> None:
        """Send nothing more for a while to a receiver that cannot be reached."""
        with self._lock:
            load = place.load
            wait_s = min(MOST_FAILURE_WAIT_S, FIRST_FAILURE_WAIT_S * 2.0 ** min(load.failures, 16)) * self._jitter()
            load.failures += 1
            load.blocked_until = max(load.blocked_until, self._clock() + wait_s)

    def count_served(self, place: Place, call_time_s: float) -> None:
        """Take in how long a served call took."""
        with self._lock:
            load = place.load
            load.refusals = 0
            load.failures = 0
            load.call_time_s += CALL_TIME_WEIGHT * (call_time_s - load.call_time_s)

    def release(self, place: Place) -> None:
        """Take a place back and give it to a waiting request."""
        with self._lock:
            place.load.own_calls -= 1
            self._grant(place.service, self._clock())

    def expected_wait(self, service: str) -> float:
        """Return the seconds after which a receiver of a service is expected to have room."""
        with self._lock:
            return self._expected_wait(service, self._clock())

    def _await_place(self, waiter: _Waiter) -> Place | NoPlace:
        service = waiter.request.service.name
        while True:
            with self._lock:
                now = self._clock()
                self._grant(service, now)
                if waiter.place is not None:
                    return waiter.place
                if now >= waiter.request.hold_until:
                    self._waiters[service].remove(waiter)
                    return NoPlace(self._expected_wait(service, now))
                wake_at = min(waiter.request.hold_until, self._next_change(service, now))
            waiter.granted.wait(wake_at - now)

    def _grant(self, service: str, now: float) -> None:
        """Give free places to waiting requests, in the order of their routes' slot times."""
        waiters = self._waiters.get(service)
        passed_over: set[int] = set()
        while waiters and len(passed_over) < len(waiters):
            waiter = min((each for each in waiters if id(each) not in passed_over), key=self._slot_time)
            waiter.place = self._take_place(waiter.request, now)
            if waiter.place is not None:
                waiters.remove(waiter)
                waiter.granted.set()
            elif waiter.request.avoid:
                passed_over.add(id(waiter))
            else:
                return

    def _slot_time(self, waiter: _Waiter) -> float:
        request = waiter.request
        return self._last_place.get(request.route, 0.0) + request.priority * PRIORITY_STEP_S

    def _take_place(self, request: PlaceRequest, now: float) -> Place | None:
        candidates = [
            receiver
            for receiver in self._receivers(request.service.name)
            if not receiver.draining and receiver.id not in request.avoid and self._has_room(receiver, request, now)
        ]
        if not candidates:
            return None
        receiver = self._choose(candidates, request.sticky_key, now)
        load = self._loads[receiver.id]
        load.own_calls += 1
        self._last_place[request.route] = now
        return Place(self, request.service.name, receiver, load, now)

    def _receivers(self, service: str) -> tuple[Receiver, ...]:
        """Return the listed receivers of a service, with a load for each."""
        receivers = self._state.receivers.get(service, ())
        if receivers is not self._known.get(service):
            self._adopt(service, receivers)
        return receivers

    def _adopt(self, service: str, receivers: tuple[Receiver, ...]) -> None:
        listed = {receiver.id for receiver in receivers}
        for receiver in self._known.get(service, ()):
            if receiver.id not in listed:
                self._loads.pop(receiver.id, None)
        for receiver in receivers:
            self._loads.setdefault(receiver.id, ReceiverLoad())
        self._known[service] = receivers

    def _has_room(self, receiver: Receiver, request: PlaceRequest, now: float) -> bool:
        load = self._loads[receiver.id]
        if load.blocked_until > now:
            return False
        senders = self._state.senders or UNKNOWN_SENDERS
        if load.own_calls >= max(LEAST_CONNECTIONS, request.service.max_conns // senders):
            return False
        capacity = max(1, receiver.capacity)
        return load.total(now) < capacity + max(1.0, capacity * QUEUE_SHARE)

    def _choose(self, candidates: Sequence[Receiver], sticky_key: str | None, now: float) -> Receiver:
        if sticky_key is not None:
            for receiver in sorted(candidates, key=lambda each: rendezvous_score(sticky_key, each), reverse=True):
                if self._loads[receiver.id].total(now) < receiver.capacity * STICKY_LOAD_SHARE:
                    return receiver
        return min(candidates, key=lambda receiver: self._cost(receiver, now))

    def _cost(self, receiver: Receiver, now: float) -> float:
        capacity = max(1, receiver.capacity) * (COLD_CAPACITY_SHARE if receiver.cold_left_ms > 0 else 1.0)
        cost = (self._loads[receiver.id].total(now) + 1) / capacity
        if receiver.zone != self._zone:
            cost += OTHER_ZONE_COST
        return cost + TIE_BREAK_COST * self._random.random()

    def _next_change(self, service: str, now: float) -> float:
        """Return when a waiting request should look again although no place was released."""
        unblocked = [self._loads[receiver.id].blocked_until for receiver in self._receivers(service)]
        return min([now + RECHECK_S, *(until for until in unblocked if until > now)])

    def _expected_wait(self, service: str, now: float) -> float:
        """Derive a wait from the time that a slot takes to free and the requests that wait already."""
        receivers = [receiver for receiver in self._receivers(service) if not receiver.draining]
        if not receivers:
            return MOST_RETRY_AFTER_S * self._jitter()
        loads = [self._loads[receiver.id] for receiver in receivers]
        slots = sum(max(1, receiver.capacity) for receiver in receivers)
        call_time_s = sum(load.call_time_s for load in loads) / len(loads)
        waiting = len(self._waiters.get(service, ())) + 1
        unblocked_in_s = max(0.0, min(load.blocked_until for load in loads) - now)
        wait_s = unblocked_in_s + call_time_s * waiting / slots
        return min(MOST_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, wait_s)) * self._jitter()

    def _jitter(self) -> float:
        return self._random.uniform(1 - WAIT_JITTER, 1 + WAIT_JITTER)


def rendezvous_score(key: str, receiver: Receiver) -> float:
    """Return the rank of a receiver for a key, weighted by capacity; the highest one is chosen."""
    digest = blake2b(f"{key}/{receiver.id}".encode(), digest_size=4).digest()
    drawn = (int.from_bytes(digest, "big") + 1) / (2**32 + 1)
    return -max(1, receiver.capacity) / math.log(drawn)
