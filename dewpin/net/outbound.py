"""Connections of ours: one exchange at a time on each, and the pool that keeps them for receivers.

The pool owns every connection to a receiver from its opening on, idle or in use, and `Call.finish` is the one place
that gives it back. Its addresses are (host, port, receiver): a connection is that receiver's alone. A call never goes
out twice by itself; it is given up by closing its connection. What an answer means for a mail is settled by `read`,
whose words are the facts of `model`.
"""
import asyncio
import errno
import re
import select
from collections import deque

from ..core import model
from ..log import events, log_event
from ..ports import AttemptResult
from .http import Malformed, Reader, Stream

NEAR = 1000.0           # ms before the other side closes an idle connection in which it is used no more
OURS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)    # no connection, and no receiver's fault
HELD = 0.003            # seconds for which a call's last byte is held back, since without it nothing runs
WHOLE = 0.25            # seconds for an answer that has begun to come whole
SOON = 0.001            # a timer of the loop's next turn, in which it reads before it looks at timers
ANSWERED, UNWRITTEN, BROKEN, SPOILT = "answered", "unwritten", "broken", "spoilt"
FIGURE = re.compile(rb"[0-9.eE+-]{1,32}")
OUTCOMES = {200: model.Outcome.DELIVERED, 429: model.Outcome.REJECTED, 503: model.Outcome.REJECTED,
            504: model.Outcome.NOT_SENT, 410: model.Outcome.NOT_SENT}


class Link(Stream):
    """Carries one exchange at a time; `done(how, message)` is told once for each."""

    def __init__(self, most_body, whole_in=None):
        super().__init__(Reader(answers=True, most_body=most_body))
        self.done, self.ended = None, False
        self.lost = None            # told when it ends while idle
        self.unwritten = False      # part of the request has not left yet
        self.held = None            # the timer for a request's last byte
        self.until = 0.0            # when its rest in the pool ends
        self.whole_in, self.late = whole_in, None
        self.whole = None           # told once a request has left whole

    def connection_made(self, transport):
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=0)

    def pause_writing(self):
        self.unwritten = True

    def resume_writing(self):
        self.unwritten = self.held is not None
        self._left()

    def _left(self):
        if self.whole and not self.unwritten:
            self.whole()
            self.whole = None

    def ask(self, request, done, hold=0.0, until=None):
        """`hold`: seconds that the last byte is held back; `until`: the loop's time from which on it may not leave."""
        self.done = done
        if not hold:
            return self.transport.write(request)
        # guards against connections that are reset or closed as the request comes: so long as its last byte has not
        # left, that proves that nothing ran, which a once-only mail lives on
        self.unwritten = True
        self.transport.write(request[:-1])
        self.held = asyncio.get_running_loop().call_later(hold, self._last_byte, request[-1:], until)

    def _last_byte(self, byte, until):
        self.held = None
        if self.heard_from() or self.reader.begun() is not None:
            # read all of it first: an end proves that nothing ran, and so does a refusal, which may tell a wait
            self.held = asyncio.get_running_loop().call_later(WHOLE, self.close)
            return
        if until is not None and asyncio.get_running_loop().time() >= until:
            return self.close()
        self.unwritten = self.transport.get_write_buffer_size() > 0
        self.transport.write(byte)
        self.unwritten = self.unwritten or self.transport.is_closing()
        self._left()

    def heard_from(self):
        """Whether something waits to be read: where nothing should be there yet, the connection's end most likely.

        Guards against a request written to a connection that has ended already, which would count as a reset and so
        end a once-only mail; and against a time-out that overtakes an answer."""
        watch = select.poll()
        watch.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(watch.poll(0))

    def arrived(self):
        try:
            message = self.reader.take() if self.done else None
        except Malformed as fault:
            log_event(events.MALFORMED_RESPONSE, why=str(fault), at=self.peer())
            return self._spoilt()
        if message:
            self._tell(ANSWERED, message)
        elif not self.done:
            self.close()            # nothing was asked
        elif self.whole_in:
            begun = self.reader.begun() is not None
            if begun and self.late is None:
                # guards against answers that never end, which would hold a slot until the time-out
                self.late = asyncio.get_running_loop().call_later(self.whole_in, self._spoilt)
            elif self.late and not begun:       # it was an interim one; the answer itself has not begun
                self.late.cancel()
                self.late = None

    def peer(self):
        return "%s:%d" % (self.transport.get_extra_info("peername") or ("gone", 0))[:2]

    def _spoilt(self):
        if self.done:
            self._tell(SPOILT, None)
        self.close()

    def eof_received(self):
        message = self.reader.ended() if self.done else None
        if message:
            self._tell(ANSWERED, message)
        self.close()

    def connection_lost(self, error):
        self.close()

    def close(self):
        """Ends it now; what is unread or unwritten is dropped."""
        if self.ended:
            return
        self.ended = True
        if self.held:
            self.held.cancel()
        if self.done:
            self._tell(UNWRITTEN if self.unwritten else BROKEN, None)
        elif self.lost:
            self.lost(self)
        self.transport.abort()

    def _tell(self, how, message):
        done, self.done = self.done, None
        if self.late:
            self.late.cancel()
            self.late = None
        done(how, message)


def hook(address, ident, tag, body, limit):
    """The bytes of a call: what came in goes on as it came."""
    tag = b"Idempotency-Key: %s\r\n" % tag if tag else b""
    return (b"POST /hook HTTP/1.1\r\nHost: %s:%d\r\nReq-Id: %s\r\n%sReq-Deadline: %.3f\r\n"
            b"Content-Length: %d\r\n\r\n" % (address[0].encode(), address[1], ident, tag, limit / 1000.0, len(body))
            + body)


class Call:
    """One call: from the wish to send to its outcome, which is told once.

    `leaves()` is asked right before the first byte, which may be long after the wish: ms until which the last one may
    leave, 0 where the call is not to leave any more."""

    def __init__(self, pool, address, request, limit, leaves, done):
        self.pool, self.address, self.request, self.leaves, self.done = pool, address, request, leaves, done
        self.began, self.link, self.opening = pool.loop.time(), None, None
        self.looked = False         # for an answer at the time-out
        self.limit = pool.loop.call_later(limit / 1000.0, self._too_late)
        idle = pool.idle_link(address)
        if idle:
            self._write(idle)
        else:
            pool.opening.add(self)
            wait = min(limit, pool.connect_limit) / 1000.0
            self.opening = pool.loop.create_task(self._open(wait))

    async def _open(self, wait):
        try:
            async with asyncio.timeout(wait):
                _, link = await self.pool.loop.create_connection(
                    lambda: Link(self.pool.most_body, WHOLE), *self.address[:2])
        except ConnectionResetError:    # somebody is there: no crash, and no full table
            return self.finish(model.Outcome.DROPPED)
        except (OSError, TimeoutError) as error:
            return self.finish(model.Outcome.NOT_SENT if error.errno in OURS else model.Outcome.CONNECT_FAILED)
        if self.done is None:       # given up in the meantime
            return link.close()
        self.pool.opening.discard(self)
        self._write(link)

    def _write(self, link):
        ms = self.leaves()
        if ms <= 0.0:
            self.pool.rest(self.address, link)      # nothing was written on it
            # not at once: the outcome is never told before `Pool.send` returns
            self.limit.cancel()
            self.limit = self.pool.loop.call_soon(self.finish, model.Outcome.NOT_SENT)
            return
        self.link, link.whole = link, self.pool.count
        link.ask(self.request, self._answered, HELD, self.pool.loop.time() + ms / 1000.0)

    def _answered(self, how, message):
        if self.link.unwritten and not (how == ANSWERED and OUTCOMES.get(message.status) == model.Outcome.REJECTED):
            # guards against what an earlier answer on this connection left behind (a second copy, half a line): no
            # receiver has the call, so nothing but a refusal can be an answer to it
            self.finish(model.Outcome.DROPPED)
        elif how == ANSWERED:
            self.finish(OUTCOMES.get(message.status, model.Outcome.ERROR), message)
        elif self.link.reader.begun() == 200:
            self.finish(model.Outcome.DELIVERED)    # its first line is true, whatever became of the rest
        elif how == SPOILT:
            self.finish(model.Outcome.ERROR)
        else:
            self.finish(model.Outcome.RESET if how == BROKEN else model.Outcome.DROPPED)

    def _too_late(self):
        link = self.link
        if link and not self.looked and not link.ended and link.heard_from():
            self.looked = True      # one turn of the loop for an answer that has come already
            self.limit = self.pool.loop.call_later(SOON, self._too_late)
        elif link is None or link.unwritten:
            self.finish(model.Outcome.CONNECT_FAILED)
        else:
            self.finish(model.Outcome.DELIVERED if link.reader.begun() == 200 else model.Outcome.TIMED_OUT)

    def finish(self, outcome, message=None):
        if self.done is None:
            return
        done, self.done = self.done, None
        self.limit.cancel()
        self.pool.opening.discard(self)
        if self.opening and not self.opening.done() and self.opening is not asyncio.current_task():
            self.opening.cancel()
        link = self.link
        if link:
            link.done = None
            if message is None or message.last or link.ended or link.unwritten:
                link.close()
            else:
                self.pool.rest(self.address, link)
        took = (self.pool.loop.time() - self.began) * 1000.0
        outcome, told, load = read(outcome, message)
        done(AttemptResult(outcome, told, took, load, message is not None and message.status == 410))


def read(outcome, message):
    """What an answer says: (outcome, ms of the wait told, load report)."""
    if message is None:
        return outcome, 0.0, {}
    told, load = 0.0, {}
    if outcome == model.Outcome.REJECTED:
        if message.fields.get(b"x-line-busy") == b"1":
            outcome = model.Outcome.NOT_SENT
        else:
            told = 1000.0 * number(message.fields.get(b"retry-after", b"0"))
    for part in message.fields.get(b"srv-load", b"").split(b","):
        name, equals, value = part.strip().partition(b"=")
        if equals and FIGURE.fullmatch(value.strip()):
            load[name.decode("latin-1")] = number(value)
    return outcome, told, load


def number(text):
    """A number of 0 or more, or 0 where the text is none."""
    try:
        value = float(text)
    except ValueError:
        return 0.0
    return value if 0.0 <= value < 1e12 else 0.0


class Pool:
    def __init__(self, loop, connect_limit, idle_limit, most_idle=8, most_body=65536):
        self.loop, self.connect_limit, self.most_body = loop, connect_limit, most_body
        self.idle_limit, self.most_idle = max(idle_limit - NEAR, idle_limit / 2.0), most_idle
        self.opening = set()        # calls whose connection is not made yet
        self.idle = {}              # address: links, the latest used last
        self.order = deque()        # (when its rest ends, address, link), soonest first
        self.resting = 0
        self.sent = 0               # requests that left whole
        self.sweep = None

    def send(self, request):
        """Makes an attempt, if its send window allows it; its result is reported once, never before this returns."""
        content = hook(request.address, request.message_id, request.idempotency_key, request.body, request.timeout_ms)
        Call(self, request.address, content, request.timeout_ms, request.open_send_window, request.on_finished)

    def count(self):
        self.sent += 1

    def idle_link(self, address):
        links = self.idle.get(address)
        while links:
            link = links.pop()
            self._leaves(address, link)
            if link.until > self.loop.time() and not link.transport.is_closing() and not link.heard_from():
                return link
            link.close()
        return None

    def rest(self, address, link):
        """Keeps a connection for the next call, well short of the time when the other side closes it."""
        if self.idle_limit <= 0.0 or self.most_idle <= 0 or link.reader.held:
            return link.close()
        if self.resting >= self.most_idle:
            self._close_oldest()
        link.lost = lambda ended: self._ended(address, ended)
        self.idle.setdefault(address, []).append(link)
        self.resting += 1
        link.until = self.loop.time() + self.idle_limit / 1000.0
        self.order.append((link.until, address, link))
        if self.sweep is None:
            self.sweep = self.loop.call_at(self.order[0][0], self._sweep)

    def close_idle(self, address):
        for link in list(self.idle.get(address, ())):
            self._ended(address, link)
            link.close()

    def cancel_unsent(self, address):
        """Nothing more may leave for this address: calls that have not left yet are not sent.

        Guards against a connection that comes up long after the pick, when a wait was told or a drain listed."""
        for call in [call for call in self.opening if call.address == address]:
            call.finish(model.Outcome.NOT_SENT)

    def close(self):
        for address in list(self.idle):
            self.close_idle(address)

    def _leaves(self, address, link):
        link.lost = None
        self.resting -= 1
        if not self.idle[address]:
            del self.idle[address]

    def _ended(self, address, link):
        links = self.idle.get(address, ())
        if link in links:
            links.remove(link)
            self._leaves(address, link)

    def _close_oldest(self):
        while self.order:
            until, address, link = self.order.popleft()
            if link.until == until and link in self.idle.get(address, ()):
                self._ended(address, link)
                link.close()
                return

    def _sweep(self):
        self.sweep = None
        now = self.loop.time()
        while self.order and self.order[0][0] <= now + 0.001:
            until, address, link = self.order.popleft()
            if link.until == until and link in self.idle.get(address, ()):      # not used since
                self._ended(address, link)
                link.close()
        if self.order:
            self.sweep = self.loop.call_at(self.order[0][0], self._sweep)
