"""The system state of a control server (register members and stores), read with the tier's internal RPC."""

import asyncio
from dataclasses import dataclass

from dewpin.cluster.rpc import Message, RpcClient, RpcError

from .addresses import FIRST_INTERNAL_PORT

CALL_TIMEOUT_S = 1.0
UNKNOWN_STATE_VERSION = -1
UNKNOWN_RECEIVERS_VERSION = [0, ""]


@dataclass(frozen=True, slots=True)
class SystemView:
    """The current register members and stores.

    version: version of the system state.
    members, stores: incarnations by machine name.
    is_settled: no change of members or stores is in progress.
    """

    version: int
    members: dict[str, str]
    stores: dict[str, str]
    is_settled: bool

    def has_member(self, machine: str, other_than: str | None = None) -> bool:
        """Return whether a machine is a member and a store, with an incarnation other than `other_than`."""
        incarnation = self.members.get(machine)
        return incarnation not in (None, other_than) and self.stores.get(machine) == incarnation


def read_system_view(control_server_ip: str) -> SystemView | None:
    """Read the system state of a control server; return None if it does not reply or has no state yet."""
    try:
        reply = asyncio.run(_fetch_state(f"{control_server_ip}:{FIRST_INTERNAL_PORT}"))
    except RpcError:
        return None
    state = reply.get("state")
    return None if state is None else _parse_state(state)


async def _fetch_state(address: str) -> Message:
    client = RpcClient()
    message: Message = {
        "type": "relay.watch",
        "state_version": UNKNOWN_STATE_VERSION,
        "receivers_version": UNKNOWN_RECEIVERS_VERSION,
        "wait": False,
    }
    try:
        return await client.call(address, message, CALL_TIMEOUT_S)
    finally:
        await client.close()


def _parse_state(state: Message) -> SystemView:
    names = state["names"]
    stores = state["stores"]
    return SystemView(
        version=state["version"],
        members={names[member]: member for member in state["members"]},
        stores={names[store]: store for store in stores["stable"]},
        is_settled=state["members"] == state["former_members"] and stores["next"] is None and bool(stores["stable"]),
    )
