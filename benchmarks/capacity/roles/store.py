"""Figures of all stores together at the target, and how many machines they ask for."""

from __future__ import annotations

from benchmarks.capacity import design
from benchmarks.capacity.context import Context
from benchmarks.capacity.fit import Estimate
from benchmarks.capacity.sheet import Row, plain

MICROSECONDS = 1e6
SMALL_MESSAGE_BYTES = 300
MEASURED_RECORD_BYTES = 5_000
OPEN_RESERVATIONS = 2
STORAGE = "`dewpin/controlplane/storage/storage.py`"
TURNS = "`dewpin/controlplane/store/turn_table.py`"
LEDGERS = "`dewpin/controlplane/store/ledger_replica.py`, `dewpin/consensus`"
STORE = "`dewpin/controlplane/store/store.py`, `dewpin/cluster/rpc`"
HEARTBEAT = "`dewpin/controlplane/membership/heartbeat.py`"


def disk_of(context: Context, replicas: int) -> Estimate:
    """Bytes of the files of all stores, by the measured bytes of a record."""
    held = context.target.programs * context.history_bytes * replicas
    return held * context.each("disk") / MEASURED_RECORD_BYTES


def call_processor(context: Context) -> Estimate:
    """Cores for the calls themselves."""
    ledger = (context.ledger_calls_a_turn + 1) * context.at("server-call", SMALL_MESSAGE_BYTES)
    turns = context.assumed.replicas * context.at("server-call", context.turn_bytes)
    return context.target.requests_per_s * (ledger + turns) / MICROSECONDS


def write_processor(context: Context) -> Estimate:
    """Cores for the synced writes."""
    ledger = context.ledger_calls_a_turn * context.at("ledger-cost", OPEN_RESERVATIONS)
    turns = context.assumed.replicas * context.at("turn-cost", context.turn_bytes)
    return context.target.requests_per_s * (ledger + turns) / MICROSECONDS


def read_processor(context: Context) -> Estimate:
    """Cores for reading chains that no sender had cached; half of a program's turns at the mean."""
    turns = context.target.turns_a_program / 2
    one = context.at("chain-read", turns) * (context.turn_bytes / MEASURED_RECORD_BYTES)
    return context.target.requests_per_s * (1 - context.cached_share) * one / MICROSECONDS


def writer_share(context: Context) -> Estimate:
    """Share of one store's writer thread that the synced writes fill when its groups are as large as they may be.

    The processor time of a write counts whole, though a part of it is the loop's: a bound from above.
    """
    ledger = context.ledger_calls_a_turn * context.at("ledger-cost", OPEN_RESERVATIONS)
    turns = context.assumed.replicas * context.at("turn-cost", context.turn_bytes)
    sync = context.at("turn-commit", 1) / design.MAX_JOBS_IN_COMMIT
    writes = context.ledger_calls_a_turn + context.assumed.replicas
    a_turn = (ledger + turns + writes * sync) / MICROSECONDS
    return context.target.requests_per_s * a_turn / context.assumed.stores


def state_rows(context: Context) -> list[Row]:
    """Bytes and rows. A table: as long as its rows."""
    target, assumed = context.target, context.assumed
    turns = target.programs * target.turns_a_program
    arithmetic = (
        f"{target.programs:,} × {target.tokens_a_program:,} tokens × {assumed.bytes_a_token} B × {assumed.replicas} × "
        "slope of disk / 5,000 B"
    )
    return [
        context.row(
            "turns held at all replicas (rows)",
            f"{target.programs:,} programs × {target.turns_a_program} turns × {assumed.replicas}",
            lambda: turns * assumed.replicas,
            "",
            TURNS,
        ),
        context.row("bytes of files, all stores", arithmetic, lambda: disk_of(context, assumed.replicas), "B", STORAGE),
        context.row(
            "the same with two losses borne",
            f"× {assumed.replicas_of_two_losses} in place of {assumed.replicas}",
            lambda: disk_of(context, assumed.replicas_of_two_losses),
            "B",
            STORAGE,
        ),
        context.row(
            f"bytes of one of {assumed.stores} stores",
            f"/ {assumed.stores}",
            lambda: disk_of(context, assumed.replicas) / assumed.stores,
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
                + target.senders * context.each("connection-memory") / 2
            ),
            "B",
            "`dewpin/controlplane`",
        ),
    ]


def call_rows(context: Context) -> list[Row]:
    """Messages and bytes of all stores."""
    target, assumed = context.target, context.assumed
    ledger_calls, replicas = context.ledger_calls_a_turn, assumed.replicas
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
            f"{target.requests_per_s:,}/s × {plain(context.turn_bytes / 1000)} kB × {replicas}",
            lambda: new_bytes,
            "B/s",
            TURNS,
        ),
        context.row(
            "bytes of chains read a second, all stores",
            f"{target.requests_per_s:,}/s × half a chain × {plain((1 - context.cached_share) * 100)}% not cached",
            lambda: target.requests_per_s * context.history_bytes / 2 * (1 - context.cached_share),
            "B/s",
            TURNS,
        ),
    ]


def processor_rows(context: Context) -> list[Row]:
    """Processor time of all stores. A table: as long as its rows."""
    target, assumed = context.target, context.assumed
    ledger_calls, replicas = context.ledger_calls_a_turn, assumed.replicas
    most = assumed.most_share_of_a_store
    return [
        context.row(
            "cores for calls, all stores",
            f"{target.requests_per_s:,}/s × ({ledger_calls + 1} × server-call + {replicas} × server-call at "
            f"{plain(context.turn_bytes / 1000)} kB)",
            lambda: call_processor(context),
            "cores",
            STORE,
        ),
        context.row(
            "cores for writes, all stores",
            f"{target.requests_per_s:,}/s × ({ledger_calls} × ledger-cost + {replicas} × turn-cost at "
            f"{plain(context.turn_bytes / 1000)} kB)",
            lambda: write_processor(context),
            "cores",
            STORAGE,
        ),
        context.row(
            "cores for reading chains, all stores",
            f"{target.requests_per_s:,}/s × {plain((1 - context.cached_share) * 100)}% × chain-read at "
            f"{plain(target.turns_a_program / 2)} turns × {plain(context.turn_bytes / MEASURED_RECORD_BYTES)}",
            lambda: read_processor(context),
            "cores",
            TURNS,
        ),
        context.row(
            f"share of a core of each of {assumed.stores} stores",
            f"the three / {assumed.stores}",
            lambda: (call_processor(context) + write_processor(context) + read_processor(context)) / assumed.stores,
            "share",
            STORE,
            most,
        ),
        context.row(
            "the same with chains read only by what is new",
            f"calls and writes alone / {assumed.stores}",
            lambda: (call_processor(context) + write_processor(context)) / assumed.stores,
            "share",
            "to be built: reading from a given turn on",
            most,
        ),
    ]


def commit_rows(context: Context) -> list[Row]:
    """The writer's time, a commit, and the choice of stores."""
    target, assumed = context.target, context.assumed
    ledger_calls, replicas = context.ledger_calls_a_turn, assumed.replicas
    most = assumed.most_share_of_a_store
    return [
        context.row(
            f"share of the one writer's time at each of {assumed.stores} stores",
            f"{target.requests_per_s:,}/s × ({ledger_calls} × ledger-cost + {replicas} × turn-cost + "
            f"{ledger_calls + replicas} × a commit alone / {design.MAX_JOBS_IN_COMMIT} in a group) / {assumed.stores}",
            lambda: writer_share(context),
            "share",
            STORAGE,
            most,
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
    """Messages, commits and processor time of all stores."""
    return [
        *call_rows(context),
        *processor_rows(context),
        *commit_rows(context),
    ]


def hello_rows(context: Context) -> list[Row]:
    """What control servers say to each other when nothing happens; each greets all others."""
    control_servers = context.assumed.stores + context.target.control_machines
    rate = (control_servers - 1) / design.HEARTBEAT_PERIOD_S
    return [
        context.row(
            "greetings a second of each control server, out and in",
            f"({context.assumed.stores} stores + {context.target.control_machines} − 1) / "
            f"{plain(design.HEARTBEAT_PERIOD_S)} s",
            lambda: rate,
            "1/s",
            HEARTBEAT,
        ),
        context.row(
            "processor time of greetings at each control server",
            f"{plain(rate)}/s × (client-call + server-call)",
            lambda: (
                rate
                * (context.at("client-call", SMALL_MESSAGE_BYTES) + context.at("server-call", SMALL_MESSAGE_BYTES))
                / MICROSECONDS
            ),
            "share",
            HEARTBEAT,
            context.target.control_processor_share,
        ),
        context.row(
            "bytes of greetings at each control server",
            f"hello-bytes at {control_servers} / {plain(design.HEARTBEAT_PERIOD_S)} s, asked and answered",
            lambda: 2 * context.at("hello-bytes", control_servers) / design.HEARTBEAT_PERIOD_S,
            "B/s",
            HEARTBEAT,
        ),
    ]
