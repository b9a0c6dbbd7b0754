"""Transfer of long configuration bodies to the senders, over links on which it takes seconds."""

import asyncio
import json
import random

import pytest
from controlplane.control_server_world import APPLY_S, drain
from controlplane.test_senders_and_control_servers import Fleet
from scripted.clock import run
from scripted.rated_links import LinkNetwork

from dewpin.cluster.body_messages import RELAY_BODY
from dewpin.cluster.body_pages import MAX_CALLERS, RELAY_PAGE_BYTES
from dewpin.cluster.relay_messages import RELAY_WATCH
from dewpin.cluster.relay_service import WATCH_HEARTBEAT_S
from dewpin.cluster.rpc import RpcError
from dewpin.controlplane.membership.leases import RELAY_FAN_OUT
from dewpin.controlplane.register.proposer import RegisterUnavailableError
from dewpin.controlplane.register.system_state import put_configuration, start_retirement

LONG = 600_000
LONGEST = 2_000_000
SHORT = RELAY_PAGE_BYTES - 100
SENDER_MBIT = 15
CONTROL_MBIT = 86
SENDERS = 7
SETTLE_TIME_S = 5.0


class SlowFleet(Fleet):
    """Senders on links of 15 Mbit/s. `bodies`: the configuration body in force at each sender."""

    def __init__(self, rng):
        super().__init__(rng)
        self.network = LinkNetwork()
        self.bodies = {}
        self.page_requests = []
        self.network.on_call = self._record_call

    def record_state(self, number, state):
        super().record_state(number, state)
        self.bodies[number] = state["configuration"]["body"] if state["configuration"] else None

    def slow_down(self):
        self.network.rates = {self.address(number): CONTROL_MBIT for number in self.numbers}
        self.network.set_rate(SENDER_MBIT)

    async def put_body(self, generation, base, size=LONG):
        """Put a configuration repeatedly until it is acknowledged; return its body."""
        body = json.dumps({"generation": generation, "filling": "é" + "x" * size}, ensure_ascii=False)
        change = put_configuration(body.encode(), generation, base)
        for number in (1, 2, 3) * 10:
            try:
                await self.control_servers[number].register.propose(change, 0.85)
                return body
            except RegisterUnavailableError:
                await asyncio.sleep(0.1)
        raise AssertionError

    def page_requests_by(self, *numbers):
        """Return caller, source and offset of each page request by these senders, or by all."""
        callers = {self.agents[number].address for number in numbers or self.agents}
        return [(caller, source, offset) for caller, source, offset in self.page_requests if caller in callers]

    def _record_call(self, source, target, message):
        if message["type"] == RELAY_BODY:
            self.page_requests.append((source, target, message["offset"]))

    def is_fetching(self, number):
        return self.agents[number].knowledge.system_state.missing_body is not None

    def sender_with_parent(self):
        """Return the number of a sender that has a parent."""
        return next(number for number, agent in self.agents.items() if agent.knowledge.sources.parents())

    def number_of(self, address):
        return next(number for number, agent in self.agents.items() if agent.address == address)

    def all_have(self, body):
        return lambda: all(self.bodies.get(number) == body for number in self.agents)


def play(scene, senders=SENDERS, seed=1):
    async def run_fleet():
        fleet = SlowFleet(random.Random(seed))
        await fleet.begin()
        await fleet.put_body(7, 0, size=100)
        for number in range(1, senders + 1):
            fleet.start_sender(number)
        await fleet.until(lambda: set(fleet.generations.values()) == {7})
        await asyncio.sleep(SETTLE_TIME_S)
        fleet.slow_down()
        try:
            await scene(fleet)
            assert fleet.regressed_senders == []
        finally:
            await fleet.stop()

    run(run_fleet())


def test_long_body_over_slow_link_takes_effect_once_complete():
    async def scene(fleet):
        old = fleet.bodies[1]
        body = await fleet.put_body(8, 7, LONGEST)
        seen_bodies = set()

        def all_have_it():
            seen_bodies.update(fleet.bodies.values())
            return fleet.all_have(body)()

        await fleet.until(all_have_it, 40.0)
        assert seen_bodies == {old, body}
        offsets = [offset for _, _, offset in fleet.page_requests_by(1)]
        assert offsets == sorted(set(offsets))
        assert len(offsets) == len(body) // RELAY_PAGE_BYTES + 1

    play(scene)


def test_short_body_is_sent_with_state():
    async def scene(fleet):
        body = await fleet.put_body(8, 7, SHORT)
        assert await fleet.until(fleet.all_have(body)) < APPLY_S
        assert fleet.page_requests == []

    play(scene)


@pytest.mark.parametrize("size", [SHORT, LONG])
def test_store_change_sends_no_body(size):
    async def scene(fleet):
        body = await fleet.put_body(8, 7, size)
        await fleet.until(fleet.all_have(body), 20.0)
        requests, sent = len(fleet.page_requests), fleet.network.bytes
        version = fleet.newest()["version"]
        await fleet.control_servers[1].register.propose(start_retirement("store-3", 1), 0.85)
        await fleet.until(
            lambda: all(agent.knowledge.system_state.complete["version"] > version for agent in fleet.agents.values()),
            20.0,
        )
        assert len(fleet.page_requests) == requests
        assert fleet.network.bytes - sent < len(body) / 2
        assert fleet.all_have(body)()

    play(scene)


def test_store_change_is_known_while_body_is_fetched():
    async def scene(fleet):
        epochs = {}
        body = await fleet.put_body(8, 7, LONGEST)
        await fleet.until(lambda: fleet.is_fetching(1))
        number = 1
        take = fleet.agents[number].knowledge._on_state
        fleet.agents[number].knowledge._on_state = lambda state: (epochs.update(now=state["retiring"]), take(state))
        await fleet.control_servers[1].register.propose(start_retirement("store-3", 1), 0.85)
        await fleet.until(lambda: epochs.get("now") == ["store-3"], APPLY_S)
        assert fleet.is_fetching(1)
        assert fleet.generations[1] == 7
        offsets = [offset for _, _, offset in fleet.page_requests_by(1)]
        await fleet.until(fleet.all_have(body), 40.0)
        after = [offset for _, _, offset in fleet.page_requests_by(1)][len(offsets) :]
        assert min(after) >= max(offsets)

    play(scene)


def test_receiver_list_is_not_delayed_by_long_body():
    async def scene(fleet):
        await fleet.put_body(8, 7, LONGEST)
        await fleet.until(lambda: all(map(fleet.is_fetching, fleet.agents)))
        drain(fleet)
        await fleet.until(lambda: all(fleet.drained.values()), 1.0)
        assert any(map(fleet.is_fetching, fleet.agents))

    play(scene)


def test_state_is_unconfirmed_while_newest_body_is_fetched():
    async def scene(fleet):
        body = await fleet.put_body(8, 7, LONGEST)
        acknowledged_s = asyncio.get_running_loop().time()
        await fleet.until(lambda: all(map(fleet.is_fetching, fleet.agents)))
        while fleet.generations[1] == 7:
            now_s = asyncio.get_running_loop().time()
            assert fleet.agents[1].confirmation.age_s(now_s) >= now_s - acknowledged_s - 0.1
            await asyncio.sleep(0.1)
        await fleet.until(fleet.all_have(body), 40.0)
        now_s = asyncio.get_running_loop().time()
        assert fleet.agents[1].confirmation.age_s(now_s) < APPLY_S

    play(scene)


def test_watches_wait_while_body_is_fetched():
    async def scene(fleet):
        body = await fleet.put_body(8, 7, LONGEST)
        await fleet.until(lambda: all(map(fleet.is_fetching, fleet.agents)))
        first_call = len(fleet.network.calls)
        took_s = await fleet.until(fleet.all_have(body), 40.0)
        kinds = [(source, kind) for source, _, kind in fleet.network.calls[first_call:]]
        for agent in fleet.agents.values():
            assert kinds.count((agent.address, RELAY_WATCH)) <= took_s / WATCH_HEARTBEAT_S + 2

    play(scene)


def test_children_keep_parent_while_its_body_is_fetched():
    async def scene(fleet):
        body = await fleet.put_body(8, 7, LONGEST)
        failed_parents = set()

        def done():
            for number, agent in fleet.agents.items():
                failed_parents.update((number, one) for one in agent._subscription._failed_until_s)
            return fleet.all_have(body)()

        assert await fleet.until(done, 40.0) > APPLY_S
        assert failed_parents == set()

    play(scene)


def test_interrupted_fetch_resumes_at_other_source():
    async def scene(fleet):
        number = fleet.sender_with_parent()
        parent = fleet.agents[number].knowledge.sources.parents()[0]
        body = await fleet.put_body(8, 7)
        await fleet.until(lambda: len([1 for _, source, _ in fleet.page_requests_by(number) if source == parent]) > 5)
        fleet.network.down.add(parent)
        del fleet.agents[fleet.number_of(parent)]
        await fleet.until(lambda: fleet.bodies[number] == body, 30.0)
        offsets = [offset for _, _, offset in fleet.page_requests_by(number)]
        assert offsets == sorted(offsets)
        sources = {source for _, source, offset in fleet.page_requests_by(number) if offset > 5 * RELAY_PAGE_BYTES}
        assert sources - {parent}

    play(scene)


def test_pages_are_relayed_before_body_is_complete():
    async def scene(fleet):
        number = fleet.sender_with_parent()
        parent = fleet.agents[number].knowledge.sources.parents()[0]
        parent_number = fleet.number_of(parent)
        await fleet.put_body(8, 7, LONGEST)
        await fleet.until(lambda: not fleet.is_fetching(parent_number) and fleet.generations[parent_number] == 8, 20.0)
        pages = LONGEST // RELAY_PAGE_BYTES
        requests = fleet.page_requests_by(number)
        assert len(requests) > 0.8 * pages
        assert len([1 for _, source, _ in requests if source == parent]) > 0.8 * len(requests)

    play(scene)


def test_fetch_of_replaced_body_is_abandoned_for_newer_one():
    async def scene(fleet):
        first = await fleet.put_body(8, 7, LONGEST)
        await fleet.until(lambda: all(map(fleet.is_fetching, fleet.agents)))
        second = await fleet.put_body(9, 8, SHORT)
        assert await fleet.until(fleet.all_have(second)) < APPLY_S
        await asyncio.sleep(1.0)
        requests = len(fleet.page_requests)
        await asyncio.sleep(2.0)
        assert len(fleet.page_requests) == requests
        assert first not in fleet.bodies.values()

    play(scene)


def test_long_body_replaced_by_long_body_is_fetched_completely():
    async def scene(fleet):
        await fleet.put_body(8, 7)
        await fleet.until(lambda: all(map(fleet.is_fetching, fleet.agents)))
        second = await fleet.put_body(9, 8)
        await fleet.until(fleet.all_have(second), 20.0)

    play(scene)


def test_body_with_wrong_digest_is_fetched_from_control_server():
    async def scene(fleet):
        number = fleet.sender_with_parent()
        parent = fleet.agents[number].knowledge.sources.parents()[0]
        handlers = fleet.network.handlers[parent]
        original_handler = handlers[RELAY_BODY]

        async def corrupt_page(message):
            page = await original_handler(message)
            return {**page, "part": page["part"].replace("x", "y")}

        fleet.network.handlers[parent] = {**handlers, RELAY_BODY: corrupt_page}
        body = await fleet.put_body(8, 7)
        await fleet.until(fleet.all_have(body), 20.0)
        requests = fleet.page_requests_by(number)
        restart_index = [index for index, (_, _, offset) in enumerate(requests) if offset == 0][-1]
        assert parent in {source for _, source, _ in requests[:restart_index]}
        assert parent not in {source for _, source, _ in requests[restart_index:]}

    play(scene)


def test_new_sender_with_long_configuration_becomes_ready():
    async def scene(fleet):
        body = await fleet.put_body(8, 7)
        await fleet.until(fleet.all_have(body), 20.0)
        fleet.start_sender(SENDERS + 1)
        await fleet.until(lambda: fleet.is_fetching(SENDERS + 1))
        assert not fleet.is_ready(SENDERS + 1)
        await fleet.until(lambda: fleet.is_ready(SENDERS + 1), 10.0)
        assert fleet.bodies[SENDERS + 1] == body

    play(scene)


@pytest.mark.parametrize("kind", ["most", "one more"])
def test_parent_limits_concurrent_body_fetches(kind):
    """Limits the number of pages ahead of an update, however many senders have lost their own parents."""

    async def scene(fleet):
        await fleet.put_body(8, 7)
        client = fleet.network.client("10.5.0.9:7381")
        digest = fleet.newest()["configuration"]["digest"]
        assert MAX_CALLERS >= RELAY_FAN_OUT

        async def request_page(caller):
            message = {"type": RELAY_BODY, "digest": digest, "offset": 0, "caller": caller}
            return await client.call(fleet.address(2), message, 1.0)

        await asyncio.sleep(20.0)  # no sender of the fleet is fetching any longer
        for caller in range(MAX_CALLERS):
            await request_page(f"caller {caller}")
        if kind == "most":
            assert (await request_page("caller 0"))["part"]
            return
        with pytest.raises(RpcError):
            await request_page("one more")
        await asyncio.sleep(1.1)
        assert (await request_page("one more"))["part"]

    play(scene)


def test_sender_of_earlier_release_gets_complete_states_only():
    async def scene(fleet):
        body = await fleet.put_body(8, 7)
        await fleet.until(lambda: fleet.is_fetching(1))
        client = fleet.network.client("10.5.0.9:7381")
        message = {"type": "relay.watch", "state_version": -1, "receivers_version": [0, ""], "wait": False}
        with pytest.raises(RpcError):
            await client.call(fleet.agents[1].address, message, 5.0)
        for address in (fleet.address(1), fleet.agents[2].address):
            await fleet.until(fleet.all_have(body), 20.0)
            update = await client.call(address, message, 5.0)
            assert update["state"]["configuration"]["body"] == body

    play(scene)
