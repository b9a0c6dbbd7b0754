"""Figures of all stores together at the target."""

from __future__ import annotations

from benchmarks.capacity import design
from benchmarks.capacity.context import Context
from benchmarks.capacity.fit import Estimate
from benchmarks.capacity.sheet import Row, format_number

MICROSECONDS = 1e6
SMALL_MESSAGE_BYTES = 300
MEASURED_RECORD_BYTES = 5_000
OPEN_RESERVATIONS = 2
STORAGE = "`dewpin/controlplane/storage/storage.py`"
TURNS = "`dewpin/controlplane/store/turn_table.py`"
LEDGERS = "`dewpin/controlplane/store/ledger_replica.py`, `dewpin/consensus`"
STORE = "`dewpin/controlplane/store/store.py`, `dewpin/cluster/rpc`"
HEARTBEAT = "`dewpin/controlplane/membership/heartbeat.py`"


def disk_bytes(context: Context, replicas: int) -> Estimate:
    """Return the bytes of the files of all stores, from the measured bytes of a record."""
    record_bytes = context.target.programs * context.history_bytes * replicas
    return record_bytes * context.slope("disk") / MEASURED_RECORD_BYTES


def call_cores(context: Context) -> Estimate:
    """Return the cores needed to handle the RPC calls."""
    ledger_us = (context.ledger_calls_per_turn + 1) * context.at("server-call", SMALL_MESSAGE_BYTES)
    turns_us = context.assumed.replicas * context.at("server-call", context.turn_bytes)
    return context.target.requests_per_s * (ledger_us + turns_us) / MICROSECONDS


def write_cores(context: Context) -> Estimate:
    """Return the cores needed for the synced writes."""
    ledger_us = context.ledger_calls_per_turn * context.at("ledger-cost", OPEN_RESERVATIONS)
    turns_us = context.assumed.replicas * context.at("turn-cost", context.turn_bytes)
    return context.target.requests_per_s * (ledger_us + turns_us) / MICROSECONDS


def read_cores(context: Context) -> Estimate:
    """Return the cores needed to read histories that no sender has cached; on average half of a program's turns."""
    turns = context.target.turns_per_program / 2
    read_us = context.at("chain-read", turns) * (context.turn_bytes / MEASURED_RECORD_BYTES)
    return context.target.requests_per_s * (1 - context.cached_share) * read_us / MICROSECONDS


def writer_utilization(context: Context) -> Estimate:
    """Return the utilization of a store's writer thread by synced writes, with group commits of the maximum size.

    An upper bound: it includes all processor time of a write, although the event loop's thread spends a part of it.
    """
    ledger_us = context.ledger_calls_per_turn * context.at("ledger-cost", OPEN_RESERVATIONS)
    turns_us = context.assumed.replicas * context.at("turn-cost", context.turn_bytes)
    sync_us = context.at("turn-commit", 1) / design.MAX_JOBS_IN_COMMIT
    writes = context.ledger_calls_per_turn + context.assumed.replicas
    turn_s = (ledger_us + turns_us + writes * sync_us) / MICROSECONDS
    return context.target.requests_per_s * turn_s / context.assumed.stores


def state_rows(context: Context) -> list[Row]:
    """Return the rows on stored bytes and database rows."""
    target, assumed = context.target, context.assumed
    turns = target.programs * target.turns_per_program
    arithmetic = (
        f"{target.programs:,} × {target.tokens_per_program:,} tokens × {assumed.bytes_a_token} B × "
        f"{assumed.replicas} × "
        "slope of disk / 5,000 B"
    )
    return [
        context.row(
            "turns held at all replicas (rows)",
            f"{target.programs:,} programs × {target.turns_per_program} turns × {assumed.replicas}",
            lambda: turns * assumed.replicas,
            "",
            TURNS,
        ),
        context.row(
            "bytes of files, all stores", arithmetic, lambda: disk_bytes(context, assumed.replicas), "B", STORAGE
        ),
        context.row(
            "the same with two losses borne",
            f"× {assumed.replicas_of_two_losses} in place of {assumed.replicas}",
            lambda: disk_bytes(context, assumed.replicas_of_two_losses),
            "B",
            STORAGE,
        ),
        context.row(
            f"bytes of one of {assumed.stores} stores",
            f"/ {assumed.stores}",
            lambda: disk_bytes(context, assumed.replicas) / assumed.stores,
            "B",
            STORAGE,
            assumed.disk_of_a_store_gb * 1e9,
        ),
        context.row(
            "ledgers held at all replicas (rows)",
            f"{target.programs:,} programs × {assumed.replicas}",
            lambda: target.programs * assumed.replicas,
            "",
            LEDGERS,
        ),
        context.row(
            "memory of a store's process",
            f"control-server-memory at {context.routes:,} routes + {target.senders} connections × connection-memory",
            lambda: (
                context.at("control-server-memory", context.routes)
                + target.senders * context.slope("connection-memory") / 2
            ),
            "B",
            "`dewpin/controlplane`",
        ),
    ]


def call_rows(context: Context) -> list[Row]:
    """Return the rows on calls and bytes of all stores."""
    target, assumed = context.target, context.assumed
    ledger_calls, replicas = context.ledger_calls_per_turn, assumed.replicas
    calls = target.requests_per_s * (ledger_calls + replicas + 1)
    writes = target.requests_per_s * (ledger_calls + replicas)
    new_bytes = target.requests_per_s * context.turn_bytes * replicas
    return [
        context.row(
            "calls answered a second, all stores",
            f"{target.requests_per_s:,} turns/s × ({ledger_calls} of the ledger + {replicas} to append + 1 read)",
            lambda: calls,
            "1/s",
            STORE,
        ),
        context.row(
            "synced writes a second, all stores",
            f"{target.requests_per_s:,} turns/s × ({ledger_calls} + {replicas})",
            lambda: writes,
            "1/s",
            STORAGE,
        ),
        context.row(
            "bytes of new turns a second, all stores",
            f"{target.requests_per_s:,}/s × {format_number(context.turn_bytes / 1000)} kB × {replicas}",
            lambda: new_bytes,
            "B/s",
            TURNS,
        ),
        context.row(
            "bytes of chains read a second, all stores",
            f"{target.requests_per_s:,}/s × half a chain × {format_number((1 - context.cached_share) * 100)}% "
            "not cached",
            lambda: target.requests_per_s * context.history_bytes / 2 * (1 - context.cached_share),
            "B/s",
            TURNS,
        ),
    ]


def processor_rows(context: Context) -> list[Row]:
    """Return the rows on the processor time of all stores."""
    target, assumed = context.target, context.assumed
    ledger_calls, replicas = context.ledger_calls_per_turn, assumed.replicas
    bound = assumed.most_share_of_a_store
    return [
        context.row(
            "cores for calls, all stores",
            f"{target.requests_per_s:,}/s × ({ledger_calls + 1} × server-call + {replicas} × server-call at "
            f"{format_number(context.turn_bytes / 1000)} kB)",
            lambda: call_cores(context),
            "cores",
            STORE,
        ),
        context.row(
            "cores for writes, all stores",
            f"{target.requests_per_s:,}/s × ({ledger_calls} × ledger-cost + {replicas} × turn-cost at "
            f"{format_number(context.turn_bytes / 1000)} kB)",
            lambda: write_cores(context),
            "cores",
            STORAGE,
        ),
        context.row(
            "cores for reading chains, all stores",
            f"{target.requests_per_s:,}/s × {format_number((1 - context.cached_share) * 100)}% × chain-read at "
            f"{format_number(target.turns_per_program / 2)} turns × "
            f"{format_number(context.turn_bytes / MEASURED_RECORD_BYTES)}",
            lambda: read_cores(context),
            "cores",
            TURNS,
        ),
        context.row(
            f"share of a core of each of {assumed.stores} stores",
            f"the three / {assumed.stores}",
            lambda: (call_cores(context) + write_cores(context) + read_cores(context)) / assumed.stores,
            "share",
            STORE,
            bound,
        ),
        context.row(
            "the same with chains read only by what is new",
            f"calls and writes alone / {assumed.stores}",
            lambda: (call_cores(context) + write_cores(context)) / assumed.stores,
            "share",
            "to be built: reading from a given turn on",
            bound,
        ),
    ]


def commit_rows(context: Context) -> list[Row]:
    """Return the rows on the writer thread, a commit, and the choice of stores."""
    target, assumed = context.target, context.assumed
    ledger_calls, replicas = context.ledger_calls_per_turn, assumed.replicas
    bound = assumed.most_share_of_a_store
    return [
        context.row(
            f"share of the one writer's time at each of {assumed.stores} stores",
            f"{target.requests_per_s:,}/s × ({ledger_calls} × ledger-cost + {replicas} × turn-cost + "
            f"{ledger_calls + replicas} × a commit alone / {design.MAX_JOBS_IN_COMMIT} in a group) / {assumed.stores}",
            lambda: writer_utilization(context),
            "share",
            STORAGE,
            bound,
        ),
        context.row(
            "time of a commit alone",
            "turn-commit at 1 writer (a sync of the disk that others use too)",
            lambda: context.at("turn-commit", 1) / 1000,
            "ms",
            STORAGE,
        ),
        context.row(
            "choice of a program's stores",
            f"rendezvous at {assumed.stores} stores",
            lambda: context.at("rendezvous", assumed.stores),
            "µs",
            "`dewpin/cluster/placement.py`",
        ),
    ]


def load_rows(context: Context) -> list[Row]:
    """Return all rows on the load of the stores."""
    return [
        *call_rows(context),
        *processor_rows(context),
        *commit_rows(context),
    ]


def heartbeat_rows(context: Context) -> list[Row]:
    """Return the rows on the heartbeats between control servers, each of which sends them to all others."""
    control_servers = context.assumed.stores + context.target.control_machines
    heartbeats_per_s = (control_servers - 1) / design.HEARTBEAT_PERIOD_S
    return [
        context.row(
            "greetings a second of each control server, out and in",
            f"({context.assumed.stores} stores + {context.target.control_machines} − 1) / "
            f"{format_number(design.HEARTBEAT_PERIOD_S)} s",
            lambda: heartbeats_per_s,
            "1/s",
            HEARTBEAT,
        ),
        context.row(
            "processor time of greetings at each control server",
            f"{format_number(heartbeats_per_s)}/s × (client-call + server-call)",
            lambda: (
                heartbeats_per_s
                * (context.at("client-call", SMALL_MESSAGE_BYTES) + context.at("server-call", SMALL_MESSAGE_BYTES))
                / MICROSECONDS
            ),
            "share",
            HEARTBEAT,
            context.target.control_processor_share,
        ),
        context.row(
            "bytes of greetings at each control server",
            f"hello-bytes at {control_servers} / {format_number(design.HEARTBEAT_PERIOD_S)} s, asked and answered",
            lambda: 2 * context.at("hello-bytes", control_servers) / design.HEARTBEAT_PERIOD_S,
            "B/s",
            HEARTBEAT,
        ),
    ]
