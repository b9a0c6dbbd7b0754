"""Figures of all stores together at the target, and how many machines they ask for."""

from __future__ import annotations

from benchmarks.capacity.context import Context
from benchmarks.capacity.fit import Estimate
from benchmarks.capacity.sheet import Row, plain

MICROSECONDS = 1e6
STORAGE = "`dewpin/controlplane/storage.py`"
TURNS = "`dewpin/controlplane` (turns)"
LEDGERS = "`dewpin/consensus`, `dewpin/controlplane` (ledgers)"


def writes_a_turn(context: Context) -> int:
    """Synced writes of one turn at all its replicas: the turn, two rounds to reserve, two to settle."""
    return context.assumed.replicas * 5


def processor(context: Context) -> Estimate:
    """Cores that all stores use together for calls and commits."""
    target = context.target
    calls = target.requests_per_s * context.calls_a_turn
    by_calls = calls * context.at("server-call", context.turn_bytes)
    by_writes = target.requests_per_s * writes_a_turn(context) * context.at("insert", context.turn_bytes)
    return (by_calls + by_writes) / MICROSECONDS


def state_rows(context: Context) -> list[Row]:
    """Bytes and rows."""
    target, assumed = context.target, context.assumed
    turns = target.programs * target.turns_a_program
    held = target.programs * context.history_bytes
    return [
        context.row(
            "turns held (rows, each replica set)",
            f"{target.programs:,} programs × {target.turns_a_program}",
            lambda: turns,
            "",
            TURNS,
        ),
        context.row(
            "bytes of turns at all replicas",
            f"{target.programs:,} × {target.tokens_a_program:,} tokens × {assumed.bytes_a_token} B × "
            f"{assumed.replicas} replicas × disk / record size",
            lambda: held * assumed.replicas * context.each("disk") / 5_000,
            "B",
            STORAGE,
        ),
        context.row(
            "the same with two losses borne",
            f"× {assumed.replicas_of_two_losses} replicas",
            lambda: held * assumed.replicas_of_two_losses * context.each("disk") / 5_000,
            "B",
            STORAGE,
        ),
        context.row(
            "ledgers held (rows at all replicas)",
            f"{target.programs:,} programs × {assumed.replicas}",
            lambda: target.programs * assumed.replicas,
            "",
            LEDGERS,
        ),
    ]


def load_rows(context: Context) -> list[Row]:
    """Messages, commits and processor time of all stores."""
    target, assumed = context.target, context.assumed
    calls = target.requests_per_s * context.calls_a_turn
    writes = target.requests_per_s * writes_a_turn(context)
    new_bytes = target.requests_per_s * context.turn_bytes * assumed.replicas
    return [
        context.row(
            "calls answered a second, all stores",
            f"{target.requests_per_s:,} turns/s × {context.calls_a_turn}",
            lambda: calls,
            "1/s",
            "`dewpin/cluster/rpc.py`",
        ),
        context.row(
            "synced writes a second, all stores",
            f"{target.requests_per_s:,} turns/s × {assumed.replicas} replicas × (1 turn + 2 rounds to reserve + 2 to "
            "settle)",
            lambda: writes,
            "1/s",
            STORAGE,
        ),
        context.row(
            "bytes of new turns a second, all stores",
            f"{target.requests_per_s:,}/s × {plain(context.turn_bytes / 1000)} kB × {assumed.replicas}",
            lambda: new_bytes,
            "B/s",
            TURNS,
        ),
        context.row(
            "processor time, all stores (cores)",
            f"{plain(calls)}/s × server-call + {plain(writes)}/s × insert, both at "
            f"{plain(context.turn_bytes / 1000)} kB",
            lambda: processor(context),
            "cores",
            f"`dewpin/cluster/rpc.py`, {STORAGE}",
        ),
        context.row(
            "stores needed by processor time",
            f"cores / {assumed.processor_share_of_a_store}",
            lambda: processor(context) / assumed.processor_share_of_a_store,
            "machines",
            "",
        ),
        context.row(
            "stores needed by synced writes",
            f"{plain(writes)}/s × slope of group-commit (100 writers waiting) / {assumed.processor_share_of_a_store}",
            lambda: writes * context.at("group-commit", 100) / 100 / MICROSECONDS / assumed.processor_share_of_a_store,
            "machines",
            STORAGE,
        ),
        context.row(
            "stores needed by disk",
            f"bytes at all replicas / {plain(assumed.disk_of_a_store_bytes / 1e9)} GB",
            lambda: (
                target.programs
                * context.history_bytes
                * assumed.replicas
                * context.each("disk")
                / 5_000
                / assumed.disk_of_a_store_bytes
            ),
            "machines",
            STORAGE,
        ),
        context.row(
            "choice of a program's stores",
            f"rendezvous at {assumed.stores} stores",
            lambda: context.at("rendezvous", assumed.stores),
            "µs",
            "`dewpin/dataplane/program_store.py`",
        ),
        context.row(
            "read of a whole chain",
            f"read-chain at {target.turns_a_program} turns × {plain(context.turn_bytes / 5000)} (of 5 kB records)",
            lambda: context.at("read-chain", target.turns_a_program) * (context.turn_bytes / 5_000) / 1000,
            "ms",
            STORAGE,
        ),
    ]
