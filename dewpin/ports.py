"""The narrow places at which fronts and outlets meet the core, as types; docs/architecture.md tells how to use them.

It owns no state. A front (HTTP today; SMPP, an RPC plug-in) takes mails from its clients and hands them in at an
`Intake`; an outlet carries calls to receivers and tells each outcome once; a `Teller` tells the end of a mail that is
not relayed. The core knows these and no wire; a wire knows these and neither spool nor decisions.
"""
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, Protocol

Address = tuple[str, int, bytes]        # host, port, the receiver's id
Heard = Callable[[str, float, float, dict[str, float], bool], None]
"""(outcome of core.model, ms of the wait told, ms it took, load report, whether the mail is over)."""


class AttemptResult(NamedTuple):
    """What came of an attempt to deliver a message.

    `outcome`: one of core.model; `retry_after_ms`: how long the receiver asks to wait, 0 for no wait; `load_report`:
    what the receiver says of its load; `is_withdrawn`: nothing is owed for the message any more."""

    outcome: str
    retry_after_ms: float
    duration_ms: float
    load_report: dict[str, float]
    is_withdrawn: bool


class EndpointEntry(NamedTuple):
    """One receiver as an endpoint list has it; `state`: one of core.model, `address`: host and port."""

    receiver_id: bytes
    destination: int
    state: str
    address: tuple[str, int]
    zone: str | None
    kind: str | None
    weight: float


class Intake(Protocol):
    """Where a front hands mails in: the relay."""
    refusing: bool

    def hand_in(self, ident: bytes, queue_class: bytes, account: bytes, key: bytes, destination: bytes, tag: bytes,
                body: bytes, left: float | None, again: bool = False) -> tuple[bool | None, float]:
        """Takes a mail on or not, at once; `left`: ms of its lifetime that are left, None for its class's own; `again`:
        marked by the client as one that was handed in before.

        (True, 0): recorded, it is owed an end. (False, ms): refused, harmless to hand in again after so long (0: no
        advice). (None, status): a fault of its own, never taken on."""


class Front(Protocol):
    """What the process asks of a front."""
    clients: Any                # sized: connections that are open

    async def open(self, host: str, port: int) -> tuple[str, int]:
        """Listens, and gives the address."""

    def stop(self) -> None:
        """Refuses from now on; what was begun is answered."""

    def close(self) -> None:
        """Gives back the listener and every connection."""


class Outlet(Protocol):
    """What the relay asks of an outlet."""

    def call(self, address: Address, ident: bytes, tag: bytes, body: bytes, limit: float,
             leaves: Callable[[], float], done: Heard) -> None:
        """Sends a mail, once, and waits `limit` ms for its outcome; `done` is told once, never before this returns.

        `leaves()` is asked right before the first byte: ms within which the last one may leave; 0: it is not sent."""

    def recall(self, address: Address) -> None:
        """Calls to this address that have not left are told as unsent."""

    def close_idle(self, address: Address) -> None:
        """Idle connections to this address close."""


class Teller(Protocol):
    """Where the end of a mail that is not relayed is told."""
    owed: Any                   # sized: ends that are not answered for yet

    def tell(self, ident: bytes, deferred: bool, ms: float, answered: Callable[[], None]) -> None:
        """Tells it until it is answered for, then `answered()` once."""


class Learner(Protocol):
    """Where news of the list of receivers go: (receiver, destination, state, address, zone, kind, weight) of each."""

    def __call__(self, entries: Sequence[tuple[Any, ...]], complete: bool) -> None: ...
