"""HTTP/1.1 as bytes: the reader of requests and answers, and the connection that feeds it.

It owns the bytes of a message that is not whole yet, and bounds them. It knows nothing of mails: what a request or an
answer means is settled elsewhere, and no byte of a body is ever changed here.
"""
import asyncio
import re
import socket

MOST_HEAD = 16384
MOST_BODY = 65536
WORDS = {100: "Continue", 200: "OK", 202: "Accepted", 400: "Bad Request", 404: "Not Found",
         405: "Method Not Allowed", 408: "Request Timeout", 413: "Content Too Large",
         429: "Too Many Requests", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
         501: "Not Implemented", 503: "Service Unavailable", 505: "HTTP Version Not Supported"}
NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
DIGITS = re.compile(rb"[0-9]{1,9}")
HEX = re.compile(rb"[0-9A-Fa-f]{1,8}")
BEGUN = re.compile(rb"HTTP/1\.[01] ([1-9]\d\d)(?: [^\r\n]*)?\r\n")      # a first line that is whole
TO_END, CHUNKED = -1, -2


class Malformed(Exception):
    def __init__(self, status, words):
        super().__init__(words)
        self.status = status


class Message:
    """A whole request or answer. `first` is the first line's three parts, `last`: the connection ends with it."""
    __slots__ = ("first", "fields", "body", "last")

    def __init__(self, first, fields):
        self.first, self.fields, self.body, self.last = first, fields, b"", False

    @property
    def status(self):
        return int(self.first[1])


class Reader:
    """Takes bytes as they come and gives whole messages."""

    def __init__(self, answers=False, most_body=MOST_BODY):
        self.answers, self.most_body = answers, most_body
        self.held = bytearray()
        self.looked = 0             # the head's end is not before this
        self.message = None         # one whose head is whole
        self.left = 0               # bytes of its body, or TO_END, or CHUNKED
        self.chunks = None
        self.expects = False        # it wants to be told to go on

    def feed(self, data):
        self.held += data

    def size(self):
        """The bytes held of messages that are not whole."""
        return len(self.held) + (self.chunks["size"] if self.chunks else 0)

    def drop(self):
        """Forgets what it holds: nothing more is taken."""
        self.held.clear()
        self.message = self.chunks = None

    def begun(self):
        """What is known of the message that is not whole: the status of its first line, 0 if that is not whole or says
        none, None if nothing of it has come."""
        if self.message:
            return self.message.status
        found = BEGUN.match(self.held)
        return int(found[1]) if found else 0 if self.held else None

    def take(self):
        """The next whole message, or None."""
        if self.message is None and not self._head():
            return None
        body = self._chunked() if self.left == CHUNKED else self._plain()
        if body is None:
            return None
        message, self.message, self.chunks = self.message, None, None
        message.body = body
        return message

    def ended(self):
        """The other side ended its sending: the message that lasts until then, or None."""
        if self.message is None or self.left != TO_END:
            return None
        message, self.message = self.message, None
        message.body, self.held = bytes(self.held), bytearray()
        return message

    def _plain(self):
        if self.left == TO_END:
            if len(self.held) > self.most_body:
                raise Malformed(413, "body too large")
            return None
        if len(self.held) < self.left:
            return None
        body = bytes(memoryview(self.held)[:self.left])
        del self.held[:self.left]
        return body

    def _chunked(self):
        while True:
            at = self.held.find(b"\r\n")
            if at < 0:
                if len(self.held) > 256:
                    raise Malformed(400, "chunk head too long")
                return None
            if self.chunks.get("trailer"):
                del self.held[:at + 2]
                if at == 0:
                    return b"".join(self.chunks["parts"])
                self.chunks["trailer"] += at
                if self.chunks["trailer"] > MOST_HEAD:
                    raise Malformed(431, "trailer too large")
                continue
            size = bytes(self.held[:at]).split(b";")[0].strip()
            if not HEX.fullmatch(size):
                raise Malformed(400, "chunk size")
            size = int(size, 16)
            if self.chunks["size"] + size > self.most_body:
                raise Malformed(413, "body too large")
            if size == 0:
                del self.held[:at + 2]
                self.chunks["trailer"] = 1
                continue
            end = at + 2 + size
            if len(self.held) < end + 2:
                return None
            if self.held[end:end + 2] != b"\r\n":
                raise Malformed(400, "chunk end")
            self.chunks["size"] += size     # once it is whole: a part of it may be looked at many times
            self.chunks["parts"].append(bytes(self.held[at + 2:end]))
            del self.held[:end + 2]

    def _head(self):
        while self.held[:2] == b"\r\n":     # empty lines before a message mean nothing
            del self.held[:2]
            self.looked = 0
        end = self.held.find(b"\r\n\r\n", max(0, self.looked - 3))
        if (end < 0 and len(self.held) > MOST_HEAD) or end > MOST_HEAD:
            raise Malformed(431, "head too large")
        if end < 0:
            self.looked = len(self.held)
            return False
        first, *lines = bytes(self.held[:end]).split(b"\r\n")
        fields = {}
        message = self.message = Message(self._first(first), fields)
        del self.held[:end + 4]     # after: of noise, what stands behind its first line is no first line
        self.looked = 0
        for line in lines:
            name, colon, value = line.partition(b":")
            if self.answers and name.lower() == b"srv-load" and CONTROL.search(value):
                continue            # a load report that can't be read spoils no answer
            if not colon or not NAME.fullmatch(name) or CONTROL.search(value):
                raise Malformed(400, "header line")
            name, value = name.lower(), value.strip(b" \t")
            if name in fields:
                if name == b"content-length" and fields[name] != value:
                    raise Malformed(400, "two lengths")
                value = value if name == b"content-length" else fields[name] + b", " + value
            fields[name] = value
        if self._length(message) is False:
            self.message = None
            return self._head()             # an interim answer
        return True

    def _first(self, line):
        parts = line.split(b" ", 2)
        if self.answers:
            if len(parts) < 2 or not parts[0].startswith(b"HTTP/1.") or not re.fullmatch(rb"[1-9]\d\d", parts[1]):
                raise Malformed(400, "status line")
            return (*parts, b"")[:3]
        if len(parts) != 3 or not NAME.fullmatch(parts[0]) or not parts[1] or CONTROL.search(line):
            raise Malformed(400, "request line")
        if not re.fullmatch(rb"HTTP/1\.[01]", parts[2]):
            raise Malformed(505 if parts[2].startswith(b"HTTP/") else 400, "version")
        return tuple(parts)

    def _length(self, message):
        fields = message.fields
        version = message.first[0 if self.answers else 2]
        wishes = {word.strip().lower() for word in fields.get(b"connection", b"").split(b",")}
        message.last = b"close" in wishes or (version == b"HTTP/1.0" and b"keep-alive" not in wishes)
        coding, length = fields.get(b"transfer-encoding"), fields.get(b"content-length")
        self.expects = not self.answers and fields.get(b"expect", b"").lower() == b"100-continue"
        if self.answers and (message.status < 200 or message.status in (204, 304)):
            self.left = 0
            return message.status >= 200
        if coding is not None:
            if coding.lower() != b"chunked":
                raise Malformed(501, "transfer coding")
            if length is not None:
                raise Malformed(400, "a length and a transfer coding")
            self.left, self.chunks = CHUNKED, {"size": 0, "parts": [], "trailer": 0}
        elif length is not None:
            if not DIGITS.fullmatch(length):
                raise Malformed(400 if not length.isdigit() else 413, "length")
            self.left = int(length)
            if self.left > self.most_body:
                raise Malformed(413, "body too large")
        elif self.answers:
            self.left, message.last = TO_END, True
        else:
            self.left = 0
        return True


def answer(status, last=False, extra=b"", body=b""):
    return b"HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n%s\r\n%s" % (
        status, WORDS.get(status, "Other").encode(), extra, len(body), b"Connection: close\r\n" if last else b"", body)


def listening(host, port, **options):
    """A listening socket at this address; `options` are those of socket.create_server. OSError where it can't be.

    It names its protocol, and so do those that it accepts: of others the loop can't tell that they are TCP, and the
    system holds their small writes back (no TCP_NODELAY), which a close over unread bytes then takes with it."""
    made = socket.create_server((host, port), family=socket.AF_INET6 if ":" in host else socket.AF_INET, **options)
    return socket.socket(made.family, made.type, socket.IPPROTO_TCP, made.detach())


class Stream(asyncio.BufferedProtocol):
    """One connection. The loop fills one buffer for all and hands it over before it reads for another."""
    scratch = memoryview(bytearray(65536))

    def __init__(self, reader):
        self.reader, self.transport = reader, None

    def connection_made(self, transport):
        self.transport = transport

    def get_buffer(self, sizehint):
        return self.scratch

    def buffer_updated(self, nbytes):
        self.reader.feed(self.scratch[:nbytes])
        self.arrived()

    def arrived(self):
        raise NotImplementedError
