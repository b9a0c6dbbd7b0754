"""Every figure of the target list: what carries it, and how the rows that stand for it come out."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from benchmarks.capacity.sheet import Row, Verdict, markdown_table
from benchmarks.capacity.target import Target


@dataclass(frozen=True)
class Entry:
    """One figure of the list. rows: the rows (by what they tell) whose verdicts stand for it; note: what is open."""

    figure: str
    carried_by: str
    rows: tuple[str, ...] = ()
    note: str = ""


def entries(target: Target) -> list[Entry]:
    """The list in its own order."""
    return [
        Entry(
            f"{target.senders} senders",
            "leases, relay tree (`dewpin/dataplane`, `dewpin/controlplane`)",
            ("processor time of renewals at each",),
            "no run with more senders than the sites have",
        ),
        Entry(
            f"{target.receivers} receivers, {target.accelerators:,} accelerators",
            "list reading and its way to the senders",
            ("bytes of whole lists of receivers, in and passed on", "bytes of changed entries alone"),
            "changed entries are to be built; an accelerator is no member of anything here: its receiver speaks for it",
        ),
        Entry(
            f"{target.requests_per_s:,} requests a second",
            "a thread for each request in `dewpin/dataplane`; stores behind",
            ("processor time of these calls", "stores needed by processor time"),
        ),
        Entry(
            f"{target.tokens_per_s:,} tokens out a second",
            "stream passing in `dewpin/dataplane`",
            ("processor time of events",),
        ),
        Entry(
            f"first token in {target.first_token_s} s for {target.share_in_time:.0%}",
            "reserve and chain before the send (`program_store.py`), then the receiver",
            ("time to decode a whole chain as one message",),
            "the receivers' own part is not in this repository's hands; the whole path: not measured at this size",
        ),
        Entry(
            f"{target.token_gap_ms:g} ms between tokens for {target.share_in_time:.0%}",
            "stream passing in `dewpin/dataplane`",
            ("delay that the sender adds between tokens, 95 in 100",),
        ),
        Entry(
            f"{target.programs:,} programs of up to {target.turns_a_program} turns, {target.tokens_a_program:,} tokens",
            "turns on `2 f + 1` stores (`dewpin/controlplane`)",
            ("time to decode a whole chain as one message", "stores needed by disk"),
            "whole chains at each turn: see below",
        ),
        Entry(
            f"{target.tenants} tenants, {target.models} models",
            "routes of the configuration (`dewpin/cluster/configuration.py`)",
            ("bytes of whole configurations, in and passed on", "bytes of changed routes alone"),
            "changed routes are to be built; quotas between tenants: none yet",
        ),
        Entry(
            f"{target.regions} regions, {target.zones} zones",
            "view of stores, members of the register",
            ("programs without a majority when a zone is lost, placement blind to zones",),
            "placement by zone and region is to be built",
        ),
        Entry(
            f"{target.changes_a_day} changes a day in force in {target.change_in_force_s:g} s",
            "register (`dewpin/consensus`), relay tree, the lease's answer",
            ("time of a change to the last sender, nothing failing", "the same when the tree fails"),
            "time on paper of measured parts; a run over 350 senders: not measured",
        ),
        Entry(
            f"control: {target.control_processor_share:.1%} of a core a sender",
            "lease, relay tree",
            ("processor time of control, everything sent whole", "processor time of control, changed parts alone"),
        ),
        Entry(
            f"control: {target.control_memory_bytes / 1e6:g} MB a sender",
            "`dewpin/dataplane/cluster_state.py`",
            ("memory of control",),
        ),
        Entry(
            f"control: {target.control_bytes_per_s / 1e3:g} kB/s a sender",
            "lease, relay tree",
            (
                "bytes of renewals",
                "bytes of whole configurations, in and passed on",
                "bytes of whole lists of receivers, in and passed on",
                "bytes of changed routes alone",
                "bytes of changed entries alone",
            ),
        ),
        Entry(
            f"{target.control_machines} machines for control",
            '`dewpin.controlplane` with `serves = ["control"]`',
            ("processor time of renewals at each", "processor time of reading and sending the list"),
        ),
        Entry(
            f"{target.failures_a_day} failures, {target.restarts_a_day} restarts a day",
            "leases, drain at SIGTERM, view of stores",
            (),
            "figures under failures; a day with that many: not measured",
        ),
        Entry(
            "a rack every month or two",
            "view of stores, register members",
            (),
            "as a zone, smaller; placement does not see racks: to be built",
        ),
        Entry(
            "a zone once or twice a year",
            "view of stores, register members",
            ("programs without a majority when a zone is lost, placement blind to zones",),
        ),
        Entry(
            "regions apart for an hour",
            "register majority, stores' majority; senders go on with the configuration they have",
            (),
            "figures under failures; not measured",
        ),
    ]


def outcome(entry: Entry, rows: Mapping[str, Row]) -> str:
    """The verdicts of an entry's rows and its note; KeyError when it names a row that does not exist."""
    parts = []
    for name in entry.rows:
        verdict = rows[name].verdict()
        if verdict is not Verdict.NO_BOUND:
            parts.append(f"{name}: {verdict.value}")
    return "; ".join([*parts, *([entry.note] if entry.note else [])]) or "see the rows of the roles"


def coverage_table(target: Target, rows: Iterable[Row]) -> str:
    """The table of the whole list."""
    by_name = {row.what: row for row in rows}
    cells = [(entry.figure, entry.carried_by, outcome(entry, by_name)) for entry in entries(target)]
    return markdown_table(("figure of the list", "carried by", "how it stands"), cells)
