"""Measure, fit, and write the tables of docs/CAPACITY.md.

    python -m benchmarks.capacity                 measure everything (about two minutes), then write the page
    python -m benchmarks.capacity --only encode   measure some series again
    python -m benchmarks.capacity --page          write the page from the results at hand
    python -m benchmarks.capacity --check         fail unless the page is what the results give

Results are kept in benchmarks/capacity/results.json. It starts processes of its own on loopback and ends them, uses
temporary folders, and judges nothing but the target's own bounds.
"""

from __future__ import annotations

import argparse
import sys
import time
from pathlib import Path

from benchmarks.capacity.measures import (
    leases,
    placement,
    process,
    receivers,
    register,
    storage,
    system_state,
    wire,
)
from benchmarks.capacity.page import replace_sections
from benchmarks.capacity.report import sections
from benchmarks.capacity.results import Results, load, save, this_run
from benchmarks.capacity.series import FULL, QUICK, Effort, Measure
from benchmarks.capacity.sweep import SWEEP_ENTRY, read_entry

ROOT = Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "CAPACITY.md"
JOURNAL = ROOT / "journal"
RESULTS = Path(__file__).parent / "results.json"

MEASURES: dict[str, Measure] = {
    "encode": wire.encode_cost,
    "decode": wire.decode_cost,
    "round-trip": wire.round_trip,
    "server-call": wire.server_call_cost,
    "client-call": wire.client_call_cost,
    "text-growth": storage.text_growth,
    "turn-commit": storage.turn_commit,
    "ledger-commit": storage.ledger_commit,
    "turn-cost": storage.turn_cost,
    "ledger-cost": storage.ledger_cost,
    "disk": storage.disk_bytes,
    "chain-read": storage.history_read,
    "chain-take": storage.history_decode,
    "index-scan": storage.index_scan,
    "configuration-bytes": system_state.configuration_bytes,
    "state-bytes": system_state.state_bytes,
    "accepted-bytes": system_state.accepted_bytes,
    "state-send": system_state.state_send,
    "state-take": system_state.state_take,
    "register-change": register.register_change,
    "register-cost": register.register_cost,
    "sender-memory": system_state.sender_memory,
    "control-server-memory": system_state.control_server_memory,
    "receiver-bytes": receivers.receiver_bytes,
    "receiver-send": receivers.receiver_send,
    "receiver-take": receivers.receiver_take,
    "receiver-memory": receivers.receiver_memory,
    "list-read": receivers.list_read,
    "lease-bytes": leases.lease_bytes,
    "lease-renew": leases.lease_renew,
    "lease-answer-bytes": leases.lease_reply_bytes,
    "hello-bytes": leases.heartbeat_bytes,
    "rendezvous": placement.rendezvous,
    "thread-memory": process.thread_memory,
    "connection-memory": process.connection_memory,
    "event-cost": process.event_cost,
    "event-delay": process.event_delay,
}


def measure(name: str, effort: Effort, results: Results) -> Results:
    """The results with one series measured anew; it is told on standard error."""
    run, start = this_run(ROOT), time.monotonic()
    series = MEASURES[name](effort)
    line = series.line()
    told = f"{name}: {line.intercept:.6g} + {line.slope:.6g} ± {line.slope_error:.2g} × x {series.y_unit}"
    print(f"{told} ({time.monotonic() - start:.1f} s)", file=sys.stderr)
    return results.with_series(series, run)


def write_page(results: Results) -> str:
    """The page's text with its generated sections made from the results; PageError when its marks do not fit."""
    return replace_sections(PAGE.read_text(), sections(results, read_entry(JOURNAL / SWEEP_ENTRY)))


def main() -> int:
    """Run the command; 1 when --check finds that the page differs."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity", description=__doc__.partition("\n")[0])
    parser.add_argument("--only", nargs="+", choices=sorted(MEASURES), metavar="SERIES", help="measure these alone")
    parser.add_argument("--quick", action="store_true", help="short measurements, for a trial: nothing is written")
    parser.add_argument("--page", action="store_true", help="measure nothing, write the page")
    parser.add_argument("--check", action="store_true", help="measure nothing, compare the page")
    chosen = parser.parse_args()
    results = load(RESULTS)
    if chosen.check:
        return int(write_page(results) != PAGE.read_text())
    if not chosen.page:
        for name in chosen.only or list(MEASURES):
            results = measure(name, QUICK if chosen.quick else FULL, results)
            if not chosen.quick:
                save(results, RESULTS)
        if chosen.quick:
            return 0
    PAGE.write_text(write_page(results))
    return 0


if __name__ == "__main__":
    sys.exit(main())
