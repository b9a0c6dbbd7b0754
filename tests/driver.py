"""Shared by the tests: settings of a sender, a simulated platform, and a sender process that runs against it."""

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
    retry_window_ms=5000.0,
    key_scope="all",
    by_arrival=False,
    max_bundle=1,
    call_slots=8,
    max_open=200,
    fleet_size=2,
    has_own_limits=False,
    max_attempts=6,
):
    return {
        "Allowed": {
            "MaxAttempts": max_attempts,
            "MaxOpen": max_open,
            "MaxRetryAfter": 2000.0,
            "RetryAfter": True,
            "MayDuplicate": False,
            "ConnectTimeout": 1500.0,
        },
        "FamilyInfo": {
            "BundleMax": [max_bundle],
            "CallSlots": call_slots,
            "Decay": "line",
            "OwnLimits": [has_own_limits],
        },
        "FleetSize": fleet_size,
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
                "KeyScope": key_scope,
                "Value": 1.0,
                "LateWorth": 0.4,
                "Window": retry_window_ms,
                "ByArrival": by_arrival,
            }
            for effect in effects
        ],
    }


# -- a sender process and the simulated platform, on sockets -------------------------------------------------


def address(server):
    return "%s:%d" % server.sockets[0].getsockname()[:2]


async def read_message(reader):
    """Return (first line, fields, body) of a request or response, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].split(b"\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(b":") for line in lines)}
    return first, fields, await reader.readexactly(int(fields.get(b"content-length", 0)))


def reply(status, *fields, body=b""):
    return b"\r\n".join([b"HTTP/1.1 %d x" % status, *fields, b"Content-Length: %d" % len(body), b"", body])


async def wait_until(condition, timeout_s=10.0):
    """Wait until `condition()` holds; fail after `timeout_s` seconds."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, "the condition did not hold in time"
        await asyncio.sleep(0.005)


class Platform:
    """Receivers of one destination and the platform's agent on loopback, with scripted responses."""

    def __init__(self):
        self.calls = []  # (message ID, fields, body, receiver number, connection, time)
        self.script = lambda call: reply(200)  # returns the bytes of a response, None for no response, or "reset"
        self.resets_early, self.early_resets = False, 0
        self.notices, self.notice_times = [], {}
        self.notice_status = 204  # None: no response
        self.revision, self.members, self.changes = 1, [], []
        self.list_status = 200  # of the agent's responses to requests for the list
        self.list_requests, self.watch_writers = [], []  # a watch that is only repeated is recorded once
        self.ignores_watches = False  # watches get no response, even after their wait time
        self.servers, self.connections = [], set()
        self.sender_processes = []

    async def open(self, receivers=1):
        for number in range(receivers):
            server = await asyncio.start_server(partial(self._receive, number), "127.0.0.1", 0)
            self.servers.append(server)
            self.members.append(
                {
                    "id": f"r{number}",
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
        """Move the agent to a new address. The old one accepts no connection and leaves the open ones unanswered."""
        old, self.watch_writers = self.agent, []
        self.agent = await asyncio.start_server(self._agent, "127.0.0.1", 0)
        old.close()

    def message_ids(self):
        return [call[0] for call in self.calls]

    async def _receive(self, number, reader, writer):
        self.connections.add(writer)
        if self.resets_early:  # reset the connection at the first byte of a call
            await reader.read(1)
            self.early_resets += 1
            return writer.transport.abort()
        while message := await read_message(reader):
            call = (message[1][b"req-id"], message[1], message[2], number, writer, time.monotonic())
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
                    self.notice_times.setdefault(self.notices[-1]["message"], time.monotonic())
                if self.notice_status:
                    writer.write(reply(self.notice_status))
                continue
            previous, latest = latest, message[0].split()[1].decode()
            if latest != previous or self.list_status != 200:
                self.list_requests.append(latest)
            if self.list_status != 200:
                writer.write(reply(self.list_status))
            elif "index=" in latest:
                self.watch_writers.append(writer)
                wait = int(latest.rpartition("wait=")[2]) / 1000.0
                asyncio.get_running_loop().call_later(wait, self._end_watch, writer)
            else:
                self.send_members(writer, True, self.members)

    def _end_watch(self, writer):
        if writer in self.watch_writers and not self.ignores_watches:
            self.watch_writers.remove(writer)
            if not writer.is_closing():
                self.send_members(writer, False, [])

    def send_members(self, writer, complete, members):
        body = json.dumps({"revision": self.revision, "complete": complete, "members": members}).encode()
        writer.write(reply(200, body=body))

    def set_phase(self, number, phase):
        """Set the phase of a member and send the update to every open watch."""
        self.revision += 1
        self.members[number]["phase"] = phase
        while self.watch_writers:
            self.send_members(self.watch_writers.pop(), False, [self.members[number]])


class Sender:
    """A sender process, started as an operator starts it, with a folder that outlives it."""

    def __init__(self, platform, folder, **limits):
        self.platform, self.folder, self.process = platform, folder, None
        self.test_reads_log = False  # leave reading the log to the test
        self.arguments = []
        self.log_pipe = None  # set to any value before start(): the log goes to a pipe whose read end is stored here
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
        self.config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "console": "127.0.0.1:0",
            "discovery": address(platform.agent),
            "seed": "1f",
            "limits": {"memory_mb": 192, "sockets": 1024, "disk_mb": 3} | limits,
            "known": {"revision": 1, "complete": True, "members": platform.members},
            "settings": settings()
            | {"Services": services, "Accounts": [{"Name": "acme"}], "Zones": ["a"], "Kinds": ["k"]},
        }
        self.config["settings"]["Allowed"]["IdleClose"] = 15000.0

    def reload(self, content=None):
        (self.folder / "config.json").write_text(content or json.dumps(self.config))
        self.process.send_signal(signal.SIGHUP)

    async def start(self):
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        sockets = self.config["limits"].get("sockets", 1024)
        environment = dict(os.environ, LB_CONFIG=str(path), LB_STATE=str(self.folder / "state"))
        log_target = asyncio.subprocess.PIPE
        if self.log_pipe is not None:
            self.log_pipe, log_target = os.pipe()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "dewpin",
            "run",
            *self.arguments,
            env=environment,
            stderr=log_target,
            preexec_fn=partial(resource.setrlimit, resource.RLIMIT_NOFILE, (sockets, sockets)),
            cwd=os.path.dirname(os.path.dirname(os.path.abspath(__file__))),
        )
        self.platform.sender_processes.append(self.process)
        if self.log_pipe is not None:
            os.close(log_target)

        async def read_line():
            if self.log_pipe is None:
                return (await self.process.stderr.readline()).decode()
            return (await asyncio.to_thread(os.read, self.log_pipe, 65536)).decode()

        self.first_line = await read_line()
        while "listens on" not in self.first_line and re.match(r"[\d{]", self.first_line):  # a line of the log
            if found := re.search(r"operators are answered at (\S+):(\d+)", self.first_line):
                self.console = found[1], int(found[2])
            self.first_line = await read_line()
        if not self.test_reads_log and self.log_pipe is None:
            self.log = asyncio.get_running_loop().create_task(self.process.stderr.read())
        host, _, port = re.search(r"listens on (\S+),", self.first_line)[1].rpartition(":")
        self.address = host, int(port)
        assert (await self.exchange(b"GET /-/ready HTTP/1.1\r\n\r\n"))[0] == 200
        return self

    def pending_count(self):
        """Return the number of messages in the journal that have not ended."""
        return len(JournalInspector(self.folder / "state").pending())

    async def end(self, signal_number=signal.SIGKILL):
        self.process.send_signal(signal_number)
        return await self.process.wait()

    async def connect(self):
        return await asyncio.open_connection(*self.address)

    async def exchange(self, request, connection=None):
        """Return (status, fields) of the response; None if there is none. A connection opened here is closed."""
        reader, writer = connection or await self.connect()
        writer.write(request)
        message = await asyncio.wait_for(read_message(reader), 5.0)
        if connection is None:
            writer.close()
        return message and (int(message[0].split()[1]), message[1])

    async def submit(
        self,
        message_id,
        queue_class="notice",
        deadline_s=10.0,
        ordering_key="",
        body=b"x",
        idempotency_key=b"t",
        connection=None,
    ):
        request = (
            f"POST /api{'?about=' + ordering_key if ordering_key else ''} HTTP/1.1\r\n"
            f"Req-Id: {message_id}\r\nReq-Kind: {queue_class}\r\n"
            f"Req-Owner: acme\r\nReq-Deadline: {deadline_s}\r\nX-Consignee: dest=7\r\n"
        ).encode()
        request += b"Idempotency-Key: %s\r\nContent-Length: %d\r\n\r\n" % (idempotency_key, len(body)) + body
        return await self.exchange(request, connection)


def run_scenario(folder, scenario, receivers=1, start=True, reads_log=True, **limits):
    """Run `scenario(platform, sender)` with a simulated platform and a sender; stop everything that was started."""

    async def run():
        platform = await Platform().open(receivers)
        sender = Sender(platform, folder, **limits)
        sender.test_reads_log = not reads_log
        try:
            if start:
                await sender.start()
            await asyncio.wait_for(scenario(platform, sender), 60.0)
        finally:
            for process in platform.sender_processes:  # also a process that took over, if the scenario failed
                if process.returncode is None:
                    process.kill()
                    await asyncio.wait_for(process.wait(), 10.0)
            for server in (*platform.servers, platform.agent):
                server.close()
            for writer in list(platform.connections):
                writer.transport.abort()

    asyncio.run(run())
