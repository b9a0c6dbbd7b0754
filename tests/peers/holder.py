"""A peer as a process of its own: a candidate for the lease on the role `d`; while it holds it, it acts:
it sends its fencing token to the resource.

Its one argument is JSON: name, peers, voters, folder, term, first, taker. SIGTERM: it gives the lease up and ends.
"""

import asyncio
import json
import signal
import socket
import sys
import time

from dewpin.peers.lease_candidate import LeaseCandidate
from dewpin.peers.node import PeerNode, boot_time_ms


async def main(told):
    taker = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    peers = {name: tuple(address) for name, address in told["peers"].items()}
    node = PeerNode(told["name"], peers, told["voters"], told["folder"], told["term"], told["first"])
    names = sorted([told["name"], *peers])
    candidate = LeaseCandidate(
        told["name"],
        names.index(told["name"]),
        len(names),
        "d",
        told["voters"],
        told["term"],
        time.time_ns() & 0xFFFFFFFF,
    )
    candidate.wants_lease = True
    node.candidates.append(candidate)

    def tell(**facts):
        taker.sendto(json.dumps(facts | {"name": told["name"]}).encode(), tuple(told["taker"]))

    at, beat = await node.open("127.0.0.1", 0), 0
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    while not stop.is_set():
        if beat % 50 == 0:  # again and again: the taker may lose one when it stands still
            tell(at=at)
        beat += 1
        if (token := candidate.held_token(boot_time_ms())) is not None:
            tell(number=token)
        await asyncio.sleep(0.01)
    node.release(candidate)
    await asyncio.sleep(0.05)  # what was sent to itself goes first
    node.close()


asyncio.run(main(json.loads(sys.argv[1])))
