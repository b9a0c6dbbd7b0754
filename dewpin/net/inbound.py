"""The door: clients' connections, and the mails that they hand in.

It owns the listening socket, every connection of a client and the bytes that they hold, and bounds their number and
size. Each request that was read whole gets an answer at once, whatever becomes of the mail; it must never keep one
waiting, and never decide whether a mail is taken on: it asks the relay.
"""
import re
import select
import socket
import struct
from array import array
from urllib.parse import unquote_to_bytes

from ..log import events, log_event
from ..ports import Accepted, MessageIntake, Rejected, RejectionReason, SubmitRequest
from .http import Malformed, Reader, Stream, answer, listening

SWEEP = 0.1
LINGER = 0.5            # seconds that a client has to end its side once we have ended ours
TURNED, HOLD = 3, 0.25  # so many errors in a row on a connection, and its next request is read so much later
SPARE = 16              # connections over the bound that are given time to read their 503
MUTE = 0.5              # seconds without a first byte, and without a further one of a first request, after which
STALLED = 2.0           # a connection gives way to another when all are taken
UNREAD = 65536          # bytes that it may still send before they are not read any more
AT_ONCE = 10            # connections accepted in one turn of the loop; one that is too many lasts three turns
QUEUE = 512             # connections that the system keeps for the next turns
STEERED_BY, RETURN = 51, 6      # SO_ATTACH_REUSEPORT_CBPF, and the filter's one instruction
WORD = re.compile(rb"[\x21-\x7e]{1,256}")
SECONDS = re.compile(rb"\d{1,9}(\.\d{1,9})?")
REJECTION_STATUSES = {RejectionReason.UNKNOWN_QUEUE_CLASS: 400, RejectionReason.DUPLICATE_MESSAGE_ID: 409}


def waits(held, what):
    """Whether news of this kind wait at a socket, unread so far."""
    watch = select.poll()
    watch.register(held.fileno(), what)
    return bool(watch.poll(0))


class Client(Stream):
    def __init__(self, door):
        super().__init__(Reader())
        self.door = door
        self.since = None           # when the request that is being read began
        self.used = 0.0
        self.closing = False        # our sending ends, or has ended: nothing more is taken of it
        self.turned = 0             # errors in a row
        self.asked = False          # a whole request has come
        self.dropped = 0            # bytes that came since our end

    def connection_made(self, transport):
        super().connection_made(transport)
        self.used = self.since = self.door.loop.time()
        self.door.enter(self)

    def arrived(self):
        if self.closing:
            self.dropped += self.reader.size()
            self.reader.drop()
            if self.dropped > UNREAD and self.transport.is_reading():
                self.transport.pause_reading()  # guards against bodies without end, which cost time even to drop
            return
        self.used = self.door.loop.time()
        self.door.hears(self)
        try:
            while not self.closing and (message := self.reader.take()):
                self.since, self.asked = None, True
                last = message.last or self.door.stopping or self.door.crowded()
                self.write(*self.door.answer(self, message), last)
            if self.reader.expects and self.reader.message:
                self.reader.expects = False
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        except Malformed as fault:
            self.refuse(fault.status)
        except Exception as error:      # a fault of ours costs this request, not the process
            log_event(events.REQUEST_FAILED, why=f"{type(error).__name__}: {error}")
            self.refuse(500)
        if self.asked:
            self.door.begun.pop(self, None)
        begun = not self.closing and (self.reader.held or self.reader.message)
        if begun and self.since is None:
            self.since = self.used
        self.door.weigh(self)

    def write(self, status, extra, last):
        if self.closing:
            return
        self.transport.write(answer(status, last, extra))
        self.turned = self.turned + 1 if status >= 400 else 0
        if last:
            self.end()
        elif self.turned > TURNED and self.transport.is_reading():
            # guards against a client that asks again as soon as it is turned away, at full speed
            self.transport.pause_reading()
            self.door.loop.call_later(HOLD, self.resume_writing)

    def refuse(self, status):
        """Answers with an error and ends the connection."""
        if not self.closing:
            self.transport.write(answer(status, last=True))
            self.end()

    def end(self):
        """Ends the connection in order, the only way that one ends which may have been answered: a lingering close
        (RFC 9112, 9.6). Our sending ends after what is written; what still comes is read and dropped, until the other
        side ends its own or the time is over. A request among that was never read: its client sends it elsewhere.

        Guards against a reset that overtakes an answer: closing over unread bytes would send one."""
        if self.closing:
            return
        self.closing = True
        self.reader.drop()
        if not self.transport.is_reading() and not self.transport.is_closing():
            self.transport.resume_reading()     # its end has to be seen
        self.door.lingers(self)
        try:
            self.transport.write_eof()
        except OSError:             # it is reset already
            self.transport.abort()

    def rests(self):
        """Whether it may be closed between two requests: none is being read, and none waits to be."""
        return self.asked and self.since is None and not self.closing and not self.waits(select.POLLIN)

    def waits(self, what):
        return waits(self.transport.get_extra_info("socket"), what)

    def gone(self):
        """Whether the other side has ended the connection already."""
        return self.waits(select.POLLRDHUP)

    def pause_writing(self):
        self.transport.pause_reading()  # it does not read its answers

    def resume_writing(self):
        if not self.closing and not self.transport.is_closing():
            self.transport.resume_reading()

    def eof_received(self):
        return False

    def connection_lost(self, error):
        self.door.leave(self)


class Door:
    def __init__(self, loop, relay: MessageIntake):
        self.loop, self.relay = loop, relay
        self.most, self.memory = 8, 1e6     # connections, bytes of requests that are not whole
        self.patience = 2.7         # seconds for a request to come whole; for the first one, from connecting on
        self.rest = 2.0             # seconds without a request after which a connection may close
        self.idle = 10.0            # and does, even while there is room
        self.clients: dict[Client, int] = {}        # client: bytes that it holds, the latest used last
        self.mute: dict[Client, None] = {}          # of these, without a byte yet; the longest here first
        self.begun: dict[Client, None] = {}         # whose first request is not whole; the longest silent first
        self.lingering: dict[Client, None] = {}     # whose end is waited for; the longest first
        self.held = 0
        self.server, self.listener, self.stopping = None, None, False
        self.sweep = None

    async def open(self, host, port):
        server = self.listener = listening(host, port, reuse_port=True)     # the next process listens beside this one
        self.server = await self.loop.create_server(lambda: Client(self), sock=server, backlog=AT_ONCE)
        server.listen(QUEUE)        # the loop takes one figure for both
        self.sweep = self.loop.call_later(SWEEP, self._sweep)
        return server.getsockname()[:2]

    def steer(self):
        """New connections come here and no more to the process before, which listens at the same address: so its queue
        runs empty and nobody waits in it when it closes.

        Where the system has no such filter it shares them out, and both answer."""
        second = array("B", struct.pack("HBBI", RETURN, 0, 0, 1))      # of the two listeners the later one
        try:
            self.listener.setsockopt(socket.SOL_SOCKET, STEERED_BY, struct.pack("HP", 1, second.buffer_info()[0]))
        except OSError as error:
            log_event(events.STEERING_FAILED, why=str(error))

    def part(self):
        """From now on each connection ends with its next answer; those that rest stay, a request may be on its way."""
        self.stopping = True
        self.most = len(self.clients) + 2 * AT_ONCE

    def stop(self):
        """From now on each connection ends with its next answer, and those that rest end at once."""
        self.stopping = True
        for client in list(self.clients):
            if client.rests():
                client.end()

    def queued(self):
        """Whether connections wait that only the system has accepted: they would be reset with the listener."""
        return waits(self.listener, select.POLLIN)

    def shut(self):
        """No new connections from now on."""
        self.server.close()

    def close(self):
        self.sweep.cancel()
        self.server.close()
        for client in list(self.clients):
            client.transport.close()

    # -- connections ----------------------------------------------------------------------------------------

    def enter(self, client):
        self.clients[client] = 0
        self.mute[client] = None
        if len(self.clients) <= self.most:
            return
        if self.lingering:          # the one that has had longest for its answer: its descriptor is wanted
            oldest = next(iter(self.lingering))
            del self.lingering[oldest]
            return oldest.transport.abort()
        if self._make_room(1):
            return
        del self.mute[client]
        if len(self.clients) <= self.most + SPARE:
            return client.refuse(503)
        client.closing = True
        client.transport.abort()    # nothing was said: its client knows that nothing of it goes on

    def hears(self, client):
        """A client's bytes have come."""
        self.mute.pop(client, None)
        if not client.asked:
            self.begun.pop(client, None)
            self.begun[client] = None

    def crowded(self):
        """Whether answers end their connections.

        Guards against clients that ask once and hold on: while these rest, others find no connection to ask on."""
        return self._held_open() > self.most // 4

    def _held_open(self):
        return len(self.clients) - len(self.lingering)

    def lingers(self, client):
        self.lingering[client] = None
        self.loop.call_later(LINGER, client.transport.abort)

    def _make_room(self, wanted):
        """Closes connections that say nothing and, the longest unused first, that rest between requests: their owners
        open others. One that is younger may be a client's that is just about to ask."""
        now, closed = self.loop.time(), 0
        for silent, age in ((self.mute, MUTE), (self.begun, STALLED)):
            while closed < wanted and len(self.clients) > self.most and silent and next(iter(silent)).used <= now - age:
                one = next(iter(silent))
                del silent[one]
                if not one.closing and not one.waits(select.POLLIN):    # what waits unread is about to be read
                    one.closing = True
                    one.transport.abort()
                    closed += 1
        late = now - self.rest
        for one in list(self.clients):
            if one.used > late or closed >= wanted:
                break
            if one.rests():
                one.end()
                closed += 1
        return closed >= wanted

    def leave(self, client):
        self.held -= self.clients.pop(client, 0)
        self.mute.pop(client, None)
        self.begun.pop(client, None)
        self.lingering.pop(client, None)

    def weigh(self, client):
        """Moves a client to the end of the line and counts what it holds."""
        if client not in self.clients:
            return
        size = client.reader.size()
        self.held += size - self.clients.pop(client)
        self.clients[client] = size
        if self.held > self.memory:
            client.refuse(503)

    def _sweep(self):
        """Guards against clients that say nothing, never come to an end, or stay for good."""
        self.sweep = self.loop.call_later(SWEEP, self._sweep)
        now = self.loop.time()
        for client in list(self.clients):
            if client.closing:
                continue
            begun = client.reader.held or client.reader.message
            rests = client.since is None
            if now - (client.used if rests else client.since) <= (self.idle if rests else self.patience):
                continue
            if begun:
                client.refuse(408)
            elif not client.waits(select.POLLIN):
                client.end()
        self._make_room(self._held_open() - (0 if self.stopping else self.most // 4))

    # -- requests -------------------------------------------------------------------------------------------

    def answer(self, client, message):
        """Status and further header lines."""
        method, target, _ = message.first
        path, _, query = target.partition(b"?")
        if path == b"/api":
            if method != b"POST":
                return 405, b"Allow: POST\r\n"
            if client.reader.held.strip(b"\r\n"):
                # guards against what hides behind a wrong length, and against hundreds at once
                client.refuse(400)
                return 400, b""
            if client.gone():
                return 503, b""     # it has given up, after a stall of ours: the mail is handed in elsewhere
            return self._hand_in(message, query)
        if path == b"/-/ready" and method in (b"GET", b"HEAD"):
            return 503 if self.relay.is_draining else 200, b""
        return 404, b""

    def _hand_in(self, message, query):
        fields = message.fields
        ident, left = fields.get(b"req-id", b""), fields.get(b"req-deadline")
        tag = fields.get(b"idempotency-key", b"")
        destination = _named(fields.get(b"x-consignee", b"").split(b","), b"dest")
        key = unquote_to_bytes(_named(query.split(b"&"), b"about"))
        if not WORD.fullmatch(ident) or len(key) > 256 or (tag and not WORD.fullmatch(tag)):
            return 400, b""
        if left is not None and (not SECONDS.fullmatch(left) or float(left) <= 0.0):
            return 400, b""
        if not destination.isdigit() or len(destination) > 9:
            return 400, b""
        result = self.relay.submit(SubmitRequest(
            ident, fields.get(b"req-kind", b""), fields.get(b"req-owner", b""), key, destination,
            tag, message.body, None if left is None else float(left) * 1000.0, b"req-retry" in fields))
        if isinstance(result, Accepted):
            return 202, b""
        if isinstance(result, Rejected):
            status, retry_after_ms = REJECTION_STATUSES[result.reason], 0.0
        else:
            status, retry_after_ms = 503, result.retry_after_ms
        log_event(events.MESSAGE_REJECTED, message=ident, status=status, queue_class=fields.get(b"req-kind"),
                  destination=destination, retry_after_ms=retry_after_ms)
        return status, b"Retry-After: %.3f\r\n" % (retry_after_ms / 1000.0) if retry_after_ms > 0.0 else b""


def _named(parts, name):
    for part in parts:
        found, _, value = part.strip().partition(b"=")
        if found == name:
            return value
    return b""
