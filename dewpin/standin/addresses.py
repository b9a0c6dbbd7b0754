"""Loopback addresses of a tier: one for each machine, all with the same ports."""

import random
import socket

RESERVATION_PORT = 17_379
RESERVATION_HOST = 254
MOST_NETWORKS = 254
MOST_MACHINES = 250

FIRST_INTERNAL_PORT = 17_380
LAST_INTERNAL_PORT = 17_395
CONTROL_PORT = 18_144
FRONT_PORT = 18_149
READY_PORT = 18_141
PLATFORM_PORT = 18_142
RECEIVER_PORT = 18_080


class NoNetworkFree(Exception):
    """Every loopback network is in use by another tier."""


class LoopbackNetwork:
    """The addresses 127.0.N.1 and on, kept from other tiers on this computer until `close`.

    A listening socket at the network's last address is the reservation: the system ends it with the process.
    """

    def __init__(self) -> None:
        self._taken = 0
        self._number, self._reservation = _reserve()

    def take_address(self) -> str:
        """Return the address of another machine."""
        if self._taken >= MOST_MACHINES:
            raise NoNetworkFree(f"all {MOST_MACHINES} addresses of 127.0.{self._number}.0 are taken")
        self._taken += 1
        return f"127.0.{self._number}.{self._taken}"

    def close(self) -> None:
        """Give the network back."""
        self._reservation.close()


def _reserve() -> tuple[int, socket.socket]:
    numbers = list(range(1, MOST_NETWORKS + 1))
    random.shuffle(numbers)
    for number in numbers:
        reservation = socket.socket()
        try:
            reservation.bind((f"127.0.{number}.{RESERVATION_HOST}", RESERVATION_PORT))
            reservation.listen(1)
        except OSError:
            reservation.close()
            continue
        return number, reservation
    raise NoNetworkFree("no loopback network is free")
