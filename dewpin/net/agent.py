"""The platform's agent: the watch on the list of receivers, and the notices for mails that are given up.

It owns two connections to the agent, one for each, and tries again by itself until it is answered: a broken watch
asks for the whole list, one that discovery turns away for want of room asks again later, silence keeps the last one, a
notice that is not answered is sent again. Both move to another address when they are told to, owed notices with them.
What the list means and why a mail ends by a notice is not its business.
"""
import asyncio
import random

import msgspec

from ..core import model
from ..log import events, log_event, log_internal_error
from .outbound import ANSWERED, Link

FRESH = 6.0             # seconds after which news counts as told, whatever became of the calls for it (the protocol's);
                        # all further times of the watch are parts of it, docs/rare-moments.md adds them up
WATCH = FRESH / 4.0     # that a watch waits for news
ANSWER = FRESH / 6.0    # for an answer that waits for nothing, and beyond a watch's wait until it is taken for silent
CONNECT = FRESH / 6.0
PAUSE = FRESH / 6.0     # the longest one after a broken exchange
REFUSED = FRESH / 2.0   # and after one that discovery turned away
AGAIN = 0.1             # the shortest ones
EACH = 0.1              # that a fleet leaves for each sender's call for the list
NOTICE, NOTICE_MOST = 0.12, 1.0     # for a notice's connection, and for its answer, which comes at once: the platform
                        # waits 0.3 s beyond a mail's lifetime for it. Each further try allows twice as much, up to
MOST_LIST = 8_000_000   # bytes
STATES = {"active": model.ReceiverState.READY, "leaving": model.ReceiverState.DRAINING}
MOST_NOTICES = 100      # in one request


class Channel:
    """One connection to the agent, opened when it is needed, and the task that speaks on it."""

    def __init__(self, run):
        self.run, self.task, self.link = run, None, None

    def move(self, address):
        """Begins anew at this address: what was asked elsewhere and is not answered is dropped."""
        self.stop()
        self.address, self.host = address, ("%s:%d" % address).encode()
        self.task = asyncio.get_running_loop().create_task(self.run())

    def stop(self):
        if self.task:
            self.task.cancel()
        self.close()

    async def ask(self, request, limit, connect=CONNECT):
        """The answer, or None if there was none in time."""
        loop = asyncio.get_running_loop()
        heard = loop.create_future()
        try:
            if self.link is None or self.link.ended:
                async with asyncio.timeout(connect):
                    _, self.link = await loop.create_connection(lambda: Link(MOST_LIST), *self.address)
            self.link.ask(request, lambda how, message: heard.done() or heard.set_result((how, message)))
            async with asyncio.timeout(limit):
                how, message = await heard
        except (OSError, TimeoutError):
            how, message = None, None
        if message is None or message.last or how != ANSWERED or self.link.reader.held:
            self.close()        # what came behind an answer is none to the next question
        return message if how == ANSWERED else None

    def close(self):
        if self.link:
            self.link.done = None
            self.link.close()
            self.link = None


def entries(members):
    """The list in our words: (receiver, destination, state, (host, port), zone, kind, weight) of each member."""
    found = []
    for one in members:
        try:
            host, _, port = one.get("host_port", ":0").rpartition(":")
            found.append((one["id"].encode(), int(one.get("cell", 0)),
                          STATES.get(one.get("phase"), model.ReceiverState.GONE),
                          (host.strip("[]"), int(port)), one.get("locality"), one.get("flavor"),
                          float(one.get("size") or 0.0)))
        except (KeyError, ValueError, TypeError, AttributeError) as error:
            log_event(events.INVALID_ENDPOINT, why=f"{type(error).__name__}: {error}")
    return found


class Turns:
    """When one of many senders calls for the list: seconds to wait, drawn so that their calls are spread, inside what
    leaves room for the answer before its news count as told.

    Guards against a fleet whose senders all call at once, at a start or after a fault: discovery turns most away, and
    those that come again at once are turned away again."""

    def __init__(self, fleet, grace, seed, pushed=True):
        """`fleet`: senders; `grace`: ms for which mail may still go to a receiver that drains; `pushed`: the agent has
        the list by itself, so that a call costs nobody but the agent anything."""
        self.dice, self.fleet, self.pushed = random.Random(seed), EACH * fleet, pushed
        self.within = min(self.fleet, grace / 2000.0, PAUSE - AGAIN)
        self.refusals = 0

    def first(self, new):
        """Before the first call; `new`: no process before this one can have been told anything. Where lists are pushed,
        what the agent has counts as told from the first moment on."""
        if self.pushed:
            return 0.0
        return self.dice.uniform(0.0, min(self.fleet, REFUSED) if new else self.within)

    def broken(self):
        return AGAIN + self.dice.uniform(0.0, self.within)

    def refused(self):
        self.refusals += 1
        most = min(REFUSED, max(AGAIN, self.fleet) * 2.0 ** min(self.refusals - 1, 6))
        return self.dice.uniform(0.5, 1.0) * most

    def heard(self):
        self.refusals = 0


class Watch:
    def __init__(self, address, revision, learn, turns, new=False):
        """`revision`: of the list that is known, None for none; `learn(entries, complete, revision)` hears of news;
        `new`: nothing was told to a process before this one."""
        self.channel, self.learn, self.turns = Channel(self.run), learn, turns
        self.revision = revision    # asks for the whole list, unless one is known
        self.unsure = revision is not None      # whether the agent still counts on from there
        self.new = new
        self.channel.move(address)

    def move(self, address):
        # another agent may count otherwise: its whole list comes first
        self.revision, self.unsure, self.new = None, False, False
        self.channel.move(address)

    async def run(self):
        whole = self.revision is None
        await asyncio.sleep(self.turns.first(self.new))
        while True:
            answer = await self.channel.ask(self._request(whole), ANSWER if whole else WATCH + ANSWER)
            if answer is not None and answer.status == 503:
                await asyncio.sleep(self.turns.refused())
                continue
            try:
                whole = answer is None or answer.status != 200 or not self._take(answer.body)
            except Exception as error:
                log_event(events.WATCH_FAILED, why=f"{type(error).__name__}: {error}")
                whole = True
            if whole:
                await asyncio.sleep(self.turns.broken())
            else:
                self.turns.heard()

    def _request(self, whole):
        query = b"" if whole else b"?index=%d&wait=%d" % (self.revision, WATCH * 1000.0)
        return b"GET /api/targets%s HTTP/1.1\r\nHost: %s\r\n\r\n" % (query, self.channel.host)

    def _take(self, body):
        news = msgspec.json.decode(body)
        revision, complete = int(news["revision"]), bool(news["complete"])
        if self.unsure and revision < self.revision:    # the list that was kept is of another counting
            self.revision = None
        self.unsure = False
        if self.revision is None and not complete:
            return False
        if self.revision is None or revision > self.revision or (complete and revision == self.revision):
            self.learn(entries(news["members"]), complete, revision)
            self.revision = revision
        return True


class Notices:
    def __init__(self, address):
        self.channel, self.news = Channel(self.run), asyncio.Event()
        self.unacknowledged, self.count = {}, 0   # by the order in which they came
        self.move = self.channel.move
        self.move(address)

    def publish(self, ident, deferred, ms, answered):
        """Keeps telling that a mail is given up until it is answered; then `answered()`."""
        words = {"message": ident.decode("latin-1"), "outcome": "handed_back" if deferred else "given_up"}
        if deferred and ms > 0.0:
            words["retry_in_ms"] = round(ms, 3)
        self.count += 1
        self.unacknowledged[self.count] = msgspec.json.encode(words), answered
        self.news.set()

    async def run(self):
        most, limit = MOST_NOTICES, NOTICE
        while True:
            await self.news.wait()
            batch = list(self.unacknowledged)[:most]
            body = b"".join(self.unacknowledged[one][0] + b"\n" for one in batch)
            answer = await self.channel.ask(
                b"POST /v1/notices HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
                b"Content-Length: %d\r\n\r\n" % (self.channel.host, len(body)) + body, limit, limit)
            status = answer.status if answer else 0
            if status == 400:
                log_event(events.NOTICE_REJECTED, sample=body[:200])
            if 200 <= status < 300 or (status == 400 and len(batch) == 1):
                for one in batch:
                    self._answered(self.unacknowledged.pop(one)[1])
            elif status == 400:
                most = 1            # one of them is at fault: each by itself until all are told
            else:
                await asyncio.sleep(limit * random.uniform(0.125, 0.375))
                limit = min(2.0 * limit, NOTICE_MOST)
                continue
            limit = NOTICE
            if not self.unacknowledged:
                self.news.clear()
                most = MOST_NOTICES

    @staticmethod
    def _answered(answered):
        try:
            answered()
        except Exception:               # a fault with one mail must not keep the others' notices back
            log_internal_error("notices")
