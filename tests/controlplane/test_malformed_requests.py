"""Requests to a store that are malformed: refused by one kind of error, with nothing written, and not asked again."""

import asyncio
import json

import pytest
from scripted.clock import run
from scripted.stores import World, turn

from dewpin.cluster import store_messages as wire
from dewpin.cluster.rpc import RpcError
from dewpin.cluster.store_messages import TurnRecord
from dewpin.cluster.store_requests import (
    HistoryRequest,
    LedgerAcceptRequest,
    LedgerPrepareRequest,
    PutTurnsRequest,
    RequestHeader,
)
from dewpin.dataplane.programs.errors import StoreUnavailableError

VALUE = {"spent": 1, "open": {}}
REQUESTS = [
    PutTurnsRequest((TurnRecord("t", "p", None, 60_000, b"<", b">"),)),
    HistoryRequest("p", "t"),
    LedgerPrepareRequest("p", (5, "s")),
    LedgerAcceptRequest("p", (5, "s"), VALUE, (6, "s")),
]


async def refusal_of(machine, message):
    try:
        await machine.store.handlers[message["type"]](message)
    except RpcError as refusal:
        return refusal.kind
    return None


@pytest.mark.parametrize("request_", REQUESTS, ids=lambda request: type(request).__name__)
def test_store_rejects_request_with_missing_field_and_writes_nothing(request_):
    async def scene():
        world = World()
        machine = world.machines["a"]
        sound = RequestHeader(1, machine.store.member_id).encode(request_.kind, request_.fields())
        changes = machine.disk.connection.total_changes
        for field in sound.keys() - {"type"}:
            message = {name: value for name, value in sound.items() if name != field}
            assert await refusal_of(machine, message) == wire.MALFORMED
        assert machine.disk.connection.total_changes == changes
        assert await refusal_of(machine, json.loads(json.dumps(sound))) is None

    run(scene())


@pytest.mark.parametrize("kind", [wire.PULL_INDEX, wire.PULL_TURNS, wire.PULL_LEDGERS])
def test_copy_request_without_epoch_is_malformed(kind):
    async def scene():
        machine = World().machines["a"]
        assert await refusal_of(machine, {"type": kind, "to": machine.store.member_id}) == wire.MALFORMED

    run(scene())


def answering(machine, kind, answer):
    """Let a store give this answer to all requests of a kind, or raise it."""
    heard = []

    async def handler(message):
        heard.append(message)
        if isinstance(answer, Exception):
            raise answer
        return answer

    machine.store.handlers[kind] = handler
    return heard


def test_request_rejected_as_malformed_is_not_retried():
    async def scene():
        world = World()
        refused = RpcError(wire.MALFORMED, "turns: expected a list of objects")
        heard = answering(world.machines["a"], wire.TURN_PUT, refused)
        client = world.client()
        await client.store_turn(turn("t"), 1.0)
        await client.wait_until_settled()
        assert len(heard) == 1
        answering(world.machines["b"], wire.TURN_PUT, refused)
        with pytest.raises(StoreUnavailableError):
            await client.store_turn(turn("u"), 5.0)

    run(scene())


@pytest.mark.parametrize(
    "answer",
    [
        {},
        {"type": "turn.links"},
        {"type": "ballot.promise"},
        {"type": "turn.stored "},
        {"type": "turn.stored", "reply": {}},
    ],
)
def test_malformed_reply_counts_as_missing(answer):
    async def scene():
        world = World()
        await world.client("first").store_turn(turn("t"), 1.0)
        held = await world.client("second").reserve("p", "t", 5, 10, 1.0)
        for kind in (wire.TURN_PUT, wire.TURN_HISTORY, wire.LEDGER_PREPARE, wire.LEDGER_ACCEPT):
            answering(world.machines["c"], kind, answer)
        client = world.client("third")
        assert await client.read_history("p", "t", 1.0) == b"<t>"
        await client.store_turn(turn("u", "t"), 1.0)
        assert await asyncio.wait_for(client.read_ledger("p"), 5.0) == {"spent": 0, "open": {"t": held.max_tokens}}
        for kind in (wire.TURN_PUT, wire.TURN_HISTORY, wire.LEDGER_PREPARE, wire.LEDGER_ACCEPT):
            answering(world.machines["b"], kind, answer)
        with pytest.raises(StoreUnavailableError):
            await client.store_turn(turn("v", "u"), 1.0)
        with pytest.raises(StoreUnavailableError):
            await client.reserve("p", "v", 1, 10, 1.0)
        client.close()

    run(scene())


def test_store_is_asked_again_after_malformed_reply():
    async def scene():
        world = World()
        machine = world.machines["a"]
        sound = machine.store.handlers[wire.TURN_PUT]
        answers = iter([{}, {"type": "turn.links"}])

        async def handler(message):
            answer = next(answers, None)
            return await sound(message) if answer is None else answer

        machine.store.handlers[wire.TURN_PUT] = handler
        client = world.client()
        await client.store_turn(turn("t"), 1.0)
        await client.wait_until_settled()
        assert machine.disk.connection.execute("SELECT turn FROM turns").fetchall() == [("t",)]

    run(scene())
