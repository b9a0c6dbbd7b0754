"""Figures of one sender at the target."""

from __future__ import annotations

from benchmarks.capacity.context import Context
from benchmarks.capacity.fit import Estimate
from benchmarks.capacity.sheet import Row, plain

MICROSECONDS = 1e6
LEASES = "`dewpin/dataplane` (lease), `dewpin/cluster/rpc.py`"
RELAY = "`dewpin/dataplane` (relay tree)"
STREAMS = "`dewpin/dataplane` (`http.server` thread for each request)"
CHAINS = "`dewpin/dataplane/program_store.py`"
LEASE_REQUEST_BYTES = 200


def traffic_rows(context: Context) -> list[Row]:
    """Requests, streams and events of one sender."""
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
            "delay that the sender adds between tokens, 95 in 100",
            f"event-delay at {plain(streams)} streams",
            lambda: context.at("event-delay", streams),
            "ms",
            STREAMS,
            target.token_gap_ms,
        ),
    ]


def lease_bytes_per_s(context: Context) -> Estimate:
    """Bytes a second, both ways, of a sender's renewals."""
    answer = context.at("lease-answer-bytes", context.target.control_machines)
    return (answer + LEASE_REQUEST_BYTES) / context.renewal_s


def control_processor(context: Context, *, whole: bool) -> Estimate:
    """Share of a core that control takes of a sender, with whole or with changed parts sent on."""
    target, assumed = context.target, context.assumed
    renewals = context.at("client-call", LEASE_REQUEST_BYTES) / context.renewal_s
    hops = 1 + assumed.relay_children
    if whole:
        parses = context.changes_per_s * context.at("configuration-parse", context.routes)
        parses = parses + context.at("receiver-parse", target.receivers) / assumed.list_period_s
        encodes = context.changes_per_s * context.at("encode", context.at("configuration-bytes", context.routes).value)
        list_bytes = context.at("receiver-bytes", target.receivers).value
        encodes = encodes + context.at("encode", list_bytes) / assumed.list_period_s
    else:
        parses = context.changes_per_s * context.at("configuration-parse", 1)
        parses = parses + context.list_changes_per_s * context.at("receiver-parse", 1)
        encodes = (context.changes_per_s + context.list_changes_per_s) * context.at("encode", 300)
    return (renewals + parses + hops * encodes) / MICROSECONDS


def control_rows(context: Context) -> list[Row]:
    """Cost of control at one sender."""
    target, assumed = context.target, context.assumed
    hops = 1 + assumed.relay_children
    changes = context.changes_per_s
    return [
        context.row(
            "lease renewals a second",
            f"1 / ({plain(target.change_in_force_s)} s / {assumed.renewals_a_bound})",
            lambda: 1 / context.renewal_s,
            "1/s",
            LEASES,
        ),
        context.row(
            "bytes of renewals",
            f"({LEASE_REQUEST_BYTES} B + lease-answer-bytes at {target.control_machines} keepers) / "
            f"{plain(context.renewal_s)} s",
            lambda: lease_bytes_per_s(context),
            "B/s",
            LEASES,
            target.control_bytes_per_s,
        ),
        context.row(
            "bytes of whole configurations, in and passed on",
            f"{target.changes_a_day}/day × configuration-bytes at {context.routes:,} routes × (1 + "
            f"{assumed.relay_children})",
            lambda: changes * hops * context.at("configuration-bytes", context.routes),
            "B/s",
            RELAY,
            target.control_bytes_per_s,
        ),
        context.row(
            "bytes of changed routes alone",
            f"{target.changes_a_day}/day × one route × (1 + {assumed.relay_children})",
            lambda: changes * hops * context.each("configuration-bytes"),
            "B/s",
            "to be built: changed routes",
            target.control_bytes_per_s,
        ),
        context.row(
            "bytes of whole lists of receivers, in and passed on",
            f"receiver-bytes at {target.receivers} / {plain(assumed.list_period_s)} s × (1 + {assumed.relay_children})",
            lambda: hops * context.at("receiver-bytes", target.receivers) / assumed.list_period_s,
            "B/s",
            RELAY,
            target.control_bytes_per_s,
        ),
        context.row(
            "bytes of changed entries alone",
            f"({target.restarts_a_day} + {target.failures_a_day})/day × {assumed.list_entries_a_restart} entries × "
            f"(1 + {assumed.relay_children})",
            lambda: context.list_changes_per_s * hops * context.each("receiver-bytes"),
            "B/s",
            "to be built: changed entries",
            target.control_bytes_per_s,
        ),
        context.row(
            "processor time of control, everything sent whole",
            "renewals × client-call + changes × configuration-parse + lists × receiver-parse + copies × encode",
            lambda: control_processor(context, whole=True),
            "share",
            f"{LEASES}, {RELAY}",
            target.control_processor_share,
        ),
        context.row(
            "processor time of control, changed parts alone",
            "the same with one route and one entry",
            lambda: control_processor(context, whole=False),
            "share",
            "to be built: changed parts",
            target.control_processor_share,
        ),
        context.row(
            "memory of control",
            f"configuration-memory at {context.routes:,} routes (the process included) + receiver-memory × "
            f"{target.receivers}",
            lambda: (
                context.at("configuration-memory", context.routes) + target.receivers * context.each("receiver-memory")
            ),
            "B",
            "`dewpin/dataplane/cluster_state.py`",
            target.control_memory_bytes,
        ),
    ]


def program_rows(context: Context) -> list[Row]:
    """What programs cost at one sender."""
    target, assumed = context.target, context.assumed
    programs = target.programs / target.senders
    calls = context.requests_a_sender * context.calls_a_turn
    chain = context.history_bytes
    return [
        context.row(
            "calls to stores a second",
            f"{plain(context.requests_a_sender)} turns/s × ({assumed.calls_to_reserve} to reserve + "
            f"{assumed.calls_to_settle} to settle + {assumed.calls_to_append} to append + {assumed.calls_to_read} "
            "to read)",
            lambda: calls,
            "1/s",
            CHAINS,
        ),
        context.row(
            "processor time of these calls",
            f"{plain(calls)}/s × client-call at {plain(context.turn_bytes / 1000)} kB",
            lambda: calls * context.at("client-call", context.turn_bytes) / MICROSECONDS,
            "share",
            f"{CHAINS}, `dewpin/cluster/rpc.py`",
            1.0,
        ),
        context.row(
            "bytes of chains sent to receivers",
            f"{plain(context.requests_a_sender)} turns/s × half of {target.tokens_a_program:,} tokens × "
            f"{assumed.bytes_a_token} B",
            lambda: context.requests_a_sender * chain / 2,
            "B/s",
            "the receivers' protocol asks for the whole chain each turn",
        ),
        context.row(
            "memory of cached chains, all whole",
            f"{target.programs:,} / {target.senders} programs × {plain(chain / 1e6)} MB",
            lambda: programs * chain,
            "B",
            CHAINS,
        ),
        context.row(
            "time to decode a whole chain as one message",
            f"decode at {plain(chain / 1e6)} MB",
            lambda: context.at("decode", chain) / 1000,
            "ms",
            "`dewpin/cluster/netstring.py`",
            target.first_token_s * 1000,
        ),
    ]
