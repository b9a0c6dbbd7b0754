"""Operators of a simulated run: they send orders, send again after no clear answer, and read back."""

import asyncio
import json

from dewpin.standin.sample_configuration import sample_configuration

from .oracle import ACKNOWLEDGED, REFUSED, Order
from .world import CLIENT_S, OPERATOR_IP

TRY_TIMEOUT_S = 1.2
PAUSE_S = 0.15


def body_of(order):
    """The bytes of a configuration."""
    body = sample_configuration(order.generation, plain_path=f"/{order.mark}/")
    body["note"] = "x" * order.filling
    return json.dumps(body).encode()


class Operators:
    """All who give orders. `answers_lost`: share of answers that get lost on their way."""

    def __init__(self, world):
        self.world = world
        self.oracle = world.oracle
        self.dice = world.dice
        self.answers_lost = 0.0
        self.marks = 0

    # One call

    async def call(self, host, make_call, timeout_s=TRY_TIMEOUT_S):
        """Status and body of a call at one machine; None without a clear answer."""
        world = self.world
        await asyncio.sleep(CLIENT_S)
        if not host.runs or not world.reaches(OPERATOR_IP, host.ip):
            await asyncio.sleep(timeout_s if not host.powered else 0.0)
            return None
        task = host.machine.start(host.call_operator_api(make_call))
        await asyncio.wait({task}, timeout=timeout_s)
        if not task.done() or task.cancelled() or task.result() is None:
            return None
        if not world.reaches(host.ip, OPERATOR_IP) or self.dice.random() < self.answers_lost:
            await asyncio.sleep(timeout_s / 4)
            return None
        await asyncio.sleep(CLIENT_S)
        return task.result().status, task.result().body

    def any_store(self):
        return self.dice.choice(self.world.stores())

    # Configurations

    def new_order(self, base, generation=None, filling=0):
        self.marks += 1
        return Order(base, generation or base + self.dice.randint(1, 3), f"m{self.marks}", filling)

    async def put(self, order, tries_s=None, first=None, on_try=None):
        """Send an order until it is clearly answered, or for `tries_s`. Returns the last clear status or None."""
        body = body_of(order)
        world, oracle = self.world, self.oracle
        until_s = world.loop.now + (tries_s if tries_s is not None else 10.0)
        host = first or self.any_store()
        while world.loop.now < until_s:
            oracle.order_sent(order)
            if on_try is not None:
                on_try(host)
            status = await self._try(host, order, body)
            if status in (ACKNOWLEDGED, REFUSED):
                return status
            await asyncio.sleep(PAUSE_S * (0.5 + self.dice.random()))
            host = self.any_store()
        return None

    async def _try(self, host, order, body):
        answer = await self.call(host, lambda api: api.put(body, str(order.base)))
        if answer is None:
            return None
        self.world.note("put answered", host, str(order), answer[0])
        self.oracle.order_answered(order, answer[0])
        return answer[0]

    async def read(self, host=None):
        """What Config.Get tells: status, and number and mark of the configuration or None."""
        sent_s = self.world.loop.now
        answer = await self.call(host or self.any_store(), lambda api: api.get())
        if answer is None:
            return None, None
        status, body = answer
        if status != ACKNOWLEDGED:
            self.oracle.read_refused(sent_s, status)
            return status, None
        configuration = json.loads(body)
        met = configuration["generation"], configuration["routes"][0]["path_prefix"].strip("/")
        self.oracle.read_answered(sent_s, met)
        return status, met

    async def read_everywhere_for_ever(self, pause_s):
        """An operator who asks for the configuration at every control server, whatever befell it, one after another."""
        while True:
            for host in self.world.stores():
                task = asyncio.ensure_future(self.read(host))
                task.add_done_callback(self._read_ended)
                await asyncio.sleep(pause_s * self.dice.uniform(0.2, 1.8))

    def _read_ended(self, task):
        if not task.cancelled() and task.exception() is not None:
            self.oracle.breaks("CONFIG", f"a read ended with {task.exception()!r}")

    async def current(self):
        """The generation in place by a quorum's word, asked until there is an answer."""
        while True:
            status, met = await self.read()
            if status == 404:
                return 0
            if met is not None:
                return met[0]
            await asyncio.sleep(PAUSE_S)

    async def change(self, tries_s=None, first=None):
        """One change on whatever is in place, to its end."""
        order = self.new_order(await self.current())
        return order, await self.put(order, tries_s, first)

    async def change_for_ever(self, pause_s):
        """One operator who changes the configuration again and again."""
        while True:
            await self.change(tries_s=6.0)
            await asyncio.sleep(pause_s * self.dice.uniform(0.2, 1.8))

    # Retirement

    async def retire(self, host, within_s):
        """Empty a machine and take it away. Returns whether that was done in time."""
        until_s = self.world.loop.now + within_s
        status = None
        while status != 200 and self.world.loop.now < until_s:
            answer = await self.call(self.any_store(), lambda api: api.start_retirement(host.name))
            status = answer[0] if answer is not None else None
            if status in (404, 409):
                self.world.note("retirement refused", host, status)
                return False
            await asyncio.sleep(PAUSE_S)
        while self.world.loop.now < until_s:
            answer = await self.call(self.any_store(), lambda api: api.retirement(host.name))
            if answer is not None and answer[0] == 200 and json.loads(answer[1])["state"] == "done":
                self.world.note("retired", host)
                self.world.remove(host)
                return True
            await asyncio.sleep(PAUSE_S)
        return False
