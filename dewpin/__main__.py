"""One sender as a process: start, ready, signals, stop.

It owns the order of the start and of the stop, and makes the one of each part that there is. Ready is told only once
the spool is replayed; a stop refuses new mails, finishes what fits and leaves the rest in the spool. SIGHUP swaps what
can be swapped in one turn of the loop, once the new file has been checked whole. It reads nothing of the environment
itself and decides nothing about a mail.
"""
import asyncio
import gc
import os
import signal
import sys

from . import config
from .facade import Facade
from .log import free, say
from .net.agent import Notices, Watch
from .net.inbound import AT_ONCE, SPARE, Door
from .net.outbound import Pool
from .relay import Relay
from .spool import Spool

FILES = 16              # descriptors beside connections of clients and to receivers


def bound(told, pool, door, spool):
    """Shares the limits out."""
    pool.most_idle = max(8, min(128, told.sockets // 8))
    slots = int(told.module["FamilyInfo"]["CallSlots"])
    door.most = max(8, told.sockets - 2 * slots - pool.most_idle - SPARE - 3 * AT_ONCE - FILES)
    door.memory = told.memory / 4.0
    spool.bound(told.disk)


async def serve(told):
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: say("fault", f"{context['message']}: {context.get('exception')!r}"))
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    reload = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload.set)      # one that comes early waits until all is made
    allowed = told.module["Allowed"]
    pool = Pool(loop, allowed.get("ConnectTimeout", 1500.0), allowed.get("IdleClose", 0.0))
    facade, spool = Facade(told.module, told.seed), Spool(told.state, told.disk)
    notices = Notices(told.agent)
    relay = Relay(loop, facade, spool, pool, notices)
    door = Door(loop, relay)
    bound(told, pool, door, spool)

    def learn(entries, complete):
        for address in facade.learn(entries, complete):
            pool.recall(address)
            pool.close_idle(address)
        relay.wake()

    watch = Watch(told.agent, told.known, learn)
    relay.resume()          # before the door: what was taken on earlier comes first in its key's order
    host, port = await door.open(*told.listen)
    gc.collect()
    gc.freeze()     # full rounds are soon due, and cheap: closed transports are cycles that only these give back
    say("start", f"{told.name} listens on {host}:{port}, {len(spool.sheets)} mails taken up")

    async def swap():
        nonlocal told
        while await reload.wait():
            reload.clear()
            try:
                new = config.read(os.environ)
                Facade(new.module, new.seed)        # the module's own checks
            except (config.Faulty, KeyError) as fault:
                say("reload", f"keeps the old configuration: {fault}")
                continue
            later = [name for name in ("name", "listen", "state", "module")
                     if getattr(new, name) != getattr(told, name)]
            told = new
            bound(told, pool, door, spool)
            watch.move(told.agent)
            notices.move(told.agent)
            say("reload", f"agent at {told.agent[0]}:{told.agent[1]}"
                + (f"; from the next start on: {', '.join(later)}" if later else ""))

    swapping = loop.create_task(swap())

    await stop.wait()
    stopped = loop.time()
    relay.refusing = True
    door.stop()
    say("stop", f"{told.name} takes no new mails")
    while loop.time() < stopped + told.stop_ends / 1000.0:
        relay.sending = loop.time() < stopped + told.stop_sends / 1000.0
        if not (relay.sending or relay.out or notices.owed or door.clients):
            break
        await asyncio.sleep(0.02)
    swapping.cancel()
    watch.channel.stop()
    notices.channel.stop()
    door.close()
    pool.close()
    say("stop", f"{told.name} ends, {len(spool.sheets)} mails lie in the spool")
    spool.close()


def main():
    free()
    try:
        told = config.read(os.environ)
    except config.Faulty as fault:
        print(f"dewpin: {fault}", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(told))
    except KeyError as error:
        print(f"dewpin: LB_CONFIG settings lack {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"dewpin: LB_LISTEN or LB_STATE: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
