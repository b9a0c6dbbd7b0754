"""The choice of a receiver, and the order in which waiting requests get one, as a state machine without I/O.

A request gets a place at a receiver that has room by the sender's estimate. A request that finds none may wait; a freed
place goes to the route whose last place lies furthest back, where being more urgent counts as some time of waiting.
All times are seconds of one monotonic clock.
"""

import math
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b

from dewpin.cluster.configuration import Service
from dewpin.cluster.receivers import Receiver
from dewpin.dataplane.load_balancing.receiver_load import HEARD_LOAD_HALF_LIFE_S, ReceiverLoad

QUEUE_SHARE_OF_AIM = 0.5
"""A request may be expected to queue at a receiver for this share of its latency objective."""
LEAST_QUEUE_SHARE = 0.25
MOST_QUEUE_SHARE = 3.0
"""Bounds of the requests that may queue at a receiver, as a share of its capacity."""
ERROR_COST = 2.0
"""How much a receiver all of whose calls fail is taken to be fuller, in shares of its capacity."""
MOST_STICKY_ERRORS = 0.25
"""The share of failed calls beyond which a sticky request leaves its receiver."""
OTHER_ZONE_COST = 0.25
"""How much fuller, as a share of its capacity, a receiver of this zone may be before one elsewhere is preferred."""
COLD_CAPACITY_SHARE = 0.5
"""What a receiver that is still slow from its start is taken to bear."""
SILENCE_COST = 2.0
"""How much fuller, as a share of its capacity, a receiver counts that answers none of the calls it was sent."""
TIE_BREAK_COST = 0.02
STICKY_LOAD_SHARE = 0.75
"""A sticky request stays with its receiver while that one is less loaded than this share of its capacity."""
PRIORITY_STEP_S = 0.1
"""How much longer a route waits for a place than one that is more urgent by one."""
UNKNOWN_SENDERS = 8
"""The senders that share a receiver's connections while their number is unknown."""
LEAST_CONNECTIONS = 2
LEAST_CALL_TIME_S = 0.001
RECHECK_S = HEARD_LOAD_HALF_LIFE_S / 4
"""How long a waiting request stays unlooked at while nothing happens but the fading of heard loads."""
LEAST_RETRY_AFTER_S = 0.02
MOST_RETRY_AFTER_S = 1.0
WAIT_JITTER = 0.25


@dataclass(frozen=True, slots=True)
class PlaceRequest:
    """What a request needs: a receiver of `service`, by `hold_until` at the latest.

    `aim_s` is its latency objective; `avoid` names receivers that may not be chosen before a time.
    """

    service: Service
    route: str
    priority: int
    aim_s: float
    hold_until: float
    sticky_key: str | None = None
    avoid: Mapping[str, float] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Ticket:
    """A waiting request; `receiver` is set once it has its place."""

    request: PlaceRequest
    receiver: Receiver | None = None


class PlaceBook:
    """The places of all services that this sender gives out. It is not safe for threads by itself."""

    def __init__(self, zone: str, randomness: random.Random) -> None:
        self._zone = zone
        self._random = randomness
        self._receivers: dict[str, tuple[Receiver, ...]] = {}
        self._loads: dict[str, ReceiverLoad] = {}
        self._tickets: dict[str, list[Ticket]] = {}
        self._last_place: dict[str, float] = {}
        self.senders = 0

    def load(self, receiver_id: str) -> ReceiverLoad:
        """Return what is known of a receiver's work; of one that is listed no more, what is told of it is dropped."""
        return self._loads.get(receiver_id) or ReceiverLoad()

    def list_receivers(self, service: str, receivers: tuple[Receiver, ...]) -> None:
        """Take in the receivers of a service as they are listed now."""
        before = self._receivers.get(service, ())
        if receivers is before:
            return
        listed = {receiver.id for receiver in receivers}
        for receiver in before:
            if receiver.id not in listed:
                self._loads.pop(receiver.id, None)
        for receiver in receivers:
            self._loads.setdefault(receiver.id, ReceiverLoad())
        self._receivers[service] = receivers

    def take(self, request: PlaceRequest, now: float) -> Receiver | None:
        """Give a place to a request at once, unless there is none or others wait for one."""
        if self._tickets.get(request.service.name):
            return None
        return self._take(request, now)

    def wait(self, request: PlaceRequest) -> Ticket:
        """Let a request wait."""
        ticket = Ticket(request)
        self._tickets.setdefault(request.service.name, []).append(ticket)
        return ticket

    def give_up(self, ticket: Ticket) -> None:
        """Let a request wait no longer."""
        self._tickets[ticket.request.service.name].remove(ticket)

    def give_back(self, receiver_id: str) -> None:
        """Take a place back."""
        load = self._loads.get(receiver_id)
        if load is not None:
            load.own_calls -= 1

    def grant(self, service: str, now: float) -> list[Ticket]:
        """Give free places to waiting requests, and return those that have one now."""
        tickets = self._tickets.get(service)
        granted: list[Ticket] = []
        if not tickets:
            return granted
        remaining = list(tickets)
        while remaining:
            ticket = min(remaining, key=self._slot_time)
            remaining.remove(ticket)
            ticket.receiver = self._take(ticket.request, now)
            if ticket.receiver is not None:
                granted.append(ticket)
            elif not ticket.request.avoid:
                break
        for ticket in granted:
            tickets.remove(ticket)
        return granted

    def next_change(self, request: PlaceRequest, now: float) -> float:
        """Return when a waiting request should be looked at again although no place was given back."""
        changes = [self._loads[receiver.id].blocked_until for receiver in self._listed(request.service.name)]
        changes.extend(request.avoid.values())
        return min([now + RECHECK_S, *(until for until in changes if until > now)])

    def expected_wait(self, service: str, now: float) -> float:
        """Derive when there is room again from the time that a slot takes to free and the requests that wait."""
        receivers = [receiver for receiver in self._listed(service) if not receiver.draining]
        if not receivers:
            return MOST_RETRY_AFTER_S * self.draw_jitter()
        loads = [self._loads[receiver.id] for receiver in receivers]
        slots = sum(max(1, receiver.capacity) for receiver in receivers)
        call_time_s = sum(load.call_time_s for load in loads) / len(loads)
        waiting = len(self._tickets.get(service, ())) + 1
        unblocked_in_s = max(0.0, min(load.blocked_until for load in loads) - now)
        wait_s = unblocked_in_s + call_time_s * waiting / slots
        return min(MOST_RETRY_AFTER_S, max(LEAST_RETRY_AFTER_S, wait_s)) * self.draw_jitter()

    def draw_jitter(self) -> float:
        """Return a factor that keeps waits of many requests apart."""
        return self._random.uniform(1 - WAIT_JITTER, 1 + WAIT_JITTER)

    def _listed(self, service: str) -> tuple[Receiver, ...]:
        return self._receivers.get(service, ())

    def _slot_time(self, ticket: Ticket) -> float:
        request = ticket.request
        return self._last_place.get(request.route, 0.0) + request.priority * PRIORITY_STEP_S

    def _take(self, request: PlaceRequest, now: float) -> Receiver | None:
        receivers = self._listed(request.service.name)
        candidates = [receiver for receiver in receivers if self._has_room(receiver, request, now)]
        if not candidates:
            return None
        receiver = self._choose(candidates, request.sticky_key, now)
        self._loads[receiver.id].own_calls += 1
        self._last_place[request.route] = now
        return receiver

    def _has_room(self, receiver: Receiver, request: PlaceRequest, now: float) -> bool:
        load = self._loads[receiver.id]
        if receiver.draining or load.blocked_until > now or request.avoid.get(receiver.id, 0.0) > now:
            return False
        connections = request.service.max_conns // (self.senders or UNKNOWN_SENDERS)
        if load.own_calls >= max(LEAST_CONNECTIONS, connections):
            return False
        capacity = max(1, receiver.capacity)
        queue_share = QUEUE_SHARE_OF_AIM * request.aim_s / max(load.least_call_time_s, LEAST_CALL_TIME_S)
        queue_share = min(MOST_QUEUE_SHARE, max(LEAST_QUEUE_SHARE, queue_share))
        return load.total(now) < capacity + max(1.0, capacity * queue_share)

    def _choose(self, candidates: Sequence[Receiver], sticky_key: str | None, now: float) -> Receiver:
        if sticky_key is not None:
            ranked = sorted(candidates, key=lambda receiver: self._sticky_rank(sticky_key, receiver))
            for receiver in ranked:
                load = self._loads[receiver.id]
                is_sound = load.error_share(now) < MOST_STICKY_ERRORS and not load.is_silent(now)
                if is_sound and load.total(now) < receiver.capacity * STICKY_LOAD_SHARE:
                    return receiver
        return min(candidates, key=lambda receiver: self._cost(receiver, now))

    def _sticky_rank(self, key: str, receiver: Receiver) -> tuple[bool, float]:
        """Receivers of this zone come first: a session's prompts are large, and its clients stay in their zone."""
        return receiver.zone != self._zone, rendezvous_rank(key, receiver)

    def _cost(self, receiver: Receiver, now: float) -> float:
        capacity = max(1, receiver.capacity) * (COLD_CAPACITY_SHARE if receiver.cold_left_ms > 0 else 1.0)
        load = self._loads[receiver.id]
        cost = (load.total(now) + 1) / capacity + ERROR_COST * load.error_share(now)
        if receiver.zone != self._zone:
            cost += OTHER_ZONE_COST
        if load.is_silent(now):
            cost += SILENCE_COST
        return cost + TIE_BREAK_COST * self._random.random()


def rendezvous_rank(key: str, receiver: Receiver) -> float:
    """Return the rank of a receiver for a key, weighted by capacity; the lowest comes first."""
    digest = blake2b(f"{key}/{receiver.id}".encode(), digest_size=4).digest()
    drawn = (int.from_bytes(digest, "big") + 1) / (2**32 + 1)
    return -math.log(drawn) / max(1, receiver.capacity)
