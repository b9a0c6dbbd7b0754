"""A sender's turns and budgets at a store."""

import asyncio
import json
import random
import sqlite3
import tempfile
from collections.abc import Callable
from dataclasses import fields
from pathlib import Path
from typing import Any

from golden.tier_api.control_machine import DATABASE, MEMBER, START_MS, TIMEOUT_S
from golden.tier_api.json_types import Json

from dewpin.cluster.rpc import RpcError, RpcServer
from dewpin.cluster.store_view import StoreView
from dewpin.controlplane.storage import Storage
from dewpin.controlplane.store.store import Store
from dewpin.dataplane.programs.errors import BudgetExceededError, TurnNotFoundError
from dewpin.dataplane.programs.program_store import Settlement, Turn
from dewpin.dataplane.programs.store_client import StoreClient

ONE_STORE = {"epoch": 1, "stable": {MEMBER: "10.0.0.1:8144"}, "next": None, "locations": {}}


class _InstantStorage:
    """Runs each transaction immediately, so that no message depends on the speed of a disk."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection

    async def transact(self, work: Callable[[sqlite3.Connection], Any]) -> Any:
        return work(self._connection)


class _RecordedStore:
    """A store that senders call; records each call with its reply as JSON."""

    def __init__(self, folder: Path) -> None:
        Storage(folder).close()
        self.connection = sqlite3.connect(folder / DATABASE, isolation_level=None)
        self._store = Store(_InstantStorage(self.connection), MEMBER, 1, lambda: START_MS)
        self._server = RpcServer(self._store.handlers)
        self.calls: list[list[Json]] = []

    async def call(self, address: str, message: Json, timeout_s: float) -> Json:
        """Return the reply as over a connection."""
        sent = json.loads(json.dumps(message))
        reply = json.loads(json.dumps(await self._server.dispatch(sent)))
        self.calls.append([sent, reply])
        if reply["type"] == "error":
            raise RpcError(reply["kind"], reply["detail"], reply)
        return reply


def program_transcript() -> dict[str, Any]:
    """Return by step the calls of senders to a store for the turns of a program, and their results."""

    async def run(folder: Path) -> dict[str, Any]:
        store = _RecordedStore(folder)
        try:
            return await _run_program(store)
        finally:
            store.connection.close()

    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(run(Path(folder)))


async def _run_program(store: _RecordedStore) -> dict[str, Any]:
    first, second = _store_client(store, "sender-a"), _store_client(store, "sender-b")
    transcript: dict[str, Any] = {}

    async def step(name: str, awaitable: Any) -> Any:
        store.calls.clear()
        result: Any = None
        try:
            result = await awaitable
        except (BudgetExceededError, TurnNotFoundError) as error:
            transcript[name] = {"calls": list(store.calls), "refused": str(error)}
        else:
            await first.wait_until_settled()
            await second.wait_until_settled()
            transcript[name] = {"calls": list(store.calls)}
        return result

    def turn(name: str, previous: str | None) -> Turn:
        return Turn(name, "p-1", previous, f"{name} \u00ff".encode("latin-1"), b"out\n", 60.5)

    reserved = await step("reserve", first.reserve("p-1", "t-1", 20, 100, TIMEOUT_S))
    await step("append and settle", first.store_turn(turn("t-1", None), TIMEOUT_S, Settlement(reserved, 15)))
    started = await step("begin at another sender", second.begin_turn("p-1", "t-2", 30, 100, "t-1", TIMEOUT_S))
    reservation, chain = (getattr(started, field.name) for field in fields(started))
    transcript["begin at another sender"]["chain"] = chain.content.decode("latin-1")
    await step("append", second.store_turn(turn("t-2", "t-1"), TIMEOUT_S))
    await step("reserve too much", first.reserve("p-1", "t-3", 90, 100, TIMEOUT_S))
    await step("chain of unknown turn", first.read_history("p-1", "t-9", TIMEOUT_S))
    chain = await step("chain", _store_client(store, "sender-c").read_history("p-1", "t-2", TIMEOUT_S))
    transcript["chain"]["chain"] = chain.content.decode("latin-1")
    await step("settle behind", _settle(second, reservation))
    ledger = await step("read of the ledger", first.read_ledger("p-1"))
    transcript["read of the ledger"]["ledger"] = ledger
    first.close()
    second.close()
    return transcript


def _store_client(store: _RecordedStore, proposer: str) -> StoreClient:
    client = StoreClient(store, 1, random.Random(1), proposer_id=proposer, wall_clock_ms=lambda: START_MS)
    client.adopt(StoreView.from_json(ONE_STORE))
    return client


async def _settle(client: StoreClient, reservation: Any) -> None:
    client.settle(reservation, 25)
