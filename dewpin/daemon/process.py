"""One sender as a process: start, ready, signals, stop.

It owns the order of the start and of the stop, and makes the one of each part that there is. Ready is told only once
the spool is replayed; a stop refuses new mails, finishes what fits and leaves the rest in the spool. SIGHUP swaps what
can be swapped in one turn of the loop, once the new configuration has been checked whole. It decides nothing about a
mail.
"""
import asyncio
import gc
import hashlib
import os
import signal
import sys
from typing import TYPE_CHECKING

from .. import __version__, log
from ..config import faults, layers
from ..console.door import DESCRIPTORS, Console
from ..log import events, tell
from ..net import agent
from ..net.agent import Notices, Watch
from ..net.inbound import AT_ONCE, SPARE, Door
from ..net.outbound import Pool
from ..ports import Front, Intake, Outlet, Teller
from ..relay import learnt
from ..relay.course import Relay
from ..relay.facade import Facade
from ..spool.journal import Spool
from ..spool.kept import Kept
from ..spool.tail import Follower, Tail
from . import upgrade
from .control import Control
from .operated import Operated
from .status import facts

if TYPE_CHECKING:       # what this process puts together fits the narrow places at which it meets
    _FITS: tuple[type[Front], type[Intake], type[Outlet], type[Teller]] = (Door, Relay, Pool, Notices)

FILES = 16              # descriptors beside connections of clients and to receivers
SETTLES = 0.05          # seconds between two readings of a configuration, which must agree
TRIES = 20
LEAST_CLIENTS = 8
AGAIN = 1.0             # seconds after a fault of the folder's
QUEUED = 0.1            # seconds that a listener stays open once new connections go elsewhere
DONE, CAN_NOT, FAULTY = 0, 1, 2     # exit codes


def chance(sender):
    """The module's 64-bit seed, of the configured seed and the sender's name.

    Guards against senders with one configured seed that choose alike."""
    named = hashlib.blake2b(sender.name.encode(), digest_size=8).digest()
    return (int(sender.seed, 16) & 0xFFFFFFFFFFFFFFFF) ^ int.from_bytes(named, "little")


class Sources:
    """Where this process reads its configuration from, at the start and at each SIGHUP."""

    def __init__(self, environment, flags=(), operator=None):
        self.environment, self.flags, self.operator = environment, flags, operator

    def read(self, ended=False):
        """The configuration, checked whole, the decision module's own needs included. Raises Faulty."""
        reading = layers.read(self.environment, self.flags, self.operator, ended)
        try:
            Facade(reading.module, chance(reading.deployment.sender))
        except (KeyError, TypeError, ValueError) as error:
            file = os.path.basename(reading.deployment.platform.file)
            words = f"the decision module lacks {error}" if isinstance(error, KeyError) else str(error)
            raise faults.Faulty([faults.Fault(file, "settings", words)]) from None
        return reading

    async def settled(self, ended):
        """The same, once two readings a moment apart agree, so that nobody is writing it. Raises Faulty."""
        before = None
        for _ in range(TRIES):
            try:
                after = self.read(ended)
            except faults.Faulty as fault:
                after = fault.faults
            if after == before:
                break
            before = after
            await asyncio.sleep(SETTLES)
        else:
            words = "it still changes while it is read; send SIGHUP once it is whole"
            after = [faults.Fault("configuration", "", words)]
        if isinstance(after, list):
            raise faults.Faulty(after)
        return after


def bound(parts):
    """Shares the limits out, and puts in force what SIGHUP may swap."""
    told, pool, door, spool, follower = (parts[one] for one in ("told", "pool", "door", "spool", "follower"))
    d = told.deployment
    pool.most_idle = d.calls.idle or max(8, min(128, d.limits.sockets // 8))
    if follower.descriptors:        # the process before still holds some
        pool.most_idle = max(8, pool.most_idle // 4)
    slots = int(told.module["FamilyInfo"]["CallSlots"])
    files = FILES + (DESCRIPTORS if d.console.address else 0)
    room = max(LEAST_CLIENTS, d.limits.sockets - 2 * slots - pool.most_idle - SPARE - 3 * AT_ONCE - files
               - follower.descriptors)
    door.most = min(room, d.door.clients) if d.door.clients else room
    door.memory = d.limits.memory / 4.0
    door.patience, door.rest, door.idle = (ms / 1000.0 for ms in (d.door.patience, d.door.rest, d.door.idle))
    spool.bound(d.limits.disk)


def speak(told):
    """Puts [log] in force and tells what is allowed and most likely not meant."""
    d = told.deployment
    log.set_up(d.log.format, d.log.level, d.log.rate, d.log.debug_rate, d.log.held)
    for words in told.notes:
        tell(events.NOTE, why=words)


def waits(old, new):
    """The keys that differ and wait for the next start."""
    from ..config.keys import KEYS
    changed = []
    for key in KEYS.values():
        section, _, name = key.path.partition(".")
        if not key.swaps and (getattr(getattr(old.deployment, section), name)
                              != getattr(getattr(new.deployment, section), name)):
            changed.append(key.path)
    return changed + (["settings"] if old.module != new.module else [])


def keep(old, new, later):
    """Puts what waits for the next start back to what is in force."""
    new.module = old.module
    for path in later:
        section, _, name = path.partition(".")
        if name:
            setattr(getattr(new.deployment, section), name, getattr(getattr(old.deployment, section), name))


async def serve(told, sources):
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: tell(
        events.FAULT, part="loop", why=f"{context['message']}: {context.get('exception')!r}"))
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    reload = asyncio.Event()
    loop.add_signal_handler(signal.SIGHUP, reload.set)      # one that comes early waits until all is made
    d, allowed = told.deployment, told.module["Allowed"]
    operated = Operated()
    console = Console(operated)
    if d.console.address:       # first: until clients are taken it says no
        await console.open(*layers.address(d.console.address))
    pool = Pool(loop, allowed.get("ConnectTimeout", 1500.0), allowed.get("IdleClose", 0.0))
    facade = Facade(told.module, chance(d.sender))
    claim = upgrade.Claim(d.sender.state)
    lock, handed = await claim.enter()
    spool = Spool(d.sender.state, d.limits.disk)
    follower = Follower(d.sender.state, spool)
    notices = Notices(layers.address(d.agent.address))
    relay = Relay(loop, facade, spool, pool, notices)
    door = Door(loop, relay)
    parts = {"told": told, "relay": relay, "spool": spool, "door": door, "pool": pool, "follower": follower,
             "since": relay.clock.now()}
    if handed:
        follower.descriptors = handed["descriptors"]
    bound(parts)
    speak(told)

    def learn(entries, complete, revision=None):
        for address in facade.learn(entries, complete):
            pool.recall(address)
            pool.close_idle(address)
        if revision is not None:
            parts["kept"].learn(entries, complete, revision, relay.clock.now())
        relay.wake()

    for ident in spool.detached:
        facade.detach(ident)
    turns = agent.Turns(told.module["FleetSize"], told.module["Rules"]["DrainGrace"], chance(d.sender),
                        told.module.get("RegistryMode") != "on_request")
    kept = parts["kept"] = Kept(d.sender.state, d.agent.address, d.limits.disk)
    new, revision = kept.revision is None and not handed, None
    if handed:
        learn(learnt.entries(handed), True)
    elif kept.newer(told.known.get("revision", 0)):     # the platform's may be as old as the day
        revision = kept.revision
        learn(kept.entries(), True)
    else:
        revision, ended = told.known.get("revision", 0), kept.ended()
        learn(agent.entries(told.known.get("members", ())), True, revision)
        learn(ended, False)
    watch = Watch(layers.address(d.agent.address), revision, learn, turns, new)
    # before the door: what was taken on earlier comes first in its key's order
    relay.resume(follower if handed or follower.there() else None, handed and set(handed["out"]))
    if handed:
        learnt.recall(facade, handed)
        tell(events.TAKEN_OVER, name=d.sender.name, mails=len(spool.sheets))
    else:
        relay.follow(gone=True)     # of an upgrade during which both were killed
        claim.drop()
    host, port = await door.open(*layers.address(d.sender.listen))
    operated.serve(relay, pool)
    if handed:
        door.steer()
        claim.ready()
    control = Control(lambda lines: facts(parts, lines, lambda: asyncio.sleep(0)))
    await control.move(d.control.socket, d.control.token, d.control.lines)
    gc.collect()
    gc.freeze()     # full rounds are soon due, and cheap: closed transports are cycles that only these give back
    tell(events.START, name=d.sender.name, at=f"{host}:{port}", mails=len(spool.sheets), version=__version__)

    async def swap():
        while await reload.wait():
            reload.clear()
            old = parts["told"]
            try:
                new = await sources.settled(old.ended)
            except faults.Faulty as fault:
                for one in fault.faults:
                    tell(events.RELOAD_KEPT, why=one)
                continue
            except Exception:       # whatever a file may hold, the old configuration goes on
                log.fault("reload")
                continue
            if relay.tail:          # meanwhile the folder went to the next process, and so did watch and notices
                continue
            later = waits(old, new)
            keep(old, new, later)
            d = new.deployment
            parts["told"] = new
            bound(parts)
            speak(new)
            at = layers.address(d.agent.address)
            parts["kept"].move(d.agent.address, d.limits.disk)
            watch.move(at)
            notices.move(at)
            await control.move(d.control.socket, d.control.token, d.control.lines)
            tell(events.RELOAD, at=d.agent.address, later=", ".join(later), keys=len(later))

    async def change_over():
        """Until the process before has ended, if there is one; then until the next one claims the folder."""
        while True:
            try:
                return await one_change()
            except Exception:       # a fault of the folder's must not be taken for a claim, nor end the process
                log.fault("upgrade")
                await asyncio.sleep(AGAIN)

    async def one_change():
        nonlocal lock
        descriptors = follower.descriptors
        while lock is None:
            relay.follow()
            if follower.descriptors != descriptors:
                descriptors = follower.descriptors
                bound(parts)
            if lock := claim.mark():
                tell(events.ALONE, mails=len(relay.abroad))
                relay.follow(gone=True)
                claim.drop()
                follower.descriptors = 0
                bound(parts)
            await asyncio.sleep(upgrade.SOON)
        await upgrade.claimed(d.sender.state)

    swapping, changing = loop.create_task(swap()), loop.create_task(change_over())
    stopping = loop.create_task(stop.wait())
    handed_on = False
    while not (handed_on or stopping.done()):
        await asyncio.wait((stopping, changing), return_when=asyncio.FIRST_COMPLETED)
        if not stopping.done():
            handed_on = await hand_on(parts, notices)
            changing = loop.create_task(change_over())
    changing.cancel()
    swapping.cancel()
    if not handed_on:
        await finish(parts, notices)
    stopping.cancel()
    watch.channel.stop()
    notices.channel.stop()
    control.close()
    console.close()
    door.close()
    pool.close()
    tell(events.END, name=d.sender.name, mails=len(relay.spool.sheets))
    relay.spool.close()
    if lock:
        lock.release()
    log.end()


async def finish(parts, notices):
    """A stop: new mails are refused, what fits is finished, the rest lies in the spool."""
    relay, door, told = parts["relay"], parts["door"], parts["told"]
    loop, ending = asyncio.get_running_loop(), told.deployment.stop
    stopped = loop.time()
    relay.refusing = True
    door.stop()
    tell(events.STOP, name=told.deployment.sender.name)
    while loop.time() < stopped + ending.ends / 1000.0:
        relay.sending = loop.time() < stopped + ending.sends / 1000.0
        if not (relay.sending or relay.out or notices.owed or door.clients or door.queued()):
            break
        await asyncio.sleep(0.02)


async def hand_on(parts, notices):
    """An upgrade: the next process has journal and decisions from one turn of the loop to the next; what is out here is
    finished, what comes on connections that are open here is taken on for it. False: the folder refuses, and nothing
    has changed."""
    relay, spool, door, pool = (parts[one] for one in ("relay", "spool", "door", "pool"))
    d = parts["told"].deployment
    loop = asyncio.get_running_loop()
    ends = loop.time() + d.stop.ends / 1000.0
    tail = None
    try:
        spool.follow(0)
        tail = Tail(d.sender.state, spool)
        upgrade.hand_on(d.sender.state, learnt.told(relay.facade) | {
            "out": list(tail.sheets), "descriptors": descriptors() - pool.resting})
    except OSError:
        log.fault("upgrade")
        if tail:
            tail.close()
            parts["follower"].close()       # the file too: no other process is to read it
        await asyncio.sleep(AGAIN)
        return False
    relay.part(tail)
    parts["kept"].stop()
    spool.close()
    tell(events.HANDED_ON, name=d.sender.name, mails=len(spool.sheets))
    notices.channel.stop()
    pool.most_idle = 0
    pool.close()
    door.part()
    try:
        async with asyncio.timeout_at(ends):
            await upgrade.taken_over(d.sender.state)
            await asyncio.sleep(QUEUED)     # what waits in this listener's queue still comes in
    except TimeoutError:
        pass
    door.shut()
    while loop.time() < ends and (relay.out or door.clients):
        tail.count(descriptors())
        await asyncio.sleep(0.05)
    return True


def descriptors():
    return len(os.listdir("/proc/self/fd"))


def main(flags=(), operator=None, environment=None):
    """Runs a sender until it is stopped; gives the exit code."""
    sources = Sources(os.environ if environment is None else environment, flags, operator)
    try:
        told = sources.read()
    except faults.Faulty as fault:
        for one in fault.faults:
            print(f"dewpin: {one}", file=sys.stderr)
        return FAULTY
    try:
        asyncio.run(serve(told, sources))
    except OSError as error:
        at = told.deployment.sender
        print(f"dewpin: sender.listen = {at.listen} or sender.state = {at.state}: {error}", file=sys.stderr)
        return CAN_NOT
    return DONE
