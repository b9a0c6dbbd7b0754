"""Estimates how long a configuration takes to propagate through the relay tree, from its size and the link rate."""

from dataclasses import dataclass

from dewpin.cluster.compression import CompressedOutput
from dewpin.controlplane.membership.leases import RELAY_FAN_OUT

BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


@dataclass(frozen=True, slots=True)
class Propagation:
    """The cost of propagating the body of a configuration.

    `compressed_bytes`: number of bytes transferred on each connection.
    `seconds`: time until all children of one sender have the body, which is a lower bound of the time for all senders.
        Levels of the tree overlap, since pages are forwarded before the body is complete.
    """

    compressed_bytes: int
    seconds: float


def estimate_propagation(body: bytes, link_mbps: float) -> Propagation:
    """Return the estimate for senders with links of `link_mbps` megabits per second."""
    compressed_bytes = len(CompressedOutput().encode(body))
    bits = compressed_bytes * BITS_PER_BYTE * RELAY_FAN_OUT
    return Propagation(compressed_bytes, bits / (link_mbps * BITS_PER_MEGABIT))
