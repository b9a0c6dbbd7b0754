"""A peer as a process of its own: it wants the duty `d`, and while it holds it, acts: it tells its number to the taker.

Its one argument is JSON: name, peers, voters, folder, term, first, taker. SIGTERM: it gives the duty up and ends.
"""

import asyncio
import json
import signal
import socket
import sys
import time

from dewpin.peers.lease import Candidate
from dewpin.peers.node import Node, clock


async def main(told):
    taker = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    peers = {name: tuple(address) for name, address in told["peers"].items()}
    node = Node(told["name"], peers, told["voters"], told["folder"], told["term"], told["first"])
    names = sorted([told["name"], *peers])
    one = Candidate(
        told["name"],
        names.index(told["name"]),
        len(names),
        "d",
        told["voters"],
        told["term"],
        time.time_ns() & 0xFFFFFFFF,
    )
    one.wants = True
    node.candidates.append(one)

    def tell(**facts):
        taker.sendto(json.dumps(facts | {"name": told["name"]}).encode(), tuple(told["taker"]))

    at, beat = await node.open("127.0.0.1", 0), 0
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    while not stop.is_set():
        if beat % 50 == 0:  # again and again: the taker may lose one when it stands still
            tell(at=at)
        beat += 1
        if (number := one.holds(clock())) is not None:
            tell(number=number)
        await asyncio.sleep(0.01)
    node.release(one)
    await asyncio.sleep(0.05)  # what was sent to itself goes first
    node.close()


asyncio.run(main(json.loads(sys.argv[1])))
