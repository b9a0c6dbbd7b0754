"""Loopback addresses of a tier: one per machine, with the same ports on all."""

import random
import socket

from .errors import AddressesExhaustedError

RESERVATION_PORT = 17_379
RESERVATION_HOST = 254
"""Last octet of the address of the socket that reserves a network."""
NETWORK_COUNT = 254
MAX_MACHINES = 250

FIRST_INTERNAL_PORT = 17_380
LAST_INTERNAL_PORT = 17_395
CONTROL_PORT = 18_144
FRONT_PORT = 18_149
READY_PORT = 18_141
PLATFORM_PORT = 18_142
RECEIVER_PORT = 18_080


class LoopbackNetwork:
    """The addresses from 127.0.N.1, reserved against use by other tiers on this computer until `close`.

    The reservation is a listening socket at address 254 of the network, so it ends with the process at the latest.
    """

    def __init__(self) -> None:
        """Reserve a network. Raises AddressesExhaustedError if none is free."""
        self._used_count = 0
        self._number, self._reservation = _reserve()

    def take_address(self) -> str:
        """Return the address for another machine. Raises AddressesExhaustedError."""
        if self._used_count >= MAX_MACHINES:
            raise AddressesExhaustedError(f"all {MAX_MACHINES} addresses of 127.0.{self._number}.0 are in use")
        self._used_count += 1
        return f"127.0.{self._number}.{self._used_count}"

    def close(self) -> None:
        """Release the network."""
        self._reservation.close()


def _reserve() -> tuple[int, socket.socket]:
    numbers = list(range(1, NETWORK_COUNT + 1))
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
    raise AddressesExhaustedError("no loopback network is free")
