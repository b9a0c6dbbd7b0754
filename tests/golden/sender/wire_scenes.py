"""Single exchanges on the sender's wires, each played over real sockets: bytes in, bytes and plain facts out.

`play(name)` plays one of `SCENES` and gives its facts as they come back from JSON. Bytes are written as Latin-1 text,
and ports, which differ from run to run, as PORT.
"""

import asyncio
import json
import re
import tempfile
from functools import partial
from itertools import groupby
from pathlib import Path

from golden import sender_api
from golden.sender_api import text

QUIET_S = 0.15  # without a byte, after which nothing more is expected
MOST_S = 10.0


def request(line=b"POST /api HTTP/1.1", *fields, body=b"x", length=True):
    size = (b"Content-Length: %d" % len(body),) if length else ()
    return b"\r\n".join([line, *fields, *size, b"", body])


def hand_in(*more, body=b"x", line=b"POST /api HTTP/1.1", **replaced):
    fields = {
        b"Req-Id": b"m1",
        b"Req-Kind": b"notice",
        b"Req-Owner": b"acme",
        b"Req-Deadline": b"12.5",
        b"X-Consignee": b"dest=7",
    } | {name.replace("_", "-").encode(): value for name, value in replaced.items()}
    held = [name + b": " + value for name, value in fields.items() if value is not None]
    return request(line, *held, *more, body=body)


def chunked(*chunks):
    sizes = b"".join(b"%x;note=1\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    return b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + sizes + b"0\r\nTrailer: x\r\n\r\n"


# -- clients ------------------------------------------------------------------------------------------------------

ACCEPTED, REFUSED, REFUSED_FOR, REPEATED, UNKNOWN = (
    (True, 0),
    (False, 0.0),
    (False, 1250.1256),
    (None, 409),
    (None, 400),
)
ALL_BYTES = bytes(range(256))
CLIENTS = {
    # name: (bytes of the client, answer of the intake)
    "accepted": (hand_in(), ACCEPTED),
    "accepted with all fields": (
        hand_in(
            b"Idempotency-Key: tag-1",
            b"Req-Retry: 1",
            line=b"POST /api?x=1&about=k%2F1%ff HTTP/1.1",
            body=ALL_BYTES,
            X_Consignee=b"a=1, dest=12 , b=2",
        ),
        ACCEPTED,
    ),
    "accepted without deadline": (hand_in(Req_Deadline=None), ACCEPTED),
    "accepted without owner and kind": (hand_in(Req_Owner=None, Req_Kind=None), ACCEPTED),
    "accepted in chunks": (
        chunked(b"ab", b"cde").replace(b"\r\n", b"\r\nReq-Id: m1\r\nX-Consignee: dest=7\r\n", 1),
        ACCEPTED,
    ),
    "accepted and the connection ends": (hand_in(b"Connection: close"), ACCEPTED),
    "accepted by an old client": (hand_in(line=b"POST /api HTTP/1.0"), ACCEPTED),
    "accepted by an old client that stays": (hand_in(b"Connection: keep-alive", line=b"POST /api HTTP/1.0"), ACCEPTED),
    "accepted after going on": (hand_in(b"Expect: 100-continue"), ACCEPTED),
    "going on before the body": (hand_in(b"Expect: 100-continue")[:-1], ACCEPTED),
    "refused": (hand_in(), REFUSED),
    "refused for a time": (hand_in(), REFUSED_FOR),
    "repeated": (hand_in(), REPEATED),
    "unknown class": (hand_in(), UNKNOWN),
    "fault of ours": (hand_in(), ValueError("of the test")),
    "no id": (hand_in(Req_Id=None), ACCEPTED),
    "id with a blank": (hand_in(Req_Id=b"m 1"), ACCEPTED),
    "long id": (hand_in(Req_Id=b"m" * 257), ACCEPTED),
    "long key": (hand_in(line=b"POST /api?about=" + b"k" * 257 + b" HTTP/1.1"), ACCEPTED),
    "wrong tag": (hand_in(b"Idempotency-Key: a b"), ACCEPTED),
    "no destination": (hand_in(X_Consignee=b"from=7"), ACCEPTED),
    "wrong destination": (hand_in(X_Consignee=b"dest=-7"), ACCEPTED),
    "long destination": (hand_in(X_Consignee=b"dest=1234567890"), ACCEPTED),
    "deadline of nothing": (hand_in(Req_Deadline=b"0.0"), ACCEPTED),
    "wrong deadline": (hand_in(Req_Deadline=b"1e3"), ACCEPTED),
    "wrong method": (hand_in(line=b"GET /api HTTP/1.1"), ACCEPTED),
    "unknown path": (request(b"POST /other HTTP/1.1"), ACCEPTED),
    "ready": (request(b"GET /-/ready HTTP/1.1", body=b""), ACCEPTED),
    "ready without a body asked": (request(b"HEAD /-/ready HTTP/1.1", body=b""), ACCEPTED),
    "two behind each other": (request(b"GET /-/ready HTTP/1.1", body=b"") * 2, ACCEPTED),
    "something behind a message": (hand_in() + b"GET ", ACCEPTED),
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
    """Sends the bytes; gives what came back, and whether the other side ended then.

    `expected`: what came when it was recorded: so much is waited for patiently; None: only as long as bytes come."""
    writer.write(content)
    held, ended, loop = b"", False, asyncio.get_running_loop()
    end = loop.time() + MOST_S
    while loop.time() < end:
        lacks = expected and (len(held) < len(expected["answer"]) or expected["connection_ended"])
        try:
            async with asyncio.timeout(end - loop.time() if lacks else QUIET_S):
                more = await reader.read(65536)
        except TimeoutError:
            break
        except ConnectionError:
            more = b""
        if not more:
            ended = True
            break
        held += more
    writer.close()
    return {"answer": text(held), "connection_ended": ended}


async def client_scene(name, expected):
    content, answer = CLIENTS[name]
    intake = sender_api.Intake(answer)
    async with sender_api.client_listener(intake) as address:
        connection = await asyncio.open_connection(*address)
        facts = await converse(*connection, content, expected)
    return facts | {"request": text(content), "handed_in": intake.calls}


async def stopping_scene(name, expected):
    intake = sender_api.Intake(REFUSED, stopping=True)
    async with sender_api.client_listener(intake) as address:
        connection = await asyncio.open_connection(*address)
        return await converse(*connection, request(b"GET /-/ready HTTP/1.1", body=b""), expected)


# -- receivers ----------------------------------------------------------------------------------------------------


def answer(status, *fields, body=b""):
    return b"\r\n".join([b"HTTP/1.1 %d x" % status, *fields, b"Content-Length: %d" % len(body), b"", body])


SILENT, RESET, END = b"silent", b"reset", b"end"
RECEIVERS = {
    # name: what the receiver answers, in its order
    "200": [answer(200)],
    "200 with a body": [answer(200, body=ALL_BYTES)],
    "200 in chunks": [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"],
    "200 to the end": [b"HTTP/1.1 200 OK\r\n\r\nabc", END],
    "200 and the connection ends": [answer(200, b"Connection: close")],
    "200 of an old server": [answer(200).replace(b"1.1", b"1.0", 1)],
    "200 after interim answers": [b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\nA: b\r\n\r\n" + answer(200)],
    "200 with a load report": [answer(200, b"Srv-Load: x0=0.5, x1=12e0,busy=3 , bad, y=z, n=-1, big=1e13")],
    "200 with a spoilt load report": [answer(200, b"Srv-Load: x0=0.5\x01")],
    "200 twice": [answer(200) * 2],
    "200 and no more": [b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\na", SILENT],
    "200 and an end": [b"HTTP/1.1 200 OK\r\nContent-Le", END],
    "200 and a reset": [b"HTTP/1.1 200 OK\r\n", RESET],
    "half a first line and an end": [b"HTTP/1.1 20", END],
    "201": [answer(201)],
    "202": [answer(202)],
    "204": [b"HTTP/1.1 204 No Content\r\n\r\n"],
    "302": [answer(302)],
    "400": [answer(400)],
    "404": [answer(404)],
    "409": [answer(409)],
    "410": [answer(410)],
    "429": [answer(429)],
    "429 with a wait": [answer(429, b"Retry-After: 1.25")],
    "429 with a wrong wait": [answer(429, b"Retry-After: Wed, 21 Oct 2015 07:28:00 GMT")],
    "429 with a wait below nothing": [answer(429, b"Retry-After: -1")],
    "429 with a busy line": [answer(429, b"X-Line-Busy: 1", b"Retry-After: 2")],
    "429 with a load report": [answer(429, b"Retry-After: 2", b"Srv-Load: x0=0,x1=4")],
    "500": [answer(500)],
    "500 with a wait": [answer(500, b"Retry-After: 2")],
    "503": [answer(503)],
    "503 with a wait": [answer(503, b"Retry-After: 3")],
    "504": [answer(504)],
    "silence": [SILENT],
    "an end": [END],
    "a reset": [RESET],
    "not HTTP": [b"hello\r\n\r\n"],
    "wrong length": [b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n"],
    "status below 200 alone": [b"HTTP/1.1 099 x\r\n\r\n"],
}


async def read_request(reader):
    """The bytes of a request, or b"" at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: (\d+)", head)
        return head + await reader.readexactly(int(length[1]) if length else 0)
    except (asyncio.IncompleteReadError, ConnectionError):
        return b""


class Server:
    """Answers each request with the next answer of a script, and notes the requests with their connections."""

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
                self.requests.append([connection, self.plain(content)])
                await self.answer(writer, content)
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    async def answer(self, writer, content):
        """Takes the next answer of the script, and what is to become of the connection behind it."""
        if callable(self.script):
            return writer.write(self.script(content))
        if self.script and self.script[0] not in (SILENT, END, RESET):
            writer.write(self.script.pop(0))
        if self.script and self.script[0] in (SILENT, END, RESET):
            step = self.script.pop(0)
            if step == SILENT:
                await asyncio.sleep(MOST_S)
            elif step == END:
                writer.close()
            else:
                await asyncio.sleep(0.05)  # what was written before has been read
                writer.transport.abort()

    def plain(self, content):
        return text(content).replace(f"127.0.0.1:{self.address[1]}", "127.0.0.1:PORT")


async def receiver_scene(name, _expected):
    """Two calls, one after the other: the second shows whether the connection was kept."""
    limit_ms = 400.5 if SILENT in RECEIVERS[name] else 5000.5
    async with Server([*RECEIVERS[name], answer(200)]) as server, sender_api.receiver_calls() as call:
        first = await call(*server.address, "m1", "tag-1", b"body \xff", limit_ms)
        second = await call(*server.address, "m2", "", b"", 5000.0)
    return {"outcomes": [first, second], "requests": server.requests}


async def no_receiver_scene(_name, _expected):
    async with Server([]) as server:
        address = server.address
    async with sender_api.receiver_calls() as call:
        return {"outcome": await call(*address, "m1", "", b"", 400.0)}


async def not_to_leave_scene(_name, _expected):
    async with Server([]) as server, sender_api.receiver_calls() as call:
        outcome = await call(*server.address, "m1", "", b"", 400.0, may_leave_ms=0.0)
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


def news(revision, complete, *members):
    return answer(200, body=json.dumps({"revision": revision, "complete": complete, "members": list(members)}).encode())


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
    # name: (revision known at the start, what the agent answers)
    "whole list, changes, nothing new": (
        None,
        [
            news(40, True, *MEMBERS),
            news(41, False, MEMBER | {"phase": "leaving"}),
            news(41, False),
            news(43, False, MEMBER | {"phase": "gone"}),
        ],
    ),
    "known list goes on": (40, [news(41, False, MEMBER)]),
    "known list of another counting": (40, [news(3, False, MEMBER), news(3, True, MEMBER)]),
    "older and equal news": (
        None,
        [news(40, True, MEMBER), news(39, True, MEMBER), news(40, False, MEMBER), news(40, True)],
    ),
    "errors, a refusal and nonsense": (
        None,
        [answer(500), answer(503), news(2, False, MEMBER), answer(200, body=b"{]"), news(40, True, MEMBER)],
    ),
    "the agent ends connections": (
        None,
        [news(40, True, MEMBER).replace(b"\r\n", b"\r\nConnection: close\r\n", 1), news(41, False)],
    ),
}


async def watch_scene(name, _expected):
    revision, script = WATCHES[name]
    learned = []
    async with Server(script) as server, sender_api.agent_watch(server.address, revision, learned):
        await until(lambda: len(server.requests) == len(script) + 1)
    return {"requests": server.requests, "learned": learned}


def refuse_first():
    """A script that refuses the first request, and none after it."""
    statuses = iter([503])
    return lambda content: answer(next(statuses, 200))


def refuse_many_and_the_second(content):
    return answer(400 if content.count(b"message") > 1 or b"given_up" in content else 204)


NOTICES = {
    # name: makes what the agent answers to a request
    "answered": lambda: lambda content: answer(204),
    "answered after a refusal": refuse_first,
    "one of them can't be read": lambda: refuse_many_and_the_second,
}


async def notices_scene(name, _expected):
    """The requests without those that a slow machine repeats, as the protocol has it after a time without answer."""
    answered = []
    async with Server(NOTICES[name]()) as server, sender_api.agent_notices(server.address) as tell:
        for ident, retryable, ms in (("m1", True, 1250.12345), ("m2\xe9", False, 500.0), ("m3", True, 0.0)):
            tell(ident, retryable, ms, partial(answered.append, ident))
        await until(lambda: len(answered) == 3)
    contents = [content for _, content in server.requests]
    return {"requests": [one for one, _ in groupby(contents)], "answered": answered}


async def until(fact):
    async with asyncio.timeout(MOST_S):
        while not fact():
            await asyncio.sleep(0.005)


# -- the control socket and the operators' console ----------------------------------------------------------------

CONTROL = {
    # name: (token configured, line asked)
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

    async def facts(lines):
        if lines == 13:
            raise ValueError("of the test")
        return {"name": "n0", "lines_wanted": lines, "text": "\xe9"}

    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "control"
        async with sender_api.control_socket(path, token, facts):
            connection = await asyncio.open_unix_connection(str(path))
            return {"question": text(line)} | await converse(*connection, line, expected)


CONSOLE = {
    # name: (first line, what stands for the sender)
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
    async with sender_api.operators_console(sender_api.Operations(**sender)) as address:
        connection = await asyncio.open_connection(*address)
        return await converse(*connection, line + b" HTTP/1.1\r\nHost: x\r\n\r\n", expected)


# -- the reader of HTTP -------------------------------------------------------------------------------------------


def parsed(content, answers):
    whole = sender_api.read_messages([content], answers)
    pieces = sender_api.read_messages([content[at : at + 1] for at in range(len(content))], answers)
    assert whole[0] == pieces[0] and whole[1] == pieces[1]
    return {"messages": whole[0], "refused": whole[1]}


async def reader_scene(name, _expected):
    wire, _, scene = name.partition(": ")
    if wire == "request":
        return parsed(CLIENTS[scene][0], False)
    return parsed(b"".join(step for step in RECEIVERS[scene] if step not in (SILENT, END, RESET)), True)


SCENES = (
    {f"client: {name}": partial(client_scene, name) for name in CLIENTS}
    | {"client: ready of a sender that stops": partial(stopping_scene, "")}
    | {f"receiver: {name}": partial(receiver_scene, name) for name in RECEIVERS}
    | {
        "receiver: nobody there": partial(no_receiver_scene, ""),
        "receiver: not to leave any more": partial(not_to_leave_scene, ""),
    }
    | {f"watch: {name}": partial(watch_scene, name) for name in WATCHES}
    | {f"notices: {name}": partial(notices_scene, name) for name in NOTICES}
    | {f"control: {name}": partial(control_scene, name) for name in CONTROL}
    | {f"console: {name}": partial(console_scene, name) for name in CONSOLE}
    | {f"reader: request: {name}": partial(reader_scene, f"request: {name}") for name in CLIENTS}
    | {f"reader: answer: {name}": partial(reader_scene, f"answer: {name}") for name in RECEIVERS}
)


def play(name, expected=None):
    """The facts of one scene; `expected`: those of the recording, to know how long to listen."""

    async def whole():
        async with asyncio.timeout(3.0 * MOST_S):
            return await SCENES[name](expected)

    return json.loads(json.dumps(asyncio.run(whole())))
