"""Figures of one sender at the target."""

from __future__ import annotations

from benchmarks.capacity import design
from benchmarks.capacity.context import Context
from benchmarks.capacity.fit import Estimate
from benchmarks.capacity.sheet import Row, format_number, format_quantity

MICROSECONDS = 1e6
SMALL_MESSAGE_BYTES = 300
AGENT = "`dewpin/dataplane/membership/cluster_agent.py`"
RPC = "`dewpin/cluster/rpc`"
STREAMS = "`dewpin/dataplane/ingress/server.py`, `routing/event_relay.py`"
STORE_CLIENT = "`dewpin/dataplane/programs/store_client.py`"
HISTORY_CACHE = "`dewpin/dataplane/programs/history_cache.py`"


def traffic_rows(context: Context) -> list[Row]:
    """Return the rows on requests, streams and events of a sender."""
    target, assumed = context.target, context.assumed
    events = target.tokens_per_s / target.senders / assumed.tokens_an_event
    streams = context.streams_per_sender
    return [
        context.row(
            "requests a second",
            f"{target.requests_per_s:,} / {target.senders}",
            lambda: context.requests_per_sender,
            "1/s",
            STREAMS,
        ),
        context.row(
            "streams at once",
            f"{format_number(context.requests_per_sender)}/s × ({target.first_token_s} s + "
            f"{format_number(context.tokens_per_request)} "
            f"tokens × {format_number(target.token_gap_ms)} ms)",
            lambda: streams,
            "",
            STREAMS,
        ),
        context.row(
            "memory of their threads",
            f"{format_number(streams)} × thread-memory",
            lambda: streams * context.slope("thread-memory"),
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
            f"{format_number(events)}/s × event-cost at {format_number(streams)} streams",
            lambda: events * context.at("event-cost", streams) / MICROSECONDS,
            "share",
            STREAMS,
            1.0,
        ),
        context.row(
            "delay that passing on adds between tokens, 95 in 100",
            f"event-delay at {format_number(streams)} streams",
            lambda: context.at("event-delay", streams),
            "ms",
            STREAMS,
            target.token_gap_ms,
        ),
    ]


def renewal_bytes(context: Context) -> Estimate:
    """Return the bytes per second, in both directions, of a sender's lease renewals."""
    reply_bytes = context.at("lease-answer-bytes", context.target.control_machines)
    return (reply_bytes + design.RENEWAL_REQUEST_BYTES) / context.renewal_s


def watches_per_s() -> float:
    """Return the watches per second that a sender sends and serves."""
    return (1 + design.RELAY_FAN_OUT) / design.WATCH_HEARTBEAT_S


def list_update_bytes(context: Context) -> Estimate:
    """Return the bytes of a new receiver list at a sender, which receives it once and relays it to all children."""
    return (1 + design.RELAY_FAN_OUT) * context.at("receiver-bytes", context.target.receivers)


def idle_processor_share(context: Context) -> Estimate:
    """Return the share of a core that renewals and watches use without changes."""
    renewals_us = context.at("client-call", SMALL_MESSAGE_BYTES) / context.renewal_s
    sent_watches_us = context.at("client-call", SMALL_MESSAGE_BYTES) / design.WATCH_HEARTBEAT_S
    served_watches_us = design.RELAY_FAN_OUT * context.at("server-call", SMALL_MESSAGE_BYTES) / design.WATCH_HEARTBEAT_S
    return (renewals_us + sent_watches_us + served_watches_us) / MICROSECONDS


def state_processor_share(context: Context) -> Estimate:
    """Return the share of a core that is used to apply and relay new system states."""
    send_us = context.at("state-send", context.routes)
    return (
        context.changes_per_s
        * (context.at("state-take", context.routes) + design.RELAY_FAN_OUT * send_us)
        / (MICROSECONDS)
    )


def list_processor_s(context: Context) -> Estimate:
    """Return the processor seconds to apply and relay a new receiver list."""
    receivers = context.target.receivers
    send_us = context.at("receiver-send", receivers)
    return (context.at("receiver-take", receivers) + design.RELAY_FAN_OUT * send_us) / MICROSECONDS


def message_bytes_rows(context: Context) -> list[Row]:
    """Return the rows on bytes of lease renewals, watches, states and lists."""
    target, assumed = context.target, context.assumed
    changes_per_s, fan_out = context.changes_per_s, design.RELAY_FAN_OUT
    bound = target.control_bytes_per_s
    list_changes = (
        f"({target.restarts_per_day} + {target.failures_per_day})/day × {assumed.list_entries_a_restart} entries"
    )
    idle_watch_bytes = watches_per_s() * design.WATCH_BYTES
    return [
        context.row(
            "lease renewals a second",
            f"1 / ({format_number(target.change_in_force_s)} s / {design.RENEWALS_PER_APPLY_TIME})",
            lambda: 1 / context.renewal_s,
            "1/s",
            AGENT,
        ),
        context.row(
            "bytes of renewals",
            f"({design.RENEWAL_REQUEST_BYTES} B + lease-answer-bytes at {target.control_machines} control servers) / "
            f"{format_number(context.renewal_s)} s",
            lambda: renewal_bytes(context),
            "B/s",
            AGENT,
            bound,
        ),
        context.row(
            "bytes of watches when nothing is new",
            f"(1 + {fan_out} children) / {format_number(design.WATCH_HEARTBEAT_S)} s × {design.WATCH_BYTES} B",
            lambda: idle_watch_bytes,
            "B/s",
            AGENT,
            bound,
        ),
        context.row(
            "bytes of whole states, taken and passed on",
            f"{target.changes_per_day}/day × (state-bytes at {context.routes:,} routes + "
            f"{design.MAX_CHANGES_IN_STATE:,} × accepted-bytes) × (1 + {fan_out})",
            lambda: changes_per_s * (1 + fan_out) * context.state_bytes,
            "B/s",
            AGENT,
            bound,
        ),
        context.row(
            "bytes of whole lists, taken and passed on, mean of a day",
            f"{list_changes} × receiver-bytes at {target.receivers} × (1 + {fan_out})",
            lambda: context.list_changes_per_s * list_update_bytes(context),
            "B/s",
            AGENT,
            bound,
        ),
        context.row(
            "bytes of whole lists while each reading differs (a release)",
            f"receiver-bytes at {target.receivers} × (1 + {fan_out}) / {format_number(context.reading_period_s)} s",
            lambda: list_update_bytes(context) / context.reading_period_s,
            "B/s",
            AGENT,
            bound,
        ),
    ]


def total_bytes_rows(context: Context) -> list[Row]:
    """Return the rows on control bytes in total, and on the bytes if only changes were sent."""
    target, assumed = context.target, context.assumed
    changes_per_s, fan_out = context.changes_per_s, design.RELAY_FAN_OUT
    bound = target.control_bytes_per_s
    list_changes = (
        f"({target.restarts_per_day} + {target.failures_per_day})/day × {assumed.list_entries_a_restart} entries"
    )
    idle_watch_bytes = watches_per_s() * design.WATCH_BYTES
    return [
        context.row(
            "bytes of control, all, mean of a day",
            "renewals + watches + whole states + whole lists",
            lambda: (
                renewal_bytes(context)
                + idle_watch_bytes
                + changes_per_s * (1 + fan_out) * context.state_bytes
                + context.list_changes_per_s * list_update_bytes(context)
            ),
            "B/s",
            AGENT,
            bound,
        ),
        context.row(
            "the same with changed routes and entries alone",
            f"renewals + watches + {target.changes_per_day}/day × a route × (1 + {fan_out}) + {list_changes} "
            "× an entry × "
            f"(1 + {fan_out})",
            lambda: (
                renewal_bytes(context)
                + idle_watch_bytes
                + changes_per_s * (1 + fan_out) * context.slope("state-bytes")
                + context.list_changes_per_s * (1 + fan_out) * context.slope("receiver-bytes")
            ),
            "B/s",
            "to be built: changed parts",
            bound,
        ),
        context.row(
            "changed entries alone while each reading differs in 1 in 100",
            f"{target.receivers} / 100 × an entry × (1 + {fan_out}) / {format_number(context.reading_period_s)} s",
            lambda: target.receivers / 100 * (1 + fan_out) * context.slope("receiver-bytes") / context.reading_period_s,
            "B/s",
            "to be built: changed parts",
            bound,
        ),
    ]


def bytes_rows(context: Context) -> list[Row]:
    """Return all rows on control bytes of a sender, in both directions."""
    return [
        *message_bytes_rows(context),
        *total_bytes_rows(context),
    ]


def processor_rows(context: Context) -> list[Row]:
    """Return the rows on processor time and memory for control at a sender."""
    target = context.target
    bound = target.control_processor_share
    return [
        context.row(
            "processor time of renewals and watches, nothing new",
            f"client-call / {format_number(context.renewal_s)} s + (client-call + {design.RELAY_FAN_OUT} × "
            "server-call) / "
            f"{format_number(design.WATCH_HEARTBEAT_S)} s",
            lambda: idle_processor_share(context),
            "share",
            f"{AGENT}, {RPC}",
            bound,
        ),
        context.row(
            "processor time of control, all, mean of a day",
            f"that + {target.changes_per_day}/day × (state-take + {design.RELAY_FAN_OUT} × state-send) + list "
            "changes × "
            f"(receiver-take + {design.RELAY_FAN_OUT} × receiver-send)",
            lambda: (
                idle_processor_share(context)
                + state_processor_share(context)
                + context.list_changes_per_s * list_processor_s(context)
            ),
            "share",
            f"{AGENT}, {RPC}",
            bound,
        ),
        context.row(
            "processor time of control while each reading differs (a release)",
            f"renewals and watches + (receiver-take + {design.RELAY_FAN_OUT} × receiver-send) / "
            f"{format_number(context.reading_period_s)} s",
            lambda: idle_processor_share(context) + list_processor_s(context) / context.reading_period_s,
            "share",
            f"{AGENT}, `dewpin/cluster/receivers.py`",
            bound,
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
            lambda: context.at("sender-memory", context.routes) + target.receivers * context.slope("receiver-memory"),
            "B",
            "`dewpin/dataplane/membership/cluster_state.py`",
            target.control_memory_bytes,
        ),
    ]


def store_call_rows(context: Context) -> list[Row]:
    """Return the rows on calls to the stores and bytes of turns."""
    assumed = context.assumed
    turns = context.requests_per_sender
    ledger_calls = context.ledger_calls_per_turn
    return [
        context.row(
            "calls to stores a second",
            f"{format_number(turns)} turns/s × ({assumed.ledger_rounds_to_reserve} rounds to reserve + "
            f"{assumed.ledger_rounds_to_settle} to settle + 1 to append, {assumed.replicas} replicas each, + 1 read)",
            lambda: turns * (ledger_calls + assumed.replicas + 1),
            "1/s",
            STORE_CLIENT,
        ),
        context.row(
            "processor time of these calls",
            f"{format_number(turns)}/s × ({ledger_calls + 1} × client-call + {assumed.replicas} × client-call at "
            f"{format_number(context.turn_bytes / 1000)} kB)",
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
            f"{format_number(turns)}/s × {format_number(context.turn_bytes / 1000)} kB × {assumed.replicas}",
            lambda: turns * context.turn_bytes * assumed.replicas,
            "B/s",
            STORE_CLIENT,
        ),
    ]


def history_rows(context: Context) -> list[Row]:
    """Return the rows on histories that are read, cached and sent."""
    target, assumed = context.target, context.assumed
    turns, history_bytes = context.requests_per_sender, context.history_bytes
    cache_miss_share = 1 - context.cached_share
    return [
        context.row(
            "bytes of chains sent to receivers",
            f"{format_number(turns)}/s × half of {target.tokens_per_program:,} tokens × {assumed.bytes_a_token} B",
            lambda: turns * history_bytes / 2,
            "B/s",
            "`dewpin/dataplane/programs/turns.py`; the receivers' protocol asks for the whole chain each turn",
        ),
        context.row(
            "memory that whole chains would take",
            f"{target.programs:,} / {target.senders} programs × {format_quantity(history_bytes, 'B')}",
            lambda: target.programs / target.senders * history_bytes,
            "B",
            HISTORY_CACHE,
            float(design.HISTORY_CACHE_BYTES),
        ),
        context.row(
            "bytes of chains read from stores",
            f"{format_number(turns)}/s × half a chain × {format_number(cache_miss_share * 100)}% not cached "
            f"({design.HISTORY_CACHE_BYTES:,} B)",
            lambda: turns * history_bytes / 2 * cache_miss_share,
            "B/s",
            f"{STORE_CLIENT}, {HISTORY_CACHE}",
        ),
        context.row(
            "processor time of taking them up",
            f"{format_number(turns)}/s × chain-take at {format_quantity(history_bytes / 2, 'B')} × "
            f"{format_number(cache_miss_share * 100)}%",
            lambda: turns * cache_miss_share * context.at("chain-take", history_bytes / 2) / MICROSECONDS,
            "share",
            "`dewpin/cluster/store_messages.py`",
            1.0,
        ),
        context.row(
            "time to take up a whole chain before the first token",
            f"chain-take at {format_quantity(history_bytes, 'B')}",
            lambda: context.at("chain-take", history_bytes) / 1000,
            "ms",
            "`dewpin/cluster/store_messages.py`",
            target.first_token_s * 1000,
        ),
        context.row(
            "bytes on the wire of a byte of text that is not ASCII",
            "1 + slope of text-growth",
            lambda: 1 + context.slope("text-growth"),
            "B",
            "`dewpin/cluster/store_messages.py` (latin-1 in JSON)",
        ),
    ]


def program_rows(context: Context) -> list[Row]:
    """Return all rows on the costs of programs at a sender."""
    return [
        *store_call_rows(context),
        *history_rows(context),
    ]
