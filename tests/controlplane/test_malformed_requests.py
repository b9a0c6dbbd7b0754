"""Malformed requests to a store: rejected with one kind of error, without writes, and not retried."""

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


async def rejection_kind(machine, message):
    try:
        await machine.store.handlers[message["type"]](message)
    except RpcError as error:
        return error.kind
    return None


@pytest.mark.parametrize("request_", REQUESTS, ids=lambda request: type(request).__name__)
def test_store_rejects_request_with_missing_field_and_writes_nothing(request_):
    async def scene():
        world = World()
        machine = world.machines["a"]
        valid = RequestHeader(1, machine.store.member_id).encode(request_.kind, request_.fields())
        changes = machine.disk.connection.total_changes
        for field in valid.keys() - {"type"}:
            message = {name: value for name, value in valid.items() if name != field}
            assert await rejection_kind(machine, message) == wire.MALFORMED
        assert machine.disk.connection.total_changes == changes
        assert await rejection_kind(machine, json.loads(json.dumps(valid))) is None

    run(scene())


@pytest.mark.parametrize("kind", [wire.PULL_INDEX, wire.PULL_TURNS, wire.PULL_LEDGERS])
def test_copy_request_without_epoch_is_malformed(kind):
    async def scene():
        machine = World().machines["a"]
        assert await rejection_kind(machine, {"type": kind, "to": machine.store.member_id}) == wire.MALFORMED

    run(scene())


def script_reply(machine, kind, reply):
    """Make a store reply to all requests of a kind with `reply`, or raise it; return the received messages."""
    received = []

    async def handler(message):
        received.append(message)
        if isinstance(reply, Exception):
            raise reply
        return reply

    machine.store.handlers[kind] = handler
    return received


def test_request_rejected_as_malformed_is_not_retried():
    async def scene():
        world = World()
        rejection = RpcError(wire.MALFORMED, "turns: expected a list of objects")
        received = script_reply(world.machines["a"], wire.TURN_PUT, rejection)
        client = world.client()
        await client.store_turn(turn("t"), 1.0)
        await client.wait_until_settled()
        assert len(received) == 1
        script_reply(world.machines["b"], wire.TURN_PUT, rejection)
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
        {"type": "turn.stored", "missing": 5},
    ],
)
def test_malformed_reply_counts_as_missing(answer):
    async def scene():
        world = World()
        await world.client("first").store_turn(turn("t"), 1.0)
        reservation = await world.client("second").reserve("p", "t", 5, 10, 1.0)
        for kind in (wire.TURN_PUT, wire.TURN_HISTORY, wire.LEDGER_PREPARE, wire.LEDGER_ACCEPT):
            script_reply(world.machines["c"], kind, answer)
        client = world.client("third")
        assert (await client.read_history("p", "t", 1.0)).content == b"<t>"
        await client.store_turn(turn("u", "t"), 1.0)
        assert await asyncio.wait_for(client.read_ledger("p"), 5.0) == {
            "spent": 0,
            "open": {"t": reservation.max_tokens},
        }
        for kind in (wire.TURN_PUT, wire.TURN_HISTORY, wire.LEDGER_PREPARE, wire.LEDGER_ACCEPT):
            script_reply(world.machines["b"], kind, answer)
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
        original_handler = machine.store.handlers[wire.TURN_PUT]
        replies = iter([{}, {"type": "turn.links"}])

        async def handler(message):
            reply = next(replies, None)
            return await original_handler(message) if reply is None else reply

        machine.store.handlers[wire.TURN_PUT] = handler
        client = world.client()
        await client.store_turn(turn("t"), 1.0)
        await client.wait_until_settled()
        assert machine.disk.connection.execute("SELECT turn FROM turns").fetchall() == [("t",)]

    run(scene())
