"""Figures of the machines set aside for control at the target."""

from __future__ import annotations

import math

from benchmarks.capacity.context import Context
from benchmarks.capacity.fit import Estimate
from benchmarks.capacity.sheet import Row, plain

MICROSECONDS = 1e6
LEASES = "`dewpin/controlplane` (leases)"
REGISTER = "`dewpin/consensus`, `dewpin/controlplane` (register)"
LIST = "`dewpin/controlplane` (list)"
LEASE_REQUEST_BYTES = 200


def relay_depth(context: Context) -> int:
    """Hops of the relay tree below the keepers: the least depth that holds all senders."""
    children, keepers = context.assumed.relay_children, context.target.control_machines
    depth, reached, level = 0, 0, keepers
    while reached < context.target.senders:
        level *= children
        reached += level
        depth += 1
    return depth


def change_ms(context: Context) -> Estimate:
    """Time of a change from its order to the last sender when nothing fails."""
    rounds = 2 * context.assumed.region_round_trip_ms
    size = context.at("configuration-bytes", context.routes).value
    parse = context.at("configuration-parse", context.routes)
    handling = context.at("encode", size) * context.assumed.relay_children + context.at("decode", size) + parse
    hop = handling / 1000 + context.assumed.region_round_trip_ms / 2
    return relay_depth(context) * hop + parse / 1000 + rounds


def rows(context: Context) -> list[Row]:
    """All rows of the control machines."""
    target, assumed = context.target, context.assumed
    renewals = target.senders / context.renewal_s
    each = renewals / target.control_machines
    depth = relay_depth(context)
    return [
        context.row(
            "leases held at each", "each keeper learns all senders in turn", lambda: target.senders, "", LEASES
        ),
        context.row(
            "bytes of the leases",
            f"lease-bytes at {target.senders}",
            lambda: context.at("lease-bytes", target.senders),
            "B",
            LEASES,
        ),
        context.row(
            "renewals a second, all / each",
            f"{target.senders} / {plain(context.renewal_s)} s = {plain(renewals)}; / {target.control_machines}",
            lambda: each,
            "1/s",
            LEASES,
        ),
        context.row(
            "processor time of renewals at each",
            f"{plain(each)}/s × server-call at {LEASE_REQUEST_BYTES} B",
            lambda: each * context.at("server-call", LEASE_REQUEST_BYTES) / MICROSECONDS,
            "share",
            LEASES,
            1.0,
        ),
        context.row(
            "processor time if each sender renewed at all keepers",
            f"{plain(renewals)}/s × server-call",
            lambda: renewals * context.at("server-call", LEASE_REQUEST_BYTES) / MICROSECONDS,
            "share",
            LEASES,
            1.0,
        ),
        context.row(
            "configuration held",
            f"configuration-bytes at {context.routes:,} routes",
            lambda: context.at("configuration-bytes", context.routes),
            "B",
            REGISTER,
        ),
        context.row(
            "messages of one change of the register",
            f"2 rounds × {target.control_machines} members × 2",
            lambda: 4 * target.control_machines,
            "",
            REGISTER,
        ),
        context.row(
            "bytes of one change of the register",
            f"(promises carry the old value, accepts the new) 2 × {target.control_machines} × configuration",
            lambda: 2 * target.control_machines * context.at("configuration-bytes", context.routes),
            "B",
            REGISTER,
        ),
        context.row(
            "depth of the relay tree",
            f"least d with {target.control_machines} × ({assumed.relay_children} + … + {assumed.relay_children}^d) ≥ "
            f"{target.senders}",
            lambda: depth,
            "hops",
            "`dewpin/dataplane` (relay tree)",
        ),
        context.row(
            "time of a change to the last sender, nothing failing",
            f"2 rounds × {plain(assumed.region_round_trip_ms)} ms + {depth} hops × (encode × "
            f"{assumed.relay_children} + decode + parse + {plain(assumed.region_round_trip_ms / 2)} ms)",
            lambda: change_ms(context) / 1000,
            "s",
            f"{REGISTER}, `dewpin/dataplane` (relay tree)",
            target.change_in_force_s,
        ),
        context.row(
            "the same when the tree fails",
            f"that + a renewal ({plain(context.renewal_s)} s) + a refused keeper and its successor",
            lambda: change_ms(context) / 1000 + 3 * context.renewal_s,
            "s",
            LEASES,
            target.change_in_force_s,
        ),
        context.row(
            "whole configurations to all senders, a day",
            f"{target.changes_a_day} × {target.senders} × configuration",
            lambda: target.changes_a_day * target.senders * context.at("configuration-bytes", context.routes),
            "B",
            "`dewpin/dataplane` (relay tree)",
        ),
        context.row(
            "whole lists to the children of one keeper",
            f"{assumed.relay_children} children × receiver-bytes at {target.receivers} / "
            f"{plain(assumed.list_period_s)} s",
            lambda: assumed.relay_children * context.at("receiver-bytes", target.receivers) / assumed.list_period_s,
            "B/s",
            LIST,
        ),
        context.row(
            "processor time of reading and sending the list",
            f"(receiver-parse + {assumed.relay_children} × encode) / {plain(assumed.list_period_s)} s",
            lambda: (
                (
                    context.at("receiver-parse", target.receivers)
                    + assumed.relay_children
                    * context.at("encode", context.at("receiver-bytes", target.receivers).value)
                )
                / assumed.list_period_s
                / MICROSECONDS
            ),
            "share",
            LIST,
            1.0,
        ),
        context.row(
            "disk written for changes, a day",
            f"{target.changes_a_day} × (2 rounds) × configuration",
            lambda: 2 * target.changes_a_day * context.at("configuration-bytes", context.routes),
            "B",
            "`dewpin/controlplane/storage.py`",
        ),
        context.row(
            "memory of a keeper without turns",
            "configuration-memory + receiver-memory × receivers + connection-memory × subscribers and renewing senders",
            lambda: (
                context.at("configuration-memory", context.routes)
                + target.receivers * context.each("receiver-memory")
                + math.ceil(target.senders) * context.each("connection-memory") / 2
            ),
            "B",
            "`dewpin/controlplane`",
        ),
    ]
