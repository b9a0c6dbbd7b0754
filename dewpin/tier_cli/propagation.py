"""How long a configuration takes down the relay tree, by its size and the rate of the senders' links."""

from dataclasses import dataclass

from dewpin.cluster.compression import CompressedOutput
from dewpin.controlplane.membership.leases import RELAY_FAN_OUT

BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


@dataclass(frozen=True, slots=True)
class Propagation:
    """What a configuration's body costs on its way.

    `compressed_bytes`: on one connection; `seconds`: until the children of one sender have it, which is the least time
    until all senders do. Levels of the tree overlap: pages are handed on before the body is complete.
    """

    compressed_bytes: int
    seconds: float


def estimate_propagation(body: bytes, link_mbps: float) -> Propagation:
    """Return the estimate for senders whose links carry `link_mbps` million bits a second."""
    compressed_bytes = len(CompressedOutput().encode(body))
    bits = compressed_bytes * BITS_PER_BYTE * RELAY_FAN_OUT
    return Propagation(compressed_bytes, bits / (link_mbps * BITS_PER_MEGABIT))
