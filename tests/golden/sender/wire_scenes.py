"""Single exchanges with a sender over real sockets: bytes in, bytes and plain values out.

`play(name)` runs one of `SCENES` and returns its result after a round trip through JSON. Bytes are represented as
Latin-1 text, and ports, which differ between runs, as PORT.
"""

import asyncio
import json
import re
import tempfile
from functools import partial
from itertools import groupby
from pathlib import Path

from golden.sender_api import protocols
from golden.sender_api.text_encoding import text

QUIET_S = 0.15  # nothing more is expected after this time without a byte
TIMEOUT_S = 10.0


def request(line=b"POST /api HTTP/1.1", *fields, body=b"x", length=True):
    size = (b"Content-Length: %d" % len(body),) if length else ()
    return b"\r\n".join([line, *fields, *size, b"", body])


def submission(*more_fields, body=b"x", line=b"POST /api HTTP/1.1", **replaced):
    fields = {
        b"Req-Id": b"m1",
        b"Req-Kind": b"notice",
        b"Req-Owner": b"acme",
        b"Req-Deadline": b"12.5",
        b"X-Consignee": b"dest=7",
    } | {name.replace("_", "-").encode(): value for name, value in replaced.items()}
    lines = [name + b": " + value for name, value in fields.items() if value is not None]
    return request(line, *lines, *more_fields, body=body)


def chunked(*chunks):
    sizes = b"".join(b"%x;note=1\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    return b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + sizes + b"0\r\nTrailer: x\r\n\r\n"


# -- clients ------------------------------------------------------------------------------------------------------

ACCEPTED, DEFERRED, DEFERRED_WITH_DELAY, DUPLICATE, UNKNOWN_CLASS = (
    (True, 0),
    (False, 0.0),
    (False, 1250.1256),
    (None, 409),
    (None, 400),
)
ALL_BYTES = bytes(range(256))
CLIENTS = {
    # name: (bytes of the client, result of the submission)
    "accepted": (submission(), ACCEPTED),
    "accepted with all fields": (
        submission(
            b"Idempotency-Key: tag-1",
            b"Req-Retry: 1",
            line=b"POST /api?x=1&about=k%2F1%ff HTTP/1.1",
            body=ALL_BYTES,
            X_Consignee=b"a=1, dest=12 , b=2",
        ),
        ACCEPTED,
    ),
    "accepted without deadline": (submission(Req_Deadline=None), ACCEPTED),
    "accepted without owner and kind": (submission(Req_Owner=None, Req_Kind=None), ACCEPTED),
    "accepted in chunks": (
        chunked(b"ab", b"cde").replace(b"\r\n", b"\r\nReq-Id: m1\r\nX-Consignee: dest=7\r\n", 1),
        ACCEPTED,
    ),
    "accepted and the connection ends": (submission(b"Connection: close"), ACCEPTED),
    "accepted by an old client": (submission(line=b"POST /api HTTP/1.0"), ACCEPTED),
    "accepted by an old client that stays": (
        submission(b"Connection: keep-alive", line=b"POST /api HTTP/1.0"),
        ACCEPTED,
    ),
    "accepted after going on": (submission(b"Expect: 100-continue"), ACCEPTED),
    "going on before the body": (submission(b"Expect: 100-continue")[:-1], ACCEPTED),
    "refused": (submission(), DEFERRED),
    "refused for a time": (submission(), DEFERRED_WITH_DELAY),
    "repeated": (submission(), DUPLICATE),
    "unknown class": (submission(), UNKNOWN_CLASS),
    "fault of ours": (submission(), ValueError("of the test")),
    "no id": (submission(Req_Id=None), ACCEPTED),
    "id with a blank": (submission(Req_Id=b"m 1"), ACCEPTED),
    "long id": (submission(Req_Id=b"m" * 257), ACCEPTED),
    "long key": (submission(line=b"POST /api?about=" + b"k" * 257 + b" HTTP/1.1"), ACCEPTED),
    "wrong tag": (submission(b"Idempotency-Key: a b"), ACCEPTED),
    "no destination": (submission(X_Consignee=b"from=7"), ACCEPTED),
    "wrong destination": (submission(X_Consignee=b"dest=-7"), ACCEPTED),
    "long destination": (submission(X_Consignee=b"dest=1234567890"), ACCEPTED),
    "deadline of nothing": (submission(Req_Deadline=b"0.0"), ACCEPTED),
    "wrong deadline": (submission(Req_Deadline=b"1e3"), ACCEPTED),
    "wrong method": (submission(line=b"GET /api HTTP/1.1"), ACCEPTED),
    "unknown path": (request(b"POST /other HTTP/1.1"), ACCEPTED),
    "ready": (request(b"GET /-/ready HTTP/1.1", body=b""), ACCEPTED),
    "ready without a body asked": (request(b"HEAD /-/ready HTTP/1.1", body=b""), ACCEPTED),
    "two behind each other": (request(b"GET /-/ready HTTP/1.1", body=b"") * 2, ACCEPTED),
    "something behind a message": (submission() + b"GET ", ACCEPTED),
    "not HTTP": (b"hello\r\n\r\n", ACCEPTED),
    "another version": (b"GET / HTTP/2.0\r\n\r\n", ACCEPTED),
    "wrong header line": (b"GET / HTTP/1.1\r\nwrong line\r\n\r\n", ACCEPTED),
    "two lengths": (b"POST /api HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", ACCEPTED),
    "length and coding": (
        b"POST /api HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        ACCEPTED,
    ),
    "unknown coding": (b"POST /api HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", ACCEPTED),
    "wrong length": (b"POST /api HTTP/1.1\r\nContent-Length: x\r\n\r\n", ACCEPTED),
    "body too large": (b"POST /api HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", ACCEPTED),
    "head too large": (b"GET / HTTP/1.1\r\nX: " + b"x" * 17_000 + b"\r\n\r\n", ACCEPTED),
    "wrong chunk": (b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", ACCEPTED),
}


async def converse(reader, writer, content, expected=None):
    """Send the bytes; return the response and whether the other side closed the connection after it.

    `expected`: the recorded response, whose length is waited for up to the timeout; None: wait while bytes arrive."""
    writer.write(content)
    received, has_ended, loop = b"", False, asyncio.get_running_loop()
    end = loop.time() + TIMEOUT_S
    while loop.time() < end:
        is_incomplete = expected and (len(received) < len(expected["answer"]) or expected["connection_ended"])
        try:
            async with asyncio.timeout(end - loop.time() if is_incomplete else QUIET_S):
                chunk = await reader.read(65536)
        except TimeoutError:
            break
        except ConnectionError:
            chunk = b""
        if not chunk:
            has_ended = True
            break
        received += chunk
    writer.close()
    return {"answer": text(received), "connection_ended": has_ended}


async def client_scene(name, expected):
    content, submit_result = CLIENTS[name]
    relay = protocols.StubRelay(submit_result)
    async with protocols.client_listener(relay) as address:
        connection = await asyncio.open_connection(*address)
        result = await converse(*connection, content, expected)
    return result | {"request": text(content), "handed_in": relay.calls}


async def stopping_scene(name, expected):
    relay = protocols.StubRelay(DEFERRED, is_stopping=True)
    async with protocols.client_listener(relay) as address:
        connection = await asyncio.open_connection(*address)
        return await converse(*connection, request(b"GET /-/ready HTTP/1.1", body=b""), expected)


# -- receivers ----------------------------------------------------------------------------------------------------


def response(status, *fields, body=b""):
    return b"\r\n".join([b"HTTP/1.1 %d x" % status, *fields, b"Content-Length: %d" % len(body), b"", body])


SILENT, RESET, CLOSE = b"silent", b"reset", b"end"
RECEIVERS = {
    # name: steps of the receiver, in order
    "200": [response(200)],
    "200 with a body": [response(200, body=ALL_BYTES)],
    "200 in chunks": [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"],
    "200 to the end": [b"HTTP/1.1 200 OK\r\n\r\nabc", CLOSE],
    "200 and the connection ends": [response(200, b"Connection: close")],
    "200 of an old server": [response(200).replace(b"1.1", b"1.0", 1)],
    "200 after interim answers": [b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\nA: b\r\n\r\n" + response(200)],
    "200 with a load report": [response(200, b"Srv-Load: x0=0.5, x1=12e0,busy=3 , bad, y=z, n=-1, big=1e13")],
    "200 with a spoilt load report": [response(200, b"Srv-Load: x0=0.5\x01")],
    "200 twice": [response(200) * 2],
    "200 and no more": [b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\na", SILENT],
    "200 and an end": [b"HTTP/1.1 200 OK\r\nContent-Le", CLOSE],
    "200 and a reset": [b"HTTP/1.1 200 OK\r\n", RESET],
    "half a first line and an end": [b"HTTP/1.1 20", CLOSE],
    "201": [response(201)],
    "202": [response(202)],
    "204": [b"HTTP/1.1 204 No Content\r\n\r\n"],
    "302": [response(302)],
    "400": [response(400)],
    "404": [response(404)],
    "409": [response(409)],
    "410": [response(410)],
    "429": [response(429)],
    "429 with a wait": [response(429, b"Retry-After: 1.25")],
    "429 with a wrong wait": [response(429, b"Retry-After: Wed, 21 Oct 2015 07:28:00 GMT")],
    "429 with a wait below nothing": [response(429, b"Retry-After: -1")],
    "429 with a busy line": [response(429, b"X-Line-Busy: 1", b"Retry-After: 2")],
    "429 with a load report": [response(429, b"Retry-After: 2", b"Srv-Load: x0=0,x1=4")],
    "500": [response(500)],
    "500 with a wait": [response(500, b"Retry-After: 2")],
    "503": [response(503)],
    "503 with a wait": [response(503, b"Retry-After: 3")],
    "504": [response(504)],
    "silence": [SILENT],
    "an end": [CLOSE],
    "a reset": [RESET],
    "not HTTP": [b"hello\r\n\r\n"],
    "wrong length": [b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"],
    "status below 200 alone": [b"HTTP/1.1 099 x\r\n\r\n"],
}


async def read_request(reader):
    """Return the bytes of a request, or b"" at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: (\d+)", head)
        return head + await reader.readexactly(int(length[1]) if length else 0)
    except (asyncio.IncompleteReadError, ConnectionError):
        return b""


class Server:
    """Responds to each request with the next response of a script; records the requests with their connections."""

    def __init__(self, script):
        self.script = script if callable(script) else list(script)
        self.requests, self.connections, self.tasks = [], [], set()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    async def __aexit__(self, *_):
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        connection = len(self.connections)
        self.connections.append(writer)
        try:
            while content := await read_request(reader):
                self.requests.append([connection, self.mask_port(content)])
                await self.respond(writer, content)
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    async def respond(self, writer, content):
        """Execute the next steps of the script: a response, and what happens to the connection after it."""
        if callable(self.script):
            return writer.write(self.script(content))
        if self.script and self.script[0] not in (SILENT, CLOSE, RESET):
            writer.write(self.script.pop(0))
        if self.script and self.script[0] in (SILENT, CLOSE, RESET):
            step = self.script.pop(0)
            if step == SILENT:
                await asyncio.sleep(TIMEOUT_S)
            elif step == CLOSE:
                writer.close()
            else:
                await asyncio.sleep(0.05)  # until the response has been read
                writer.transport.abort()

    def mask_port(self, content):
        return text(content).replace(f"127.0.0.1:{self.address[1]}", "127.0.0.1:PORT")


async def receiver_scene(name, _expected):
    """Make two calls in sequence; the second shows whether the connection was reused."""
    timeout_ms = 400.5 if SILENT in RECEIVERS[name] else 5000.5
    async with Server([*RECEIVERS[name], response(200)]) as server, protocols.receiver_calls() as call:
        first = await call(*server.address, "m1", "tag-1", b"body \xff", timeout_ms)
        second = await call(*server.address, "m2", "", b"", 5000.0)
    return {"outcomes": [first, second], "requests": server.requests}


async def unreachable_receiver_scene(_name, _expected):
    async with Server([]) as server:
        address = server.address
    async with protocols.receiver_calls() as call:
        return {"outcome": await call(*address, "m1", "", b"", 400.0)}


async def closed_window_scene(_name, _expected):
    async with Server([]) as server, protocols.receiver_calls() as call:
        outcome = await call(*server.address, "m1", "", b"", 400.0, send_window_ms=0.0)
    return {"outcome": outcome, "requests": server.requests}


# -- the agent ----------------------------------------------------------------------------------------------------

MEMBER = {
    "id": "r1",
    "host_port": "10.0.0.1:9001",
    "locality": "north",
    "flavor": "major",
    "cell": 7,
    "phase": "active",
    "size": 2.5,
    "up_since_ms": 0,
}


def list_update(revision, complete, *members):
    return response(
        200, body=json.dumps({"revision": revision, "complete": complete, "members": list(members)}).encode()
    )


MEMBERS = [
    MEMBER,
    MEMBER | {"id": "r2\xe9", "host_port": "[::1]:9002", "phase": "leaving", "extra": 1},
    MEMBER | {"id": "r3", "phase": "gone"},
    MEMBER | {"id": "r4", "phase": "of another kind", "size": None},
    {"id": "r5"},
    {"host_port": "10.0.0.6:1"},
    MEMBER | {"id": "r7", "host_port": "nonsense"},
    MEMBER | {"id": "r8", "cell": "x"},
]
WATCHES = {
    # name: (revision known at the start, responses of the agent)
    "whole list, changes, nothing new": (
        None,
        [
            list_update(40, True, *MEMBERS),
            list_update(41, False, MEMBER | {"phase": "leaving"}),
            list_update(41, False),
            list_update(43, False, MEMBER | {"phase": "gone"}),
        ],
    ),
    "known list goes on": (40, [list_update(41, False, MEMBER)]),
    "known list of another counting": (40, [list_update(3, False, MEMBER), list_update(3, True, MEMBER)]),
    "older and equal news": (
        None,
        [
            list_update(40, True, MEMBER),
            list_update(39, True, MEMBER),
            list_update(40, False, MEMBER),
            list_update(40, True),
        ],
    ),
    "errors, a refusal and nonsense": (
        None,
        [
            response(500),
            response(503),
            list_update(2, False, MEMBER),
            response(200, body=b"{]"),
            list_update(40, True, MEMBER),
        ],
    ),
    "the agent ends connections": (
        None,
        [list_update(40, True, MEMBER).replace(b"\r\n", b"\r\nConnection: close\r\n", 1), list_update(41, False)],
    ),
}


async def watch_scene(name, _expected):
    revision, script = WATCHES[name]
    updates = []
    async with Server(script) as server, protocols.agent_watch(server.address, revision, updates):
        await wait_until(lambda: len(server.requests) == len(script) + 1)
    return {"requests": server.requests, "learned": updates}


def reject_first():
    """Return a script that rejects only the first request."""
    statuses = iter([503])
    return lambda content: response(next(statuses, 200))


def reject_batches_and_given_up(content):
    return response(400 if content.count(b"message") > 1 or b"given_up" in content else 204)


NOTICES = {
    # name: returns the agent's script, a function from request to response
    "answered": lambda: lambda content: response(204),
    "answered after a refusal": reject_first,
    "one of them can't be read": lambda: reject_batches_and_given_up,
}


async def notices_scene(name, _expected):
    """Publish notices; drop repeated requests, which the protocol sends if a slow machine responds too late."""
    acknowledged = []
    async with Server(NOTICES[name]()) as server, protocols.agent_notices(server.address) as publish:
        for ident, retryable, ms in (("m1", True, 1250.12345), ("m2\xe9", False, 500.0), ("m3", True, 0.0)):
            publish(ident, retryable, ms, partial(acknowledged.append, ident))
        await wait_until(lambda: len(acknowledged) == 3)
    contents = [content for _, content in server.requests]
    return {"requests": [content for content, _ in groupby(contents)], "answered": acknowledged}


async def wait_until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)


# -- the control socket and the operators' console ----------------------------------------------------------------

CONTROL = {
    # name: (configured token, request line)
    "status": ("", b'{"ask":"status"}\n'),
    "status with lines": ("", b'{"ask":"status","lines":3}\n'),
    "status with too many lines": ("", b'{"lines":99999,"ask":"status"}\n'),
    "status with lines below nothing": ("", b'{"lines":-1,"ask":"status"}\n'),
    "status with the token": ("secret", b'{"ask":"status","token":"secret"}\n'),
    "status with another token": ("secret", b'{"ask":"status","token":"other"}\n'),
    "status without a token": ("secret", b'{"ask":"status"}\n'),
    "another question": ("", b'{"ask":"stop"}\n'),
    "an unknown field": ("", b'{"ask":"status","more":1}\n'),
    "no question": ("", b'{"token":""}\n'),
    "not JSON": ("", b"status\n"),
    "not a text": ("", b'{"ask":"\xff"}\n'),
    "too long": ("", b" " * 1024),
    "a fault of ours": ("", b'{"ask":"status","lines":13}\n'),
}


async def control_scene(name, expected):
    token, line = CONTROL[name]

    async def describe(lines):
        if lines == 13:
            raise ValueError("of the test")
        return {"name": "n0", "lines_wanted": lines, "text": "\xe9"}

    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "control"
        async with protocols.control_socket(path, token, describe):
            connection = await asyncio.open_unix_connection(str(path))
            return {"question": text(line)} | await converse(*connection, line, expected)


CONSOLE = {
    # name: (first line, arguments of the stub sender)
    "ready": (b"GET /_ready", {}),
    "not ready": (b"GET /_ready", {"ready": False}),
    "ready by a wrong method": (b"POST /_ready", {}),
    "figures": (b"GET /_vars?x=1", {}),
    "figures before the start": (b"GET /_vars", {"started": False}),
    "detach": (b"POST /_receivers/detach?host=a%20b", {}),
    "attach": (b"POST /_receivers/attach?x=1&host=a+b", {}),
    "detach of an unknown one": (b"POST /_receivers/detach?host=c", {}),
    "attach without room": (b"POST /_receivers/attach?host=c", {}),
    "detach by a wrong method": (b"GET /_receivers/detach?host=c", {}),
    "detach of none": (b"POST /_receivers/detach", {}),
    "attach of two": (b"POST /_receivers/attach?host=a+b&host=c", {}),
    "attach with a spoilt escape": (b"POST /_receivers/attach?host=a%2", {}),
    "attach of a long id": (b"POST /_receivers/attach?host=" + b"x" * 300, {}),
    "unknown path": (b"GET /", {}),
    "not HTTP": (b"hello", {}),
}


async def console_scene(name, expected):
    line, sender = CONSOLE[name]
    async with protocols.operators_console(protocols.StubOperatorActions(**sender)) as address:
        connection = await asyncio.open_connection(*address)
        return await converse(*connection, line + b" HTTP/1.1\r\nHost: x\r\n\r\n", expected)


# -- the HTTP parser -----------------------------------------------------------------------------------------------


def parse(content, are_responses):
    whole = protocols.read_messages([content], are_responses)
    pieces = protocols.read_messages([content[at : at + 1] for at in range(len(content))], are_responses)
    assert whole[0] == pieces[0] and whole[1] == pieces[1]
    return {"messages": whole[0], "refused": whole[1]}


async def reader_scene(name, _expected):
    wire, _, scene = name.partition(": ")
    if wire == "request":
        return parse(CLIENTS[scene][0], False)
    return parse(b"".join(step for step in RECEIVERS[scene] if step not in (SILENT, CLOSE, RESET)), True)


SCENES = (
    {f"client: {name}": partial(client_scene, name) for name in CLIENTS}
    | {"client: ready of a sender that stops": partial(stopping_scene, "")}
    | {f"receiver: {name}": partial(receiver_scene, name) for name in RECEIVERS}
    | {
        "receiver: nobody there": partial(unreachable_receiver_scene, ""),
        "receiver: not to leave any more": partial(closed_window_scene, ""),
    }
    | {f"watch: {name}": partial(watch_scene, name) for name in WATCHES}
    | {f"notices: {name}": partial(notices_scene, name) for name in NOTICES}
    | {f"control: {name}": partial(control_scene, name) for name in CONTROL}
    | {f"console: {name}": partial(console_scene, name) for name in CONSOLE}
    | {f"reader: request: {name}": partial(reader_scene, f"request: {name}") for name in CLIENTS}
    | {f"reader: answer: {name}": partial(reader_scene, f"answer: {name}") for name in RECEIVERS}
)


def play(name, expected=None):
    """Run one scene; return its result. `expected`: the recorded result, which tells how long to read."""

    async def run():
        async with asyncio.timeout(3.0 * TIMEOUT_S):
            return await SCENES[name](expected)

    return json.loads(json.dumps(asyncio.run(run())))
