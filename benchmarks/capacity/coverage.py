"""The table of all target figures: the modules that implement each, and the verdicts of the rows that cover it.

Functions that return entries can be long, because each is a flat list of entries.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from benchmarks.capacity.sheet import Row, Verdict, markdown_table
from benchmarks.capacity.target import ASSUMED, Target


@dataclass(frozen=True)
class Entry:
    """A target figure. `rows`: names of the rows whose verdicts cover it. `note`: what is not covered."""

    figure: str
    implemented_by: str
    rows: tuple[str, ...] = ()
    note: str = ""


def traffic_entries(target: Target, stores: int = ASSUMED.stores) -> list[Entry]:
    """Return the entries on machines, requests and tokens."""
    return [
        Entry(
            f"{target.senders} senders",
            "`dewpin/controlplane/membership/leases.py`, `dewpin/dataplane/membership/cluster_agent.py`",
            (
                "processor time of renewals at each",
                "time between a sender's visits to one control server",
            ),
            "measured parts; the sweep below has the whole tier at 100 machines",
        ),
        Entry(
            f"{target.receivers} receivers, {target.accelerators:,} accelerators",
            "`dewpin/cluster/receivers.py`, `platform_list.py`, `dewpin/dataplane/load_balancing/balancer.py`",
            (
                "bytes of whole lists while each reading differs (a release)",
                "changed entries alone while each reading differs in 1 in 100",
            ),
            "an accelerator is no member of anything here: its receiver speaks for it; choice among receivers: "
            "not measured",
        ),
        Entry(
            f"{target.requests_per_s:,} requests a second",
            "`dewpin/dataplane/ingress/server.py`, `request_path.py`; stores behind",
            (
                "processor time of these calls",
                f"share of a core of each of {stores} stores",
                "the same with chains read only by what is new",
                f"share of the one writer's time at each of {stores} stores",
            ),
            "processor time of a request in the sender: not measured",
        ),
        Entry(
            f"{target.tokens_per_s:,} tokens out a second",
            "`dewpin/dataplane/routing/event_relay.py`",
            ("processor time of events",),
        ),
        Entry(
            f"first token in {target.first_token_s} s for {target.share_in_time:.0%}",
            "`dewpin/dataplane/programs/store_client.py` (reserve, chain) before the send, then the receiver",
            (
                "time to take up a whole chain before the first token",
                "time added to a first token by replicas in other regions",
            ),
            "the receivers' part is not in this repository's hands; the whole path at this size: not measured",
        ),
        Entry(
            f"{target.token_gap_ms:g} ms between tokens for {target.share_in_time:.0%}",
            "`dewpin/dataplane/routing/event_relay.py`",
            (
                "delay that passing on adds between tokens, 95 in 100",
                "time to take up one change, beside the streams of the same process",
            ),
        ),
    ]


def program_entries(target: Target, stores: int = ASSUMED.stores) -> list[Entry]:
    """Return the entries on programs, tenants and regions."""
    return [
        Entry(
            f"{target.programs:,} programs of up to {target.turns_per_program} turns, "
            f"{target.tokens_per_program:,} tokens",
            "`dewpin/controlplane/store/turn_table.py`, `dewpin/dataplane/programs/history_cache.py`",
            (
                f"bytes of one of {stores} stores",
                "memory that whole chains would take",
                "processor time of taking them up",
            ),
            "whole chains to a sender that has not cached them: see below",
        ),
        Entry(
            f"{target.tenants} tenants, {target.models} models",
            "`dewpin/cluster/configuration`, `dewpin/controlplane/register/system_state.py`",
            ("bytes of whole states, taken and passed on", "the same with changed routes and entries alone"),
            "quotas between tenants: none yet",
        ),
        Entry(
            f"{target.regions} regions, {target.zones} zones",
            "`dewpin/cluster/placement.py`, `dewpin/controlplane/membership/reconfiguration.py`",
            (
                "programs without a majority when a zone is lost",
                "programs without a majority when a region is lost",
            ),
        ),
    ]


def control_entries(target: Target, stores: int = ASSUMED.stores) -> list[Entry]:
    """Return the entries on changes and on the costs of the control plane."""
    return [
        Entry(
            f"{target.changes_per_day} changes a day in force in {target.change_in_force_s:g} s",
            "`dewpin/consensus`, `dewpin/controlplane/register`, `dewpin/dataplane/membership/cluster_agent.py`",
            ("time of a change to the last sender, nothing failing", "the same when the tree fails"),
            "measured parts added up on paper",
        ),
        Entry(
            f"control: {target.control_processor_share:.1%} of a core a sender",
            "`dewpin/dataplane/membership/cluster_agent.py`, `dewpin/cluster/rpc`",
            (
                "processor time of renewals and watches, nothing new",
                "processor time of control, all, mean of a day",
                "processor time of control while each reading differs (a release)",
            ),
        ),
        Entry(
            f"control: {target.control_memory_bytes / 1e6:g} MB a sender",
            "`dewpin/dataplane/membership/cluster_state.py`",
            ("memory of control",),
        ),
        Entry(
            f"control: {target.control_bytes_per_s / 1e3:g} kB/s a sender",
            "`dewpin/dataplane/membership/cluster_agent.py`",
            (
                "bytes of renewals",
                "bytes of watches when nothing is new",
                "bytes of whole states, taken and passed on",
                "bytes of whole lists, taken and passed on, mean of a day",
                "bytes of control, all, mean of a day",
                "the same with changed routes and entries alone",
            ),
        ),
        Entry(
            f"{target.control_machines} machines for control",
            '`dewpin.controlplane` with `serves = ["control"]`',
            (
                "processor time of renewals at each",
                "processor time of changes at each member, mean of a day",
                "processor time of reading the list",
                "processor time of greetings at each control server",
            ),
            "today's deployments run control on the store machines",
        ),
    ]


def failure_entries(target: Target, stores: int = ASSUMED.stores) -> list[Entry]:
    """Return the entries on failures and restarts."""
    return [
        Entry(
            f"{target.failures_per_day} failures, {target.restarts_per_day} restarts a day",
            "leases, drain at SIGTERM, `dewpin/controlplane/membership/reconfiguration.py`, `replica_sync.py`",
            (),
            "rows under failures; a day with that many: not measured",
        ),
        Entry(
            "a rack every month or two",
            "`dewpin/controlplane/membership/reconfiguration.py`, `dewpin/consensus`",
            (),
            "as a zone, smaller; placement does not see racks: to be built",
        ),
        Entry(
            "a zone once or twice a year",
            "`dewpin/controlplane/membership/reconfiguration.py`, `dewpin/consensus`",
            ("programs without a majority when a zone is lost",),
        ),
        Entry(
            "regions apart for an hour",
            "majorities of the register and of each program's stores; senders go on with the state they have",
            (),
            "rows under failures; not measured",
        ),
    ]


def entries(target: Target, stores: int = ASSUMED.stores) -> list[Entry]:
    """Return all entries in the order of the operators' list."""
    return [
        *traffic_entries(target, stores),
        *program_entries(target, stores),
        *control_entries(target, stores),
        *failure_entries(target, stores),
    ]


def coverage(entry: Entry, rows: Mapping[str, Row]) -> str:
    """Return the verdicts of the rows of an entry, and its note. Raises KeyError if a row does not exist."""
    parts = []
    for name in entry.rows:
        verdict = rows[name].verdict()
        if verdict is not Verdict.NO_BOUND:
            parts.append(f"{name}: {verdict.value}")
    return "; ".join([*parts, *([entry.note] if entry.note else [])]) or "see the rows of the roles"


def coverage_table(target: Target, rows: Iterable[Row]) -> str:
    """Return the Markdown table of all target figures."""
    by_name = {row.name: row for row in rows}
    cells = [(entry.figure, entry.implemented_by, coverage(entry, by_name)) for entry in entries(target)]
    return markdown_table(("figure of the list", "carried by", "how it stands"), cells)
