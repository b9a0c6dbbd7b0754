"""The database of a control server and a store: how scenes write it, and what the program reads from it."""

import asyncio
import copy
import sqlite3
from contextlib import closing
from pathlib import Path
from typing import Any

from golden.tier_api.control_machine import (
    DAY_MS,
    LOCATIONS,
    MEMBER,
    START_MS,
    STORE_NAMES,
    STORES,
    TIMEOUT_S,
    ControlMachine,
    configuration_body,
)
from golden.tier_api.json_types import Json

from dewpin.cluster.body_messages import configuration_digest, patch_digest
from dewpin.cluster.configuration import parse_configuration, parse_patch
from dewpin.cluster.store_view import StoreView
from dewpin.consensus import Ballot
from dewpin.controlplane.register.system_state import (
    finish_retirement,
    finish_store_change,
    initial_state,
    patch_configuration,
    put_configuration,
    set_initial_stores,
    start_retirement,
    start_store_change,
)
from dewpin.controlplane.store.replica_sync import StoreSync

_PATCH = b'{"generation":8,"upsert":{"services":[{"name":"extra"}]},"delete":{"services":["none"]}}'
_STABLE_VIEW = {
    "epoch": 4,
    "stable": {MEMBER: "10.0.0.1:8144", "m2": "10.0.0.2:8144", "m3": "10.0.0.3:8144"},
    "next": None,
    "locations": {MEMBER: "north/east", "m2": "north/west", "m3": "south/east"},
}
_CHANGING_VIEW = {**_STABLE_VIEW, "epoch": 5, "next": {MEMBER: "10.0.0.1:8144", "m2": "10.0.0.2:8144"}}


class _SourceStore:
    """The store that is copied from, with scripted replies."""

    async def call(self, address: str, message: Json, timeout_s: float) -> Json:
        if message["type"] == "store.pull_index":
            entries = [["c-1", "p-copied", 40_000], ["c-2", "p-copied", 50_000]]
            return {"type": "store.pulled", "entries": entries, "after": None, "newest": 0}
        if message["type"] == "store.pull_turns":
            rows = [["c-1", "p-copied", None, 60_000, 2, 3], ["c-2", "p-copied", "c-1", 60_000, 0, 1]]
            requested = [row for row in rows if [row[0], row[1]] in message["keys"]]
            raw = b"".join({"c-1": b"\x00\xffout", "c-2": b"\n"}[row[0]] for row in requested)
            return {"type": "store.pulled", "rows": requested, "unread": [], "raw": raw}
        ledgers = [
            {"program": "p-copied", "promised": [21, "z"], "accepted": [20, "y"], "value": {"spent": 7, "open": {}}},
            {"program": "p-promised", "promised": [99, "z"], "accepted": [0, ""], "value": None},
        ]
        return {"type": "store.pulled", "ledgers": ledgers, "after": None}


def write_database(folder: Path, scene: str) -> Json:
    """Create a database by the operations of a scene; return the register's chosen states.

    Scenes: `first`: a machine that has just started; `full`: rows with every kind of content.
    """
    return asyncio.run(_write(folder, scene))


async def _write(folder: Path, scene: str) -> Json:
    machine = ControlMachine(folder)
    try:
        await machine.server.load()
        first = initial_state({MEMBER: "10.0.0.1:8144"}, {MEMBER: "control-1"})
        await machine.server.register.bootstrap(first)
        states = [copy.deepcopy(first)]
        if scene == "full":
            states += await _write_register(machine)
            await _write_store(machine)
        return states
    finally:
        await machine.close()


async def _write_register(machine: ControlMachine) -> list[Json]:
    """Write configurations, store changes, an accepted value that is not chosen, and a promise of a higher ballot."""
    register = machine.server.register
    accented = configuration_body(9, "\u00e4.example")
    for body in (configuration_body(3), accented):
        parse_configuration(body)
    changes = [
        set_initial_stores(STORES, STORE_NAMES, LOCATIONS),
        put_configuration(configuration_body(3), 3, 0),
        put_configuration(configuration_body(5), 5, 3),
        patch_configuration(parse_patch(_PATCH), patch_digest(_PATCH, 5), 5),
        start_retirement("store-4", 3),
        start_store_change({name: STORES[name] for name in ("s1", "s2", "s3")}, {}),
        finish_store_change,
        finish_retirement("store-4"),
        put_configuration(accented, 9, 8),
        start_store_change(
            {"s1": STORES["s1"], "s5": "10.0.1.5:8144", "s3": STORES["s3"]}, STORE_NAMES, {"s5": "south/w"}
        ),
        start_retirement("store-3", 2),
    ]
    states = [copy.deepcopy(await register.propose(change, TIMEOUT_S)) for change in changes]
    assert await register.was_accepted(9, configuration_digest(accented, 8), TIMEOUT_S)
    newest = states[-1]
    unfinished = {
        **newest,
        "version": newest["version"] + 1,
        "members": {MEMBER: "10.0.0.1:8144", "m2": "10.0.0.2:8144"},
        "names": {**newest["names"], "m2": "control-2"},
    }
    await machine.call_handler("register.accept", to=MEMBER, ballot=[50, "m2"], value=unfinished, source="")
    await machine.call_handler("register.prepare", to=MEMBER, ballot=[60, "m3"], known=None, held=[])
    return [*states, unfinished]


def _turn(turn: str, program: str, previous: str | None, retain_ms: int, output: str = "out\n") -> Json:
    input_text = f"{turn} \u00ff\x00"
    names = ("turn", "program", "previous", "retain_ms", "input", "output")
    return dict(zip(names, (turn, program, previous, retain_ms, input_text, output), strict=True))


async def _write_store(machine: ControlMachine) -> None:
    await _write_turns(machine)
    await _write_ledgers(machine)
    await _write_retention(machine)
    synced = asyncio.Event()
    sync = StoreSync(machine.store, _SourceStore(), lambda epoch: synced.set())
    view = StoreView.from_json(_CHANGING_VIEW)
    machine.store.adopt(view)
    sync.start(view)
    await asyncio.wait_for(synced.wait(), TIMEOUT_S)
    sync.stop()


async def _write_turns(machine: ControlMachine) -> None:
    """Write chains of two programs that share turns, a turn put twice, and an expired turn with a successor."""

    async def put_turns(*turns: Json, missing: str | None = None) -> None:
        reply = await machine.call_store("turn.put", _STABLE_VIEW, turns=list(turns))
        assert reply == {"type": "turn.stored", **({} if missing is None else {"missing": missing})}

    await put_turns(_turn("t-0", "p-1", None, 10), _turn("t-gone", "p-1", None, 10))
    machine.now_ms += 60_000
    await put_turns(_turn("t-1", "p-1", "t-0", 20 * DAY_MS), _turn("t-2", "p-1", "t-1", 60_000, "\x00\u00e4"))
    await put_turns(_turn("t-2", "p-2", "t-1", 5 * DAY_MS), _turn("t-3", "p-2", "t-2", 5 * DAY_MS, ""), missing="t-1")
    machine.now_ms += 1
    await put_turns(_turn("t-1", "p-1", "t-0", 1), _turn("t-3", "p-2", "t-2", 6 * DAY_MS, "another"), missing="t-1")


async def _write_ledgers(machine: ControlMachine) -> None:
    """Write ledgers that are idle, promised, accepted, promised above that, settled, and accepted with a turn."""

    async def prepare(program: str, counter: int) -> Json:
        return await machine.call_store("ledger.prepare", _STABLE_VIEW, program=program, ballot=[counter, "a"])

    async def accept(program: str, counter: int, value: Json | None, next_ballot: list[Any] | None) -> Json:
        fields = {"program": program, "ballot": [counter, "a"], "value": value, "next_ballot": next_ballot}
        return await machine.call_store("ledger.accept", _STABLE_VIEW, **fields)

    machine.now_ms -= 30 * DAY_MS
    await accept("p-idle", 3, {"spent": 1, "open": {}}, None)
    machine.now_ms += 30 * DAY_MS
    await prepare("p-promised", 10)
    await prepare("p-accepted", 11)
    await accept("p-accepted", 11, {"spent": 0, "open": {"t-8": 25, "t-9": 5}}, None)
    await accept("p-settled", 12, {"spent": 0, "open": {"t-7": 25}}, [13, "a"])
    await accept("p-settled", 13, {"spent": 20, "open": {}}, [14, "a"])
    await accept("p-read", 15, None, [16, "a"])
    await accept("p-overtaken", 17, {"spent": 3, "open": {}}, None)
    await prepare("p-overtaken", 30)
    assert (await accept("p-overtaken", 18, {"spent": 4, "open": {}}, None))["type"] == "ballot.conflict"
    accept_with_turn = {
        "program": "p/\u00fc 1",
        "ballot": [19, "a"],
        "value": {"spent": 9, "open": {}},
        "next_ballot": None,
    }
    turn = _turn("t-4", "p/\u00fc 1", None, 60_000)
    await machine.call_store("turn.put", _STABLE_VIEW, turns=[turn], accept=accept_with_turn)


async def _write_retention(machine: ControlMachine) -> None:
    """Apply a long and then a shorter ledger retention, and purge what has expired after each."""
    for longest_retain_s in (9 * 24 * 3600.0, 7200.5):
        machine.store.set_ledger_retention(longest_retain_s)
        machine.now_ms += 1000
        await machine.store.purge_batch()


def dump_database(path: Path) -> Json:
    """Return the schema and all rows of a database, read without the program."""
    with closing(sqlite3.connect(f"file:{path}?mode=ro", uri=True)) as connection:
        schema = connection.execute(
            "SELECT type, name, tbl_name, sql FROM sqlite_master ORDER BY type, name"
        ).fetchall()
        tables = [name for kind, name, _, _ in schema if kind == "table"]
        return {
            "user_version": connection.execute("PRAGMA user_version").fetchone()[0],
            "journal_mode": connection.execute("PRAGMA journal_mode").fetchone()[0],
            "schema": [list(row) for row in schema],
            "rows": {table: _rows(connection, table) for table in tables},
        }


def _rows(connection: sqlite3.Connection, table: str) -> list[list[Any]]:
    result = connection.execute(f"SELECT * FROM {table} ORDER BY 1, 2").fetchall()
    return [
        [{"blob": value.decode("latin-1")} if isinstance(value, bytes) else value for value in row] for row in result
    ]


def read_database(folder: Path, scene: str) -> Json:
    """Return what the program reads from a database, mostly as replies on the wire. Changes the database."""
    return asyncio.run(_read(folder, scene))


async def _read(folder: Path, scene: str) -> Json:
    machine = ControlMachine(folder)
    try:
        await machine.server.load()
        await machine.store.load()
        view = machine.store.view
        result = {
            "incarnation": machine.storage.incarnation,
            "record": machine.server.local_peer.description().encode(),
            "view": None if view is None else view.to_json(),
            "register": await _read_register(machine),
        }
        if scene == "full":
            result["store"] = await _read_store(machine)
        return result
    finally:
        await machine.close()


async def _read_register(machine: ControlMachine) -> Json:
    register = machine.server.register
    digests = list(register.body_digests())
    result = {
        "newest": copy.deepcopy(register.newest),
        "durable_version": register.durable_version,
        "bodies": {digest: register.body(digest) for digest in digests},
        "orders": await machine.call_handler("register.orders", after=0, before=1000),
        "low_ballot": await machine.call_handler("register.prepare", to=MEMBER, ballot=[60, "m2"]),
        "high_ballot": await machine.call_handler(
            "register.prepare", to=MEMBER, ballot=[60, "m4"], known=None, held=[]
        ),
        "other_member": await machine.call_handler("register.prepare", to="m2", ballot=[61, "m4"]),
    }
    register.record_chosen(Ballot(50, "m2"), register.newest)
    orders = result["orders"]["orders"]
    changes = [(generation, digest) for _, generation, digest in orders] + [(4, "0" * 24), (8, "0" * 24)]
    result["was_taken"] = [[*order, await register.was_accepted(*order, TIMEOUT_S)] for order in changes]
    return result


async def _read_store(machine: ControlMachine) -> Json:
    machine.now_ms = START_MS + 100_000
    view = _CHANGING_VIEW
    chains = [("p-1", "t-2"), ("p-2", "t-3"), ("p-3", "t-3"), ("p-1", "t-gone"), ("p-copied", "c-2")]
    page = {"member": "m2", "after": ["", ""], "most": 100}
    result = {
        "chains": [
            await machine.call_store("turn.chain", view, program=program, previous=last) for program, last in chains
        ],
        "index": await machine.call_store("store.pull_index", view, **page),
        "ledgers": await machine.call_store("store.pull_ledgers", view, member="m2", after="", most=100),
    }
    keys = [entry[:2] for entry in result["index"]["entries"]]
    result["turns"] = await machine.call_store("store.pull_turns", view, keys=keys, most_bytes=1000)
    result["raw_turns"] = await machine.call_store("store.pull_turns", view, keys=keys, most_bytes=9, raw_bodies=True)
    programs = [record["program"] for record in result["ledgers"]["ledgers"]]
    result["promises"] = [
        await machine.call_store("ledger.prepare", view, program=program, ballot=[40, "b"]) for program in programs
    ]
    result["kept_by_former_retention"] = await _purge(machine, START_MS + DAY_MS)
    result["purged_at_end"] = await _purge(machine, START_MS + 400 * DAY_MS)
    return result


async def _purge(machine: ControlMachine, now_ms: int) -> Json:
    machine.now_ms = now_ms
    purged = await machine.store.purge_batch()
    left = await machine.call_store("store.pull_ledgers", _CHANGING_VIEW, member="m2", after="", most=100)
    return {"purged": purged, "ledgers": [record["program"] for record in left["ledgers"]]}
