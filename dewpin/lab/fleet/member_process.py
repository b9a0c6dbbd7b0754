"""A member of the peers' cluster as a separate process, which reports its view of the membership.

Its only argument is a JSON object: name, peers, seeds, period, timeout, taker. It sends reports as JSON datagrams to
the address `taker`: its own address, the members that it considers active, and those that it declared lost. At SIGTERM
it leaves the cluster and ends.
"""

import asyncio
import json
import signal
import socket
import sys
import time
from typing import Any

from ...peers.membership import Membership
from ...peers.membership_messages import MemberState
from ...peers.node import PeerNode, boot_time_ms

CHECK_SECONDS = 0.02
REPORT_INTERVAL_CHECKS = 25  # checks without a change until the report is repeated, as a datagram may be lost


async def main(settings: dict[str, Any]) -> None:
    """Run the member until SIGTERM."""
    name = settings["name"]
    report_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    peers = {peer: (host, port) for peer, (host, port) in settings["peers"].items()}
    node = PeerNode(name, peers, (), "", 0.0)
    address = await node.open("127.0.0.1", 0)
    seeds = [(host, port) for host, port in settings["seeds"]]
    started_ms = time.time_ns() // 1000000
    membership = node.membership = Membership(
        name, address, started_ms, seeds, boot_time_ms(), settings["period"], settings["timeout"]
    )
    stop_requested = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop_requested.set)
    check_count, reported_active = 0, [""]
    while not stop_requested.is_set():
        lost = [member for member, state in membership.take_changes() if state == MemberState.LOST]
        active = membership.active_members()
        if lost or active != reported_active or check_count % REPORT_INTERVAL_CHECKS == 0:
            report = {
                "name": name,
                "at": address,
                "alive": active,
                "lost": lost,
                "replaced": membership.is_replaced,
            }
            report_socket.sendto(json.dumps(report).encode(), tuple(settings["taker"]))
        reported_active, check_count = active, check_count + 1
        await asyncio.sleep(CHECK_SECONDS)
    node.leave()
    await asyncio.sleep(0)
    node.close()


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
