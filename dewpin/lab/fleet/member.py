"""A member as a process of its own; it tells the taker whom it holds to be there, whom it calls lost, and its address.

Its one argument is JSON: name, peers, seeds, period, timeout, taker. SIGTERM: it leaves and ends.
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


async def main(told: dict[str, Any]) -> None:
    taker = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    peers = {name: (host, port) for name, (host, port) in told["peers"].items()}
    node = PeerNode(told["name"], peers, (), "", 0.0)
    at = await node.open("127.0.0.1", 0)
    seeds = [(host, port) for host, port in told["seeds"]]
    node.membership = Membership(told["name"], at, time.time_ns() // 1000000, seeds, boot_time_ms(), told["period"],
                                 told["timeout"])
    stop, beat, before = asyncio.Event(), 0, [""]
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    while not stop.is_set():
        lost = [name for name, state in node.membership.take_changes() if state == MemberState.LOST]
        now = node.membership.active_members()
        if lost or now != before or beat % 25 == 0:     # again and again: a datagram may be lost
            facts = {"name": told["name"], "at": at, "alive": now, "lost": lost,
                     "replaced": node.membership.is_replaced}
            taker.sendto(json.dumps(facts).encode(), tuple(told["taker"]))
        before, beat = now, beat + 1
        await asyncio.sleep(0.02)
    node.leave()
    await asyncio.sleep(0)
    node.close()


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
