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

from benchmarks.capacity.measures import control, process, scale, storage, wire
from benchmarks.capacity.page import replace_sections
from benchmarks.capacity.report import sections
from benchmarks.capacity.results import Results, load, save, this_run
from benchmarks.capacity.series import FULL, QUICK, Effort, Measure

ROOT = Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "CAPACITY.md"
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
    "chain-read": storage.chain_read,
    "chain-take": storage.chain_take,
    "index-scan": storage.index_scan,
    "configuration-bytes": control.configuration_bytes,
    "state-bytes": control.state_bytes,
    "accepted-bytes": control.accepted_bytes,
    "state-send": control.state_send,
    "state-take": control.state_take,
    "register-change": control.register_change,
    "register-cost": control.register_cost,
    "sender-memory": control.sender_memory,
    "keeper-memory": control.keeper_memory,
    "receiver-bytes": control.receiver_bytes,
    "receiver-send": control.receiver_send,
    "receiver-take": control.receiver_take,
    "receiver-memory": control.receiver_memory,
    "list-read": control.list_read,
    "lease-bytes": control.lease_bytes,
    "lease-renew": control.lease_renew,
    "lease-answer-bytes": control.lease_answer_bytes,
    "hello-bytes": control.hello_bytes,
    "rendezvous": control.rendezvous,
    "thread-memory": process.thread_memory,
    "connection-memory": process.connection_memory,
    "event-cost": process.event_cost,
    "event-delay": process.event_delay,
    "hollow-keeper": scale.keeper_load,
    "hollow-sender": scale.sender_load,
    "hollow-half": scale.half_reached,
    "hollow-all": scale.all_reached,
}


def measure(names: list[str], effort: Effort, results: Results) -> Results:
    """The results with the named series measured anew; each is told on standard error as it ends."""
    for name in names:
        run = this_run(ROOT)
        start = time.monotonic()
        series = MEASURES[name](effort)
        results = results.with_series(series, run)
        line = series.line()
        print(
            f"{name}: {line.intercept:.6g} + {line.slope:.6g} ± {line.slope_error:.2g} × x {series.y_unit}"
            f" ({time.monotonic() - start:.1f} s)",
            file=sys.stderr,
        )
    return results


def write_page(results: Results) -> str:
    """The page's text with its generated sections made from the results; PageError when its marks do not fit."""
    return replace_sections(PAGE.read_text(), sections(results))


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
        names = chosen.only or list(MEASURES)
        results = measure(names, QUICK if chosen.quick else FULL, results)
        if chosen.quick:
            return 0
        save(results, RESULTS)
    PAGE.write_text(write_page(results))
    return 0


if __name__ == "__main__":
    sys.exit(main())
