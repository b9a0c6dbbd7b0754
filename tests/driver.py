"""What the tests share: settings of a sender, and the world around the program."""

import asyncio
import json
import os
import re
import resource
import signal
import sys
import time
from functools import partial

from dewpin.spool.inspector import JournalInspector


def settings(
    effects=("safe",),
    window=5000.0,
    scope="all",
    order=False,
    bundle=1,
    slots=8,
    room=200,
    fleet=2,
    apart=False,
    attempts=6,
):
    return {
        "Allowed": {
            "MaxAttempts": attempts,
            "MaxOpen": room,
            "MaxRetryAfter": 2000.0,
            "RetryAfter": True,
            "MayDuplicate": False,
            "ConnectTimeout": 1500.0,
        },
        "FamilyInfo": {"BundleMax": [bundle], "CallSlots": slots, "Decay": "line", "OwnLimits": [apart]},
        "FleetSize": fleet,
        "Tick": 5.0,
        "Az": 0,
        "Rules": {
            "AnswerSlack": 20.0,
            "ColdFrom": 0.2,
            "DrainGrace": 1000.0,
            "FallMultiple": 2.0,
            "OverloadFor": 2000.0,
            "TurnGap": 100.0,
            "WarmAfter": 9000.0,
        },
        "Services": [
            {
                "Deadline": 16000.0,
                "Effect": effect,
                "GoalTime": 2000.0,
                "KeyScope": scope,
                "Value": 1.0,
                "LateWorth": 0.4,
                "Window": window,
                "ByArrival": order,
            }
            for effect in effects
        ],
    }


# -- the program and what stands around it, on sockets ------------------------------------------------------


def address(server):
    return "%s:%d" % server.sockets[0].getsockname()[:2]


async def read_message(reader):
    """(first line, fields, body) of a request or an answer, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].split(b"\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(b":") for line in lines)}
    return first, fields, await reader.readexactly(int(fields.get(b"content-length", 0)))


def reply(status, *fields, body=b""):
    return b"\r\n".join([b"HTTP/1.1 %d x" % status, *fields, b"Content-Length: %d" % len(body), b"", body])


async def until(fact, seconds=10.0):
    """Waits for a condition, which the sender's own work brings about."""
    end = time.monotonic() + seconds
    while not fact():
        assert time.monotonic() < end, "it never came"
        await asyncio.sleep(0.005)


class Outside:
    """Receivers of one destination and the platform's agent, on one machine, with scripts that the tests change."""

    def __init__(self):
        self.calls = []  # (ident, fields, body, receiver, connection, time)
        self.script = lambda call: reply(200)  # bytes, None: silence, "reset"
        self.early, self.resets = False, 0
        self.notices, self.noted_at = [], {}
        self.notice_status = 204  # None: silence
        self.revision, self.members, self.changes = 1, [], []
        self.list_status = 200  # of the agent's answers to calls for the list
        self.asked, self.watching = [], []  # asked: a watch that goes on is noted once
        self.silent = False  # watches are not answered any more, not even when their wait is over
        self.servers, self.connections = [], set()
        self.started = []  # processes of senders

    async def open(self, receivers=1):
        for at in range(receivers):
            server = await asyncio.start_server(partial(self._receive, at), "127.0.0.1", 0)
            self.servers.append(server)
            self.members.append(
                {
                    "id": f"r{at}",
                    "host_port": address(server),
                    "locality": "a",
                    "flavor": "k",
                    "cell": 7,
                    "phase": "active",
                    "size": 1.0,
                    "up_since_ms": 0,
                }
            )
        self.agent = await asyncio.start_server(self._agent, "127.0.0.1", 0)
        return self

    async def move_agent(self):
        """The agent goes to another address; the old one is silent from now on, its connections stay open."""
        old, self.watching = self.agent, []
        self.agent = await asyncio.start_server(self._agent, "127.0.0.1", 0)
        old.close()

    def idents(self):
        return [call[0] for call in self.calls]

    async def _receive(self, at, reader, writer):
        self.connections.add(writer)
        if self.early:  # resets as soon as a call begins to come
            await reader.read(1)
            self.resets += 1
            return writer.transport.abort()
        while message := await read_message(reader):
            call = (message[1][b"req-id"], message[1], message[2], at, writer, time.monotonic())
            self.calls.append(call)
            answer = self.script(call)
            if asyncio.iscoroutine(answer):
                answer = await answer
            if answer == "reset":
                writer.transport.abort()
            elif answer:
                writer.write(answer)
        self.connections.discard(writer)

    async def _agent(self, reader, writer):
        latest = None
        while message := await read_message(reader):
            if message[0].startswith(b"POST /v1/notices"):
                for line in message[2].splitlines():
                    self.notices.append(json.loads(line))
                    self.noted_at.setdefault(self.notices[-1]["message"], time.monotonic())
                if self.notice_status:
                    writer.write(reply(self.notice_status))
                continue
            before, latest = latest, message[0].split()[1].decode()
            if latest != before or self.list_status != 200:
                self.asked.append(latest)
            if self.list_status != 200:
                writer.write(reply(self.list_status))
            elif "index=" in latest:
                self.watching.append(writer)
                wait = int(latest.rpartition("wait=")[2]) / 1000.0
                asyncio.get_running_loop().call_later(wait, self._nothing_new, writer)
            else:
                self.tell(writer, True, self.members)

    def _nothing_new(self, writer):
        if writer in self.watching and not self.silent:
            self.watching.remove(writer)
            if not writer.is_closing():
                self.tell(writer, False, [])

    def tell(self, writer, complete, members):
        body = json.dumps({"revision": self.revision, "complete": complete, "members": members}).encode()
        writer.write(reply(200, body=body))

    def change(self, at, phase):
        """News for whoever watches."""
        self.revision += 1
        self.members[at]["phase"] = phase
        while self.watching:
            self.tell(self.watching.pop(), False, [self.members[at]])


class Sender:
    """The program, started as an operator starts it, with a folder that lasts."""

    def __init__(self, outside, folder, **limits):
        self.outside, self.folder, self.process = outside, folder, None
        self.heard = False  # its log is read by the test
        self.arguments = []
        self.pipe = None  # the log's end, where a test reads it by itself
        services = [
            {
                "Name": name,
                "Effect": effect,
                "GoalTime": 2000.0,
                "Deadline": 16000.0,
                "Value": 1.0,
                "LateWorth": 0.4,
                "Window": 15000.0,
                "KeyScope": "all",
                "ByArrival": effect == "unsafe",
            }
            for name, effect in (("notice", "keyed"), ("status", "safe"), ("charge", "unsafe"))
        ]
        self.told = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "console": "127.0.0.1:0",
            "discovery": address(outside.agent),
            "seed": "1f",
            "limits": {"memory_mb": 192, "sockets": 1024, "disk_mb": 3} | limits,
            "known": {"revision": 1, "complete": True, "members": outside.members},
            "settings": settings()
            | {"Services": services, "Accounts": [{"Name": "acme"}], "Zones": ["a"], "Kinds": ["k"]},
        }
        self.told["settings"]["Allowed"]["IdleClose"] = 15000.0

    def reload(self, content=None):
        (self.folder / "config.json").write_text(content or json.dumps(self.told))
        self.process.send_signal(signal.SIGHUP)

    async def start(self):
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.told))
        sockets = self.told["limits"].get("sockets", 1024)
        environment = dict(os.environ, LB_CONFIG=str(path), LB_STATE=str(self.folder / "state"))
        log = asyncio.subprocess.PIPE
        if self.pipe is not None:
            self.pipe, log = os.pipe()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "dewpin",
            "run",
            *self.arguments,
            env=environment,
            stderr=log,
            preexec_fn=partial(resource.setrlimit, resource.RLIMIT_NOFILE, (sockets, sockets)),
            cwd=os.path.dirname(os.path.dirname(os.path.abspath(__file__))),
        )
        self.outside.started.append(self.process)
        if self.pipe is not None:
            os.close(log)

        async def line():
            if self.pipe is None:
                return (await self.process.stderr.readline()).decode()
            return (await asyncio.to_thread(os.read, self.pipe, 65536)).decode()

        self.first_line = await line()
        while "listens on" not in self.first_line and re.match(r"[\d{]", self.first_line):  # a line of the log
            if found := re.search(r"operators are answered at (\S+):(\d+)", self.first_line):
                self.console = found[1], int(found[2])
            self.first_line = await line()
        if not self.heard and self.pipe is None:
            self.log = asyncio.get_running_loop().create_task(self.process.stderr.read())
        host, _, port = re.search(r"listens on (\S+),", self.first_line)[1].rpartition(":")
        self.address = host, int(port)
        assert (await self.ask(b"GET /-/ready HTTP/1.1\r\n\r\n"))[0] == 200
        return self

    def owed(self):
        """How many mails the spool says are owed an end."""
        return len(JournalInspector(self.folder / "state").pending())

    async def end(self, number=signal.SIGKILL):
        self.process.send_signal(number)
        return await self.process.wait()

    async def connect(self):
        return await asyncio.open_connection(*self.address)

    async def ask(self, request, connection=None):
        """(status, fields) of the answer; the connection is closed unless it was given."""
        reader, writer = connection or await self.connect()
        writer.write(request)
        message = await asyncio.wait_for(read_message(reader), 5.0)
        if connection is None:
            writer.close()
        return message and (int(message[0].split()[1]), message[1])

    async def hand_in(self, ident, kind="notice", left=10.0, key="", body=b"x", tag=b"t", connection=None):
        request = (
            f"POST /api{'?about=' + key if key else ''} HTTP/1.1\r\nReq-Id: {ident}\r\nReq-Kind: {kind}\r\n"
            f"Req-Owner: acme\r\nReq-Deadline: {left}\r\nX-Consignee: dest=7\r\n"
        ).encode()
        request += b"Idempotency-Key: %s\r\nContent-Length: %d\r\n\r\n" % (tag, len(body)) + body
        return await self.ask(request, connection)


def play(folder, scene, receivers=1, start=True, log=True, **limits):
    """Runs a scene with the world around a sender and the sender, and ends what it started."""

    async def whole():
        outside = await Outside().open(receivers)
        sender = Sender(outside, folder, **limits)
        sender.heard = not log
        try:
            if start:
                await sender.start()
            await asyncio.wait_for(scene(outside, sender), 60.0)
        finally:
            for process in outside.started:  # also one that took over, in a scene that failed
                if process.returncode is None:
                    process.kill()
                    await asyncio.wait_for(process.wait(), 10.0)
            for server in (*outside.servers, outside.agent):
                server.close()
            for writer in list(outside.connections):
                writer.transport.abort()

    asyncio.run(whole())
