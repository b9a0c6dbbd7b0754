"""Figures of one sender at the target."""

from __future__ import annotations

from benchmarks.capacity import design
from benchmarks.capacity.context import Context
from benchmarks.capacity.fit import Estimate
from benchmarks.capacity.sheet import Row, plain, quantity

MICROSECONDS = 1e6
SMALL_MESSAGE_BYTES = 300
AGENT = "`dewpin/dataplane/membership/cluster_agent.py`"
RPC = "`dewpin/cluster/rpc`"
STREAMS = "`dewpin/dataplane/ingress/server.py`, `routing/event_relay.py`"
STORE_CLIENT = "`dewpin/dataplane/programs/store_client.py`"
CHAINS = "`dewpin/dataplane/programs/history_cache.py`"


def traffic_rows(context: Context) -> list[Row]:
    """Requests, streams and events of one sender. A table: as long as its rows."""
    target, assumed = context.target, context.assumed
    events = target.tokens_per_s / target.senders / assumed.tokens_an_event
    streams = context.streams_a_sender
    return [
        context.row(
            "requests a second",
            f"{target.requests_per_s:,} / {target.senders}",
            lambda: context.requests_a_sender,
            "1/s",
            STREAMS,
        ),
        context.row(
            "streams at once",
            f"{plain(context.requests_a_sender)}/s × ({target.first_token_s} s + {plain(context.tokens_a_request)} "
            f"tokens × {plain(target.token_gap_ms)} ms)",
            lambda: streams,
            "",
            STREAMS,
        ),
        context.row(
            "memory of their threads",
            f"{plain(streams)} × thread-memory",
            lambda: streams * context.each("thread-memory"),
            "B",
            STREAMS,
        ),
        context.row(
            "events passed on a second",
            f"{target.tokens_per_s:,} tokens/s / {target.senders} / {assumed.tokens_an_event} token an event",
            lambda: events,
            "1/s",
            STREAMS,
        ),
        context.row(
            "processor time of events",
            f"{plain(events)}/s × event-cost at {plain(streams)} streams",
            lambda: events * context.at("event-cost", streams) / MICROSECONDS,
            "share",
            STREAMS,
            1.0,
        ),
        context.row(
            "delay that passing on adds between tokens, 95 in 100",
            f"event-delay at {plain(streams)} streams",
            lambda: context.at("event-delay", streams),
            "ms",
            STREAMS,
            target.token_gap_ms,
        ),
    ]


def renewal_bytes(context: Context) -> Estimate:
    """Bytes a second, both ways, of a sender's renewals."""
    answer = context.at("lease-answer-bytes", context.target.control_machines)
    return (answer + design.RENEWAL_REQUEST_BYTES) / context.renewal_s


def watch_calls() -> float:
    """Watches a second that a sender makes and answers."""
    return (1 + design.RELAY_FAN_OUT) / design.WATCH_HEARTBEAT_S


def list_bytes(context: Context) -> Estimate:
    """Bytes of one new list of receivers at a sender: taken once, passed on to all children."""
    return (1 + design.RELAY_FAN_OUT) * context.at("receiver-bytes", context.target.receivers)


def standing_processor(context: Context) -> Estimate:
    """Share of a core of renewals and watches when nothing changes."""
    renewals = context.at("client-call", SMALL_MESSAGE_BYTES) / context.renewal_s
    asked = context.at("client-call", SMALL_MESSAGE_BYTES) / design.WATCH_HEARTBEAT_S
    answered = design.RELAY_FAN_OUT * context.at("server-call", SMALL_MESSAGE_BYTES) / design.WATCH_HEARTBEAT_S
    return (renewals + asked + answered) / MICROSECONDS


def state_processor(context: Context) -> Estimate:
    """Share of a core of new system states, taken up and passed on."""
    send = context.at("state-send", context.routes)
    return (
        context.changes_per_s
        * (context.at("state-take", context.routes) + design.RELAY_FAN_OUT * send)
        / (MICROSECONDS)
    )


def list_processor_s(context: Context) -> Estimate:
    """Processor seconds of one new list of receivers, taken up and passed on."""
    receivers = context.target.receivers
    send = context.at("receiver-send", receivers)
    return (context.at("receiver-take", receivers) + design.RELAY_FAN_OUT * send) / MICROSECONDS


def renewal_bytes_rows(context: Context) -> list[Row]:
    """Bytes of lease renewals, watches, states and lists. A table: as long as its rows."""
    target, assumed = context.target, context.assumed
    changes, fan_out = context.changes_per_s, design.RELAY_FAN_OUT
    most = target.control_bytes_per_s
    restarts = f"({target.restarts_a_day} + {target.failures_a_day})/day × {assumed.list_entries_a_restart} entries"
    standing = watch_calls() * design.WATCH_BYTES
    return [
        context.row(
            "lease renewals a second",
            f"1 / ({plain(target.change_in_force_s)} s / {design.RENEWALS_IN_BOUND})",
            lambda: 1 / context.renewal_s,
            "1/s",
            AGENT,
        ),
        context.row(
            "bytes of renewals",
            f"({design.RENEWAL_REQUEST_BYTES} B + lease-answer-bytes at {target.control_machines} control servers) / "
            f"{plain(context.renewal_s)} s",
            lambda: renewal_bytes(context),
            "B/s",
            AGENT,
            most,
        ),
        context.row(
            "bytes of watches when nothing is new",
            f"(1 + {fan_out} children) / {plain(design.WATCH_HEARTBEAT_S)} s × {design.WATCH_BYTES} B",
            lambda: standing,
            "B/s",
            AGENT,
            most,
        ),
        context.row(
            "bytes of whole states, taken and passed on",
            f"{target.changes_a_day}/day × (state-bytes at {context.routes:,} routes + "
            f"{design.MAX_CHANGES_IN_STATE:,} × accepted-bytes) × (1 + {fan_out})",
            lambda: changes * (1 + fan_out) * context.state_bytes,
            "B/s",
            AGENT,
            most,
        ),
        context.row(
            "bytes of whole lists, taken and passed on, mean of a day",
            f"{restarts} × receiver-bytes at {target.receivers} × (1 + {fan_out})",
            lambda: context.list_changes_per_s * list_bytes(context),
            "B/s",
            AGENT,
            most,
        ),
        context.row(
            "bytes of whole lists while each reading differs (a release)",
            f"receiver-bytes at {target.receivers} × (1 + {fan_out}) / {plain(context.reading_period_s)} s",
            lambda: list_bytes(context) / context.reading_period_s,
            "B/s",
            AGENT,
            most,
        ),
    ]


def total_bytes_rows(context: Context) -> list[Row]:
    """Bytes of control in all, and what sending changes alone would save. A table: as long as its rows."""
    target, assumed = context.target, context.assumed
    changes, fan_out = context.changes_per_s, design.RELAY_FAN_OUT
    most = target.control_bytes_per_s
    restarts = f"({target.restarts_a_day} + {target.failures_a_day})/day × {assumed.list_entries_a_restart} entries"
    standing = watch_calls() * design.WATCH_BYTES
    return [
        context.row(
            "bytes of control, all, mean of a day",
            "renewals + watches + whole states + whole lists",
            lambda: (
                renewal_bytes(context)
                + standing
                + changes * (1 + fan_out) * context.state_bytes
                + context.list_changes_per_s * list_bytes(context)
            ),
            "B/s",
            AGENT,
            most,
        ),
        context.row(
            "the same with changed routes and entries alone",
            f"renewals + watches + {target.changes_a_day}/day × a route × (1 + {fan_out}) + {restarts} × an entry × "
            f"(1 + {fan_out})",
            lambda: (
                renewal_bytes(context)
                + standing
                + changes * (1 + fan_out) * context.each("state-bytes")
                + context.list_changes_per_s * (1 + fan_out) * context.each("receiver-bytes")
            ),
            "B/s",
            "to be built: changed parts",
            most,
        ),
        context.row(
            "changed entries alone while each reading differs in 1 in 100",
            f"{target.receivers} / 100 × an entry × (1 + {fan_out}) / {plain(context.reading_period_s)} s",
            lambda: target.receivers / 100 * (1 + fan_out) * context.each("receiver-bytes") / context.reading_period_s,
            "B/s",
            "to be built: changed parts",
            most,
        ),
    ]


def bytes_rows(context: Context) -> list[Row]:
    """Bytes of control at one sender, in and out."""
    return [
        *renewal_bytes_rows(context),
        *total_bytes_rows(context),
    ]


def processor_rows(context: Context) -> list[Row]:
    """Processor time and memory of control at one sender. A table: as long as its rows."""
    target = context.target
    most = target.control_processor_share
    return [
        context.row(
            "processor time of renewals and watches, nothing new",
            f"client-call / {plain(context.renewal_s)} s + (client-call + {design.RELAY_FAN_OUT} × server-call) / "
            f"{plain(design.WATCH_HEARTBEAT_S)} s",
            lambda: standing_processor(context),
            "share",
            f"{AGENT}, {RPC}",
            most,
        ),
        context.row(
            "processor time of control, all, mean of a day",
            f"that + {target.changes_a_day}/day × (state-take + {design.RELAY_FAN_OUT} × state-send) + list changes × "
            f"(receiver-take + {design.RELAY_FAN_OUT} × receiver-send)",
            lambda: (
                standing_processor(context)
                + state_processor(context)
                + context.list_changes_per_s * list_processor_s(context)
            ),
            "share",
            f"{AGENT}, {RPC}",
            most,
        ),
        context.row(
            "processor time of control while each reading differs (a release)",
            f"renewals and watches + (receiver-take + {design.RELAY_FAN_OUT} × receiver-send) / "
            f"{plain(context.reading_period_s)} s",
            lambda: standing_processor(context) + list_processor_s(context) / context.reading_period_s,
            "share",
            f"{AGENT}, `dewpin/cluster/receivers.py`",
            most,
        ),
        context.row(
            "time to take up one change, beside the streams of the same process",
            f"state-take at {context.routes:,} routes",
            lambda: context.at("state-take", context.routes) / 1000,
            "ms",
            "`dewpin/cluster/configuration`",
            target.token_gap_ms,
        ),
        context.row(
            "memory of control",
            f"sender-memory at {context.routes:,} routes (the whole program's modules included) + receiver-memory × "
            f"{target.receivers}",
            lambda: context.at("sender-memory", context.routes) + target.receivers * context.each("receiver-memory"),
            "B",
            "`dewpin/dataplane/membership/cluster_state.py`",
            target.control_memory_bytes,
        ),
    ]


def store_call_rows(context: Context) -> list[Row]:
    """Calls to the stores, and bytes of turns."""
    assumed = context.assumed
    turns = context.requests_a_sender
    ledger_calls = context.ledger_calls_a_turn
    return [
        context.row(
            "calls to stores a second",
            f"{plain(turns)} turns/s × ({assumed.ledger_rounds_to_reserve} rounds to reserve + "
            f"{assumed.ledger_rounds_to_settle} to settle + 1 to append, {assumed.replicas} replicas each, + 1 read)",
            lambda: turns * (ledger_calls + assumed.replicas + 1),
            "1/s",
            STORE_CLIENT,
        ),
        context.row(
            "processor time of these calls",
            f"{plain(turns)}/s × ({ledger_calls + 1} × client-call + {assumed.replicas} × client-call at "
            f"{plain(context.turn_bytes / 1000)} kB)",
            lambda: (
                turns
                * (
                    (ledger_calls + 1) * context.at("client-call", SMALL_MESSAGE_BYTES)
                    + assumed.replicas * context.at("client-call", context.turn_bytes)
                )
                / MICROSECONDS
            ),
            "share",
            f"{STORE_CLIENT}, {RPC}",
            1.0,
        ),
        context.row(
            "bytes of turns sent to stores",
            f"{plain(turns)}/s × {plain(context.turn_bytes / 1000)} kB × {assumed.replicas}",
            lambda: turns * context.turn_bytes * assumed.replicas,
            "B/s",
            STORE_CLIENT,
        ),
    ]


def history_rows(context: Context) -> list[Row]:
    """Conversation histories that are read, held and sent. A table: as long as its rows."""
    target, assumed = context.target, context.assumed
    turns, chain = context.requests_a_sender, context.history_bytes
    missed = 1 - context.cached_share
    return [
        context.row(
            "bytes of chains sent to receivers",
            f"{plain(turns)}/s × half of {target.tokens_a_program:,} tokens × {assumed.bytes_a_token} B",
            lambda: turns * chain / 2,
            "B/s",
            "`dewpin/dataplane/programs/turns.py`; the receivers' protocol asks for the whole chain each turn",
        ),
        context.row(
            "memory that whole chains would take",
            f"{target.programs:,} / {target.senders} programs × {quantity(chain, 'B')}",
            lambda: target.programs / target.senders * chain,
            "B",
            CHAINS,
            float(design.CHAIN_CACHE_BYTES),
        ),
        context.row(
            "bytes of chains read from stores",
            f"{plain(turns)}/s × half a chain × {plain(missed * 100)}% not cached ({design.CHAIN_CACHE_BYTES:,} B)",
            lambda: turns * chain / 2 * missed,
            "B/s",
            f"{STORE_CLIENT}, {CHAINS}",
        ),
        context.row(
            "processor time of taking them up",
            f"{plain(turns)}/s × chain-take at {quantity(chain / 2, 'B')} × {plain(missed * 100)}%",
            lambda: turns * missed * context.at("chain-take", chain / 2) / MICROSECONDS,
            "share",
            "`dewpin/cluster/store_messages.py`",
            1.0,
        ),
        context.row(
            "time to take up a whole chain before the first token",
            f"chain-take at {quantity(chain, 'B')}",
            lambda: context.at("chain-take", chain) / 1000,
            "ms",
            "`dewpin/cluster/store_messages.py`",
            target.first_token_s * 1000,
        ),
        context.row(
            "bytes on the wire of a byte of text that is not ASCII",
            "1 + slope of text-growth",
            lambda: 1 + context.each("text-growth"),
            "B",
            "`dewpin/cluster/store_messages.py` (latin-1 in JSON)",
        ),
    ]


def program_rows(context: Context) -> list[Row]:
    """What programs cost at one sender."""
    return [
        *store_call_rows(context),
        *history_rows(context),
    ]
