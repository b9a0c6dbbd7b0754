"""Operators of a simulated run: they send configuration changes, retry on unclear outcomes, and read them back."""

import asyncio
import json

from dewpin.standin.sample_configuration import sample_configuration

from .oracle import ACKNOWLEDGED, REFUSED, ConfigurationChange
from .world import CLIENT_S, OPERATOR_IP

ATTEMPT_TIMEOUT_S = 1.2
PAUSE_S = 0.15


def encode_body(change):
    """The JSON bytes of a change's configuration."""
    body = sample_configuration(change.generation, plain_path=f"/{change.body_id}/")
    body["note"] = "x" * change.padding_bytes
    return json.dumps(body).encode()


class Operators:
    """All operators. `reply_loss`: share of replies that are lost."""

    def __init__(self, world):
        self.world = world
        self.oracle = world.oracle
        self.rng = world.rng
        self.reply_loss = 0.0
        self.change_count = 0

    # Single calls

    async def call(self, host, make_call, timeout_s=ATTEMPT_TIMEOUT_S):
        """Make a call at one machine. Returns status and body, or None if the outcome is unclear."""
        world = self.world
        await asyncio.sleep(CLIENT_S)
        if not host.is_running or not world.reaches(OPERATOR_IP, host.ip):
            await asyncio.sleep(timeout_s if not host.has_power else 0.0)
            return None
        task = host.machine.start(host.call_operator_api(make_call))
        await asyncio.wait({task}, timeout=timeout_s)
        if not task.done() or task.cancelled() or task.result() is None:
            return None
        if not world.reaches(host.ip, OPERATOR_IP) or self.rng.random() < self.reply_loss:
            await asyncio.sleep(timeout_s / 4)
            return None
        await asyncio.sleep(CLIENT_S)
        return task.result().status, task.result().body

    def any_store(self):
        return self.rng.choice(self.world.stores())

    # Configurations

    def new_change(self, base, generation=None, padding_bytes=0):
        self.change_count += 1
        return ConfigurationChange(
            base, generation or base + self.rng.randint(1, 3), f"m{self.change_count}", padding_bytes
        )

    async def put(self, change, retry_for_s=None, first_host=None, on_attempt=None):
        """Send a change until the outcome is clear, or for `retry_for_s`. Returns the status, or None if unclear."""
        body = encode_body(change)
        world, oracle = self.world, self.oracle
        until_s = world.loop.now + (retry_for_s if retry_for_s is not None else 10.0)
        host = first_host or self.any_store()
        while world.loop.now < until_s:
            oracle.change_sent(change)
            if on_attempt is not None:
                on_attempt(host)
            status = await self._attempt(host, change, body)
            if status in (ACKNOWLEDGED, REFUSED):
                return status
            await asyncio.sleep(PAUSE_S * (0.5 + self.rng.random()))
            host = self.any_store()
        return None

    async def _attempt(self, host, change, body):
        answer = await self.call(host, lambda api: api.put(body, str(change.base)))
        if answer is None:
            return None
        self.world.record_event("put answered", host, str(change), answer[0])
        self.oracle.change_answered(change, answer[0])
        return answer[0]

    async def read(self, host=None):
        """Call Config.Get. Returns the status, and the configuration's generation and body id or None."""
        sent_s = self.world.loop.now
        answer = await self.call(host or self.any_store(), lambda api: api.get())
        if answer is None:
            return None, None
        status, body = answer
        if status != ACKNOWLEDGED:
            self.oracle.read_failed(sent_s, status)
            return status, None
        document = json.loads(body)
        configuration = document["generation"], document["routes"][0]["path_prefix"].strip("/")
        self.oracle.read_answered(sent_s, configuration)
        return status, configuration

    async def read_everywhere_forever(self, pause_s):
        """Read the configuration at every control server in turn, whatever faults affect it."""
        while True:
            for host in self.world.stores():
                task = asyncio.ensure_future(self.read(host))
                task.add_done_callback(self._read_ended)
                await asyncio.sleep(pause_s * self.rng.uniform(0.2, 1.8))

    def _read_ended(self, task):
        if not task.cancelled() and task.exception() is not None:
            self.oracle.report_violation("CONFIG", f"a read ended with {task.exception()!r}")

    async def current(self):
        """The current generation by a quorum read, retried until there is an answer."""
        while True:
            status, configuration = await self.read()
            if status == 404:
                return 0
            if configuration is not None:
                return configuration[0]
            await asyncio.sleep(PAUSE_S)

    async def make_change(self, retry_for_s=None, first_host=None):
        """Make one change based on the current configuration. Returns the change and its status."""
        change = self.new_change(await self.current())
        return change, await self.put(change, retry_for_s, first_host)

    async def make_changes_forever(self, pause_s):
        """Change the configuration repeatedly, as one operator."""
        while True:
            await self.make_change(retry_for_s=6.0)
            await asyncio.sleep(pause_s * self.rng.uniform(0.2, 1.8))

    # Retirement

    async def retire(self, host, within_s):
        """Retire a machine and remove it. Returns whether this finished in time."""
        until_s = self.world.loop.now + within_s
        status = None
        while status != 200 and self.world.loop.now < until_s:
            answer = await self.call(self.any_store(), lambda api: api.start_retirement(host.name))
            status = answer[0] if answer is not None else None
            if status in (404, 409):
                self.world.record_event("retirement refused", host, status)
                return False
            await asyncio.sleep(PAUSE_S)
        while self.world.loop.now < until_s:
            answer = await self.call(self.any_store(), lambda api: api.retirement(host.name))
            if answer is not None and answer[0] == 200 and json.loads(answer[1])["state"] == "done":
                self.world.record_event("retired", host)
                self.world.remove(host)
                return True
            await asyncio.sleep(PAUSE_S)
        return False
