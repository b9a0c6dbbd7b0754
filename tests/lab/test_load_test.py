"""The load test: real senders keep the rules under fault injection, and violations by faulty senders are detected."""

import asyncio
import json
import sys

import pytest

from dewpin.lab.fleet.errors import SenderStartError
from dewpin.lab.fleet.load_test import LoadTest, run_load_test
from dewpin.lab.fleet.scenario import make_scenario

PREFERS_FIRST_RECEIVER = """
from dewpin.core.receiver_selection import ReceiverSelector
ReceiverSelector.select = lambda self, queue, message, now: min(
    (r for r in queue.destination.receivers if self.available_at(r, message, now) <= now),
    key=lambda r: r.receiver_id, default=None)
"""
IGNORES_RETRY_AFTER = """
import msgspec
from dewpin.relay.facade import Facade
report_result = Facade.report_result
Facade.report_result = lambda self, record, result, now_ms: report_result(
    self, record, msgspec.structs.replace(result, retry_after_ms=0.0), now_ms)
"""
RECORDS_NOTHING = """
from dewpin.spool.journal import Journal
Journal.accept = lambda self, message, already_accepted=False: True
"""


def senders_with_fault(fault):
    """Settings of six senders, of which the first two run a faulty program."""
    program = fault + "\nfrom dewpin.cli.main import main\nraise SystemExit(main(['run']))"
    return {"count": 6, "command": [sys.executable, "-c", program], "odd": [0, 1]}


def run_scenario(folder, **tables):
    return asyncio.run(run_load_test(make_scenario({"slack_ms": 3000.0} | tables), folder))


def test_twelve_senders_keep_the_rules_under_link_and_process_faults(tmp_path):
    result = run_scenario(
        tmp_path,
        senders={"count": 12},
        load={"rate": 40.0, "seconds": 7.0, "classes": {"keyed": 0.5, "safe": 0.2, "unsafe": 0.3}},
        receivers={"connections": 40, "limit": 60.0, "tells_wait": 0.5},
        faults=[
            {"at": 0.5, "what": "cut", "senders": 0.3, "zone": "a", "way": "from", "seconds": 2.0},
            {"at": 0.5, "what": "lag", "senders": 0.5, "ms": 150.0, "seconds": 3.0},
            {"at": 1.0, "what": "kill", "senders": 0.25, "seconds": 1.0},
            {"at": 1.0, "what": "refuse", "seconds": 2.0},
            {"at": 1.5, "what": "stop", "senders": 0.2, "seconds": 2.0},
            {"at": 2.0, "what": "join"},
            {"at": 2.5, "what": "leave", "receivers": 0.2},
            {"at": 3.0, "what": "reset", "receivers": 0.3, "share": 0.3, "seconds": 2.0},
            {"at": 4.0, "what": "term", "senders": 0.2, "seconds": 1.0},
        ],
    )
    assert result["breaks"] == []
    metrics = result["figures"]
    assert metrics["ends"]["delivered"] > 0.6 * metrics["mails"] and metrics["mails"] == sum(metrics["ends"].values())
    assert metrics["list_calls_turned_away"] and set(metrics["newcomers"]) == {f"r{number}" for number in range(12, 18)}
    assert json.loads((tmp_path / "result.json").read_text())["figures"] == metrics


def test_senders_that_prefer_the_first_receiver_are_visible_in_the_balance(tmp_path):
    sender_settings = [{"count": 6}, senders_with_fault(PREFERS_FIRST_RECEIVER) | {"odd": list(range(6))}]
    balanced, unbalanced = (
        run_scenario(
            tmp_path / str(index),
            senders=senders,
            load={"rate": 60.0, "seconds": 4.0},
            receivers={"destinations": 1, "zones": ["a"]},
        )["figures"]
        for index, senders in enumerate(sender_settings)
    )
    assert unbalanced["idlest"] < 0.3 < balanced["idlest"] and unbalanced["busiest"] > 1.7 > balanced["busiest"]


@pytest.mark.parametrize(
    "fault, rule, tables",
    [
        (
            IGNORES_RETRY_AFTER,
            "wait",
            {
                "load": {"rate": 60.0, "seconds": 4.0},
                "receivers": {"destinations": 1, "limit": 6.0, "tells_wait": 1.0},
                "slack_ms": 0.0,
            },
        ),
        (
            RECORDS_NOTHING,
            "lost",
            {
                "load": {"rate": 30.0, "seconds": 3.0, "lifetime_ms": 4000.0},
                "slack_ms": 500.0,
                "faults": [
                    {"at": 0.2, "what": "hang", "receivers": 1.0, "seconds": 5.0},
                    {"at": 1.5, "what": "kill", "senders": 1.0, "seconds": 0.2},
                ],
            },
        ),
    ],
)
def test_violations_of_a_faulty_sender_are_detected(tmp_path, fault, rule, tables):
    tables = {"senders": senders_with_fault(fault), "load": {"rate": 30.0, "seconds": 4.0}} | tables
    result = run_scenario(tmp_path, **tables)
    assert {violation["rule"] for violation in result["breaks"]} == {rule}
    assert {violation["sender"] for violation in result["breaks"]} <= {0, 1}
    assert all(violation["last"] for violation in result["breaks"])


def test_all_processes_end_when_a_sender_fails_to_start(tmp_path):
    failing_command = [sys.executable, "-c", "raise SystemExit(1)"]
    scenario = make_scenario({"senders": {"count": 3, "command": failing_command, "odd": [2]}})
    load_tests = []

    async def run():
        load_tests.append(LoadTest(scenario, tmp_path))
        await load_tests[0].run()

    with pytest.raises(SenderStartError, match="sender 2 ended"):
        asyncio.run(run())
    assert all(sender.process.poll() is not None for sender in load_tests[0].senders)
