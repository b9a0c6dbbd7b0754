"""The system state and its configuration: encoded bytes, processor time, memory of processes."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from benchmarks.capacity import shapes
from benchmarks.capacity.series import ONCE, Effort, Series, memory_series, message_series, processor_series, sample
from benchmarks.capacity.timing import resident_bytes
from dewpin.cluster.configuration import parse_configuration
from dewpin.cluster.netstring import Decoder, encode
from dewpin.controlplane.register.system_state import (
    SystemState,
    configuration_digest,
    initial_state,
    put_configuration,
)

STATE_MODULE = "dewpin/controlplane/register/system_state.py"
ROUTES = (50, 200, 500, 1_000, 2_000)
ACCEPTED_CHANGES = (0, 250, 500, 1_000, 2_000)
MEMBERS = 5


def system_state(routes: int, accepted: int = 0) -> SystemState:
    """Return a system state with the given numbers of configured routes and of accepted changes."""
    members = {f"{number:016x}": f"10.0.{number}.4:7380" for number in range(MEMBERS)}
    state = initial_state(members, {member: f"core-{member[-2:]}" for member in members})
    state = put_configuration(shapes.configuration(routes), 7, 0)(state)
    entries: list[list[int | str]] = [[number, configuration_digest(b"", number)] for number in range(accepted)]
    state["accepted"] = entries
    return state


def state_update(state: SystemState) -> bytes:
    """Return the encoded relay update with a new state."""
    return encode({"v": 1, "r": 1, "m": {"type": "relay.news", "list_age_s": 0.1, "state": state}})


def state_bytes(_: Effort) -> Series:
    """Measure the bytes of an update with a new system state, by the routes of its configuration."""
    points = sample(ROUTES, ONCE, lambda routes: float(len(state_update(system_state(routes)))))
    return Series("state-bytes", "bytes of the system state on the wire", STATE_MODULE, "routes", "bytes", "B", points)


def accepted_bytes(_: Effort) -> Series:
    """Measure the bytes of the system state, by the accepted changes that it lists."""
    points = sample(ACCEPTED_CHANGES, ONCE, lambda accepted: float(len(state_update(system_state(0, accepted)))))
    return Series(
        "accepted-bytes",
        "bytes of the system state on the wire, without routes",
        STATE_MODULE,
        "changes remembered",
        "bytes",
        "B",
        points,
    )


def state_send(effort: Effort) -> Series:
    """Measure the processor time to encode an update with a state, as for each child in the relay tree."""

    def prepare(routes: int) -> Callable[[], object]:
        return partial(state_update, system_state(routes))

    return message_series(
        "state-send",
        "make the message with a whole system state",
        "dewpin/cluster/netstring.py",
        "routes",
        ROUTES,
        effort,
        prepare,
    )


def state_apply(effort: Effort) -> Series:
    """Measure a sender's processor time to apply a state: decode the update, parse and validate the configuration."""

    def prepare(routes: int) -> Callable[[], object]:
        frame = state_update(system_state(routes))

        def apply() -> None:
            state = Decoder().feed(frame)[0]["m"]["state"]
            parse_configuration(state["configuration"]["body"].encode())

        return apply

    return processor_series(
        "state-take",
        "take up a system state: decode, read and check the configuration",
        "dewpin/cluster/configuration, netstring.py",
        "routes",
        "processor time a state",
        ROUTES,
        effort,
        prepare,
    )


def configuration_bytes(_: Effort) -> Series:
    """Measure the bytes of a configuration as the operator sends it, by its routes."""
    points = sample(ROUTES, ONCE, lambda routes: float(len(shapes.configuration(routes))))
    return Series(
        "configuration-bytes",
        "bytes of a whole configuration as the operator sends it",
        "made-up routes of the protocol's shape",
        "routes",
        "bytes of a configuration",
        "B",
        points,
    )


def resident_of_sender(routes: int) -> float:
    """Return the resident bytes of a sender's modules with a state and its parsed configuration.

    To be run in a separate process.
    """
    import dewpin.dataplane.sender_process  # noqa: F401

    state = system_state(routes)
    configuration = parse_configuration(shapes.configuration(routes))
    return float(resident_bytes()) if configuration.generation and state["version"] else 0.0


def sender_memory(effort: Effort) -> Series:
    """Measure the memory of a sender process with a configuration, by its routes."""
    return memory_series(
        "sender-memory",
        "memory of a sender's modules with a system state and its parsed configuration",
        "dewpin/dataplane, dewpin/cluster/configuration",
        "routes",
        ROUTES,
        effort,
        resident_of_sender,
    )


def resident_of_control_server(routes: int) -> float:
    """Return the resident bytes of a control server's modules with a system state; to be run in a separate process."""
    import dewpin.controlplane.control_process  # noqa: F401

    state = system_state(routes)
    return float(resident_bytes()) if state["version"] else 0.0


def control_server_memory(effort: Effort) -> Series:
    """Measure the memory of a control server process with a system state, by its routes."""
    return memory_series(
        "control-server-memory",
        "memory of a control server's modules with a system state",
        "dewpin/controlplane",
        "routes",
        ROUTES,
        effort,
        resident_of_control_server,
    )
