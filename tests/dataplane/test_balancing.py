"""Places for threads: a waiting thread gets the place that another gives back, or leaves in time."""

import threading
import time

from dataplane.peers import PATIENCE_S, SERVICE, configuration

from dewpin.cluster.receivers import Receiver
from dewpin.dataplane.load_balancing.balancer import Balancer, NoSlot, Slot
from dewpin.dataplane.load_balancing.slot_allocation import SlotRequest
from dewpin.dataplane.membership.cluster_state import ClusterState

SERVICES = configuration().services


def receiver(id, capacity=1):
    return Receiver(id, SERVICE, "10.0.0.1:80", "here", capacity, False, 0.0, "v1")


def wanted(wait_until):
    return SlotRequest(SERVICES[SERVICE], "route", 0, 0.1, wait_until)


def full_balancer(clock=time.monotonic):
    """Return a balancer whose one receiver has no room left, and the places taken there."""
    balancer = Balancer(ClusterState(receivers={SERVICE: (receiver("a"),)}), "here", clock)
    return balancer, [balancer.acquire(wanted(0.0)) for _ in range(2)]


def test_who_may_not_wait_gets_no_place():
    balancer, _ = full_balancer()
    assert isinstance(balancer.acquire(wanted(0.0)), NoSlot)


def test_a_wait_ends_at_its_time():
    now = [10.0]

    def clock():
        now[0] += 0.2
        return now[0]

    balancer, _ = full_balancer(clock)
    assert isinstance(balancer.acquire(wanted(11.0)), NoSlot)
    assert now[0] >= 11.0


def test_a_place_given_back_goes_to_the_thread_that_waits():
    balancer, places = full_balancer()
    got = []
    waiting = threading.Thread(target=lambda: got.append(balancer.acquire(wanted(time.monotonic() + PATIENCE_S))))
    waiting.start()
    places[0].release()
    waiting.join(PATIENCE_S)
    assert [type(place) for place in got] == [Slot]


def test_a_place_is_given_back_once():
    balancer, places = full_balancer()
    places[0].release()
    places[0].release()
    assert isinstance(balancer.acquire(wanted(0.0)), Slot)
    assert isinstance(balancer.acquire(wanted(0.0)), NoSlot)


def test_a_receiver_that_is_listed_later_is_used():
    state = ClusterState()
    balancer = Balancer(state, "here", time.monotonic)
    assert isinstance(balancer.acquire(wanted(0.0)), NoSlot)
    state.receivers = {SERVICE: (receiver("b"),)}
    assert isinstance(balancer.acquire(wanted(0.0)), Slot)


def test_no_place_is_lost_or_given_twice_by_many_threads():
    capacity = 4
    balancer = Balancer(ClusterState(receivers={SERVICE: (receiver("a", capacity),)}), "here", time.monotonic)
    lock = threading.Lock()
    holding, most, served = [0], [0], [0]

    def work():
        for _ in range(50):
            place = balancer.acquire(wanted(time.monotonic() + PATIENCE_S))
            assert isinstance(place, Slot)
            with lock:
                holding[0] += 1
                most[0] = max(most[0], holding[0])
                served[0] += 1
            with lock:
                holding[0] -= 1
            place.release()

    threads = [threading.Thread(target=work) for _ in range(16)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(PATIENCE_S)
    assert served[0] == 16 * 50
    assert most[0] <= capacity + capacity // 2
    assert [type(balancer.acquire(wanted(0.0))) for _ in range(7)] == [Slot] * 6 + [NoSlot]
