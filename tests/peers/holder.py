"""Runs one peer as a process, a candidate for the lease on the role `d`.

While it holds the lease it sends its fencing token to the resource. Its only argument is JSON: name, peers, voters,
folder, term_ms, is_new_installation, resource (an address). On SIGTERM it releases the lease and exits.
"""

import asyncio
import json
import signal
import socket
import sys
import time

from dewpin.peers.lease_candidate import LeaseCandidate
from dewpin.peers.node import PeerNode, boot_time_ms

REPORT_TICKS = 50  # ticks between two reports of the address; a stalled resource may miss some


async def main(settings):
    resource = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    name, voters, term_ms = settings["name"], settings["voters"], settings["term_ms"]
    peers = {peer: tuple(address) for peer, address in settings["peers"].items()}
    node = PeerNode(name, peers, voters, settings["folder"], term_ms, settings["is_new_installation"])
    names = sorted([name, *peers])
    incarnation = time.time_ns() & 0xFFFFFFFF
    candidate = LeaseCandidate(name, names.index(name), len(names), "d", voters, term_ms, incarnation)
    candidate.wants_lease = True
    node.candidates.append(candidate)

    def report(**fields):
        resource.sendto(json.dumps(fields | {"name": name}).encode(), tuple(settings["resource"]))

    address, ticks = await node.open("127.0.0.1", 0), 0
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    while not stop.is_set():
        if ticks % REPORT_TICKS == 0:
            report(address=address)
        ticks += 1
        if (token := candidate.held_token(boot_time_ms())) is not None:
            report(token=token)
        await asyncio.sleep(0.01)
    node.release(candidate)
    await asyncio.sleep(0.05)  # lets messages to this peer itself be handled first
    node.close()


asyncio.run(main(json.loads(sys.argv[1])))
