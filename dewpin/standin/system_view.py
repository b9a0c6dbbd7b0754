"""What a control server holds as the system's state: its members and its stores. Read by the tier's own protocol."""

import asyncio
from dataclasses import dataclass

from dewpin.cluster.rpc import Message, RpcClient, RpcError

from .addresses import FIRST_INTERNAL_PORT

CALL_TIMEOUT_S = 1.0
NOTHING_KNOWN = -1
NO_RECEIVERS = [0, ""]


@dataclass(frozen=True, slots=True)
class SystemView:
    """The incarnations, by machine, that take part. `settled`: no change of members or stores is under way."""

    version: int
    members: dict[str, str]
    stores: dict[str, str]
    settled: bool

    def has_member(self, machine: str, other_than: str | None = None) -> bool:
        """Tell whether a machine is member and store, as another incarnation than the one named."""
        incarnation = self.members.get(machine)
        return incarnation not in (None, other_than) and self.stores.get(machine) == incarnation


def read_system_view(control_server_ip: str) -> SystemView | None:
    """Ask the control server at an address; None if it does not answer or knows nothing yet."""
    try:
        answer = asyncio.run(_fetch_state(f"{control_server_ip}:{FIRST_INTERNAL_PORT}"))
    except RpcError:
        return None
    state = answer.get("state")
    return None if state is None else _view_of(state)


async def _fetch_state(address: str) -> Message:
    client = RpcClient()
    message: Message = {
        "type": "relay.watch",
        "state_version": NOTHING_KNOWN,
        "receivers_version": NO_RECEIVERS,
        "wait": False,
    }
    try:
        return await client.call(address, message, CALL_TIMEOUT_S)
    finally:
        await client.close()


def _view_of(state: Message) -> SystemView:
    names = state["names"]
    stores = state["stores"]
    return SystemView(
        version=state["version"],
        members={names[member]: member for member in state["members"]},
        stores={names[store]: store for store in stores["stable"]},
        settled=state["members"] == state["former_members"] and stores["next"] is None and bool(stores["stable"]),
    )
