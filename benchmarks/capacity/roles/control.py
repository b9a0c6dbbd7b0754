"""Figures of the dedicated control machines at the target."""

from __future__ import annotations

from benchmarks.capacity import design
from benchmarks.capacity.context import Context
from benchmarks.capacity.fit import Estimate
from benchmarks.capacity.sheet import Row, format_number

MICROSECONDS = 1e6
SMALL_MESSAGE_BYTES = 300
LEASES = "`dewpin/controlplane/membership/leases.py`"
REGISTER = "`dewpin/controlplane/register/register.py`, `dewpin/consensus`"
STATE = "`dewpin/controlplane/register/system_state.py`"
LIST = "`dewpin/cluster/platform_list.py`, `receivers.py`"
CONTROL_SERVER = "`dewpin/controlplane/control_server.py`"
TREE = "`dewpin/dataplane/membership/cluster_agent.py`, `dewpin/controlplane/membership/leases.py`"


def hop_s(context: Context) -> Estimate:
    """Return the seconds of a change at one hop of the relay tree: apply it, encode it for the children, send it."""
    handling_us = context.at("state-take", context.routes) + design.RELAY_FAN_OUT * context.at(
        "state-send", context.routes
    )
    return handling_us / MICROSECONDS + context.assumed.region_round_trip_ms / 2000


def propagation_s(context: Context) -> Estimate:
    """Return the seconds from the request of a change until the last sender has it, without failures."""
    rounds_s = 2 * context.assumed.region_round_trip_ms / 1000
    register_s = context.at("register-change", context.routes) / MICROSECONDS
    return (
        register_s + rounds_s + design.HEARTBEAT_PERIOD_S + design.relay_depth(context.target.senders) * hop_s(context)
    )


def renewal_rows(context: Context) -> list[Row]:
    """Return the rows on leases and renewals at each control machine."""
    target = context.target
    renewals_per_s = target.senders / context.renewal_s
    renewals_per_server = renewals_per_s / target.control_machines
    return [
        context.row(
            "leases held at each",
            "a sender renews at the control servers in turn, so each comes to know all",
            lambda: target.senders,
            "",
            LEASES,
        ),
        context.row(
            "bytes of the leases",
            f"lease-bytes at {target.senders}",
            lambda: context.at("lease-bytes", target.senders),
            "B",
            LEASES,
        ),
        context.row(
            "renewals a second at each",
            f"{target.senders} / {format_number(context.renewal_s)} s / {target.control_machines}",
            lambda: renewals_per_server,
            "1/s",
            LEASES,
        ),
        context.row(
            "processor time of renewals at each",
            f"{format_number(renewals_per_server)}/s × (server-call + lease-renew at {target.senders})",
            lambda: (
                renewals_per_server
                * (context.at("server-call", SMALL_MESSAGE_BYTES) + context.at("lease-renew", target.senders))
                / MICROSECONDS
            ),
            "share",
            LEASES,
            1.0,
        ),
        context.row(
            "the same if each sender renewed at all control servers",
            f"{format_number(renewals_per_s)}/s in place of {format_number(renewals_per_server)}/s",
            lambda: (
                renewals_per_s
                * (context.at("server-call", SMALL_MESSAGE_BYTES) + context.at("lease-renew", target.senders))
                / MICROSECONDS
            ),
            "share",
            LEASES,
            1.0,
        ),
    ]


def renewal_interval_rows(context: Context) -> list[Row]:
    """Return the rows on the time between renewals of a sender at the same control server."""
    target, assumed = context.target, context.assumed
    control_servers_with_stores = assumed.stores + target.control_machines
    return [
        context.row(
            "time between a sender's visits to one control server",
            f"{target.control_machines} control servers × {format_number(context.renewal_s)} s, against a lease of "
            f"max({design.LEASE_PERIODS}, {design.LEASE_CYCLES} × {target.control_machines}) × "
            f"{format_number(context.renewal_s)} s",
            lambda: target.control_machines * context.renewal_s,
            "s",
            LEASES,
            context.lease_s(target.control_machines),
        ),
        context.row(
            "the same if all stores served control too",
            f"{control_servers_with_stores} control servers × {format_number(context.renewal_s)} s",
            lambda: control_servers_with_stores * context.renewal_s,
            "s",
            LEASES,
            context.lease_s(control_servers_with_stores),
        ),
    ]


def lease_rows(context: Context) -> list[Row]:
    """Return all rows on leases."""
    return [
        *renewal_rows(context),
        *renewal_interval_rows(context),
    ]


def register_rows(context: Context) -> list[Row]:
    """Return the rows on the system state and a change of it."""
    target = context.target
    members = target.control_machines
    return [
        context.row(
            "bytes of the system state",
            f"state-bytes at {context.routes:,} routes + {design.MAX_CHANGES_IN_STATE:,} × accepted-bytes",
            lambda: context.state_bytes,
            "B",
            STATE,
        ),
        context.row(
            "messages of one change of the register",
            f"2 rounds × {members} members × 2",
            lambda: 4 * members,
            "",
            REGISTER,
        ),
        context.row(
            "bytes of one change of the register",
            f"accepts carry the new state, promises none that is known: {members} × state",
            lambda: members * context.state_bytes,
            "B",
            REGISTER,
        ),
        context.row(
            "processor time of one change, all members",
            f"register-cost at {context.routes:,} routes",
            lambda: context.at("register-cost", context.routes) / 1000,
            "ms",
            REGISTER,
        ),
        context.row(
            "processor time of changes at each member, mean of a day",
            f"{target.changes_per_day}/day × register-cost / {members}",
            lambda: context.changes_per_s * context.at("register-cost", context.routes) / members / MICROSECONDS,
            "share",
            REGISTER,
            1.0,
        ),
        context.row(
            "bytes written to disk for changes, a day, each member",
            f"{target.changes_per_day} × state (a promise writes its ballot alone)",
            lambda: target.changes_per_day * context.state_bytes,
            "B",
            "`dewpin/controlplane/storage/storage.py`",
        ),
    ]


def propagation_rows(context: Context) -> list[Row]:
    """Return the rows on the propagation of a change to the senders."""
    target, assumed = context.target, context.assumed
    depth = design.relay_depth(target.senders)
    return [
        context.row(
            "depth of the relay tree",
            f"hops from a control server by `LeaseTable.parents` of {target.senders} senders, "
            f"{design.RELAY_FAN_OUT} children "
            "each",
            lambda: depth,
            "hops",
            TREE,
        ),
        context.row(
            "time of a change to the last sender, nothing failing",
            f"register-change + 2 rounds × {format_number(assumed.region_round_trip_ms)} ms + a greeting "
            f"({format_number(design.HEARTBEAT_PERIOD_S)} s) + "
            f"{depth} hops × (state-take + {design.RELAY_FAN_OUT} × state-send + "
            f"{format_number(assumed.region_round_trip_ms / 2)} ms)",
            lambda: propagation_s(context),
            "s",
            f"{REGISTER}, {TREE}",
            target.change_in_force_s,
        ),
        context.row(
            "the same when the tree fails",
            f"that + two renewals ({format_number(context.renewal_s)} s × 1.1 each, one control server silent)",
            lambda: propagation_s(context) + 2 * 1.1 * context.renewal_s,
            "s",
            LEASES,
            target.change_in_force_s,
        ),
        context.row(
            "whole states to all senders, a day",
            f"{target.changes_per_day} × {target.senders} × state",
            lambda: target.changes_per_day * target.senders * context.state_bytes,
            "B",
            TREE,
        ),
    ]


def state_rows(context: Context) -> list[Row]:
    """Return all rows on the register and the propagation of its state."""
    return [
        *register_rows(context),
        *propagation_rows(context),
    ]


def list_rows(context: Context) -> list[Row]:
    """Return the rows on the reader of the platform's list and on the memory of a control server."""
    target = context.target
    return [
        context.row(
            "processor time of reading the list",
            f"list-read at {target.receivers} / {format_number(context.reading_period_s)} s, at one control server",
            lambda: context.at("list-read", target.receivers) / context.reading_period_s / MICROSECONDS,
            "share",
            LIST,
            1.0,
        ),
        context.row(
            "processor time of sending it while each reading differs",
            f"(children + other control servers) = {design.RELAY_FAN_OUT + target.control_machines - 1} × "
            f"receiver-send / "
            f"{format_number(context.reading_period_s)} s",
            lambda: (
                (design.RELAY_FAN_OUT + target.control_machines - 1)
                * context.at("receiver-send", target.receivers)
                / context.reading_period_s
                / MICROSECONDS
            ),
            "share",
            CONTROL_SERVER,
            1.0,
        ),
        context.row(
            "memory of a control server with control alone",
            f"control-server-memory at {context.routes:,} routes + receiver-memory × {target.receivers} + "
            f"{target.senders} "
            "connections × connection-memory / 2 (one end)",
            lambda: (
                context.at("control-server-memory", context.routes)
                + target.receivers * context.slope("receiver-memory")
                + target.senders * context.slope("connection-memory") / 2
            ),
            "B",
            "`dewpin/controlplane`",
        ),
    ]
