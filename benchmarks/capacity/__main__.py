"""Measure costs, fit lines to them, and write the tables of docs/CAPACITY.md.

    python -m benchmarks.capacity                 measure all series (about two minutes), then write the page
    python -m benchmarks.capacity --only encode   measure some series again, then write the page
    python -m benchmarks.capacity --page          write the page from the stored results
    python -m benchmarks.capacity --check         fail unless the page matches the stored results

Results are stored in benchmarks/capacity/results.json. The measurements start processes on loopback and stop them, and
use temporary folders. Figures are compared with the bounds of the target only.
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
from benchmarks.capacity.results import Results, current_run, load, save
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
    "state-take": system_state.state_apply,
    "register-change": register.register_change,
    "register-cost": register.register_cost,
    "sender-memory": system_state.sender_memory,
    "control-server-memory": system_state.control_server_memory,
    "receiver-bytes": receivers.receiver_bytes,
    "receiver-send": receivers.receiver_send,
    "receiver-take": receivers.receiver_apply,
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
    """Measure a series and print its line on standard error; return the results with the series replaced."""
    run, start_s = current_run(ROOT), time.monotonic()
    series = MEASURES[name](effort)
    line = series.line()
    summary = f"{name}: {line.intercept:.6g} + {line.slope:.6g} ± {line.slope_error:.2g} × x {series.y_unit}"
    print(f"{summary} ({time.monotonic() - start_s:.1f} s)", file=sys.stderr)
    return results.with_series(series, run)


def render_page(results: Results) -> str:
    """Return the text of the page with its generated sections made from the results.

    Raises PageError if the markers of the page do not match the sections.
    """
    return replace_sections(PAGE.read_text(), sections(results, read_entry(JOURNAL / SWEEP_ENTRY)))


def main() -> int:
    """Run the command; return 1 if --check finds that the page differs, else 0."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity", description=__doc__.partition("\n")[0])
    parser.add_argument("--only", nargs="+", choices=sorted(MEASURES), metavar="SERIES", help="series to measure")
    parser.add_argument("--quick", action="store_true", help="short measurements for a trial; writes nothing")
    parser.add_argument("--page", action="store_true", help="write the page without measuring")
    parser.add_argument("--check", action="store_true", help="compare the page without measuring")
    options = parser.parse_args()
    results = load(RESULTS)
    if options.check:
        return int(render_page(results) != PAGE.read_text())
    if not options.page:
        for name in options.only or list(MEASURES):
            results = measure(name, QUICK if options.quick else FULL, results)
            if not options.quick:
                save(results, RESULTS)
        if options.quick:
            return 0
    PAGE.write_text(render_page(results))
    return 0


if __name__ == "__main__":
    sys.exit(main())
