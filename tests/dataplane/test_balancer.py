"""Thread-safe slot allocation: a waiting thread gets a slot released by another thread, or times out."""

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


def slot_request(wait_until):
    return SlotRequest(SERVICES[SERVICE], "route", 0, 0.1, wait_until)


def full_balancer(clock=time.monotonic):
    """Return a balancer whose only receiver is full, and all of its slots."""
    balancer = Balancer(ClusterState(receivers={SERVICE: (receiver("a"),)}), "here", clock)
    return balancer, [balancer.acquire(slot_request(0.0)) for _ in range(2)]


def test_request_that_may_not_wait_gets_no_slot():
    balancer, _ = full_balancer()
    assert isinstance(balancer.acquire(slot_request(0.0)), NoSlot)


def test_wait_for_slot_ends_at_wait_until():
    now = [10.0]

    def clock():
        now[0] += 0.2
        return now[0]

    balancer, _ = full_balancer(clock)
    assert isinstance(balancer.acquire(slot_request(11.0)), NoSlot)
    assert now[0] >= 11.0


def test_released_slot_goes_to_waiting_thread():
    balancer, slots = full_balancer()
    acquired = []
    waiting = threading.Thread(
        target=lambda: acquired.append(balancer.acquire(slot_request(time.monotonic() + PATIENCE_S)))
    )
    waiting.start()
    slots[0].release()
    waiting.join(PATIENCE_S)
    assert [type(slot) for slot in acquired] == [Slot]


def test_second_release_of_a_slot_has_no_effect():
    balancer, slots = full_balancer()
    slots[0].release()
    slots[0].release()
    assert isinstance(balancer.acquire(slot_request(0.0)), Slot)
    assert isinstance(balancer.acquire(slot_request(0.0)), NoSlot)


def test_receiver_listed_later_gets_calls():
    state = ClusterState()
    balancer = Balancer(state, "here", time.monotonic)
    assert isinstance(balancer.acquire(slot_request(0.0)), NoSlot)
    state.receivers = {SERVICE: (receiver("b"),)}
    assert isinstance(balancer.acquire(slot_request(0.0)), Slot)


def test_concurrent_threads_neither_lose_nor_share_slots():
    capacity = 4
    balancer = Balancer(ClusterState(receivers={SERVICE: (receiver("a", capacity),)}), "here", time.monotonic)
    lock = threading.Lock()
    held, max_held, served = [0], [0], [0]

    def acquire_repeatedly():
        for _ in range(50):
            slot = balancer.acquire(slot_request(time.monotonic() + PATIENCE_S))
            assert isinstance(slot, Slot)
            with lock:
                held[0] += 1
                max_held[0] = max(max_held[0], held[0])
                served[0] += 1
            with lock:
                held[0] -= 1
            slot.release()

    threads = [threading.Thread(target=acquire_repeatedly) for _ in range(16)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(PATIENCE_S)
    assert served[0] == 16 * 50
    assert max_held[0] <= capacity + capacity // 2
    assert [type(balancer.acquire(slot_request(0.0))) for _ in range(7)] == [Slot] * 6 + [NoSlot]
