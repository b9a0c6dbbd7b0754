"""The receivers of the services, as the platform lists them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Receiver:
    """One incarnation of a receiver; `address` is its `host:port`, `capacity` the requests that it runs at once."""

    id: str
    backend: str
    address: str
    zone: str
    capacity: int
    draining: bool
    cold_left_ms: float
    generation: str
